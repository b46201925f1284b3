"""Tests of targets whose responses violate the protocol.

Each case runs with the project's own interface and with the platform's.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import struct
from collections.abc import Callable

import attrs
import testtools
import uvloop
from adapter import DIALECT
from expression import Ok, Result
from parameterized import parameterized

from cranberryseam.core.effects import Effect
from cranberryseam.core.events import (
    AnswerEnded,
    AnswerReady,
    AttemptFailed,
    Event,
)
from cranberryseam.core.notices import Notice, SlotAssigned
from cranberryseam.core.refusals import Refusal
from cranberryseam.routing.model import AdmitRequest
from cranberryseam.serving.dialect import DEFAULT_DIALECT, Dialect
from cranberryseam.types import AccountId, Output, TargetId
from tests.requests.fakes import FakeCollaborators, build_coordinator

from .harness import (
    ForwardingReducer,
    GatewayFixture,
    read_request,
    respond_once,
    run_gateway,
    run_target,
)


@attrs.frozen
class _Interface:
    """Requests and responses of one interface.

    Parameters
    ----------
    refusal_line
        Header by which the target states that it didn't run a request.
    response_lines
        Headers of each response to the request.

    """

    name: str
    dialect: Dialect
    refusal_line: bytes
    request_id: bytes = b''
    response_lines: bytes = b''

    def build_request(self) -> bytes:
        """Return a request that must not be repeated."""
        return (
            b'POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n'
            b'%bContent-Length: 2\r\n\r\nhi' % self.request_id
        )

    def build_response(self, status: bytes, lines: bytes, body: bytes) -> bytes:
        """Return a whole response."""
        return b'HTTP/1.1 %b\r\n%b%bContent-Length: %d\r\n\r\n%b' % (
            status,
            self.response_lines,
            lines,
            len(body),
            body,
        )

    @property
    def answer(self) -> bytes:
        """The response to a request that ran."""
        return self.build_response(b'200 OK', b'', b'done')

    @property
    def refusal(self) -> bytes:
        """The response to a request that didn't run."""
        return self.build_response(b'503 Full', self.refusal_line, b'full')


_INTERFACES = (
    _Interface('own', DEFAULT_DIALECT, b'Cranberryseam-Not-Run: 1\r\n'),
    _Interface(
        'platform',
        DIALECT,
        b'Not-Executed: 1\r\n',
        b'Request-Id: r1\r\n',
        b'Request-Id: r1\r\nResponse-Seal: s\r\n',
    ),
)


@attrs.define(eq=False)
class _RepeatingTarget:
    """Refuses the first request and repeats the refusal on its connection.

    Parameters
    ----------
    at_once
        Whether the refusal is repeated at once, or when the next request of
        the connection has been read.

    """

    interface: _Interface
    at_once: bool
    received: int = 0
    executed: int = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        refused = False
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await read_request(reader)
                self.received += 1
                if self.received == 1:
                    refused = True
                    copies = 2 if self.at_once else 1
                    writer.write(self.interface.refusal * copies)
                    continue
                if refused and not self.at_once:
                    writer.write(self.interface.refusal)
                self.executed += 1
                writer.write(self.interface.answer)
        writer.close()


# Time in which bytes arrive on the same machine.
_PAUSE_S = 0.05


class RepeatedRefusalTest(testtools.TestCase):
    """A target writes an earlier refusal once more on a kept connection."""

    @parameterized.expand(
        [
            (f'{interface.name}_{"at_once" if at_once else "later"}',)
            + (interface, at_once)
            for interface, at_once in itertools.product(
                _INTERFACES, (True, False)
            )
        ]
    )
    def test_next_request(
        self, _: str, interface: _Interface, at_once: bool
    ) -> None:
        """Guards against "not run" for a request that the target runs."""
        target = _RepeatingTarget(interface, at_once)
        reducer = ForwardingReducer()

        async def scenario() -> list[bytes]:
            async with (
                run_target(target.serve) as reducer.port,
                run_gateway(reducer, interface.dialect) as fixture,
            ):
                return [
                    await fixture.send_raw(interface.build_request())
                    for _ in range(2)
                ]

        first, second = asyncio.run(scenario())
        self.assertTrue(first.startswith(b'HTTP/1.1 503'), first)
        self.assertTrue(second.endswith(b'done'), second)
        self.assertEqual(1, target.executed)
        self.assertEqual(
            [True, False],
            [event.not_run for event in reducer.events_of(AnswerReady)],
        )


