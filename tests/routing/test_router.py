"""Tests of admission, queues, lanes and departing targets."""

from __future__ import annotations

import testtools
from parameterized import parameterized

from cranberryseam.core.commands import ShowTargets
from cranberryseam.core.effects import SendMessage, SetTimer
from cranberryseam.core.events import (
    CommandReceived,
    MessageReceived,
    TargetState,
    TimerFired,
)
from cranberryseam.core.notices import TargetChanged
from cranberryseam.routing import AttemptOutcome, Tuning
from cranberryseam.routing.messages import EjectedRow, ServiceView

from .routing_support import (
    announce,
    assigned,
    create_router,
    denied,
    make_request,
)

OK = AttemptOutcome.succeeded


class AdmissionTest(testtools.TestCase):
    """Guards the results of ``admit`` and the ends of a wait."""

    def test_no_target(self) -> None:
        router = create_router()
        self.assertEqual(
            ['no_target'], denied(router.admit(make_request(1), 1))
        )

    def test_queue_is_served_when_a_slot_is_free(self) -> None:
        router = create_router(announce('t', slots=1))
        router.admit(make_request(1), 1)
        self.assertEqual([], assigned(router.admit(make_request(2), 1)))
        outputs = router.release(1, OK, 2)
        self.assertEqual([2], [out.request_id for out in assigned(outputs)])

    def test_nothing_starts_for_a_caller_who_left(self) -> None:
        router = create_router(announce('t', slots=1))
        router.admit(make_request(1), 1)
        router.admit(make_request(2), 1)
        router.cancel(2, 1.5)
        self.assertEqual([], assigned(router.release(1, OK, 2)))

    def test_cancel_frees_the_slot(self) -> None:
        router = create_router(announce('t', slots=1))
        router.admit(make_request(1), 1)
        router.admit(make_request(2), 1)
        self.assertEqual(1, len(assigned(router.cancel(1, 2))))

    def test_release_twice_frees_one_slot(self) -> None:
        router = create_router(announce('t', slots=1))
        for number in range(1, 5):
            router.admit(make_request(number), 1)
        router.release(1, OK, 2)
        self.assertEqual([], assigned(router.release(1, OK, 2)))

    def test_waiting_request_times_out(self) -> None:
        router = create_router(announce('t', slots=1))
        router.admit(make_request(1), 1)
        outputs = router.admit(make_request(2, deadline_at=3), 1)
        timers = [out for out in outputs if isinstance(out, SetTimer)]
        self.assertEqual([3], [timer.at for timer in timers])
        fired = router.handle(TimerFired(3, 'routing', timers[0].name))
        self.assertEqual(['queue_timeout'], denied(fired))
        self.assertEqual([], assigned(router.release(1, OK, 4)))

    def test_deadline_below_the_usual_latency_is_refused(self) -> None:
        router = create_router(announce('t'))
        for number in range(50):
            router.admit(make_request(number), number)
            router.release(number, OK, number + 0.5)
        late = router.admit(make_request(99, deadline_at=50.2), 50)
        self.assertEqual(['deadline_too_short'], denied(late))

    def test_full_queue_displaces_the_largest_backlog(self) -> None:
        router = create_router(
            announce('t', slots=1), tuning=Tuning(queue_limit=3)
        )
        for number in range(4):
            router.admit(make_request(number, account='large'), 1)
        outputs = router.admit(make_request(9, account='small'), 1)
        self.assertEqual(['queue_full'], denied(outputs))
        self.assertEqual(
            [3], [out.request_id for out in outputs if hasattr(out, 'reason')]
        )

    def test_shed_request_is_served_before_later_ones(self) -> None:
        router = create_router(announce('t', slots=1))
        router.admit(make_request(1), 1)
        router.admit(make_request(2), 1)
        router.release(1, AttemptOutcome.shed, 1.01)
        outputs = router.admit(make_request(1, attempt=2), 1.01)
        timer = [out for out in outputs if isinstance(out, SetTimer)]
        woken = router.handle(TimerFired(3, 'routing', 'wake:work'))
        self.assertEqual([1], [out.request_id for out in assigned(woken)])
        self.assertLess(len(timer), 3)

    def test_target_is_paused_after_it_shed(self) -> None:
        router = create_router(announce('t'))
        router.admit(make_request(1), 1)
        router.release(1, AttemptOutcome.shed, 1.01)
        self.assertEqual([], assigned(router.admit(make_request(2), 1.01)))

    def test_tried_targets_are_avoided(self) -> None:
        router = create_router(announce('t'), announce('u'))
        for number in range(8):
            request = make_request(number, excluded=frozenset({'t'}))
            for out in assigned(router.admit(request, 1)):
                self.assertEqual('u', out.target)

    def test_only_target_is_tried_again(self) -> None:
        router = create_router(announce('t'))
        request = make_request(1, excluded=frozenset({'t'}), attempt=2)
        self.assertEqual(1, len(assigned(router.admit(request, 1))))


