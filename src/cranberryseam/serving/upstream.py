"""Connections to targets."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs
import httpx

from .asgi import HeaderList
from .fields import HOST

# Leaves room for one repeated SYN, which TCP sends after one second.
CONNECT_TIMEOUT_S = 1.5
# A target has a few slots for all VMs together; more idle connections than
# that are never used again.
_IDLE_CONNECTIONS = 8
# Below the keep-alive time of common servers (5 s), so that this side closes
# first and a request rarely meets a connection that the target is closing.
_IDLE_S = 4.0
# Connections to targets that get no work any more are closed after this.
_UNUSED_S = 30.0
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
    """A request as a target gets it, without ``Host``."""

    method: str
    target: bytes
    headers: HeaderList
    body: httpx.AsyncByteStream


@attrs.define(eq=False)
class _Pool:
    url: httpx.URL
    host: bytes
    transport: httpx.AsyncHTTPTransport
    used_at: float
    active: int = 0


class Upstream:
    """One connection pool per target address.

    A pool per address keeps the search for an idle connection short, which
    is linear in the number of connections of a pool.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create no connection yet."""
        self._clock = clock
        self._pools: dict[tuple[str, int], _Pool] = {}
        # Targets are reached by plain HTTP; a context made once saves each
        # new pool from loading certificates.
        self._tls = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        self._swept_at = clock()

    async def send(
        self, address: tuple[str, int], outgoing: Outgoing, trace: WriteTrace
    ) -> httpx.Response:
        """Send a request and return its answer with an unread body.

        Raises
        ------
        httpx.TransportError
            If no answer came; ``trace`` says what was written.

        """
        pool = self._find_pool(address)
        request = httpx.Request(
            outgoing.method,
            pool.url,
            headers=[(HOST, pool.host), *outgoing.headers],
            stream=outgoing.body,
            extensions={
                'target': outgoing.target,
                'trace': trace,
                'timeout': {'connect': CONNECT_TIMEOUT_S},
            },
        )
        return await pool.transport.handle_async_request(request)

    async def sweep(self) -> None:
        """Close the connections to targets that were not used lately."""
        now = self._clock()
        if now - self._swept_at < _UNUSED_S:
            return
        self._swept_at = now
        unused = [
            address
            for address, pool in self._pools.items()
            if not pool.active and now - pool.used_at > _UNUSED_S
        ]
        await _close_all([self._pools.pop(address) for address in unused])

    def begin_use(self, address: tuple[str, int]) -> None:
        """Keep the pool of an address until ``end_use``."""
        self._find_pool(address).active += 1

    def end_use(self, address: tuple[str, int]) -> None:
        """End the use that ``begin_use`` began."""
        pool = self._pools[address]
        pool.active -= 1
        pool.used_at = self._clock()

    async def close(self) -> None:
        """Close all connections."""
        pools = tuple(self._pools.values())
        self._pools.clear()
        await _close_all(pools)

    def _find_pool(self, address: tuple[str, int]) -> _Pool:
        pool = self._pools.get(address)
        if pool is None:
            pool = self._open_pool(address)
            self._pools[address] = pool
        return pool

    def _open_pool(self, address: tuple[str, int]) -> _Pool:
        host, port = address
        authority = f'[{host}]:{port}' if ':' in host else f'{host}:{port}'
        return _Pool(
            url=httpx.URL(f'http://{authority}/'),
            host=authority.encode(),
            transport=httpx.AsyncHTTPTransport(
                verify=self._tls,
                trust_env=False,
                retries=0,
                limits=httpx.Limits(
                    max_connections=None,
                    max_keepalive_connections=_IDLE_CONNECTIONS,
                    keepalive_expiry=_IDLE_S,
                ),
            ),
            used_at=self._clock(),
        )


async def _close_all(pools: Iterable[_Pool]) -> None:
    await asyncio.gather(*(pool.transport.aclose() for pool in pools))


__all__ = ('Outgoing', 'Upstream', 'WriteTrace')
