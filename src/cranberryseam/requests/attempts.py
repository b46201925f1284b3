"""Attempts of a request: slot, sending, answer, retry."""

from __future__ import annotations

from typing import Final

from ..core import effects as fx
from ..core import events as ev
from ..core import notices as nt
from ..core.refusals import Ran, Refusal, RefusalReason
from ..routing.model import AttemptOutcome
from ..types import Output
from .endings import Endings, cancel_flight, count_refusal
from .flights import FlightNumbers, build_admit, build_start
from .hedging import Hedging
from .lines import describe_attempt
from .outcomes import (
    classify_answer,
    classify_failure,
    is_faulty,
    refuse_failed,
)
from .state import RequestState, Stage

# Attempts of one request, the first one included, without those that a
# target refused because it was overloaded.
MOST_ATTEMPTS: Final = 3
# Targets of one request to which no connection was made; each takes up to
# 0.4 s, and more of them mean that this VM is cut off.
MOST_UNREACHED: Final = 4
# A target that sheds has a few requests before it, each of which takes some
# tenths of a second.
OVERLOADED_RETRY_S: Final = 0.4

_Outputs = list[Output]


class Attempts:
    """Sends requests to targets and decides on what comes back.

    A request is sent again only if its method is retriable on its route, or if
    the attempt provably didn't run: no byte was written, or the target said
    so itself.

    Parameters
    ----------
    endings
        The requests in progress.
    part
        Name of the part that gets the timers.

    """

    def __init__(self, endings: Endings, part: str) -> None:
        """Start without attempts."""
        self._endings = endings
        self._router = endings.collaborators.router
        self._numbers = FlightNumbers()
        self._hedging = Hedging(endings, self._numbers, part)

    def queue_for_slot(self, state: RequestState, at: float) -> _Outputs:
        """Ask for a slot for the next attempt."""
        state.stage = Stage.slot
        state.attempt += 1
        admit = build_admit(state, state.request_id, state.attempt)
        return list(self._router.admit(admit, at))

    def start(self, notice: nt.SlotAssigned) -> _Outputs:
        """Send the request to the target it has a slot of."""
        state = self._endings.find(notice.request_id, Stage.slot)
        if state is None:
            return list(self._router.cancel(notice.request_id, notice.at))
        left_s = state.deadline_at - notice.at
        if left_s <= 0:
            refusal = Refusal(RefusalReason.queue_timeout, _ran(state))
            return [
                *self._router.cancel(state.request_id, notice.at),
                *self._endings.refuse(state, refusal, notice.at),
            ]
        state.stage = Stage.answer
        flight = self._numbers.open_flight(notice)
        state.flight = flight
        return [
            build_start(
                state,
                flight,
                notice,
                self._router.max_idle_s(state.service, notice.at),
            ),
            *self._hedging.arm(state, notice.at),
        ]

    def fire(self, name: str, at: float) -> _Outputs:
        """Start a second attempt whose timer has run out."""
        return self._hedging.fire(name, at)

    def fail(self, event: ev.AttemptFailed) -> _Outputs:
        """Retry or refuse after an attempt without an answer."""
        state = self._endings.find_attempt(
            event.request_id, event.attempt_id, Stage.answer
        )
        flight = state.flight if state else None
        if state is None or flight is None:
            return self._hedging.fail(event)
        state.may_have_run = state.may_have_run or event.sent
        outcome = classify_failure(event.failure)
        released = self._endings.release(state, outcome, event.at)
        failure = event.failure.value
        released.append(
            describe_attempt(state, flight, failure, event.at, sent=event.sent)
        )
        if self._hedging.promote(state):
            return released
        retry_is_safe = state.retriable or not event.sent
        if retry_is_safe and self._take_retry(state, outcome, event.at):
            return [*released, *self._retry(state, outcome, event.at)]
        refusal = refuse_failed(state, event.failure)
        return [*released, *self._endings.refuse(state, refusal, event.at)]

    def take_answer(self, event: ev.AnswerReady) -> _Outputs:
        """Forward an answer, or retry if another target may do better."""
        state = self._endings.find_attempt(
            event.request_id, event.attempt_id, Stage.answer
        )
        hedged: _Outputs = []
        if state is None:
            hedged = self._hedging.take_answer(event)
            state = self._endings.find_attempt(
                event.request_id, event.attempt_id, Stage.answer
            )
        flight = state.flight if state else None
        if state is None or flight is None:
            return hedged
        outcome = classify_answer(event)
        line = describe_attempt(
            state,
            flight,
            outcome.value,
            event.at,
            status=event.status,
            not_run=event.not_run,
        )
        return [*hedged, line, *self._decide(state, event, outcome)]

    def end_answer(self, event: ev.AnswerEnded) -> _Outputs:
        """End a request whose answer was forwarded."""
        state = self._endings.find_attempt(
            event.request_id, event.attempt_id, Stage.forwarding
        )
        if state is None:
            return []
        self._endings.states.pop(state.request_id)
        if event.whole:
            return [
                *self._endings.release(state, state.outcome, event.at),
                *self._endings.complete_claim(state, Ran.yes, event.at),
            ]
        return [
            *self._endings.release(state, AttemptOutcome.failed, event.at),
            *self._endings.complete_claim(state, Ran.unknown, event.at),
            count_refusal(RefusalReason.answer_incomplete),
        ]

    def _decide(
        self,
        state: RequestState,
        event: ev.AnswerReady,
        outcome: AttemptOutcome,
    ) -> _Outputs:
        state.may_have_run = state.may_have_run or not event.not_run
        faulty = is_faulty(outcome)
        if faulty and state.hedge is not None:
            return self._follow_hedge(state, outcome, event.at)
        hedged = self._hedging.end_hedge(state, event.at)
        return [*hedged, *self._settle(state, event, outcome)]

    def _follow_hedge(
        self, state: RequestState, outcome: AttemptOutcome, at: float
    ) -> _Outputs:
        """Wait for the second attempt after a faulty answer of the first."""
        flight = state.flight
        if flight is None:
            return []
        outputs = [
            cancel_flight(state, flight),
            *self._endings.release_flight(flight, outcome, at),
        ]
        self._hedging.promote(state)
        return outputs

    def _settle(
        self,
        state: RequestState,
        event: ev.AnswerReady,
        outcome: AttemptOutcome,
    ) -> _Outputs:
        faulty = is_faulty(outcome)
        retry_is_safe = faulty and (state.retriable or event.not_run)
        if retry_is_safe and self._take_retry(state, outcome, event.at):
            return [
                fx.CancelAttempt(state.request_id, event.attempt_id),
                *self._endings.release(state, outcome, event.at),
                *self._retry(state, outcome, event.at),
            ]
        if event.not_run:
            return self._refuse_overloaded(state, event)
        return self._forward(state, event, outcome)

    def _refuse_overloaded(
        self, state: RequestState, event: ev.AnswerReady
    ) -> _Outputs:
        wait_s = event.retry_after_s
        if wait_s is None:
            wait_s = OVERLOADED_RETRY_S
        refusal = Refusal(RefusalReason.target_overloaded, _ran(state), wait_s)
        return [
            fx.CancelAttempt(state.request_id, event.attempt_id),
            *self._endings.release(state, AttemptOutcome.shed, event.at),
            *self._endings.refuse(state, refusal, event.at),
        ]

    def _forward(
        self,
        state: RequestState,
        event: ev.AnswerReady,
        outcome: AttemptOutcome,
    ) -> _Outputs:
        outputs: _Outputs = []
        if event.complete or state.caller_left:
            outputs += self._endings.release(state, outcome, event.at)
            outputs += self._endings.complete_claim(
                state, Ran.yes, event.at, event.answer
            )
        if state.caller_left:
            self._endings.states.pop(state.request_id)
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

    def _take_retry(
        self, state: RequestState, outcome: AttemptOutcome, at: float
    ) -> bool:
        if state.caller_left or at >= state.deadline_at:
            return False
        # A target that sheds did no work; the request keeps its turn and
        # waits, so this is no attempt that the limit is meant for.
        shed = outcome is AttemptOutcome.shed
        limited = state.route.most_attempts
        unreached = outcome is AttemptOutcome.not_connected
        if limited and unreached and not state.may_have_run:
            # The route limits the targets that get the request: none did.
            state.unreached += 1
            return state.unreached <= MOST_UNREACHED
        most = limited or MOST_ATTEMPTS
        if state.failures >= most - 1 and not shed:
            return False
        return self._router.acquire_retry(
            state.service, state.account, at, outcome
        )

    def _retry(
        self, state: RequestState, outcome: AttemptOutcome, at: float
    ) -> _Outputs:
        if outcome is not AttemptOutcome.shed:
            if state.may_have_run or not state.unreached:
                state.failures += 1
            if state.target is not None:
                state.excluded |= {state.target}
        counter = fx.IncrementCounter(f'retries.{outcome.value}')
        return [counter, *self.queue_for_slot(state, at)]


def _ran(state: RequestState) -> Ran:
    return Ran.unknown if state.may_have_run else Ran.no


__all__ = ('MOST_ATTEMPTS', 'Attempts')
