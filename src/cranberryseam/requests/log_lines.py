"""Log lines about requests: decisions and the inputs they are based on."""

from __future__ import annotations

import logging
from typing import Final

from ..core.effects import WriteLog
from ..core.events import RequestArrived
from ..core.refusals import Refusal
from .state import ActiveAttempt, RequestState

_MS_PER_S: Final = 1000
_MS_DECIMALS: Final = 1


def describe_refusal(
    state: RequestState, refusal: Refusal, at: float
) -> WriteLog:
    """Return the log line of a refused request."""
    return _build_line(
        'request refused',
        state,
        at,
        reason=refusal.reason.value,
        ran=refusal.ran.value,
        retry_after_s=refusal.retry_after_s,
        stage=state.stage.value,
        attempts=state.attempt_count,
    )


def describe_early_refusal(event: RequestArrived, refusal: Refusal) -> WriteLog:
    """Return the log line of a request refused on arrival."""
    head = event.head
    fields = {
        'request': head.caller_request_id or event.request_id,
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
    attempt: ActiveAttempt,
    outcome: str,
    at: float,
    **details: object,
) -> WriteLog:
    """Return the log line of a completed attempt."""
    return _build_line(
        'attempt ended',
        state,
        at,
        target=attempt.target,
        attempt=state.attempt_count,
        outcome=outcome,
        took_ms=round((at - attempt.started_at) * _MS_PER_S, _MS_DECIMALS),
        **details,
    )


def describe_hedge(
    state: RequestState, hedge: ActiveAttempt, at: float
) -> WriteLog:
    """Return the log line of a started hedged attempt."""
    return _build_line(
        'second attempt started',
        state,
        at,
        target=hedge.target,
        attempt=state.attempt_count,
        late_target=state.target,
    )


def _build_line(
    message: str, state: RequestState, at: float, **details: object
) -> WriteLog:
    fields = {
        'request': state.head.caller_request_id or state.request_id,
        'route': state.route.name,
        'service': state.service,
        'account': state.account,
        'token': state.token_source.value if state.token_source else None,
        'age_ms': round((at - state.arrived_at) * _MS_PER_S, _MS_DECIMALS),
        'left_ms': round((state.deadline_at - at) * _MS_PER_S, _MS_DECIMALS),
        **details,
    }
    return WriteLog(logging.INFO, message, fields)


__all__ = (
    'describe_attempt',
    'describe_early_refusal',
    'describe_refusal',
    'describe_hedge',
)