class RepeatedAnswerTest(testtools.TestCase):
    """A target writes a whole response twice on a kept connection."""

    @parameterized.expand([(each.name, each) for each in _INTERFACES])
    def test_next_request(self, _: str, interface: _Interface) -> None:
        """Guards against the answer of an earlier request for a later one."""
        ids = (b'r1', b'r2')
        answers = (
            interface.build_response(b'200 OK', b'', request_id)
            for request_id in ids
        )

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(
                asyncio.IncompleteReadError, ConnectionError
            ):
                while True:
                    await read_request(reader)
                    writer.write(next(answers) * 2)
            writer.close()

        async def scenario() -> list[bytes]:
            reducer = ForwardingReducer()
            request = interface.build_request()
            async with (
                run_target(serve) as reducer.port,
                run_gateway(reducer, interface.dialect) as fixture,
            ):
                return [
                    await fixture.send_raw(request.replace(b'r1', request_id))
                    for request_id in ids
                ]

        first, second = asyncio.run(scenario())
        self.assertTrue(first.endswith(b'r1'), first)
        self.assertFalse(second.endswith(b'r1'), second)


@attrs.define(eq=False)
class _LateCopyTarget:
    """Repeats the end or the whole of its last response, late.

    Parameters
    ----------
    copied
        Number of bytes of the response, from its end, that are repeated.
    read_first
        Whether it waits for the next request before it repeats them.

    """

    interface: _Interface
    copied: int
    read_first: bool
    repeated: asyncio.Event = attrs.field(factory=asyncio.Event)
    answered: int = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            response = self._respond(await read_request(reader))
            writer.write(response)
            if not self.read_first:
                await writer.drain()
                await asyncio.sleep(_PAUSE_S)
                writer.write(response[-self.copied :])
                await asyncio.sleep(_PAUSE_S)
                self.repeated.set()
            while True:
                request = await read_request(reader)
                if self.read_first:
                    writer.write(response[-self.copied :])
                writer.write(self._respond(request))
        writer.close()

    def _respond(self, request: bytes) -> bytes:
        self.answered += 1
        lines = b''.join(
            line + b'\r\n'
            for line in request.split(b'\r\n')
            if line.lower().startswith(
                (b'cranberryseam-attempt', b'request-id')
            )
        )
        body = b'answer %d' % self.answered
        interface = attrs.evolve(
            self.interface, response_lines=b'Response-Seal: s\r\n'
        )
        return interface.build_response(b'200 OK', lines, body)


class LateCopyTest(testtools.TestCase):
    """A target sends a copy of a response after the response."""

    @parameterized.expand(
        [
            (f'{each.name}_{copied}_{"in_use" if read_first else "idle"}',)
            + (each, copied, read_first)
            for each in _INTERFACES
            for copied, read_first in ((1, False), (8, False), (999, False))
            + ((999, True),)
        ]
    )
    def test_next_request(
        self, _: str, interface: _Interface, copied: int, read_first: bool
    ) -> None:
        """Guards against the answer of an earlier request for a later one."""
        target = _LateCopyTarget(interface, copied, read_first)

        async def scenario() -> list[bytes]:
            reducer = ForwardingReducer()
            request = interface.build_request()
            replies = []
            async with (
                run_target(target.serve) as reducer.port,
                run_gateway(reducer, interface.dialect) as fixture,
            ):
                for request_id in (b'r1', b'r2'):
                    own = request.replace(b'r1', request_id)
                    replies.append(await fixture.send_raw(own))
                    if not read_first:
                        await target.repeated.wait()
            return replies

        first, second = asyncio.run(scenario())
        self.assertTrue(first.endswith(b'answer 1'), first)
        if read_first:
            # The request may run, so it isn't sent to another target.
            self.assertTrue(second.startswith(b'HTTP/1.1 502'), second)
        else:
            self.assertTrue(second.endswith(b'answer 2'), second)


@attrs.define(eq=False)
class _UnnamedCopyTarget:
    """Repeats its first response without the identifier of the request.

    Parameters
    ----------
    status, line
        Status line and a header of the first response.
    at_once
        Whether the copy follows the first response at once, or when the next
        request of the connection has been read.

    """

    status: bytes
    line: bytes
    at_once: bool

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            request = await read_request(reader)
            writer.write(self._respond(request, self.status, self.line))
            copy = self._respond(b'', self.status, self.line)
            if self.at_once:
                writer.write(copy)
            while True:
                request = await read_request(reader)
                if not self.at_once:
                    writer.write(copy)
                writer.write(self._respond(request, b'200 OK', b''))
        writer.close()

    def _respond(self, request: bytes, status: bytes, line: bytes) -> bytes:
        lines = b''.join(
            echoed + b'\r\n'
            for echoed in request.split(b'\r\n')
            if echoed.lower().startswith(b'request-id')
        )
        interface = attrs.evolve(
            _INTERFACES[1], response_lines=b'Response-Seal: s\r\n'
        )
        return interface.build_response(status, lines + line, status[:3])


