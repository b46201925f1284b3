"""Tests of connections that lose messages without a reset."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import attrs
from testtools import TestCase

from cranberryseam.assembly import build_codec
from cranberryseam.attachment.messages import LeaderHint
from cranberryseam.configuration.settings import StatsdSettings
from cranberryseam.core.effects import SendMessage
from cranberryseam.core.events import MessageReceived
from cranberryseam.daemon.metrics import Metrics
from cranberryseam.daemon.peers import ACK_TIMEOUT_S, Link, Peers, open_peers
from cranberryseam.types import VmId

POLL_S = 0.1
# A stalled connection is replaced after 1 s.
RECONNECT_WAIT_S = 3.0
HINT = LeaderHint('', ())
ANY_PORT = '127.0.0.1:0'


@attrs.define(eq=False)
class _Proxy:
    """Forward bytes; ``stall`` drops them on the connections open so far."""

    target: str
    generation: int = 0

    def stall(self) -> None:
        self.generation += 1

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target.partition(':')
        other_reader, other_writer = await asyncio.open_connection(host, port)
        # Writers that are finalised after the loop has closed raise.
        with contextlib.closing(writer), contextlib.closing(other_writer):
            await asyncio.gather(
                self._copy(reader, other_writer, self.generation),
                self._copy(other_reader, writer, self.generation),
            )

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        generation: int,
    ) -> None:
        while chunk := await reader.read(65_536):
            if generation == self.generation:
                writer.write(chunk)


@attrs.define(eq=False)
class _Vm:
    """One endpoint that counts the messages it receives."""

    peers: Peers
    other: VmId
    received: int = 0

    def count_message(self, event: MessageReceived) -> None:
        self.received += 1
        assert event.sender == self.other

    async def send_periodically(self) -> None:
        while True:
            self.peers.execute(SendMessage(self.other, HINT))
            await asyncio.sleep(POLL_S)


@contextlib.asynccontextmanager
async def _run_pair() -> AsyncIterator[tuple[_Vm, _Vm, _Proxy]]:
    codec = build_codec()
    metrics = Metrics(StatsdSettings())
    with (
        open_peers(VmId('a'), ANY_PORT, codec, metrics) as first,
        open_peers(VmId('b'), ANY_PORT, codec, metrics) as second,
    ):
        proxy = _Proxy(second.address)
        server = await asyncio.start_server(proxy.serve, '127.0.0.1', 0)
        proxy_port = server.sockets[0].getsockname()[1]
        first.register(VmId('b'), f'127.0.0.1:{proxy_port}')
        second.register(VmId('a'), first.address)
        one = _Vm(first, VmId('b'))
        other = _Vm(second, VmId('a'))
        clock = asyncio.get_running_loop().time
        tasks = [
            asyncio.create_task(coroutine)
            for vm in (one, other)
            for coroutine in (
                vm.peers.receive(clock, vm.count_message),
                vm.send_periodically(),
            )
        ]
        yield one, other, proxy
        for task in tasks:
            task.cancel()
        server.close()


class StalledConnectionTest(TestCase):
    """One direction loses messages while the other one works."""

    def test_stalled_direction_is_reconnected(self) -> None:
        """Guards against lost replies on a link whose requests arrive.

        Found by hunt-119b-7: after a partition of 10 s, VMs received no
        replies from the leader for another 6 s.
        """

        async def scenario() -> int:
            async with _run_pair() as (_one, other, proxy):
                await asyncio.sleep(10 * POLL_S)
                assert other.received
                proxy.stall()
                await asyncio.sleep(POLL_S)
                before = other.received
                await asyncio.sleep(RECONNECT_WAIT_S)
                return other.received - before

        self.assertGreater(asyncio.run(scenario()), 5)


class LinkTest(TestCase):
    """Detection of stalled connections by sequence numbers."""

    def test_acknowledgement_of_an_earlier_run(self) -> None:
        """Guards against an undetected stall after a backward clock step.

        Initial sequence numbers are derived from the wall clock. After a
        restart with the clock set back, the other side still acknowledges a
        higher number of the previous run.
        """
        link = Link(last_sent=1_000, acknowledged=1_000)
        link.record_receipt(number=1, acknowledged=9_000, now=1)
        link.record_send(now=1)
        self.assertFalse(link.detect_stall(1))
        self.assertTrue(link.detect_stall(1 + ACK_TIMEOUT_S))
