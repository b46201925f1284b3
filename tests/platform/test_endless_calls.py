"""Tests of requests whose head or body never ends."""

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

# Upstreams try another node after one second.
REPLY_DEADLINE_S = 1.0
SEND_DURATION_S = 0.5
REPLY_TIMEOUT_S = 5.0
PAUSE_S = 0.02
MAX_SENT_BYTES = 4_000_000
PATH = b'PUT /cranberryseam/instances/i-1 HTTP/1.1\r\nHost: h\r\n'
CHUNKED = PATH + b'Transfer-Encoding: chunked\r\n\r\n'
LENGTH = PATH + b'Content-Length: 900000000\r\n\r\n'
CHUNK = b'x' * 4096
DEPARTURE = (
    b'DELETE /cranberryseam/instances/i-2 HTTP/1.1\r\nHost: h\r\n'
    b'Connection: close\r\n\r\n'
)


class _FakeApi:
    """API that accepts every announcement."""

    async def submit(self, announcement: Announcement, _: object) -> None:
        """Accept an announcement."""


async def _send_endlessly(
    port: int, start: bytes, chunk: bytes, pause_s: float
) -> int:
    """Send chunks until the connection closes; return the bytes sent."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    sent = 0
    with contextlib.suppress(ConnectionError, TimeoutError):
        writer.write(start)
        async with asyncio.timeout(SEND_DURATION_S):
            while not reader.at_eof():
                writer.write(chunk)
                await writer.drain()
                sent += len(chunk)
                await asyncio.sleep(pause_s)
    writer.close()
    return sent


async def _send_departure(port: int) -> bytes:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(DEPARTURE)
    async with asyncio.timeout(REPLY_TIMEOUT_S):
        reply = await reader.read()
    writer.close()
    return reply


class EndlessRequestTest(TestCase):
    """Guards against departures delayed by an endless request."""

    @parameterized.expand(
        [
            ('noise', b'', CHUNK, 0),
            ('head', PATH + b'x: ', CHUNK, 0),
            ('headers', PATH, b'x: ' + CHUNK + b'\r\n', 0),
            ('headers_slowly', PATH, b'x: y\r\n', PAUSE_S),
            ('chunks', CHUNKED, b'1000\r\n' + CHUNK + b'\r\n', 0),
            ('chunk_size', CHUNKED, b'0' * 4096, 0),
            ('length', LENGTH, CHUNK, 0),
            ('length_slowly', LENGTH, b'x', PAUSE_S),
        ]
    )
    def test_departure_during_endless_request(
        self, _: str, start: bytes, chunk: bytes, pause_s: float
    ) -> None:
        """The departure of another upstream is answered in time."""

        async def scenario() -> tuple[bytes, float, int]:
            stop = asyncio.Event()
            listener = open_socket('127.0.0.1:0')
            port = listener.getsockname()[1]
            api = _FakeApi()
            app = PlatformApi.build(api, api)  # type: ignore[arg-type]
            limits = RequestSettings()
            server = asyncio.create_task(
                serve_app(app, listener, limits, stop.wait)
            )
            sender = asyncio.create_task(
                _send_endlessly(port, start, chunk, pause_s)
            )
            await asyncio.sleep(SEND_DURATION_S / 2)
            started_at = time.monotonic()
            reply = await _send_departure(port)
            duration_s = time.monotonic() - started_at
            sent = await sender
            stop.set()
            await server
            return reply, duration_s, sent

        reply, duration_s, sent = asyncio.run(scenario())
        self.assertTrue(reply.startswith(b'HTTP/1.1 200'), reply)
        self.assertLess(duration_s, REPLY_DEADLINE_S)
        self.assertLess(sent, MAX_SENT_BYTES)
