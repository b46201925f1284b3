"""Tests of targets that fail or leave while VMs fail."""

from __future__ import annotations

from collections.abc import Callable

from parameterized import parameterized

from cranberryseam.core import commands as cmd
from cranberryseam.core.events import TargetState
from tests.integration.fleets import (
    EJECTION_GOAL_S,
    LEAVING_GOAL_S,
    FleetTestCase,
    format_median_and_max,
    print_measurement,
    run_fleet,
    send_regularly,
    with_seeds,
)
from tests.integration.harness import (
    Call,
    Fleet,
)


def read_targets(fleet: Fleet, name: str) -> dict[str, str]:
    """Return the states of the catalogue targets as seen by a VM."""
    rows = fleet.command(name, cmd.ShowTargets())().body['targets']
    return {
        row['target']: row['state']
        for row in rows
        if row['service'] == 'katalogi'
    }


class TargetTest(FleetTestCase):
    """Guards against wrong ejections and requests to leaving targets."""

    measured_s: dict[str, list[float]] = {}
    count = 4
    rate = 80

    @classmethod
    def tearDownClass(cls) -> None:
        for case, values in cls.measured_s.items():
            print_measurement(
                f'target, {case}: {format_median_and_max(values)} s'
            )
        super().tearDownClass()

    @parameterized.expand([(seed,) for seed in (1, 2)])
    def test_all_fail(self, seed: int) -> None:
        """All targets fail: at most half are ejected, and requests go on."""
        with run_fleet(seed, self.count, 12) as fleet:
            max_ejected = self._run_load(fleet, lambda _call, _target: 'fail')
            self.assertLessEqual(max_ejected, self.count // 2)
            for target in fleet.targets.values():
                target.choose_outcome = lambda _: 'ok'
            started_at = fleet.now
            answered = [c for c in fleet.calls if c.at > started_at - 5]
            self.assertIn(True, [bool(c.body) for c in answered])

    @parameterized.expand([(seed,) for seed in (1, 2)])
    def test_half_fail(self, seed: int) -> None:
        """Half of the targets fail: exactly these are ejected."""
        failing = {f'katalogi-{number}' for number in range(self.count // 2)}
        with run_fleet(seed, self.count, 12) as fleet:
            self._run_load(
                fleet, lambda _, name: 'fail' if name in failing else 'ok'
            )
            ejected = self._list_ever_ejected(fleet)
            self.assertLessEqual(ejected, failing)
            self.assertEqual(failing, ejected)
            self._record_ejection('half of the targets failing', failing)

    @parameterized.expand([(seed,) for seed in (1, 2, 3, 4)])
    def test_one_fails_half(self, seed: int) -> None:
        """A target that fails half of its requests is ejected in time."""
        with run_fleet(seed, self.count, 12) as fleet:
            rng = fleet.rng
            self._run_load(
                fleet,
                lambda _, name: (
                    'fail'
                    if name == 'katalogi-0' and rng.random() < 0.5
                    else 'ok'
                ),
            )
            self.assertEqual({'katalogi-0'}, self._list_ever_ejected(fleet))
            self._record_ejection('one failing half', {'katalogi-0'})

    @parameterized.expand(
        [
            (f'{where}_{rate}_{seed}', where, rate, seed)
            for where, rate in (
                ('katalogi-0', 8),
                ('katalogi-0', 27),
                ('everywhere', 27),
            )
            for seed in ((1,) if where == 'everywhere' else (1, 2))
        ]
    )
    def test_bad_account(
        self, _name: str, where: str, rate: int, seed: int
    ) -> None:
        """Failures of a single account's requests eject no target."""
        with run_fleet(seed, self.count, 12) as fleet:
            send_regularly(fleet, 'zuri', rate, fleet.now + 19)
            max_ejected = self._run_load(
                fleet,
                lambda call, name: (
                    'fail'
                    if call.account == 'zuri' and where in {name, 'everywhere'}
                    else 'ok'
                ),
            )
            self.assertEqual(0, max_ejected, self.first_ejected_s)

    @parameterized.expand(
        with_seeds(
            (
                'draining',
                'draining_lossy',
                'silent',
                'silent_lossy',
                'silent_origin_killed',
                'silent_all_cut',
            ),
            (1, 2),
        )
        + with_seeds(('silent_origin_killed',), (5, 26, 4, 8))
    )
    def test_leaving(self, _name: str, case: str, seed: int) -> None:
        """A draining or silent target gets no new requests after 5 s."""
        with run_fleet(seed, self.count, 12) as fleet:
            if case.endswith('lossy'):
                fleet.loss_rate = fleet.duplicate_rate = 0.2
            send_regularly(fleet, 'asha', self.rate, fleet.now + 12)
            fleet.run(2)
            target = fleet.targets['katalogi-0']
            started_at = fleet.now
            if case.startswith('draining'):
                target.state = TargetState.draining
            else:
                target.silent = True
            if case == 'silent_origin_killed':
                fleet.kill('dar-3')
            elif case == 'silent_all_cut':
                names = fleet.vm_names()
                fleet.block_links(names, names, both=True)
            fleet.run(12)
            last = max(target.attempt_times) - started_at
            self.measured_s.setdefault(f'{case}, last new work', []).append(
                last
            )
            self.assertLessEqual(last, LEAVING_GOAL_S)

    def _run_load(
        self, fleet: Fleet, choose_outcome: Callable[[Call, str], str]
    ) -> int:
        """Run 12 s of load; return the maximum number of ejected targets."""
        # A leader ejects no targets during its first lease, which starts with
        # the first report of a service.
        send_regularly(fleet, 'asha', self.rate, fleet.now + 19)
        fleet.run(7)
        for name, target in fleet.targets.items():
            target.choose_outcome = lambda call, name=name: choose_outcome(
                call, name
            )
        self.started_at = fleet.now
        max_ejected = 0
        self.first_ejected_s: dict[str, float] = {}
        for _ in range(24):
            fleet.run(0.5)
            for name in fleet.vm_names():
                ejected = self._list_ejected(fleet, name)
                max_ejected = max(max_ejected, len(ejected))
                for target_name in ejected:
                    elapsed_s = round(fleet.now - self.started_at, 2)
                    self.first_ejected_s.setdefault(target_name, elapsed_s)
        return max_ejected

    def _list_ever_ejected(self, fleet: Fleet) -> set[str]:
        """Return the targets that were ejected at any time."""
        return set(self.first_ejected_s)

    def _list_ejected(self, fleet: Fleet, name: str) -> set[str]:
        states = read_targets(fleet, name)
        return {t for t, s in states.items() if s in {'ejected', 'trial'}}

    def _record_ejection(self, case: str, expected: set[str]) -> None:
        elapsed_s = [self.first_ejected_s[name] for name in expected]
        self.measured_s.setdefault(f'{case}, until ejected', []).extend(
            elapsed_s
        )
        self.assertLessEqual(max(elapsed_s), EJECTION_GOAL_S)
