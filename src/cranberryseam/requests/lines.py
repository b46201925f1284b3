"""Log lines about requests: what was decided, and from which inputs."""

from __future__ import annotations

import logging
from typing import Final

from ..core.effects import WriteLog
from ..core.events import RequestArrived
from ..core.refusals import Refusal
from .state import Flight, RequestState

_MS: Final = 1000
_DIGITS: Final = 1


def describe_refusal(
    state: RequestState, refusal: Refusal, at: float
) -> WriteLog:
    """Return the line for a request that gets no answer of a target."""
    return _write(
        'request refused',
        state,
        at,
        reason=refusal.reason.value,
        ran=refusal.ran.value,
        retry_after_s=refusal.retry_after_s,
        stage=state.stage.value,
        attempts=state.attempt,
    )


def describe_early_refusal(event: RequestArrived, refusal: Refusal) -> WriteLog:
    """Return the line for a request that was refused on its arrival."""
    head = event.head
    fields = {
        'request': head.caller_id or event.request_id,
        'method': head.method,
        'host': head.host,
        'path': head.path,
        'reason': refusal.reason.value,
        'ran': refusal.ran.value,
        'retry_after_s': refusal.retry_after_s,
        'stage': 'arrival',
    }
    return WriteLog(logging.INFO, 'request refused', fields)


def describe_attempt(
    state: RequestState,
    flight: Flight,
    outcome: str,
    at: float,
    **details: object,
) -> WriteLog:
    """Return the line for an attempt that has brought its result."""
    return _write(
        'attempt ended',
        state,
        at,
        target=flight.target,
        attempt=state.attempt,
        outcome=outcome,
        took_ms=round((at - flight.started_at) * _MS, _DIGITS),
        **details,
    )


def describe_hedge(state: RequestState, hedge: Flight, at: float) -> WriteLog:
    """Return the line for a second attempt beside one that is late."""
    return _write(
        'second attempt started',
        state,
        at,
        target=hedge.target,
        attempt=state.attempt,
        late_target=state.target,
    )


def _write(
    message: str, state: RequestState, at: float, **details: object
) -> WriteLog:
    fields = {
        'request': state.head.caller_id or state.request_id,
        'route': state.route.name,
        'service': state.service,
        'account': state.account,
        'age_ms': round((at - state.arrived_at) * _MS, _DIGITS),
        'left_ms': round((state.deadline_at - at) * _MS, _DIGITS),
        **details,
    }
    return WriteLog(logging.INFO, message, fields)


__all__ = (
    'describe_attempt',
    'describe_early_refusal',
    'describe_refusal',
    'describe_hedge',
)
