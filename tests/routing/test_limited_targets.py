"""Tests of rate limits that targets state (pattern: a target in need)."""

from __future__ import annotations

from collections.abc import Callable

from parameterized import parameterized
from testtools import TestCase

from .limited_targets import StatingFleet, run_stating_fleet

_VMS = 24
_TARGETS = 6
_WINDOW_S = 4.0
# The platform allows this much more than the limit in a window.
_ALLOWED_FACTOR = 1.5
_ALLOWED_REQUESTS = 5
# A VM obeys a limit from this time after it has passed on an answer with it.
_INFORMED_S = 0.5
_LOAD_PER_S = 40.0
_Disturbance = Callable[[StatingFleet], None]


def _keep(fleet: StatingFleet) -> None:
    """Disturb nothing."""


def _cut_half(fleet: StatingFleet) -> None:
    fleet.cut(fleet.entries[: _VMS // 2], 12)


def _cut_most(fleet: StatingFleet) -> None:
    fleet.cut(fleet.entries[2:], 12)


def _cut_all(fleet: StatingFleet) -> None:
    fleet.cut(fleet.entries, 12)


def _restart(fleet: StatingFleet) -> None:
    for number in range(_VMS):
        fleet.schedule(
            number / 3,
            lambda number=number: fleet.restart_entries(
                [fleet.entries[number]]
            ),
        )


def _lose_owner(fleet: StatingFleet) -> None:
    fleet.stop_leader(1)
    fleet.schedule(4, lambda: fleet.stop_leader(1))


def _cut_and_restart(fleet: StatingFleet) -> None:
    _cut_half(fleet)
    fleet.schedule(1, lambda: fleet.restart_entries(fleet.entries[8:16]))
    fleet.schedule(2, lambda: fleet.stop_leader(1))


_DISTURBANCES: tuple[_Disturbance, ...] = (
    _keep,
    _cut_half,
    _cut_most,
    _cut_all,
    _restart,
    _lose_owner,
    _cut_and_restart,
)


class StatedLimitTest(TestCase):
    """Targets that state the requests per second that they take."""

    @parameterized.expand(
        [
            (disturb.__name__.strip('_'), disturb, max_rate)
            for disturb in _DISTURBANCES
            for max_rate in (1.0, 5.3)
        ]
    )
    def test_limit_is_kept(
        self, _: str, disturb: _Disturbance, max_rate: float
    ) -> None:
        """Guards against VMs that exceed the limit of a target together,
        with some of them cut off, restarted or without an owner.
        """
        with run_stating_fleet(1, _VMS, _TARGETS) as fleet:
            fleet.send_load(_LOAD_PER_S, 20)
            fleet.run(2)
            for target in fleet.targets:
                if target != 't0':
                    fleet.state_limit(target, max_rate)
            fleet.run(3)
            disturb(fleet)
            fleet.run(15)
            most = [
                fleet.count_most(target, _WINDOW_S, _INFORMED_S)
                for target in fleet.stated_at
            ]
        allowed = _ALLOWED_FACTOR * max_rate * _WINDOW_S + _ALLOWED_REQUESTS
        self.assertLessEqual(max(most), allowed, most)
