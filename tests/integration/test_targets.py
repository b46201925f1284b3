"""Targets that fail or leave while VMs are lost."""

from __future__ import annotations

from collections.abc import Callable

from parameterized import parameterized

from cranberryseam.core import commands as cmd
from cranberryseam.core.events import TargetState
from tests.integration.fleets import (
    EJECTION_GOAL_S,
    LEAVING_GOAL_S,
    FleetTestCase,
    report,
    run_fleet,
    send_regularly,
    spread,
    with_seeds,
)
from tests.integration.harness import (
    Call,
    Fleet,
)


def read_targets(fleet: Fleet, name: str) -> dict[str, str]:
    """Return the states of the targets of the catalogue at a VM."""
    rows = fleet.command(name, cmd.ShowTargets())().body['targets']
    return {
        row['target']: row['state']
        for row in rows
        if row['service'] == 'katalogi'
    }


class TargetTest(FleetTestCase):
    """Guards against wrong ejections and work for targets that leave."""

    seconds: dict[str, list[float]] = {}
    count = 4
    rate = 80

    @classmethod
    def tearDownClass(cls) -> None:
        for case, values in cls.seconds.items():
            report(f'target, {case}: {spread(values)} s')
        super().tearDownClass()

    @parameterized.expand([(seed,) for seed in (1, 2)])
    def test_all_fail(self, seed: int) -> None:
        """All targets fail: the floor stays, and all return afterwards."""
        with run_fleet(seed, self.count, 12) as fleet:
            worst = self._watch(fleet, lambda _call, _target: 'fail')
            self.assertLessEqual(worst, self.count // 2)
            for target in fleet.targets.values():
                target.behave = lambda _: 'ok'
            begun = fleet.now
            answered = [c for c in fleet.calls if c.at > begun - 5]
            self.assertIn(True, [bool(c.body) for c in answered])

    @parameterized.expand([(seed,) for seed in (1, 2)])
    def test_half_fail(self, seed: int) -> None:
        """Half of the targets fail: only these are ejected, all of them."""
        bad = {f'katalogi-{number}' for number in range(self.count // 2)}
        with run_fleet(seed, self.count, 12) as fleet:
            self._watch(fleet, lambda _, name: 'fail' if name in bad else 'ok')
            out = self._find_out(fleet)
            self.assertLessEqual(out, bad)
            self.assertEqual(bad, out)
            self._note_ejection('half of the targets failing', bad)

    @parameterized.expand([(seed,) for seed in (1, 2, 3, 4)])
    def test_one_fails_half(self, seed: int) -> None:
        """A target that fails every second request is ejected in time."""
        with run_fleet(seed, self.count, 12) as fleet:
            rng = fleet.rng
            self._watch(
                fleet,
                lambda _, name: (
                    'fail'
                    if name == 'katalogi-0' and rng.random() < 0.5
                    else 'ok'
                ),
            )
            self.assertEqual({'katalogi-0'}, self._find_out(fleet))
            self._note_ejection('one failing half', {'katalogi-0'})

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
        """Failures of one account's requests only eject no target."""
        with run_fleet(seed, self.count, 12) as fleet:
            send_regularly(fleet, 'zuri', rate, fleet.now + 19)
            worst = self._watch(
                fleet,
                lambda call, name: (
                    'fail'
                    if call.account == 'zuri' and where in {name, 'everywhere'}
                    else 'ok'
                ),
            )
            self.assertEqual(0, worst, self.first_out)

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
        """A draining or silent target gets no new work after 5 s."""
        with run_fleet(seed, self.count, 12) as fleet:
            if case.endswith('lossy'):
                fleet.loss_rate = fleet.duplicate_rate = 0.2
            send_regularly(fleet, 'asha', self.rate, fleet.now + 12)
            fleet.run(2)
            target = fleet.targets['katalogi-0']
            begun = fleet.now
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
            last = max(target.started) - begun
            self.seconds.setdefault(f'{case}, last new work', []).append(last)
            self.assertLessEqual(last, LEAVING_GOAL_S)

    def _watch(self, fleet: Fleet, behave: Callable[[Call, str], str]) -> int:
        """Run 12 s of load; return the most targets that were out."""
        # A leader ejects nothing in its first lease, which starts with the
        # first report of a service.
        send_regularly(fleet, 'asha', self.rate, fleet.now + 19)
        fleet.run(7)
        for name, target in fleet.targets.items():
            target.behave = lambda call, name=name: behave(call, name)
        self.begun = fleet.now
        worst = 0
        self.first_out: dict[str, float] = {}
        for _ in range(24):
            fleet.run(0.5)
            for name in fleet.vm_names():
                out = self._list_out(fleet, name)
                worst = max(worst, len(out))
                for target_name in out:
                    taken = round(fleet.now - self.begun, 2)
                    self.first_out.setdefault(target_name, taken)
        return worst

    def _find_out(self, fleet: Fleet) -> set[str]:
        """Return the targets that were out at some time."""
        return set(self.first_out)

    def _list_out(self, fleet: Fleet, name: str) -> set[str]:
        states = read_targets(fleet, name)
        return {t for t, s in states.items() if s in {'ejected', 'trial'}}

    def _note_ejection(self, case: str, expected: set[str]) -> None:
        taken = [self.first_out[name] for name in expected]
        self.seconds.setdefault(f'{case}, until ejected', []).extend(taken)
        self.assertLessEqual(max(taken), EJECTION_GOAL_S)
