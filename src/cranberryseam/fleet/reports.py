"""Configuration versions and withdrawals reported by other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..types import VmId
from .messages import ReportRow, Reports

if TYPE_CHECKING:
    import random

    from .messages import SenderState

# Rows per message: the newest rows spread quickly, random rows fill gaps.
_NEWEST_ROWS = 5
_RANDOM_ROWS = 3


@attrs.frozen
class VmReport:
    """State of another VM.

    Parameters
    ----------
    heartbeat
        Counter of that VM; the report with the greatest one is kept.
    heard_at
        Time when this VM received the report. A forwarded report may be a few
        gossip rounds older.

    """

    heartbeat: int
    version: int
    withdrawn: int
    heard_at: float


class ReportTable:
    """Newest report of each other VM, in order of arrival."""

    def __init__(self, rng: random.Random) -> None:
        """Start empty."""
        self._rng = rng
        self._reports: dict[VmId, VmReport] = {}

    def find(self, vm: VmId) -> VmReport | None:
        """Return the report of a VM."""
        return self._reports.get(vm)

    def remove(self, vm: VmId) -> None:
        """Remove the report of a VM that is no longer a member."""
        self._reports.pop(vm, None)

    def record_state(self, vm: VmId, state: SenderState, at: float) -> None:
        """Store a state received from the VM itself."""
        report = VmReport(state.heartbeat, state.version, state.withdrawn, at)
        self._store_if_newer(vm, report)

    def merge_reports(self, reports: Reports, own_vm: VmId, at: float) -> int:
        """Merge forwarded reports; return the greatest heartbeat of this VM."""
        own_heartbeat = 0
        for row in reports.rows:
            version, withdrawn = reports.states[row.state_index]
            if row.name == own_vm:
                own_heartbeat = max(own_heartbeat, row.heartbeat)
                continue
            report = VmReport(row.heartbeat, version, withdrawn, at)
            self._store_if_newer(VmId(row.name), report)
        return own_heartbeat

    def select(self) -> Reports:
        """Return a bounded number of reports to forward."""
        names = list(self._reports)
        chosen = names[-_NEWEST_ROWS:]
        older = names[:-_NEWEST_ROWS]
        chosen += self._rng.sample(older, min(_RANDOM_ROWS, len(older)))
        indexes: dict[tuple[int, int], int] = {}
        rows: list[ReportRow] = []
        for name in chosen:
            report = self._reports[name]
            reported = (report.version, report.withdrawn)
            index = indexes.setdefault(reported, len(indexes))
            rows.append(ReportRow(name, report.heartbeat, index))
        return Reports(tuple(indexes), tuple(rows))

    def _store_if_newer(self, vm: VmId, report: VmReport) -> None:
        known = self._reports.get(vm)
        if known is None or report.heartbeat > known.heartbeat:
            self._reports.pop(vm, None)
            self._reports[vm] = report


__all__ = ('ReportTable', 'VmReport')
