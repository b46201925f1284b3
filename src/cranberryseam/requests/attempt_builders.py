"""Construction of attempts, slot requests and start effects."""

from __future__ import annotations

import math
from typing import Final

from ..core import effects as fx
from ..core import notices as nt
from ..routing.model import AdmitRequest
from ..types import AttemptId, RequestId
from .route_sizes import RouteSizes
from .state import ActiveAttempt, RequestState

# Time after the deadline for an answer in transfer to complete. Callers that
# use the longest wait of the route treat an answer as late after another 0.5 s.
ANSWER_END_GRACE_S: Final = 0.2


class AttemptIds:
    """Allocates ids of attempts, and of slots for hedged attempts."""

    def __init__(self) -> None:
        """Start each sequence before its first id."""
        self._last_attempt = 0
        self._last_slot = 0

    def create_attempt(self, assigned: nt.SlotAssigned) -> ActiveAttempt:
        """Return a new attempt that uses an assigned slot."""
        self._last_attempt += 1
        return ActiveAttempt(
            AttemptId(self._last_attempt),
            assigned.target,
            assigned.request_id,
            assigned.at,
            assigned.distance,
        )

    def next_slot_id(self) -> RequestId:
        """Return a negative slot id; ids of requests are positive."""
        self._last_slot -= 1
        return RequestId(self._last_slot)


def build_slot_request(
    state: RequestState,
    slot_id: RequestId,
    attempt_number: int,
    sizes: RouteSizes,
) -> AdmitRequest:
    """Return the slot request for an attempt.

    Parameters
    ----------
    slot_id
        Identifies the slot to the router.
    attempt_number
        1 for the first attempt of the request.
    sizes
        Sizes of the bodies on the routes.

    """
    return AdmitRequest(
        request_id=slot_id,
        service=state.service,
        account=state.account,
        weight=state.weight,
        lane=state.route.lane,
        deadline_at=state.deadline_at,
        retriable=state.retriable,
        excluded=state.excluded,
        attempt=attempt_number,
        rank=state.rank,
        objective_s=state.route.objective_s,
        limited_by_stop=state.limited_by_stop,
        body_bytes=sizes.expect(state.route.name),
    )


def build_start(
    state: RequestState,
    attempt: ActiveAttempt,
    assigned: nt.SlotAssigned,
    max_idle_s: float,
) -> fx.StartAttempt:
    """Return the effect that sends the request to its target.

    Parameters
    ----------
    max_idle_s
        Maximum idle time of a reused connection, in seconds.

    """
    left_s = state.deadline_at - assigned.at
    # On a route without a maximum wait, an answer may be an unbounded stream.
    bounded = state.route.most_wait_s > 0
    return fx.StartAttempt(
        request_id=state.request_id,
        attempt_id=attempt.attempt_id,
        target=attempt.target,
        host=assigned.host,
        port=assigned.port,
        timeout_s=left_s,
        keep_answer=state.claimed,
        account='' if state.key_hash is None else state.account,
        max_idle_s=max_idle_s,
        answer_timeout_s=left_s + ANSWER_END_GRACE_S if bounded else math.inf,
    )


__all__ = (
    'ANSWER_END_GRACE_S',
    'AttemptIds',
    'build_slot_request',
    'build_start',
)
