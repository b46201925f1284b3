"""Tests of orders while connections, VMs or claims fail."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from parameterized import parameterized

from cranberryseam.core.refusals import Executed
from tests.integration.fleets import (
    FleetTestCase,
    count_executions,
    run_fleet,
    send_order,
    with_seeds,
)
from tests.integration.harness import (
    Fleet,
)


def _block_no_links(fleet: Fleet) -> None:
    """Leave all links open."""


def _block_between_entries(fleet: Fleet) -> None:
    fleet.block_links(['dar-4'], ['dar-5'], both=False)


def _block_to_leader(fleet: Fleet) -> None:
    fleet.block_links(['dar-4'], [fleet.group_leaders['dar']], both=False)


def _block_from_leader(fleet: Fleet) -> None:
    fleet.block_links([fleet.group_leaders['dar']], ['dar-4'], both=False)


def _block_all_to_leader(fleet: Fleet) -> None:
    leader = fleet.group_leaders['dar']
    fleet.block_links(fleet.other_vms(leader), [leader], both=False)


def _block_all_from_leader(fleet: Fleet) -> None:
    leader = fleet.group_leaders['dar']
    fleet.block_links([leader], fleet.other_vms(leader), both=False)


def _lose_messages(fleet: Fleet) -> None:
    fleet.loss_rate = 0.2
    fleet.duplicate_rate = 0.2
    fleet.jitter_s = 0.05


def _kill_leader(fleet: Fleet) -> None:
    delay_s = fleet.rng.random() * 0.02
    leader = fleet.group_leaders['dar']
    fleet.schedule(delay_s, lambda: fleet.kill(leader))
    fleet.schedule(delay_s + 2, lambda: fleet.start(leader))


def _kill_leader_then_follower(fleet: Fleet) -> None:
    leader = fleet.group_leaders['dar']
    other = next(n for n in ('dar-1', 'dar-2', 'dar-3') if n != leader)
    fleet.schedule(0.01, lambda: fleet.kill(leader))
    fleet.schedule(1, lambda: fleet.start(leader))
    fleet.schedule(12, lambda: fleet.kill(other))
    fleet.schedule(13, lambda: fleet.start(other))


def _freeze_leader(fleet: Fleet) -> None:
    delay_s = fleet.rng.random() * 0.02
    leader = fleet.group_leaders['dar']
    fleet.schedule(delay_s, lambda: fleet.freeze(leader, 9))


def _restart_in_turn(fleet: Fleet, period_s: float) -> None:
    for position, name in enumerate(('dar-1', 'dar-2', 'dar-3')):
        down_s = 0.5 + position * period_s
        fleet.schedule(down_s, lambda name=name: fleet.kill(name))
        fleet.schedule(down_s + 0.5, lambda name=name: fleet.start(name))


def _restart_slowly(fleet: Fleet) -> None:
    _restart_in_turn(fleet, 10)


def _restart_fast(fleet: Fleet) -> None:
    _restart_in_turn(fleet, 2)


def _kill_entry(fleet: Fleet) -> None:
    # Kills the VM after the target executed the order, before the answer.
    fleet.schedule(
        0.005 + fleet.rng.random() * 0.03, lambda: fleet.kill('dar-4')
    )
    fleet.schedule(3, lambda: fleet.start('dar-4'))


_FAULTS: Final[dict[str, Callable[[Fleet], None]]] = {
    'all_links': _block_no_links,
    'entries_cut': _block_between_entries,
    'to_leader_cut': _block_to_leader,
    'from_leader_cut': _block_from_leader,
    'leader_hears_nobody': _block_all_to_leader,
    'nobody_hears_leader': _block_all_from_leader,
    'messages_lost': _lose_messages,
    'leader_killed': _kill_leader,
    'leader_then_other_killed': _kill_leader_then_follower,
    'leader_frozen': _freeze_leader,
    'restarted_slowly': _restart_slowly,
    'restarted_fast': _restart_fast,
    'entry_killed': _kill_entry,
}

# Faults in which members fail one after the other, each after the group has
# recovered from the last failure.
_LONG_FAULTS: Final = {'leader_then_other_killed', 'restarted_slowly'}


class OrderTest(FleetTestCase):
    """Guards against orders that are executed more than once."""

    @parameterized.expand(with_seeds(_FAULTS, (1, 2)))
    def test_copies(self, _name: str, fault: str, seed: int) -> None:
        """Two entry VMs receive duplicates of an order, which are retried."""
        with run_fleet(seed, entries=5, controls=1) as fleet:
            _FAULTS[fault](fleet)
            for _ in range(12 if fault in _LONG_FAULTS else 6):
                for name in ('dar-4', 'dar-5'):
                    send_order(fleet, name, 'order-1')
                    fleet.run(fleet.rng.choice((0, 0.001, 0.01)))
                fleet.run(3)
            fleet.run(5)
            self.assertLessEqual(count_executions(fleet, 'order-1'), 1)
            self.check_refusals(fleet)
            self._check_not_run_refusals(fleet)

    @parameterized.expand(
        with_seeds(('before', 'during', 'after', 'broken'), (1, 2))
    )
    def test_broken_connection(self, _name: str, kind: str, seed: int) -> None:
        """An order is not retried after its connection failed."""
        with run_fleet(seed) as fleet:
            for target in fleet.targets.values():
                target.choose_outcome = lambda _: kind
            calls = [
                send_order(fleet, 'dar-1', key) for key in (None, 'order-2')
            ]
            fleet.run(6)
            copy = send_order(fleet, 'dar-2', 'order-2')
            fleet.run(6)
            attempts = sum(len(t.attempt_times) for t in fleet.targets.values())
            self.assertEqual(2, attempts)
            if kind == 'broken':
                self.assertEqual(
                    [False, False], [c.answer_complete for c in calls]
                )
            else:
                self.assertEqual(
                    [Executed.unknown, Executed.unknown],
                    [c.refusal.ran for c in calls],
                )
            self.assertEqual(Executed.unknown, copy.refusal.ran, copy)

    @parameterized.expand([(seed,) for seed in (1, 2, 3)])
    def test_safe_retry(self, seed: int) -> None:
        """An order that provably didn't run is retried at another target."""
        with run_fleet(seed) as fleet:
            fleet.targets['malipo-0'].choose_outcome = lambda _: 'refuse'
            fleet.targets['malipo-1'].choose_outcome = lambda _: 'shed'
            calls = [
                send_order(fleet, 'dar-1', f'order-{number}')
                for number in range(9)
            ]
            fleet.run(5)
            self.check_refusals(fleet)
            # The retry budget limits the number of orders that reach the
            # third target.
            reasons = {call.reason for call in calls if call.refusal}
            self.assertLessEqual(
                reasons, {'target_unreachable', 'target_overloaded'}
            )
            attempts = sum(len(t.attempt_times) for t in fleet.targets.values())
            self.assertGreater(attempts, len(calls))
            for call in calls:
                self.assertEqual(call.refusal is None, call.executions == 1)

    def _check_not_run_refusals(self, fleet: Fleet) -> None:
        """Check that no duplicate is refused as not run after an execution."""
        ran_at = [call.at for call in fleet.calls if call.executions]
        wrong_refusals = [
            call.reason
            for call in fleet.calls
            if call.refusal is not None
            and call.refusal.ran is Executed.no
            and ran_at
            and call.at > ran_at[0]
        ]
        self.assertEqual(wrong_refusals, [])
