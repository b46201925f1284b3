"""Ejections and trials of targets of a service in a region, at its leader."""

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

_LAST_TRIAL_STAGE = 3
_SUCCESSES_PER_TRIAL_VM = 5
_MIN_TRIAL_FAILURES = 2
_MAX_TRIAL_FAILURE_SHARE = 0.25
# An ejected target that gets no trial requests, because the service has no
# retriable ones, is returned untested after this time. Detection then applies
# to it again.
_MAX_UNTRIED_S = 60.0
_MIN_STABLE_S = 60.0
_TRIAL_ROTATION_S = 5.0
_MAX_DOUBLINGS = 16


@attrs.define(eq=False)
class Ejection:
    """One ejected target.

    Parameters
    ----------
    trial_starts_at
        Time at which its trial starts.
    stage
        0 while the target gets no requests; then the trial stage, in which
        ``2 ** (stage - 1)`` VMs each send it one request at a time.

    """

    target: TargetId
    reason: str
    score: float
    trial_starts_at: float
    stage: int = 0
    changed_at: float = 0
    successes: int = 0
    failures: int = 0
    trial_vms: tuple[VmId, ...] = ()

    def has_failed(self) -> bool:
        """Return whether the trial failed."""
        outcomes = self.failures + self.successes
        return (
            self.failures >= _MIN_TRIAL_FAILURES
            and self.failures > outcomes * _MAX_TRIAL_FAILURE_SHARE
        )


@attrs.frozen
class _History:
    repeat_count: int
    ejection_s: float
    returned_at: float


class Ejections:
    """The active ejections of a service, their trials and the floor.

    A target whose ejection was lifted counts as possibly excluded until the
    leases of all views that may name it have expired. Until then some VMs may
    exclude it while others already exclude the target ejected next.
    """

    def __init__(self, tuning: Tuning, rng: random.Random) -> None:
        """Create an empty set of ejections."""
        self._tuning = tuning
        self._rng = rng
        self.active: dict[TargetId, Ejection] = {}
        self._excludable_until: dict[TargetId, float] = {}
        self._history: dict[TargetId, _History] = {}

    def possibly_excluded(self, at: float) -> set[TargetId]:
        """Return the targets that any VM may currently exclude."""
        for name in tuple(self._excludable_until):
            if at >= self._excludable_until[name]:
                self._excludable_until.pop(name)
        return {*self.active, *self._excludable_until}

    def eject(
        self, target: TargetId, reason: str, score: float, at: float
    ) -> Ejection:
        """Eject a target; the caller must have checked the floor."""
        previous = self._history.get(target)
        repeat_count = 0
        if previous is not None and self._is_recent(previous, at):
            repeat_count = previous.repeat_count + 1
        ejection_s = self._ejection_duration_s(repeat_count)
        ejection = Ejection(
            target, reason, score, at + ejection_s, changed_at=at
        )
        self.active[target] = ejection
        self._history[target] = _History(
            repeat_count, ejection_s, at + ejection_s
        )
        return ejection

    def lift(self, target: TargetId, at: float) -> None:
        """End the ejection of a target."""
        self.active.pop(target)
        self._excludable_until[target] = (
            at + self._tuning.lease_s + self._tuning.lease_margin_s
        )
        previous = self._history[target]
        self._history[target] = attrs.evolve(previous, returned_at=at)

    def forget(self, target: TargetId) -> None:
        """Remove the state of a target that left permanently."""
        self.active.pop(target, None)
        self._history.pop(target, None)

    def lift_below_floor(
        self,
        known: Sequence[tuple[Announcement, bool]],
        floor: float,
        at: float,
    ) -> list[TargetId]:
        """Lift ejections, lowest score first, until the floor is met."""
        lifted: list[TargetId] = []
        while self.active:
            if not measure_capacity(known, self.active).is_below(floor):
                break
            weakest = min(self.active.values(), key=_order_by_score).target
            self.lift(weakest, at)
            lifted.append(weakest)
        return lifted

    def count_trial(
        self, target: TargetId, successes: int, failures: int
    ) -> None:
        """Count outcomes of an ejected target that is in its trial."""
        ejection = self.active.get(target)
        if ejection is not None and ejection.stage:
            ejection.successes += successes
            ejection.failures += failures

    def advance_trials(self, at: float, vms: Sequence[VmId]) -> list[TargetId]:
        """Advance the trials; return the targets whose ejection ended.

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
        """Return the rows of a view for one VM."""
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
            if at >= ejection.trial_starts_at:
                self._enter_stage(ejection, 1, at, vms)
            return False
        if ejection.has_failed():
            self._eject_again(ejection, at)
            return False
        needed = _SUCCESSES_PER_TRIAL_VM * 2 ** (ejection.stage - 1)
        if ejection.successes >= needed:
            if ejection.stage == _LAST_TRIAL_STAGE:
                return True
            self._enter_stage(ejection, ejection.stage + 1, at, vms)
        elif (
            at >= ejection.changed_at + _TRIAL_ROTATION_S
            and not ejection.successes
        ):
            if at >= ejection.trial_starts_at + _MAX_UNTRIED_S:
                return not ejection.failures
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
        ejection.successes = 0

    def _eject_again(self, ejection: Ejection, at: float) -> None:
        repeat_count = self._history[ejection.target].repeat_count + 1
        ejection_s = self._ejection_duration_s(repeat_count)
        history = _History(repeat_count, ejection_s, at + ejection_s)
        self._history[ejection.target] = history
        ejection.trial_starts_at = at + ejection_s
        ejection.stage = 0
        ejection.changed_at = at
        ejection.successes = 0
        ejection.failures = 0
        ejection.trial_vms = ()

    def _is_recent(self, previous: _History, at: float) -> bool:
        stable_s = max(_MIN_STABLE_S, 2 * previous.ejection_s)
        return at < previous.returned_at + stable_s

    def _ejection_duration_s(self, repeat_count: int) -> float:
        doublings = 1 << min(repeat_count, _MAX_DOUBLINGS)
        return min(
            self._tuning.max_ejection_s,
            self._tuning.base_ejection_s * doublings,
        )


def _order_by_score(ejection: Ejection) -> tuple[float, TargetId]:
    return ejection.score, ejection.target


__all__ = ('Ejection', 'Ejections')
