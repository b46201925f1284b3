"""Work of a stand-in target, its faults, and what it counted."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import socket
from collections import Counter
from collections.abc import Callable
from enum import Enum
from http import HTTPStatus
from typing import Any

import attrs
import msgspec

from ..core.events import TargetState
from ..serving.asgi import (
    DISCONNECT,
    LIFESPAN,
    Receive,
    Scope,
    Send,
    send_body,
    send_response,
    serve_lifespan,
    start_response,
)
from ..serving.headers import DEADLINE_HEADER, NOT_RUN_HEADER
from ..serving.paths import has_key_parameter

_CONTROL = '/-/'
_WORK_ID = b'x-work-id'
_KEY_HEADERS = frozenset((b'authorization', b'x-api-key'))
_LONGEST_WORK_ID = 128
_MS_PER_S = 1000


class Reset(Enum):
    """When the connection is closed without an answer."""

    never = 'never'
    before_work = 'before_work'
    after_work = 'after_work'


class Faults(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Behaviour that can be changed while the target runs.

    Parameters
    ----------
    latency_s
        Duration of the work of one request.
    slow_factor
        Multiplies the latency.
    cold_factor
        Multiplies the latency during the cold start.
    fail_share
        Share of requests (0 to 1) answered 500 without work.
    truncate_share
        Share of requests whose answer breaks off in its body.
    reset_share
        Share of requests to which ``reset`` applies.
    shed_status
        429 or 503 to refuse work with the not-run header; 0 not to.
    flap_period_s
        Fails all work in every second period of this length; 0 never.
    probes_fail
        Whether the health path answers 500.
    silent
        Whether announcements stop.
    answer_bytes
        Size of the body of an answer.

    """

    latency_s: float = 0
    slow_factor: float = 1
    cold_factor: float = 10
    fail_share: float = 0
    truncate_share: float = 0
    reset: Reset = Reset.never
    reset_share: float = 1
    shed_status: int = 0
    flap_period_s: float = 0
    probes_fail: bool = False
    silent: bool = False
    answer_bytes: int = 64


