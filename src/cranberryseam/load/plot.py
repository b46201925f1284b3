"""Plot of latency percentiles."""

from __future__ import annotations

from .report import Report

# Percentiles of the plot, up to the resolution of some thousand requests.
PLOTTED: tuple[float, ...] = (1, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9)


def save_plot(report: Report, path: str) -> None:
    """Save a plot of all histograms of a report.

    Parameters
    ----------
    path
        File to write; its ending chooses the format.

    """
    # Imported here because it takes a second and only plots need it.
    from matplotlib import pyplot  # noqa: PLC0415, WPS433

    figure, axes = pyplot.subplots()
    for name in sorted(report.latencies):
        latencies = [report.percentile_ms(name, each) for each in PLOTTED]
        axes.plot([str(each) for each in PLOTTED], latencies, label=name)
    axes.set_xlabel('percentile')
    axes.set_ylabel('latency, ms')
    axes.set_yscale('log')
    axes.legend()
    figure.savefig(path)


__all__ = ('save_plot',)
