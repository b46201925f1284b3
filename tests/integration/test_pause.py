"""Tests of suspected pauses, which end leases but not votes for a leader."""

from __future__ import annotations

import testtools

from cranberryseam.configuration.model import Configuration, Key
from cranberryseam.configuration.settings import (
    Addresses,
    PeerSettings,
    Settings,
    VmSettings,
)
from cranberryseam.core.events import PauseSuspected
from cranberryseam.core.notices import (
    ConfigurationChanged,
    RoundTripCompleted,
)
from cranberryseam.keys import KeyTable
from cranberryseam.types import AccountId, KeyId
from tests.limits.schedules import make_fleet
from tests.ownership.fleet import BUCKETS_OPEN_S, LEADER_ELECTED_S, Fleet

GROUP = 'a-g'


class KeyPauseTest(testtools.TestCase):
    """Guards against accepting keys withdrawn during an unmeasured pause."""

    def test_only_later_round_trips_count(self) -> None:
        table = KeyTable(
            Settings(
                vm=VmSettings('a', 'dar', 'd'),
                addresses=Addresses('10.0.0.1:1'),
                regions=('dar',),
                peers=(PeerSettings('b', 'dar', 'd', '10.0.0.2:1'),),
            )
        )
        key = Key(KeyId('k'), AccountId('asha'), b'k')
        configuration = Configuration(version=1, keys={KeyId('k'): key})
        table.handle(ConfigurationChanged(0, configuration))
        table.handle(RoundTripCompleted(10, 'b', 'dar', 9.9))
        self.assertTrue(table.check(b'k', 10).is_ok())
        table.handle(PauseSuspected(10, step_s=60))
        self.assertTrue(table.check(b'k', 10).is_error())
        table.handle(RoundTripCompleted(10.1, 'b', 'dar', 9.95))
        self.assertTrue(table.check(b'k', 10.1).is_error())
        table.handle(RoundTripCompleted(10.2, 'b', 'dar', 10.1))
        self.assertTrue(table.check(b'k', 10.2).is_ok())


class LeasePauseTest(testtools.TestCase):
    """Guards against two leaders or reused tokens after a pause."""

    def test_leader_gives_up_and_follower_keeps_its_promise(self) -> None:
        fleet = Fleet(1, {'a': 3})
        fleet.run_until(LEADER_ELECTED_S)
        (leader,) = fleet.leaders(GROUP)
        follower = next(name for name in fleet.vms if name != leader)
        fleet.handle(follower, lambda at: PauseSuspected(at, step_s=60))
        fleet.run_until(LEADER_ELECTED_S + 0.2)
        self.assertEqual(fleet.leaders(GROUP), [leader])
        fleet.handle(leader, lambda at: PauseSuspected(at, step_s=60))
        fleet.run_until(LEADER_ELECTED_S + 0.4)
        self.assertNotIn(leader, fleet.leaders(GROUP))
        for step in range(400):
            fleet.run_until(LEADER_ELECTED_S + 0.4 + step * 0.05)
            self.assertLessEqual(len(fleet.leaders(GROUP)), 1)
        self.assertEqual(len(fleet.leaders(GROUP)), 1)

    def test_leased_tokens_are_void(self) -> None:
        fleet, _recorder = make_fleet(1)
        fleet.run_until(BUCKETS_OPEN_S + 5)
        entry = next(name for name in fleet.vms if name.startswith('a'))
        plans = fleet.configuration.plans
        account = max(
            fleet.configuration.accounts.values(),
            key=lambda each: plans[each.plan].rate,
        )
        for number in range(20):
            fleet.acquire(entry, 1000 + number, account.name)
            fleet.run_until(fleet.now + 0.05)
        client = fleet.vms[entry].components[1]._client
        held = sum(
            lease.remaining
            for cached in client._accounts.values()
            for lease in cached.leases
        )
        self.assertGreater(held, 0)
        fleet.vms[entry].components[1].handle(
            PauseSuspected(fleet.now, step_s=60)
        )
        self.assertEqual(
            [cached.leases for cached in client._accounts.values()],
            [[] for _cached in client._accounts],
        )
