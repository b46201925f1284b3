"""ASGI application of a simulated target with configurable faults."""

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

_CONTROL_PREFIX = '/-/'
_WORK_ID = b'x-work-id'
_KEY_HEADERS = frozenset((b'authorization', b'x-api-key'))
_MAX_WORK_ID_BYTES = 128
_MS_PER_S = 1000


class Reset(Enum):
    """When a connection is closed without an answer."""

    never = 'never'
    before_work = 'before_work'
    after_work = 'after_work'


class Faults(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Faults that can be changed while the target runs.

    Parameters
    ----------
    latency_s
        Time to process one request.
    slow_factor
        Factor on the latency.
    cold_factor
        Factor on the latency during a cold start.
    fail_share
        Share of requests (0 to 1) answered with 500 without being executed.
    truncate_share
        Share of requests whose answer ends in the middle of its body.
    reset_share
        Share of requests to which ``reset`` applies.
    shed_status
        Status (429 or 503) with which all requests are refused, marked with
        the not-run header; 0 to accept them.
    flap_period_s
        Length of alternating periods without and with failures of all
        requests; 0 for none.
    probes_fail
        Whether the health check answers 500.
    silent
        Whether the target stops sending announcements.
    answer_bytes
        Size of the body of each answer.

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
    """ASGI application of a simulated target.

    Parameters
    ----------
    slots
        Number of requests processed concurrently; others wait.
    cold_s
        Duration of the cold start, in which requests are slow.
    rng
        Random generator of all random decisions.

    """

    slots: int
    cold_s: float
    rng: random.Random
    clock: Callable[[], float]
    faults: Faults = attrs.field(factory=Faults)
    draining: bool = False
    executions: Counter[str] = attrs.field(factory=Counter)
    outcomes: Counter[str] = attrs.field(factory=Counter)
    keys_seen: set[str] = attrs.field(factory=set)
    _started_at: float = attrs.Factory(lambda app: app.clock(), takes_self=True)
    _free_slots: asyncio.Semaphore = attrs.Factory(
        lambda app: asyncio.Semaphore(app.slots), takes_self=True
    )

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one request (ASGI)."""
        if scope['type'] == LIFESPAN:
            await serve_lifespan(receive, send)
        elif scope['path'].startswith(_CONTROL_PREFIX):
            await self._handle_control(scope['path'], receive, send)
        else:
            self._record_keys(scope)
            await self._handle_work(scope, receive, send)

    @property
    def state(self) -> TargetState:
        """State that the target announces."""
        if self.draining:
            return TargetState.draining
        return TargetState.cold if self._is_cold() else TargetState.ready

    async def _handle_control(
        self, path: str, receive: Receive, send: Send
    ) -> None:
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
                status = self._change_faults(await _read_body(receive))
            case _:
                status = HTTPStatus.NOT_FOUND
        body = msgspec.json.encode(self._describe())
        await send_response(send, status, (_content_length(body),), body)

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

    def _record_keys(self, scope: Scope) -> None:
        for name, field in scope['headers']:
            if name in _KEY_HEADERS:
                self.keys_seen.add(field.decode('latin-1'))
        query = scope['query_string'].decode('latin-1')
        if has_key_parameter(query):
            self.keys_seen.add(query)

    async def _handle_work(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        headers = dict(scope['headers'])
        body = await _read_body(receive)
        if self.draining or self.faults.shed_status:
            await self._send_shed_answer(send)
            return
        if self._should_reset(Reset.before_work):
            self.outcomes['reset_before_work'] += 1
            _close_connection(scope['client'])
            return
        if self._should_fail():
            self.outcomes['failed'] += 1
            await self._send_answer(send, HTTPStatus.INTERNAL_SERVER_ERROR)
            return
        remaining_s = int(headers.get(DEADLINE_HEADER, b'0')) / _MS_PER_S
        async with self._take_slot(remaining_s or None) as taken:
            if not taken:
                await self._send_shed_answer(send)
                return
            if not await self._simulate_work(receive):
                self.outcomes['cancelled'] += 1
                return
        work_id = headers.get(_WORK_ID, body[:_MAX_WORK_ID_BYTES])
        self.executions[work_id.decode('latin-1')] += 1
        await self._send_result(scope, send)

    async def _send_result(self, scope: Scope, send: Send) -> None:
        if self._should_reset(Reset.after_work):
            self.outcomes['reset_after_work'] += 1
            _close_connection(scope['client'])
        elif self.rng.random() < self.faults.truncate_share:
            self.outcomes['truncated'] += 1
            await self._send_truncated_answer(send)
        else:
            self.outcomes['answered'] += 1
            await self._send_answer(send, HTTPStatus.OK)

    @contextlib.asynccontextmanager
    async def _take_slot(self, wait_limit_s: float | None) -> Any:
        try:
            async with asyncio.timeout(wait_limit_s):
                await self._free_slots.acquire()
        except TimeoutError:
            yield False
            return
        try:
            yield True
        finally:  # noqa: WPS501 releases the slot after any exception
            self._free_slots.release()

    async def _simulate_work(self, receive: Receive) -> bool:
        """Wait for the processing time; return False if cancelled."""
        faults = self.faults
        duration_factor = faults.cold_factor if self._is_cold() else 1
        seconds = faults.latency_s * faults.slow_factor * duration_factor
        if seconds <= 0:
            return True
        try:
            async with asyncio.timeout(seconds):
                message = await receive()
        except TimeoutError:
            return True
        return bool(message['type'] != DISCONNECT)

    async def _send_shed_answer(self, send: Send) -> None:
        self.outcomes['shed'] += 1
        status = self.faults.shed_status or HTTPStatus.SERVICE_UNAVAILABLE
        headers = [
            (NOT_RUN_HEADER, b'1'),
            (b'retry-after', b'1'),
            _content_length(b''),
        ]
        await send_response(send, status, headers, b'')

    async def _send_answer(self, send: Send, status: int) -> None:
        body = b'x' * self.faults.answer_bytes
        await send_response(send, status, (_content_length(body),), body)

    async def _send_truncated_answer(self, send: Send) -> None:
        body = b'x' * max(2, self.faults.answer_bytes)
        await start_response(send, HTTPStatus.OK, (_content_length(body),))
        await send_body(send, body[: len(body) // 2], more=True)

    def _should_reset(self, reset: Reset) -> bool:
        faults = self.faults
        if faults.reset != reset:
            return False
        return self.rng.random() < faults.reset_share

    def _should_fail(self) -> bool:
        faults = self.faults
        if faults.flap_period_s:
            elapsed = self.clock() - self._started_at
            if int(elapsed // faults.flap_period_s) % 2:
                return True
        return self.rng.random() < faults.fail_share

    def _is_cold(self) -> bool:
        return self.clock() - self._started_at < self.cold_s


async def _read_body(receive: Receive) -> bytes:
    body = bytearray()
    more = True
    while more:
        message = await receive()
        body += message.get('body', b'')
        more = message.get('more_body', False)
    return bytes(body)


def _close_connection(peer: tuple[str, int]) -> None:
    """Close the connection of a request without an answer.

    The server library has no API for this, so the socket is found by its
    peer address.
    """
    for name in os.listdir('/proc/self/fd'):
        with contextlib.suppress(OSError):
            _shut_down_if_peer(int(name), peer)


def _shut_down_if_peer(descriptor: int, peer: tuple[str, int]) -> None:
    with socket.fromfd(
        descriptor, socket.AF_INET, socket.SOCK_STREAM
    ) as connection:
        if connection.getpeername() == peer:
            connection.shutdown(socket.SHUT_RDWR)


def _content_length(body: bytes) -> tuple[bytes, bytes]:
    return (b'content-length', b'%d' % len(body))


__all__ = ('Faults', 'Reset', 'TargetApp')
