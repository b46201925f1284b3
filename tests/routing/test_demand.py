"""Tests of the plan by data centre (pattern: targets near home look loaded).

Each VM planned the demand of its whole region over targets as seen from its own
data centre, so that 40% of the requests of an evenly loaded region left it.
"""

from __future__ import annotations

from collections import Counter

import attrs
from parameterized import parameterized
from testtools import TestCase

from cranberryseam.configuration.places import Places
from cranberryseam.routing import ATTACHED_TUNING
from cranberryseam.routing.demand import (
    Demand,
    DemandMeter,
    plan_foreign_loads,
)
from cranberryseam.routing.load_planning import MAX_LOAD, Candidate, plan_loads

from .sparse_traffic import SparseTraffic, Traffic

COSTS = ATTACHED_TUNING.transfer_costs.list_by_distance(5000)
SIX = {f'{region}{number}': region for region in 'abc' for number in (1, 2)}
NINE = {f'{region}{number}': region for region in 'abc' for number in (1, 2, 3)}
# Utilisation above which a data centre is not evenly loaded with its plan.
ROUNDING = 0.02


def _fill(regions: dict[str, str], value: float) -> dict[str, float]:
    return dict.fromkeys(regions, value)


@attrs.frozen
class _Case:
    """Demand and capacity by data centre, and what is expected.

    Parameters
    ----------
    most_left
        Largest share of the requests that leave their data centre.
    most_abroad
        Largest share of them that leave their region.

    """

    name: str
    regions: dict[str, str]
    demand: dict[str, float]
    capacity: dict[str, float]
    most_left: float
    most_abroad: float = 0


CASES = (
    _Case('even', SIX, _fill(SIX, 2), _fill(SIX, 12), 0),
    _Case('even_and_busy', SIX, _fill(SIX, 9), _fill(SIX, 12), 0),
    _Case('few_targets', SIX, _fill(SIX, 1), _fill(SIX, 3), 0),
    _Case('nine', NINE, _fill(NINE, 6), _fill(NINE, 20), 0),
    _Case(
        'slightly_uneven',
        SIX,
        {**_fill(SIX, 2), 'a1': 5},
        _fill(SIX, 12),
        0,
    ),
    _Case(
        'one_overloaded',
        SIX,
        {**_fill(SIX, 2), 'a1': 12},
        _fill(SIX, 12),
        0.13,
    ),
    _Case(
        'region_overloaded',
        SIX,
        {**_fill(SIX, 2), 'a1': 14, 'a2': 14},
        _fill(SIX, 12),
        0.3,
        0.3,
    ),
    _Case(
        'without_targets',
        SIX,
        _fill(SIX, 2),
        {**_fill(SIX, 12), 'a1': 0},
        0.17,
    ),
    _Case(
        'region_without_targets',
        SIX,
        _fill(SIX, 2),
        {**_fill(SIX, 12), 'a1': 0, 'a2': 0},
        0.34,
        0.34,
    ),
    _Case(
        'cut_off',
        SIX,
        {**_fill(SIX, 2), 'a1': 0},
        _fill(SIX, 12),
        0,
    ),
)


def _plan_all(case: _Case) -> dict[str, dict[str, float]]:
    """Return what the VMs of each data centre plan for each other one."""
    demand = Demand(case.demand)
    planned = {}
    for own in case.regions:
        places = Places(own, case.regions)
        foreign = plan_foreign_loads(demand, case.capacity, places, COSTS)
        candidates = [
            Candidate(
                COSTS[places.measure(own, name)],
                case.capacity[name],
                foreign.get(name, 0),
            )
            for name in case.regions
        ]
        loads = plan_loads(candidates, case.demand[own])
        planned[own] = dict(zip(case.regions, loads, strict=True))
    return planned


