"""The ways in which a request ends, with what is given back at each."""

from __future__ import annotations

import attrs

from ..core import effects as fx
from ..core.events import StoredAnswer
from ..core.refusals import Ran, Refusal, RefusalReason
from ..routing.model import AttemptOutcome
from ..types import AttemptId, Output, RequestId
from .collaborators import Collaborators
from .lines import describe_refusal
from .state import Flight, RequestState, Stage

_Outputs = list[Output]


@attrs.define
class Endings:
    """The requests in progress and how each of them ends.

    Parameters
    ----------
    collaborators
        The parts that tokens, claims and slots are given back to.

    """

    collaborators: Collaborators
    states: dict[RequestId, RequestState] = attrs.field(factory=dict)

    def find(self, request_id: RequestId, stage: Stage) -> RequestState | None:
        """Return a request if it waits in the stage."""
        state = self.states.get(request_id)
        return state if state and state.stage is stage else None

    def find_attempt(
        self, request_id: RequestId, attempt_id: AttemptId, stage: Stage
    ) -> RequestState | None:
        """Return a request if the attempt is its current one, in the stage.

        The stage matters: a failure that is reported after the answer went
        out must neither retry nor refuse.
        """
        state = self.find(request_id, stage)
        flight = state.flight if state else None
        if flight is None or flight.attempt_id != attempt_id:
            return None
        return state

    def refuse(
        self, state: RequestState, refusal: Refusal, at: float
    ) -> _Outputs:
        """End a request that holds neither token, slot nor attempt."""
        self.states.pop(state.request_id)
        told = doubt_refusal(refusal, is_unclaimed_copy(state))
        claim = self.complete_claim(state, refusal.ran, at)
        line = describe_refusal(state, told, at)
        age_s = at - state.arrived_at
        return [
            *claim,
            line,
            fx.ObserveLatency('requests.refused', age_s),
            *render_refusal(state.request_id, told),
        ]

    def abandon(self, state: RequestState, at: float) -> _Outputs:
        """End a request in any stage without telling the caller."""
        self.states.pop(state.request_id)
        started = state.stage in {Stage.answer, Stage.forwarding}
        ran = Ran.unknown if started or state.may_have_run else Ran.no
        outputs = self.complete_claim(state, ran, at)
        if started:
            outputs += self.cancel_flights(state, AttemptOutcome.cancelled, at)
        return [*outputs, *self._stop_waiting(state, at)]

    def cut(self, state: RequestState, refusal: Refusal, at: float) -> _Outputs:
        """End a request in any stage and tell the caller why."""
        ran = refusal.ran
        if state.may_have_run or state.stage is Stage.answer:
            ran = Ran.unknown
        told = doubt_refusal(
            Refusal(refusal.reason, ran, refusal.retry_after_s),
            is_unclaimed_copy(state),
        )
        abandoned = self.abandon(state, at)
        if state.stage is Stage.forwarding:
            return [
                *abandoned,
                fx.CutRequest(state.request_id, told),
                count_refusal(told.reason),
            ]
        line = describe_refusal(state, told, at)
        return [*abandoned, line, *render_refusal(state.request_id, told)]

    def release(
        self, state: RequestState, outcome: AttemptOutcome, at: float
    ) -> _Outputs:
        """Give the slot of the deciding attempt back, once."""
        return self.release_flight(state.flight, outcome, at)

    def release_flight(
        self, flight: Flight | None, outcome: AttemptOutcome, at: float
    ) -> _Outputs:
        """Give the slot of an attempt back, once."""
        if flight is None or flight.released:
            return []
        flight.released = True
        latency_s = at - flight.started_at
        router = self.collaborators.router
        return [
            fx.ObserveLatency(f'attempts.{outcome.value}', latency_s),
            *router.release(flight.slot_id, outcome, at, latency_s=latency_s),
        ]

    def cancel_flights(
        self, state: RequestState, outcome: AttemptOutcome, at: float
    ) -> _Outputs:
        """End all attempts of a request that are under way."""
        outputs: _Outputs = []
        for flight in (state.flight, state.hedge):
            if flight is not None:
                outputs += self.release_flight(flight, outcome, at)
                outputs.append(cancel_flight(state, flight))
        state.hedge = None
        return outputs

    def complete_claim(
        self,
        state: RequestState,
        ran: Ran,
        at: float,
        answer: StoredAnswer | None = None,
    ) -> _Outputs:
        """Report the outcome of claimed work, once."""
        if not state.claimed:
            return []
        state.claimed = False
        claims = self.collaborators.claims
        return list(claims.complete(state.request_id, answer, ran, at))

    def _stop_waiting(self, state: RequestState, at: float) -> _Outputs:
        request_id = state.request_id
        others = self.collaborators
        match state.stage:
            case Stage.token:
                return list(others.limiter.cancel(request_id, at))
            case Stage.claim:
                # A grant that is on its way must not stay open.
                return list(
                    others.claims.complete(request_id, None, Ran.no, at)
                )
            case Stage.slot:
                return list(others.router.cancel(request_id, at))
        return []


def cancel_flight(state: RequestState, flight: Flight) -> fx.CancelAttempt:
    """Return the effect that ends an attempt."""
    return fx.CancelAttempt(state.request_id, flight.attempt_id)


def is_unclaimed_copy(state: RequestState) -> bool:
    """Return whether another copy of the request may have run.

    Until the claim is granted, this VM doesn't know what became of other
    requests with the same idempotency key.
    """
    if state.retriable or state.head.idempotency_key is None:
        return False
    return not state.claimed and not state.first_copy


def doubt_refusal(refusal: Refusal, doubtful: bool) -> Refusal:
    """Return a refusal that doesn't say more than is known.

    "Not run" speaks of the order, not of one copy of it: a caller who reads
    it would order again under a new key.
    """
    if doubtful and refusal.ran is Ran.no:
        return attrs.evolve(refusal, ran=Ran.unknown)
    return refusal


def render_refusal(request_id: RequestId, refusal: Refusal) -> _Outputs:
    """Return the refusal of a request with its counter."""
    return [
        fx.RefuseRequest(request_id, refusal),
        count_refusal(refusal.reason),
    ]


def count_refusal(reason: RefusalReason) -> fx.IncrementCounter:
    """Return the counter of a refusal reason."""
    return fx.IncrementCounter(f'refusals.{reason.value}')


__all__ = (
    'Endings',
    'cancel_flight',
    'count_refusal',
    'doubt_refusal',
    'is_unclaimed_copy',
    'render_refusal',
)
