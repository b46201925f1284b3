"""One attempt to get an answer from a target."""

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
from .bodies import BodyBrokenError
from .connection_pool import Upstream, WriteTrace
from .dialect import Dialect
from .pending_requests import Call, Ending
from .responses import Answer, open_response, read_first_part

# A forwarded answer may last long, but not without any progress.
_STALL_S = 30.0
# The reducer decides at once; this bounds how long an answer that nobody
# asks for keeps its connection.
_DECISION_S = 10.0
_CONNECT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout)
_EXPECTED_ERRORS = (httpx.HTTPError, BodyBrokenError, TimeoutError)
_log = logging.getLogger(__name__)


@attrs.frozen
class AttemptPorts:
    """What an attempt uses of its surroundings."""

    upstream: Upstream
    dialect: Dialect
    dispatch: Callable[[Event], None]
    clock: Callable[[], float]
    on_end: Callable[[Call, Attempt], None]


class Attempt:
    """An attempt from the connection to the end of its answer.

    It runs as one task. Cancelling the task closes the connection, unless
    the answer was read to its end.
    """

    def __init__(
        self, call: Call, effect: StartAttempt, ports: AttemptPorts
    ) -> None:
        """Start the task."""
        loop = asyncio.get_running_loop()
        self._call = call
        self._effect = effect
        self._ports = ports
        self._trace = WriteTrace()
        self._go: asyncio.Future[None] = loop.create_future()
        self._response: httpx.Response | None = None
        self._connection = ports.upstream.take(
            (effect.host, effect.port), effect.most_idle_s
        )
        self._released = False
        self._ready = False
        self._forwarding = False
        self._cancelled = False
        self._expired = False
        self._begun = loop.time()
        self._timer = loop.call_later(effect.timeout_s, self._expire)
        self._task = loop.create_task(self._run())
        # Also called if the task is cancelled before its first step.
        self._task.add_done_callback(self._finish)

    @property
    def attempt_id(self) -> AttemptId:
        """Identifier the reducer gave to this attempt."""
        return self._effect.attempt_id

    def cancel(self) -> None:
        """Close the connection; nothing more is reported."""
        if not self._cancelled:
            self._cancelled = True
            self._task.cancel()
            if self._forwarding:
                self._call.end(Ending.broken)

    def forward(self) -> None:
        """Send the answer to the caller."""
        if not self._go.done():
            self._go.set_result(None)

    async def wait(self) -> None:
        """Wait until the attempt has released its connection."""
        await asyncio.wait((self._task,))

    def _finish(self, _task: asyncio.Task[None]) -> None:
        self._timer.cancel()
        self._ports.on_end(self._call, self)

    def _expire(self) -> None:
        if not self._cancelled:
            self._expired = True
            self._task.cancel()

    async def _run(self) -> None:
        async with contextlib.AsyncExitStack() as clean_up:
            clean_up.push_async_callback(self._release, reusable=False)
            failure = await self._run_to_failure()
        if failure is not None and not self._cancelled:
            self._report_failure(failure)

    async def _run_to_failure(self) -> AttemptFailure | None:
        try:
            return await self._exchange()
        except asyncio.CancelledError:
            if self._expired:
                return AttemptFailure.timed_out
            if self._cancelled:
                return None
            raise
        except _CONNECT_ERRORS:
            return AttemptFailure.not_connected
        except Exception as error:
            # Also for the fault of a library: a request needs an end.
            if not isinstance(error, _EXPECTED_ERRORS):
                _log.exception('attempt ended with an unexpected error')
            return self._classify()

    async def _exchange(self) -> AttemptFailure | None:
        dialect = self._ports.dialect
        outgoing = self._call.build_outgoing(self._effect, dialect)
        self._response = await self._connection.send(outgoing, self._trace)
        answer = open_response(
            self._response, outgoing.method, dialect, self._call.head.caller_id
        )
        if answer is None:
            return AttemptFailure.answer_invalid
        await read_first_part(answer)
        if answer.complete:
            await self._release(reusable=answer.measured)
        self._limit_rest(answer)
        self._report_ready(answer)
        if not self._go.done():
            async with asyncio.timeout(_DECISION_S):
                await self._go
        await self._forward(answer)
        return None

    def _limit_rest(self, answer: Answer) -> None:
        """Replace the timeout of the first part by that of the whole."""
        self._timer.cancel()
        ends_within_s = self._effect.ends_within_s
        if not answer.complete and ends_within_s < math.inf:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(
                self._begun + ends_within_s, self._expire
            )

    async def _forward(self, answer: Answer) -> None:
        call = self._call
        if call.outcome.done() or call.answering:
            self._report_end(whole=answer.complete)
            return
        call.answering = True
        self._forwarding = True
        async with asyncio.timeout(_STALL_S):
            await start_response(
                call.send, answer.status, call.finish_headers(answer.headers)
            )
            await send_body(call.send, answer.first, not answer.complete)
        if not answer.complete:
            await self._stream_rest(answer)
        call.end(Ending.answered)
        self._report_end(whole=True)
        await self._release(reusable=True)

    async def _stream_rest(self, answer: Answer) -> None:
        send = self._call.send
        more = True
        while more:
            async with asyncio.timeout(_STALL_S):
                chunk = await anext(answer.chunks, b'')
                more = bool(chunk)
                await send_body(send, chunk, more)

    def _classify(self) -> AttemptFailure:
        if not self._trace.sent:
            return AttemptFailure.not_sent
        unanswered = self._response is None
        if unanswered and self._ports.upstream.was_closed_idle(
            self._connection
        ):
            return AttemptFailure.closed_idle
        return AttemptFailure.no_answer

    async def _release(self, *, reusable: bool) -> None:
        if self._released:
            return
        self._released = True
        if self._response is not None:
            await self._response.aclose()
        if reusable:
            self._ports.upstream.put_back(self._connection)
        else:
            await self._connection.transport.aclose()

    def _report_ready(self, answer: Answer) -> None:
        effect = self._effect
        self._ready = True
        self._ports.dispatch(
            AnswerReady(
                at=self._ports.clock(),
                request_id=effect.request_id,
                attempt_id=effect.attempt_id,
                status=answer.status,
                complete=answer.complete,
                not_run=answer.not_run,
                retry_after_s=answer.retry_after_s,
                answer=answer.store() if effect.keep_answer else None,
            )
        )

    def _report_failure(self, failure: AttemptFailure) -> None:
        if self._ready:
            # The caller has a part of the answer, or will never get one.
            self._call.end(Ending.broken)
            self._report_end(whole=False)
            return
        effect = self._effect
        self._ports.dispatch(
            AttemptFailed(
                at=self._ports.clock(),
                request_id=effect.request_id,
                attempt_id=effect.attempt_id,
                failure=failure,
                sent=self._trace.sent,
            )
        )

    def _report_end(self, *, whole: bool) -> None:
        effect = self._effect
        self._ports.dispatch(
            AnswerEnded(
                at=self._ports.clock(),
                request_id=effect.request_id,
                attempt_id=effect.attempt_id,
                whole=whole,
            )
        )


__all__ = ('Attempt', 'AttemptPorts')