@attrs.define(eq=False)
class TargetApp:
    """ASGI application of a stand-in target.

    Parameters
    ----------
    slots
        Requests it works on at once; others wait.
    cold_s
        Seconds after the start during which work is slow.
    chance
        Seeded source of all random decisions.

    """

    slots: int
    cold_s: float
    chance: random.Random
    clock: Callable[[], float]
    faults: Faults = attrs.field(factory=Faults)
    draining: bool = False
    executions: Counter[str] = attrs.field(factory=Counter)
    outcomes: Counter[str] = attrs.field(factory=Counter)
    keys_seen: set[str] = attrs.field(factory=set)
    _started_at: float = attrs.Factory(lambda app: app.clock(), takes_self=True)
    _free: asyncio.Semaphore = attrs.Factory(
        lambda app: asyncio.Semaphore(app.slots), takes_self=True
    )

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one request (ASGI)."""
        if scope['type'] == LIFESPAN:
            await serve_lifespan(receive, send)
        elif scope['path'].startswith(_CONTROL):
            await self._control(scope['path'], receive, send)
        else:
            self._note_keys(scope)
            await self._work(scope, receive, send)

    @property
    def state(self) -> TargetState:
        """State to announce."""
        if self.draining:
            return TargetState.draining
        return TargetState.cold if self._is_cold() else TargetState.ready

    async def _control(self, path: str, receive: Receive, send: Send) -> None:
        status = HTTPStatus.OK
        match path:
            case '/-/counts':
                pass
            case '/-/health':
                if self.faults.probes_fail:
                    status = HTTPStatus.INTERNAL_SERVER_ERROR
            case '/-/drain':
                self.draining = True
            case '/-/faults':
                status = self._change_faults(await _read_whole(receive))
            case _:
                status = HTTPStatus.NOT_FOUND
        body = msgspec.json.encode(self._describe())
        await send_response(send, status, (_measure(body),), body)

    def _change_faults(self, raw: bytes) -> HTTPStatus:
        merged = msgspec.to_builtins(self.faults)
        try:
            merged.update(msgspec.json.decode(raw, type=dict[str, Any]))
            self.faults = msgspec.convert(merged, Faults)
        except msgspec.MsgspecError:
            return HTTPStatus.BAD_REQUEST
        return HTTPStatus.OK

    def _describe(self) -> dict[str, object]:
        return {
            'executions': dict(self.executions),
            'outcomes': dict(self.outcomes),
            'keys_seen': sorted(self.keys_seen),
            'state': self.state.value,
            'faults': self.faults,
        }

    def _note_keys(self, scope: Scope) -> None:
        for name, field in scope['headers']:
            if name in _KEY_HEADERS:
                self.keys_seen.add(field.decode('latin-1'))
        query = scope['query_string'].decode('latin-1')
        if has_key_parameter(query):
            self.keys_seen.add(query)

    async def _work(self, scope: Scope, receive: Receive, send: Send) -> None:
        headers = dict(scope['headers'])
        body = await _read_whole(receive)
        if self.draining or self.faults.shed_status:
            await self._shed(send)
            return
        if self._draws(Reset.before_work):
            self.outcomes['reset_before_work'] += 1
            _break_off(scope['client'])
            return
        if self._fails():
            self.outcomes['failed'] += 1
            await self._answer(send, HTTPStatus.INTERNAL_SERVER_ERROR)
            return
        left_s = int(headers.get(DEADLINE_HEADER, b'0')) / _MS_PER_S
        async with self._take_slot(left_s or None) as taken:
            if not taken:
                await self._shed(send)
                return
            if not await self._spend_time(receive):
                self.outcomes['cancelled'] += 1
                return
        work_id = headers.get(_WORK_ID, body[:_LONGEST_WORK_ID])
        self.executions[work_id.decode('latin-1')] += 1
        await self._finish(scope, send)

    async def _finish(self, scope: Scope, send: Send) -> None:
        if self._draws(Reset.after_work):
            self.outcomes['reset_after_work'] += 1
            _break_off(scope['client'])
        elif self.chance.random() < self.faults.truncate_share:
            self.outcomes['truncated'] += 1
            await self._truncate(send)
        else:
            self.outcomes['answered'] += 1
            await self._answer(send, HTTPStatus.OK)

    @contextlib.asynccontextmanager
    async def _take_slot(self, patience_s: float | None) -> Any:
        try:
            async with asyncio.timeout(patience_s):
                await self._free.acquire()
        except TimeoutError:
            yield False
            return
        try:
            yield True
        finally:  # noqa: WPS501 releases a slot whatever happened
            self._free.release()

    async def _spend_time(self, receive: Receive) -> bool:
        """Wait as long as the work takes; return False if cancelled."""
        faults = self.faults
        factor = faults.cold_factor if self._is_cold() else 1
        seconds = faults.latency_s * faults.slow_factor * factor
        if seconds <= 0:
            return True
        try:
            async with asyncio.timeout(seconds):
                message = await receive()
        except TimeoutError:
            return True
        return bool(message['type'] != DISCONNECT)

    async def _shed(self, send: Send) -> None:
        self.outcomes['shed'] += 1
        status = self.faults.shed_status or HTTPStatus.SERVICE_UNAVAILABLE
        headers = [
            (NOT_RUN_HEADER, b'1'),
            (b'retry-after', b'1'),
            _measure(b''),
        ]
        await send_response(send, status, headers, b'')

    async def _answer(self, send: Send, status: int) -> None:
        body = b'x' * self.faults.answer_bytes
        await send_response(send, status, (_measure(body),), body)

    async def _truncate(self, send: Send) -> None:
        body = b'x' * max(2, self.faults.answer_bytes)
        await start_response(send, HTTPStatus.OK, (_measure(body),))
        await send_body(send, body[: len(body) // 2], more=True)

    def _draws(self, reset: Reset) -> bool:
        faults = self.faults
        if faults.reset != reset:
            return False
        return self.chance.random() < faults.reset_share

    def _fails(self) -> bool:
        faults = self.faults
        if faults.flap_period_s:
            elapsed = self.clock() - self._started_at
            if int(elapsed // faults.flap_period_s) % 2:
                return True
        return self.chance.random() < faults.fail_share

    def _is_cold(self) -> bool:
        return self.clock() - self._started_at < self.cold_s


async def _read_whole(receive: Receive) -> bytes:
    body = bytearray()
    more = True
    while more:
        message = await receive()
        body += message.get('body', b'')
        more = message.get('more_body', False)
    return bytes(body)


def _break_off(peer: tuple[str, int]) -> None:
    """Close the connection of a request without an answer.

    The server library has no call for that, so the socket is found by the
    address of its peer.
    """
    for name in os.listdir('/proc/self/fd'):
        with contextlib.suppress(OSError):
            _shut_down_if(int(name), peer)


def _shut_down_if(descriptor: int, peer: tuple[str, int]) -> None:
    with socket.fromfd(
        descriptor, socket.AF_INET, socket.SOCK_STREAM
    ) as connection:
        if connection.getpeername() == peer:
            connection.shutdown(socket.SHUT_RDWR)


def _measure(body: bytes) -> tuple[bytes, bytes]:
    return (b'content-length', b'%d' % len(body))


__all__ = ('Faults', 'Reset', 'TargetApp')
