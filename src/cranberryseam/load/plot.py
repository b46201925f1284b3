"""Plot of latency percentiles."""

from __future__ import annotations

from .report import Report

# Limited to what several thousand requests can resolve.
PLOTTED_PERCENTILES: tuple[float, ...] = (
    1,
    10,
    25,
    50,
    75,
    90,
    95,
    99,
    99.5,
    99.9,
)


def save_plot(report: Report, path: str) -> None:
    """Save a plot of all histograms of a report.

    Parameters
    ----------
    path
        Output file; its extension determines the format.

    """
    # Imported lazily: it takes about a second and only plots need it.
    from matplotlib import pyplot  # noqa: PLC0415, WPS433

    figure, axes = pyplot.subplots()
    for name in sorted(report.latencies):
        latencies = [
            report.percentile_ms(name, percentile)
            for percentile in PLOTTED_PERCENTILES
        ]
        axes.plot(
            [str(percentile) for percentile in PLOTTED_PERCENTILES],
            latencies,
            label=name,
        )
    axes.set_xlabel('percentile')
    axes.set_ylabel('latency, ms')
    axes.set_yscale('log')
    axes.legend()
    figure.savefig(path)


__all__ = ('save_plot',)
