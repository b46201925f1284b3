"""Gateway that serves callers and sends their requests to targets."""

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
    CallerConnectionClosed,
    Event,
)
from ..core.refusals import Executed, Refusal, RefusalReason
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
from .attempts import Attempt, AttemptContext
from .bodies import (
    BodyBudget,
    CallerDisconnected,
    RequestBody,
    read_body,
    read_remaining_body,
)
from .connection_pool import ConnectionPool
from .dialect import DEFAULT_DIALECT, Dialect
from .framing import CheckedHead, check_head
from .headers import CONNECTION, VIA, build_forwarding_headers
from .malformed import BadRequest
from .pending_requests import PendingRequest, RequestEnd
from .problems import send_refusal

READY_PATH = DEFAULT_DIALECT.ready_path
_RESERVED_PREFIX = '/-/'
_CONNECTION_CLOSE = (CONNECTION, b'close')


def _discard_count(_name: str) -> None:
    """Discard a counter increment."""


class Gateway:
    """Serves callers and executes the effects that concern their requests.

    Parameters
    ----------
    settings
        Settings of this process.
    dispatch
        Passes an event to the reducer and executes its effects.
    clock
        Returns the time in seconds for ``Event.at``.
    count
        Increments a counter, for requests that never reach the reducer.
    dialect
        Header names and statuses used with callers and targets.

    """

    def __init__(
        self,
        settings: Settings,
        dispatch: Callable[[Event], None],
        clock: Callable[[], float],
        count: Callable[[str], None] = _discard_count,
        dialect: Dialect = DEFAULT_DIALECT,
    ) -> None:
        """Start unready, without requests in progress."""
        self._dialect = dialect
        self._limits = settings.requests
        self._dispatch = dispatch
        self._clock = clock
        self._count = count
        self._via = b'1.1 %b' % settings.vm.name.encode()
        self._ready = False
        self._body_budget = BodyBudget()
        self._ids = itertools.count(1)
        self._requests: dict[RequestId, PendingRequest] = {}
        self._pool = ConnectionPool(clock)
        self._attempt_context = AttemptContext(
            self._pool, dialect, dispatch, clock, self._remove_attempt
        )
        self._executors: dict[type[Effect], Callable[[Any], None]] = {
            StartAttempt: self._start_attempt,
            CancelAttempt: self._cancel_attempt,
            ForwardAnswer: self._forward_answer,
            ReplayAnswer: self._resolve_request,
            RefuseRequest: self._resolve_request,
            CutRequest: self._cut_request,
            SetReadiness: self._set_readiness,
        }

    @property
    def in_flight(self) -> int:
        """Number of requests that are open or have unfinished attempts."""
        return len(self._requests)

    def execute(self, effect: Effect) -> bool:
        """Execute an effect on a request; return False for other effects.

        Effects on requests or attempts that have ended are ignored.
        """
        executor = self._executors.get(type(effect))
        if executor is None:
            return False
        executor(effect)
        return True

    async def app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve a request of a caller (ASGI application)."""
        scope_type = scope['type']
        if scope_type == LIFESPAN:
            await serve_lifespan(receive, send)
        elif scope_type == WEBSOCKET:
            self._count_refusal(RefusalReason.malformed_request)
            await refuse_websocket(receive, send)
        elif scope['raw_path'] == self._dialect.ready_path:
            await self._send_readiness(send)
        else:
            await self._serve_caller(scope, receive, send)

    async def close(self) -> None:
        """Cancel the remaining requests and close all target connections."""
        attempts: list[Attempt] = []
        for request in tuple(self._requests.values()):
            request.resolve(RequestEnd.broken)
            attempts.extend(request.attempts.values())
        for attempt in attempts:
            attempt.cancel()
        await asyncio.gather(*(cancelled.wait() for cancelled in attempts))
        self._pool.close()

    async def _serve_caller(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        match check_head(scope, self._limits, self._dialect):
            case Result(tag='ok', ok=head):
                await self._accept_request(head, scope, receive, send)
            case Result(error=problem):
                await self._refuse_early(send, problem)

    async def _accept_request(
        self, head: CheckedHead, scope: Scope, receive: Receive, send: Send
    ) -> None:
        path = head.target.path
        if path == '/-' or path.startswith(_RESERVED_PREFIX):
            unknown = BadRequest(RefusalReason.route_unknown, 'reserved path')
            await self._refuse_early(send, unknown)
            return
        match await read_body(receive, head, self._limits, self._body_budget):
            case Result(tag='ok', ok=body):
                request = self._open_request(head, body, scope, send)
                await self._serve_request(request, receive)
            case Result(error=BadRequest() as problem):
                # An earlier copy with the same idempotency key may have run.
                keyed = head.idempotency_key is not None
                executed = Executed.unknown if keyed else Executed.no
                await self._refuse_early(send, problem, executed)
            case Result(error=CallerDisconnected()):
                self._count('requests.left_before_arrival')

    def _open_request(
        self, head: CheckedHead, body: RequestBody, scope: Scope, send: Send
    ) -> PendingRequest:
        client = scope.get('client') or ('unknown', 0)
        request = PendingRequest(
            request_id=RequestId(next(self._ids)),
            head=head,
            forwarding_headers=build_forwarding_headers(
                client[0], scope['scheme'], head.host, self._via
            ),
            body=body,
            send=send,
            add_proxy_headers=self._add_proxy_headers,
            outcome=asyncio.get_running_loop().create_future(),
        )
        self._requests[request.request_id] = request
        return request

    async def _serve_request(
        self, request: PendingRequest, receive: Receive
    ) -> None:
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._remove_if_ended, request)
            cleanup.callback(request.resolve, RequestEnd.broken)
            offset = self._limits.utc_offset_minutes
            self._dispatch(build_arrival(request, self._clock(), offset))
            if not request.outcome.done():
                watcher = asyncio.create_task(
                    self._watch_connection(request, receive)
                )
                cleanup.callback(watcher.cancel)
            await self._finish_request(request)

    async def _finish_request(self, request: PendingRequest) -> None:
        outcome = await request.outcome
        match outcome:
            case RefuseRequest(refusal=refusal):
                await send_refusal(
                    request.send,
                    refusal,
                    close_connection=not (
                        self._ready and request.body.complete
                    ),
                    dialect=self._dialect,
                )
            case ReplayAnswer(answer=answer):
                headers = self._add_proxy_headers(list(answer.headers))
                await send_response(
                    request.send, answer.status, headers, answer.body
                )
            case RequestEnd.broken if not request.responding:
                unknown = Refusal(
                    RefusalReason.outcome_unknown, Executed.unknown
                )
                await send_refusal(
                    request.send,
                    unknown,
                    close_connection=True,
                    dialect=self._dialect,
                )
            # Otherwise nothing is left to send. The server closes the
            # connection if the response is incomplete.

    async def _watch_connection(
        self, request: PendingRequest, receive: Receive
    ) -> None:
        connected = await read_remaining_body(
            receive, request.body, self._limits
        )
        while connected:
            connected = (await receive())['type'] != DISCONNECT
        if not request.outcome.done():
            request.resolve(RequestEnd.left)
            self._dispatch(
                CallerConnectionClosed(self._clock(), request.request_id)
            )

    def _add_proxy_headers(self, headers: HeaderList) -> HeaderList:
        response_headers = [*headers, (VIA, self._via)]
        if not self._ready:
            # Makes callers reconnect to a VM that accepts new requests.
            response_headers.append(_CONNECTION_CLOSE)
        return response_headers

    async def _refuse_early(
        self, send: Send, problem: BadRequest, executed: Executed = Executed.no
    ) -> None:
        self._count_refusal(problem.reason)
        await send_refusal(
            send,
            Refusal(problem.reason, executed),
            detail=problem.detail,
            close_connection=True,
            dialect=self._dialect,
        )

    def _count_refusal(self, reason: RefusalReason) -> None:
        self._count(f'refusals.{reason.value}')

    async def _send_readiness(self, send: Send) -> None:
        status = HTTPStatus.OK
        headers = [(b'content-length', b'0'), (b'cache-control', b'no-store')]
        if not self._ready:
            status = HTTPStatus.SERVICE_UNAVAILABLE
            headers.append(_CONNECTION_CLOSE)
        await send_response(send, status, headers, b'')

    def _start_attempt(self, effect: StartAttempt) -> None:
        request = self._requests.get(effect.request_id)
        if request is None or not request.can_send_body():
            failed = AttemptFailed(
                self._clock(),
                effect.request_id,
                effect.attempt_id,
                AttemptFailure.not_sent,
                sent=request is not None,
            )
            # Deferred, since effects of the current event are still being
            # executed.
            asyncio.get_running_loop().call_soon(self._dispatch, failed)
            return
        request.attempts[effect.attempt_id] = Attempt(
            request, effect, self._attempt_context
        )

    def _cancel_attempt(self, effect: CancelAttempt) -> None:
        attempt = self._find_attempt(effect.request_id, effect.attempt_id)
        if attempt is not None:
            attempt.cancel()

    def _forward_answer(self, effect: ForwardAnswer) -> None:
        attempt = self._find_attempt(effect.request_id, effect.attempt_id)
        if attempt is not None:
            attempt.forward()

    def _resolve_request(self, effect: RefuseRequest | ReplayAnswer) -> None:
        request = self._requests.get(effect.request_id)
        if request is not None and not request.responding:
            request.resolve(effect)

    def _cut_request(self, effect: CutRequest) -> None:
        request = self._requests.get(effect.request_id)
        if request is not None:
            # If nothing was sent yet, the caller gets the refusal instead.
            self._resolve_request(
                RefuseRequest(effect.request_id, effect.refusal)
            )
            request.resolve(RequestEnd.broken)
            for attempt in tuple(request.attempts.values()):
                attempt.cancel()

    def _set_readiness(self, effect: SetReadiness) -> None:
        self._ready = effect.ready

    def _find_attempt(
        self, request_id: RequestId, attempt_id: AttemptId
    ) -> Attempt | None:
        request = self._requests.get(request_id)
        return None if request is None else request.attempts.get(attempt_id)

    def _remove_attempt(
        self, request: PendingRequest, attempt: Attempt
    ) -> None:
        request.attempts.pop(attempt.attempt_id, None)
        self._remove_if_ended(request)

    def _remove_if_ended(self, request: PendingRequest) -> None:
        if request.outcome.done() and not request.attempts:
            self._requests.pop(request.request_id, None)
            request.body.release()


__all__ = ('READY_PATH', 'Gateway')
