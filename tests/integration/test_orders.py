"""Orders whose connections, VMs or claims fail."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from parameterized import parameterized

from cranberryseam.core.refusals import Executed
from tests.integration.fleets import (
    FleetTestCase,
    count_work,
    order,
    run_fleet,
    with_seeds,
)
from tests.integration.harness import (
    Fleet,
)


def _cut_none(fleet: Fleet) -> None:
    """Leave all links."""


def _cut_entries(fleet: Fleet) -> None:
    fleet.cut(['dar-4'], ['dar-5'], both=False)


def _cut_to_leader(fleet: Fleet) -> None:
    fleet.cut(['dar-4'], [fleet.leaders['dar']], both=False)


def _cut_from_leader(fleet: Fleet) -> None:
    fleet.cut([fleet.leaders['dar']], ['dar-4'], both=False)


def _cut_leader_in(fleet: Fleet) -> None:
    leader = fleet.leaders['dar']
    fleet.cut(fleet.others(leader), [leader], both=False)


def _cut_leader_out(fleet: Fleet) -> None:
    leader = fleet.leaders['dar']
    fleet.cut([leader], fleet.others(leader), both=False)


def _lose_messages(fleet: Fleet) -> None:
    fleet.loss = 0.2
    fleet.duplicates = 0.2
    fleet.jitter_s = 0.05


def _kill_leader(fleet: Fleet) -> None:
    delay_s = fleet.rng.random() * 0.02
    leader = fleet.leaders['dar']
    fleet.later(delay_s, lambda: fleet.kill(leader))
    fleet.later(delay_s + 2, lambda: fleet.start(leader))


def _kill_leader_then_other(fleet: Fleet) -> None:
    leader = fleet.leaders['dar']
    other = next(n for n in ('dar-1', 'dar-2', 'dar-3') if n != leader)
    fleet.later(0.01, lambda: fleet.kill(leader))
    fleet.later(1, lambda: fleet.start(leader))
    fleet.later(12, lambda: fleet.kill(other))
    fleet.later(13, lambda: fleet.start(other))


def _freeze_leader(fleet: Fleet) -> None:
    delay_s = fleet.rng.random() * 0.02
    leader = fleet.leaders['dar']
    fleet.later(delay_s, lambda: fleet.freeze(leader, 9))


def _restart_in_turn(fleet: Fleet, period_s: float) -> None:
    for position, name in enumerate(('dar-1', 'dar-2', 'dar-3')):
        down_s = 0.5 + position * period_s
        fleet.later(down_s, lambda name=name: fleet.kill(name))
        fleet.later(down_s + 0.5, lambda name=name: fleet.start(name))


def _restart_slowly(fleet: Fleet) -> None:
    _restart_in_turn(fleet, 10)


def _restart_fast(fleet: Fleet) -> None:
    _restart_in_turn(fleet, 2)


def _kill_entry(fleet: Fleet) -> None:
    # The target has run the order, its answer is still on the way.
    fleet.later(0.005 + fleet.rng.random() * 0.03, lambda: fleet.kill('dar-4'))
    fleet.later(3, lambda: fleet.start('dar-4'))


_ORDER_FAILURES: Final[dict[str, Callable[[Fleet], None]]] = {
    'all_links': _cut_none,
    'entries_cut': _cut_entries,
    'to_leader_cut': _cut_to_leader,
    'from_leader_cut': _cut_from_leader,
    'leader_hears_nobody': _cut_leader_in,
    'nobody_hears_leader': _cut_leader_out,
    'messages_lost': _lose_messages,
    'leader_killed': _kill_leader,
    'leader_then_other_killed': _kill_leader_then_other,
    'leader_frozen': _freeze_leader,
    'restarted_slowly': _restart_slowly,
    'restarted_fast': _restart_fast,
    'entry_killed': _kill_entry,
}

# Members are lost one after the other, each after the group has recovered.
_LONG_FAILURES: Final = {'leader_then_other_killed', 'restarted_slowly'}


class OrderTest(FleetTestCase):
    """Guards against an order that runs twice."""

    @parameterized.expand(with_seeds(_ORDER_FAILURES, (1, 2)))
    def test_copies(self, _name: str, failure: str, seed: int) -> None:
        """Two copies at two entry VMs at once, each sent again and again."""
        with run_fleet(seed, entries=5, controls=1) as fleet:
            _ORDER_FAILURES[failure](fleet)
            for _ in range(12 if failure in _LONG_FAILURES else 6):
                for name in ('dar-4', 'dar-5'):
                    order(fleet, name, 'order-1')
                    fleet.run(fleet.rng.choice((0, 0.001, 0.01)))
                fleet.run(3)
            fleet.run(5)
            self.assertLessEqual(count_work(fleet, 'order-1'), 1)
            self.check_truth(fleet)
            self._check_truthful(fleet)

    @parameterized.expand(
        with_seeds(('before', 'during', 'after', 'broken'), (1, 2))
    )
    def test_broken_connection(self, _name: str, kind: str, seed: int) -> None:
        """An order whose connection breaks is not sent again."""
        with run_fleet(seed) as fleet:
            for target in fleet.targets.values():
                target.behave = lambda _: kind
            calls = [order(fleet, 'dar-1', key) for key in (None, 'order-2')]
            fleet.run(6)
            copy = order(fleet, 'dar-2', 'order-2')
            fleet.run(6)
            attempts = sum(len(t.started) for t in fleet.targets.values())
            self.assertEqual(2, attempts)
            if kind == 'broken':
                self.assertEqual([False, False], [c.ended for c in calls])
            else:
                self.assertEqual(
                    [Executed.unknown, Executed.unknown],
                    [c.refusal.ran for c in calls],
                )
            self.assertEqual(Executed.unknown, copy.refusal.ran, copy)

    @parameterized.expand([(seed,) for seed in (1, 2, 3)])
    def test_safe_retry(self, seed: int) -> None:
        """An order that provably didn't run is sent to another target."""
        with run_fleet(seed) as fleet:
            fleet.targets['malipo-0'].behave = lambda _: 'refuse'
            fleet.targets['malipo-1'].behave = lambda _: 'shed'
            calls = [
                order(fleet, 'dar-1', f'order-{number}') for number in range(9)
            ]
            fleet.run(5)
            self.check_truth(fleet)
            # The retry budget bounds how many find the third target.
            reasons = {call.reason for call in calls if call.refusal}
            self.assertLessEqual(
                reasons, {'target_unreachable', 'target_overloaded'}
            )
            attempts = sum(len(t.started) for t in fleet.targets.values())
            self.assertGreater(attempts, len(calls))
            for call in calls:
                self.assertEqual(call.refusal is None, call.worked == 1)

    def _check_truthful(self, fleet: Fleet) -> None:
        """No copy is told "not run" after the order had run."""
        ran_at = [call.at for call in fleet.calls if call.worked]
        misled = [
            call.reason
            for call in fleet.calls
            if call.refusal is not None
            and call.refusal.ran is Executed.no
            and ran_at
            and call.at > ran_at[0]
        ]
        self.assertEqual(misled, [])
