"""Tests of the configuration in force."""

from __future__ import annotations

import testtools
from parameterized import parameterized

from cranberryseam.configuration.entries import (
    MAX_DEPARTED_TARGETS,
    KeyGranted,
    KeyWithdrawn,
    TargetDeparted,
    apply_entry,
    current_lists,
    diff_lists,
)
from cranberryseam.configuration.model import (
    Account,
    Configuration,
    DeadlineWindow,
    Lists,
    Plan,
    Route,
    Service,
)
from cranberryseam.types import AccountId, KeyId, ServiceName


def _build_lists(*plans: str) -> Lists:
    return Lists(
        accounts=(Account(AccountId('asha'), 'small'),),
        plans=tuple(Plan(name, 1, 1, 1, ()) for name in plans),
        routes=(
            _build_route('root', '/'),
            _build_route('pay', '/pay'),
            _build_route('card', '/pay/card/'),
        ),
        services=(Service(ServiceName('malipo')),),
    )


def _build_route(name: str, prefix: str) -> Route:
    return Route(name, ServiceName('malipo'), prefix, ('GET',))


class RouteTest(testtools.TestCase):
    """Guards against requests that are routed to the wrong service."""

    @parameterized.expand(
        [
            ('/pay', 'pay'),
            ('/pay/1', 'pay'),
            ('/payment', 'root'),
            ('/pay/card', 'card'),
            ('/pay/card/7', 'card'),
            ('/', 'root'),
        ]
    )
    def test_longest_prefix_wins(self, path: str, name: str) -> None:
        entry = diff_lists(Configuration(), _build_lists(), '')
        configuration = apply_entry(Configuration(), 1, entry)
        route = configuration.find_route('GET', path)
        self.assertEqual(route and route.name, name)
        self.assertIsNone(configuration.find_route('POST', path))

    @parameterized.expand([(1439, 1), (0, 1), (59, 1), (60, 10), (1380, 1)])
    def test_window_over_midnight(self, minute: int, seconds: float) -> None:
        window = DeadlineWindow(1380, 60, 1)
        route = Route('a', ServiceName('b'), '/', ('GET',), windows=(window,))
        self.assertEqual(route.deadline_at_minute(minute), seconds)


class EntriesTest(testtools.TestCase):
    """Guards against entries that lose a row or modify an older version."""

    def test_diff_and_apply_round_trip(self) -> None:
        before = apply_entry(
            Configuration(),
            1,
            diff_lists(Configuration(), _build_lists('a', 'b'), ''),
        )
        new_lists = _build_lists('b', 'c')
        entry = diff_lists(before, new_lists, 'key')
        after = apply_entry(before, 2, entry)
        self.assertEqual(current_lists(after), new_lists)
        self.assertEqual(after.lists_version, 2)
        self.assertEqual(entry.accounts, ())
        self.assertEqual(entry.removed_plans, ('a',))
        self.assertIn('a', before.plans)

    def test_withdrawn_key_remains_in_configuration(self) -> None:
        key_id = KeyId('k')
        granted = KeyGranted('', key_id, AccountId('asha'), b'h')
        first = apply_entry(Configuration(), 1, granted)
        second = apply_entry(first, 2, KeyWithdrawn('', key_id))
        self.assertEqual(second.withdrawn, {key_id})
        self.assertEqual(first.withdrawn, frozenset())
        self.assertEqual(second.lists_version, 0)

    @parameterized.expand(
        [
            ('two targets', [('a', 1), ('b', 2)], (('a', 1), ('b', 2))),
            (
                'later start',
                [('a', 1), ('b', 2), ('a', 3)],
                (('b', 2), ('a', 3)),
            ),
            ('late report', [('a', 3), ('a', 1)], (('a', 3),)),
        ]
    )
    def test_departures(
        self,
        _: str,
        departures: list[tuple[str, int]],
        expected: tuple[tuple[str, int], ...],
    ) -> None:
        """Guards against a late report that revokes a later departure."""
        after = Configuration()
        for version, (target, born_ms) in enumerate(departures, 1):
            entry = TargetDeparted(target, born_ms)
            after = apply_entry(after, version, entry)
        self.assertEqual(after.departed, expected)

    def test_departures_are_bounded(self) -> None:
        """Guards against a log that grows with each departed target."""
        after = Configuration()
        for version in range(1, MAX_DEPARTED_TARGETS + 3):
            entry = TargetDeparted(f't{version}', 1)
            after = apply_entry(after, version, entry)
        self.assertEqual(len(after.departed), MAX_DEPARTED_TARGETS)
        self.assertEqual(after.departed[0], ('t3', 1))
