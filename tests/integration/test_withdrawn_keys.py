"""Tests of withdrawn keys while VMs are isolated, frozen or restarted."""

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
    format_median_and_max,
    print_measurement,
    run_fleet,
    send_command,
    with_seeds,
)
from tests.integration.harness import (
    Call,
    Fleet,
)

_KEY_REASONS: Final = {'key_withdrawn', 'keys_stale', 'not_ready'}


def _poll_key(fleet: Fleet, names: Iterable[str], calls: list[Call]) -> None:
    """Send a request with the key to each VM four times per second."""
    calls.extend(fleet.call(name, 'zuri') for name in names)
    fleet.schedule(0.25, lambda: _poll_key(fleet, names, calls))


def _measure_time_to_refusal(
    calls: list[Call], name: str, withdrawn_at: float
) -> float:
    """Return the seconds until a VM refused every request with the key.

    Rate limit refusals don't count, since they don't depend on the key.
    """
    accepted_at = [
        call.at
        for call in calls
        if call.vm == name and call.reason not in _KEY_REASONS
    ]
    return max(accepted_at + [withdrawn_at]) - withdrawn_at


class WithdrawnKeyTest(FleetTestCase):
    """Guards against withdrawn keys that some VM still accepts."""

    measured_s: dict[str, list[float]] = {}

    @classmethod
    def tearDownClass(cls) -> None:
        for case, values in cls.measured_s.items():
            print_measurement(
                f'withdrawn key, {case}: {format_median_and_max(values)} s '
                'until refused'
            )
        super().tearDownClass()

    @parameterized.expand(with_seeds(('linked', 'isolated'), (1, 2)))
    def test_stream(self, _name: str, case: str, seed: int) -> None:
        """Streams that use the key are closed at all VMs of three regions."""
        with run_fleet(seed, regions=REGIONS, controls=1) as fleet:
            for target in fleet.targets.values():
                target.choose_outcome = lambda _: 'stream'
                target.stream_duration_s = 30
            streams = [fleet.call(name, 'zuri') for name in fleet.vm_names()]
            others = [fleet.call(name, 'asha') for name in fleet.vm_names()]
            fleet.run(0.5)
            if case == 'isolated':
                fleet.block_links(
                    ['mwz-1'], fleet.other_vms('mwz-1'), both=True
                )
                others = [call for call in others if call.vm != 'mwz-1']
            withdrawn_at = self._withdraw(fleet, 'mwz-2')
            fleet.run(9)
            cut_after_s = {
                c.vm: (c.cut_at or withdrawn_at + 99) - withdrawn_at
                for c in streams
            }
            if case == 'isolated':
                elapsed_s = cut_after_s.pop('mwz-1')
                self.measured_s.setdefault('isolated stream', []).append(
                    elapsed_s
                )
                self.assertLessEqual(elapsed_s, FRESHNESS_S + 1)
            self.measured_s.setdefault('streams', []).extend(
                cut_after_s.values()
            )
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
        """Requests with the key reach all VMs, one of which is faulty."""
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
            withdrawn_at = self._withdraw(fleet, 'dar-2')
            if case == 'restarted':
                fleet.schedule(0.001, lambda: fleet.kill('dar-4'))
                fleet.schedule(0.5, lambda: fleet.start('dar-4'))
            fleet.run(9)
            elapsed_s = {
                name: _measure_time_to_refusal(calls, name, withdrawn_at)
                for name in fleet.vm_names()
            }
            self.measured_s.setdefault(case, []).append(elapsed_s['dar-4'])
            self.assertLessEqual(elapsed_s['dar-4'], FRESHNESS_S + 1)
            elapsed_s.pop('dar-4')
            self.assertLessEqual(max(elapsed_s.values()), WITHDRAWAL_GOAL_S)
            fleet.blocked_links.clear()
            fleet.run(5)
            late = [c for c in calls if c.at > withdrawn_at + FRESHNESS_S + 1]
            self.assertEqual({None}, {call.admitted_at for call in late})
            self.assertEqual('key_withdrawn', calls[-1].reason, calls[-1])

    @parameterized.expand([(seed,) for seed in (1, 2, 3)])
    def test_frozen(self, seed: int) -> None:
        """A VM frozen for a minute admits no queued requests with the key."""
        with run_fleet(seed) as fleet:
            fleet.freeze('dar-3', 60)
            # These requests are queued before the withdrawal arrives.
            calls = [fleet.call('dar-3', 'zuri') for _ in range(3)]
            withdrawn_at = self._withdraw(fleet, 'dar-1')
            for _ in range(59):
                calls.append(fleet.call('dar-3', 'zuri'))
                fleet.run(1)
            _poll_key(fleet, ['dar-3'], calls)
            fleet.run(6)
            elapsed_s = _measure_time_to_refusal(calls, 'dar-3', withdrawn_at)
            self.measured_s.setdefault('frozen', []).append(elapsed_s)
            self.assertEqual({None}, {call.admitted_at for call in calls})
            self.assertEqual('key_withdrawn', calls[-1].reason)

    @parameterized.expand([(seed,) for seed in (1, 2)])
    def test_region(self, seed: int) -> None:
        """With isolation by region, an isolated region refuses keys."""
        with run_fleet(
            seed, regions=REGIONS, controls=1, isolation='region'
        ) as fleet:
            region = fleet.vm_names('entry', 'mwz')
            fleet.block_links(region, fleet.other_vms(*region), both=True)
            calls: list[Call] = []
            _poll_key(fleet, fleet.vm_names(), calls)
            withdrawn_at = self._withdraw(fleet, 'dar-1')
            fleet.run(9)
            elapsed_s = {
                name: _measure_time_to_refusal(calls, name, withdrawn_at)
                for name in fleet.vm_names()
            }
            cut_off = [elapsed_s.pop(name) for name in region]
            self.measured_s.setdefault('region cut', []).extend(cut_off)
            self.assertLessEqual(max(cut_off), FRESHNESS_S + 1)
            self.assertLessEqual(max(elapsed_s.values()), WITHDRAWAL_GOAL_S)

    def _withdraw(self, fleet: Fleet, name: str) -> float:
        key: Any = 'zuri'
        withdrawn_at = fleet.now
        answer = send_command(fleet, name, cmd.WithdrawKey('w', key))
        self.assertIsInstance(answer, cmd.CommandAnswer)
        return withdrawn_at
