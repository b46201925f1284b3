"""Owner side of rate limits: token buckets of the groups this VM leads."""

from __future__ import annotations

from collections import Counter
from enum import IntEnum
from typing import TYPE_CHECKING

import attrs

from ..configuration.model import Configuration
from ..core.effects import IncrementCounter, SendMessage
from ..ownership import ContactLog
from .bucket import (
    BLOCK_LEASE_S,
    OWNER_MARGIN,
    SINGLE_LEASE_S,
    Bucket,
    Grant,
    HeldElsewhere,
)
from .changes import PendingChanges
from .messages import RateShare, TokensAsked, TokensGiven, TokensReported
from .rate_shares import SHARE_LIFETIME_S, InheritedShares
from .shares import Limit, find_limit

if TYPE_CHECKING:
    from ..configuration.settings import Settings
    from ..types import Output, Owners, VmId

_SWEEP_S = 5.0
# A new leader waits for the leases of the previous one to expire.
_HANDOVER_S = BLOCK_LEASE_S * OWNER_MARGIN
_CONFIGURATION_RETRY_S = 1.0
# An owner whose buckets open this soon after its process started is taken to
# have restarted with the rest of the fleet.
_STARTUP_WINDOW_S = 3.0
# A bucket whose remaining tokens are unknown opens empty and gets the waiting
# requests at once. An account at 60% of its rate has caught up after this time;
# until then a missing token doesn't mean that it exceeds its rate.
_RECOVERY_S = 2.0


class Verdict(IntEnum):
    """Why an answer has fewer tokens than requested.

    Answers that grant all tokens normally have ``rate``.
    """

    rate = 0
    not_ready = 1
    account_unknown = 2


@attrs.define
class BucketTable:
    """All buckets of one group during one term.

    Parameters
    ----------
    opens_at
        Buckets are empty until then, because the leases of the previous
        leader may still be in use. A bucket that isn't stored has been
        refilling since then.
    early
        Buckets for use before ``opens_at``, within the tolerance of the
        limits.
    min_remaining
        Fewest tokens that the previous leader had remaining, as reported by
        entry VMs.
    granted_early
        Tokens granted before ``opens_at``.
    used_without_owner
        Fallback tokens that VMs used before they asked this owner.
    inherited
        Shares of the rate that the previous leader assigned.

    """

    term: int
    opens_at: float
    swept_at: float
    buckets: dict[str, Bucket] = attrs.field(factory=dict)
    early: dict[str, Bucket] = attrs.field(factory=dict)
    min_remaining: dict[str, int] = attrs.field(factory=dict)
    granted_early: Counter[str] = attrs.field(factory=Counter)
    used_without_owner: dict[str, dict[VmId, int]] = attrs.field(factory=dict)
    inherited: dict[str, InheritedShares] = attrs.field(factory=dict)

    @property
    def inherits_until(self) -> float:
        """Time at which all shares of the previous leader have expired."""
        return self.opens_at + SHARE_LIFETIME_S * OWNER_MARGIN

    def record_early_grant(
        self, sender: VmId, request: TokensAsked, granted: int
    ) -> None:
        """Record an early grant and the remaining tokens that a VM reports."""
        account = request.account
        self.granted_early[account] += granted
        used = self.used_without_owner.setdefault(account, {})
        used[sender] = max(used.get(sender, 0), request.used_without_owner)
        if request.remaining >= 0:
            known = self.min_remaining.setdefault(account, request.remaining)
            self.min_remaining[account] = min(known, request.remaining)

    def remaining_before(self, account: str) -> int:
        """Return what remains of the previous bucket; 0 if unknown."""
        if account not in self.min_remaining:
            return 0
        used = sum(self.used_without_owner[account].values())
        spent = self.granted_early[account] + used
        return max(0, self.min_remaining[account] - spent)

    def inherit_share(self, sender: VmId, request: TokensAsked) -> None:
        """Record the share that a VM holds from an earlier term."""
        share = request.share
        if share is None or share.term == self.term:
            return
        account = request.account
        inherited = self.inherited.get(account)
        if inherited is None:
            inherited = InheritedShares(share.unassigned)
            self.inherited[account] = inherited
        inherited.report(sender, share.rate, share.unassigned)

    def find_held_elsewhere(self, account: str, rate: float) -> HeldElsewhere:
        """Return the part of a rate that VMs still hold from earlier terms."""
        inherited = self.inherited.get(account)
        if inherited is None:
            return HeldElsewhere()
        return HeldElsewhere(inherited.count_held(rate), self.inherits_until)


