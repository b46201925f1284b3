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
_PART_BYTES: Final = 1024
_LINE_END: Final = b'\n'
# New connections of an address are a group apart, so that they don't wait for
# those that flood.
_NEW: Final = 'new'
_log = logging.getLogger(__name__)


class CallerConnections:
    """Connections of callers; each is served in a task of its own."""

    def __init__(self, app: App, config: Config) -> None:
        """Start without connections."""
        self._app = app
        self._config = config
        self._context = WorkerContext(None)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._turns = TurnQueue()

    def add(self, connection: socket.socket) -> None:
        """Serve an accepted connection."""
        connection.setblocking(False)  # noqa: WPS425 (positional only)
        task = asyncio.create_task(self._serve(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self, timeout_s: float) -> None:
        """Close idle connections, and the others after their requests."""
        await self._context.terminated.set()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)
        for task in self._tasks:
            task.cancel()

    async def _serve(self, connection: socket.socket) -> None:
        try:
            reader, writer = await self._open(connection)
        except OSError as error:
            _log.info('connection lost before it was served: %s', error)
            return
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
        reader = _CallerReader(Usage(self._turns, address))
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

    """

    server: TCPServer

    def __init__(self, usage: Usage) -> None:
        """Start without received bytes."""
        super().__init__()
        self.usage = usage
        self._waiting_bytes = 0
        self._rest = b''
        # Upper bound of the line ends in an incomplete head or trailers.
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
        if self._waiting_bytes:
            await self.usage.wait_for_turn()
        else:
            self.usage.end()
        if self._has_too_many_lines():
            _log.info('request has more than %d lines', _MAX_LINES)
            self._is_refused = True
            return b''
        part = self._rest or await super().read(n)
        lines = part.count(_LINE_END)
        self._rest = b''
        if lines > _MAX_LINES:
            self._rest = part[_PART_BYTES:]
            part = part[:_PART_BYTES]
            lines = part.count(_LINE_END)
        self._waiting_bytes -= len(part)
        self._incomplete_lines += lines
        return part

    def _has_too_many_lines(self) -> bool:
        if self._incomplete_lines > _MAX_LINES:
            self._incomplete_lines = _read_incomplete(self.server).count(
                _LINE_END
            )
        return self._incomplete_lines > _MAX_LINES


def _read_incomplete(server: TCPServer) -> bytes:
    """Return the bytes that aren't parsed until more are received."""
    protocol = server.protocol.protocol
    if isinstance(protocol, H11Protocol) and isinstance(
        protocol.connection, h11.Connection
    ):
        return protocol.connection.trailing_data[0]
    return b''


__all__ = ('CallerConnections',)