class DepartureTest(testtools.TestCase):
    """Guards P7: no new requests after the notice of departure."""

    @parameterized.expand(
        [
            ('draining', TargetState.draining, False),
            ('silent', TargetState.ready, True),
        ]
    )
    def test_no_work(
        self, _name: str, state: TargetState, silent: bool
    ) -> None:
        router = create_router(announce('t'), announce('u'))
        notice = TargetChanged(1, announce('t', state=state), silent)
        router.handle(notice)
        for number in range(4):
            out = assigned(router.admit(make_request(number), 1))[0]
            self.assertEqual('u', out.target)

    def test_queue_of_a_draining_target_isn_t_served(self) -> None:
        router = create_router(announce('t', slots=1))
        router.admit(make_request(1), 1)
        router.admit(make_request(2), 1)
        draining = announce('t', slots=1, state=TargetState.draining)
        router.handle(TargetChanged(1, draining))
        self.assertEqual([], assigned(router.release(1, OK, 2)))


class DistanceTest(testtools.TestCase):
    """Guards against needless traffic over slow links."""

    def test_own_centre_then_region_then_far(self) -> None:
        router = create_router(
            announce('own', slots=1),
            announce('other', centre='r2', slots=1),
            announce('far', centre='s1', region='s'),
        )
        targets = [
            out.target
            for number in range(3)
            for out in assigned(router.admit(make_request(number), 1))
        ]
        self.assertEqual(['own', 'other'], targets)

    def test_far_when_nothing_is_near(self) -> None:
        router = create_router(announce('far', centre='s1', region='s'))
        self.assertEqual(1, len(assigned(router.admit(make_request(1), 1))))


class PreferenceTest(testtools.TestCase):
    """Guards the avoidance of a target that fails for one VM only."""

    def count_starts(
        self, router: object, at: float, **changes: object
    ) -> dict:
        starts = {'t': 0, 'u': 0}
        for number in range(1000, 1100):
            out = assigned(router.admit(make_request(number, **changes), at))[0]
            starts[out.target] += 1
            router.release(number, OK, at + 0.01)
        return starts

    def test_failing_target_is_avoided_but_not_excluded(self) -> None:
        router = create_router(announce('t'), announce('u'))
        for number in range(40):
            out = assigned(router.admit(make_request(number), 1))[0]
            failed = out.target == 't'
            outcome = AttemptOutcome.failed if failed else OK
            router.release(number, outcome, 1.01)
        self.assertEqual(frozenset(), router.excluded_targets('work', 2))
        starts = self.count_starts(router, 2)
        self.assertLess(starts['t'], starts['u'] / 2)

    def test_cold_target_gets_fewer_requests(self) -> None:
        cold = announce('t', state=TargetState.cold)
        router = create_router(cold, announce('u'))
        starts = self.count_starts(router, 1)
        self.assertLess(starts['t'], starts['u'] / 2)

    def test_trial_takes_one_retriable_request_at_a_time(self) -> None:
        router = create_router(announce('t'), announce('u'), vm='v1')
        router.admit(make_request(1), 0.5)
        router.release(1, OK, 0.6)
        sent = [
            out
            for out in router.handle(TimerFired(1, 'routing', 'tick'))
            if isinstance(out, SendMessage)
        ]
        rows = (EjectedRow('t', 'failing', 30, True),)
        echo = sent[0].message.sent_at
        view = ServiceView('work', 'r', 1, echo, rows, ())
        router.handle(MessageReceived(1.1, 'v0', view))
        order = [
            assigned(router.admit(make_request(*args, **changes), 1.2))[
                0
            ].target
            for args, changes in (
                ((2,), {'retriable': False}),
                ((3,), {}),
                ((4,), {}),
            )
        ]
        self.assertEqual(['u', 't', 'u'], order)


