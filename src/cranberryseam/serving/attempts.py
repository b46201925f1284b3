"""Attempts to get a response from a target."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
from collections.abc import Callable

import attrs
import httpx

from ..core.effects import StartAttempt
from ..core.events import (
    AnswerEnded,
    AnswerReady,
    AttemptFailed,
    AttemptFailure,
    Event,
)
from ..types import AttemptId
from .asgi import send_body, start_response
from .bodies import IncompleteBodyError
from .connection_pool import ConnectionPool, WriteTrace
from .dialect import Dialect
from .pending_requests import PendingRequest, RequestEnd, name_attempt
from .responses import (
    ResponseFault,
    TargetResponse,
    open_response,
    read_buffered_part,
)

# Limit for a single step of forwarding; the whole response may take longer.
_STALL_TIMEOUT_S = 30.0
# The reducer normally decides at once whether a response is forwarded or
# cancelled. Without a decision, the connection is closed after this time.
_DECISION_TIMEOUT_S = 10.0
_CONNECTION_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout)
_EXPECTED_ERRORS = (httpx.HTTPError, IncompleteBodyError, TimeoutError)
_log = logging.getLogger(__name__)


@attrs.frozen
class AttemptContext:
    """Dependencies of an attempt."""

    pool: ConnectionPool
    dialect: Dialect
    dispatch: Callable[[Event], None]
    clock: Callable[[], float]
    on_end: Callable[[PendingRequest, Attempt], None]


class Attempt:
    """An attempt, from its connection to the end of the response.

    It runs as one task. Cancelling the task closes the connection, unless
    the response was read completely.
    """

    def __init__(
        self,
        request: PendingRequest,
        effect: StartAttempt,
        context: AttemptContext,
    ) -> None:
        """Start the task."""
        loop = asyncio.get_running_loop()
        self._request = request
        self._effect = effect
        self._context = context
        self._trace = WriteTrace()
        self._forward_requested: asyncio.Future[None] = loop.create_future()
        self._http_response: httpx.Response | None = None
        self._connection = context.pool.acquire(
            (effect.host, effect.port), effect.max_idle_s
        )
        self._released = False
        self._response_reported = False
        self._is_forwarding = False
        self._cancelled = False
        self._expired = False
        self._started_at = loop.time()
        self._timer = loop.call_later(effect.timeout_s, self._expire)
        self._task = loop.create_task(self._run())
        # A callback also runs if the task is cancelled before it starts.
        self._task.add_done_callback(self._finish)

    @property
    def attempt_id(self) -> AttemptId:
        """Identifier assigned by the reducer."""
        return self._effect.attempt_id

    def cancel(self) -> None:
        """Close the connection without any further event."""
        if not self._cancelled:
            self._cancelled = True
            self._task.cancel()
            if self._is_forwarding:
                self._request.resolve(RequestEnd.broken)

    def forward(self) -> None:
        """Forward the response to the caller."""
        if not self._forward_requested.done():
            self._forward_requested.set_result(None)

    async def wait(self) -> None:
        """Wait until the connection is released."""
        await asyncio.wait((self._task,))

    def _finish(self, _task: asyncio.Task[None]) -> None:
        self._timer.cancel()
        self._context.on_end(self._request, self)

    def _expire(self) -> None:
        if not self._cancelled:
            self._expired = True
            self._task.cancel()

    async def _run(self) -> None:
        async with contextlib.AsyncExitStack() as cleanup:
            cleanup.push_async_callback(self._release, reusable=False)
            failure = await self._run_exchange()
        if failure is not None and not self._cancelled:
            self._report_failure(failure)

    async def _run_exchange(self) -> AttemptFailure | None:
        try:
            return await self._exchange()
        except asyncio.CancelledError:
            if self._expired:
                return AttemptFailure.timed_out
            if self._cancelled:
                return None
            raise
        except _CONNECTION_ERRORS:
            return AttemptFailure.not_connected
        except Exception as error:
            # Unexpected exceptions, such as those of a faulty library, are
            # caught too, since every request must end.
            if not isinstance(error, _EXPECTED_ERRORS):
                _log.exception('attempt ended with an unexpected error')
            return self._classify_failure()

    async def _exchange(self) -> AttemptFailure | None:
        dialect = self._context.dialect
        target_request = self._request.build_target_request(
            self._effect, dialect
        )
        self._http_response = await self._connection.send(
            target_request, self._trace
        )
        opened = open_response(
            self._http_response,
            target_request.method,
            dialect,
            self._request.head.caller_request_id,
            name_attempt(self._effect),
        )
        if opened.is_error():
            self._log_fault(opened.error)
            return AttemptFailure.answer_invalid
        response = opened.ok
        await read_buffered_part(response)
        if response.complete:
            await self._release(reusable=response.keeps_connection)
        self._replace_timeout(response)
        self._report_response(response)
        if not self._forward_requested.done():
            async with asyncio.timeout(_DECISION_TIMEOUT_S):
                await self._forward_requested
        await self._forward(response)
        return None

    def _log_fault(self, fault: ResponseFault) -> None:
        fields = {
            'target': self._effect.target,
            'fault': fault.value,
            'request': self._request.head.caller_request_id.decode('latin-1'),
        }
        _log.warning('response not accepted', extra={'fields': fields})

    def _replace_timeout(self, response: TargetResponse) -> None:
        """Replace the time limit of buffering by that of the whole response."""
        self._timer.cancel()
        answer_timeout_s = self._effect.answer_timeout_s
        if not response.complete and answer_timeout_s < math.inf:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(
                self._started_at + answer_timeout_s, self._expire
            )

    async def _forward(self, response: TargetResponse) -> None:
        request = self._request
        if request.outcome.done() or request.responding:
            self._report_end(whole=response.complete)
            return
        request.responding = True
        self._is_forwarding = True
        async with asyncio.timeout(_STALL_TIMEOUT_S):
            await start_response(
                request.send,
                response.status,
                request.add_proxy_headers(response.headers),
            )
            await send_body(
                request.send, response.buffered, not response.complete
            )
        if not response.complete:
            await self._stream_remaining(response)
        request.resolve(RequestEnd.answered)
        self._report_end(whole=True)
        await self._release(reusable=response.keeps_connection)

    async def _stream_remaining(self, response: TargetResponse) -> None:
        send = self._request.send
        more = True
        while more:
            async with asyncio.timeout(_STALL_TIMEOUT_S):
                chunk = await anext(response.chunks, b'')
                more = bool(chunk)
                await send_body(send, chunk, more)

    def _classify_failure(self) -> AttemptFailure:
        if not self._trace.sent:
            return AttemptFailure.not_sent
        unanswered = self._http_response is None
        if unanswered and self._context.pool.was_closed_idle(self._connection):
            return AttemptFailure.closed_idle
        return AttemptFailure.no_answer

    async def _release(self, *, reusable: bool) -> None:
        if self._released:
            return
        self._released = True
        if self._http_response is not None:
            await self._http_response.aclose()
        if reusable:
            self._context.pool.release(self._connection)
        else:
            self._connection.transport.abort()

    def _report_response(self, response: TargetResponse) -> None:
        """Report a response to the reducer, whose events call it an answer."""
        effect = self._effect
        self._response_reported = True
        self._context.dispatch(
            AnswerReady(
                at=self._context.clock(),
                request_id=effect.request_id,
                attempt_id=effect.attempt_id,
                status=response.status,
                complete=response.complete,
                not_run=response.not_run,
                retry_after_s=response.retry_after_s,
                answer=response.store() if effect.keep_answer else None,
                statement=response.statement,
                body_bytes=len(response.buffered),
                is_unconfirmed_refusal=response.is_unconfirmed_refusal,
            )
        )

    def _report_failure(self, failure: AttemptFailure) -> None:
        if self._response_reported:
            # The reducer knows of the response and expects its end, not a
            # failure. The response stays incomplete, so the request is broken,
            # whether or not a part of it has reached the caller.
            self._request.resolve(RequestEnd.broken)
            self._report_end(whole=False)
            return
        effect = self._effect
        self._context.dispatch(
            AttemptFailed(
                at=self._context.clock(),
                request_id=effect.request_id,
                attempt_id=effect.attempt_id,
                failure=failure,
                sent=self._trace.sent,
            )
        )

    def _report_end(self, *, whole: bool) -> None:
        """Report the end; ``whole`` is false if the response is incomplete."""
        effect = self._effect
        self._context.dispatch(
            AnswerEnded(
                at=self._context.clock(),
                request_id=effect.request_id,
                attempt_id=effect.attempt_id,
                complete=whole,
            )
        )


__all__ = ('Attempt', 'AttemptContext')