class BucketOwner:
    """Leases tokens from the buckets of the groups that this VM leads."""

    def __init__(
        self,
        settings: Settings,
        ownership: Owners,
        contacts: ContactLog | None = None,
    ) -> None:
        """Start without buckets."""
        self._contacts = ContactLog() if contacts is None else contacts
        self._region = settings.vm.region
        self._regions = settings.region_names
        self._ownership = ownership
        self._tolerance = settings.limits
        self.started_at: float = 0
        self._tables: dict[str, BucketTable] = {}
        self._configuration: Configuration | None = None
        empty = Configuration()
        self._changes = PendingChanges(empty, empty, 0)

    def answer(
        self, sender: VmId, request: TokensAsked, at: float
    ) -> list[Output]:
        """Lease tokens, or answer why there are none."""
        group = self._ownership.group_of(self._region, request.account)
        table = self._find_table(group, at)
        if table is None:
            return self._ownership.announce_leader(group, sender)
        self._apply_pending_change(request.account)
        limit = self._find_limit(request.account, self._configuration)
        if limit is None:
            # One of the two VMs has an older configuration than the other.
            return [
                _refuse(
                    sender,
                    request,
                    Verdict.account_unknown,
                    _CONFIGURATION_RETRY_S,
                )
            ]
        if at < table.inherits_until:
            table.inherit_share(sender, request)
        if at < table.opens_at:
            return [self._answer_early(table, limit, sender, request, at)]
        bucket = self._find_bucket(table, request.account, limit, at)
        bucket.advance(at)
        bucket.held_elsewhere = table.find_held_elsewhere(
            request.account, limit.rate
        )
        count = _lease(bucket, sender, request, at)
        verdict = Verdict.rate
        if (
            at < table.opens_at + _RECOVERY_S
            and request.account not in table.min_remaining
        ):
            verdict = Verdict.not_ready
        answer = TokensGiven(
            request.run,
            request.number,
            count,
            int(verdict),
            bucket.seconds_until_token(at),
            max(0, int(bucket.level)),
            _assign_share(bucket, table.term, sender, request, at),
        )
        return [SendMessage(sender, answer)]

    def receive_reports(
        self, sender: VmId, reported: TokensReported, at: float
    ) -> None:
        """End reported leases; unknown ones have already expired."""
        for report in reported.reports:
            self._apply_pending_change(report.account)
            bucket = self._find_existing_bucket(report.account, at)
            if bucket is None:
                continue
            bucket.advance(at)
            grant = bucket.find_grant(sender, reported.run, report.number)
            if grant is not None:
                bucket.end_grant(grant, report.unused)

    def change_configuration(
        self, configuration: Configuration, at: float
    ) -> None:
        """Apply changed plans to the buckets of all tables."""
        previous = self._configuration
        if previous is not None:
            if (
                previous.accounts is configuration.accounts
                and previous.plans is configuration.plans
            ):
                self._configuration = configuration
                return
            # Pending changes refer to the configuration that is being replaced.
            self.apply_changes(len(self._changes))
        self._configuration = configuration
        for group, table in tuple(self._tables.items()):
            if self._ownership.term_of(group, at) != table.term:
                self._tables.pop(group)
            elif previous is None:
                # All accounts are new to this VM, as after a leader change.
                table.buckets.clear()
                table.opens_at = max(table.opens_at, at + _HANDOVER_S)
        if previous is not None and self._tables:
            self._changes = PendingChanges(previous, configuration, at)

    def apply_changes(self, max_accounts: int) -> bool:
        """Apply a batch of changed limits; return whether any are pending.

        An account that is requested is updated first, so that a new limit is
        in force for all accounts as soon as the configuration is.
        """
        for account in self._changes.pop_batch(max_accounts):
            self._apply_limit_change(account, self._changes)
        return bool(self._changes)

    def open_table(self, group: str, at: float) -> None:
        """Create the empty bucket table of a group that this VM now leads."""
        self._find_table(group, at)

    def sweep(self, at: float) -> list[Output]:
        """Drop full buckets and the tables of past terms."""
        dropped = 0
        for group, table in tuple(self._tables.items()):
            if self._ownership.term_of(group, at) != table.term:
                self._tables.pop(group)
            elif at >= table.swept_at + _SWEEP_S:
                table.swept_at = at
                dropped += _drop_full(table, self._changes, at)
        if dropped:
            return [IncrementCounter('limits.bucket_dropped', dropped)]
        return []

    def count_buckets(self) -> int:
        """Return the number of stored buckets."""
        return sum(len(table.buckets) for table in self._tables.values())

    def _answer_early(
        self,
        table: BucketTable,
        limit: Limit,
        sender: VmId,
        request: TokensAsked,
        at: float,
    ) -> Output:
        """Grant single tokens within the tolerance of the limit."""
        bucket = table.early.get(request.account)
        if bucket is None:
            bucket = self._open_early(table, limit, at)
            table.early[request.account] = bucket
        bucket.advance(at)
        count = bucket.take(request.needed, 0)
        if self._tolerance.early_share:
            table.record_early_grant(sender, request, count)
        wait_s = table.opens_at - at
        verdict = int(Verdict.not_ready)
        answer = TokensGiven(
            request.run, request.number, count, verdict, wait_s
        )
        return SendMessage(sender, answer)

    def _open_early(
        self, table: BucketTable, limit: Limit, at: float
    ) -> Bucket:
        tolerance = self._tolerance
        share = tolerance.early_share
        if share and table.opens_at - self.started_at < _STARTUP_WINDOW_S:
            # Leading this soon after the start means that all VMs restarted
            # and no lease of the previous leader exists. Should one exist, the
            # full rate is still within the tolerance.
            share = 1
        rate = limit.rate * share
        tokens = min(tolerance.early_tokens, limit.burst)
        early = Limit(rate, max(tokens, rate))
        return Bucket(early, tokens, at)

    def _find_table(self, group: str, at: float) -> BucketTable | None:
        term = self._ownership.term_of(group, at)
        if term is None:
            self._tables.pop(group, None)
            return None
        table = self._tables.get(group)
        if table is None or table.term != term:
            opens_at = self._ownership.leading_since(group) + _HANDOVER_S
            table = BucketTable(term, opens_at, at)
            self._tables[group] = table
        return table

    def _find_existing_bucket(self, account: str, at: float) -> Bucket | None:
        group = self._ownership.group_of(self._region, account)
        table = self._find_table(group, at)
        return table.buckets.get(account) if table else None

    def _find_limit(
        self, account: str, configuration: Configuration | None
    ) -> Limit | None:
        if configuration is None:
            return None
        return find_limit(configuration, account, self._region, self._regions)

    def _apply_pending_change(self, account: str) -> None:
        if self._changes.take(account):
            self._apply_limit_change(account, self._changes)

    def _apply_limit_change(
        self, account: str, changes: PendingChanges
    ) -> None:
        """Apply a changed limit while keeping the level of the bucket.

        The level of a bucket that isn't stored is computed from the old
        limit, as a larger burst would otherwise count as already filled.
        """
        at = changes.at
        old = self._find_limit(account, changes.previous)
        limit = self._find_limit(account, self._configuration)
        if limit == old:
            return
        group = self._ownership.group_of(self._region, account)
        table = self._tables.get(group)
        if table is None:
            return
        if limit is None:
            table.buckets.pop(account, None)
        elif old is None:
            # The account may have just been removed or moved from another
            # region, with leases that are still in use.
            opens_at = max(at + _HANDOVER_S, table.opens_at)
            table.buckets[account] = Bucket(
                limit, 0, opens_at, contacts=self._contacts
            )
        else:
            bucket = self._find_bucket(table, account, old, at)
            bucket.change_limit(limit, at)

    def _find_bucket(
        self, table: BucketTable, account: str, limit: Limit, at: float
    ) -> Bucket:
        """Return the stored bucket, or one refilled since the table opened."""
        bucket = table.buckets.get(account)
        if bucket is None:
            level = min(limit.burst, self._estimate_remaining(table, account))
            bucket = Bucket(
                limit,
                level,
                table.opens_at,
                contacts=self._contacts,
                held_elsewhere=table.find_held_elsewhere(account, limit.rate),
            )
            bucket.advance(at)
            table.buckets[account] = bucket
        return bucket

    def _estimate_remaining(self, table: BucketTable, account: str) -> float:
        """Return what remains of the previous bucket.

        Each VM that doesn't reach this owner may use its part of it.
        """
        remaining = table.remaining_before(account)
        if not self._contacts:
            return remaining
        present = len(self._contacts) * self._ownership.fallback_share()
        return remaining * min(1, present or 1)


