"""Replies that the reducer gives later."""

from __future__ import annotations

import asyncio
import itertools
import secrets
from typing import Final, Generic, TypeVar

import attrs

_Reply = TypeVar('_Reply')
# Replies travel between VMs, so a late one may meet the next process at this
# address. With 2**48 first numbers its numbers are not those of the one before.
_RANDOM_START_BITS: Final = 48


def _count_from_random() -> itertools.count[int]:
    return itertools.count(secrets.randbits(_RANDOM_START_BITS))


@attrs.define(eq=False)
class PendingReplies(Generic[_Reply]):
    """Waiters for replies, by a number that no earlier process has used."""

    _ids: itertools.count[int] = attrs.field(factory=_count_from_random)
    _waiters: dict[int, asyncio.Future[_Reply]] = attrs.field(factory=dict)

    def create(self) -> tuple[int, asyncio.Future[_Reply]]:
        """Return a new number and the future of its reply."""
        reply_id = next(self._ids)
        waiter: asyncio.Future[_Reply] = (
            asyncio.get_running_loop().create_future()
        )
        waiter.add_done_callback(lambda _: self._waiters.pop(reply_id, None))
        self._waiters[reply_id] = waiter
        return reply_id, waiter

    def resolve(self, reply_id: int, reply: _Reply) -> None:
        """Give a reply; one that nobody waits for is ignored."""
        waiter = self._waiters.get(reply_id)
        if waiter is not None and not waiter.done():
            waiter.set_result(reply)


__all__ = ('PendingReplies',)