class PlanTest(TestCase):
    """VMs of different data centres plan alike without a message."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_requests_stay(self, _: str, case: _Case) -> None:
        """Guards against requests that leave a data centre with room."""
        planned = _plan_all(case)
        total = sum(case.demand.values())
        left = sum(
            load
            for own, loads in planned.items()
            for name, load in loads.items()
            if name != own
        )
        abroad = sum(
            load
            for own, loads in planned.items()
            for name, load in loads.items()
            if case.regions[name] != case.regions[own]
        )
        self.assertLessEqual(left / total, case.most_left + ROUNDING)
        self.assertLessEqual(abroad / total, case.most_abroad + ROUNDING)

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_all_demand_is_planned(self, _: str, case: _Case) -> None:
        """Guards against targets planned full while others have room."""
        used: Counter[str] = Counter()
        for own, loads in _plan_all(case).items():
            self.assertAlmostEqual(case.demand[own], sum(loads.values()))
            used.update(loads)
        for name, load in used.items():
            self.assertLessEqual(
                load, case.capacity[name] * (MAX_LOAD + ROUNDING)
            )

    def test_without_any_targets(self) -> None:
        """Guards against an exception when all targets have left."""
        demand = Demand(_fill(SIX, 2))
        places = Places('a1', SIX)
        for capacity in ({}, _fill(SIX, 0)):
            self.assertEqual(
                {}, plan_foreign_loads(demand, capacity, places, COSTS)
            )

    def test_demand_above_capacity(self) -> None:
        """Guards against a plan that doesn't end without room."""
        case = _Case('full', SIX, _fill(SIX, 20), _fill(SIX, 12), 0)
        for loads in _plan_all(case).values():
            self.assertGreater(sum(loads.values()), 0)


class MessageTest(TestCase):
    """The leader measures the demand and tells it to all VMs."""

    def test_measured_demand(self) -> None:
        meter = DemandMeter()
        for _ in range(20):
            meter.record('a1', 1500)
            meter.record('b2', 500)
            meter.update(0.5)
        hundredths = meter.current.to_hundredths(('a1', 'a2', 'b2'))
        self.assertEqual((300, 0, 100), hundredths)
        told = Demand.from_hundredths(('a1', 'a2', 'b2'), hundredths)
        self.assertEqual({'a1': 3, 'a2': 0, 'b2': 1}, told.slots)

    def test_other_data_centres(self) -> None:
        """Guards against demand of a leader that knows other places."""
        self.assertEqual(
            Demand(), Demand.from_hundredths(('a1', 'a2'), (1, 2, 3))
        )

    @parameterized.expand(
        [
            ('own', {'a1': 2, 'a2': 2, 'b1': 2}, 'a1', {'a1'}),
            ('too_few', {'a1': 0, 'a2': 2, 'b1': 2}, 'a1', {'a1', 'a2'}),
            ('none', {'a1': 0, 'a2': 0, 'b1': 2}, 'a1', {'a1', 'a2', 'b1'}),
            ('unknown', {'a1': 1, 'b1': 2}, '', {'a1', 'b1'}),
        ]
    )
    def test_users_of_idle_targets(
        self, _: str, slots: dict[str, float], place: str, users: set[str]
    ) -> None:
        """Guards against idle targets that no VM is asked to use."""
        found = Demand(slots).find_users(Places('a1', SIX), place)
        self.assertEqual(users, set(found))


class FleetTest(TestCase):
    """Routers of a whole fleet, with the usual failures of targets."""

    @parameterized.expand(
        [
            ('lookups', Traffic(48, 12, 3, 21, 0.3, 1), 0.15),
            ('payments', Traffic(48, 18, 3, 46, 0.24, 0), 0.1),
            ('many_vms', Traffic(294, 46, 4, 188, 0.313, 0), 0.1),
        ]
    )
    def test_requests_stay(
        self, _: str, traffic: Traffic, most_left: float
    ) -> None:
        """Guards against requests that leave a data centre with room."""
        run = SparseTraffic(traffic, seed=1)
        run.run(30)
        self.assertLessEqual(run.left / run.sent, most_left)
