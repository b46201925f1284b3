"""Hedged attempts when some targets hang while others answer."""

from __future__ import annotations

import attrs
from parameterized import parameterized
from testtools import TestCase

from cranberryseam.core import effects as fx
from cranberryseam.core import events as ev
from cranberryseam.core.refusals import Executed
from cranberryseam.routing.model import AttemptOutcome
from cranberryseam.types import AttemptId, RequestId

from .fakes import LISTS, FakeCollaborators, build_head
from .test_coordinator import REQUEST_ID, _Driver

ROUTE = attrs.evolve(LISTS.routes[0], objective_s=1.0, most_attempts=2)
Outcome = AttemptOutcome


def _start_request(
    fakes: FakeCollaborators, route: object = ROUTE, method: str = 'GET'
) -> tuple[_Driver, list[fx.Effect]]:
    """Return a driver whose request has its primary attempt in progress."""
    driver = _Driver(fakes)
    admitted = attrs.evolve(
        driver.coordinator._configuration,
        routes={**driver.coordinator._configuration.routes, 'pay': route},
    )
    driver.coordinator._configuration = admitted
    head = attrs.evolve(build_head(), method=method)
    return driver, driver.apply(ev.RequestArrived(1, REQUEST_ID, head))


def _list_timers(effects: list[fx.Effect]) -> list[fx.SetTimer]:
    return [one for one in effects if isinstance(one, fx.SetTimer)]


def _fire_hedge_timer(
    driver: _Driver, effects: list[fx.Effect]
) -> list[fx.Effect]:
    (timer,) = _list_timers(effects)
    return driver.apply(ev.TimerFired(timer.at, timer.component, timer.name))


def _make_answer(
    attempt: int, status: int = 200, *, not_run: bool = False
) -> ev.AnswerReady:
    return ev.AnswerReady(
        2,
        REQUEST_ID,
        AttemptId(attempt),
        status,
        complete=True,
        not_run=not_run,
    )


def _make_failure(attempt: int) -> ev.AttemptFailed:
    failure = ev.AttemptFailure.no_answer
    return ev.AttemptFailed(
        2, REQUEST_ID, AttemptId(attempt), failure, sent=True
    )


