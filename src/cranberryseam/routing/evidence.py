"""Evidence about each target, kept by the leader of its service."""

from __future__ import annotations

from collections import defaultdict

import attrs

from ..core.events import Announcement, TargetState
from ..types import VmId
from .detection import Rate, Score
from .messages import OutcomeRow

_MAX_FAILURES_PER_ACCOUNT = 3
# Least number of outcomes of other accounts for the comparison, and the ratio
# of failure rates above which an account is at fault instead of the target.
_MIN_OTHER_OUTCOMES = 8.0
_FAULTY_ACCOUNT_RATIO = 4.0
# Accounts with fewer decayed failures are dropped.
_MIN_KEPT_FAILURES = 0.1
_LOAD_SMOOTHING = 0.3


@attrs.define(eq=False)
class AccountShare:
    """Recent outcomes at a target: of one account, and of all others."""

    failed: float = 0
    succeeded: float = 0
    others_failed: float = 0
    others_succeeded: float = 0

    def add(self, row: OutcomeRow) -> None:
        """Add a row in which this account has the most failures."""
        self.failed += row.account_failed
        self.succeeded += row.account_succeeded
        self.others_failed += row.failed - row.account_failed
        self.others_succeeded += row.succeeded - row.account_succeeded

    def decay(self, kept: float) -> None:
        """Multiply the counts by a decay factor."""
        self.failed *= kept
        self.succeeded *= kept
        self.others_failed *= kept
        self.others_succeeded *= kept

    @property
    def is_at_fault(self) -> bool:
        """Whether the account fails where other accounts succeed."""
        outcomes = self.failed + self.succeeded
        other_outcomes = self.others_failed + self.others_succeeded
        if not outcomes or other_outcomes < _MIN_OTHER_OUTCOMES:
            return False
        share = self.failed / outcomes
        return (
            share > _FAULTY_ACCOUNT_RATIO * self.others_failed / other_outcomes
        )


@attrs.define(eq=False)
class TargetEvidence:
    """Evidence of all VMs about one target."""

    announcement: Announcement
    silent: bool = False
    silent_at: float = 0
    ready_at: float = 0
    load: float = 0
    rows: list[tuple[VmId, OutcomeRow]] = attrs.field(factory=list)
    shares: dict[int, AccountShare] = attrs.field(factory=dict)
    failed: Score = attrs.field(factory=Score)
    slow: Score = attrs.field(factory=Score)
    fail_rate: Rate = attrs.field(factory=Rate)
    slow_rate: Rate = attrs.field(factory=Rate)
    fail_batch: Rate = attrs.field(factory=Rate)
    slow_batch: Rate = attrs.field(factory=Rate)
    shed_batch: Rate = attrs.field(factory=Rate)

    @property
    def ready(self) -> bool:
        """Whether the target is ready for requests."""
        state = self.announcement.state
        return state is TargetState.ready and not self.silent

    @property
    def draining(self) -> bool:
        """Whether the target has announced that it drains."""
        return self.announcement.state is TargetState.draining

    def update_load(self, load: float) -> None:
        """Update the smoothed number of slots in use by all VMs."""
        self.load += _LOAD_SMOOTHING * (load - self.load)

    def count_rows(self, kept: float) -> Counts:
        """Return the sum of the rows since the last call.

        Parameters
        ----------
        kept
            Decay factor for the earlier counts of accounts.

        """
        rows = self.rows
        self.rows = []
        return Counts.collect(rows, self._find_faulty_accounts(rows, kept))

    def highest_score(self) -> tuple[float, str, Score]:
        """Return the larger total, its reason and its score."""
        if self.failed.total >= self.slow.total:
            return self.failed.total, 'failing', self.failed
        return self.slow.total, 'slow', self.slow

    def _find_faulty_accounts(
        self, rows: list[tuple[VmId, OutcomeRow]], kept: float
    ) -> frozenset[int]:
        """Return the accounts whose failures aren't evidence on the target."""
        for before in self.shares.values():
            before.decay(kept)
        for _, row in rows:
            # Rows without failures don't name an account.
            if row.account_failed:
                self.shares.setdefault(row.account, AccountShare()).add(row)
        self.shares = {
            account: share
            for account, share in self.shares.items()
            if share.failed >= _MIN_KEPT_FAILURES
        }
        return frozenset(
            account
            for account, share in self.shares.items()
            if share.is_at_fault
        )


@attrs.define(eq=False)
class Counts:
    """Sums of the rows of one target, with a cap per account."""

    failed: dict[VmId, tuple[float, float]] = attrs.field(factory=dict)
    slow: dict[VmId, tuple[float, float]] = attrs.field(factory=dict)
    total: int = 0
    total_failed: int = 0
    total_slow: int = 0
    total_shed: int = 0
    busy_ms: int = 0

    @classmethod
    def collect(
        cls,
        rows: list[tuple[VmId, OutcomeRow]],
        faulty_accounts: frozenset[int],
    ) -> Counts:
        """Sum rows; failures of one account count up to a cap.

        Failures of accounts at fault are not counted.
        """
        counts = cls()
        by_account: dict[int, int] = defaultdict(int)
        for vm, row in rows:
            allowance = max(
                0, _MAX_FAILURES_PER_ACCOUNT - by_account[row.account]
            )
            if row.account in faulty_accounts:
                allowance = 0
            by_account[row.account] += row.account_failed
            excess = max(0, row.account_failed - allowance)
            counts.add_row(vm, row, row.failed - excess)
        return counts

    def trial_failures(self, reason: str) -> int:
        """Return the number of outcomes that count against a trial."""
        if reason == 'slow':
            return self.total_failed + self.total_slow
        return self.total_failed

    def add_rates(
        self, evidence: TargetEvidence, kept: float, batch_kept: float
    ) -> None:
        """Add the sums to the rates of a target."""
        failed = self.total_failed
        slow = self.total_slow
        outcomes = self.total
        evidence.fail_rate.add(kept, failed, outcomes)
        evidence.slow_rate.add(kept, slow, outcomes)
        evidence.fail_batch.add(batch_kept, failed, outcomes)
        evidence.slow_batch.add(batch_kept, slow, outcomes)
        shed = self.total_shed
        evidence.shed_batch.add(batch_kept, shed, outcomes + shed)

    def add_row(self, vm: VmId, row: OutcomeRow, failed: int) -> None:
        """Add one row with its number of counted failures."""
        outcomes = row.succeeded + row.failed
        _add_pair(self.failed, vm, (failed, row.succeeded))
        _add_pair(self.slow, vm, (row.slow, max(0, outcomes - row.slow)))
        self.total += outcomes
        self.total_failed += row.failed
        self.total_slow += row.slow
        self.total_shed += row.shed
        self.busy_ms += row.busy_ms


def _add_pair(
    pairs: dict[VmId, tuple[float, float]], vm: VmId, added: tuple[int, int]
) -> None:
    bad, good = pairs.get(vm, (0, 0))
    pairs[vm] = (bad + added[0], good + added[1])


__all__ = ('Counts', 'TargetEvidence')
