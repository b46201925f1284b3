"""Ejected targets of a service in a region, decided by the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..types import TargetId, VmId
from .floor import measure_capacity
from .messages import EjectedRow
from .model import Tuning

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Sequence

    from ..core.events import Announcement

_LAST_STAGE = 3
_STAGE_SUCCESSES = 5
_LEAST_BAD = 2
_BAD_SHARE = 0.25
# A target that nobody tries, because the service has no retriable requests,
# returns untested after this time; the test watches it as any other.
_UNTRIED_S = 60.0
_STABLE_S = 60.0
_ROTATE_S = 5.0
_MOST_DOUBLINGS = 16


@attrs.define(eq=False)
class Ejection:
    """One ejected target.

    Parameters
    ----------
    until
        Time at which its trial starts.
    stage
        0 while it gets nothing; then the trial stage, in which
        ``2 ** (stage - 1)`` VMs send it one request at a time.

    """

    target: TargetId
    reason: str
    score: float
    until: float
    stage: int = 0
    changed_at: float = 0
    good: int = 0
    bad: int = 0
    trial_vms: tuple[VmId, ...] = ()

    def has_failed(self) -> bool:
        """Return whether the trial went wrong."""
        seen = self.bad + self.good
        return self.bad >= _LEAST_BAD and self.bad > seen * _BAD_SHARE


@attrs.frozen
class _History:
    strikes: int
    out_s: float
    returned_at: float


class Ejections:
    """The set of ejections, their trials, and the floor.

    A target that was lifted still counts as held until every VM's view that
    could name it has expired: until then some VM may exclude it while others
    already exclude the next one.
    """

    def __init__(self, tuning: Tuning, rng: random.Random) -> None:
        """Start without ejections."""
        self._tuning = tuning
        self._rng = rng
        self.active: dict[TargetId, Ejection] = {}
        self._lingering: dict[TargetId, float] = {}
        self._history: dict[TargetId, _History] = {}

    def held(self, at: float) -> set[TargetId]:
        """Return the targets that some VM may exclude."""
        for name in tuple(self._lingering):
            if at >= self._lingering[name]:
                self._lingering.pop(name)
        return {*self.active, *self._lingering}

    def eject(
        self, target: TargetId, reason: str, score: float, at: float
    ) -> Ejection:
        """Eject a target; the caller has checked the floor."""
        before = self._history.get(target)
        strikes = 0
        if before is not None and self._is_recent(before, at):
            strikes = before.strikes + 1
        out_s = self._out_s(strikes)
        ejection = Ejection(target, reason, score, at + out_s, changed_at=at)
        self.active[target] = ejection
        self._history[target] = _History(strikes, out_s, at + out_s)
        return ejection

    def lift(self, target: TargetId, at: float) -> None:
        """Return a target to work."""
        self.active.pop(target)
        self._lingering[target] = (
            at + self._tuning.lease_s + self._tuning.lease_margin_s
        )
        before = self._history[target]
        self._history[target] = attrs.evolve(before, returned_at=at)

    def forget(self, target: TargetId) -> None:
        """Drop a target that left for good."""
        self.active.pop(target, None)
        self._history.pop(target, None)

    def lift_to_floor(
        self,
        known: Sequence[tuple[Announcement, bool]],
        floor: float,
        at: float,
    ) -> list[TargetId]:
        """Lift ejections, weakest first, while the floor is not met."""
        lifted: list[TargetId] = []
        while self.active:
            if not measure_capacity(known, self.active).is_below(floor):
                break
            weakest = min(self.active.values(), key=_rank).target
            self.lift(weakest, at)
            lifted.append(weakest)
        return lifted

    def count_trial(self, target: TargetId, good: int, bad: int) -> None:
        """Count outcomes of an ejected target; they matter in its trial."""
        ejection = self.active.get(target)
        if ejection is not None and ejection.stage:
            ejection.good += good
            ejection.bad += bad

    def advance(self, at: float, vms: Sequence[VmId]) -> list[TargetId]:
        """Move trials on; return the targets that came back to work.

        Parameters
        ----------
        vms
            Live VMs that use the service, sorted by name.

        """
        returned = []
        for ejection in tuple(self.active.values()):
            if self._advance_one(ejection, at, vms):
                self.lift(ejection.target, at)
                returned.append(ejection.target)
        return returned

    def rows_for(self, vm: VmId) -> tuple[EjectedRow, ...]:
        """Return the ejections as announced to one VM."""
        return tuple(
            EjectedRow(
                ejection.target,
                ejection.reason,
                round(ejection.score, 1),
                vm in ejection.trial_vms,
            )
            for ejection in self.active.values()
        )

    def _advance_one(
        self, ejection: Ejection, at: float, vms: Sequence[VmId]
    ) -> bool:
        if not ejection.stage:
            if at >= ejection.until:
                self._enter_stage(ejection, 1, at, vms)
            return False
        if ejection.has_failed():
            self._eject_again(ejection, at)
            return False
        needed = _STAGE_SUCCESSES * 2 ** (ejection.stage - 1)
        if ejection.good >= needed:
            if ejection.stage == _LAST_STAGE:
                return True
            self._enter_stage(ejection, ejection.stage + 1, at, vms)
        elif at >= ejection.changed_at + _ROTATE_S and not ejection.good:
            if at >= ejection.until + _UNTRIED_S:
                return not ejection.bad
            self._enter_stage(ejection, ejection.stage, at, vms)
        return False

    def _enter_stage(
        self, ejection: Ejection, stage: int, at: float, vms: Iterable[VmId]
    ) -> None:
        known = tuple(vms)
        count = min(len(known), 2 ** (stage - 1))
        ejection.trial_vms = tuple(self._rng.sample(known, count))
        ejection.stage = stage
        ejection.changed_at = at
        ejection.good = 0

    def _eject_again(self, ejection: Ejection, at: float) -> None:
        strikes = self._history[ejection.target].strikes + 1
        out_s = self._out_s(strikes)
        history = _History(strikes, out_s, at + out_s)
        self._history[ejection.target] = history
        ejection.until = at + out_s
        ejection.stage = 0
        ejection.changed_at = at
        ejection.good = 0
        ejection.bad = 0
        ejection.trial_vms = ()

    def _is_recent(self, before: _History, at: float) -> bool:
        stable_s = max(_STABLE_S, 2 * before.out_s)
        return at < before.returned_at + stable_s

    def _out_s(self, strikes: int) -> float:
        doublings = 1 << min(strikes, _MOST_DOUBLINGS)
        return min(self._tuning.most_out_s, self._tuning.out_s * doublings)


def _rank(ejection: Ejection) -> tuple[float, TargetId]:
    return ejection.score, ejection.target


__all__ = ('Ejection', 'Ejections')
