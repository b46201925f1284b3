"""Turns of those who keep the event loop busy."""

from __future__ import annotations

import asyncio
import time
import types
from collections import deque
from collections.abc import Awaitable, Generator, Hashable, Mapping
from functools import partial
from typing import Any, Final, TypeVar, cast

import attrs

from .asgi import App, Receive, Scope, Send

# Time on the event loop after which a connection waits for its next turn.
_TURN_S: Final = 0.0005
_Returned = TypeVar('_Returned')


class TurnQueue:
    """Grants turns on the event loop one after another.

    Groups take turns, so that one with many members doesn't delay others.

    Parameters
    ----------
    interval_s
        Least time between two turns; with 0, one turn is granted in each
        iteration of the event loop.

    """

    def __init__(self, interval_s: float = 0) -> None:
        """Start without waiting members."""
        self._interval_s = interval_s
        self._next_at: float = 0
        self._waiting: dict[Hashable, deque[asyncio.Future[None]]] = {}
        self._is_granting = False

    async def wait(self, group: Hashable) -> None:
        """Wait for a turn of a member of a group."""
        turn = asyncio.get_running_loop().create_future()
        self._waiting.setdefault(group, deque()).append(turn)
        if not self._is_granting:
            self._is_granting = True
            self._schedule_grant()
        await turn

    def _schedule_grant(self) -> None:
        loop = asyncio.get_running_loop()
        if self._next_at > loop.time():
            loop.call_at(self._next_at, self._grant)
        else:
            loop.call_soon(self._grant)

    def _grant(self) -> None:
        granted = False
        while self._waiting and not granted:
            turn = self._take_next()
            # A cancelled member needs no turn.
            granted = not turn.done()
            if granted:
                turn.set_result(None)
        if granted and self._interval_s:
            now = asyncio.get_running_loop().time()
            self._next_at = now + self._interval_s
        self._is_granting = bool(self._waiting)
        if self._is_granting:
            self._schedule_grant()

    def _take_next(self) -> asyncio.Future[None]:
        group = next(iter(self._waiting))
        turns = self._waiting.pop(group)
        turn = turns.popleft()
        if turns:
            self._waiting[group] = turns
        return turn


@attrs.define(eq=False)
class Usage:
    """Use of the event loop by a connection since its caller last paused.

    Parameters
    ----------
    queue
        Shared by all connections.
    group
        Group of the connection.

    """

    queue: TurnQueue
    group: Hashable
    _used_s: float = 0
    _step_started_at: float | None = None

    @property
    def turn_share(self) -> float:
        """Part of the current turn that is used; above 1 it is over."""
        step_s: float = 0
        if self._step_started_at is not None:
            step_s = time.perf_counter() - self._step_started_at
        return (self._used_s + step_s) / _TURN_S

    async def wait_for_turn(self) -> None:
        """Wait for the next turn if the current one is over."""
        if self.turn_share > 1:
            await self.queue.wait(self.group)
            self.restart()

    def restart(self) -> None:
        """Start a turn, also when the caller has nothing more to handle."""
        self._used_s = 0
        if self._step_started_at is not None:
            self._step_started_at = time.perf_counter()

    def start_step(self) -> None:
        """Record that the event loop runs a step."""
        self._step_started_at = time.perf_counter()

    def end_step(self) -> None:
        """Add the time of the step."""
        if self._step_started_at is not None:
            self._used_s += time.perf_counter() - self._step_started_at
            self._step_started_at = None

    def measure(self, awaitable: Awaitable[_Returned]) -> Awaitable[_Returned]:
        """Count the time that an awaitable occupies the event loop."""
        return _measure_steps(self, awaitable.__await__())


@attrs.frozen
class LimitedApp:
    """Application that serves the requests of a connection in turns.

    Parameters
    ----------
    app
        The application.
    usage
        Use of the event loop by the connection.

    """

    app: App
    usage: Usage

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve a request (ASGI application)."""
        await self.usage.wait_for_turn()
        receive_in_turn = partial(self._receive, receive)
        await self.usage.measure(self.app(scope, receive_in_turn, send))

    async def _receive(self, receive: Receive) -> Mapping[str, Any]:
        await self.usage.wait_for_turn()
        return await receive()


@types.coroutine
def _measure_steps(
    usage: Usage, steps: Generator[Any, Any, _Returned]
) -> Generator[Any, Any, _Returned]:
    """Run the steps of an awaitable as they are, and add their times."""
    step = partial(next, steps)
    while True:
        usage.start_step()
        try:
            waits_for = step()
        except StopIteration as end:
            return cast('_Returned', end.value)
        finally:
            usage.end_step()
        try:
            yield waits_for
        except BaseException as error:
            step = partial(steps.throw, error)
        else:
            step = partial(next, steps)


__all__ = ('LimitedApp', 'TurnQueue', 'Usage')
