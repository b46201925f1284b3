"""Tests of late answers and of planned stops."""

from __future__ import annotations

from typing import Any

from parameterized import parameterized

from tests.integration.fleets import (
    TAKEOVER_GOAL_S,
    FleetTestCase,
    apply_lists,
    build_lists,
    control_leader,
    count_executions,
    format_median_and_max,
    print_measurement,
    run_fleet,
    send_order,
    send_regularly,
    with_seeds,
)
from tests.integration.harness import (
    Call,
    Fleet,
)


class AnswerTest(FleetTestCase):
    """Guards against answers that are delivered to another request."""

    @parameterized.expand([(seed,) for seed in (1, 2, 3)])
    def test_late(self, seed: int) -> None:
        """Answers arrive late for two accounts while entry VMs restart."""
        with run_fleet(seed, entries=4) as fleet:
            fleet.late_answers = True
            fleet.jitter_s = 0.2
            fleet.duplicate_rate = 0.3
            for target in fleet.targets.values():
                target.work_duration_s = lambda: fleet.rng.random() * 0.8
                target.choose_outcome = lambda call: (
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
            self.check_refusals(fleet)
            answered = [call for call in fleet.calls if call.body]
            self.assertEqual({'asha', 'zuri'}, {c.account for c in answered})
            late = [c for c in fleet.calls if c.reason == 'deadline_expired']
            self.assertGreater(len(late), 10)
            for call in fleet.calls:
                if call.head.idempotency_key:
                    executions = count_executions(fleet, call.order)
                    self.assertLessEqual(executions, 1, call)

    def _send_orders(
        self, fleet: Fleet, account: str, number: int, end: float
    ) -> None:
        """Send each order to two VMs, with the same keys for both accounts."""
        for name in fleet.rng.sample(fleet.vm_names(), 2):
            options: Any = {'account': account, 'order': f'{account}/{number}'}
            send_order(fleet, name, f'key-{number}', **options)
        if fleet.now < end:
            fleet.schedule(
                0.1, lambda: self._send_orders(fleet, account, number + 1, end)
            )


class StopTest(FleetTestCase):
    """Guards against planned stops that interrupt requests."""

    measured_s: dict[str, list[float]] = {}

    @classmethod
    def tearDownClass(cls) -> None:
        for case, values in cls.measured_s.items():
            print_measurement(
                f'leader {case}: {format_median_and_max(values)} s '
                'until orders are accepted again'
            )
        super().tearDownClass()

    @parameterized.expand(with_seeds(('leader', 'other'), (1, 2, 3)))
    def test_entry(self, _name: str, case: str, seed: int) -> None:
        """A VM is told to stop repeatedly while requests are in flight."""
        with run_fleet(seed, entries=4) as fleet:
            name = fleet.group_leaders['dar'] if case == 'leader' else 'dar-4'
            for target in fleet.targets.values():
                target.choose_outcome = lambda call: (
                    'ok' if call.head.idempotency_key else 'stream'
                )
                target.work_duration_s = lambda: 2.0
            calls = [fleet.call(name, 'asha') for _ in range(5)]
            calls += [send_order(fleet, name, f'o-{n}') for n in range(5)]
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
                # Another VM becomes leader while this one still drains.
                self.assertNotEqual(name, fleet.group_leaders['dar'])
                self.assertIn(name, fleet.processes)
                # Its group changes the leader first, so the request sent
                # during the grace period may be refused.
                self.assertIn(
                    calls.pop().reason, {'', 'limit_owner_unreachable'}
                )
            fleet.run(12)
            self.assertEqual({None}, {call.cut_at for call in calls})
            self.assertEqual({True}, {call.answer_complete for call in calls})
            self.assertEqual({True}, {bool(call.body) for call in calls})
            last = max(call.final_at for call in calls)
            self.assertGreaterEqual(fleet.stop_times[name], last + 3)

    @parameterized.expand([(seed,) for seed in (1, 2, 3)])
    def test_control(self, seed: int) -> None:
        """Another control VM becomes leader after the leader stops."""
        with run_fleet(seed, targets=0) as fleet:
            name = control_leader(fleet)
            fleet.stop(name)
            fleet.run_until(lambda: name in fleet.stop_times, 5)
            elapsed_s = fleet.run_until(lambda: control_leader(fleet), 5)
            self.assertLessEqual(elapsed_s, 2)
            apply_lists(fleet, 'after', build_lists(50))

    @parameterized.expand(with_seeds(('stopped', 'killed'), (1, 2)))
    def test_gap(self, _name: str, case: str, seed: int) -> None:
        """Another VM accepts orders again soon after the leader stops."""
        with run_fleet(seed, entries=4, controls=1) as fleet:
            name = fleet.group_leaders['dar']
            started_at = fleet.now
            if case == 'stopped':
                fleet.stop(name)
            else:
                fleet.kill(name)
            calls: list[Call] = []
            for number in range(100):
                calls.append(send_order(fleet, 'dar-4', f'after-{number}'))
                fleet.run(0.1)
            refused = [call.at for call in calls if call.reason]
            elapsed_s = max([*refused, started_at]) - started_at
            self.measured_s.setdefault(case, []).append(elapsed_s)
            self.assertLessEqual(elapsed_s, TAKEOVER_GOAL_S)
