"""Checks and buffering of target responses."""

from __future__ import annotations

from collections.abc import AsyncIterator
from enum import Enum
from http import HTTPStatus

import attrs
import httpx
from expression import Error, Ok, Result

from ..core.events import StoredAnswer, TargetStatement
from .asgi import HeaderList
from .dialect import DEFAULT_DIALECT, Dialect
from .headers import (
    CHUNKED,
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    select_response_headers,
)
from .statements import (
    RETRY_AFTER,
    parse_retry_after,
    read_statement,
    remove_statement,
)

# Buffered before the response is reported to the reducer, so that another
# attempt can replace a response that fails early.
BUFFERED_BYTES = 65_536
# Largest body of a response that is stored for repeated requests.
MAX_STORED_BYTES = 16_384
_BODILESS_STATUSES = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
_MISDIRECTED = HTTPStatus.MISDIRECTED_REQUEST
_CONTENT_ENCODING = b'content-encoding'
_MIN_FINAL_STATUS = 200
_MAX_STATUS = 599


class ResponseFault(Enum):
    """Why a response is not accepted."""

    status = 'status'
    framing = 'framing'
    other_attempt = 'other_attempt'
    other_request = 'other_request'
    no_request_id = 'no_request_id'
    not_authentic = 'not_authentic'


@attrs.define(eq=False)
class TargetResponse:
    """A response of a target with the buffered part of its body.

    Parameters
    ----------
    chunks
        The part of the body that has not been buffered.
    dialect
        Header names that the target uses.
    complete
        True if the whole body is buffered.
    delimited
        False if the response ends where its connection is closed.
    statement
        What the target says of itself.

    """

    status: int
    headers: HeaderList
    chunks: AsyncIterator[bytes]
    dialect: Dialect = DEFAULT_DIALECT
    buffered: bytes = b''
    complete: bool = False
    delimited: bool = True
    statement: TargetStatement = TargetStatement()

    @property
    def not_run(self) -> bool:
        """Whether the target states that it did not run the request."""
        dialect = self.dialect
        if dialect.expected_target_header and self.status == _MISDIRECTED:
            return True
        statuses = dialect.not_run_statuses
        if statuses and self.status not in statuses:
            return False
        return any(
            name == dialect.not_run_header
            and dialect.not_run_value in {b'', value}
            for name, value in self.headers
        )

    @property
    def is_unconfirmed_refusal(self) -> bool:
        """Whether its status promises "not run" and the target doesn't."""
        return self.status in self.dialect.promise_statuses and not self.not_run

    @property
    def keeps_connection(self) -> bool:
        """Whether its connection may be used for another request.

        A faulty target may send a refusal again. On the same connection it
        would state that the next request did not run.
        """
        return self.delimited and not self.not_run

    @property
    def retry_after_s(self) -> float | None:
        """Value of ``Retry-After`` in seconds, None without a valid one."""
        for name, value in self.headers:
            if name == RETRY_AFTER:
                return parse_retry_after(value)
        return None

    def store(self) -> StoredAnswer | None:
        """Return the response for storage, None if it is too large."""
        if not self.complete or len(self.buffered) > MAX_STORED_BYTES:
            return None
        return StoredAnswer(self.status, tuple(self.headers), self.buffered)


def open_response(
    http_response: httpx.Response,
    method: str,
    dialect: Dialect = DEFAULT_DIALECT,
    caller_request_id: bytes = b'',
    attempt_id: bytes = b'',
) -> Result[TargetResponse, ResponseFault]:
    """Check the head of a response.

    A response that is delimited by the end of its connection can't be
    distinguished from a truncated one. It is only accepted if the targets are
    known to reset the connection of a response that they can't complete.

    A response with the identifier of another request or attempt, or without
    one, is a late one for that request or attempt.
    """
    status = http_response.status_code
    if not _MIN_FINAL_STATUS <= status <= _MAX_STATUS:
        return Error(ResponseFault.status)
    if not isinstance(http_response.stream, httpx.AsyncByteStream):
        return Error(ResponseFault.framing)
    raw = http_response.headers.raw
    names = [name.lower() for name, _ in raw]
    has_length = CONTENT_LENGTH in names
    chunked = _is_chunked_only(raw)
    bodiless = method == 'HEAD' or status in _BODILESS_STATUSES
    close_delimited = not (has_length or chunked or bodiless)
    if (
        has_length
        and chunked
        or close_delimited
        and not dialect.accept_close_delimited
    ):
        return Error(ResponseFault.framing)
    headers = select_response_headers(raw)
    if _names_other_attempt(headers, dialect, attempt_id):
        return Error(ResponseFault.other_attempt)
    fault = _find_origin_fault(status, headers, dialect, caller_request_id)
    if fault is not None:
        return Error(fault)
    return Ok(
        TargetResponse(
            status,
            remove_statement(headers, dialect),
            aiter(http_response.stream),
            dialect,
            delimited=not close_delimited,
            statement=read_statement(status, headers, dialect),
        )
    )


def _names_other_attempt(
    headers: HeaderList, dialect: Dialect, attempt_id: bytes
) -> bool:
    name = dialect.attempt_id_header
    return any(
        known == name and value != attempt_id for known, value in headers
    )


def _find_origin_fault(
    status: int, headers: HeaderList, dialect: Dialect, caller_request_id: bytes
) -> ResponseFault | None:
    """Return why a response may not be the target's to this request."""
    fields = dict(headers)
    request_ids = [
        value for name, value in headers if name == dialect.request_id_header
    ]
    if caller_request_id and set(request_ids) - {caller_request_id}:
        return ResponseFault.other_request
    # Targets echo the identifier, so a copy of an earlier response without it
    # can be told from the expected one, whatever its status.
    if caller_request_id and dialect.request_id_header and not request_ids:
        return ResponseFault.no_request_id
    if not dialect.authenticity_header or status >= HTTPStatus.MULTIPLE_CHOICES:
        return None
    # A content encoding was added by an intermediary, not by the target.
    if (
        dialect.authenticity_header in fields
        and _CONTENT_ENCODING not in fields
    ):
        return None
    return ResponseFault.not_authentic


async def read_buffered_part(response: TargetResponse) -> None:
    """Buffer the body up to ``BUFFERED_BYTES``."""
    buffered = bytearray()
    async for chunk in response.chunks:
        buffered += chunk
        if len(buffered) >= BUFFERED_BYTES:
            break
    else:
        response.complete = True
    response.buffered = bytes(buffered)
    if response.complete and not response.delimited:
        length = b'%d' % len(response.buffered)
        response.headers.append((CONTENT_LENGTH, length))


def _is_chunked_only(raw: HeaderList) -> bool:
    encodings = [
        value.lower()
        for name, value in raw
        if name.lower() == TRANSFER_ENCODING
    ]
    return encodings == [CHUNKED]


__all__ = (
    'BUFFERED_BYTES',
    'MAX_STORED_BYTES',
    'ResponseFault',
    'TargetResponse',
    'open_response',
    'read_buffered_part',
)
