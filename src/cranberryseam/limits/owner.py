"""Token buckets of the groups that this VM leads."""

from __future__ import annotations

from collections import Counter
from enum import IntEnum
from typing import TYPE_CHECKING

import attrs

from ..configuration.model import Configuration
from ..core.effects import IncrementCounter, SendMessage
from .bucket import BLOCK_LEASE_S, OWNER_MARGIN, SINGLE_LEASE_S, Bucket, Grant
from .changes import PendingChanges
from .messages import TokensAsked, TokensGiven, TokensReported
from .shares import Limit, find_limit

if TYPE_CHECKING:
    from ..configuration.settings import Settings
    from ..types import Output, Owners, VmId

_SWEEP_S = 5.0
# A new leader waits for the leases of the one before.
_HANDOVER_S = BLOCK_LEASE_S * OWNER_MARGIN
_LAG_S = 1.0
# An owner whose buckets open this soon after the start of its process.
_FRESH_S = 3.0
# A bucket of which nobody knows what was left opens empty, and what waited for
# it comes at once. An account that uses 60% of its rate has caught up after
# this; until then a missing token doesn't mean that it is beyond its rate.
_RECOVERY_S = 2.0


class Verdict(IntEnum):
    """Why an answer has fewer tokens than asked for."""

    rate = 0
    not_ready = 1
    account_unknown = 2


@attrs.define
class BucketTable:
    """All buckets of one group during one term.

    Parameters
    ----------
    opens_at
        Buckets are empty until then, because the leases of the leader
        before may still be in use. A bucket that isn't kept has filled
        since then.
    early
        Buckets for the time before, within the tolerance of the limits.
    least_left
        Least tokens that the leader before had left, as VMs tell.
    given_early
        Tokens given before the table opened.

    """

    term: int
    opens_at: float
    swept_at: float
    buckets: dict[str, Bucket] = attrs.field(factory=dict)
    early: dict[str, Bucket] = attrs.field(factory=dict)
    least_left: dict[str, int] = attrs.field(factory=dict)
    given_early: Counter[str] = attrs.field(factory=Counter)

    def note_early(self, asked: TokensAsked, given: int) -> None:
        """Note what a VM knows of the bucket before, and what it got."""
        account = asked.account
        self.given_early[account] += given
        if asked.remaining >= 0:
            known = self.least_left.setdefault(account, asked.remaining)
            self.least_left[account] = min(known, asked.remaining)

    def find_left(self, account: str) -> int:
        """Return what is left of the bucket before; 0 if nobody knows."""
        if account not in self.least_left:
            return 0
        return max(0, self.least_left[account] - self.given_early[account])


