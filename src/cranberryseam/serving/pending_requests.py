"""Requests of callers that are in progress."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING, TypeAlias

import attrs
import httpx

from ..core.effects import RefuseRequest, ReplayAnswer, StartAttempt
from ..types import AttemptId, RequestId
from .asgi import HeaderList, Send
from .bodies import RequestBody, StreamedBody
from .connection_pool import TargetRequest
from .dialect import Dialect
from .framing import CheckedHead
from .headers import CHUNKED, CONTENT_LENGTH, TRANSFER_ENCODING

if TYPE_CHECKING:
    from .attempts import Attempt

_MS_PER_S = 1000


class RequestEnd(Enum):
    """How a request ended, other than by a refusal or a stored answer.

    Its response was forwarded completely (``answered``) or wasn't (``broken``),
    or the caller disconnected before that (``left``).
    """

    answered = 'answered'
    broken = 'broken'
    left = 'left'


Outcome: TypeAlias = RequestEnd | RefuseRequest | ReplayAnswer


@attrs.define(eq=False)
class PendingRequest:
    """A request from its arrival to the end of its last attempt.

    Parameters
    ----------
    forwarding_headers
        Headers that describe the caller and this proxy to the target.
    add_proxy_headers
        Adds the headers of this proxy to those of a response.
    outcome
        Resolved once, when it is known how the request ends.

    """

    request_id: RequestId
    head: CheckedHead
    forwarding_headers: HeaderList
    body: RequestBody
    send: Send
    add_proxy_headers: Callable[[HeaderList], HeaderList]
    outcome: asyncio.Future[Outcome]
    attempts: dict[AttemptId, Attempt] = attrs.field(factory=dict)
    responding: bool = False

    def resolve(self, outcome: Outcome) -> None:
        """Set the outcome unless it is already set."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)

    def can_send_body(self) -> bool:
        """Return whether the complete body can still be sent."""
        return not self.body.consumed

    def build_target_request(
        self, effect: StartAttempt, dialect: Dialect
    ) -> TargetRequest:
        """Return the request in the form that is sent to a target.

        Parameters
        ----------
        dialect
            Header names that the target uses.

        """
        head = self.head
        remaining_ms = b'%d' % max(1, int(effect.timeout_s * _MS_PER_S))
        headers = [
            *head.headers,
            *self.forwarding_headers,
            (dialect.deadline_header, remaining_ms),
        ]
        if dialect.attempt_id_header:
            headers.append((dialect.attempt_id_header, name_attempt(effect)))
        if dialect.expected_target_header:
            target_id = effect.target.encode()
            headers.append((dialect.expected_target_header, target_id))
        if dialect.account_header and effect.account:
            headers.append((dialect.account_header, effect.account.encode()))
        body: httpx.AsyncByteStream
        if self.body.complete:
            content = self.body.join()
            if head.chunked or head.content_length is not None:
                headers.append((CONTENT_LENGTH, b'%d' % len(content)))
            body = httpx.ByteStream(content)
        else:
            headers.append(_build_framing_header(head))
            body = StreamedBody(self.body)
        host = head.host if dialect.preserve_host else b''
        # ``head.target`` is the path and query, not the id of a target.
        return TargetRequest(head.method, head.target.raw, headers, body, host)


def name_attempt(effect: StartAttempt) -> bytes:
    """Return the identifier of an attempt, unique in this process."""
    return b'%d-%d' % (effect.request_id, effect.attempt_id)


def _build_framing_header(head: CheckedHead) -> tuple[bytes, bytes]:
    if head.content_length is None:
        return (TRANSFER_ENCODING, CHUNKED)
    return (CONTENT_LENGTH, b'%d' % head.content_length)


__all__ = ('Outcome', 'PendingRequest', 'RequestEnd', 'name_attempt')
