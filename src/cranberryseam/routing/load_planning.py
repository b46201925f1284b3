"""Planning of the load of a service over its targets.

Each VM handles a few requests per second and doesn't see the requests in
flight of other VMs. If every VM selected the best target, all would select the
same one and overload it (herd behaviour). Therefore each VM plans the best
distribution of the whole load and draws the targets of requests from it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

# At this utilisation of a target with four slots, the mean wait of a request is
# about its service time (Erlang C).
MAX_LOAD: Final = 0.85
# Tolerance for rounding errors of sums of slots.
_ROUNDING_TOLERANCE: Final = 1e-9


@attrs.frozen
class Candidate:
    """Cost and capacity of a target that can take requests.

    Parameters
    ----------
    cost
        Cost of a request without load, in units of the whole capacity of a
        target.
    slots
        Slots of the target.
    used
        Utilisation by requests that the plan doesn't include.

    """

    cost: float
    slots: float
    used: float = 0


def plan_loads(candidates: Sequence[Candidate], demand: float) -> list[float]:
    """Return the planned slots in use at each target.

    Utilisation is added to the cost: a target that costs 0.2 more than another
    gets requests once the utilisation of the other is 20% higher. Demand that
    exceeds the capacity of all targets is not planned.

    Parameters
    ----------
    candidates
        Targets.
    demand
        Mean number of requests in progress.

    """
    parts = [
        _Part(each.cost + each.used, max(0, MAX_LOAD - each.used), each.slots)
        for each in candidates
    ]
    level = _find_level(parts, demand)
    return [
        slots * min(most, max(0, level - starts_at))
        for starts_at, most, slots in parts
    ]


class _Part(NamedTuple):
    """What a target takes as the cost level rises.

    Parameters
    ----------
    starts_at
        Cost level from which it takes load.
    most
        Utilisation that the plan may add.

    """

    starts_at: float
    most: float
    slots: float


def _find_level(parts: Sequence[_Part], demand: float) -> float:
    """Return the cost level at which the targets take the whole demand.

    The load taken is a piecewise linear function of the level, with breaks
    where a target starts to take load or becomes full.
    """
    changes = [(starts_at, slots) for starts_at, _, slots in parts]
    changes += [(starts_at + most, -slots) for starts_at, most, slots in parts]
    changes.sort()
    level: float = 0
    taken: float = 0
    growth: float = 0
    for at, change in changes:
        more = growth * (at - level)
        if growth > _ROUNDING_TOLERANCE and taken + more >= demand:
            return level + (demand - taken) / growth
        taken += more
        level = at
        growth += change
    return level


__all__ = ('MAX_LOAD', 'Candidate', 'plan_loads')
