"""Turns of connections that keep the event loop busy."""

from __future__ import annotations

import asyncio
import time
import types
from collections import deque
from collections.abc import Awaitable, Generator, Mapping
from functools import partial
from typing import Any, Final, TypeAlias, TypeVar, cast

import attrs

from .asgi import App, Receive, Scope, Send

# Time on the event loop after which a connection waits for its next turn.
_TURN_S: Final = 0.001
_Returned = TypeVar('_Returned')
# Address of a caller, and whether the connections are new.
_Group: TypeAlias = tuple[str, bool]


class TurnQueue:
    """Grants one turn in each iteration of the event loop.

    The addresses of callers take turns, so that an address with many
    connections doesn't delay others; so do the new connections of an address
    and those that it goes on with. Without other work the next turn follows at
    once.
    """

    def __init__(self) -> None:
        """Start without waiting connections."""
        self._waiting: dict[_Group, deque[asyncio.Future[None]]] = {}
        self._is_granting = False

    async def wait(self, address: str, *, is_new: bool = False) -> None:
        """Wait for a turn of a connection from an address."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        self._waiting.setdefault((address, is_new), deque()).append(turn)
        if not self._is_granting:
            self._is_granting = True
            loop.call_soon(self._grant)
        await turn

    def _grant(self) -> None:
        granted = False
        while self._waiting and not granted:
            turn = self._take_next()
            granted = not turn.done()
            if granted:
                turn.set_result(None)
        self._is_granting = bool(self._waiting)
        if self._is_granting:
            asyncio.get_running_loop().call_soon(self._grant)

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
    address
        Address of the caller.

    """

    queue: TurnQueue
    address: str
    used_s: float = 0

    async def wait_for_turn(self) -> None:
        """Wait for the next turn if the current one is used up."""
        if self.used_s > _TURN_S:
            await self.queue.wait(self.address)
            self.used_s = 0

    def end(self) -> None:
        """Record that the caller has nothing more to handle."""
        self.used_s = 0

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
        started_at = time.perf_counter()
        try:
            waits_for = step()
        except StopIteration as end:
            return cast('_Returned', end.value)
        finally:
            usage.used_s += time.perf_counter() - started_at
        try:
            yield waits_for
        except BaseException as error:
            step = partial(steps.throw, error)
        else:
            step = partial(next, steps)


__all__ = ('LimitedApp', 'TurnQueue', 'Usage')
