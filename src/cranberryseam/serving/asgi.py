"""ASGI types and helpers to send responses."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any, TypeAlias

Scope: TypeAlias = Mapping[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[Mapping[str, Any]]]
Send: TypeAlias = Callable[[dict[str, Any]], Awaitable[None]]
App: TypeAlias = Callable[[Scope, Receive, Send], Awaitable[None]]
HeaderPair: TypeAlias = tuple[bytes, bytes]
HeaderList: TypeAlias = list[HeaderPair]

DISCONNECT = 'http.disconnect'
LIFESPAN = 'lifespan'
WEBSOCKET = 'websocket'


async def start_response(
    send: Send, status: int, headers: Iterable[HeaderPair]
) -> None:
    """Send the status line and headers of a response."""
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': list(headers),
        }
    )


async def send_body(send: Send, chunk: bytes, more: bool) -> None:
    """Send a part of a response body."""
    await send({'type': 'http.response.body', 'body': chunk, 'more_body': more})


async def send_response(
    send: Send, status: int, headers: Iterable[HeaderPair], body: bytes
) -> None:
    """Send a complete response."""
    await start_response(send, status, headers)
    await send_body(send, body, more=False)


async def serve_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledge the lifespan events of the server."""
    while True:
        kind = (await receive())['type']
        await send({'type': f'{kind}.complete'})
        if kind == 'lifespan.shutdown':
            return


async def refuse_websocket(receive: Receive, send: Send) -> None:
    """Reject a WebSocket handshake; the server responds with 403."""
    await receive()
    await send({'type': 'websocket.close', 'code': 1002, 'reason': ''})


__all__ = (
    'DISCONNECT',
    'LIFESPAN',
    'WEBSOCKET',
    'App',
    'HeaderList',
    'HeaderPair',
    'Receive',
    'Scope',
    'Send',
    'refuse_websocket',
    'send_body',
    'send_response',
    'serve_lifespan',
    'start_response',
)
