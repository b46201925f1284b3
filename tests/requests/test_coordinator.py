"""Tests of the request state machine."""

from __future__ import annotations

import math
from collections import deque

import attrs
import testtools
from parameterized import parameterized

from cranberryseam.core import effects as fx
from cranberryseam.core import events as ev
from cranberryseam.core.notices import (
    KeysWithdrawn,
    Notice,
    SlotAssigned,
    SlotDenied,
)
from cranberryseam.core.refusals import Executed, RefusalReason
from cranberryseam.requests.attempt_builders import ANSWER_END_GRACE_S
from cranberryseam.routing.model import AttemptOutcome
from cranberryseam.types import AttemptId, RequestId, TargetId

from .fakes import FakeCollaborators, build_coordinator, build_head

REQUEST_ID = RequestId(1)
FAILURE = ev.AttemptFailure
# Effects without influence on callers and targets.
_OBSERVABILITY_EFFECTS = (fx.IncrementCounter, fx.ObserveLatency, fx.WriteLog)


class _Driver:
    """Feeds notices back into the coordinator, as the node does."""

    def __init__(self, fakes: FakeCollaborators) -> None:
        self.coordinator = build_coordinator(fakes)

    def apply(self, event: ev.Event | Notice) -> list[fx.Effect]:
        inputs: deque[ev.Event | Notice] = deque((event,))
        effects: list[fx.Effect] = []
        while inputs:
            for output in self.coordinator.handle(inputs.popleft()):
                if isinstance(output, Notice):
                    inputs.append(output)
                else:
                    effects.append(output)
        return [
            effect
            for effect in effects
            if not isinstance(effect, _OBSERVABILITY_EFFECTS)
        ]


def _make_arrival(head: ev.RequestHead) -> ev.RequestArrived:
    return ev.RequestArrived(1, REQUEST_ID, head)


def _make_failure(
    attempt: int, failure: ev.AttemptFailure, sent: bool
) -> ev.AttemptFailed:
    return ev.AttemptFailed(2, REQUEST_ID, AttemptId(attempt), failure, sent)


def _make_answer(
    attempt: int, status: int, *, complete: bool = True, not_run: bool = False
) -> ev.AnswerReady:
    return ev.AnswerReady(
        2, REQUEST_ID, AttemptId(attempt), status, complete, not_run
    )


class AdmissionTest(testtools.TestCase):
    """Guards against running requests that must not be admitted."""

    @parameterized.expand(
        [
            ('no_key', {'key_hashes': ()}, RefusalReason.key_missing),
            ('two', {'key_hashes': (b'a', b'b')}, RefusalReason.key_ambiguous),
            ('bad', {'key_hashes': (b'a',)}, RefusalReason.key_unknown),
            ('route', {'path': '/none'}, RefusalReason.route_unknown),
            ('plan', {'path': '/other', 'method': 'GET'},
             RefusalReason.route_not_in_plan),
            ('late', {'timeout_s': 0}, RefusalReason.deadline_too_short),
            ('open', {'path': '/open', 'method': 'POST', 'key_hashes': ()},
             RefusalReason.key_missing),
        ]
    )  # fmt: skip
    def test_refused(
        self, _name: str, change: dict[str, object], reason: RefusalReason
    ) -> None:
        head = attrs.evolve(build_head(), **change)
        effects = _Driver(FakeCollaborators()).apply(_make_arrival(head))
        self.assertEqual(len(effects), 1)
        self.assertEqual(effects[0].refusal.reason, reason)
        self.assertIs(effects[0].refusal.ran, Executed.no)

    def test_copy_that_is_not_claimed_is_told_unknown(self) -> None:
        """A duplicate may have run, so "not run" could be wrong."""
        for change in ({'key_hashes': (b'a',)}, {'path': '/none'}):
            head = attrs.evolve(build_head(key='k'), **change)
            effects = _Driver(FakeCollaborators()).apply(_make_arrival(head))
            self.assertIs(effects[0].refusal.ran, Executed.unknown)

    @parameterized.expand(
        [
            (
                'owner_lost',
                RefusalReason.claim_owner_unreachable,
                Executed.unknown,
            ),
            ('full', RefusalReason.claim_table_full, Executed.no),
            ('reused', RefusalReason.idempotency_key_reused, Executed.no),
        ]
    )
    def test_refused_claim(
        self, _name: str, reason: RefusalReason, executed: Executed
    ) -> None:
        fakes = FakeCollaborators(claim_refusal=reason)
        effects = _Driver(fakes).apply(_make_arrival(build_head(key='k')))
        self.assertIs(effects[0].refusal.ran, executed)

    def test_claimed_order_that_never_started_is_not_run(self) -> None:
        fakes = FakeCollaborators(withhold_slots=True)
        driver = _Driver(fakes)
        driver.apply(_make_arrival(build_head(key='k')))
        denied = SlotDenied(2, REQUEST_ID, RefusalReason.queue_timeout)
        effects = driver.apply(denied)
        self.assertIs(effects[0].refusal.ran, Executed.no)
        self.assertEqual(fakes.completed, [(REQUEST_ID, Executed.no)])

    def test_public_route_needs_no_key(self) -> None:
        head = attrs.evolve(build_head('GET', '/open'), key_hashes=())
        effects = _Driver(FakeCollaborators()).apply(_make_arrival(head))
        self.assertIsInstance(effects[0], fx.StartAttempt)


