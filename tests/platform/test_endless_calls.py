"""Calls to a control VM whose head or body never ends."""

from __future__ import annotations

import asyncio
import contextlib
import time

from adapter import PlatformApi
from parameterized import parameterized
from testtools import TestCase

from cranberryseam.configuration.settings import RequestSettings
from cranberryseam.core.events import Announcement
from cranberryseam.serving.listener import open_socket, serve_app

# Upstreams call another node after a second.
ANSWERED_S = 1.0
RUN_S = 0.5
PATIENCE_S = 5.0
PAUSE_S = 0.02
MOST_READ = 4_000_000
PATH = b'PUT /cranberryseam/instances/i-1 HTTP/1.1\r\nHost: h\r\n'
CHUNKED = PATH + b'Transfer-Encoding: chunked\r\n\r\n'
LENGTH = PATH + b'Content-Length: 900000000\r\n\r\n'
PART = b'x' * 4096
LEAVE = (
    b'DELETE /cranberryseam/instances/i-2 HTTP/1.1\r\nHost: h\r\n'
    b'Connection: close\r\n\r\n'
)


class _Product:
    """Accepts every announcement."""

    async def submit(self, came: Announcement, _: object) -> None:
        """Accept an announcement."""


async def _flood(port: int, first: bytes, part: bytes, pause_s: float) -> int:
    """Send parts until the connection is closed; return what was sent."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    sent = 0
    with contextlib.suppress(ConnectionError, TimeoutError):
        writer.write(first)
        async with asyncio.timeout(RUN_S):
            while not reader.at_eof():
                writer.write(part)
                await writer.drain()
                sent += len(part)
                await asyncio.sleep(pause_s)
    writer.close()
    return sent


async def _leave(port: int) -> bytes:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(LEAVE)
    async with asyncio.timeout(PATIENCE_S):
        reply = await reader.read()
    writer.close()
    return reply


class EndlessCallTest(TestCase):
    """Guards against departures that wait behind bytes without an end."""

    @parameterized.expand(
        [
            ('noise', b'', PART, 0),
            ('head', PATH + b'x: ', PART, 0),
            ('headers', PATH, b'x: ' + PART + b'\r\n', 0),
            ('headers_slowly', PATH, b'x: y\r\n', PAUSE_S),
            ('chunks', CHUNKED, b'1000\r\n' + PART + b'\r\n', 0),
            ('chunk_size', CHUNKED, b'0' * 4096, 0),
            ('length', LENGTH, PART, 0),
            ('length_slowly', LENGTH, b'x', PAUSE_S),
        ]
    )
    def test_departure_beside_a_flood(
        self, _: str, first: bytes, part: bytes, pause_s: float
    ) -> None:
        """Another upstream's departure is answered in time meanwhile."""

        async def scenario() -> tuple[bytes, float, int]:
            stop = asyncio.Event()
            listener = open_socket('127.0.0.1:0')
            port = listener.getsockname()[1]
            product = _Product()
            app = PlatformApi.build(product, product)  # type: ignore[arg-type]
            limits = RequestSettings()
            server = asyncio.create_task(
                serve_app(app, listener, limits, stop.wait)
            )
            flood = asyncio.create_task(_flood(port, first, part, pause_s))
            await asyncio.sleep(RUN_S / 2)
            begun = time.monotonic()
            reply = await _leave(port)
            took_s = time.monotonic() - begun
            sent = await flood
            stop.set()
            await server
            return reply, took_s, sent

        reply, took_s, sent = asyncio.run(scenario())
        self.assertTrue(reply.startswith(b'HTTP/1.1 200'), reply)
        self.assertLess(took_s, ANSWERED_S)
        self.assertLess(sent, MOST_READ)
