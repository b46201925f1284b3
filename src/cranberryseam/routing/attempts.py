"""Attempts in progress and the evidence given by their outcomes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .model import LONG_LANE, AdmitRequest, AttemptOutcome
from .service import ServiceState
from .target import Target

if TYPE_CHECKING:
    import random

_OTHER_REGION = 2
_NO_EVIDENCE = frozenset((AttemptOutcome.rejected, AttemptOutcome.closed_idle))
_UNFINISHED = frozenset((AttemptOutcome.cancelled, AttemptOutcome.superseded))
_FAILURES = frozenset(
    (
        AttemptOutcome.failed,
        AttemptOutcome.not_connected,
        AttemptOutcome.timed_out,
    )
)


@attrs.define(eq=False)
class Assignment:
    """An attempt that holds a slot of a target.

    Parameters
    ----------
    overdue
        True once the attempt was counted as overdue.

    """

    request: AdmitRequest
    state: ServiceState
    target: Target
    started_at: float
    overdue: bool = False

    def mark_overdue(self, at: float) -> bool:
        """Return whether the attempt has just exceeded its objective."""
        objective_s = self.request.objective_s
        late = bool(objective_s) and at - self.started_at > objective_s
        if self.overdue or not late:
            return False
        self.overdue = True
        return True

    def begin(self) -> None:
        """Take the slot."""
        target = self.target
        target.integrate_use(self.started_at)
        target.in_use += 1
        if target.rate_limit is not None:
            target.rate_limit.use_turn(self.started_at)
        if self.request.lane == LONG_LANE:
            target.in_use_long += 1
        self.state.unreported[target.announcement.target] = target

    def end(self, at: float) -> None:
        """Free the slot."""
        target = self.target
        target.integrate_use(at)
        target.in_use -= 1
        if self.request.lane == LONG_LANE:
            target.in_use_long -= 1
        name = target.announcement.target
        self.state.unreported[name] = target
        if target.silent and not target.in_use:
            # A silent target is kept only until its last attempt ends.
            self.state.targets.pop(name, None)

    def record_outcome(
        self,
        outcome: AttemptOutcome,
        at: float,
        elapsed_s: float,
        rng: random.Random,
    ) -> None:
        """Count the outcome as evidence about the target.

        Rejected requests are not evidence about the target. Cancelled ones
        are if the attempt had already taken several times the usual latency.
        """
        if outcome is AttemptOutcome.shed:
            self.target.integrate_use(at).shed += 1
            self.target.back_off(at, rng.random())
            return
        self.state.lane(self.request.lane).count_completion()
        if outcome in _NO_EVIDENCE:
            return
        slow = self.is_slow(at, elapsed_s)
        if outcome in _UNFINISHED:
            if slow:
                self._count_outcome(outcome, at, failed=False, slow=True)
            return
        failed = outcome in _FAILURES
        if not failed:
            self.target.record_success(at, elapsed_s)
            lane = self.state.lane(self.request.lane)
            lane.latency.record(at, elapsed_s)
        self._count_outcome(outcome, at, failed=failed, slow=slow)

    def is_slow(self, at: float, elapsed_s: float) -> bool:
        """Return whether the attempt took several times the usual latency."""
        other_region = self.target.distance == _OTHER_REGION
        return self.state.is_slow(
            at, self.request.lane, other_region, elapsed_s
        )

    def _count_outcome(
        self,
        outcome: AttemptOutcome,
        at: float,
        *,
        failed: bool,
        slow: bool,
    ) -> None:
        target = self.target
        account = self.request.account
        is_evidence = self.state.accounts.add_outcome(
            account, target.name_hash, failed
        )
        target.decay(at)
        target.recent_attempts += 1
        target.recent_failures += failed or slow
        if not is_evidence:
            return
        tally = target.integrate_use(at)
        if failed:
            tally.failed += 1
            tally.failures_by_account[account] += 1
        elif outcome is AttemptOutcome.succeeded or slow:
            tally.succeeded += 1
            tally.successes_by_account[account] += 1
        if slow and not failed:
            tally.slow += 1


__all__ = ('Assignment',)
