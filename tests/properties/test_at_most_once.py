"""Random event sequences against the promises on repeated work."""

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

FIRST = RequestId(1)
STEPS = st.lists(
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


class _World:
    """One request with the naive view of what its target executed."""

    def __init__(self, head: ev.RequestHead, retries: int) -> None:
        self.parts = FakeCollaborators(retries=retries)
        self.coordinator = build_coordinator(self.parts)
        self.attempts: list[int] = []
        self.executions = 0
        self.final: list[fx.Effect] = []
        self.apply(ev.RequestArrived(1, FIRST, head))

    def apply(self, event: ev.Event | Notice) -> None:
        inputs: deque[ev.Event | Notice] = deque((event,))
        while inputs:
            for output in self.coordinator.handle(inputs.popleft()):
                if isinstance(output, Notice):
                    inputs.append(output)
                else:
                    self._note(output)

    def step(self, kind: str, first: object, second: object) -> None:
        attempt = AttemptId(self.attempts[-1])
        match kind:
            case 'fail':
                self.executions += bool(second)
                self.apply(ev.AttemptFailed(2, FIRST, attempt, first, second))
            case 'answer':
                refused = bool(second) and first in {429, 503}
                self.executions += not refused
                self.apply(
                    ev.AnswerReady(2, FIRST, attempt, first, False, refused)
                )
            case 'end':
                self.apply(ev.AnswerEnded(2, FIRST, attempt, bool(first)))
            case 'leave':
                self.apply(ev.CallerConnectionClosed(2, FIRST))
            case _:
                self.parts.withdrawn = True
                self.apply(KeysWithdrawn(2, ()))

    def _note(self, effect: fx.Effect) -> None:
        if isinstance(effect, fx.StartAttempt):
            self.attempts.append(effect.attempt_id)
        final = (fx.RefuseRequest, fx.ForwardAnswer, fx.ReplayAnswer)
        if isinstance(effect, final):
            self.final.append(effect)


class AtMostOnceTest(testtools.TestCase):
    """Guards against repeated work and untrue refusals."""

    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(
        method=st.sampled_from(['GET', 'POST']),
        key=st.sampled_from([None, 'k']),
        retries=st.integers(0, 3),
        steps=STEPS,
    )
    def test_promises(
        self,
        method: str,
        key: str | None,
        retries: int,
        steps: list[tuple[str, object, object]],
    ) -> None:
        world = _World(build_head(method, key=key), retries)
        for kind, first, second in steps:
            if not world.coordinator.in_progress:
                break
            started = len(world.attempts)
            world.step(kind, first, second)
            if method == 'POST' and len(world.attempts) > started:
                self.assertEqual(world.executions, 0)
        self._check_end(world)

    def _check_end(self, world: _World) -> None:
        self.assertLessEqual(len(world.final), 1)
        for effect in world.final:
            if isinstance(effect, fx.RefuseRequest):
                refused_truly = effect.refusal.ran is not Executed.no
                self.assertTrue(refused_truly or not world.executions)
        claims = [ran for _request, ran in world.parts.completed]
        self.assertLessEqual(len(claims), 1)
        if world.executions:
            self.assertNotIn(Executed.no, claims)
