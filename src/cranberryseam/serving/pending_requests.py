"""A caller's request while it is in progress."""

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
from .bodies import CallBody, StreamedBody
from .connection_pool import Outgoing
from .dialect import Dialect
from .framing import CallHead
from .headers import CHUNKED, CONTENT_LENGTH, TRANSFER_ENCODING

if TYPE_CHECKING:
    from .attempts import Attempt

_MS_PER_S = 1000


class Ending(Enum):
    """How a request ended without anything left to send."""

    answered = 'answered'
    broken = 'broken'
    left = 'left'


Outcome: TypeAlias = Ending | RefuseRequest | ReplayAnswer


@attrs.define(eq=False)
class Call:
    """A request from its arrival to its last effect.

    Parameters
    ----------
    forwarding
        Headers that tell the target where the request came from.
    finish_headers
        Adds this proxy's own headers to those of an answer.
    outcome
        Resolved once; the caller's connection is served by its waiter.

    """

    request_id: RequestId
    head: CallHead
    forwarding: HeaderList
    body: CallBody
    send: Send
    finish_headers: Callable[[HeaderList], HeaderList]
    outcome: asyncio.Future[Outcome]
    attempts: dict[AttemptId, Attempt] = attrs.field(factory=dict)
    answering: bool = False

    def end(self, outcome: Outcome) -> None:
        """Settle the outcome unless it is settled."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)

    def can_send(self) -> bool:
        """Return whether the body can still be sent as a whole."""
        return not self.body.taken

    def build_outgoing(
        self, effect: StartAttempt, dialect: Dialect
    ) -> Outgoing:
        """Return the request as the target gets it."""
        head = self.head
        deadline = b'%d' % max(1, int(effect.timeout_s * _MS_PER_S))
        headers = [
            *head.headers,
            *self.forwarding,
            (dialect.deadline_header, deadline),
        ]
        if dialect.expected_target_header:
            target = effect.target.encode()
            headers.append((dialect.expected_target_header, target))
        if dialect.account_header and effect.account:
            headers.append((dialect.account_header, effect.account.encode()))
        body: httpx.AsyncByteStream
        if self.body.whole:
            whole = self.body.join()
            if head.chunked or head.content_length is not None:
                headers.append((CONTENT_LENGTH, b'%d' % len(whole)))
            body = httpx.ByteStream(whole)
        else:
            headers.append(_frame_stream(head))
            body = StreamedBody(self.body)
        host = head.host if dialect.preserve_host else b''
        return Outgoing(head.method, head.target.raw, headers, body, host)


def _frame_stream(head: CallHead) -> tuple[bytes, bytes]:
    if head.content_length is None:
        return (TRANSFER_ENCODING, CHUNKED)
    return (CONTENT_LENGTH, b'%d' % head.content_length)


__all__ = ('Call', 'Ending', 'Outcome')
