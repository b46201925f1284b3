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
MOST_LOAD: Final = 0.85
# Halvings of the interval in which the level lies; the error is then below a
# thousandth of a target's capacity.
_STEPS: Final = 16


@attrs.frozen
class Offer:
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


def plan_loads(offers: Sequence[Offer], demand: float) -> list[float]:
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
    if not offers:
        return []
    low = min(offer.cost for offer in offers)
    high = max(offer.cost for offer in offers) + MOST_LOAD
    for _ in range(_STEPS):
        level = (low + high) / 2
        if sum(_fill(offers, level)) < demand:
            low = level
        else:
            high = level
    return _fill(offers, high)


def _fill(offers: Sequence[Offer], level: float) -> list[float]:
    return [
        offer.slots * min(MOST_LOAD, max(0, level - offer.cost))
        for offer in offers
    ]


__all__ = ('MOST_LOAD', 'Offer', 'plan_loads')
