"""Checks of a target's answer, and its first part."""

from __future__ import annotations

import calendar
import time
from collections.abc import AsyncIterator
from email.utils import parsedate
from http import HTTPStatus

import attrs
import httpx

from ..core.events import StoredAnswer
from .asgi import HeaderList
from .fields import (
    CHUNKED,
    CONTENT_LENGTH,
    NOT_RUN,
    TRANSFER_ENCODING,
    select_answer_headers,
)

# Read before the reducer is asked, so that an answer that breaks early can
# still be replaced by another attempt.
BUFFERED_BYTES = 65_536
# Largest answer that is stored for repeated requests.
KEPT_BYTES = 16_384
_RETRY_AFTER = b'retry-after'
_LONGEST_RETRY_AFTER_DIGITS = 9
_BODILESS = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
_SHEDDING = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)
_FIRST_FINAL_STATUS = 200
_LAST_STATUS = 599


@attrs.define(eq=False)
class Answer:
    """Status, headers and the first part of the body.

    Parameters
    ----------
    chunks
        The part of the body that has not been read.
    complete
        True if nothing is left in ``chunks``.

    """

    status: int
    headers: HeaderList
    chunks: AsyncIterator[bytes]
    first: bytes = b''
    complete: bool = False

    @property
    def not_run(self) -> bool:
        """Whether the target says that it did not run the request."""
        return self.status in _SHEDDING and (NOT_RUN, b'1') in self.headers

    @property
    def retry_after_s(self) -> float | None:
        """Seconds the target asks to wait, if it says so."""
        for name, field in self.headers:
            if name == _RETRY_AFTER:
                return parse_retry_after(field)
        return None

    def store(self) -> StoredAnswer | None:
        """Return the whole answer if it is small enough to keep."""
        if not self.complete or len(self.first) > KEPT_BYTES:
            return None
        return StoredAnswer(self.status, tuple(self.headers), self.first)


def open_answer(response: httpx.Response, method: str) -> Answer | None:
    """Return an answer whose end can be told, None for any other.

    An answer that ends with its connection looks the same when it breaks
    off, so it is not accepted.
    """
    status = response.status_code
    if not _FIRST_FINAL_STATUS <= status <= _LAST_STATUS:
        return None
    if not isinstance(response.stream, httpx.AsyncByteStream):
        return None
    raw = response.headers.raw
    names = [name.lower() for name, _ in raw]
    measured = CONTENT_LENGTH in names
    chunked = _is_chunked(raw)
    bodiless = method == 'HEAD' or status in _BODILESS
    if measured == chunked and (measured or not bodiless):
        return None
    chunks = aiter(response.stream)
    return Answer(status, select_answer_headers(raw), chunks)


async def read_first_part(answer: Answer) -> None:
    """Read until the buffer is full or the body has ended."""
    parts: list[bytes] = []
    size = 0
    async for part in answer.chunks:
        parts.append(part)
        size += len(part)
        if size >= BUFFERED_BYTES:
            break
    else:
        answer.complete = True
    answer.first = b''.join(parts)


def parse_retry_after(field: bytes) -> float | None:
    """Return the seconds in a Retry-After header, None if unreadable."""
    text = field.decode('latin-1').strip()
    if text.isascii() and text.isdigit():
        if len(text) > _LONGEST_RETRY_AFTER_DIGITS:
            return None
        return float(text)
    moment = parsedate(text)
    if moment is None:
        return None
    return max(0, calendar.timegm(moment) - time.time())


def _is_chunked(raw: HeaderList) -> bool:
    encodings = [
        field.lower()
        for name, field in raw
        if name.lower() == TRANSFER_ENCODING
    ]
    return encodings == [CHUNKED]


__all__ = (
    'BUFFERED_BYTES',
    'KEPT_BYTES',
    'Answer',
    'open_answer',
    'parse_retry_after',
    'read_first_part',
)