class BucketOwner:
    """Owner's side: gives tokens of the buckets of groups it leads."""

    def __init__(self, settings: Settings, ownership: Owners) -> None:
        """Start without buckets."""
        self._region = settings.vm.region
        self._regions = settings.region_names
        self._ownership = ownership
        self._tolerance = settings.limits
        self.started_at: float = 0
        self._tables: dict[str, BucketTable] = {}
        self._configuration: Configuration | None = None
        nothing = Configuration()
        self._changes = PendingChanges(nothing, nothing, 0)

    def answer(
        self, sender: VmId, asked: TokensAsked, at: float
    ) -> list[Output]:
        """Lease tokens, or say why there are none."""
        group = self._ownership.group_of(self._region, asked.account)
        table = self._find_table(group, at)
        if table is None:
            return self._ownership.tell_leader(group, sender)
        self._change_now(asked.account)
        limit = self._find_limit(asked.account, self._configuration)
        if limit is None:
            # One of the two VMs has an older configuration than the other.
            return [_refuse(sender, asked, Verdict.account_unknown, _LAG_S)]
        if at < table.opens_at:
            return [self._answer_early(table, limit, sender, asked, at)]
        bucket = _find_bucket(table, asked.account, limit, at)
        bucket.settle(at)
        count = _lease(bucket, sender, asked, at)
        verdict = Verdict.rate
        if (
            at < table.opens_at + _RECOVERY_S
            and asked.account not in table.least_left
        ):
            verdict = Verdict.not_ready
        given = TokensGiven(
            asked.run,
            asked.number,
            count,
            int(verdict),
            bucket.count_wait_s(at),
            max(0, int(bucket.level)),
        )
        return [SendMessage(sender, given)]

    def take_reports(
        self, sender: VmId, reported: TokensReported, at: float
    ) -> None:
        """End leases; unknown ones have expired before."""
        for report in reported.reports:
            self._change_now(report.account)
            bucket = self._find_kept_bucket(report.account, at)
            if bucket is None:
                continue
            bucket.settle(at)
            grant = bucket.find_grant(sender, reported.run, report.number)
            if grant is not None:
                bucket.end_grant(grant, report.unused)

    def change_configuration(
        self, configuration: Configuration, at: float
    ) -> None:
        """Apply changed plans to the buckets of all tables."""
        before = self._configuration
        if before is not None:
            if (
                before.accounts is configuration.accounts
                and before.plans is configuration.plans
            ):
                self._configuration = configuration
                return
            # The changes before this one refer to the configuration between.
            self.apply_changes(len(self._changes))
        self._configuration = configuration
        for group, table in tuple(self._tables.items()):
            if self._ownership.term_of(group, at) != table.term:
                self._tables.pop(group)
            elif before is None:
                # All accounts are new to this VM, as to a new leader.
                table.buckets.clear()
                table.opens_at = max(table.opens_at, at + _HANDOVER_S)
        if before is not None and self._tables:
            self._changes = PendingChanges(before, configuration, at)

    def apply_changes(self, most: int) -> bool:
        """Apply changed limits of some accounts; return whether any are left.

        An account that is asked for is changed at once, so that a new limit
        is in force for all accounts from its notice on.
        """
        for account in self._changes.take_slice(most):
            self._change_account(account, self._changes)
        return bool(self._changes)

    def open_table(self, group: str, at: float) -> None:
        """Start the empty buckets of a group that this VM now leads."""
        self._find_table(group, at)

    def sweep(self, at: float) -> list[Output]:
        """Drop buckets that are full again and tables of past terms."""
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
        """Return the number of buckets in memory."""
        return sum(len(table.buckets) for table in self._tables.values())

    def _answer_early(
        self,
        table: BucketTable,
        limit: Limit,
        sender: VmId,
        asked: TokensAsked,
        at: float,
    ) -> Output:
        """Give single tokens within the tolerance of the limit."""
        bucket = table.early.get(asked.account)
        if bucket is None:
            bucket = self._open_early(table, limit, at)
            table.early[asked.account] = bucket
        bucket.settle(at)
        count = bucket.take(asked.needed, 0)
        if self._tolerance.early_share:
            table.note_early(asked, count)
        wait_s = table.opens_at - at
        verdict = int(Verdict.not_ready)
        given = TokensGiven(asked.run, asked.number, count, verdict, wait_s)
        return SendMessage(sender, given)

    def _open_early(
        self, table: BucketTable, limit: Limit, at: float
    ) -> Bucket:
        tolerance = self._tolerance
        share = tolerance.early_share
        if share and table.opens_at - self.started_at < _FRESH_S:
            # It leads so soon after its start because all VMs have restarted,
            # and then no lease of the leader before is left. If it is wrong,
            # the other half is within the tolerance, too.
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
            opens_at = self._ownership.leads_since(group) + _HANDOVER_S
            table = BucketTable(term, opens_at, at)
            self._tables[group] = table
        return table

    def _find_kept_bucket(self, account: str, at: float) -> Bucket | None:
        group = self._ownership.group_of(self._region, account)
        table = self._find_table(group, at)
        return table.buckets.get(account) if table else None

    def _find_limit(
        self, account: str, configuration: Configuration | None
    ) -> Limit | None:
        if configuration is None:
            return None
        return find_limit(configuration, account, self._region, self._regions)

    def _change_now(self, account: str) -> None:
        if self._changes.take(account):
            self._change_account(account, self._changes)

    def _change_account(self, account: str, changes: PendingChanges) -> None:
        """Keep the level of a bucket whose limit changed.

        A bucket that isn't kept must not be computed from the new limit, as
        a larger burst would then count as filled already.
        """
        at = changes.at
        old = self._find_limit(account, changes.before)
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
            # It may have been removed, or moved from another region, a
            # moment ago, with leases that are still in use.
            opens_at = max(at + _HANDOVER_S, table.opens_at)
            table.buckets[account] = Bucket(limit, 0, opens_at)
        else:
            bucket = _find_bucket(table, account, old, at)
            bucket.change_limit(limit, at)


def _find_bucket(
    table: BucketTable, account: str, limit: Limit, at: float
) -> Bucket:
    """Return a kept bucket, or one that has filled since the table opened."""
    bucket = table.buckets.get(account)
    if bucket is None:
        filled = limit.rate * max(0, at - table.opens_at)
        level = min(limit.burst, filled + table.find_left(account))
        bucket = Bucket(limit, level, max(at, table.opens_at))
        table.buckets[account] = bucket
    return bucket


def _lease(bucket: Bucket, vm: str, asked: TokensAsked, at: float) -> int:
    known = bucket.find_grant(vm, asked.run, asked.number)
    if known is not None:
        return known.count
    count = bucket.take(asked.needed, asked.ahead)
    if count:
        lease_s = BLOCK_LEASE_S if asked.ahead else SINGLE_LEASE_S
        expires_at = at + lease_s * OWNER_MARGIN
        bucket.add_grant(Grant(vm, asked.run, asked.number, count, expires_at))
    return count


def _refuse(
    to: VmId, asked: TokensAsked, verdict: Verdict, wait_s: float
) -> Output:
    return SendMessage(
        to, TokensGiven(asked.run, asked.number, 0, int(verdict), wait_s)
    )


def _drop_full(table: BucketTable, changes: PendingChanges, at: float) -> int:
    dropped = 0
    for account, bucket in tuple(table.buckets.items()):
        if account in changes:
            continue
        bucket.settle(at)
        # After a change of rate the time since the opening may be too short
        # to compute the level from.
        filled = bucket.limit.rate * (at - table.opens_at)
        if bucket.full and filled >= bucket.limit.burst:
            table.buckets.pop(account)
            dropped += 1
    return dropped


__all__ = ('BucketOwner', 'Verdict')