class LongLaneTest(testtools.TestCase):
    """Guards against long requests that occupy all slots."""

    @parameterized.expand([(1,), (2,), (4,), (12,)])
    def test_interactive_finds_a_slot(self, count: int) -> None:
        router = create_router(*(announce(f't{n}') for n in range(count)))
        for number in range(200):
            router.admit(make_request(number, lane='long'), 1)
        outputs = router.admit(make_request(999), 1)
        self.assertEqual(1, len(assigned(outputs)))

    def test_long_waits_until_a_slot_is_free(self) -> None:
        router = create_router(announce('t', slots=2))
        router.admit(make_request(1, lane='long'), 1)
        self.assertEqual(
            [], assigned(router.admit(make_request(2, lane='long'), 1))
        )
        self.assertEqual(1, len(assigned(router.release(1, OK, 2))))


class BudgetTest(testtools.TestCase):
    """Guards against retries that multiply the load."""

    def test_reserve_then_share_of_successes(self) -> None:
        router = create_router(announce('t'))
        taken = [router.acquire_retry('work', 'a', 1) for _ in range(5)]
        self.assertEqual([True] * 3 + [False] * 2, taken)
        for number in range(20):
            router.admit(make_request(number, account='a'), 1)
            router.release(number, OK, 1)
        taken = [router.acquire_retry('work', 'a', 1) for _ in range(5)]
        self.assertEqual([True] * 2 + [False] * 3, taken)

    def test_one_account_doesn_t_use_up_another(self) -> None:
        router = create_router(announce('t'))
        for number in range(40):
            router.admit(make_request(number, account=f'a{number % 2}'), 1)
            router.release(number, OK, 1)
        spent = [router.acquire_retry('work', 'a0', 1) for _ in range(9)]
        self.assertIn(False, spent)
        self.assertTrue(router.acquire_retry('work', 'a1', 1))

    def test_hedge_delay_needs_samples_and_free_slots(self) -> None:
        router = create_router(announce('t', slots=1))
        self.assertIsNone(router.hedge_delay_s('work', 1))
        for number in range(60):
            at = 1 + number / 8
            router.admit(make_request(number), at)
            router.release(number, OK, at + 0.1)
        self.assertAlmostEqual(0.1, router.hedge_delay_s('work', 9), places=1)
        router.admit(make_request(100), 9)
        router.admit(make_request(101), 9)
        self.assertIsNone(router.hedge_delay_s('work', 9))


class ShowTargetsTest(testtools.TestCase):
    """Guards the rows of ``ShowTargets``."""

    def test_rows(self) -> None:
        router = create_router(
            announce('t'), announce('u', state=TargetState.draining)
        )
        router.admit(make_request(1), 1)
        answer = router.handle(CommandReceived(1, 7, ShowTargets()))[0]
        rows = {row['target']: row for row in answer.answer.body['targets']}
        self.assertEqual((7, 1), (answer.command_id, answer.answer.version))
        self.assertEqual(
            ('ready', 4, 1),
            (rows['t']['state'], rows['t']['slots'], rows['t']['in_use']),
        )
        self.assertEqual('draining', rows['u']['state'])
