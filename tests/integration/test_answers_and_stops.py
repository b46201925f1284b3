"""Late answers, and planned stops."""

from __future__ import annotations

from typing import Any

from parameterized import parameterized

from tests.integration.fleets import (
    TAKEOVER_GOAL_S,
    FleetTestCase,
    apply_lists,
    build_lists,
    control_leader,
    count_work,
    order,
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


class AnswerTest(FleetTestCase):
    """Guards against an answer that reaches another request."""

    @parameterized.expand([(seed,) for seed in (1, 2, 3)])
    def test_late(self, seed: int) -> None:
        """Late answers of two accounts, while entry nodes restart."""
        with run_fleet(seed, entries=4) as fleet:
            fleet.late_answers = True
            fleet.jitter_s = 0.2
            fleet.duplicate_rate = 0.3
            for target in fleet.targets.values():
                target.work_s = lambda: fleet.rng.random() * 0.8
                target.behave = lambda call: (
                    'late'
                    if call.head.method == 'GET' and fleet.rng.random() < 0.3
                    else 'ok'
                )
            end = fleet.now + 8
            for account in ('asha', 'zuri'):
                send_regularly(fleet, account, 40, end, timeout_s=0.5)
                self._send_orders(fleet, account, 0, end)
            for _ in range(7):
                name = fleet.rng.choice(('dar-3', 'dar-4'))
                fleet.kill(name)
                fleet.run(0.05)
                fleet.start(name)
                fleet.run(1)
            fleet.run(10)
            self.check_truth(fleet)
            answered = [call for call in fleet.calls if call.body]
            self.assertEqual({'asha', 'zuri'}, {c.account for c in answered})
            late = [c for c in fleet.calls if c.reason == 'deadline_expired']
            self.assertGreater(len(late), 10)
            for call in fleet.calls:
                if call.head.idempotency_key:
                    ran = count_work(fleet, call.order)
                    self.assertLessEqual(ran, 1, call)

    def _send_orders(
        self, fleet: Fleet, account: str, number: int, end: float
    ) -> None:
        """Send each order at two VMs; both accounts use the same keys."""
        for name in fleet.rng.sample(fleet.vm_names(), 2):
            options: Any = {'account': account, 'order': f'{account}/{number}'}
            order(fleet, name, f'key-{number}', **options)
        if fleet.now < end:
            fleet.schedule(
                0.1, lambda: self._send_orders(fleet, account, number + 1, end)
            )


class StopTest(FleetTestCase):
    """Guards against a planned stop that interrupts requests."""

    seconds: dict[str, list[float]] = {}

    @classmethod
    def tearDownClass(cls) -> None:
        for case, values in cls.seconds.items():
            report(f'leader {case}: {spread(values)} s until orders again')
        super().tearDownClass()

    @parameterized.expand(with_seeds(('leader', 'other'), (1, 2, 3)))
    def test_entry(self, _name: str, case: str, seed: int) -> None:
        """Stop a node with requests in flight, and again meanwhile."""
        with run_fleet(seed, entries=4) as fleet:
            name = fleet.leaders['dar'] if case == 'leader' else 'dar-4'
            for target in fleet.targets.values():
                target.behave = lambda call: (
                    'ok' if call.head.idempotency_key else 'stream'
                )
                target.work_s = lambda: 2.0
            calls = [fleet.call(name, 'asha') for _ in range(5)]
            calls += [order(fleet, name, f'o-{n}') for n in range(5)]
            fleet.run(0.5)
            fleet.stop(name)
            self.assertFalse(fleet.processes[name].ready)
            fleet.run(0.5)
            calls.append(fleet.call(name, 'asha'))
            fleet.stop(name)
            fleet.run(1)
            refused = fleet.call(name, 'asha')
            self.assertEqual('draining', refused.reason)
            fleet.stop(name)
            if case == 'leader':
                # Another leads while this one still drains.
                self.assertNotEqual(name, fleet.leaders['dar'])
                self.assertIn(name, fleet.processes)
                # Its own group hands over first, which may refuse the call
                # that came during the grace period.
                self.assertIn(
                    calls.pop().reason, {'', 'limit_owner_unreachable'}
                )
            fleet.run(12)
            self.assertEqual({None}, {call.cut_at for call in calls})
            self.assertEqual({True}, {call.ended for call in calls})
            self.assertEqual({True}, {bool(call.body) for call in calls})
            last = max(call.final_at for call in calls)
            self.assertGreaterEqual(fleet.stopped[name], last + 3)

    @parameterized.expand([(seed,) for seed in (1, 2, 3)])
    def test_control(self, seed: int) -> None:
        """A control leader that stops leaves another one in charge."""
        with run_fleet(seed, targets=0) as fleet:
            name = control_leader(fleet)
            fleet.stop(name)
            fleet.run_until(lambda: name in fleet.stopped, 5)
            taken = fleet.run_until(lambda: control_leader(fleet), 5)
            self.assertLessEqual(taken, 2)
            apply_lists(fleet, 'after', build_lists(50))

    @parameterized.expand(with_seeds(('stopped', 'killed'), (1, 2)))
    def test_gap(self, _name: str, case: str, seed: int) -> None:
        """Orders at another node are taken again soon after the stop."""
        with run_fleet(seed, entries=4, controls=1) as fleet:
            name = fleet.leaders['dar']
            begun = fleet.now
            if case == 'stopped':
                fleet.stop(name)
            else:
                fleet.kill(name)
            calls: list[Call] = []
            for number in range(100):
                calls.append(order(fleet, 'dar-4', f'after-{number}'))
                fleet.run(0.1)
            refused = [call.at for call in calls if call.reason]
            taken = max([*refused, begun]) - begun
            self.seconds.setdefault(case, []).append(taken)
            self.assertLessEqual(taken, TAKEOVER_GOAL_S)
