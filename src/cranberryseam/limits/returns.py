"""Reports of leases that go back to their owners."""

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
    """Reports that wait for the next message to an owner, by group."""

    _ownership: Owners
    _reports: dict[str, list[LeaseReport]] = attrs.field(factory=dict)

    def note(self, account: str, group: str, lease: Lease) -> None:
        """Keep the report of a lease for the next message to its owner."""
        reports = self._reports.setdefault(group, [])
        reports.append(LeaseReport(account, lease.number, lease.remaining))

    def send(self, run: int, leader: VmId | None = None) -> list[Output]:
        """Send the reports for one leader, or for all of them."""
        outputs: list[Output] = []
        for group in tuple(self._reports):
            to = self._ownership.leader_of_group(group)
            if leader is not None and to != leader:
                continue
            reports = tuple(self._reports.pop(group))
            if to is not None:
                outputs.append(SendMessage(to, TokensReported(run, reports)))
        return outputs


__all__ = ('LeaseReturns',)
