"""Targets that get no requests of any VM while others of the service do."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

import attrs

from ..core.effects import IncrementCounter, WriteLog
from .target import hash_name

if TYPE_CHECKING:
    from collections.abc import Set

    from ..types import Output, ServiceName, TargetId

# Shorter pauses occur by chance even if all targets have the same share.
MIN_IDLE_S: Final = 2.0
_DECIMALS: Final = 1

# Returns the failure probability (percent) of a target, by its hash.
EstimateLookup = Callable[[int, float], int]


@attrs.define(eq=False)
class _Use:
    used_at: float
    logged: bool = False


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
    _uses: dict[TargetId, _Use] = attrs.field(factory=dict)
    _ended: list[_Period] = attrs.field(factory=list)
    _service_used_at: float = float('-inf')

    def record_use(self, target: TargetId, at: float) -> None:
        """Record that a VM has used a target."""
        use = self._uses.setdefault(target, _Use(at))
        if use.logged:
            self._ended.append(_Period(target, at - use.used_at))
        self._uses[target] = _Use(at)
        self._service_used_at = at

    def update(
        self, ready: Set[TargetId], at: float, estimates: EstimateLookup
    ) -> list[Output]:
        """Log the targets that have become idle and those in use again.

        Parameters
        ----------
        ready
            Targets that are ready for requests.

        """
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


__all__ = ('MIN_IDLE_S', 'EstimateLookup', 'IdleTargets')
