"""Tests of the key table and the freshness of keys."""

from __future__ import annotations

import testtools
from parameterized import parameterized

from cranberryseam.configuration.model import Configuration, Key
from cranberryseam.configuration.settings import (
    Addresses,
    KeySettings,
    PeerSettings,
    Settings,
    VmSettings,
)
from cranberryseam.core.effects import SetReadiness, SetTimer
from cranberryseam.core.events import StopRequested, TimerFired
from cranberryseam.core.notices import (
    ConfigurationChanged,
    KeysWithdrawn,
    RegionContactUpdated,
    RoundTripCompleted,
)
from cranberryseam.core.refusals import Executed, RefusalReason
from cranberryseam.keys import KeyTable

PEER = PeerSettings('b', 'dar', 'd', '10.0.0.2:1')


def _make_table(isolation: str = 'vm', *, peers=(PEER,)) -> KeyTable:
    settings = Settings(
        vm=VmSettings('a', 'dar', 'd'),
        addresses=Addresses('10.0.0.1:1'),
        regions=('dar', 'aru', 'mwz'),
        peers=peers,
        keys=KeySettings(isolation=isolation),
    )
    return KeyTable(settings)


def _make_configuration(version: int, *ids: str, withdrawn=()) -> Configuration:
    keys = {name: Key(name, f'of_{name}', name.encode()) for name in ids}
    return Configuration(
        version=version, keys=keys, withdrawn=frozenset(withdrawn)
    )


def _check_key(table: KeyTable, key: bytes, at: float) -> object:
    checked = table.check(key, at)
    return checked.ok if checked.is_ok() else checked.error.reason


class KeyTableTest(testtools.TestCase):
    """Guards against accepting invalid keys."""

    def setUp(self) -> None:
        super().setUp()
        self.table = _make_table()
        self.table.handle(
            ConfigurationChanged(0, _make_configuration(1, 'k1', 'k2'))
        )
        self.table.handle(RoundTripCompleted(10, 'b', 'dar', 9.9))

    @parameterized.expand(
        [
            ('good', b'k1', 10.0, 'of_k1'),
            ('unknown', b'k9', 10.0, RefusalReason.key_unknown),
            ('fresh_until', b'k1', 14.89, 'of_k1'),
            ('stale', b'k1', 14.9, RefusalReason.keys_stale),
        ]
    )
    def test_check(self, _name, key: bytes, at: float, expected) -> None:
        self.assertEqual(_check_key(self.table, key, at), expected)

    def test_withdrawn_for_ever(self) -> None:
        self.table.handle(KeysWithdrawn(10, ('k1', 'k3')))
        for version in (2, 3):
            lagging = _make_configuration(version, 'k1', 'k2', 'k3')
            self.table.handle(ConfigurationChanged(10, lagging))
            for key in (b'k1', b'k3'):
                reason = _check_key(self.table, key, 10)
                self.assertEqual(reason, RefusalReason.key_withdrawn)
        logged = _make_configuration(
            4, 'k1', 'k2', 'k3', withdrawn=('k2', 'k1')
        )
        self.table.handle(ConfigurationChanged(10, logged))
        for key in (b'k1', b'k2', b'k3'):
            reason = _check_key(self.table, key, 10)
            self.assertEqual(reason, RefusalReason.key_withdrawn)

    def test_other_order_of_keys(self) -> None:
        names = [f'k{number}' for number in range(50)]
        self.table.handle(
            ConfigurationChanged(10, _make_configuration(2, *reversed(names)))
        )
        for name in names:
            reason = _check_key(self.table, name.encode(), 10)
            self.assertEqual(reason, f'of_{name}')

    def test_refusal_says_not_run(self) -> None:
        refusal = self.table.check(b'k1', 100).error
        self.assertEqual(
            (refusal.ran, refusal.retry_after_s), (Executed.no, 0.1)
        )

    def test_no_configuration(self) -> None:
        table = _make_table(peers=())
        self.assertEqual(_check_key(table, b'k1', 0), RefusalReason.not_ready)

    def test_no_peers_is_always_fresh(self) -> None:
        table = _make_table(peers=())
        changed = ConfigurationChanged(0, _make_configuration(1, 'k1'))
        self.assertEqual(table.handle(changed), [SetReadiness(True)])
        self.assertEqual(_check_key(table, b'k1', 1e6), 'of_k1')


class ReadinessTest(testtools.TestCase):
    """Guards against a load balancer that sends requests to a stale VM."""

    def test_expires_and_returns(self) -> None:
        table = _make_table()
        trip = RoundTripCompleted(10, 'b', 'dar', 9.5)
        self.assertEqual(table.handle(trip), [SetTimer('keys', 'expiry', 14.5)])
        changed = ConfigurationChanged(10, _make_configuration(1, 'k1'))
        self.assertEqual(table.handle(changed), [SetReadiness(True)])
        expired = TimerFired(14.5, 'keys', 'expiry')
        self.assertEqual(table.handle(expired), [SetReadiness(False)])
        # A late answer to a ping sent before a process pause is no evidence.
        late = RoundTripCompleted(60, 'b', 'dar', 11.0)
        self.assertNotIn(SetReadiness(True), table.handle(late))
        again = RoundTripCompleted(60, 'b', 'dar', 59.9)
        self.assertIn(SetReadiness(True), table.handle(again))

    def test_stopping_stays_unready(self) -> None:
        table = _make_table()
        table.handle(ConfigurationChanged(10, _make_configuration(1, 'k1')))
        table.handle(RoundTripCompleted(10, 'b', 'dar', 10))
        self.assertEqual(table.handle(StopRequested(11)), [SetReadiness(False)])
        trip = RoundTripCompleted(12, 'b', 'dar', 12)
        self.assertNotIn(SetReadiness(True), table.handle(trip))

    @parameterized.expand(
        [
            ('own_only', ('dar',), False),
            ('one_other', ('aru',), True),
            ('unknown_region', ('other',), False),
        ]
    )
    def test_majority_of_regions(self, _name, regions, fresh: bool) -> None:
        table = _make_table('region')
        table.handle(ConfigurationChanged(10, _make_configuration(1, 'k1')))
        table.handle(RoundTripCompleted(10, 'b', 'dar', 10))
        heard_at = tuple((region, 9.0) for region in regions)
        table.handle(RegionContactUpdated(10, heard_at))
        self.assertEqual(table.check(b'k1', 13.9).is_ok(), fresh)
        self.assertFalse(table.check(b'k1', 14.0).is_ok())