def _assign_share(
    bucket: Bucket, term: int, vm: VmId, request: TokensAsked, at: float
) -> RateShare | None:
    """Assign a VM a share of the rate for the time without this owner."""
    if not (request.recent_rate or request.share):
        return None
    held = request.share
    rate = bucket.shares.assign(
        vm,
        request.recent_rate,
        held.rate if held and held.term == term else 0,
        bucket.limit.rate,
        at + SHARE_LIFETIME_S * OWNER_MARGIN,
    )
    unassigned = bucket.shares.count_unassigned(bucket.limit.rate)
    return RateShare(term, rate, unassigned)


def _lease(bucket: Bucket, vm: str, request: TokensAsked, at: float) -> int:
    known = bucket.find_grant(vm, request.run, request.number)
    if known is not None:
        return known.count
    count = bucket.take(request.needed, request.prefetch)
    if count:
        lease_s = BLOCK_LEASE_S if request.prefetch else SINGLE_LEASE_S
        expires_at = at + lease_s * OWNER_MARGIN
        bucket.add_grant(
            Grant(vm, request.run, request.number, count, expires_at)
        )
    return count


def _refuse(
    to: VmId, request: TokensAsked, verdict: Verdict, wait_s: float
) -> Output:
    return SendMessage(
        to, TokensGiven(request.run, request.number, 0, int(verdict), wait_s)
    )


def _drop_full(table: BucketTable, changes: PendingChanges, at: float) -> int:
    dropped = 0
    for account, bucket in tuple(table.buckets.items()):
        if account in changes:
            continue
        bucket.advance(at)
        # A dropped bucket is recreated from the time since opening, which may
        # be too short to reach the burst after a change of the rate.
        filled = bucket.limit.rate * (at - table.opens_at)
        if bucket.full and filled >= bucket.limit.burst:
            table.buckets.pop(account)
            dropped += 1
    return dropped


__all__ = ('BucketOwner', 'Verdict')
