"""Property tests of at-most-once execution with random event sequences."""

from __future__ import annotations

from collections import deque

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cranberryseam.core import effects as fx
from cranberryseam.core import events as ev
from cranberryseam.core.notices import KeysWithdrawn, Notice
from cranberryseam.core.refusals import Executed
from cranberryseam.types import AttemptId, RequestId
from tests.requests.fakes import (
    FakeCollaborators,
    build_coordinator,
    build_head,
)

REQUEST_ID = RequestId(1)
EVENT_SEQUENCES = st.lists(
    st.one_of(
        st.tuples(
            st.just('fail'),
            st.sampled_from(list(ev.AttemptFailure)),
            st.booleans(),
        ),
        st.tuples(
            st.just('answer'),
            st.sampled_from([200, 404, 429, 500, 503]),
            st.booleans(),
        ),
        st.tuples(st.just('end'), st.booleans(), st.none()),
        st.tuples(st.just('leave'), st.none(), st.none()),
        st.tuples(st.just('withdraw'), st.none(), st.none()),
    ),
    max_size=8,
)


class _RequestModel:
    """A request and a reference count of its executions."""

    def __init__(self, head: ev.RequestHead, retries: int) -> None:
        self.collaborators = FakeCollaborators(retries=retries)
        self.coordinator = build_coordinator(self.collaborators)
        self.attempts: list[int] = []
        self.executions = 0
        self.final_effects: list[fx.Effect] = []
        self.apply(ev.RequestArrived(1, REQUEST_ID, head))

    def apply(self, event: ev.Event | Notice) -> None:
        inputs: deque[ev.Event | Notice] = deque((event,))
        while inputs:
            for output in self.coordinator.handle(inputs.popleft()):
                if isinstance(output, Notice):
                    inputs.append(output)
                else:
                    self._record_effect(output)

    def step(self, kind: str, first: object, second: object) -> None:
        attempt = AttemptId(self.attempts[-1])
        match kind:
            case 'fail':
                self.executions += bool(second)
                self.apply(
                    ev.AttemptFailed(2, REQUEST_ID, attempt, first, second)
                )
            case 'answer':
                refused = bool(second) and first in {429, 503}
                self.executions += not refused
                self.apply(
                    ev.AnswerReady(
                        2, REQUEST_ID, attempt, first, False, refused
                    )
                )
            case 'end':
                self.apply(ev.AnswerEnded(2, REQUEST_ID, attempt, bool(first)))
            case 'leave':
                self.apply(ev.CallerConnectionClosed(2, REQUEST_ID))
            case _:
                self.collaborators.withdrawn = True
                self.apply(KeysWithdrawn(2, ()))

    def _record_effect(self, effect: fx.Effect) -> None:
        if isinstance(effect, fx.StartAttempt):
            self.attempts.append(effect.attempt_id)
        final_types = (fx.RefuseRequest, fx.ForwardAnswer, fx.ReplayAnswer)
        if isinstance(effect, final_types):
            self.final_effects.append(effect)


class AtMostOnceTest(testtools.TestCase):
    """Guards against repeated executions and incorrect refusals."""

    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(
        method=st.sampled_from(['GET', 'POST']),
        key=st.sampled_from([None, 'k']),
        retries=st.integers(0, 3),
        steps=EVENT_SEQUENCES,
    )
    def test_promises(
        self,
        method: str,
        key: str | None,
        retries: int,
        steps: list[tuple[str, object, object]],
    ) -> None:
        model = _RequestModel(build_head(method, key=key), retries)
        for kind, first, second in steps:
            if not model.coordinator.in_progress:
                break
            started = len(model.attempts)
            model.step(kind, first, second)
            if method == 'POST' and len(model.attempts) > started:
                self.assertEqual(model.executions, 0)
        self._check_end(model)

    def _check_end(self, model: _RequestModel) -> None:
        self.assertLessEqual(len(model.final_effects), 1)
        for effect in model.final_effects:
            if isinstance(effect, fx.RefuseRequest):
                may_have_run = effect.refusal.ran is not Executed.no
                self.assertTrue(may_have_run or not model.executions)
        claims = [
            executed for _request, executed in model.collaborators.completed
        ]
        self.assertLessEqual(len(claims), 1)
        if model.executions:
            self.assertNotIn(Executed.no, claims)
