"""Second attempts of requests that may run more than once.

A target that hangs, or whose answers get lost, shows itself only by silence.
When about half of the time in which an answer is of full use is over, another
target is asked as well, and the first good answer counts.
"""

from __future__ import annotations

from typing import Final

from ..core import effects as fx
from ..core import events as ev
from ..routing.model import AttemptOutcome
from ..types import Output, RequestId
from .endings import Endings, cancel_flight
from .flights import FlightNumbers, build_admit, build_start
from .lines import describe_attempt, describe_hedge
from .outcomes import classify_answer, classify_failure, is_faulty
from .state import Flight, RequestState, Stage

_PREFIX: Final = 'hedge'

_Outputs = list[Output]


def build_timer_name(request_id: RequestId, flight: Flight) -> str:
    """Return the name of the timer of a request's second attempt."""
    return f'{_PREFIX}:{request_id}:{flight.attempt_id}'


class Hedging:
    """Starts second attempts and follows them until one attempt is left.

    Parameters
    ----------
    endings
        The requests in progress.
    numbers
        Numbers of attempts.
    part
        Name of the part that gets the timers.

    """

    def __init__(
        self, endings: Endings, numbers: FlightNumbers, part: str
    ) -> None:
        """Start without second attempts."""
        self._endings = endings
        self._router = endings.collaborators.router
        self._numbers = numbers
        self._part = part

    def arm(self, state: RequestState, at: float) -> _Outputs:
        """Set the timer of the second attempt if the request may have one."""
        objective_s = state.route.objective_s
        if not (objective_s and self._may_hedge(state)):
            return []
        delay_s = self._router.hedge_delay_s(state.service, at, objective_s)
        flight = state.flight
        if delay_s is None or flight is None:
            return []
        if at + delay_s >= state.deadline_at:
            return []
        name = build_timer_name(state.request_id, flight)
        return [fx.SetTimer(self._part, name, at + delay_s)]

    def fire(self, name: str, at: float) -> _Outputs:
        """Start the second attempt if the first is still without an answer."""
        _, request_text, attempt_text = name.split(':')
        state = self._endings.find(RequestId(int(request_text)), Stage.answer)
        flight = state.flight if state else None
        if state is None or flight is None:
            return []
        same = flight.attempt_id == int(attempt_text)
        if not (same and self._may_hedge(state)):
            return []
        if not self._router.acquire_retry(state.service, state.account, at):
            return [fx.IncrementCounter('hedges.no_budget')]
        return self._start(state, flight, at)

    def fail(self, event: ev.AttemptFailed) -> _Outputs:
        """Go on with the first attempt alone after the second failed."""
        state = self._find(event.request_id, event.attempt_id)
        if state is None or state.hedge is None:
            return []
        hedge = state.hedge
        state.hedge = None
        state.may_have_run = state.may_have_run or event.sent
        outcome = classify_failure(event.failure)
        line = describe_attempt(
            state, hedge, event.failure.value, event.at, sent=event.sent
        )
        return [line, *self._endings.release_flight(hedge, outcome, event.at)]

    def take_answer(self, event: ev.AnswerReady) -> _Outputs:
        """Let a good answer of the second attempt decide; drop any other.

        Returns
        -------
        The outputs; afterwards the second attempt either decides on the
        request or is over.

        """
        state = self._find(event.request_id, event.attempt_id)
        if state is None or state.hedge is None:
            return []
        if is_faulty(classify_answer(event)):
            return self._drop_hedge(state, event)
        first = state.flight
        if first is None:
            return []
        self.promote(state)
        return [
            fx.IncrementCounter('hedges.won'),
            cancel_flight(state, first),
            *self._endings.release_flight(
                first, AttemptOutcome.superseded, event.at
            ),
        ]

    def end_hedge(self, state: RequestState, at: float) -> _Outputs:
        """Cancel the second attempt because the first has an answer."""
        hedge = state.hedge
        if hedge is None:
            return []
        state.hedge = None
        return [
            cancel_flight(state, hedge),
            *self._endings.release_flight(hedge, AttemptOutcome.cancelled, at),
        ]

    def promote(self, state: RequestState) -> bool:
        """Let the second attempt decide after the first has failed."""
        if state.hedge is None:
            return False
        state.flight = state.hedge
        state.hedge = None
        return True

    def _start(self, state: RequestState, first: Flight, at: float) -> _Outputs:
        state.excluded |= {first.target}
        slot_id = self._numbers.take_slot_id()
        admit = build_admit(state, slot_id, state.attempt + 1)
        assigned = self._router.assign_now(admit, at)
        if assigned is None:
            return [fx.IncrementCounter('hedges.no_slot')]
        state.attempt += 1
        state.failures += 1
        hedge = self._numbers.open_flight(assigned)
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
        most = state.route.most_attempts
        return (
            state.retriable
            and state.hedge is None
            and not state.caller_left
            and state.failures < most - 1
        )

    def _find(
        self, request_id: RequestId, attempt_id: int
    ) -> RequestState | None:
        state = self._endings.find(request_id, Stage.answer)
        hedge = state.hedge if state else None
        if hedge is None or hedge.attempt_id != attempt_id:
            return None
        return state

    def _drop_hedge(
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
            cancel_flight(state, hedge),
            *self._endings.release_flight(hedge, outcome, event.at),
        ]


__all__ = ('Hedging', 'build_timer_name')
