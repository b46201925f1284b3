"""Replies of the reducer that are awaited."""

from __future__ import annotations

import asyncio
import itertools
import secrets
from typing import Final, Generic, TypeVar

import attrs

_Reply = TypeVar('_Reply')
# Replies are sent between VMs, so a late one may be for a previous process at
# this address. A random first number of 48 bits keeps the identifiers apart.
_RANDOM_START_BITS: Final = 48


def _count_from_random() -> itertools.count[int]:
    return itertools.count(secrets.randbits(_RANDOM_START_BITS))


@attrs.define(eq=False)
class PendingReplies(Generic[_Reply]):
    """Futures of awaited replies by identifier.

    Identifiers differ from those of earlier processes of this VM.
    """

    _ids: itertools.count[int] = attrs.field(factory=_count_from_random)
    _waiters: dict[int, asyncio.Future[_Reply]] = attrs.field(factory=dict)

    def create(self) -> tuple[int, asyncio.Future[_Reply]]:
        """Return a new identifier and the future of its reply."""
        reply_id = next(self._ids)
        waiter: asyncio.Future[_Reply] = (
            asyncio.get_running_loop().create_future()
        )
        waiter.add_done_callback(lambda _: self._waiters.pop(reply_id, None))
        self._waiters[reply_id] = waiter
        return reply_id, waiter

    def resolve(self, reply_id: int, reply: _Reply) -> None:
        """Resolve the future of a reply; unknown identifiers are ignored."""
        waiter = self._waiters.get(reply_id)
        if waiter is not None and not waiter.done():
            waiter.set_result(reply)


__all__ = ('PendingReplies',)
