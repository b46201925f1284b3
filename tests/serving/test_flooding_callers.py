"""Tests of callers that send faster than their requests are handled."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import multiprocessing
import time
from collections.abc import Iterator
from multiprocessing.synchronize import Event

import testtools
from parameterized import parameterized

from cranberryseam.core.effects import Effect, RefuseRequest
from cranberryseam.core.events import RequestArrived
from cranberryseam.core.refusals import Executed, Refusal, RefusalReason

from .harness import (
    GET,
    OK,
    WAIT_TIMEOUT_S,
    ForwardingReducer,
    respond_once,
    run_gateway,
    run_target,
)

DURATION_S = 1.0
UPLOAD = (
    b'POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n'
    b'Content-Length: 60000\r\n\r\n' + b'short line\r\n' * 5000
)
# Time in which another caller's request has to be answered.
MAX_OTHER_DURATION_S = 0.25
FLOODING_CONNECTIONS = 96
FLOOD = b'POST /flood HTTP/1.1\r\nHost: h\r\n'
CHUNKS = b'1\r\nx\r\n' * 30_000
LINES = b'x:y\r\n' * 6000
HTTP2 = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0'
PING = b'\0\0\x08\6\0\0\0\0\0' + bytes(8)
WINDOW_UPDATE = b'\0\0\4\x08\0\0\0\0\0\0\0\0\1'
FLOODS = (
    (
        'chunks_of_1',
        FLOOD + b'Transfer-Encoding: chunked\r\n\r\n' + CHUNKS + b'0\r\n\r\n',
    ),
    ('header_lines', FLOOD + LINES + b'\r\n'),
    (
        'trailer_lines',
        FLOOD + b'Transfer-Encoding: chunked\r\n\r\n0\r\n' + LINES + b'\r\n',
    ),
    ('pipelined', b'GET /flood HTTP/1.1\r\nHost: h\r\n\r\n' * 500),
    ('reserved_path', b'GET /-/x HTTP/1.1\r\nHost: h\r\n\r\n' * 500),
    ('http2_pings', HTTP2 + PING * 10_000),
    ('http2_updates', HTTP2 + WINDOW_UPDATE * 10_000),
)


@contextlib.contextmanager
def flood(port: int, piece: bytes) -> Iterator[None]:
    """Send without pause from another process until the end of the context."""
    context = multiprocessing.get_context('spawn')
    started = context.Event()
    process = context.Process(target=run_flood, args=(port, piece, started))
    process.start()
    try:
        started.wait(WAIT_TIMEOUT_S)
        yield
    finally:
        process.kill()
        process.join()


def run_flood(port: int, piece: bytes, started: Event) -> None:
    """Send on all connections until the process is killed."""
    logging.disable()
    asyncio.run(send_on_all(port, piece, started))


async def send_on_all(port: int, piece: bytes, started: Event) -> None:
    """Open the connections and send on all of them."""
    async with asyncio.TaskGroup() as tasks:
        for _ in range(FLOODING_CONNECTIONS):
            tasks.create_task(send_repeatedly(port, piece))
        started.set()


async def send_repeatedly(port: int, piece: bytes) -> None:
    """Send on a connection, and on another one if the peer closes it."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            replies = asyncio.create_task(discard(reader))
            while not replies.done():
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)
            writer.transport.abort()


async def discard(reader: asyncio.StreamReader) -> None:
    """Read until the peer closes the connection."""
    with contextlib.suppress(OSError):
        while await reader.read(65_536):
            await asyncio.sleep(0)


async def measure_other_caller(piece: bytes) -> list[float]:
    """Return how long requests of another caller take beside a flood."""

    def decide(event: RequestArrived) -> list[Effect]:
        if event.head.path == '/flood':
            refusal = Refusal(RefusalReason.route_unknown, Executed.no)
            return [RefuseRequest(event.request_id, refusal)]
        return reducer.decide(event)

    reducer = ForwardingReducer(rules={RequestArrived: decide})
    durations_s: list[float] = []
    async with (
        run_target(respond_once(OK)) as reducer.port,
        run_gateway(reducer) as fixture,
    ):
        with flood(fixture.port, piece):
            ends_at = time.monotonic() + DURATION_S
            while time.monotonic() < ends_at:
                durations_s.append(await call(fixture.port, GET))
                durations_s.append(await call(fixture.port, UPLOAD))
    return durations_s


async def call(port: int, request: bytes) -> float:
    """Return how long a request from another address takes."""
    started_at = time.monotonic()
    reader, writer = await asyncio.open_connection(
        '127.0.0.1', port, local_addr=('127.0.0.2', 0)
    )
    writer.write(request)
    reply = await reader.read()
    writer.close()
    if not reply.endswith(b'\r\n\r\nok'):
        raise AssertionError(f'expected the answer of the target, got {reply}')
    return time.monotonic() - started_at


class FloodingCallersTest(testtools.TestCase):
    """One address floods a VM on many connections."""

    @parameterized.expand(FLOODS)
    def test_other_caller(self, _: str, piece: bytes) -> None:
        """Guards against an event loop that one caller occupies.

        Requests of all other callers took as long as all connections of that
        caller together need.
        """
        durations_s = asyncio.run(measure_other_caller(piece))
        self.assertLess(max(durations_s), MAX_OTHER_DURATION_S)


class TooManyLinesTest(testtools.TestCase):
    """Guards against heads whose lines take long to parse."""

    @parameterized.expand(
        [
            ('head', b'x:y\r\n' * 257 + b'\r\n'),
            ('long_head', LINES + b'\r\n'),
            (
                'trailers',
                b'Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n'
                + LINES
                + b'\r\n',
            ),
        ]
    )
    def test_refused(self, _: str, rest: bytes) -> None:
        """The caller is told so, and nothing reaches a target."""

        async def scenario() -> bytes:
            async with run_gateway(reducer) as fixture:
                return await fixture.send_raw(FLOOD + rest)

        reducer = ForwardingReducer()
        reply = asyncio.run(scenario())
        self.assertEqual(b'HTTP/1.1 400', reply[:12])
        self.assertEqual([], reducer.events)

    def test_few_lines(self) -> None:
        """A head below the limit is served, however short its lines are."""

        async def scenario() -> bytes:
            async with (
                run_target(respond_once(OK)) as reducer.port,
                run_gateway(reducer) as fixture,
            ):
                return await fixture.send_raw(
                    GET[:-2] + b'x:y\r\n' * 250 + b'\r\n'
                )

        reducer = ForwardingReducer()
        self.assertTrue(asyncio.run(scenario()).endswith(b'\r\n\r\nok'))
