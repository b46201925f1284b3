"""HTTP interface for operators."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from http import HTTPStatus

from expression import Result

from ..configuration.settings import Settings
from ..core.commands import Command, CommandAnswer, OutcomeUnknown
from ..core.effects import AnswerCommand, Effect
from ..core.errors import Failure
from ..core.events import CommandReceived, Event
from .admin_routes import build_command
from .asgi import LIFESPAN, Receive, Scope, Send, serve_lifespan
from .credentials import KEY_HEADERS, matches_key_hash, read_keys
from .documents import read_document
from .failures import KeyRefused, send_failure, send_json
from .replies import PendingReplies

# Lists with 54,000 accounts and 7,600 routes take about 10 MB as JSON.
_MAX_BODY_BYTES = 33_554_432
# An election of the control leader takes up to 2 s, and two of them may happen
# while a command is processed.
_COMMAND_TIMEOUT_S = 10.0
_COUNTERS_PATH = '/v1/counters'


class AdminApi:
    """Translates the requests of operators into commands.

    Parameters
    ----------
    counters
        Counters of the process, returned by ``GET /v1/counters``.
    timeout_s
        Seconds to wait for the answer to a command.

    """

    def __init__(
        self,
        settings: Settings,
        dispatch: Callable[[Event], None],
        clock: Callable[[], float],
        counters: Mapping[str, int],
        timeout_s: float = _COMMAND_TIMEOUT_S,
    ) -> None:
        """Reject all requests if the settings have no key hash."""
        self._key_hash = settings.admin.key_hash
        self._dispatch = dispatch
        self._clock = clock
        self._counters = counters
        self._timeout_s = timeout_s
        self._replies: PendingReplies[CommandAnswer | Failure] = (
            PendingReplies()
        )

    def execute(self, effect: Effect) -> bool:
        """Execute an ``AnswerCommand``; return False for any other effect."""
        if not isinstance(effect, AnswerCommand):
            return False
        self._replies.resolve(effect.command_id, effect.answer)
        return True

    async def app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve a request of an operator (ASGI application)."""
        if scope['type'] == LIFESPAN:
            await serve_lifespan(receive, send)
        elif scope['type'] == 'http':
            await self._serve(scope, receive, send)

    async def submit(
        self, command: Command, timeout_s: float | None = None
    ) -> CommandAnswer | Failure:
        """Pass a command to the reducer and return its answer.

        Parameters
        ----------
        timeout_s
            Seconds after which ``OutcomeUnknown`` is returned.

        """
        command_id, waiter = self._replies.create()
        self._dispatch(CommandReceived(self._clock(), command_id, command))
        try:
            return await asyncio.wait_for(waiter, timeout_s or self._timeout_s)
        except TimeoutError:
            return OutcomeUnknown()

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        if not self._is_authorized(scope):
            await send_failure(send, KeyRefused())
            return
        method: str = scope['method']
        path: str = scope['path']
        if method == 'GET' and path == _COUNTERS_PATH:
            await send_json(send, HTTPStatus.OK, dict(self._counters))
            return
        document = await read_document(receive, _MAX_BODY_BYTES)
        result = document.bind(lambda raw: build_command(method, path, raw))
        match result:
            case Result(tag='ok', ok=command):
                await self._execute_command(command, send)
            case Result(error=failure):
                await send_failure(send, failure)

    def _is_authorized(self, scope: Scope) -> bool:
        headers = scope['headers']
        keys = read_keys(pair for pair in headers if pair[0] in KEY_HEADERS)
        return matches_key_hash(keys.default_value(()), self._key_hash)

    async def _execute_command(self, command: Command, send: Send) -> None:
        answer = await self.submit(command)
        if isinstance(answer, CommandAnswer):
            await send_json(send, HTTPStatus.OK, answer)
        else:
            await send_failure(send, answer)


__all__ = ('AdminApi',)
