"""Exhaustive state exploration of the control log specification."""

from __future__ import annotations

import testtools
from parameterized import parameterized

from ..control.specification import (
    Bounds,
    State,
    ViolationError,
    Vm,
    explore,
)

INITIAL_STATE = State(tuple(Vm(disk) for disk in range(3)))


class SpecificationTest(testtools.TestCase):
    """Guards against faults of the protocol itself."""

    @parameterized.expand(
        [
            ('crash', Bounds(terms=2, length=2, crashes=1, lost=0), 15_519),
            (
                'lost_disk_and_replacement',
                Bounds(terms=2, length=3, crashes=0, lost=1, values=False),
                43_655,
            ),
        ]
    )
    def test_all_interleavings(self, _name, bounds, states) -> None:
        # The number of states detects actions that became unreachable.
        self.assertEqual(explore(INITIAL_STATE, bounds), states)

    @parameterized.expand(
        [
            ('vote without sync', 2, 1, 0),
            ('replaced disk votes', 2, 0, 1),
            ('two changes', 3, 0, 1),
        ]
    )
    def test_seeded_fault(self, fault, length, crashes, lost) -> None:
        bounds = Bounds(2, length, crashes, lost, values=False, fault=fault)
        self.assertRaises(ViolationError, explore, INITIAL_STATE, bounds)
