"""Lightweight HTTP client of the load generator.

A generator process must send several thousand requests per second without
becoming the bottleneck, so requests are sent as encoded bytes and a connection
carries one request at a time.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Final

import attrs
import h11

READ_CHUNK_BYTES: Final = 65536


@attrs.frozen
class Response:
    """Result of one request.

    Parameters
    ----------
    status
        HTTP status; 0 if the connection failed or the request timed out.
    problem_type
        Refusal type of the problem document; empty if there is none.

    """

    status: int
    problem_type: bytes = b''


@attrs.define(eq=False)
class Connection:
    """Persistent HTTP connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def send(self, request: bytes, method: str) -> tuple[Response, bool]:
        """Return the response and whether the connection is reusable."""
        parser = h11.Connection(h11.CLIENT)
        # The parser needs the method to determine whether a body follows.
        parser.send(
            h11.Request(method=method, target='/', headers=[_HOST_HEADER])
        )
        parser.send(h11.EndOfMessage())
        self.writer.write(request)
        builder = _ResponseBuilder()
        while not builder.complete:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await self.reader.read(READ_CHUNK_BYTES))
            else:
                builder.add(event)
        reusable = parser.their_state is h11.DONE
        return builder.build(), reusable


@attrs.define
class _ResponseBuilder:
    """Assemble a response from the events of the parser."""

    status: int = 0
    body: bytearray = attrs.field(factory=bytearray)
    complete: bool = False

    def add(self, event: object) -> None:
        """Process one event of the parser."""
        match event:
            case h11.Response(status_code=status):
                self.status = status
            case h11.Data():
                self.body += event.data
            case h11.ConnectionClosed():
                self.status = 0
                self.complete = True
            case h11.EndOfMessage():
                self.complete = True

    def build(self) -> Response:
        """Return the assembled response."""
        return Response(
            self.status, _parse_problem_type(self.status, self.body)
        )


class ConnectionPool:
    """Pool of connections to one address."""

    def __init__(self, address: str) -> None:
        """Start without open connections."""
        host, _colon, port = address.rpartition(':')
        self._host = host
        self._port = int(port)
        self._idle: deque[Connection] = deque()

    async def send(
        self, request: bytes, method: str, timeout_s: float
    ) -> Response:
        """Send a request; return status 0 if it fails."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._send(request, method)
        except (OSError, TimeoutError, h11.RemoteProtocolError):
            return Response(0)

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().writer.close()

    async def _send(self, request: bytes, method: str) -> Response:
        connection = await self._acquire()
        response, reusable = await connection.send(request, method)
        if reusable:
            self._idle.append(connection)
        else:
            connection.writer.close()
        return response

    async def _acquire(self) -> Connection:
        while self._idle:
            connection = self._idle.pop()
            if not connection.reader.at_eof():
                return connection
        reader, writer = await asyncio.open_connection(self._host, self._port)
        return Connection(reader, writer)


_HOST_HEADER: Final = ('host', 'load')
_FIRST_ERROR_STATUS: Final = 400
_PROBLEM_TYPE_PREFIX: Final = b'urn:cranberryseam:refusal:'


def _parse_problem_type(status: int, body: bytearray) -> bytes:
    start = body.find(_PROBLEM_TYPE_PREFIX)
    if status < _FIRST_ERROR_STATUS or start < 0:
        return b''
    start += len(_PROBLEM_TYPE_PREFIX)
    return bytes(body[start : body.index(b'"', start)])


__all__ = ('Connection', 'ConnectionPool', 'Response')
