"""Request bodies, buffered completely or streamed."""

from __future__ import annotations

import asyncio
import hashlib
from collections import deque
from collections.abc import AsyncIterator

import attrs
import httpx
from expression import Error, Ok, Result

from ..configuration.settings import RequestSettings
from ..core.refusals import RefusalReason
from .asgi import DISCONNECT, Receive
from .framing import CheckedHead
from .malformed import BadRequest

# Bytes that are read before the reducer decides on the request. Bodies up to
# this size are buffered completely, so that a retry can send them again.
EARLY_READ_BYTES = 65_536
# Bodies are read before the key is checked, so the limits of client accounts do
# not bound their total. This is an eighth of the memory of a VM with 512 MB.
MAX_BUFFERED_BYTES = 67_108_864
# Bytes of a streamed body that may be queued for a slow target.
_MAX_QUEUED_BYTES = 262_144
_FINGERPRINT_BYTES = 16


class IncompleteBodyError(Exception):
    """The rest of a streamed body will not arrive."""


@attrs.frozen
class CallerDisconnected:
    """The caller disconnected while its body was being read."""


@attrs.define(eq=False)
class BodyBudget:
    """Limit on the total size of the bodies buffered by this process."""

    max_bytes: int = MAX_BUFFERED_BYTES
    buffered_bytes: int = 0

    @property
    def exhausted(self) -> bool:
        """Whether the limit is exceeded."""
        return self.buffered_bytes > self.max_bytes


@attrs.define(eq=False)
class RequestBody:
    """A body or the received part of it.

    Parameters
    ----------
    budget
        Counts the bytes from their arrival until they are streamed or
        released.
    complete
        False while ``read_remaining_body`` must read more.
    consumed
        True once an attempt has started to stream the body.

    """

    budget: BodyBudget
    complete: bool = False
    consumed: bool = False
    broken: bool = False
    _size: int = 0
    _queued_bytes: int = 0
    _chunks: deque[bytes] = attrs.field(factory=deque)
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def add(self, chunk: bytes) -> None:
        """Append a chunk from the caller."""
        self._size += len(chunk)
        self._queued_bytes += len(chunk)
        self.budget.buffered_bytes += len(chunk)
        if chunk:
            self._chunks.append(chunk)
        self._changed.set()

    def finish(self, *, broken: bool) -> None:
        """Mark the end of the body; no more chunks will arrive."""
        self.broken = broken
        self.complete = not broken
        self._changed.set()

    def release(self) -> None:
        """Discard the buffered chunks after the end of the request."""
        self.budget.buffered_bytes -= self._queued_bytes
        self._queued_bytes = 0
        self._chunks.clear()

    def join(self) -> bytes:
        """Return the content of a complete body that was not streamed."""
        return b''.join(self._chunks)

    @property
    def size(self) -> int:
        """Number of bytes received."""
        return self._size

    async def wait_for_space(self) -> None:
        """Wait until enough queued bytes were sent to the target."""
        while self._queued_bytes > _MAX_QUEUED_BYTES and not self.broken:
            self._changed.clear()
            await self._changed.wait()

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield the chunks as they arrive; possible only once.

        Raises
        ------
        BodyBrokenError
            If the caller disconnected, stalled or sent too much, or if
            another attempt has consumed the body.

        """
        if self.consumed:
            raise IncompleteBodyError
        self.consumed = True
        while True:
            while self._chunks:
                chunk = self._chunks.popleft()
                self._queued_bytes -= len(chunk)
                self.budget.buffered_bytes -= len(chunk)
                self._changed.set()
                yield chunk
            if self.broken:
                raise IncompleteBodyError
            if self.complete:
                return
            self._changed.clear()
            await self._changed.wait()


class StreamedBody(httpx.AsyncByteStream):
    """Adapts a request body to a stream of the HTTP client."""

    def __init__(self, body: RequestBody) -> None:
        """Wrap a body without reading it."""
        self._body = body

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Return the chunks as they arrive."""
        return self._body.stream()


async def read_body(
    receive: Receive,
    head: CheckedHead,
    limits: RequestSettings,
    budget: BodyBudget,
) -> Result[RequestBody, BadRequest | CallerDisconnected]:
    """Read the part of a body that is needed before the reducer decides.

    Only bodies that may be streamed are not read completely.
    """
    body = RequestBody(budget)
    if not head.chunked and not head.content_length:
        body.finish(broken=False)
        return Ok(body)
    max_bytes = limits.most_body_bytes
    if (head.content_length or 0) > max_bytes:
        return Error(_too_large(max_bytes))
    if _may_stream(head):
        return Ok(body)
    max_early_bytes = max_bytes if head.idempotency_key else EARLY_READ_BYTES
    failure: BadRequest | CallerDisconnected | None
    try:
        async with asyncio.timeout(limits.body_timeout_s):
            failure = await _read_chunks(receive, body, max_early_bytes)
    except TimeoutError:
        failure = BadRequest(RefusalReason.body_timeout, 'body stalled')
    if failure is None and body.size > max_bytes:
        failure = _too_large(max_bytes)
    if failure is None:
        return Ok(body)
    body.release()
    return Error(failure)


async def read_remaining_body(
    receive: Receive, body: RequestBody, limits: RequestSettings
) -> bool:
    """Read the rest of a body; return False if the caller disconnected."""
    while not body.complete and not body.broken:
        await body.wait_for_space()
        try:
            async with asyncio.timeout(limits.body_timeout_s):
                message = await receive()
        except TimeoutError:
            body.finish(broken=True)
            return True
        if message['type'] == DISCONNECT:
            body.finish(broken=True)
            return False
        body.add(message.get('body', b''))
        if body.size > limits.most_body_bytes:
            body.finish(broken=True)
        elif not message.get('more_body', False):
            body.finish(broken=False)
    return True


def fingerprint_request(head: CheckedHead, body: RequestBody) -> bytes:
    """Return a hash of method, path, query and body.

    Each part is prefixed with its length, so that different requests can't
    produce the same input to the hash.
    """
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (
        head.method.encode(),
        head.target.path.encode(),
        head.target.query.encode(),
        body.join(),
    ):
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return digest.digest()


def _may_stream(head: CheckedHead) -> bool:
    if head.idempotency_key is not None:
        return False
    return (head.content_length or 0) > EARLY_READ_BYTES


async def _read_chunks(
    receive: Receive, body: RequestBody, max_early_bytes: int
) -> BadRequest | CallerDisconnected | None:
    while body.size <= max_early_bytes:
        if body.budget.exhausted:
            return BadRequest(
                RefusalReason.not_ready, 'too many bodies are held'
            )
        message = await receive()
        if message['type'] == DISCONNECT:
            return CallerDisconnected()
        body.add(message.get('body', b''))
        if not message.get('more_body', False):
            body.finish(broken=False)
            break
    return None


def _too_large(max_bytes: int) -> BadRequest:
    return BadRequest(
        RefusalReason.body_too_large, f'body is larger than {max_bytes} bytes'
    )


__all__ = (
    'MAX_BUFFERED_BYTES',
    'BodyBudget',
    'CallerDisconnected',
    'IncompleteBodyError',
    'RequestBody',
    'StreamedBody',
    'fingerprint_request',
    'read_body',
    'read_remaining_body',
)
