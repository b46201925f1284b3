"""Anti-entropy: repair of differences between the tables of two VMs."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from .messages import PullRecords, PullWithdrawn, Records, Updates

if TYPE_CHECKING:
    from ..types import VmId
    from .digest import BucketDigest
    from .members import MemberTable
    from .messages import SenderState
    from .outbox import Outbox
    from .targets import TargetTable

MEMBERS = 'm'
TARGETS = 't'
# Pushes and piggybacked updates resolve most differences within this time.
_DIFFERENCE_GRACE_S = 3.0
# Minimum time between two pulls per table. With 9,400 targets, a pull costs
# about 7 KB per differing bucket.
_COMPARISON_INTERVALS_S = ((MEMBERS, 10.0), (TARGETS, 15.0))
_ANSWER_TIMEOUT_S = 1.5
_WITHDRAWN_INTERVAL_S = 0.5
# A page has about 8 KB.
_RECORDS_PER_PAGE = 100


@attrs.define
class _Comparison:
    """Comparison state of one table.

    Parameters
    ----------
    last_equal_at
        Per region, the time when a peer last had the same digest.
    is_pulling
        True while a page is expected.

    """

    interval_s: float
    last_equal_at: dict[str, float] = attrs.field(factory=dict)
    pulled_at: float = -math.inf
    is_pulling: bool = False


class Reconciler:
    """Pulls records when the digest of a peer differs persistently."""

    def __init__(
        self, members: MemberTable, targets: TargetTable, outbox: Outbox
    ) -> None:
        """Start without comparisons."""
        self._members = members
        self._targets = targets
        self._outbox = outbox
        self._withdrawn_at = -math.inf
        self._digests: dict[str, BucketDigest] = {
            MEMBERS: members.digest,
            TARGETS: targets.digest,
        }
        self._comparisons = {
            table: _Comparison(interval_s)
            for table, interval_s in _COMPARISON_INTERVALS_S
        }

    def compare(self, vm: VmId, region: str, state: SenderState) -> None:
        """Compare the digests of a peer with the local tables."""
        self._compare(vm, region, MEMBERS, state.members)
        self._compare(vm, region, TARGETS, state.targets)

    def compare_withdrawn(
        self, vm: VmId, peer_digest: int, own_digest: int
    ) -> None:
        """Pull withdrawals from a peer whose digest differs."""
        now = self._outbox.now
        if (
            peer_digest == own_digest
            or now - self._withdrawn_at < _WITHDRAWN_INTERVAL_S
        ):
            return
        self._withdrawn_at = now
        self._outbox.send(vm, PullWithdrawn())

    def send_records(self, sender: VmId, request: PullRecords) -> None:
        """Send the next page of records from differing buckets."""
        digest = self._digests.get(request.table)
        if digest is None:
            return
        found: list[tuple[int, str]] = []
        for position in digest.iter_differing(
            request.digests, request.bucket, request.after
        ):
            found.append(position)
            if len(found) == _RECORDS_PER_PAGE:
                break
        bucket, after = (
            found[-1] if len(found) == _RECORDS_PER_PAGE else (-1, '')
        )
        names = [name for _, name in found]
        updates = self._collect(request.table, names)
        message = Records(request.table, updates, bucket, after)
        self._outbox.send(sender, message)

    def continue_pull(self, sender: VmId, page: Records) -> None:
        """Request the next page after one was merged."""
        comparison = self._comparisons.get(page.table)
        if comparison is None or not comparison.is_pulling:
            return
        comparison.pulled_at = self._outbox.now
        comparison.is_pulling = page.bucket >= 0
        if comparison.is_pulling:
            self._send_pull(sender, page.table, page.bucket, page.after)

    def _compare(
        self, vm: VmId, region: str, table: str, peer_digest: int
    ) -> None:
        now = self._outbox.now
        comparison = self._comparisons[table]
        if peer_digest == self._digests[table].total:
            comparison.last_equal_at[region] = now
            return
        last_equal_at = comparison.last_equal_at.get(region, -math.inf)
        interval_s = (
            _ANSWER_TIMEOUT_S
            if comparison.is_pulling
            else comparison.interval_s
        )
        is_due = now - comparison.pulled_at > interval_s
        if is_due and now - last_equal_at > _DIFFERENCE_GRACE_S:
            comparison.pulled_at = now
            comparison.is_pulling = True
            self._send_pull(vm, table, 0, '')

    def _send_pull(self, vm: VmId, table: str, bucket: int, after: str) -> None:
        packed = self._digests[table].pack()
        self._outbox.send(vm, PullRecords(table, packed, bucket, after))

    def _collect(self, table: str, names: list[str]) -> Updates:
        if table == MEMBERS:
            records = (self._members.find(name) for name in names)
            return Updates(members=tuple(filter(None, records)))
        targets = (self._targets.find(name) for name in names)
        return Updates(targets=tuple(filter(None, targets)))


__all__ = ('Reconciler',)
