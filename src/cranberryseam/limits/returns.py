"""Reports of ended leases to the owners of their buckets."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..core.effects import SendMessage
from .messages import LeaseReport, TokensReported

if TYPE_CHECKING:
    from ..types import Output, Owners, VmId
    from .cache import Lease


@attrs.define(eq=False)
class LeaseReturns:
    """Reports to send with the next message to an owner, by group."""

    _ownership: Owners
    _reports: dict[str, list[LeaseReport]] = attrs.field(factory=dict)

    def queue_report(self, account: str, group: str, lease: Lease) -> None:
        """Queue the report of a lease."""
        reports = self._reports.setdefault(group, [])
        reports.append(LeaseReport(account, lease.number, lease.remaining))

    def send(self, run: int, leader: VmId | None = None) -> list[Output]:
        """Send the queued reports for one leader, or for all leaders."""
        outputs: list[Output] = []
        for group in tuple(self._reports):
            owner = self._ownership.leader_of_group(group)
            if leader is not None and owner != leader:
                continue
            reports = tuple(self._reports.pop(group))
            if owner is not None:
                outputs.append(SendMessage(owner, TokensReported(run, reports)))
        return outputs


__all__ = ('LeaseReturns',)
