"""State of a target on one entry VM."""

from __future__ import annotations

import math
from collections import Counter

import attrs
import xxhash

from ..configuration.places import Distance
from ..core.events import Announcement, TargetState, TargetStatement
from .health import BASELINE, FailureEstimate, find_probability_after_success
from .messages import OutcomeRow
from .rate_limits import RateLimit

_DECAY_S = 10.0
_LIMIT_DECREASE_FACTOR = 0.7
# While a target sheds load, each VM limits the rate of its attempts there by
# additive increase after a success and multiplicative decrease after a shed
# attempt. Additive increase makes the rates of VMs converge; with
# multiplicative increase they stayed different.
_INITIAL_RATE_PER_S = 20.0
_MIN_RATE_PER_S = 1.0
_MAX_RATE_PER_S = 400.0
_RATE_INCREASE_PER_S = 4.0
_RATE_DECREASE_FACTOR = 0.9
_MIN_JITTER = 0.5
_SATURATED_S = 1.0
_MS_PER_S = 1000
_HUNDREDTHS = 100
_MIN_SUSPECT_FAILURES = 2.0
_LOAD_SMOOTHING = 0.5
_LATENCY_SMOOTHING = 0.05
# Idle connections are kept this long unless the target says otherwise.
_WARM_CONNECTION_S = 4.0


def hash_name(name: str) -> int:
    """Return the 32-bit hash that identifies a name in reports."""
    return xxhash.xxh32_intdigest(name.encode())


@attrs.define(eq=False)
class Tally:
    """Outcomes at a target since the last report."""

    succeeded: int = 0
    failed: int = 0
    slow: int = 0
    shed: int = 0
    busy_s: float = 0
    failures_by_account: Counter[str] = attrs.field(factory=Counter)
    successes_by_account: Counter[str] = attrs.field(factory=Counter)

    def to_row(self, target_hash: int) -> OutcomeRow:
        """Return the tally as a row of a report."""
        account, account_failed = '', 0
        if self.failures_by_account:
            account, account_failed = self.failures_by_account.most_common(1)[0]
        return OutcomeRow(
            target_hash,
            self.succeeded,
            self.failed,
            self.slow,
            self.shed,
            round(self.busy_s * _MS_PER_S),
            hash_name(account) if account else 0,
            account_failed,
            self.successes_by_account[account],
        )


