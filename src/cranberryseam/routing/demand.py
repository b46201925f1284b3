"""Demand for one service by data centre, and the load that it causes.

Each VM plans the requests of its own data centre. The requests of the other
data centres are a load that is already there: all plan alike, so each VM can
compute what the others send where.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

import attrs

from ..configuration.places import Distance, Places
from .load_planning import Candidate, plan_loads

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

_SMOOTHING: Final = 0.3
_MS_PER_S: Final = 1000
_HUNDREDTHS: Final = 100
# Each round moves the plans closer to the point at which none would change.
_ROUNDS: Final = 4
# Demand below this share of an even one is too little to keep targets in use.
_MIN_SHARE: Final = 0.1


@attrs.frozen
class Demand:
    """Demand for a service in each data centre, as told by the leader.

    Parameters
    ----------
    slots
        Mean number of requests in progress; empty if unknown.

    """

    slots: Mapping[str, float] = attrs.field(factory=dict)

    @classmethod
    def from_hundredths(
        cls, names: Sequence[str], hundredths: Sequence[int]
    ) -> Demand:
        """Return the demand of a message; unknown if it has other places."""
        if len(names) != len(hundredths):
            return cls()
        return cls(
            {
                name: count / _HUNDREDTHS
                for name, count in zip(names, hundredths, strict=True)
            }
        )

    @property
    def total(self) -> float:
        """Demand of all data centres."""
        return sum(self.slots.values())

    def to_hundredths(self, names: Sequence[str]) -> tuple[int, ...]:
        """Return the slots in use (hundredths) of the named data centres."""
        return tuple(
            round(self.slots.get(name, 0) * _HUNDREDTHS) for name in names
        )

    def find_users(self, places: Places, data_centre: str) -> tuple[str, ...]:
        """Return the data centres whose VMs serve the idle targets of one.

        These are the data centre itself or, if its VMs have few requests, its
        region, else all.
        """
        enough = self.total / max(1, len(self.slots)) * _MIN_SHARE
        users: tuple[str, ...] = ()
        for reach in Distance:
            users = tuple(
                name
                for name in self.slots
                if places.measure(name, data_centre) <= reach
            )
            if sum(self.slots[name] for name in users) > enough:
                break
        return users


@attrs.define(eq=False)
class DemandMeter:
    """Measures the demand from the reports of VMs, at the leader."""

    current: Demand = attrs.field(factory=Demand)
    _busy_ms: Counter[str] = attrs.field(factory=Counter)

    def record(self, data_centre: str, busy_ms: int) -> None:
        """Add the slot time that a VM has reported."""
        self._busy_ms[data_centre] += busy_ms

    def update(self, elapsed_s: float) -> None:
        """Update the means with what was reported in the elapsed time."""
        before = self.current.slots
        slots = {
            name: _smooth(
                before.get(name, 0),
                self._busy_ms[name] / _MS_PER_S / elapsed_s,
            )
            for name in sorted(self._busy_ms.keys() | before.keys())
        }
        self.current = Demand(slots)
        self._busy_ms.clear()


def plan_foreign_loads(
    demand: Demand,
    capacities: Mapping[str, float],
    places: Places,
    distance_costs: Sequence[float],
) -> dict[str, float]:
    """Return the utilisation of targets by requests of other data centres.

    Parameters
    ----------
    capacities
        Slots of the targets in each data centre.
    distance_costs
        Cost by distance, in units of the whole capacity of a target.

    """
    names = [name for name, slots in capacities.items() if slots > 0]
    loads = {
        name: _plan_at_home(name, demand, capacities) for name in demand.slots
    }
    for _ in range(_ROUNDS):
        if _is_balanced(loads, names, capacities, distance_costs):
            break
        for source in loads:
            costs = [
                Candidate(
                    distance_costs[places.measure(source, name)],
                    capacities[name],
                    _add_loads(loads, name, source) / capacities[name],
                )
                for name in names
            ]
            planned = plan_loads(costs, demand.slots[source])
            loads[source] = dict(zip(names, planned, strict=True))
    return {
        name: _add_loads(loads, name, places.own) / capacities[name]
        for name in names
    }


def _smooth(before: float, mean: float) -> float:
    return before + _SMOOTHING * (mean - before)


def _plan_at_home(
    name: str, demand: Demand, capacities: Mapping[str, float]
) -> dict[str, float]:
    return {name: demand.slots[name]} if capacities.get(name) else {}


def _is_balanced(
    loads: Mapping[str, Mapping[str, float]],
    names: Sequence[str],
    capacities: Mapping[str, float],
    distance_costs: Sequence[float],
) -> bool:
    """Return whether no data centre gains by sending requests elsewhere."""
    if not names:
        return True
    if not all(loads.values()):
        return False
    used = [_add_loads(loads, name, '') / capacities[name] for name in names]
    return max(used) - min(used) <= distance_costs[Distance.own_region]


def _add_loads(
    loads: Mapping[str, Mapping[str, float]], name: str, excluded: str
) -> float:
    return sum(
        planned.get(name, 0)
        for source, planned in loads.items()
        if source != excluded
    )


__all__ = ('Demand', 'DemandMeter', 'plan_foreign_loads')
