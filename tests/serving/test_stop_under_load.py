"""Tests of a stop while callers open connections and send requests."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter

import testtools
from parameterized import parameterized

from cranberryseam.core.effects import SetReadiness

from .harness import (
    GET,
    OK,
    WAIT_TIMEOUT_S,
    ForwardingReducer,
    GatewayFixture,
    read_request,
    run_gateway,
    run_target,
)

CALLERS = 60
WORK_S = 0.05
PAUSE_S = 0.01
LOAD_S = 0.4
KEPT = GET.replace(b'Connection: close\r\n', b'')


async def _serve_target(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with (
        contextlib.closing(writer),
        contextlib.suppress(asyncio.IncompleteReadError, ConnectionError),
    ):
        while True:
            await read_request(reader)
            await asyncio.sleep(WORK_S)
            writer.write(OK)


class _Caller:
    """Sends requests until it gets no more connections."""

    def __init__(self, port: int, request: bytes) -> None:
        self._port = port
        self._request = request
        self._replies: Counter[bool] = Counter()

    async def run(self, number: int) -> Counter[bool]:
        """Return how many requests got an answer, and how many got none."""
        await asyncio.sleep(number * PAUSE_S / CALLERS)
        with contextlib.suppress(OSError):
            while True:
                await self._use_connection(
                    *await asyncio.open_connection('127.0.0.1', self._port)
                )
        return self._replies

    async def _use_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.closing(writer):
            is_open = True
            while is_open and not reader.at_eof():
                writer.write(self._request)
                head = await self._read_reply(reader)
                self._replies[bool(head)] += 1
                is_open = bool(head) and b'close' not in head.lower()
                await asyncio.sleep(PAUSE_S)

    async def _read_reply(self, reader: asyncio.StreamReader) -> bytes:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b'\r\n\r\n')
            await reader.readexactly(2)
            return head
        return b''


class StopUnderLoadTest(testtools.TestCase):
    """Callers use the VM until it accepts no more connections."""

    @parameterized.expand(
        [
            (f'{name}_{delay_ms}_ms', request, delay_ms / 1000)
            for name, request in (('new', GET), ('kept', KEPT))
            for delay_ms in (0, 3, 7, 20)
        ]
    )
    def test_accepted_requests(
        self, _: str, request: bytes, delay_s: float
    ) -> None:
        """Guards against requests that are accepted and then cut off.

        The listener was closed with connections in its queue, and connections
        without a request yet were closed at once.
        """

        async def scenario(fixture: GatewayFixture) -> Counter[bool]:
            callers = [
                asyncio.create_task(_Caller(fixture.port, request).run(number))
                for number in range(CALLERS)
            ]
            await asyncio.sleep(LOAD_S)
            fixture.gateway.execute(SetReadiness(ready=False))
            await asyncio.sleep(WORK_S + delay_s)
            fixture.stop.set()
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                counts = await asyncio.gather(*callers)
            return sum(counts, Counter())

        async def run() -> Counter[bool]:
            reducer = ForwardingReducer()
            async with (
                run_target(_serve_target) as reducer.port,
                run_gateway(reducer) as fixture,
            ):
                return await scenario(fixture)

        replies = asyncio.run(run())
        self.assertGreater(replies[True], CALLERS)
        self.assertEqual(0, replies[False])
