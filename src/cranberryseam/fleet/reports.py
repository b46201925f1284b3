"""Which VM has which configuration version and withdrawals."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..types import VmId
from .messages import Report, Reports

if TYPE_CHECKING:
    import random

    from .messages import SenderState

# Rows per message: the newest spread fast, random ones fill gaps.
_NEWEST = 5
_RANDOM = 3


@attrs.frozen
class VmReport:
    """State of another VM.

    Parameters
    ----------
    beat
        Counter of that VM; the report with the greatest one is kept.
    heard_at
        When this VM learned of that beat; the beat itself is up to a few
        gossip rounds older if it came second-hand.

    """

    beat: int
    version: int
    withdrawn: int
    heard_at: float


class ReportTable:
    """The newest report of each other VM, in the order of arrival."""

    def __init__(self, rng: random.Random) -> None:
        """Start empty."""
        self._rng = rng
        self._reports: dict[VmId, VmReport] = {}

    def find(self, vm: VmId) -> VmReport | None:
        """Return the report of a VM."""
        return self._reports.get(vm)

    def forget(self, vm: VmId) -> None:
        """Remove the report of a VM that is gone."""
        self._reports.pop(vm, None)

    def take_state(self, vm: VmId, state: SenderState, at: float) -> None:
        """Take the state that a VM sent itself."""
        report = VmReport(state.beat, state.version, state.withdrawn, at)
        self._take(vm, report)

    def take_reports(self, reports: Reports, me: VmId, at: float) -> int:
        """Take second-hand reports and return the greatest own beat seen."""
        own_beat = 0
        for row in reports.rows:
            version, withdrawn = reports.marks[row.mark]
            if row.name == me:
                own_beat = max(own_beat, row.beat)
                continue
            report = VmReport(row.beat, version, withdrawn, at)
            self._take(VmId(row.name), report)
        return own_beat

    def choose(self) -> Reports:
        """Return a bounded number of reports to pass on."""
        names = list(self._reports)
        chosen = names[-_NEWEST:]
        older = names[:-_NEWEST]
        chosen += self._rng.sample(older, min(_RANDOM, len(older)))
        marks: dict[tuple[int, int], int] = {}
        rows: list[Report] = []
        for name in chosen:
            report = self._reports[name]
            mark = (report.version, report.withdrawn)
            index = marks.setdefault(mark, len(marks))
            rows.append(Report(name, report.beat, index))
        return Reports(tuple(marks), tuple(rows))

    def _take(self, vm: VmId, report: VmReport) -> None:
        known = self._reports.get(vm)
        if known is None or report.beat > known.beat:
            self._reports.pop(vm, None)
            self._reports[vm] = report


__all__ = ('ReportTable', 'VmReport')
