"""HTTP/1.1 connection to a target, as a transport of the HTTP client."""

from __future__ import annotations

import asyncio
import select
from collections.abc import AsyncIterator
from typing import Final, TypeAlias, cast

import h11
import httpx

from .response_parser import ResponseParser
from .turns import TurnQueue

Address: TypeAlias = tuple[str, int]

_MAX_INTERIM_RESPONSES: Final = 32
# Most headers of all interim responses to a request.
_MAX_INTERIM_HEADERS: Final = 256
# Reading pauses while more than this waits for its consumer.
_MAX_UNREAD_BYTES: Final = 16_384
# Largest part of a body that is returned at once.
_MAX_PART_BYTES: Final = 65_536
# Chunks of a body that are parsed before other tasks get a turn.
_CHUNKS_PER_TURN: Final = 64
# Small, so that many connections with long bodies share the event loop.
_RECEIVE_BUFFER_BYTES: Final = 16_384
# Shared by all connections, since received bytes are copied at once.
_RECEIVE_BUFFER: Final = memoryview(bytearray(_RECEIVE_BUFFER_BYTES))


class TargetTransport(httpx.AsyncBaseTransport, asyncio.BufferedProtocol):
    """A single connection, used by one request at a time.

    It reads while it is idle, too. Bytes outside of the response to the
    current request, such as a copy of an earlier response, make it unusable.

    Parameters
    ----------
    address
        Address of the target.
    connect_timeout_s
        Limit for the connection.
    turns
        Turns of bodies of small chunks; shared by all connections of the
        process.

    """

    def __init__(
        self,
        address: Address,
        connect_timeout_s: float,
        turns: TurnQueue,
    ) -> None:
        """Create a transport that connects with its first request."""
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._turns = turns
        # Chunks, and their bytes, since the last turn.
        self._chunks = 0
        self._chunk_bytes = 0
        self._parser = ResponseParser()
        self._socket: asyncio.Transport | None = None
        self._in_use = False
        self._unread_bytes = 0
        self._paused = False
        self._received = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._ended = False
        self._error: Exception | None = None

    @property
    def is_open(self) -> bool:
        """Whether it is connected and not in use."""
        return not (self._in_use or self._ended or self._socket is None)

    @property
    def is_quiet(self) -> bool:
        """Whether no bytes wait that the event loop has not read yet."""
        return self._socket is not None and not _is_readable(self._socket)

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Send a request and return its response with an unread body.

        Parameters
        ----------
        request
            The request; its extension ``on_write`` is called before the first
            byte is written.

        Raises
        ------
        httpx.ConnectError, httpx.ConnectTimeout
            If there is no connection and none could be opened.
        httpx.TransportError
            If no response arrived.

        """
        if self._socket is None:
            await self._connect()
        if self._ended:
            raise httpx.ConnectError('the target closed the new connection')
        self._in_use = True
        request.extensions['on_write']()
        await self._write_request(request)
        event = await self._read_final_response()
        if not isinstance(event, h11.Response):
            raise httpx.RemoteProtocolError(
                f'expected a response, got {type(event).__name__}'
            )
        return httpx.Response(
            event.status_code,
            headers=event.headers.raw_items(),
            stream=_ResponseBody(self),
        )

    async def read_body(self) -> bytes:
        """Return what is received of the body, empty at its end."""
        if self._parser.has_ended:
            return b''
        if self._chunks >= _CHUNKS_PER_TURN:
            await self._finish_turn()
        part = bytearray()
        event: h11.Event | None = await self._read_event()
        while isinstance(event, h11.Data):
            part += event.data
            self._chunks += 1
            if len(part) >= _MAX_PART_BYTES or self._chunks >= _CHUNKS_PER_TURN:
                break
            event = self._next_event()
        self._chunk_bytes += len(part)
        return bytes(part)

    def end_response(self) -> None:
        """Make it usable again, or close it if that isn't safe."""
        if self._ended or not self._parser.is_reusable:
            self.abort()
            return
        self._parser.expect_next()
        self._unread_bytes = 0
        self._chunks = 0
        self._chunk_bytes = 0
        self._in_use = False

    def abort(self) -> None:
        """Close it without waiting."""
        self._ended = True
        if self._socket is not None:
            self._socket.abort()

    async def aclose(self) -> None:
        """Close it; see ``httpx.AsyncBaseTransport``."""
        self.abort()

    def replace(self) -> TargetTransport:
        """Close it and return a new one to the same target."""
        self.abort()
        return TargetTransport(
            self._address, self._connect_timeout_s, self._turns
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the socket; see ``asyncio.Protocol``."""
        self._socket = cast('asyncio.Transport', transport)
        if self._ended:
            self._socket.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return a buffer that limits the bytes of one read."""
        return _RECEIVE_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Store a part of the response."""
        if not self._in_use:
            self.abort()
            return
        self._parser.receive(bytes(_RECEIVE_BUFFER[:nbytes]))
        self._unread_bytes += nbytes
        if self._unread_bytes > _MAX_UNREAD_BYTES and self._socket is not None:
            self._paused = True
            self._socket.pause_reading()
        self._received.set()

    def eof_received(self) -> bool:
        """Record the end of the stream and close the socket.

        It completes a response without a length.
        """
        if self._in_use and not self._ended:
            self._parser.receive_end()
        self._end()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Wake up the request, which can't continue.

        Without an end of the stream before, a response without a length stays
        incomplete.
        """
        self._error = error
        self._end()
        self._writable.set()

    def pause_writing(self) -> None:
        """Make the request wait until the target reads."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let the request continue."""
        self._writable.set()

    def _end(self) -> None:
        self._ended = True
        self._received.set()

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        host, port = self._address
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                await loop.create_connection(lambda: self, host, port)
        except TimeoutError as error:
            self.abort()
            raise httpx.ConnectTimeout(str(error)) from error
        except OSError as error:
            raise httpx.ConnectError(str(error)) from error

    async def _write_request(self, request: httpx.Request) -> None:
        head = h11.Request(
            method=request.method.encode(),
            target=request.extensions['target'],
            headers=request.headers.raw,
        )
        body = cast('httpx.AsyncByteStream', request.stream)
        if not await self._write(head):
            return
        async for chunk in body:
            # A target that responds early may stop reading the body.
            if not await self._write(h11.Data(chunk)):
                return
        await self._write(h11.EndOfMessage())

    async def _write(self, event: h11.Event) -> bool:
        """Write a part of the request; return False if the connection ended."""
        raw = self._parser.encode(event)
        await self._writable.wait()
        if self._socket is None or self._ended or self._socket.is_closing():
            return False
        if raw:
            self._socket.write(raw)
        return True

    async def _read_final_response(self) -> h11.Event:
        event = await self._read_event()
        interim = 0
        headers = 0
        while isinstance(event, h11.InformationalResponse):
            interim += 1
            headers += len(event.headers)
            if (
                interim > _MAX_INTERIM_RESPONSES
                or headers > _MAX_INTERIM_HEADERS
            ):
                raise httpx.RemoteProtocolError(
                    f'expected a response, got {interim} interim ones '
                    f'with {headers} headers'
                )
            event = await self._read_event()
        return event

    async def _finish_turn(self) -> None:
        """Wait for the next turn unless the chunks were large."""
        is_small = self._chunk_bytes < _MAX_PART_BYTES
        self._chunks = 0
        self._chunk_bytes = 0
        if is_small:
            await self._turns.wait(self._address)

    async def _read_event(self) -> h11.Event:
        event = self._next_event()
        while event is None:
            if self._error is not None:
                raise httpx.ReadError(str(self._error)) from self._error
            if self._ended:
                raise httpx.RemoteProtocolError(
                    'expected the rest of the response, got the end'
                )
            self._resume_reading()
            await self._received.wait()
            event = self._next_event()
        return event

    def _next_event(self) -> h11.Event | None:
        """Return the next part of the response, None until it is received."""
        self._received.clear()
        return self._parser.next_event()

    def _resume_reading(self) -> None:
        self._unread_bytes = 0
        if self._paused and self._socket is not None:
            self._paused = False
            self._socket.resume_reading()


class _ResponseBody(httpx.AsyncByteStream):
    """Body of a response that is read from its connection."""

    def __init__(self, transport: TargetTransport) -> None:
        """Create the stream of the current response."""
        self._transport: TargetTransport | None = transport

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body."""
        while self._transport is not None:
            part = await self._transport.read_body()
            if not part:
                return
            yield part

    async def aclose(self) -> None:
        """End the response; an incomplete one closes the connection."""
        transport = self._transport
        self._transport = None
        if transport is not None:
            transport.end_response()


def _is_readable(transport: asyncio.Transport) -> bool:
    poll = select.poll()
    poll.register(transport.get_extra_info('socket').fileno(), select.POLLIN)
    return bool(poll.poll(0))


__all__ = ('Address', 'TargetTransport')
