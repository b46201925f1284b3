"""Requests in progress, and the release of their resources at the end."""

from __future__ import annotations

import attrs

from ..core import effects as fx
from ..core.events import StoredAnswer
from ..core.refusals import Executed, Refusal, RefusalReason
from ..routing.model import AttemptOutcome
from ..types import AttemptId, Output, RequestId
from .collaborators import Collaborators
from .log_lines import describe_refusal
from .route_sizes import RouteSizes
from .state import ActiveAttempt, RequestState, Stage

_Outputs = list[Output]


@attrs.define
class ActiveRequests:
    """The requests in progress.

    Ends requests and releases their tokens, claims and slots.

    Parameters
    ----------
    collaborators
        The components to which tokens, claims and slots are returned.
    sizes
        Sizes of the bodies on the routes.

    """

    collaborators: Collaborators
    states: dict[RequestId, RequestState] = attrs.field(factory=dict)
    sizes: RouteSizes = attrs.field(factory=RouteSizes)

    def find(self, request_id: RequestId, stage: Stage) -> RequestState | None:
        """Return a request if it is in the stage."""
        state = self.states.get(request_id)
        return state if state and state.stage is stage else None

    def find_attempt(
        self, request_id: RequestId, attempt_id: AttemptId, stage: Stage
    ) -> RequestState | None:
        """Return a request if it is in the stage with this primary attempt.

        The stage is checked because a failure reported after the answer was
        sent must cause neither a retry nor a refusal.
        """
        state = self.find(request_id, stage)
        primary = state.primary if state else None
        if primary is None or primary.attempt_id != attempt_id:
            return None
        return state

    def find_key_refusal(
        self, state: RequestState, at: float
    ) -> Refusal | None:
        """Return why the key of a request is not accepted now, if so."""
        if state.key_hash is None:
            return None
        checked = self.collaborators.keys.check(state.key_hash, at)
        return checked.error if checked.is_error() else None

    def refuse(
        self, state: RequestState, refusal: Refusal, at: float
    ) -> _Outputs:
        """Refuse a request that holds no token, slot or attempt."""
        self.states.pop(state.request_id)
        reported = qualify_refusal(refusal, has_unclaimed_duplicate(state))
        claim = self.complete_claim(state, refusal.ran, at)
        line = describe_refusal(state, reported, at)
        age_s = at - state.arrived_at
        return [
            *claim,
            line,
            fx.ObserveLatency('requests.refused', age_s),
            *render_refusal(state.request_id, reported),
        ]

    def abandon(self, state: RequestState, at: float) -> _Outputs:
        """End a request in any stage without an answer to the caller."""
        self.states.pop(state.request_id)
        started = state.stage in {Stage.answer, Stage.forwarding}
        executed = (
            Executed.unknown if started or state.may_have_run else Executed.no
        )
        outputs = self.complete_claim(state, executed, at)
        if started:
            outputs += self.cancel_attempts(state, AttemptOutcome.cancelled, at)
        return [*outputs, *self._stop_waiting(state, at)]

    def abort(
        self, state: RequestState, refusal: Refusal, at: float
    ) -> _Outputs:
        """End a request in any stage and send the refusal to the caller."""
        executed = refusal.ran
        if state.may_have_run or state.stage is Stage.answer:
            executed = Executed.unknown
        reported = qualify_refusal(
            Refusal(refusal.reason, executed, refusal.retry_after_s),
            has_unclaimed_duplicate(state),
        )
        abandoned = self.abandon(state, at)
        if state.stage is Stage.forwarding:
            return [
                *abandoned,
                fx.CutRequest(state.request_id, reported),
                count_refusal(reported.reason),
            ]
        line = describe_refusal(state, reported, at)
        return [*abandoned, line, *render_refusal(state.request_id, reported)]

    def release(
        self, state: RequestState, outcome: AttemptOutcome, at: float
    ) -> _Outputs:
        """Release the slot of the primary attempt, at most once."""
        return self.release_attempt(state.primary, outcome, at)

    def release_attempt(
        self, attempt: ActiveAttempt | None, outcome: AttemptOutcome, at: float
    ) -> _Outputs:
        """Release the slot of an attempt, at most once."""
        if attempt is None or attempt.released:
            return []
        attempt.released = True
        latency_s = at - attempt.started_at
        router = self.collaborators.router
        return [
            fx.ObserveLatency(f'attempts.{outcome.value}', latency_s),
            *router.release(attempt.slot_id, outcome, at, latency_s=latency_s),
        ]

    def cancel_attempts(
        self, state: RequestState, outcome: AttemptOutcome, at: float
    ) -> _Outputs:
        """Cancel all active attempts of a request."""
        outputs: _Outputs = []
        for attempt in (state.primary, state.hedge):
            if attempt is not None:
                outputs += self.release_attempt(attempt, outcome, at)
                outputs.append(build_cancel(state, attempt))
        state.hedge = None
        return outputs

    def complete_claim(
        self,
        state: RequestState,
        executed: Executed,
        at: float,
        answer: StoredAnswer | None = None,
    ) -> _Outputs:
        """Report the outcome of a claimed request, at most once."""
        if not state.claimed:
            return []
        state.claimed = False
        claims = self.collaborators.claims
        return list(claims.complete(state.request_id, answer, executed, at))

    def _stop_waiting(self, state: RequestState, at: float) -> _Outputs:
        request_id = state.request_id
        collaborators = self.collaborators
        match state.stage:
            case Stage.token:
                return list(collaborators.limiter.cancel(request_id, at))
            case Stage.claim:
                # Releases a claim whose grant has not arrived yet.
                return list(
                    collaborators.claims.complete(
                        request_id, None, Executed.no, at
                    )
                )
            case Stage.slot:
                return list(collaborators.router.cancel(request_id, at))
        return []


def build_cancel(
    state: RequestState, attempt: ActiveAttempt
) -> fx.CancelAttempt:
    """Return the effect that cancels an attempt."""
    return fx.CancelAttempt(state.request_id, attempt.attempt_id)


def has_unclaimed_duplicate(state: RequestState) -> bool:
    """Return whether another copy of the request may have run.

    Until the claim is granted, this VM does not know the outcome of other
    requests with the same idempotency key.
    """
    if state.retriable or state.head.idempotency_key is None:
        return False
    return not state.claimed and not state.confirmed_unique


def qualify_refusal(refusal: Refusal, may_have_duplicate: bool) -> Refusal:
    """Report the outcome as unknown if another copy may have run.

    "Not run" applies to all requests with the same idempotency key. A caller
    that receives it may send the request under a new key, and if another copy
    did run, the work is done twice.
    """
    if may_have_duplicate and refusal.ran is Executed.no:
        return attrs.evolve(refusal, ran=Executed.unknown)
    return refusal


def render_refusal(request_id: RequestId, refusal: Refusal) -> _Outputs:
    """Return the effects that refuse a request and count the refusal."""
    return [
        fx.RefuseRequest(request_id, refusal),
        count_refusal(refusal.reason),
    ]


def count_refusal(reason: RefusalReason) -> fx.IncrementCounter:
    """Return the counter of a refusal reason."""
    return fx.IncrementCounter(f'refusals.{reason.value}')


__all__ = (
    'ActiveRequests',
    'build_cancel',
    'count_refusal',
    'qualify_refusal',
    'has_unclaimed_duplicate',
    'render_refusal',
)