class AttemptTest(testtools.TestCase):
    """Guards against running a non-idempotent request twice."""

    @parameterized.expand(
        [
            ('post_sent', 'POST', FAILURE.no_answer, True, Executed.unknown),
            ('post_timeout', 'POST', FAILURE.timed_out, True, Executed.unknown),
            ('post_unsent', 'POST', FAILURE.not_connected, False, None),
            ('post_stale', 'POST', FAILURE.not_sent, False, None),
            ('get_sent', 'GET', FAILURE.no_answer, True, None),
        ]
    )
    def test_failed_attempt(
        self,
        _name: str,
        method: str,
        failure: ev.AttemptFailure,
        sent: bool,
        executed: Executed | None,
    ) -> None:
        driver = _Driver(FakeCollaborators())
        driver.apply(_make_arrival(build_head(method)))
        effect = driver.apply(_make_failure(1, failure, sent))[0]
        if executed is None:
            self.assertEqual(effect.target, 't1')
        else:
            self.assertEqual(effect.refusal.ran, executed)
            self.assertEqual(
                effect.refusal.reason, RefusalReason.outcome_unknown
            )

    @parameterized.expand(
        [
            ('post_500', 'POST', 500, False, fx.ForwardAnswer),
            ('post_503', 'POST', 503, False, fx.ForwardAnswer),
            ('post_not_run', 'POST', 503, True, fx.CancelAttempt),
            ('get_500', 'GET', 500, False, fx.CancelAttempt),
            ('get_404', 'GET', 404, False, fx.ForwardAnswer),
            ('post_200', 'POST', 200, False, fx.ForwardAnswer),
        ]
    )
    def test_answer(
        self,
        _name: str,
        method: str,
        status: int,
        not_run: bool,
        kind: type[fx.Effect],
    ) -> None:
        driver = _Driver(FakeCollaborators())
        driver.apply(_make_arrival(build_head(method)))
        effects = driver.apply(_make_answer(1, status, not_run=not_run))
        self.assertIsInstance(effects[0], kind)
        retried = any(isinstance(each, fx.StartAttempt) for each in effects)
        self.assertEqual(retried, kind is fx.CancelAttempt)

    @parameterized.expand([(408,), (429,), (503,)])
    def test_unconfirmed_refusal(self, status: int) -> None:
        """Guards against telling "not run" for a request that may have run."""
        driver = _Driver(FakeCollaborators())
        driver.apply(_make_arrival(build_head('POST')))
        answer = attrs.evolve(
            _make_answer(1, status), is_unconfirmed_refusal=True
        )
        effects = driver.apply(answer)
        self.assertIsInstance(effects[0], fx.CancelAttempt)
        (refused,) = [
            effect for effect in effects if isinstance(effect, fx.RefuseRequest)
        ]
        self.assertEqual(
            (RefusalReason.outcome_unknown, Executed.unknown),
            (refused.refusal.reason, refused.refusal.ran),
        )

    def test_unconfirmed_refusal_of_a_read(self) -> None:
        """Guards against refusing what the caller may repeat anyway."""
        driver = _Driver(FakeCollaborators())
        driver.apply(_make_arrival(build_head('GET')))
        answer = attrs.evolve(_make_answer(1, 408), is_unconfirmed_refusal=True)
        effects = driver.apply(answer)
        self.assertIsInstance(effects[0], fx.ForwardAnswer)

    def test_shed_attempts_keep_target_and_limit(self) -> None:
        """A request that was shed repeatedly must still get a free slot."""
        driver = _Driver(FakeCollaborators())
        driver.apply(_make_arrival(build_head()))
        for attempt in range(1, 6):
            effects = driver.apply(_make_answer(attempt, 503, not_run=True))
            self.assertEqual(effects[1].target, 't0')

    def test_failed_attempts_have_a_limit(self) -> None:
        driver = _Driver(FakeCollaborators())
        driver.apply(_make_arrival(build_head()))
        for attempt in (1, 2):
            driver.apply(_make_failure(attempt, FAILURE.not_connected, False))
        effect = driver.apply(_make_failure(3, FAILURE.not_connected, False))[0]
        self.assertIsInstance(effect, fx.RefuseRequest)

    def test_retries_end_with_the_budget(self) -> None:
        driver = _Driver(FakeCollaborators(retries=0))
        driver.apply(_make_arrival(build_head()))
        effect = driver.apply(_make_failure(1, FAILURE.not_connected, False))[0]
        self.assertIs(effect.refusal.ran, Executed.no)

    def test_late_attempt_is_ignored(self) -> None:
        """The answer of a cancelled attempt must not be forwarded."""
        driver = _Driver(FakeCollaborators())
        driver.apply(_make_arrival(build_head('GET')))
        driver.apply(_make_answer(1, 500))
        self.assertEqual(driver.apply(_make_answer(1, 200)), [])
        self.assertIsInstance(
            driver.apply(_make_answer(2, 200))[0], fx.ForwardAnswer
        )

    @parameterized.expand(
        [('/brief', 2 + ANSWER_END_GRACE_S), ('/open', math.inf)]
    )
    def test_end_of_the_whole_answer(
        self, path: str, answer_timeout_s: float
    ) -> None:
        """Guards against an answer that continues past the maximum wait.

        On a route without a maximum wait an answer may be a stream.
        """
        driver = _Driver(FakeCollaborators())
        (started,) = (
            effect
            for effect in driver.apply(_make_arrival(build_head('GET', path)))
            if isinstance(effect, fx.StartAttempt)
        )
        self.assertEqual(started.answer_timeout_s, answer_timeout_s)

    def test_broken_stream_is_not_whole(self) -> None:
        fakes = FakeCollaborators()
        driver = _Driver(fakes)
        driver.apply(_make_arrival(build_head(key='k')))
        driver.apply(_make_answer(1, 200, complete=False))
        driver.apply(
            ev.AnswerEnded(3, REQUEST_ID, AttemptId(1), complete=False)
        )
        self.assertEqual(fakes.completed, [(REQUEST_ID, Executed.unknown)])
        self.assertEqual(fakes.released, [AttemptOutcome.failed])
        self.assertEqual(driver.coordinator.in_progress, 0)