class UnnamedCopyTest(testtools.TestCase):
    """A copy of an earlier response has no identifier of a request."""

    @parameterized.expand(
        [
            (f'{status[:3].decode()}_{"at_once" if at_once else "in_use"}',)
            + (status, line, at_once)
            for (status, line), at_once in itertools.product(
                (
                    (b'200 OK', b''),
                    (b'404 Not Found', b''),
                    (b'500 Failed', b''),
                    (b'503 Full', b'Retry-After: 1\r\n'),
                ),
                (True, False),
            )
        ]
    )
    def test_next_request(
        self, _: str, status: bytes, line: bytes, at_once: bool
    ) -> None:
        """Guards against the answer of an earlier request for a later one."""
        target = _UnnamedCopyTarget(status, line, at_once)

        async def scenario() -> list[bytes]:
            reducer = ForwardingReducer()
            request = _INTERFACES[1].build_request()
            async with (
                run_target(target.serve) as reducer.port,
                run_gateway(reducer, DIALECT) as fixture,
            ):
                return [
                    await fixture.send_raw(request.replace(b'r1', request_id))
                    for request_id in (b'r1', b'r2')
                ]

        first, second = asyncio.run(scenario())
        self.assertTrue(first.endswith(status[:3]), first)
        if at_once:
            # The copy is noticed before its connection is used again.
            self.assertNotIn(b'HTTP/1.1 502', second)
        else:
            # The request may run, so it isn't sent to another target.
            self.assertTrue(second.startswith(b'HTTP/1.1 502'), second)


@attrs.define(slots=False)
class _OneTarget(FakeCollaborators):
    """Grants every request and sends it to one target."""

    port: int = 0

    def check(self, key_hash: bytes, at: float) -> Result[AccountId, Refusal]:
        """Accept any key."""
        return Ok(AccountId('asha'))

    def admit(self, request: AdmitRequest, at: float) -> list[Output]:
        """Assign a slot at the target."""
        target = TargetId('t0')
        return [
            SlotAssigned(at, request.request_id, target, '127.0.0.1', self.port)
        ]


class _CoordinatedReducer(ForwardingReducer):
    """Decides by the coordinator of requests instead of a script."""

    def __init__(self, fakes: _OneTarget) -> None:
        super().__init__()
        self._coordinator = build_coordinator(fakes)

    def decide(self, event: Event | Notice) -> list[Effect]:
        """Return the effects of an event and of the notices it causes."""
        effects: list[Effect] = []
        for output in self._coordinator.handle(event):
            if isinstance(output, Notice):
                effects += self.decide(output)
            else:
                effects.append(output)
        return effects


class UnconfirmedRefusalTest(testtools.TestCase):
    """A target refuses a request without stating that it did not run."""

    @parameterized.expand(
        [
            ('408', b'408 Timeout', b'', b'502'),
            ('429', b'429 Too Many', b'', b'502'),
            ('503', b'503 Failed', b'', b'502'),
            ('503_stated', b'503 Full', b'Not-Executed: 1\r\n', b'503'),
            ('500', b'500 Failed', b'', b'500'),
        ]
    )
    def test_request_that_runs_once(
        self, _: str, status: bytes, line: bytes, expected: bytes
    ) -> None:
        """Guards against "not run" for a request that may have run."""
        interface = _INTERFACES[1]
        response = interface.build_response(status, line, b'own')
        fakes = _OneTarget(retries=0)
        request = interface.build_request().replace(
            b'POST /a HTTP/1.1\r\n',
            b'POST /pay HTTP/1.1\r\nAuthorization: Token k\r\n',
        )

        async def scenario() -> bytes:
            async with (
                run_target(respond_once(response)) as fakes.port,
                run_gateway(
                    _CoordinatedReducer(fakes), interface.dialect
                ) as fixture,
            ):
                return await fixture.send_raw(request)

        reply = asyncio.run(scenario())
        self.assertEqual(expected, reply[9:12], reply)


