"""A small HTTP client for generators.

One generator process must send some thousand requests a second without
becoming the bottleneck, so each request is encoded once per stream and a
connection carries one request at a time.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Final

import attrs
import h11

READ_BYTES: Final = 65536


@attrs.frozen
class Answer:
    """What came back for one request.

    Parameters
    ----------
    status
        HTTP status; 0 if the connection broke or time ran out.
    problem
        Type of the problem document, if it is one.

    """

    status: int
    problem: bytes = b''


@attrs.define(eq=False)
class Connection:
    """One kept-alive connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def send(self, request: bytes, method: str) -> tuple[Answer, bool]:
        """Return the answer, and whether the connection can be used again."""
        parser = h11.Connection(h11.CLIENT)
        # The parser needs to know the method to tell whether a body follows.
        parser.send(h11.Request(method=method, target='/', headers=[_HOST]))
        parser.send(h11.EndOfMessage())
        self.writer.write(request)
        reply = _Reply()
        while not reply.ended:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await self.reader.read(READ_BYTES))
            else:
                reply.take(event)
        reusable = parser.their_state is h11.DONE
        return reply.build_answer(), reusable


@attrs.define
class _Reply:
    """Collects the parts of an answer."""

    status: int = 0
    body: bytearray = attrs.field(factory=bytearray)
    ended: bool = False

    def take(self, event: object) -> None:
        """Add a part."""
        match event:
            case h11.Response(status_code=status):
                self.status = status
            case h11.Data():
                self.body += event.data
            case h11.ConnectionClosed():
                self.status = 0
                self.ended = True
            case h11.EndOfMessage():
                self.ended = True

    def build_answer(self) -> Answer:
        """Return what the caller was told."""
        return Answer(self.status, _find_problem(self.status, self.body))


class Pool:
    """Connections to one address."""

    def __init__(self, address: str) -> None:
        """Open no connection yet."""
        host, _colon, port = address.rpartition(':')
        self._host = host
        self._port = int(port)
        self._idle: deque[Connection] = deque()

    async def send(
        self, request: bytes, method: str, timeout_s: float
    ) -> Answer:
        """Send a request; a failure gives an answer with status 0."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._send(request, method)
        except (OSError, TimeoutError, h11.RemoteProtocolError):
            return Answer(0)

    def close(self) -> None:
        """Close the connections that are not in use."""
        while self._idle:
            self._idle.pop().writer.close()

    async def _send(self, request: bytes, method: str) -> Answer:
        connection = await self._take()
        answer, reusable = await connection.send(request, method)
        if reusable:
            self._idle.append(connection)
        else:
            connection.writer.close()
        return answer

    async def _take(self) -> Connection:
        while self._idle:
            connection = self._idle.pop()
            if not connection.reader.at_eof():
                return connection
        reader, writer = await asyncio.open_connection(self._host, self._port)
        return Connection(reader, writer)


_HOST: Final = ('host', 'load')
_FIRST_REFUSAL: Final = 400
_TYPE_MARK: Final = b'urn:cranberryseam:refusal:'


def _find_problem(status: int, body: bytearray) -> bytes:
    start = body.find(_TYPE_MARK)
    if status < _FIRST_REFUSAL or start < 0:
        return b''
    start += len(_TYPE_MARK)
    return bytes(body[start : body.index(b'"', start)])


__all__ = ('Answer', 'Connection', 'Pool')
