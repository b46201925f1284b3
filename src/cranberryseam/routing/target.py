"""A target as one entry VM sees it."""

from __future__ import annotations

from collections import Counter

import attrs
import xxhash

from ..core.events import Announcement, TargetState
from .health import FailureEstimate
from .messages import OutcomeRow

_DECAY_S = 10.0
_LIMIT_DECREASE_FACTOR = 0.7
# While a target sheds load, each VM paces its attempts there (per second):
# one more for a success, a share less for a shed attempt. Additive growth
# makes the paces of the VMs equal; a multiplicative one kept them apart.
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
# Idle connections to targets are kept this long if targets say nothing.
_WARM_CONNECTION_S = 4.0


def hash_name(name: str) -> int:
    """Return the 32-bit hash that stands for a name in reports."""
    return xxhash.xxh32_intdigest(name.encode())


@attrs.define(eq=False)
class Tally:
    """Outcomes since the last report."""

    succeeded: int = 0
    failed: int = 0
    slow: int = 0
    shed: int = 0
    busy_s: float = 0
    failures_by_account: Counter[str] = attrs.field(factory=Counter)
    successes_by_account: Counter[str] = attrs.field(factory=Counter)

    def to_row(self, key: int) -> OutcomeRow:
        """Return the row of a report."""
        account, account_failed = '', 0
        if self.failures_by_account:
            account, account_failed = self.failures_by_account.most_common(1)[0]
        return OutcomeRow(
            key,
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
        Hash of its name.
    distance
        0 in the data centre of this VM, 1 in its region, 2 elsewhere.
    ramp_from
        Time at which it became ready after a cold start; 0 if unknown.
    limit
        Concurrency that this VM allows itself, adapted to shedding.
    others
        Estimate of the slots that other VMs use.
    belief
        What all VMs together saw of it lately.
    path
        What this VM saw of it itself, which the path to it may cause.
    warm_until
        Until then this VM probably has an idle connection to it.

    """

    announcement: Announcement
    name_hash: int
    distance: int
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

    @property
    def usable(self) -> bool:
        """Whether it may get new work as far as it announced itself."""
        draining = self.announcement.state is TargetState.draining
        return not (self.silent or draining)

    @property
    def cold(self) -> bool:
        """Whether it says that it is still starting."""
        return self.announcement.state is TargetState.cold

    @property
    def suspicion(self) -> float:
        """Share (0 to 1) of recent attempts of this VM that went wrong."""
        if self.recent_failures < _MIN_SUSPECT_FAILURES:
            return 0
        return self.recent_failures / (self.recent_attempts + 1)

    def failure_chance(self, at: float) -> float:
        """Return the probability that it fails most requests of this VM."""
        return max(
            self.fleet_estimate.probability_at(at),
            self.local_estimate.probability_at(at),
        )

    def is_unchanged(self, announcement: Announcement, silent: bool) -> bool:
        """Return whether an announcement says nothing new."""
        known = self.announcement
        same = attrs.evolve(announcement, sequence=known.sequence) == known
        return same and silent == self.silent

    def occupancy(self) -> float:
        """Return the estimated slots in use over the slots."""
        return (self.in_use + self.other_load) / self.announcement.slots

    def delay_next_start(self, at: float, jitter: float) -> None:
        """Space the starts while the target sheds load.

        Whoever frees a slot must not take it again at once: otherwise VMs
        without a slot would never get one.
        """
        if at < self.saturated_until:
            self.blocked_until = at + (_MIN_JITTER + jitter) / self.start_rate

    def has_room(self, at: float) -> bool:
        """Return whether this VM may start one more request there."""
        return self.in_use < self.limit and at >= self.blocked_until

    def integrate_use(self, at: float) -> Tally:
        """Integrate the slots in use and return the current tally."""
        tally = self.tally
        if tally is None:
            tally = Tally()
            self.tally = tally
        tally.busy_s += self.in_use * max(0, at - self.used_at)
        self.used_at = at
        return tally

    def decay(self, at: float) -> None:
        """Forget old outcomes; called before new ones are counted."""
        elapsed = at - self.decayed_at
        if elapsed > 0:
            kept = max(0, 1 - elapsed / _DECAY_S)
            self.recent_failures *= kept
            self.recent_attempts *= kept
            self.decayed_at = at

    def record_success(self, at: float, elapsed_s: float) -> None:
        """Allow more after a success, up to all slots."""
        self.connection_warm_until = at + _WARM_CONNECTION_S
        self.start_rate = min(
            _MAX_RATE_PER_S, self.start_rate + _RATE_INCREASE_PER_S
        )
        weight = _LATENCY_SMOOTHING if self.latency_s else 1
        self.latency_s += weight * (elapsed_s - self.latency_s)
        step = 1 / max(1.0, self.limit)
        self.limit = min(float(self.announcement.slots), self.limit + step)

    def back_off(self, at: float, jitter: float) -> None:
        """Allow less and pause after the target shed load.

        Parameters
        ----------
        jitter
            Random number in 0 to 1; VMs that were shed together must not
            return together.

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
        """Take over the mean use that the leader pooled from all VMs."""
        pooled = pooled_hundredths / _HUNDREDTHS
        self.other_load = max(0, pooled - self.own_load)

    def take_row(self, at: float, period_s: float) -> OutcomeRow:
        """Return the row for the leader and start a new tally."""
        tally = self.integrate_use(at)
        mean = tally.busy_s / max(period_s, 1 / _MS_PER_S)
        self.own_load += _LOAD_SMOOTHING * (mean - self.own_load)
        self.tally = None
        return tally.to_row(self.name_hash)


__all__ = ('Tally', 'Target', 'hash_name')
