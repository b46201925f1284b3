"""Connections of callers."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Iterable
from typing import Any, Final, SupportsIndex

import h11
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.protocol.h11 import H11Protocol

from .asgi import App
from .framing import MAX_HEADERS
from .turns import LimitedApp, TurnQueue, Usage

# Most lines of an incomplete head or trailers: more than a valid head has, so
# that a head slightly above its limit gets a problem document.
_MAX_LINES: Final = 2 * MAX_HEADERS
# Bytes with more lines are parsed in parts of this size, so that the limit is
# checked before all of them are parsed.
_LINES_PART_BYTES: Final = 1024
# Sizes of the parts that are read: small while handling one takes more than a
# turn, since it can't be interrupted.
_MIN_PART_BYTES: Final = 128
_FIRST_PART_BYTES: Final = 1024
_MAX_PART_BYTES: Final = 65_536
# Share of a turn up to which parts grow.
_CHEAP_SHARE: Final = 0.5
_LINE_END: Final = b'\n'
# New connections of an address are a group apart, so that they don't wait for
# those that flood.
_NEW: Final = 'new'
_log = logging.getLogger(__name__)


class CallerConnections:
    """Connections of callers; each is served in a task of its own.

    Parameters
    ----------
    max_head_bytes
        Largest incomplete head; larger ones get a 400 without a body.

    """

    def __init__(self, app: App, config: Config, max_head_bytes: int) -> None:
        """Start without connections."""
        self._app = app
        self._config = config
        self._max_head_bytes = max_head_bytes
        # The reader refuses a head before the server does.
        config.h11_max_incomplete_size = max_head_bytes + _MAX_PART_BYTES
        self._context = WorkerContext(None)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._opening: set[asyncio.Future[None]] = set()
        self._turns = TurnQueue()

    def add(self, connection: socket.socket) -> None:
        """Serve an accepted connection."""
        connection.setblocking(False)  # noqa: WPS425 (positional only)
        opened = asyncio.get_running_loop().create_future()
        self._opening.add(opened)
        opened.add_done_callback(self._opening.discard)
        task = asyncio.create_task(self._serve(connection, opened))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def wait_until_open(self, timeout_s: float) -> None:
        """Wait until the accepted connections have had their first turns."""
        if self._opening:
            await asyncio.wait(self._opening, timeout=timeout_s)

    async def close(self, timeout_s: float) -> None:
        """Close idle connections, and the others after their requests."""
        await self._context.terminated.set()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)
        for task in self._tasks:
            task.cancel()

    async def _serve(
        self, connection: socket.socket, opened: asyncio.Future[None]
    ) -> None:
        try:
            reader, writer = await self._open(connection)
        except OSError as error:
            _log.info('connection lost before it was served: %s', error)
            return
        finally:
            opened.set_result(None)
        app: Any = LimitedApp(self._app, reader.usage)
        reader.server = TCPServer(
            ASGIWrapper(app),
            asyncio.get_running_loop(),
            self._config,
            self._context,
            {},
            reader,
            writer,
        )
        await reader.usage.measure(reader.server)

    async def _open(
        self, connection: socket.socket
    ) -> tuple[_CallerReader, asyncio.StreamWriter]:
        address = str(connection.getpeername()[0])
        # A new connection may bring a request, so its start takes a turn, too.
        await self._turns.wait((address, _NEW))
        loop = asyncio.get_running_loop()
        reader = _CallerReader(
            Usage(self._turns, address), self._max_head_bytes
        )
        protocol = asyncio.StreamReaderProtocol(reader)
        transport, _ = await loop.connect_accepted_socket(
            lambda: protocol, connection
        )
        return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


class _CallerReader(asyncio.StreamReader):
    """Bytes of a caller, read in turns.

    Parameters
    ----------
    usage
        Use of the event loop by the connection.
    max_head_bytes
        Largest incomplete head.

    """

    server: TCPServer

    def __init__(self, usage: Usage, max_head_bytes: int) -> None:
        """Start without received bytes."""
        super().__init__()
        self.usage = usage
        self._waiting_bytes = 0
        self._rest = b''
        self._part_bytes = _FIRST_PART_BYTES
        self._max_head_bytes = max_head_bytes
        # Upper bounds of the size of an incomplete head or trailers.
        self._incomplete_bytes = 0
        self._incomplete_lines = 0
        self._is_refused = False

    def feed_data(
        self,
        data: Iterable[SupportsIndex],  # noqa: WPS110 (overrides)
    ) -> None:
        """Add received bytes; see ``asyncio.StreamReader``."""
        part = bytes(data)
        self._waiting_bytes += len(part)
        super().feed_data(part)

    def at_eof(self) -> bool:
        """Return whether nothing more is to be read."""
        return self._is_refused or (not self._rest and super().at_eof())

    async def read(self, n: int = -1) -> bytes:  # noqa: WPS111 (overrides)
        """Return received bytes, none at the end or to refuse the request."""
        self._adapt_part_bytes()
        if self._waiting_bytes:
            await self.usage.wait_for_turn()
        else:
            self.usage.restart()
        if self._is_head_too_long():
            _log.info(
                'a head has %d bytes and %d lines without its end, expected '
                'at most %d and %d',
                self._incomplete_bytes,
                self._incomplete_lines,
                self._max_head_bytes,
                _MAX_LINES,
            )
            self._is_refused = True
            return b''
        part = self._rest or await super().read(min(n, self._part_bytes))
        lines = part.count(_LINE_END)
        self._rest = b''
        if lines > _MAX_LINES:
            self._rest = part[_LINES_PART_BYTES:]
            part = part[:_LINES_PART_BYTES]
            lines = part.count(_LINE_END)
        self._waiting_bytes -= len(part)
        self._incomplete_bytes += len(part)
        self._incomplete_lines += lines
        return part

    def _adapt_part_bytes(self) -> None:
        share = self.usage.turn_share
        if share > 1:
            halved = self._part_bytes // 2
            self._part_bytes = max(_MIN_PART_BYTES, halved)
        elif share < _CHEAP_SHARE:
            doubled = 2 * self._part_bytes
            self._part_bytes = min(_MAX_PART_BYTES, doubled)

    def _is_head_too_long(self) -> bool:
        if self._exceeds_limits():
            incomplete = _read_incomplete(self.server)
            self._incomplete_bytes = len(incomplete)
            self._incomplete_lines = incomplete.count(_LINE_END)
        return self._exceeds_limits()

    def _exceeds_limits(self) -> bool:
        return (
            self._incomplete_bytes > self._max_head_bytes
            or self._incomplete_lines > _MAX_LINES
        )


def _read_incomplete(server: TCPServer) -> bytes:
    """Return the bytes that aren't parsed until more are received."""
    protocol = server.protocol.protocol
    if isinstance(protocol, H11Protocol) and isinstance(
        protocol.connection, h11.Connection
    ):
        return protocol.connection.trailing_data[0]
    return b''


__all__ = ('CallerConnections',)
