"""The requests in progress, between callers, the reducer and targets."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from expression import Result

from ..configuration.settings import Settings
from ..core.effects import (
    CancelAttempt,
    CutRequest,
    Effect,
    ForwardAnswer,
    RefuseRequest,
    ReplayAnswer,
    SetReadiness,
    StartAttempt,
)
from ..core.events import (
    AttemptFailed,
    AttemptFailure,
    CallerLeft,
    Event,
)
from ..core.refusals import Ran, Refusal, RefusalReason
from ..types import AttemptId, RequestId
from .arrivals import build_arrival
from .asgi import (
    DISCONNECT,
    LIFESPAN,
    WEBSOCKET,
    HeaderList,
    Receive,
    Scope,
    Send,
    refuse_websocket,
    send_response,
    serve_lifespan,
)
from .attempts import Attempt, AttemptPorts
from .bodies import (
    BodyBudget,
    CallBody,
    CallerGone,
    feed_body,
    read_body,
)
from .connection_pool import Upstream
from .dialect import DEFAULT_DIALECT, Dialect
from .framing import CallHead, check_head
from .headers import CONNECTION, VIA, describe_forwarding
from .malformed import BadRequest
from .pending_requests import Call, Ending
from .problems import send_refusal

READY_PATH = DEFAULT_DIALECT.ready_path
_RESERVED = '/-/'
_CLOSE = (CONNECTION, b'close')


def _ignore_count(_name: str) -> None:
    """Count nothing."""


class Gateway:
    """Serves callers and executes the reducer's effects on their requests.

    Parameters
    ----------
    settings
        Settings of this process.
    dispatch
        Gives an event to the reducer and executes its effects.
    clock
        Seconds for ``Event.at``.
    count
        Increments a counter by name, for refusals the reducer doesn't see.
    dialect
        Names towards callers and targets.

    """

    def __init__(
        self,
        settings: Settings,
        dispatch: Callable[[Event], None],
        clock: Callable[[], float],
        count: Callable[[str], None] = _ignore_count,
        dialect: Dialect = DEFAULT_DIALECT,
    ) -> None:
        """Start unready and without requests."""
        self._dialect = dialect
        self._limits = settings.requests
        self._dispatch = dispatch
        self._clock = clock
        self._count = count
        self._via = b'1.1 %b' % settings.vm.name.encode()
        self._ready = False
        self._budget = BodyBudget()
        self._ids = itertools.count(1)
        self._calls: dict[RequestId, Call] = {}
        self._upstream = Upstream(clock)
        self._ports = AttemptPorts(
            self._upstream, dialect, dispatch, clock, self._end_attempt
        )
        self._executors: dict[type[Effect], Callable[[Any], None]] = {
            StartAttempt: self._start_attempt,
            CancelAttempt: self._cancel_attempt,
            ForwardAnswer: self._forward_answer,
            ReplayAnswer: self._settle,
            RefuseRequest: self._settle,
            CutRequest: self._cut_request,
            SetReadiness: self._set_readiness,
        }

    @property
    def in_flight(self) -> int:
        """Requests that have not ended, attempts included."""
        return len(self._calls)

    def execute(self, effect: Effect) -> bool:
        """Execute an effect on a request; return whether it was one.

        Effects on requests or attempts that have ended are ignored.
        """
        executor = self._executors.get(type(effect))
        if executor is None:
            return False
        executor(effect)
        return True

    async def app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request of a caller (ASGI)."""
        kind = scope['type']
        if kind == LIFESPAN:
            await serve_lifespan(receive, send)
        elif kind == WEBSOCKET:
            self._count_refusal(RefusalReason.malformed_request)
            await refuse_websocket(receive, send)
        elif scope['raw_path'] == self._dialect.ready_path:
            await self._answer_health(send)
        else:
            await self._serve_caller(scope, receive, send)

    async def close(self) -> None:
        """Cancel what is left and close the connections to targets."""
        attempts: list[Attempt] = []
        for call in tuple(self._calls.values()):
            call.end(Ending.broken)
            attempts.extend(call.attempts.values())
        for attempt in attempts:
            attempt.cancel()
        await asyncio.gather(*(ended.wait() for ended in attempts))
        await self._upstream.close()

    async def _serve_caller(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        match check_head(scope, self._limits, self._dialect):
            case Result(tag='ok', ok=head):
                await self._admit(head, scope, receive, send)
            case Result(error=problem):
                await self._refuse_early(send, problem)

    async def _admit(
        self, head: CallHead, scope: Scope, receive: Receive, send: Send
    ) -> None:
        path = head.target.path
        if path == '/-' or path.startswith(_RESERVED):
            unknown = BadRequest(RefusalReason.route_unknown, 'reserved path')
            await self._refuse_early(send, unknown)
            return
        match await read_body(receive, head, self._limits, self._budget):
            case Result(tag='ok', ok=body):
                call = self._open_call(head, body, scope, send)
                await self._serve_call(call, receive)
            case Result(error=BadRequest() as problem):
                # Another copy of a keyed request may have run before.
                keyed = head.idempotency_key is not None
                ran = Ran.unknown if keyed else Ran.no
                await self._refuse_early(send, problem, ran)
            case Result(error=CallerGone()):
                self._count('requests.left_before_arrival')

    def _open_call(
        self, head: CallHead, body: CallBody, scope: Scope, send: Send
    ) -> Call:
        client = scope.get('client') or ('unknown', 0)
        call = Call(
            request_id=RequestId(next(self._ids)),
            head=head,
            forwarding=describe_forwarding(
                client[0], scope['scheme'], head.host, self._via
            ),
            body=body,
            send=send,
            finish_headers=self._finish_headers,
            outcome=asyncio.get_running_loop().create_future(),
        )
        self._calls[call.request_id] = call
        return call

    async def _serve_call(self, call: Call, receive: Receive) -> None:
        with contextlib.ExitStack() as clean_up:
            clean_up.callback(self._forget_if_ended, call)
            clean_up.callback(call.end, Ending.broken)
            offset = self._limits.utc_offset_minutes
            self._dispatch(build_arrival(call, self._clock(), offset))
            if not call.outcome.done():
                watcher = asyncio.create_task(self._watch(call, receive))
                clean_up.callback(watcher.cancel)
            await self._finish_call(call)

    async def _finish_call(self, call: Call) -> None:
        outcome = await call.outcome
        match outcome:
            case RefuseRequest(refusal=refusal):
                await send_refusal(
                    call.send,
                    refusal,
                    closing=not (self._ready and call.body.whole),
                    dialect=self._dialect,
                )
            case ReplayAnswer(answer=answer):
                headers = self._finish_headers(list(answer.headers))
                await send_response(
                    call.send, answer.status, headers, answer.body
                )
            case Ending.broken if not call.answering:
                unknown = Refusal(RefusalReason.outcome_unknown, Ran.unknown)
                await send_refusal(
                    call.send, unknown, closing=True, dialect=self._dialect
                )
            # Otherwise nothing is left to send; the server closes the
            # connection if the answer is not complete.

    async def _watch(self, call: Call, receive: Receive) -> None:
        present = await feed_body(receive, call.body, self._limits)
        while present:
            present = (await receive())['type'] != DISCONNECT
        if not call.outcome.done():
            call.end(Ending.left)
            self._dispatch(CallerLeft(self._clock(), call.request_id))

    def _finish_headers(self, headers: HeaderList) -> HeaderList:
        finished = [*headers, (VIA, self._via)]
        if not self._ready:
            # Moves callers away from a VM that should get no new requests.
            finished.append(_CLOSE)
        return finished

    async def _refuse_early(
        self, send: Send, problem: BadRequest, ran: Ran = Ran.no
    ) -> None:
        self._count_refusal(problem.reason)
        await send_refusal(
            send,
            Refusal(problem.reason, ran),
            detail=problem.detail,
            closing=True,
            dialect=self._dialect,
        )

    def _count_refusal(self, reason: RefusalReason) -> None:
        self._count(f'refusals.{reason.value}')

    async def _answer_health(self, send: Send) -> None:
        status = HTTPStatus.OK
        headers = [(b'content-length', b'0'), (b'cache-control', b'no-store')]
        if not self._ready:
            status = HTTPStatus.SERVICE_UNAVAILABLE
            headers.append(_CLOSE)
        await send_response(send, status, headers, b'')

    def _start_attempt(self, effect: StartAttempt) -> None:
        call = self._calls.get(effect.request_id)
        if call is None or not call.can_send():
            failed = AttemptFailed(
                self._clock(),
                effect.request_id,
                effect.attempt_id,
                AttemptFailure.not_sent,
                sent=call is not None,
            )
            # Later, since the reducer is in the middle of its effects.
            asyncio.get_running_loop().call_soon(self._dispatch, failed)
            return
        call.attempts[effect.attempt_id] = Attempt(call, effect, self._ports)

    def _cancel_attempt(self, effect: CancelAttempt) -> None:
        attempt = self._find_attempt(effect.request_id, effect.attempt_id)
        if attempt is not None:
            attempt.cancel()

    def _forward_answer(self, effect: ForwardAnswer) -> None:
        attempt = self._find_attempt(effect.request_id, effect.attempt_id)
        if attempt is not None:
            attempt.forward()

    def _settle(self, effect: RefuseRequest | ReplayAnswer) -> None:
        call = self._calls.get(effect.request_id)
        if call is not None and not call.answering:
            call.end(effect)

    def _cut_request(self, effect: CutRequest) -> None:
        call = self._calls.get(effect.request_id)
        if call is not None:
            # Without any byte sent, the caller can still be told why.
            self._settle(RefuseRequest(effect.request_id, effect.refusal))
            call.end(Ending.broken)
            for attempt in tuple(call.attempts.values()):
                attempt.cancel()

    def _set_readiness(self, effect: SetReadiness) -> None:
        self._ready = effect.ready

    def _find_attempt(
        self, request_id: RequestId, attempt_id: AttemptId
    ) -> Attempt | None:
        call = self._calls.get(request_id)
        return None if call is None else call.attempts.get(attempt_id)

    def _end_attempt(self, call: Call, attempt: Attempt) -> None:
        call.attempts.pop(attempt.attempt_id, None)
        self._forget_if_ended(call)

    def _forget_if_ended(self, call: Call) -> None:
        if call.outcome.done() and not call.attempts:
            self._calls.pop(call.request_id, None)
            call.body.release()


__all__ = ('READY_PATH', 'Gateway')
