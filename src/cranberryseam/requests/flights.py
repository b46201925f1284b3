"""Attempts from the slot to the effect that starts them."""

from __future__ import annotations

import math
from typing import Final

from ..core import effects as fx
from ..core import notices as nt
from ..routing.model import AdmitRequest
from ..types import AttemptId, RequestId
from .state import Flight, RequestState

# An answer that is on its way at the deadline gets this long to end. Callers
# that wait no longer than the route allows count half a second as late.
ENDING_S: Final = 0.2


class FlightNumbers:
    """Numbers of the attempts of this VM, and of the slots of second ones."""

    def __init__(self) -> None:
        """Start at the first attempt."""
        self._last_attempt = 0
        self._last_slot = 0

    def open_flight(self, assigned: nt.SlotAssigned) -> Flight:
        """Return the attempt that uses a slot."""
        self._last_attempt += 1
        return Flight(
            AttemptId(self._last_attempt),
            assigned.target,
            assigned.request_id,
            assigned.at,
        )

    def take_slot_id(self) -> RequestId:
        """Return an id for a second slot; those of requests are positive."""
        self._last_slot -= 1
        return RequestId(self._last_slot)


def build_admit(
    state: RequestState, slot_id: RequestId, attempt: int
) -> AdmitRequest:
    """Return what the router needs to choose a target.

    Parameters
    ----------
    slot_id
        Under which the router knows the slot.
    attempt
        1 for the first attempt of the request.

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
        attempt=attempt,
        rank=state.rank,
        objective_s=state.route.objective_s,
    )


def build_start(
    state: RequestState,
    flight: Flight,
    assigned: nt.SlotAssigned,
    most_idle_s: float,
) -> fx.StartAttempt:
    """Return the effect that sends the request to its target.

    Parameters
    ----------
    most_idle_s
        Seconds for which its connection may have been idle.

    """
    left_s = state.deadline_at - assigned.at
    # Without a longest wait, an answer may be a stream of any duration.
    bounded = state.route.most_wait_s > 0
    return fx.StartAttempt(
        request_id=state.request_id,
        attempt_id=flight.attempt_id,
        target=flight.target,
        host=assigned.host,
        port=assigned.port,
        timeout_s=left_s,
        keep_answer=state.claimed,
        account='' if state.key_hash is None else state.account,
        most_idle_s=most_idle_s,
        ends_within_s=left_s + ENDING_S if bounded else math.inf,
    )


__all__ = ('ENDING_S', 'FlightNumbers', 'build_admit', 'build_start')