class CutResponseTest(testtools.TestCase):
    """A target closes its connection within a response."""

    @parameterized.expand(
        [
            (f'{interface.name}_{framing}', interface, framing)
            for interface, framing in itertools.product(
                _INTERFACES, ('length', 'chunked', 'until_close')
            )
        ]
    )
    def test_every_prefix(
        self, _: str, interface: _Interface, framing: str
    ) -> None:
        """Guards against a cut response that callers get framed as whole.

        A response without a length is whole once its connection is closed, so
        only its head is cut.
        """
        reducer = ForwardingReducer()
        head = b'HTTP/1.1 200 OK\r\n%b' % interface.response_lines
        answer = {
            'length': interface.answer,
            'chunked': head
            + b'Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n',
            'until_close': head + b'\r\n',
        }[framing]

        async def call(fixture: GatewayFixture, length: int) -> bytes:
            async with run_target(respond_once(answer[:length])) as port:
                reducer.port = port
                return await fixture.send_raw(interface.build_request())

        async def scenario() -> list[bytes]:
            async with run_gateway(reducer, interface.dialect) as fixture:
                return [
                    await call(fixture, length) for length in range(len(answer))
                ]

        replies = asyncio.run(scenario())
        self.assertEqual(
            [], [reply for reply in replies if reply[9:12] != b'502']
        )
        self.assertEqual([], reducer.events_of(AnswerReady))
        self.assertEqual(len(answer), len(reducer.events_of(AttemptFailed)))


@attrs.frozen
class _ResetTarget:
    """Sends a part of a response without a length and resets its connection.

    Parameters
    ----------
    part
        The part of the body that is sent.
    at_once
        Whether the reset follows the part at once.

    """

    part: bytes
    at_once: bool

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await read_request(reader)
        writer.write(b'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n')
        writer.write(b'Response-Seal: s\r\n\r\n%b' % self.part)
        await writer.drain()
        if not self.at_once:
            await asyncio.sleep(_PAUSE_S)
        linger = struct.pack('ii', 1, 0)
        connection = writer.get_extra_info('socket')
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()


# Below and above the size that is buffered before a response is forwarded.
_SMALL_PART = b'x' * 300
_LARGE_PART = b'x' * 200_000
_LOOPS = (
    ('asyncio', asyncio.new_event_loop),
    ('uvloop', uvloop.new_event_loop),
)


class ResetResponseTest(testtools.TestCase):
    """A target resets its connection within a response without a length."""

    @parameterized.expand(
        [
            (f'{loop}_{"at_once" if at_once else "later"}', new_loop, at_once)
            for (loop, new_loop), at_once in itertools.product(
                _LOOPS, (True, False)
            )
        ]
    )
    def test_buffered(
        self,
        _: str,
        new_loop: Callable[[], asyncio.AbstractEventLoop],
        at_once: bool,
    ) -> None:
        """Guards against a reset response that callers get framed as whole."""
        reducer = ForwardingReducer()
        reply = self.call(reducer, new_loop, _ResetTarget(_SMALL_PART, at_once))
        self.assertTrue(reply.startswith(b'HTTP/1.1 502'), reply)
        self.assertEqual([], reducer.events_of(AnswerReady))
        (failed,) = reducer.events_of(AttemptFailed)
        self.assertTrue(failed.sent)

    @parameterized.expand(_LOOPS)
    def test_forwarded(
        self, _: str, new_loop: Callable[[], asyncio.AbstractEventLoop]
    ) -> None:
        """Guards against an end that marks a forwarded part as whole."""
        reducer = ForwardingReducer()
        target = _ResetTarget(_LARGE_PART, at_once=False)
        reply = self.call(reducer, new_loop, target)
        head, _separator, body = reply.partition(b'\r\n\r\n')
        self.assertTrue(head.startswith(b'HTTP/1.1 200'), head)
        self.assertIn(b'transfer-encoding: chunked', head.lower())
        self.assertNotIn(b'content-length', head.lower())
        self.assertFalse(body.endswith(b'\r\n0\r\n\r\n'))
        (ended,) = reducer.events_of(AnswerEnded)
        self.assertFalse(ended.complete)

    def call(
        self,
        reducer: ForwardingReducer,
        new_loop: Callable[[], asyncio.AbstractEventLoop],
        target: _ResetTarget,
    ) -> bytes:
        """Return what the caller of a target receives."""
        interface = _INTERFACES[1]

        async def scenario() -> bytes:
            async with (
                run_target(target.serve) as reducer.port,
                run_gateway(reducer, interface.dialect) as fixture,
            ):
                return await fixture.send_raw(interface.build_request())

        with asyncio.Runner(loop_factory=new_loop) as runner:
            return runner.run(scenario())
