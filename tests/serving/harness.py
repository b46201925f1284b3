"""Gateway with a scripted reducer, for tests over real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs

from cranberryseam.configuration.settings import (
    Addresses,
    AdminSettings,
    RequestSettings,
    Settings,
    VmSettings,
)
from cranberryseam.core.effects import (
    CancelAttempt,
    Effect,
    ForwardAnswer,
    RefuseRequest,
    SetReadiness,
    StartAttempt,
)
from cranberryseam.core.events import (
    AnswerReady,
    AttemptFailed,
    Event,
    RequestArrived,
)
from cranberryseam.core.refusals import Executed, Refusal, RefusalReason
from cranberryseam.serving import Gateway, open_socket, serve_app
from cranberryseam.serving.dialect import DEFAULT_DIALECT, Dialect
from cranberryseam.types import AttemptId, TargetId

WAIT_TIMEOUT_S = 5.0
Handler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


def make_settings(key_hash: str = '', **requests: int | float) -> Settings:
    return Settings(
        vm=VmSettings('vm-1', 'luzon', 'luzon-1'),
        addresses=Addresses(peers='127.0.0.1:0'),
        regions=('luzon',),
        requests=RequestSettings(**requests),
        admin=AdminSettings(key_hash),
    )


@attrs.define(eq=False)
class ForwardingReducer:
    """Sends every request to one target and forwards the response.

    Parameters
    ----------
    rules
        Functions that replace ``decide`` for an event type.

    """

    port: int = 0
    timeout_s: float = WAIT_TIMEOUT_S
    keep_answer: bool = False
    rules: dict[type[Event], Callable[[Event], list[Effect]]] = attrs.field(
        factory=dict
    )
    events: list[Event] = attrs.field(factory=list)
    execute: Callable[[Effect], bool] | None = None
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def dispatch(self, event: Event) -> None:
        self.events.append(event)
        self.changed.set()
        rule = self.rules.get(type(event), self.decide)
        for effect in rule(event):
            self.execute(effect)

    def decide(self, event: Event) -> list[Effect]:
        match event:
            case RequestArrived():
                return [self.start(event.request_id)]
            case AnswerReady():
                return [ForwardAnswer(event.request_id, event.attempt_id)]
            case AttemptFailed():
                executed = Executed.unknown if event.sent else Executed.no
                refusal = Refusal(RefusalReason.outcome_unknown, executed)
                return [RefuseRequest(event.request_id, refusal)]
        return []

    def start(self, request_id: int, attempt_id: int = 1) -> StartAttempt:
        return StartAttempt(
            request_id,
            AttemptId(attempt_id),
            TargetId('target-1'),
            '127.0.0.1',
            self.port,
            self.timeout_s,
            self.keep_answer,
        )

    def events_of(self, kind: type) -> list:
        return [event for event in self.events if isinstance(event, kind)]

    async def wait_for(self, kind: type, count: int = 1) -> list:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while len(self.events_of(kind)) < count:
                self.changed.clear()
                await self.changed.wait()
        return self.events_of(kind)


@attrs.define(eq=False)
class GatewayFixture:
    """A running gateway and its scripted reducer."""

    gateway: Gateway
    reducer: ForwardingReducer
    port: int
    counter_names: list[str]
    stop: asyncio.Event
    server: asyncio.Task[None]

    async def send_raw(self, raw: bytes) -> bytes:
        """Send bytes and return what is received until the peer closes."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        writer.write(raw)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            reply = await read_until_closed(reader)
        writer.close()
        return reply


async def read_until_closed(reader: asyncio.StreamReader) -> bytes:
    with contextlib.suppress(ConnectionError):
        return await reader.read()
    return b''


@contextlib.asynccontextmanager
async def run_gateway(
    reducer: ForwardingReducer | None = None,
    dialect: Dialect = DEFAULT_DIALECT,
    **requests: int | float,
) -> AsyncIterator[GatewayFixture]:
    reducer = reducer or ForwardingReducer()
    counter_names: list[str] = []
    gateway = Gateway(
        make_settings(**requests),
        reducer.dispatch,
        time.monotonic,
        counter_names.append,
        dialect,
    )
    reducer.execute = gateway.execute
    gateway.execute(SetReadiness(ready=True))
    listener = open_socket('127.0.0.1:0')
    port = listener.getsockname()[1]
    stop = asyncio.Event()
    limits = make_settings(drain_limit_s=2).requests
    server = asyncio.create_task(
        serve_app(gateway.app, listener, limits, stop.wait)
    )
    fixture = GatewayFixture(
        gateway, reducer, port, counter_names, stop, server
    )
    try:
        yield fixture
    finally:
        await gateway.close()
        stop.set()
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            await server


@contextlib.asynccontextmanager
async def run_target(handler: Handler) -> AsyncIterator[int]:
    """Serve raw connections as a target; yield the port."""
    server = await asyncio.start_server(handler, '127.0.0.1', 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


async def read_request(reader: asyncio.StreamReader) -> bytes:
    """Read a request whose body is delimited by its length."""
    head = await reader.readuntil(b'\r\n\r\n')
    length = 0
    for line in head.lower().split(b'\r\n'):
        name, _, field = line.partition(b':')
        if name == b'content-length':
            length = int(field)
    return head + await reader.readexactly(length)


def respond_once(answer: bytes, seen: list[bytes] | None = None) -> Handler:
    """Return a target that responds to one request and closes."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            request = await read_request(reader)
            if seen is not None:
                seen.append(request)
            writer.write(answer)
        writer.close()

    return handle


OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
GET = b'GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'

__all__ = (
    'GET',
    'OK',
    'WAIT_TIMEOUT_S',
    'CancelAttempt',
    'ForwardingReducer',
    'GatewayFixture',
    'respond_once',
    'make_settings',
    'read_request',
    'read_until_closed',
    'run_gateway',
    'run_target',
)
