"""Connections between VMs that go silent without a reset."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import attrs
from testtools import TestCase

from cranberryseam.assembly import build_codec
from cranberryseam.attachment.messages import LeaderHint
from cranberryseam.configuration.settings import StatsdSettings
from cranberryseam.core.effects import SendMessage
from cranberryseam.core.events import MessageReceived
from cranberryseam.daemon.metrics import Metrics
from cranberryseam.daemon.peers import SILENT_S, Link, Peers, open_peers
from cranberryseam.types import VmId

POLL_S = 0.1
# A silent connection is replaced after 1 s.
REPLACED_S = 3.0
HINT = LeaderHint('', ())


def _find_address() -> str:
    with socket.create_server(('127.0.0.1', 0)) as listener:
        return f'127.0.0.1:{listener.getsockname()[1]}'


@attrs.define(eq=False)
class _Proxy:
    """Passes bytes on; connections opened before ``silence`` swallow them."""

    target: str
    generation: int = 0

    def silence(self) -> None:
        self.generation += 1

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target.partition(':')
        other_reader, other_writer = await asyncio.open_connection(host, port)
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
    """One end; counts what it receives."""

    peers: Peers
    other: VmId
    received: int = 0

    def take(self, event: MessageReceived) -> None:
        self.received += 1
        assert event.sender == self.other

    async def send_often(self) -> None:
        while True:
            self.peers.execute(SendMessage(self.other, HINT))
            await asyncio.sleep(POLL_S)


@contextlib.asynccontextmanager
async def _run_pair() -> AsyncIterator[tuple[_Vm, _Vm, _Proxy]]:
    codec = build_codec()
    metrics = Metrics(StatsdSettings())
    addresses = (_find_address(), _find_address())
    proxy = _Proxy(addresses[1])
    server = await asyncio.start_server(proxy.serve, '127.0.0.1', 0)
    through = server.sockets[0].getsockname()[1]
    with (
        open_peers(VmId('a'), addresses[0], codec, metrics) as first,
        open_peers(VmId('b'), addresses[1], codec, metrics) as second,
    ):
        first.register(VmId('b'), f'127.0.0.1:{through}')
        second.register(VmId('a'), addresses[0])
        one = _Vm(first, VmId('b'))
        other = _Vm(second, VmId('a'))
        clock = asyncio.get_running_loop().time
        tasks = [
            asyncio.create_task(coroutine)
            for vm in (one, other)
            for coroutine in (
                vm.peers.receive(clock, vm.take),
                vm.send_often(),
            )
        ]
        yield one, other, proxy
        for task in tasks:
            task.cancel()
        server.close()


class SilentLinkTest(TestCase):
    """One direction swallows messages while the other works."""

    def test_silent_direction_is_dialled_again(self) -> None:
        """Guards against replies that never arrive although polls do.

        Found by hunt-119b-7: VMs that had been cut off for 10 s stayed
        without the leader's replies for 6 s more.
        """

        async def scenario() -> int:
            async with _run_pair() as (_one, other, proxy):
                await asyncio.sleep(10 * POLL_S)
                assert other.received
                proxy.silence()
                await asyncio.sleep(POLL_S)
                before = other.received
                await asyncio.sleep(REPLACED_S)
                return other.received - before

        self.assertGreater(asyncio.run(scenario()), 5)


class LinkTest(TestCase):
    """Numbers by which a silent connection is noticed."""

    def test_number_of_an_earlier_run(self) -> None:
        """Guards against a silent connection after a step of the clock.

        Numbers begin at the time of day. After a restart with the clock set
        back, the other side still names a higher number of the run before.
        """
        link = Link(sent=1_000, acknowledged=1_000)
        link.note_receipt(number=1, heard=9_000, now=1)
        link.note_send(now=1)
        self.assertFalse(link.is_silent(1))
        self.assertTrue(link.is_silent(1 + SILENT_S))
