"""Listening sockets and the HTTP server for ASGI applications."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any, Final

from hypercorn.config import Config

from ..configuration.settings import RequestSettings
from .asgi import App
from .caller_connections import CallerConnections

# Time for which idle connections of callers are kept open: longer than the idle
# time that operators usually announce to callers. It also limits the time to
# receive the first request head of a connection.
KEEP_ALIVE_S = 65.0
_BACKLOG = 512
# Requests after which the server closes a connection.
_REQUESTS_PER_CONNECTION = 1_000_000
# A request that was sent before its caller learned of the stop arrives within
# this time and is answered.
_LINGER_S: Final = 0.1
# Part of the time until the exit that the linger may take.
_MAX_LINGER_SHARE: Final = 0.25
# Descriptors or memory are exhausted; accepting is tried again later.
_EXHAUSTED: Final = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)
_EXHAUSTED_PAUSE_S: Final = 0.2
_log = logging.getLogger(__name__)


def open_socket(address: str) -> socket.socket:
    """Return a listening socket for ``ip:port``; port 0 picks a free one.

    Raises
    ------
    OSError
        If the address can't be bound.

    """
    host, _, port = address.rpartition(':')
    bare_host = host.strip('[]')
    family = socket.AF_INET6 if ':' in bare_host else socket.AF_INET
    return socket.create_server(
        (bare_host, int(port)), family=family, backlog=_BACKLOG
    )


async def serve_app(
    app: App,
    listener: socket.socket,
    limits: RequestSettings,
    wait_for_stop: Callable[[], Awaitable[Any]],
) -> None:
    """Serve until a stop is requested, then finish requests in progress.

    Parameters
    ----------
    listener
        A listening socket; the server closes it.
    wait_for_stop
        Returns when no more connections should be accepted.

    """
    # Heads slightly above the limit get a problem document.
    max_head_bytes = 2 * limits.most_header_bytes
    connections = CallerConnections(app, _build_config(), max_head_bytes)
    with _accept(listener, connections.add):
        await wait_for_stop()
    loop = asyncio.get_running_loop()
    exit_at = loop.time() + limits.exit_s
    max_linger_s = limits.exit_s * _MAX_LINGER_SHARE
    await connections.wait_until_open(max_linger_s)
    await asyncio.sleep(min(_LINGER_S, max_linger_s))
    await connections.close(exit_at - loop.time())


@contextmanager
def _accept(
    listener: socket.socket, add: Callable[[socket.socket], None]
) -> Iterator[None]:
    """Accept connections; at the end those that wait to be accepted, too.

    Closing the listener before would reset them, with their requests.
    """
    with listener:
        acceptor = _Acceptor(listener, add)
        acceptor.resume()
        yield
        acceptor.stop()


class _Acceptor:
    """Accepts connections when the listener has some.

    Parameters
    ----------
    add
        Called with each accepted connection.

    """

    def __init__(
        self, listener: socket.socket, add: Callable[[socket.socket], None]
    ) -> None:
        """Start without accepting."""
        listener.setblocking(False)  # noqa: WPS425 (positional only)
        self._listener = listener
        self._add = add
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    def resume(self) -> None:
        """Accept connections from now on."""
        self._loop.add_reader(self._listener, self._accept_pending)

    def stop(self) -> None:
        """Accept the connections that wait, and no others."""
        if self._timer is not None:
            self._timer.cancel()
        self._loop.remove_reader(self._listener)
        self._accept_pending()

    def _accept_pending(self) -> None:
        connection = self._accept_one()
        while connection is not None:
            self._add(connection)
            connection = self._accept_one()

    def _accept_one(self) -> socket.socket | None:
        try:
            return self._listener.accept()[0]
        except BlockingIOError:
            return None
        except OSError as error:
            _log.warning('connection not accepted: %s', error)
            if error.errno in _EXHAUSTED:
                self._loop.remove_reader(self._listener)
                self._timer = self._loop.call_later(
                    _EXHAUSTED_PAUSE_S, self.resume
                )
            return None


def _build_config() -> Config:
    config = Config()
    config.errorlog = _log
    config.accesslog = None
    config.include_server_header = False
    config.include_date_header = False
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.keep_alive_max_requests = _REQUESTS_PER_CONNECTION
    return config


__all__ = ('KEEP_ALIVE_S', 'open_socket', 'serve_app')
