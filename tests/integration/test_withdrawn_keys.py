"""Withdrawn keys while VMs are cut off, frozen or restarted."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Final

from parameterized import parameterized

from cranberryseam.core import commands as cmd
from tests.integration.fleets import (
    FRESHNESS_S,
    REGIONS,
    WITHDRAWAL_GOAL_S,
    FleetTestCase,
    ask,
    report,
    run_fleet,
    spread,
    with_seeds,
)
from tests.integration.harness import (
    Call,
    Fleet,
)

_KEY_REASONS: Final = {'key_withdrawn', 'keys_stale', 'not_ready'}


def _poll_key(fleet: Fleet, names: Iterable[str], calls: list[Call]) -> None:
    """Send a request with the key to each VM four times a second."""
    calls.extend(fleet.call(name, 'zuri') for name in names)
    fleet.schedule(0.25, lambda: _poll_key(fleet, names, calls))


def _measure_refused(calls: list[Call], name: str, since: float) -> float:
    """Return seconds until a VM refused the key each time.

    A refusal for want of a token doesn't count, as it says nothing of keys.
    """
    passed = [
        call.at
        for call in calls
        if call.vm == name and call.reason not in _KEY_REASONS
    ]
    return max(passed + [since]) - since


class WithdrawnKeyTest(FleetTestCase):
    """Guards against a withdrawn key that still works somewhere."""

    seconds: dict[str, list[float]] = {}

    @classmethod
    def tearDownClass(cls) -> None:
        for case, values in cls.seconds.items():
            report(f'withdrawn key, {case}: {spread(values)} s until refused')
        super().tearDownClass()

    @parameterized.expand(with_seeds(('linked', 'isolated'), (1, 2)))
    def test_stream(self, _name: str, case: str, seed: int) -> None:
        """Streams of the key are cut at all nodes of three regions."""
        with run_fleet(seed, regions=REGIONS, controls=1) as fleet:
            for target in fleet.targets.values():
                target.behave = lambda _: 'stream'
                target.stream_s = 30
            streams = [fleet.call(name, 'zuri') for name in fleet.vm_names()]
            others = [fleet.call(name, 'asha') for name in fleet.vm_names()]
            fleet.run(0.5)
            if case == 'isolated':
                fleet.block_links(
                    ['mwz-1'], fleet.other_vms('mwz-1'), both=True
                )
                others = [call for call in others if call.vm != 'mwz-1']
            since = self._withdraw(fleet, 'mwz-2')
            fleet.run(9)
            cut_after_s = {
                c.vm: (c.cut_at or since + 99) - since for c in streams
            }
            if case == 'isolated':
                taken = cut_after_s.pop('mwz-1')
                self.seconds.setdefault('isolated stream', []).append(taken)
                self.assertLessEqual(taken, FRESHNESS_S + 1)
            self.seconds.setdefault('streams', []).extend(cut_after_s.values())
            self.assertLessEqual(max(cut_after_s.values()), WITHDRAWAL_GOAL_S)
            self.assertEqual({None}, {call.cut_at for call in others})

    @parameterized.expand(
        with_seeds(
            (
                'all_links',
                'no_control',
                'isolated',
                'hears_nobody',
                'nobody_hears',
                'restarted',
            ),
            (1, 2),
        )
    )
    def test_node(self, _name: str, case: str, seed: int) -> None:
        """The key at every node, one of which has a failure."""
        with run_fleet(seed, entries=4) as fleet:
            others = fleet.other_vms('dar-4')
            if case == 'no_control':
                fleet.block_links(
                    fleet.vm_names('control'), ['dar-4'], both=True
                )
            elif case == 'isolated':
                fleet.block_links(['dar-4'], others, both=True)
            elif case == 'hears_nobody':
                fleet.block_links(others, ['dar-4'], both=False)
            elif case == 'nobody_hears':
                fleet.block_links(['dar-4'], others, both=False)
            calls: list[Call] = []
            _poll_key(fleet, fleet.vm_names(), calls)
            fleet.run(0.1)
            since = self._withdraw(fleet, 'dar-2')
            if case == 'restarted':
                fleet.schedule(0.001, lambda: fleet.kill('dar-4'))
                fleet.schedule(0.5, lambda: fleet.start('dar-4'))
            fleet.run(9)
            taken = {
                name: _measure_refused(calls, name, since)
                for name in fleet.vm_names()
            }
            self.seconds.setdefault(case, []).append(taken['dar-4'])
            self.assertLessEqual(taken['dar-4'], FRESHNESS_S + 1)
            taken.pop('dar-4')
            self.assertLessEqual(max(taken.values()), WITHDRAWAL_GOAL_S)
            fleet.blocked_links.clear()
            fleet.run(5)
            late = [c for c in calls if c.at > since + FRESHNESS_S + 1]
            self.assertEqual({None}, {call.admitted_at for call in late})
            self.assertEqual('key_withdrawn', calls[-1].reason, calls[-1])

    @parameterized.expand([(seed,) for seed in (1, 2, 3)])
    def test_frozen(self, seed: int) -> None:
        """A node frozen for a minute admits nothing from its old queue."""
        with run_fleet(seed) as fleet:
            fleet.freeze('dar-3', 60)
            # These are in the queue before the news of the withdrawal.
            calls = [fleet.call('dar-3', 'zuri') for _ in range(3)]
            since = self._withdraw(fleet, 'dar-1')
            for _ in range(59):
                calls.append(fleet.call('dar-3', 'zuri'))
                fleet.run(1)
            _poll_key(fleet, ['dar-3'], calls)
            fleet.run(6)
            taken = _measure_refused(calls, 'dar-3', since)
            self.seconds.setdefault('frozen', []).append(taken)
            self.assertEqual({None}, {call.admitted_at for call in calls})
            self.assertEqual('key_withdrawn', calls[-1].reason)

    @parameterized.expand([(seed,) for seed in (1, 2)])
    def test_region(self, seed: int) -> None:
        """With isolation by region, a region cut off refuses keys."""
        with run_fleet(
            seed, regions=REGIONS, controls=1, isolation='region'
        ) as fleet:
            region = fleet.vm_names('entry', 'mwz')
            fleet.block_links(region, fleet.other_vms(*region), both=True)
            calls: list[Call] = []
            _poll_key(fleet, fleet.vm_names(), calls)
            since = self._withdraw(fleet, 'dar-1')
            fleet.run(9)
            taken = {
                name: _measure_refused(calls, name, since)
                for name in fleet.vm_names()
            }
            cut_off = [taken.pop(name) for name in region]
            self.seconds.setdefault('region cut', []).extend(cut_off)
            self.assertLessEqual(max(cut_off), FRESHNESS_S + 1)
            self.assertLessEqual(max(taken.values()), WITHDRAWAL_GOAL_S)

    def _withdraw(self, fleet: Fleet, name: str) -> float:
        key: Any = 'zuri'
        since = fleet.now
        answer = ask(fleet, name, cmd.WithdrawKey('w', key))
        self.assertIsInstance(answer, cmd.CommandAnswer)
        return since