class HedgingTest(TestCase):
    """Guards against retriable requests that wait for an unresponsive target
    until their deadline, and against more than one answer to a request.
    """

    def test_second_attempt_goes_to_another_target(self) -> None:
        driver, effects = _start_request(FakeCollaborators())
        (first,) = [e for e in effects if isinstance(e, fx.StartAttempt)]
        (second,) = _fire_hedge_timer(driver, effects)
        self.assertNotEqual(first.target, second.target)
        self.assertNotEqual(first.attempt_id, second.attempt_id)
        self.assertLess(second.timeout_s, first.timeout_s)

    @parameterized.expand(
        [
            ('unsafe', ROUTE, 'POST'),
            ('no objective', attrs.evolve(ROUTE, objective_s=0), 'GET'),
            ('one attempt', attrs.evolve(ROUTE, most_attempts=1), 'GET'),
        ]
    )
    def test_never(self, _: str, route: object, method: str) -> None:
        _, effects = _start_request(FakeCollaborators(), route, method)
        self.assertEqual([], _list_timers(effects))

    @parameterized.expand(
        [
            ('no budget', FakeCollaborators(retries=0)),
            ('no slot', FakeCollaborators()),
            ('answered', FakeCollaborators()),
        ]
    )
    def test_not_now(self, name: str, fakes: FakeCollaborators) -> None:
        driver, effects = _start_request(fakes)
        fakes.withhold_slots = name == 'no slot'
        if name == 'answered':
            driver.apply(_make_answer(1))
        self.assertEqual([], _fire_hedge_timer(driver, effects))

    def test_second_answer_counts(self) -> None:
        fakes = FakeCollaborators()
        driver, effects = _start_request(fakes)
        _fire_hedge_timer(driver, effects)
        ended = driver.apply(_make_answer(2))
        self.assertEqual(
            [
                fx.CancelAttempt(REQUEST_ID, AttemptId(1)),
                fx.ForwardAnswer(REQUEST_ID, AttemptId(2)),
            ],
            ended,
        )
        self.assertEqual(
            [Outcome.superseded, Outcome.succeeded], fakes.released
        )
        self.assertEqual([], driver.apply(_make_answer(1)))

    def test_first_answer_counts(self) -> None:
        fakes = FakeCollaborators()
        driver, effects = _start_request(fakes)
        _fire_hedge_timer(driver, effects)
        ended = driver.apply(_make_answer(1))
        self.assertEqual(
            [
                fx.CancelAttempt(REQUEST_ID, AttemptId(2)),
                fx.ForwardAnswer(REQUEST_ID, AttemptId(1)),
            ],
            ended,
        )
        self.assertEqual([Outcome.cancelled, Outcome.succeeded], fakes.released)

    @parameterized.expand(
        [
            ('first fails', _make_failure(1), 2),
            ('first is faulty', _make_answer(1, 500), 2),
            ('second fails', _make_failure(2), 1),
            ('second is faulty', _make_answer(2, 500), 1),
        ]
    )
    def test_one_attempt_is_left(
        self, _: str, event: ev.Event, left: int
    ) -> None:
        driver, effects = _start_request(FakeCollaborators())
        _fire_hedge_timer(driver, effects)
        ended = driver.apply(event)
        self.assertFalse(
            [one for one in ended if not isinstance(one, fx.CancelAttempt)]
        )
        answered = driver.apply(_make_answer(left))
        self.assertEqual(
            [fx.ForwardAnswer(REQUEST_ID, AttemptId(left))], answered
        )

    def test_both_fail(self) -> None:
        driver, effects = _start_request(FakeCollaborators())
        _fire_hedge_timer(driver, effects)
        self.assertEqual([], driver.apply(_make_failure(2)))
        (refused,) = driver.apply(_make_failure(1))
        self.assertIs(Executed.unknown, refused.refusal.ran)
        self.assertEqual(0, driver.coordinator.in_progress)

    @parameterized.expand(
        [
            ('second sent', _make_failure(2), Executed.unknown),
            ('second faulty', _make_answer(2, 500), Executed.unknown),
            ('second not run', _make_answer(2, 503, not_run=True), Executed.no),
        ]
    )
    def test_not_run_is_true(
        self, _: str, event: ev.Event, executed: Executed
    ) -> None:
        """Guards against a refusal with "not run" after the hedged attempt may
        have run the request and the primary one was rejected.
        """
        fakes = FakeCollaborators()
        driver, effects = _start_request(fakes)
        _fire_hedge_timer(driver, effects)
        driver.apply(event)
        fakes.retries = 0
        (_, refused) = driver.apply(_make_answer(1, 503, not_run=True))
        self.assertIs(executed, refused.refusal.ran)

    def test_caller_leaves(self) -> None:
        """Guards against attempts that continue after the caller left."""
        fakes = FakeCollaborators()
        driver, effects = _start_request(fakes)
        _fire_hedge_timer(driver, effects)
        ended = driver.apply(ev.CallerConnectionClosed(2, REQUEST_ID))
        self.assertEqual(
            {AttemptId(1), AttemptId(2)}, {one.attempt_id for one in ended}
        )
        self.assertEqual([Outcome.cancelled] * 2, fakes.released)

    def test_slots_have_ids_of_their_own(self) -> None:
        """Guards against a hedge slot id that replaces the primary slot."""
        fakes = FakeCollaborators()
        request_ids: list[RequestId] = []
        admit = fakes.admit

        def record(request: object, at: float) -> object:
            request_ids.append(request.request_id)
            return admit(request, at)

        fakes.admit = record
        driver, effects = _start_request(fakes)
        _fire_hedge_timer(driver, effects)
        self.assertEqual(2, len(set(request_ids)))
