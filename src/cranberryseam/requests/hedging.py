"""Hedged attempts of retriable requests.

A target that hangs, or whose answers are lost, is detected only by a timeout.
After about half of the latency objective of the route, the request is sent to
a second target as well, and the first successful answer is forwarded.
"""

from __future__ import annotations

from typing import Final

from ..core import effects as fx
from ..core import events as ev
from ..routing.model import AttemptOutcome
from ..types import Output, RequestId
from .active_requests import ActiveRequests, build_cancel
from .attempt_builders import AttemptIds, build_slot_request, build_start
from .log_lines import describe_attempt, describe_hedge
from .outcomes import classify_answer, classify_failure, may_succeed_elsewhere
from .state import ActiveAttempt, RequestState, Stage

_TIMER_PREFIX: Final = 'hedge'

_Outputs = list[Output]


def build_timer_name(request_id: RequestId, attempt: ActiveAttempt) -> str:
    """Return the name of the timer that starts a hedged attempt."""
    return f'{_TIMER_PREFIX}:{request_id}:{attempt.attempt_id}'


class Hedging:
    """Starts hedged attempts and tracks them until one attempt is left.

    Parameters
    ----------
    requests
        The requests in progress.
    ids
        Allocates ids of attempts and slots.
    component
        Name of the component that receives the timer events.

    """

    def __init__(
        self, requests: ActiveRequests, ids: AttemptIds, component: str
    ) -> None:
        """Create a handler without hedged attempts."""
        self._requests = requests
        self._router = requests.collaborators.router
        self._ids = ids
        self._component = component

    def schedule(self, state: RequestState, at: float) -> _Outputs:
        """Set the timer of a hedged attempt if the request may have one."""
        objective_s = state.route.objective_s
        if not (objective_s and self._may_hedge(state)):
            return []
        delay_s = self._router.hedge_delay_s(state.service, at, objective_s)
        primary = state.primary
        if delay_s is None or primary is None:
            return []
        if at + delay_s >= state.deadline_at:
            return []
        name = build_timer_name(state.request_id, primary)
        return [fx.SetTimer(self._component, name, at + delay_s)]

    def handle_timer(self, name: str, at: float) -> _Outputs:
        """Start the hedged attempt if the primary has no answer yet."""
        _, request_text, attempt_text = name.split(':')
        state = self._requests.find(RequestId(int(request_text)), Stage.answer)
        primary = state.primary if state else None
        if state is None or primary is None:
            return []
        is_current = primary.attempt_id == int(attempt_text)
        if not (is_current and self._may_hedge(state)):
            return []
        if self._requests.find_key_refusal(state, at) is not None:
            return []
        if not self._router.acquire_retry(state.service, state.account, at):
            return [fx.IncrementCounter('hedges.no_budget')]
        return self._start(state, primary, at)

    def handle_failure(self, event: ev.AttemptFailed) -> _Outputs:
        """Continue with the primary attempt after the hedge failed."""
        state = self._find_hedged(event.request_id, event.attempt_id)
        if state is None or state.hedge is None:
            return []
        hedge = state.hedge
        state.hedge = None
        state.may_have_run = state.may_have_run or event.sent
        outcome = classify_failure(event.failure)
        line = describe_attempt(
            state, hedge, event.failure.value, event.at, sent=event.sent
        )
        return [line, *self._requests.release_attempt(hedge, outcome, event.at)]

    def handle_answer(self, event: ev.AnswerReady) -> _Outputs:
        """Promote the hedge after a successful answer; discard it otherwise.

        Returns
        -------
        The outputs; afterwards the hedged attempt is either the primary
        attempt or has ended.

        """
        state = self._find_hedged(event.request_id, event.attempt_id)
        if state is None or state.hedge is None:
            return []
        if may_succeed_elsewhere(classify_answer(event)):
            return self._discard_hedge(state, event)
        first = state.primary
        if first is None:
            return []
        self.promote_hedge(state)
        return [
            fx.IncrementCounter('hedges.won'),
            build_cancel(state, first),
            *self._requests.release_attempt(
                first, AttemptOutcome.superseded, event.at
            ),
        ]

    def cancel_hedge(self, state: RequestState, at: float) -> _Outputs:
        """Cancel the hedged attempt because the primary has an answer."""
        hedge = state.hedge
        if hedge is None:
            return []
        state.hedge = None
        return [
            build_cancel(state, hedge),
            *self._requests.release_attempt(
                hedge, AttemptOutcome.cancelled, at
            ),
        ]

    def promote_hedge(self, state: RequestState) -> bool:
        """Make the hedged attempt the primary one; return False if none."""
        if state.hedge is None:
            return False
        state.primary = state.hedge
        state.hedge = None
        return True

    def _start(
        self, state: RequestState, first: ActiveAttempt, at: float
    ) -> _Outputs:
        state.excluded |= {first.target}
        slot_id = self._ids.next_slot_id()
        slot_request = build_slot_request(
            state, slot_id, state.attempt_count + 1, self._requests.sizes
        )
        assigned = self._router.assign_now(slot_request, at)
        if assigned is None:
            return [fx.IncrementCounter('hedges.no_slot')]
        state.attempt_count += 1
        state.counted_retries += 1
        hedge = self._ids.create_attempt(assigned)
        state.hedge = hedge
        return [
            fx.IncrementCounter('hedges.started'),
            describe_hedge(state, hedge, at),
            build_start(
                state,
                hedge,
                assigned,
                self._router.max_idle_s(state.service, at),
            ),
        ]

    def _may_hedge(self, state: RequestState) -> bool:
        max_attempts = state.route.most_attempts
        return (
            state.retriable
            and state.hedge is None
            and not state.caller_left
            and state.counted_retries < max_attempts - 1
        )

    def _find_hedged(
        self, request_id: RequestId, attempt_id: int
    ) -> RequestState | None:
        state = self._requests.find(request_id, Stage.answer)
        hedge = state.hedge if state else None
        if hedge is None or hedge.attempt_id != attempt_id:
            return None
        return state

    def _discard_hedge(
        self, state: RequestState, event: ev.AnswerReady
    ) -> _Outputs:
        hedge = state.hedge
        if hedge is None:
            return []
        state.hedge = None
        state.may_have_run = state.may_have_run or not event.not_run
        outcome = classify_answer(event)
        return [
            describe_attempt(
                state, hedge, outcome.value, event.at, status=event.status
            ),
            build_cancel(state, hedge),
            *self._requests.release_attempt(hedge, outcome, event.at),
        ]


__all__ = ('Hedging', 'build_timer_name')
