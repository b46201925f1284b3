"""Connections to targets."""

from __future__ import annotations

import asyncio
import functools
import math
import re
import ssl
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from typing import Any, TypeAlias

import attrs
import httpx

from .asgi import HeaderList
from .headers import HOST

Address: TypeAlias = tuple[str, int]

# Several round trips between regions. TCP repeats a lost SYN after a second;
# nothing was sent until then, so another target is tried sooner.
CONNECT_TIMEOUT_S = 0.4
# Below the keep-alive time of common servers (5 s), so that this side closes
# first and a request rarely meets a connection that the target is closing.
_IDLE_S = 4.0
# Part of the idle time that a target states which is left for a request on
# its way to it.
_IDLE_MARGIN_S = 2.0
_LONGEST_IDLE_S = 60.0
# A round trip between regions takes 60 ms; work that fails takes longer.
_RESET_S = 0.1
_KEEP_ALIVE = re.compile(rb'(?:^|[ ,])timeout=(\d{1,5})')
# More than the targets that one VM sends to.
_REMEMBERED_ADDRESSES = 16_384
_TIMEOUTS = MappingProxyType({'connect': CONNECT_TIMEOUT_S})
_FIRST_WRITE = 'http11.send_request_headers.started'


@attrs.define(eq=False)
class WriteTrace:
    """Knows whether a byte of a request may have been written."""

    sent: bool = False

    async def __call__(self, name: str, _detail: Mapping[str, Any]) -> None:
        """Take an event of the HTTP client; this one precedes any write."""
        if name == _FIRST_WRITE:
            self.sent = True


@attrs.frozen
class Outgoing:
    """A request as a target gets it.

    Parameters
    ----------
    host
        Value of ``Host``; empty means the address of the target.

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
        Holds at most one connection and opens another when that was closed.
    idle_until
        Time until which it may be used again.
    kept_s
        Time for which it may stay idle.
    idle_since
        Time of its last use; None for a new one.
    taken_at
        Time at which the current request took it.

    """

    address: Address
    transport: httpx.AsyncHTTPTransport
    taken_at: float
    idle_until: float = 0
    idle_since: float | None = None
    kept_s: float = _IDLE_S

    def learn_idle_time(self, headers: HeaderList) -> None:
        """Take over how long the target keeps idle connections."""
        for name, field in headers:
            if name.lower() == b'keep-alive':
                found = _KEEP_ALIVE.search(field)
                stated_s = float(found[1]) if found else 0
                kept_s = max(0, stated_s - _IDLE_MARGIN_S)
                self.kept_s = min(_LONGEST_IDLE_S, kept_s)

    async def send(
        self, outgoing: Outgoing, trace: WriteTrace
    ) -> httpx.Response:
        """Send a request and return its answer with an unread body.

        Raises
        ------
        httpx.TransportError
            If no answer came; ``trace`` says what was written.

        """
        url, host = _locate(self.address)
        request = httpx.Request(
            outgoing.method,
            url,
            headers=[(HOST, outgoing.host or host), *outgoing.headers],
            stream=outgoing.body,
            extensions={
                'target': outgoing.target,
                'trace': trace,
                'timeout': _TIMEOUTS,
            },
        )
        response = await self.transport.handle_async_request(request)
        self.learn_idle_time(response.headers.raw)
        return response


class Upstream:
    """Idle connections to targets, the last used one first.

    The pool of the HTTP client looks at each of its connections several
    times per request, with a system call each. One client transport per
    connection leaves it a single one to look at.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create no connection yet."""
        self._clock = clock
        self._idle: dict[Address, list[TargetConnection]] = {}
        # Targets are reached by plain HTTP; a context made once saves each
        # new transport from loading certificates.
        self._sweep: asyncio.TimerHandle | None = None
        self._sweeping: asyncio.Task[None] | None = None
        self._tls = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)

    def take(
        self, address: Address, most_idle_s: float = math.inf
    ) -> TargetConnection:
        """Return an idle connection to an address, or a new one.

        Parameters
        ----------
        most_idle_s
            Seconds for which it may have been idle.

        """
        now = self._clock()
        connections = self._idle.get(address)
        if connections and _is_usable(connections[-1], most_idle_s, now):
            connection = connections.pop()
            connection.taken_at = now
            return connection
        # If the last used one is too old, so are all others; ``sweep``
        # closes them.
        return TargetConnection(address, self._open_transport(), now)

    def was_closed_idle(self, connection: TargetConnection) -> bool:
        """Return whether a failed request met a connection that was closed.

        A target that closes an idle connection resets what is sent on it
        within a round trip; one that fails on a request takes longer.
        """
        took_s = self._clock() - connection.taken_at
        return connection.idle_since is not None and took_s < _RESET_S

    def put_back(self, connection: TargetConnection) -> None:
        """Keep a connection whose last answer was read to its end."""
        now = self._clock()
        connection.idle_since = now
        connection.idle_until = now + connection.kept_s
        self._idle.setdefault(connection.address, []).append(connection)
        if self._sweep is None:
            loop = asyncio.get_running_loop()
            self._sweep = loop.call_later(_IDLE_S, self._start_sweep)

    async def sweep(self) -> None:
        """Close the connections that have been idle for too long."""
        now = self._clock()
        closing: list[TargetConnection] = []
        for address, connections in tuple(self._idle.items()):
            kept = [
                connection
                for connection in connections
                if connection.idle_until > now
            ]
            closing.extend(
                connection
                for connection in connections
                if connection not in kept
            )
            if kept:
                self._idle[address] = kept
            else:
                self._idle.pop(address)
        if self._idle and self._sweep is None:
            loop = asyncio.get_running_loop()
            self._sweep = loop.call_later(_IDLE_S, self._start_sweep)
        await _close_all(closing)

    async def close(self) -> None:
        """Close all idle connections."""
        if self._sweep is not None:
            self._sweep.cancel()
        closing = [
            connection
            for connections in self._idle.values()
            for connection in connections
        ]
        self._idle.clear()
        await _close_all(closing)

    def _start_sweep(self) -> None:
        self._sweep = None
        self._sweeping = asyncio.create_task(self.sweep())

    def _open_transport(self) -> httpx.AsyncHTTPTransport:
        return httpx.AsyncHTTPTransport(
            verify=self._tls,
            trust_env=False,
            retries=0,
            limits=httpx.Limits(max_connections=1, max_keepalive_connections=1),
        )


def _is_usable(
    connection: TargetConnection, most_idle_s: float, now: float
) -> bool:
    idle_s = now - (connection.idle_since or now)
    return now < connection.idle_until and idle_s <= most_idle_s


@functools.lru_cache(maxsize=_REMEMBERED_ADDRESSES)
def _locate(address: Address) -> tuple[httpx.URL, bytes]:
    host, port = address
    authority = f'[{host}]:{port}' if ':' in host else f'{host}:{port}'
    return httpx.URL(f'http://{authority}/'), authority.encode()


async def _close_all(connections: Iterable[TargetConnection]) -> None:
    await asyncio.gather(
        *(connection.transport.aclose() for connection in connections)
    )


__all__ = ('Address', 'TargetConnection', 'Outgoing', 'Upstream', 'WriteTrace')
