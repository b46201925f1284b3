"""Spread of a service's load over targets that all VMs know equally well.

Each VM sees a few requests a second and none of the others' requests in
flight. If every VM took the target that looks best, all of them would take the
same one and overload it. So each VM plans how the whole load would lie best on
the targets, and draws the target of a request by that plan.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

# Above this share of its slots a target with four slots makes requests wait
# about as long as they take (Erlang C).
MAX_LOAD: Final = 0.85
# Slots below this are left over from adding and taking away the same ones.
_ROUNDING_TOLERANCE: Final = 1e-9


@attrs.frozen
class Candidate:
    """What a target costs a request, and the room it has.

    Parameters
    ----------
    cost
        Cost of a request there without any load, in units of a target's
        whole capacity.
    slots
        Slots for this VM's part of the load.

    """

    cost: float
    slots: float


def plan_loads(candidates: Sequence[Candidate], demand: float) -> list[float]:
    """Return the slots in use at each target.

    Load counts like cost: a target that costs 0.2 more than another gets work
    once the other is 20% fuller. What exceeds the room of all targets isn't
    planned.

    Parameters
    ----------
    offers
        Targets.
    demand
        Mean number of requests at work.

    """
    level = _find_level(candidates, demand)
    return [
        candidate.slots * min(MAX_LOAD, max(0, level - candidate.cost))
        for candidate in candidates
    ]


def _find_level(candidates: Sequence[Candidate], demand: float) -> float:
    """Return the cost with load at which the targets take the demand.

    Between the levels at which a target begins to take work or is full, the
    work taken grows evenly with the level.
    """
    changes = [(candidate.cost, candidate.slots) for candidate in candidates]
    changes += [
        (candidate.cost + MAX_LOAD, -candidate.slots)
        for candidate in candidates
    ]
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
