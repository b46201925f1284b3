"""Pool of HTTP connections to targets."""

from __future__ import annotations

import asyncio
import functools
import math
import re
from collections.abc import Callable, Iterable

import attrs
import httpx

from .asgi import HeaderList
from .headers import HOST
from .target_transport import Address, TargetTransport
from .turns import TurnQueue

# Several round trips between regions. TCP retransmits a lost SYN only after a
# second; no request was sent by then, so another target is tried sooner.
CONNECT_TIMEOUT_S = 0.4
# Below the keep-alive time of common servers (5 s), so that this side closes
# first and requests are rarely sent on a connection that the target closes.
_DEFAULT_KEEP_ALIVE_S = 4.0
# Subtracted from the keep-alive time of a target, for requests in transit.
_KEEP_ALIVE_MARGIN_S = 2.0
_MAX_KEEP_ALIVE_S = 60.0
# A round trip between regions takes 60 ms; failing work takes longer than this.
_RESET_DETECTION_S = 0.1
_KEEP_ALIVE_TIMEOUT = re.compile(rb'(?:^|[ ,])timeout=(\d{1,5})')
# Least time between two turns for bodies of small chunks. The cost of parsing
# and forwarding is that of a chunk, so a target that sends small chunks without
# end could occupy the event loop.
_TURN_INTERVAL_S = 0.01
# Above the number of targets of one VM.
_ADDRESS_CACHE_SIZE = 16_384


@attrs.define(eq=False)
class WriteTrace:
    """Records whether any byte of a request may have been written."""

    sent: bool = False

    def __call__(self) -> None:
        """Record that the request is about to be written."""
        self.sent = True


@attrs.frozen
class TargetRequest:
    """A request in the form that is sent to a target.

    Parameters
    ----------
    host
        Value of ``Host``; if empty, the address of the target.

    """

    method: str
    target: bytes
    headers: HeaderList
    body: httpx.AsyncByteStream
    host: bytes = b''


@attrs.define(eq=False)
class TargetConnection:
    """A connection to a target, used by one request at a time.

    Parameters
    ----------
    transport
        The connection itself.
    reusable_until
        Time until which it may be reused.
    keep_alive_s
        Seconds for which it may stay idle.
    idle_since
        Time of its last use; None for a new connection.
    acquired_at
        Time at which the current request acquired it.

    """

    address: Address
    transport: TargetTransport
    acquired_at: float
    reusable_until: float = 0
    idle_since: float | None = None
    keep_alive_s: float = _DEFAULT_KEEP_ALIVE_S

    def update_keep_alive(self, headers: HeaderList) -> None:
        """Adopt the keep-alive timeout from the headers of a response."""
        for name, value in headers:
            if name.lower() == b'keep-alive':
                found = _KEEP_ALIVE_TIMEOUT.search(value)
                stated_s = float(found[1]) if found else 0
                keep_alive_s = max(0, stated_s - _KEEP_ALIVE_MARGIN_S)
                self.keep_alive_s = min(_MAX_KEEP_ALIVE_S, keep_alive_s)

    async def send(
        self, target_request: TargetRequest, trace: WriteTrace
    ) -> httpx.Response:
        """Send a request and return its response with an unread body.

        Raises
        ------
        httpx.TransportError
            If no response arrived; see ``trace`` for what was sent.

        """
        if self.idle_since is not None and not (
            self.transport.is_open and self.transport.is_quiet
        ):
            self.transport = self.transport.replace()
            self.idle_since = None
        url, host = _build_origin(self.address)
        request = httpx.Request(
            target_request.method,
            url,
            headers=[
                (HOST, target_request.host or host),
                *target_request.headers,
            ],
            stream=target_request.body,
            extensions={
                'target': target_request.target,
                'on_write': trace,
            },
        )
        response = await self.transport.handle_async_request(request)
        self.update_keep_alive(response.headers.raw)
        return response


class ConnectionPool:
    """Idle connections to targets; the most recently used is reused first.

    The pool of the HTTP client checks all its connections several times per
    request, with a system call each, and doesn't show bytes that follow a
    response.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without connections."""
        self._clock = clock
        self._idle: dict[Address, list[TargetConnection]] = {}
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._turns = TurnQueue(_TURN_INTERVAL_S)

    def acquire(
        self, address: Address, max_idle_s: float = math.inf
    ) -> TargetConnection:
        """Return an idle connection to an address or a new one.

        Parameters
        ----------
        max_idle_s
            Longest time for which a reused connection may have been idle.

        """
        now = self._clock()
        connections = self._idle.get(address, [])
        while connections and not connections[-1].transport.is_open:
            connections.pop()
        if connections and _is_usable(connections[-1], max_idle_s, now):
            connection = connections.pop()
            connection.acquired_at = now
            return connection
        # The most recently used connection comes last, so if it is too old, all
        # others are too. ``close_expired`` closes them.
        transport = TargetTransport(address, CONNECT_TIMEOUT_S, self._turns)
        return TargetConnection(address, transport, now)

    def was_closed_idle(self, connection: TargetConnection) -> bool:
        """Return whether a request failed on a closed idle connection.

        If the target has closed the connection, a reset arrives within a
        round trip. A failure while the request runs takes longer.
        """
        elapsed_s = self._clock() - connection.acquired_at
        return (
            connection.idle_since is not None and elapsed_s < _RESET_DETECTION_S
        )

    def release(self, connection: TargetConnection) -> None:
        """Return a connection to the pool after a completely read response."""
        if not connection.transport.is_open:
            return
        now = self._clock()
        connection.idle_since = now
        connection.reusable_until = now + connection.keep_alive_s
        self._idle.setdefault(connection.address, []).append(connection)
        if self._sweep_timer is None:
            loop = asyncio.get_running_loop()
            self._sweep_timer = loop.call_later(
                _DEFAULT_KEEP_ALIVE_S, self.close_expired
            )

    def close_expired(self) -> None:
        """Close the connections whose keep-alive time has passed."""
        now = self._clock()
        self._sweep_timer = None
        expired: list[TargetConnection] = []
        for address, connections in tuple(self._idle.items()):
            remaining = [
                connection
                for connection in connections
                if connection.reusable_until > now
                and connection.transport.is_open
            ]
            expired.extend(
                connection
                for connection in connections
                if connection not in remaining
            )
            if remaining:
                self._idle[address] = remaining
            else:
                self._idle.pop(address)
        if self._idle:
            loop = asyncio.get_running_loop()
            self._sweep_timer = loop.call_later(
                _DEFAULT_KEEP_ALIVE_S, self.close_expired
            )
        _abort_all(expired)

    def close(self) -> None:
        """Close all idle connections."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        idle = [
            connection
            for connections in self._idle.values()
            for connection in connections
        ]
        self._idle.clear()
        _abort_all(idle)


def _is_usable(
    connection: TargetConnection, max_idle_s: float, now: float
) -> bool:
    idle_s = now - (connection.idle_since or now)
    return now < connection.reusable_until and idle_s <= max_idle_s


@functools.lru_cache(maxsize=_ADDRESS_CACHE_SIZE)
def _build_origin(address: Address) -> tuple[httpx.URL, bytes]:
    host, port = address
    authority = f'[{host}]:{port}' if ':' in host else f'{host}:{port}'
    return httpx.URL(f'http://{authority}/'), authority.encode()


def _abort_all(connections: Iterable[TargetConnection]) -> None:
    for connection in connections:
        connection.transport.abort()


__all__ = (
    'Address',
    'ConnectionPool',
    'TargetConnection',
    'TargetRequest',
    'WriteTrace',
)
