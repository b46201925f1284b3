"""HTTP interface for the counters and histograms of a process."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from .asgi import (
    LIFESPAN,
    Receive,
    Scope,
    Send,
    send_response,
    serve_lifespan,
)

_TEXT = (b'content-type', b'text/plain; charset=utf-8')


class CountersApi:
    """Serves the same text page at every path.

    Parameters
    ----------
    render
        Returns the text of the page.

    """

    def __init__(self, render: Callable[[], str]) -> None:
        """Use ``render`` for every request."""
        self._render = render

    async def app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve a request (ASGI application)."""
        if scope['type'] == LIFESPAN:
            await serve_lifespan(receive, send)
        elif scope['type'] == 'http':
            page = self._render().encode()
            length = (b'content-length', b'%d' % len(page))
            await send_response(send, HTTPStatus.OK, (_TEXT, length), page)


__all__ = ('CountersApi',)
