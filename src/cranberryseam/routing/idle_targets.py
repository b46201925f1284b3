"""Targets that get no requests of any VM while others of the service do."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

import attrs

from ..core.effects import IncrementCounter, WriteLog
from .target import hash_name

if TYPE_CHECKING:
    from collections.abc import Mapping, Set

    from ..types import Output, ServiceName, TargetId

# Shorter pauses occur by chance even if all targets have the same share.
MIN_IDLE_S: Final = 2.0
# Mean time from an attempt to the report of its VM.
_REPORT_DELAY_S: Final = 0.5
_OFFERED_AFTER_S: Final = 0.7
# A VM may have no request within this time, or may not be able to use it.
_OFFER_INTERVAL_S: Final = 0.5
# A target that has just failed probably still does.
_RETRY_INTERVAL_S: Final = 1.5
# Share of all requests that may go to idle targets, which often still fail.
_OFFERED_SHARE: Final = 0.25
# A service with few requests sends all of them to its idle targets.
_MIN_OFFERS_PER_S: Final = 2.0
# Targets that fail more probably are named last: VMs may not use them.
_DOUBTFUL_PERCENT: Final = 70
# Above the estimate without any outcome.
_FAILING_PERCENT: Final = 15
# Bounds the size of a view.
_MAX_UNPROVEN: Final = 16
# A VM has few requests until its next view.
_MAX_OFFERED: Final = 1
_RATE_SMOOTHING: Final = 0.3
_DECIMALS: Final = 1

# Returns the failure probability (percent) of a target, by its hash.
EstimateLookup = Callable[[int, float], int]


@attrs.define(eq=False)
class _Use:
    used_at: float
    logged: bool = False
    succeeded_at: float = float('-inf')
    next_offer_at: float = float('-inf')


@attrs.frozen
class Proof:
    """Recent successes of the targets of a service.

    Parameters
    ----------
    age_s
        All targets have succeeded within this time, except those below.
    unproven
        Hashes of targets without a recent success.

    """

    age_s: float
    unproven: tuple[int, ...]


@attrs.frozen
class _Period:
    target: TargetId
    idle_s: float


@attrs.define(eq=False)
class IdleTargets:
    """Idle times of the targets of one service, from the reports of all VMs.

    Parameters
    ----------
    service
        Name of the service.

    """

    service: ServiceName
    _rate_per_s: float = 0
    _attempts: int = 0
    _updated_at: float = 0
    _uses: dict[TargetId, _Use] = attrs.field(factory=dict)
    _doubtful: frozenset[TargetId] = frozenset()
    _failing: frozenset[TargetId] = frozenset()
    _allowance: float = 0
    _ended: list[_Period] = attrs.field(factory=list)
    _service_used_at: float = float('-inf')

    def record_use(
        self, target: TargetId, attempts: int, at: float, succeeded: int = 0
    ) -> None:
        """Record that a VM uses a target and how many attempts have ended.

        Parameters
        ----------
        succeeded
            Attempts that ended with a success.

        """
        self._attempts += attempts
        use = self._uses.setdefault(target, _Use(at))
        if use.logged:
            self._ended.append(_Period(target, at - use.used_at))
        self._uses[target] = _Use(
            max(use.used_at, at - _REPORT_DELAY_S),
            succeeded_at=at if succeeded else use.succeeded_at,
            next_offer_at=use.next_offer_at,
        )
        self._service_used_at = at

    def record_outcome(self, target: TargetId, at: float, failed: bool) -> None:
        """Record an outcome that a VM has reported at once."""
        use = self._uses.get(target)
        if use is None:
            return
        use.used_at = max(use.used_at, at)
        if failed:
            use.next_offer_at = at + _RETRY_INTERVAL_S

    def update(
        self, ready: Set[TargetId], at: float, estimates: EstimateLookup
    ) -> list[Output]:
        """Log the targets that have become idle and those in use again.

        Parameters
        ----------
        ready
            Targets that are ready for requests.

        """
        self._update_rate(at)
        percents = {name: estimates(hash_name(name), at) for name in ready}
        self._doubtful = _select_above(percents, _DOUBTFUL_PERCENT)
        self._failing = _select_above(percents, _FAILING_PERCENT)
        for name in self._uses.keys() - ready:
            self._uses.pop(name)
        outputs: list[Output] = [
            self._log('idle target in use again', period, at, estimates)
            for period in self._ended
        ]
        self._ended = []
        for period in self._find_idle(ready, at):
            outputs.append(self._log('target idle', period, at, estimates))
            outputs.append(IncrementCounter('routing.targets_idle'))
        return outputs

    def offer(
        self, at: float, is_served: Callable[[TargetId], bool]
    ) -> tuple[int, ...]:
        """Return hashes of the targets that the next requests of a VM go to.

        The longest idle ones come first. Each offer is made to one VM only.

        Parameters
        ----------
        is_served
            Whether the VM sends requests to a target that is idle.

        """
        idle = sorted(
            (name in self._doubtful, use.used_at, name)
            for name, use in self._uses.items()
            if at - use.used_at >= _OFFERED_AFTER_S and at >= use.next_offer_at
        )
        served = [row[-1] for row in idle if is_served(row[-1])]
        offered = served[: min(_MAX_OFFERED, int(self._allowance))]
        self._allowance -= len(offered)
        for name in offered:
            self._uses[name].next_offer_at = at + _OFFER_INTERVAL_S
        return tuple(map(hash_name, offered))

    def find_proof(self, at: float) -> Proof | None:
        """Return when targets last succeeded; None if nothing is known.

        Targets that fail don't count, because VMs know of them.
        """
        successes = {
            name: use.succeeded_at
            for name, use in self._uses.items()
            if name not in self._failing
        }
        unproven = [
            name
            for name, succeeded_at in successes.items()
            if at - succeeded_at > MIN_IDLE_S
        ]
        if not successes or len(unproven) > _MAX_UNPROVEN:
            return None
        oldest = min(
            (time for name, time in successes.items() if name not in unproven),
            default=at,
        )
        return Proof(at - oldest, tuple(map(hash_name, unproven)))

    def _update_rate(self, at: float) -> None:
        elapsed_s = at - self._updated_at
        if elapsed_s > 0:
            rate = self._attempts / elapsed_s
            self._rate_per_s += _RATE_SMOOTHING * (rate - self._rate_per_s)
            self._attempts = 0
            self._updated_at = at
            offers_per_s = max(
                self._rate_per_s * _OFFERED_SHARE, _MIN_OFFERS_PER_S
            )
            self._allowance = min(
                max(1, offers_per_s),
                self._allowance + offers_per_s * elapsed_s,
            )

    def _find_idle(self, ready: Set[TargetId], at: float) -> list[_Period]:
        """Return the targets that have been idle long enough to be logged."""
        found = []
        for name in sorted(ready):
            use = self._uses.setdefault(name, _Use(at))
            # Without requests for the service all of its targets are idle.
            idle_s = self._service_used_at - use.used_at
            if idle_s >= MIN_IDLE_S and not use.logged:
                use.logged = True
                found.append(_Period(name, idle_s))
        return found

    def _log(
        self,
        message: str,
        period: _Period,
        at: float,
        estimates: EstimateLookup,
    ) -> WriteLog:
        fields = {
            'service': self.service,
            'target': period.target,
            'idle_s': round(period.idle_s, _DECIMALS),
            'failure_percent': estimates(hash_name(period.target), at),
        }
        return WriteLog(logging.INFO, message, fields)


def _select_above(
    percents: Mapping[TargetId, int], limit: int
) -> frozenset[TargetId]:
    return frozenset(
        name for name, percent in percents.items() if percent > limit
    )


__all__ = ('MIN_IDLE_S', 'EstimateLookup', 'IdleTargets', 'Proof')
