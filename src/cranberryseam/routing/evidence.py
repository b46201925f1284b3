"""What the leader of a service knows of each target."""

from __future__ import annotations

from collections import defaultdict

import attrs

from ..core.events import Announcement, TargetState
from ..types import VmId
from .detection import Rate, Score
from .messages import OutcomeRow

_MAX_FAILURES_PER_ACCOUNT = 3
# Outcomes of the other accounts from which on they clear a target, and how
# many times rarer their failures must be.
_MIN_OTHER_OUTCOMES = 8.0
_MIN_RATE_RATIO = 4.0
# Failures of an account below this are forgotten.
_MIN_KEPT_FAILURES = 0.1
_LOAD_SMOOTHING = 0.3


@attrs.define(eq=False)
class AccountShare:
    """Recent outcomes of one account at a target, and of all others."""

    failed: float = 0
    succeeded: float = 0
    others_failed: float = 0
    others_succeeded: float = 0

    def add(self, row: OutcomeRow) -> None:
        """Add a row in which this account failed most."""
        self.failed += row.account_failed
        self.succeeded += row.account_succeeded
        self.others_failed += row.failed - row.account_failed
        self.others_succeeded += row.succeeded - row.account_succeeded

    def decay(self, kept: float) -> None:
        """Forget a part of it."""
        self.failed *= kept
        self.succeeded *= kept
        self.others_failed *= kept
        self.others_succeeded *= kept

    @property
    def is_at_fault(self) -> bool:
        """Whether the account fails where the others succeed."""
        seen = self.failed + self.succeeded
        other_outcomes = self.others_failed + self.others_succeeded
        if not seen or other_outcomes < _MIN_OTHER_OUTCOMES:
            return False
        share = self.failed / seen
        return share > _MIN_RATE_RATIO * self.others_failed / other_outcomes


@attrs.define(eq=False)
class TargetEvidence:
    """What the leader knows of one target."""

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
        """Whether it announces that it takes work."""
        state = self.announcement.state
        return state is TargetState.ready and not self.silent

    @property
    def draining(self) -> bool:
        """Whether it announced that it leaves."""
        return self.announcement.state is TargetState.draining

    def update_load(self, load: float) -> None:
        """Smooth the slots in use over all VMs."""
        self.load += _LOAD_SMOOTHING * (load - self.load)

    def count_rows(self, kept: float) -> Counts:
        """Return the sum of the rows since the last call.

        Parameters
        ----------
        kept
            Part of what was known of accounts before that still counts.

        """
        rows = self.rows
        self.rows = []
        return Counts.collect(rows, self._find_faulty_accounts(rows, kept))

    def highest_score(self) -> tuple[float, str, Score]:
        """Return the larger score, its reason and its parts."""
        if self.failed.total >= self.slow.total:
            return self.failed.total, 'failing', self.failed
        return self.slow.total, 'slow', self.slow

    def _find_faulty_accounts(
        self, rows: list[tuple[VmId, OutcomeRow]], kept: float
    ) -> frozenset[int]:
        """Return the accounts whose failures say nothing about the target."""
        for before in self.shares.values():
            before.decay(kept)
        for _, row in rows:
            # Other rows don't say which accounts succeeded.
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
    """Rows of one target, summed per VM with the cap per account."""

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

        Those of bad accounts don't count at all.
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
        """Return the outcomes that speak against the end of a trial."""
        if reason == 'slow':
            return self.total_failed + self.total_slow
        return self.total_failed

    def add_rates(
        self, evidence: TargetEvidence, kept: float, batch_kept: float
    ) -> None:
        """Add to the rates of a target."""
        failed = self.total_failed
        slow = self.total_slow
        seen = self.total
        evidence.fail_rate.add(kept, failed, seen)
        evidence.slow_rate.add(kept, slow, seen)
        evidence.fail_batch.add(batch_kept, failed, seen)
        evidence.slow_batch.add(batch_kept, slow, seen)
        shed = self.total_shed
        evidence.shed_batch.add(batch_kept, shed, seen + shed)

    def add_row(self, vm: VmId, row: OutcomeRow, failed: int) -> None:
        """Add one row with the failures that count."""
        seen = row.succeeded + row.failed
        _add_pair(self.failed, vm, (failed, row.succeeded))
        _add_pair(self.slow, vm, (row.slow, max(0, seen - row.slow)))
        self.total += seen
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