class CancellationTest(testtools.TestCase):
    """Guards against work for disconnected callers and withdrawn keys."""

    @parameterized.expand([('claimed', 'k'), ('plain', None)])
    def test_caller_left_while_running(
        self, _name: str, key: str | None
    ) -> None:
        fakes = FakeCollaborators()
        driver = _Driver(fakes)
        driver.apply(_make_arrival(build_head(key=key)))
        effects = driver.apply(ev.CallerConnectionClosed(2, REQUEST_ID))
        self.assertEqual(bool(effects), key is None)
        driver.apply(_make_answer(1, 200))
        if key:
            self.assertEqual(fakes.completed, [(REQUEST_ID, Executed.yes)])
        self.assertEqual(driver.coordinator.in_progress, 0)

    def test_caller_left_while_waiting(self) -> None:
        fakes = FakeCollaborators(withhold_slots=True)
        driver = _Driver(fakes)
        driver.apply(_make_arrival(build_head(key='k')))
        driver.apply(ev.CallerConnectionClosed(2, REQUEST_ID))
        self.assertEqual(fakes.cancelled, [REQUEST_ID])
        self.assertEqual(fakes.completed, [(REQUEST_ID, Executed.no)])

    @parameterized.expand(
        [
            ('first', (), Executed.no),
            ('after_failure', (FAILURE.not_sent,), Executed.no),
            ('after_lost_answer', (FAILURE.no_answer,), Executed.unknown),
        ]
    )
    def test_key_expired_while_waiting(
        self,
        _: str,
        failures: tuple[ev.AttemptFailure, ...],
        executed: Executed,
    ) -> None:
        """Guards against an attempt under a key that is no longer accepted.

        A VM that was paused for some seconds used the check of the key from
        before the pause for the requests that waited for a target.
        """
        fakes = FakeCollaborators(withhold_slots=not failures)
        driver = _Driver(fakes)
        driver.apply(_make_arrival(build_head('GET')))
        fakes.withhold_slots = True
        for failure in failures:
            sent = failure is FAILURE.no_answer
            driver.apply(_make_failure(1, failure, sent))
        fakes.withdrawn = True
        assigned = SlotAssigned(6, REQUEST_ID, TargetId('t9'), '127.0.0.1', 1)
        effects = driver.apply(assigned)
        self.assertIsInstance(effects[-1], fx.RefuseRequest)
        self.assertIs(effects[-1].refusal.reason, RefusalReason.key_withdrawn)
        self.assertIs(effects[-1].refusal.ran, executed)
        self.assertEqual([REQUEST_ID], fakes.cancelled)
        self.assertEqual(driver.coordinator.in_progress, 0)

    @parameterized.expand(
        [
            ('waiting', 'POST', True, None, fx.RefuseRequest, Executed.no),
            ('get', 'GET', False, None, fx.RefuseRequest, Executed.unknown),
            ('post', 'POST', False, None, None, None),
            ('stream', 'GET', False, 200, fx.CutRequest, Executed.unknown),
        ]
    )
    def test_withdrawn_key(
        self,
        _name: str,
        method: str,
        waits: bool,
        status: int | None,
        kind: type[fx.Effect] | None,
        executed: Executed | None,
    ) -> None:
        fakes = FakeCollaborators(withhold_slots=waits)
        driver = _Driver(fakes)
        driver.apply(_make_arrival(build_head(method)))
        if status:
            driver.apply(_make_answer(1, status, complete=False))
        fakes.withdrawn = True
        effects = driver.apply(KeysWithdrawn(3, ()))
        if kind is None:
            self.assertEqual(effects, [])
        else:
            self.assertIsInstance(effects[-1], kind)
            self.assertIs(effects[-1].refusal.ran, executed)
