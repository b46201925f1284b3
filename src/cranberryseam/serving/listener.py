"""Listening sockets and the HTTP server for ASGI applications."""

from __future__ import annotations

import logging
import socket
from collections.abc import Awaitable, Callable
from typing import Any

from hypercorn.asyncio import serve
from hypercorn.config import Config

from ..configuration.settings import RequestSettings
from .asgi import App

# Time for which idle connections of callers are kept open: longer than the idle
# time that operators usually announce to callers. It also limits the time to
# receive the first request head of a connection.
KEEP_ALIVE_S = 65.0
_BACKLOG = 512
# Requests after which the server closes a connection.
_REQUESTS_PER_CONNECTION = 1_000_000
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
    config = Config()
    config.bind = [f'fd://{listener.detach()}']
    config.errorlog = _log
    config.accesslog = None
    config.backlog = _BACKLOG
    config.include_server_header = False
    config.include_date_header = False
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.keep_alive_max_requests = _REQUESTS_PER_CONNECTION
    # Twice the header limit: headers slightly above the limit get a problem
    # document, while larger ones get a plain 400 from the server.
    config.h11_max_incomplete_size = 2 * limits.most_header_bytes
    config.graceful_timeout = limits.exit_s
    application: Any = app
    await serve(
        application, config, shutdown_trigger=wait_for_stop, mode='asgi'
    )


__all__ = ('KEEP_ALIVE_S', 'open_socket', 'serve_app')
