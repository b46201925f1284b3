"""Refusals as RFC 9457 problem documents."""

from __future__ import annotations

import math
from http import HTTPStatus
from types import MappingProxyType

import attrs
import msgspec

from ..core.refusals import Refusal, RefusalReason
from .asgi import HeaderList, Send, send_response
from .dialect import DEFAULT_DIALECT, Dialect

# Not a registered status; other proxies use it if the client disconnected.
_CALLER_CLOSED = 499


@attrs.frozen
class ProblemType:
    """Status and title for a refusal reason."""

    status: int
    title: str


_Row = tuple[RefusalReason, int, str]
_ROWS: tuple[_Row, ...] = (
    (RefusalReason.malformed_request, 400, 'Malformed request'),
    (RefusalReason.body_too_large, 413, 'Body too large'),
    (RefusalReason.body_timeout, 408, 'Body not received in time'),
    (RefusalReason.key_missing, 401, 'Key missing'),
    (RefusalReason.key_ambiguous, 400, 'More than one key'),
    (RefusalReason.key_unknown, 401, 'Key unknown'),
    (RefusalReason.key_withdrawn, 401, 'Key withdrawn'),
    (RefusalReason.keys_stale, 503, 'Keys cannot be checked now'),
    (RefusalReason.account_unknown, 403, 'Account unknown'),
    (RefusalReason.route_unknown, 404, 'No such route'),
    (RefusalReason.route_not_in_plan, 403, 'Route not in plan'),
    (RefusalReason.deadline_too_short, 504, 'Deadline too short'),
    (RefusalReason.deadline_expired, 504, 'Deadline expired'),
    (RefusalReason.rate_exceeded, 429, 'Rate exceeded'),
    (RefusalReason.limit_owner_unreachable, 503, 'Rate cannot be checked'),
    (RefusalReason.idempotency_key_invalid, 400, 'Idempotency key invalid'),
    (RefusalReason.idempotency_key_reused, 422, 'Idempotency key reused'),
    (RefusalReason.claim_owner_unreachable, 503, 'Claim cannot be stored'),
    (RefusalReason.claim_table_full, 503, 'Too many idempotency keys'),
    (RefusalReason.duplicate_in_progress, 409, 'First request in progress'),
    (RefusalReason.duplicate_outcome_unknown, 409, 'First outcome unknown'),
    (RefusalReason.answer_not_kept, 409, 'First answer was not kept'),
    (RefusalReason.no_target, 503, 'No target available'),
    (RefusalReason.queue_full, 503, 'Queue full'),
    (RefusalReason.queue_timeout, 503, 'Queue timeout'),
    (RefusalReason.retry_budget_exhausted, 503, 'Retry budget exhausted'),
    (RefusalReason.target_unreachable, 502, 'Target unreachable'),
    (RefusalReason.target_overloaded, 503, 'Target overloaded'),
    (RefusalReason.outcome_unknown, 502, 'Outcome unknown'),
    (RefusalReason.answer_incomplete, 502, 'Answer incomplete'),
    (RefusalReason.caller_left, _CALLER_CLOSED, 'Caller left'),
    (RefusalReason.not_ready, 503, 'Not ready'),
    (RefusalReason.draining, 503, 'Draining'),
)
PROBLEM_TYPES = MappingProxyType(
    {reason: ProblemType(status, title) for reason, status, title in _ROWS}
)
PROBLEM_CONTENT_TYPE = (b'content-type', b'application/problem+json')
_CHALLENGE = (b'www-authenticate', b'Bearer')


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """Problem document of a refusal."""

    type: str
    title: str
    status: int
    ran: str
    detail: str = ''


async def send_refusal(
    send: Send,
    refusal: Refusal,
    *,
    detail: str = '',
    close_connection: bool = False,
    dialect: Dialect = DEFAULT_DIALECT,
) -> None:
    """Send a refusal to a caller.

    Parameters
    ----------
    close_connection
        True to announce that the connection will be closed.
    dialect
        May override statuses.

    """
    reason = refusal.reason
    problem_type = PROBLEM_TYPES[reason]
    status = dialect.find_status(refusal)
    if status is not None:
        problem_type = attrs.evolve(problem_type, status=status)
    problem = Problem(
        type=f'urn:cranberryseam:refusal:{reason.value}',
        title=problem_type.title,
        status=problem_type.status,
        ran=refusal.ran.value,
        detail=detail,
    )
    body = msgspec.json.encode(problem)
    headers = _build_headers(refusal, problem_type, len(body), dialect)
    if close_connection:
        headers.append((b'connection', b'close'))
    await send_response(send, problem_type.status, headers, body)


def _build_headers(
    refusal: Refusal, problem_type: ProblemType, length: int, dialect: Dialect
) -> HeaderList:
    headers = [PROBLEM_CONTENT_TYPE, (b'content-length', b'%d' % length)]
    if refusal.retry_after_s is not None:
        # Rounded up, because a retry that is too early is refused again.
        seconds = max(0, refusal.retry_after_s)
        value = b'%.2f' % seconds
        if not dialect.fractional_retry_after:
            value = b'%d' % math.ceil(seconds)
        headers.append((b'retry-after', value))
    if problem_type.status == HTTPStatus.UNAUTHORIZED:
        headers.append(_CHALLENGE)
    return headers


__all__ = (
    'PROBLEM_CONTENT_TYPE',
    'PROBLEM_TYPES',
    'Problem',
    'ProblemType',
    'send_refusal',
)
