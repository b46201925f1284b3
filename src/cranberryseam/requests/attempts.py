"""Attempts of a request: slot assignment, sending, answer and retry."""

from __future__ import annotations

from typing import Final

import attrs

from ..core import effects as fx
from ..core import events as ev
from ..core import notices as nt
from ..core.refusals import Executed, Refusal, RefusalReason
from ..routing.model import AttemptOutcome
from ..types import Output
from .active_requests import ActiveRequests, build_cancel, count_refusal
from .attempt_builders import AttemptIds, build_slot_request, build_start
from .hedging import Hedging
from .log_lines import describe_attempt
from .outcomes import (
    build_failure_refusal,
    classify_answer,
    classify_failure,
    may_succeed_elsewhere,
)
from .state import RequestState, Stage

# Includes the first attempt. Attempts rejected by an overloaded target do not
# count.
MAX_ATTEMPTS: Final = 3
# Per request. Each failed connection takes up to 0.4 s, and more of them
# indicate that this VM is partitioned from the targets.
MAX_UNDELIVERED_ATTEMPTS: Final = 4
# An overloaded target has a few requests queued, each of which takes a few
# tenths of a second.
OVERLOADED_RETRY_S: Final = 0.4

_Outputs = list[Output]


class AttemptHandler:
    """Sends requests to targets and handles their answers and failures.

    A request is retried only if its method is retriable on its route, or if
    the attempt is known not to have run: no byte was written, or the target
    reported that it did not run the request.

    Parameters
    ----------
    requests
        The requests in progress.
    component
        Name of the component that receives the timer events.

    """

    def __init__(self, requests: ActiveRequests, component: str) -> None:
        """Create a handler without attempts."""
        self._requests = requests
        self._router = requests.collaborators.router
        self._ids = AttemptIds()
        self._hedging = Hedging(requests, self._ids, component)

    def request_slot(self, state: RequestState, at: float) -> _Outputs:
        """Request a slot for the next attempt."""
        state.stage = Stage.slot
        state.attempt_count += 1
        slot_request = build_slot_request(
            state,
            state.request_id,
            state.attempt_count,
            self._requests.sizes,
        )
        return list(self._router.admit(slot_request, at))

    def start(self, notice: nt.SlotAssigned) -> _Outputs:
        """Send the request to the target that assigned it a slot."""
        state = self._requests.find(notice.request_id, Stage.slot)
        if state is None:
            return list(self._router.cancel(notice.request_id, notice.at))
        left_s = state.deadline_at - notice.at
        if left_s <= 0:
            refusal = Refusal(RefusalReason.queue_timeout, _get_executed(state))
            return self._refuse_start(state, refusal, notice.at)
        # The key may have been withdrawn while the request waited, or this VM
        # may have been paused since it checked the key.
        key_refusal = self._requests.find_key_refusal(state, notice.at)
        if key_refusal is not None:
            refusal = attrs.evolve(key_refusal, ran=_get_executed(state))
            return self._refuse_start(state, refusal, notice.at)
        state.stage = Stage.answer
        primary = self._ids.create_attempt(notice)
        state.primary = primary
        return [
            build_start(
                state,
                primary,
                notice,
                self._router.max_idle_s(state.service, notice.at),
            ),
            *self._hedging.schedule(state, notice.at),
        ]

    def handle_timer(self, name: str, at: float) -> _Outputs:
        """Start a hedged attempt when its timer fires."""
        return self._hedging.handle_timer(name, at)

    def handle_failure(self, event: ev.AttemptFailed) -> _Outputs:
        """Retry or refuse the request after an attempt without an answer."""
        state = self._requests.find_attempt(
            event.request_id, event.attempt_id, Stage.answer
        )
        primary = state.primary if state else None
        if state is None or primary is None:
            return self._hedging.handle_failure(event)
        state.may_have_run = state.may_have_run or event.sent
        outcome = classify_failure(event.failure)
        released = self._requests.release(state, outcome, event.at)
        failure = event.failure.value
        released.append(
            describe_attempt(state, primary, failure, event.at, sent=event.sent)
        )
        if self._hedging.promote_hedge(state):
            return released
        retry_is_safe = state.retriable or not event.sent
        if retry_is_safe and self._acquire_retry(state, outcome, event.at):
            return [*released, *self._retry(state, outcome, event.at)]
        refusal = build_failure_refusal(state, event.failure)
        return [*released, *self._requests.refuse(state, refusal, event.at)]

    def handle_answer(self, event: ev.AnswerReady) -> _Outputs:
        """Forward an answer, or retry if another target may succeed."""
        return [*self._record_statement(event), *self._choose_next(event)]

    def handle_answer_end(self, event: ev.AnswerEnded) -> _Outputs:
        """Complete a request whose answer was forwarded."""
        state = self._requests.find_attempt(
            event.request_id, event.attempt_id, Stage.forwarding
        )
        if state is None:
            return []
        self._requests.states.pop(state.request_id)
        if event.complete:
            return [
                *self._requests.release(state, state.outcome, event.at),
                *self._requests.complete_claim(state, Executed.yes, event.at),
            ]
        return [
            *self._requests.release(state, AttemptOutcome.failed, event.at),
            *self._requests.complete_claim(state, Executed.unknown, event.at),
            count_refusal(RefusalReason.answer_incomplete),
        ]

    def _refuse_start(
        self, state: RequestState, refusal: Refusal, at: float
    ) -> _Outputs:
        return [
            *self._router.cancel(state.request_id, at),
            *self._requests.refuse(state, refusal, at),
        ]

    def _record_statement(self, event: ev.AnswerReady) -> _Outputs:
        state = self._requests.find(event.request_id, Stage.answer)
        if state is None:
            return []
        outputs: _Outputs = []
        for attempt in (state.primary, state.hedge):
            if attempt is not None and attempt.attempt_id == event.attempt_id:
                outputs += self._router.record_statement(
                    state.service, attempt.target, event.statement, event.at
                )
        return outputs

    def _choose_next(self, event: ev.AnswerReady) -> _Outputs:
        state = self._requests.find_attempt(
            event.request_id, event.attempt_id, Stage.answer
        )
        hedged: _Outputs = []
        if state is None:
            hedged = self._hedging.handle_answer(event)
            state = self._requests.find_attempt(
                event.request_id, event.attempt_id, Stage.answer
            )
        primary = state.primary if state else None
        if state is None or primary is None:
            return hedged
        outcome = classify_answer(event)
        transferred = state.head.body_bytes + event.body_bytes
        self._requests.sizes.record(state.route.name, transferred)
        line = describe_attempt(
            state,
            primary,
            outcome.value,
            event.at,
            status=event.status,
            not_run=event.not_run,
        )
        distance = primary.distance.name
        traffic = fx.IncrementCounter(f'bodies.bytes.{distance}', transferred)
        return [
            *hedged,
            line,
            traffic,
            *self._process_answer(state, event, outcome),
        ]

    def _process_answer(
        self,
        state: RequestState,
        event: ev.AnswerReady,
        outcome: AttemptOutcome,
    ) -> _Outputs:
        state.may_have_run = state.may_have_run or not event.not_run
        retry_may_succeed = may_succeed_elsewhere(outcome)
        if retry_may_succeed and state.hedge is not None:
            return self._switch_to_hedge(state, outcome, event.at)
        hedged = self._hedging.cancel_hedge(state, event.at)
        return [*hedged, *self._retry_or_forward(state, event, outcome)]

    def _switch_to_hedge(
        self, state: RequestState, outcome: AttemptOutcome, at: float
    ) -> _Outputs:
        """Drop the primary attempt after its answer; keep the hedge."""
        primary = state.primary
        if primary is None:
            return []
        outputs = [
            build_cancel(state, primary),
            *self._requests.release_attempt(primary, outcome, at),
        ]
        self._hedging.promote_hedge(state)
        return outputs

    def _retry_or_forward(
        self,
        state: RequestState,
        event: ev.AnswerReady,
        outcome: AttemptOutcome,
    ) -> _Outputs:
        retry_may_succeed = may_succeed_elsewhere(outcome)
        retry_is_safe = retry_may_succeed and (state.retriable or event.not_run)
        if retry_is_safe and self._acquire_retry(state, outcome, event.at):
            return [
                fx.CancelAttempt(state.request_id, event.attempt_id),
                *self._requests.release(state, outcome, event.at),
                *self._retry(state, outcome, event.at),
            ]
        if event.not_run:
            return self._refuse_overloaded(state, event)
        if event.is_unconfirmed_refusal and not state.retriable:
            return self._refuse_unconfirmed(state, event, outcome)
        return self._forward(state, event, outcome)

    def _refuse_unconfirmed(
        self,
        state: RequestState,
        event: ev.AnswerReady,
        outcome: AttemptOutcome,
    ) -> _Outputs:
        """Tell the caller that the request may have run.

        The status of the target would let it send the request again.
        """
        refusal = Refusal(RefusalReason.outcome_unknown, Executed.unknown)
        return [
            fx.CancelAttempt(state.request_id, event.attempt_id),
            *self._requests.release(state, outcome, event.at),
            *self._requests.refuse(state, refusal, event.at),
        ]

    def _refuse_overloaded(
        self, state: RequestState, event: ev.AnswerReady
    ) -> _Outputs:
        wait_s = event.retry_after_s
        if wait_s is None:
            wait_s = OVERLOADED_RETRY_S
        refusal = Refusal(
            RefusalReason.target_overloaded, _get_executed(state), wait_s
        )
        return [
            fx.CancelAttempt(state.request_id, event.attempt_id),
            *self._requests.release(state, AttemptOutcome.shed, event.at),
            *self._requests.refuse(state, refusal, event.at),
        ]

    def _forward(
        self,
        state: RequestState,
        event: ev.AnswerReady,
        outcome: AttemptOutcome,
    ) -> _Outputs:
        outputs: _Outputs = []
        if event.complete or state.caller_left:
            outputs += self._requests.release(state, outcome, event.at)
            outputs += self._requests.complete_claim(
                state, Executed.yes, event.at, event.answer
            )
        if state.caller_left:
            self._requests.states.pop(state.request_id)
            outputs.append(fx.CancelAttempt(state.request_id, event.attempt_id))
            return outputs
        state.stage = Stage.forwarding
        state.outcome = outcome
        return [
            *outputs,
            fx.ForwardAnswer(state.request_id, event.attempt_id),
            fx.IncrementCounter(f'answers.{outcome.value}'),
            fx.ObserveLatency('requests.answered', event.at - state.arrived_at),
        ]

    def _acquire_retry(
        self, state: RequestState, outcome: AttemptOutcome, at: float
    ) -> bool:
        if state.caller_left or at >= state.deadline_at:
            return False
        # A target that shed the request did no work. The request keeps its turn
        # and waits, so the attempt does not count toward the limit.
        shed = outcome is AttemptOutcome.shed
        route_limit = state.route.most_attempts
        undelivered = outcome is AttemptOutcome.not_connected
        if route_limit and undelivered and not state.may_have_run:
            # The limit of the route counts targets that received the
            # request, and no target has received it.
            state.undelivered_attempts += 1
            return state.undelivered_attempts <= MAX_UNDELIVERED_ATTEMPTS
        max_attempts = route_limit or MAX_ATTEMPTS
        if state.counted_retries >= max_attempts - 1 and not shed:
            return False
        return self._router.acquire_retry(
            state.service, state.account, at, outcome
        )

    def _retry(
        self, state: RequestState, outcome: AttemptOutcome, at: float
    ) -> _Outputs:
        if outcome is not AttemptOutcome.shed:
            if state.may_have_run or not state.undelivered_attempts:
                state.counted_retries += 1
            if state.target is not None:
                state.excluded |= {state.target}
        counter = fx.IncrementCounter(f'retries.{outcome.value}')
        return [counter, *self.request_slot(state, at)]


def _get_executed(state: RequestState) -> Executed:
    return Executed.unknown if state.may_have_run else Executed.no


__all__ = ('MAX_ATTEMPTS', 'AttemptHandler')