@attrs.define(eq=False)
class Target:
    """State of one target on one entry VM.

    Parameters
    ----------
    name_hash
        32-bit hash of its name.
    distance
        From the data centre of this VM.
    ramp_started_at
        Time at which it became ready after a cold start; 0 if unknown.
    limit
        Concurrency limit of this VM, adapted to shed attempts.
    other_load
        Estimate of the slots in use by other VMs.
    fleet_estimate
        Failure estimate from the recent outcomes of all VMs.
    local_estimate
        Failure estimate from outcomes of this VM, which may be caused by the
        network path between them.
    connection_warm_until
        Time until which this VM probably has an idle connection to it.
    idle_until
        Time until which it is taken for a target that no VM uses.
    statement
        What it says of itself in its latest answer.
    rate_limit
        Turns of this VM; None without a limit.
    leaving_since
        Time at which this VM learned that it leaves; infinite if it doesn't.
    paused_until
        Time until which it wants no requests of this VM.
    proven_at
        Time since which requests of any VM have succeeded there.

    """

    announcement: Announcement
    name_hash: int
    distance: Distance
    silent: bool = False
    ramp_started_at: float = 0
    in_use: int = 0
    in_use_long: int = 0
    used_at: float = 0
    limit: float = 1.0
    blocked_until: float = 0
    saturated_until: float = 0
    start_rate: float = _INITIAL_RATE_PER_S
    other_load: float = 0
    own_load: float = 0
    recent_failures: float = 0
    recent_attempts: float = 0
    decayed_at: float = 0
    latency_s: float = 0
    tally: Tally | None = None
    fleet_estimate: FailureEstimate = attrs.field(factory=FailureEstimate)
    local_estimate: FailureEstimate = attrs.field(factory=FailureEstimate)
    connection_warm_until: float = float('-inf')
    idle_until: float = float('-inf')
    statement: TargetStatement = TargetStatement()
    rate_limit: RateLimit | None = None
    leaving_since: float = math.inf
    paused_until: float = float('-inf')
    proven_at: float = float('-inf')

    @property
    def usable(self) -> bool:
        """Whether its announcement allows new requests."""
        draining = self.announcement.state is TargetState.draining
        return not (self.silent or draining)

    @property
    def cold(self) -> bool:
        """Whether it announces a cold start."""
        return self.announcement.state is TargetState.cold

    @property
    def suspicion(self) -> float:
        """Failure rate (0 to 1) of recent attempts of this VM."""
        if self.recent_failures < _MIN_SUSPECT_FAILURES:
            return 0
        return self.recent_failures / (self.recent_attempts + 1)

    def failure_probability(self, at: float) -> float:
        """Return the probability that it is failing for this VM."""
        highest = max(
            self.fleet_estimate.probability_at(at),
            self.local_estimate.probability_at(at),
        )
        if highest > BASELINE:
            return highest
        return min(highest, find_probability_after_success(at - self.proven_at))

    def is_unchanged(self, announcement: Announcement, silent: bool) -> bool:
        """Return whether an announcement changes nothing."""
        known = self.announcement
        same = attrs.evolve(announcement, sequence=known.sequence) == known
        return same and silent == self.silent

    def occupancy(self) -> float:
        """Return the ratio of the estimated slots in use to all slots."""
        return (self.in_use + self.other_load) / self.announcement.slots

    def delay_next_start(self, at: float, jitter: float) -> None:
        """Delay the next start while the target sheds load.

        A VM that frees a slot must not take it again immediately; otherwise
        VMs without a slot would never get one.
        """
        if at < self.saturated_until:
            self.blocked_until = at + (_MIN_JITTER + jitter) / self.start_rate

    def has_room(self, at: float) -> bool:
        """Return whether this VM may start another request there."""
        blocked_until = max(self.blocked_until, self.paused_until)
        if self.in_use >= self.limit or at < blocked_until:
            return False
        return self.rate_limit is None or self.rate_limit.has_turn(at)

    def resumes_at(self, at: float) -> float:
        """Return the time until which its own state delays requests."""
        resumes_at = max(self.blocked_until, self.paused_until)
        if self.rate_limit is None:
            return resumes_at
        return max(resumes_at, self.rate_limit.next_turn(at))

    def start_again(self) -> None:
        """Forget what an earlier start of the target said of itself."""
        self.statement = TargetStatement()
        self.rate_limit = None
        self.leaving_since = math.inf
        self.paused_until = -math.inf
        self.proven_at = -math.inf

    def integrate_use(self, at: float) -> Tally:
        """Add the slot time used since the last call; return the tally."""
        tally = self.tally
        if tally is None:
            tally = Tally()
            self.tally = tally
        tally.busy_s += self.in_use * max(0, at - self.used_at)
        self.used_at = at
        return tally

    def decay(self, at: float) -> None:
        """Decay old outcomes; must be called before new ones are counted."""
        elapsed = at - self.decayed_at
        if elapsed > 0:
            kept = max(0, 1 - elapsed / _DECAY_S)
            self.recent_failures *= kept
            self.recent_attempts *= kept
            self.decayed_at = at

    def record_success(self, at: float, elapsed_s: float) -> None:
        """Raise the limit and the start rate after a success."""
        self.connection_warm_until = at + _WARM_CONNECTION_S
        self.start_rate = min(
            _MAX_RATE_PER_S, self.start_rate + _RATE_INCREASE_PER_S
        )
        weight = _LATENCY_SMOOTHING if self.latency_s else 1
        self.latency_s += weight * (elapsed_s - self.latency_s)
        step = 1 / max(1.0, self.limit)
        self.limit = min(float(self.announcement.slots), self.limit + step)

    def back_off(self, at: float, jitter: float) -> None:
        """Reduce the limit and delay starts after the target shed load.

        Parameters
        ----------
        jitter
            Random number between 0 and 1; VMs shed at the same time must not
            retry at the same time.

        """
        if at >= self.saturated_until:
            self.start_rate = _INITIAL_RATE_PER_S
        self.saturated_until = at + _SATURATED_S
        self.limit = max(1.0, self.limit * _LIMIT_DECREASE_FACTOR)
        self.start_rate = max(
            _MIN_RATE_PER_S, self.start_rate * _RATE_DECREASE_FACTOR
        )
        self.blocked_until = at + (_MIN_JITTER + jitter) / self.start_rate

    def update_other_load(self, pooled_hundredths: int) -> None:
        """Update the load of other VMs from the pooled mean of all VMs."""
        pooled = pooled_hundredths / _HUNDREDTHS
        self.other_load = max(0, pooled - self.own_load)

    def take_row(self, at: float, period_s: float) -> OutcomeRow:
        """Return the row for the leader and reset the tally."""
        tally = self.integrate_use(at)
        mean = tally.busy_s / max(period_s, 1 / _MS_PER_S)
        self.own_load += _LOAD_SMOOTHING * (mean - self.own_load)
        self.tally = None
        return tally.to_row(self.name_hash)


__all__ = ('Tally', 'Target', 'hash_name')
