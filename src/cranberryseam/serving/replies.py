"""Replies that the reducer gives later."""

from __future__ import annotations

import asyncio
import itertools
from typing import Generic, TypeVar

import attrs

_Reply = TypeVar('_Reply')


@attrs.define(eq=False)
class Replies(Generic[_Reply]):
    """Waiters for replies, by number."""

    _ids: itertools.count[int] = attrs.field(factory=lambda: itertools.count(1))
    _waiters: dict[int, asyncio.Future[_Reply]] = attrs.field(factory=dict)

    def open(self) -> tuple[int, asyncio.Future[_Reply]]:
        """Return a new number and the future of its reply."""
        reply_id = next(self._ids)
        waiter: asyncio.Future[_Reply] = (
            asyncio.get_running_loop().create_future()
        )
        waiter.add_done_callback(lambda _: self._waiters.pop(reply_id, None))
        self._waiters[reply_id] = waiter
        return reply_id, waiter

    def settle(self, reply_id: int, reply: _Reply) -> None:
        """Give a reply; one that nobody waits for is ignored."""
        waiter = self._waiters.get(reply_id)
        if waiter is not None and not waiter.done():
            waiter.set_result(reply)


__all__ = ('Replies',)
