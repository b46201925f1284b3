"""Commands for generating load."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec

from ..load.generator import run_plan
from ..load.plan import read_plan
from ..load.plot import save_plot
from ..load.report import Report, merge_reports, read_report
from .context import read_text
from .output import exit_invalid, fail, print_json, print_table


class LoadCommands:
    """Send load and report latencies."""

    def __init__(self, as_json: bool) -> None:
        """Store the output format."""
        self._as_json = as_json

    def run(self, plan: str, out: str = '') -> None:
        """Send the requests of a plan.

        Each stream of the plan is the requests of one account to one path.
        Several processes may run at once, each with its own plan;
        ``load show`` merges their reports.

        Parameters
        ----------
        plan
            TOML file with the streams.
        out
            File for the report as JSON.

        """
        parsed = read_plan(plan, read_text(plan))
        if parsed.is_error():
            fail(parsed.error)
        report = asyncio.run(run_plan(parsed.ok))
        if out:
            Path(out).write_bytes(report.encode())
        self._print(report)

    def show(self, *reports: str, plot: str = '') -> None:
        """Show the merged reports of one run.

        Parameters
        ----------
        reports
            JSON files of ``load run``.
        plot
            File for a plot, such as ``latency.png``.

        """
        if not reports:
            exit_invalid('load show: expected at least one report file')
        merged = merge_reports(_read_report_file(path) for path in reports)
        if plot:
            save_plot(merged, plot)
        self._print(merged)

    def _print(self, report: Report) -> None:
        rows = report.build_latency_rows()
        outcomes = report.build_outcome_rows()
        if self._as_json:
            print_json({'latencies': rows, 'outcomes': outcomes})
            return
        print_table(rows, 'latency count p50_ms p90_ms p99_ms p99.9_ms p100_ms')
        # Here ``requests`` names the side (fleet or direct) and the account.
        print_table(outcomes, 'requests outcome count')


def _read_report_file(path: str) -> Report:
    try:
        return read_report(read_text(path).encode())
    except msgspec.MsgspecError as error:
        exit_invalid(f'{path}: {error}')


__all__ = ('LoadCommands',)
