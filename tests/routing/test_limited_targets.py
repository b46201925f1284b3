"""Tests of rate limits that targets state (pattern: a target in need)."""

from __future__ import annotations

import random
from collections.abc import Callable

from parameterized import parameterized
from testtools import TestCase

from cranberryseam.core.events import TargetStatement
from cranberryseam.routing.rate_limits import (
    TURN_VALIDITY_S,
    RateLimit,
    TurnSchedule,
)
from tests.integration.fleets import run_fleet
from tests.integration.harness import Fleet

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


class TurnTest(TestCase):
    """Turns of all VMs at one target."""

    @parameterized.expand(
        [
            (vms, max_rate)
            for vms in (1, 2, 44, 850)
            for max_rate in (0.0, 0.3, 1.0, 5.3, 200.0)
        ]
    )
    def test_sum(self, vms: int, max_rate: float) -> None:
        """Guards against more requests of all VMs than the target takes."""
        limits = [
            RateLimit(max_rate, 0, TurnSchedule(rank, vms, 1_764_900_000.5))
            for rank in range(vms)
        ]
        seconds = 30
        used = 0
        for step in range(seconds * 10):
            at = step / 10
            for limit in limits:
                if limit.has_turn(at):
                    limit.use_turn(at)
                    used += 1
        most = max(max_rate, 0.25) * (seconds + TURN_VALIDITY_S) + 1
        self.assertLessEqual(used, most)
        # A VM that always has a request uses all of its turns.
        if vms * 10 > max_rate:
            self.assertGreaterEqual(used, max_rate * (seconds - 1) - 1)

    def test_pause(self) -> None:
        """Guards against turns that VMs save while they have no requests."""
        limit = RateLimit(2.0, 0, TurnSchedule(0, 1))
        used = 0
        while limit.has_turn(100):
            limit.use_turn(100)
            used += 1
        self.assertEqual(used, 2 * TURN_VALIDITY_S)

    @parameterized.expand([('soon', 5, 4), ('later', 12, 2)])
    def test_fewer_vms(self, _: str, waited_s: float, expected: int) -> None:
        """Guards against VMs cut off that go on while others take over."""
        schedule = TurnSchedule(0, 4)
        schedule.update(0, 2, 10)
        schedule.update(0, 2, 10 + waited_s)
        self.assertEqual(schedule.vm_count, expected)


class OwnMembersTest(TestCase):
    """VMs that know each other by gossip, without an attachment."""

    @parameterized.expand([('calm', False), ('restarts', True)])
    def test_limit_is_kept(self, _: str, restarts: bool) -> None:
        """Guards against VMs without ranks that apply the whole limit."""
        max_rate = 3.0
        with run_fleet(1, entries=6) as fleet:
            draws = random.Random(1)
            for number in range(400):
                vm = draws.choice(fleet.vm_names())
                fleet.schedule(
                    number / 20, lambda vm=vm: fleet.call(vm, 'zuri')
                )
            fleet.run(2)
            target = fleet.targets['katalogi-0']
            target.statement = TargetStatement(max_rate)
            since = fleet.now
            if restarts:
                for number, vm in enumerate(fleet.vm_names()):
                    fleet.schedule(
                        2 + 2 * number, lambda vm=vm: _restart_one(fleet, vm)
                    )
            fleet.run(16)
            times = [
                at for at in target.attempt_times if at > since + _WINDOW_S
            ]
        most = max(
            sum(at <= other < at + _WINDOW_S for other in times) for at in times
        )
        allowed = _ALLOWED_FACTOR * max_rate * _WINDOW_S + _ALLOWED_REQUESTS
        self.assertLessEqual(most, allowed)


def _restart_one(fleet: Fleet, vm: str) -> None:
    fleet.kill(vm)
    fleet.start(vm)
