"""Parser of the HTTP/1.1 responses on one connection to a target."""

from __future__ import annotations

from typing import Final

import h11
import httpx

from .headers import TRANSFER_ENCODING

# Largest head of a response, and of the framing between two chunks.
_MAX_HEAD_BYTES: Final = 102_400
# Most lines of a head or of trailers. Other requests wait while they are
# parsed, and short lines cost as much as long ones.
_MAX_LINES: Final = 256
# Bytes with more lines are parsed in parts of this size, so that the limit is
# checked before all of them are parsed.
_PART_BYTES: Final = 1024
_LINE_END: Final = b'\n'
_ENDED_STATES: Final = frozenset((h11.DONE, h11.MUST_CLOSE, h11.CLOSED))


class ResponseParser:
    """Parses responses, and encodes the requests that they belong to.

    The cost of a head or of trailers is that of their lines, so their number
    is limited, too.
    """

    def __init__(self) -> None:
        """Expect the first response."""
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        # Received bytes with many lines that aren't parsed yet.
        self._unparsed = b''
        # Upper bound of the line ends in an incomplete head or trailers.
        self._incomplete_lines = 0
        # Whether heads, or chunks and trailers, are expected.
        self._is_framed_by_lines = True
        self._end_received = False

    @property
    def has_ended(self) -> bool:
        """Whether the response is parsed completely."""
        return self._http.their_state in _ENDED_STATES

    @property
    def is_reusable(self) -> bool:
        """Whether request and response are complete and no bytes follow."""
        return (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._unparsed
            and not self._http.trailing_data[0]
        )

    def encode(self, event: h11.Event) -> bytes | None:
        """Return the bytes of a part of the request.

        Raises
        ------
        httpx.LocalProtocolError
            If the part doesn't fit the parts before.

        """
        try:
            return self._http.send(event)
        except h11.LocalProtocolError as error:
            raise httpx.LocalProtocolError(str(error)) from error

    def expect_next(self) -> None:
        """Expect the response to another request."""
        self._http.start_next_cycle()
        self._incomplete_lines = 0
        self._is_framed_by_lines = True

    def receive(self, part: bytes) -> None:
        """Add received bytes."""
        lines = part.count(_LINE_END) if self._is_framed_by_lines else 0
        if self._unparsed or lines > _MAX_LINES:
            self._unparsed += part
        else:
            self._parse(part, lines)

    def receive_end(self) -> None:
        """Add the end of the stream; it completes some responses."""
        self._end_received = True
        if not self._unparsed:
            self._parse_end()

    def next_event(self) -> h11.Event | None:
        """Return the next part of the response, None until it is received.

        Raises
        ------
        httpx.RemoteProtocolError
            If it is invalid, or a head is too long.

        """
        try:
            event = self._http.next_event()
            while event is h11.NEED_DATA and self._parse_more():
                event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise httpx.RemoteProtocolError(str(error)) from error
        if isinstance(event, type):
            return None
        if isinstance(event, h11.Response):
            self._is_framed_by_lines = any(
                name == TRANSFER_ENCODING for name, _ in event.headers
            )
        return event

    def _parse_more(self) -> bool:
        """Parse a part of the received bytes; return False without any."""
        if self._incomplete_lines > _MAX_LINES:
            held = self._http.trailing_data[0]
            self._incomplete_lines = held.count(_LINE_END)
        if self._incomplete_lines > _MAX_LINES:
            raise httpx.RemoteProtocolError(
                f'expected at most {_MAX_LINES} lines in a head, '
                f'got {self._incomplete_lines} without its end'
            )
        if self._unparsed:
            part = self._unparsed[:_PART_BYTES]
            self._unparsed = self._unparsed[_PART_BYTES:]
            self._parse(part, part.count(_LINE_END))
        elif self._end_received:
            self._parse_end()
        else:
            return False
        return True

    def _parse(self, part: bytes, lines: int) -> None:
        self._incomplete_lines += lines
        self._http.receive_data(part)

    def _parse_end(self) -> None:
        self._end_received = False
        self._http.receive_data(b'')


__all__ = ('ResponseParser',)
