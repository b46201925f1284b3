"""Bounded, weighted fair queue of the requests that wait for a slot."""

from __future__ import annotations

import heapq
import math
from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..types import RequestId
    from .model import AdmitRequest

_HEADS_TRIED = 4
_MOST_GONE = 16
# Requests that an account may send at once after a pause without waiting for
# its turn. A VM sees so few requests of a small account that their random
# bursts would exceed its share although the account stays below it.
_BURST = 5.0
_MOST_IDLE_FLOWS = 1024


@attrs.define(eq=False)
class Waiting:
    """One waiting request.

    Parameters
    ----------
    start_by
        Latest time at which starting it can still meet its deadline.
    tag
        Virtual start time; the smallest is served first.

    """

    request: AdmitRequest
    start_by: float
    tag: float = 0
    gone: bool = False


@attrs.define(eq=False)
class _Flow:
    entries: deque[Waiting] = attrs.field(factory=deque)
    finish: float = 0
    live: int = 0
    weight: int = 1

    @property
    def backlog(self) -> float:
        """Waiting requests per weight."""
        return self.live / self.weight

    def compact(self) -> None:
        """Drop cancelled entries once they outnumber the others."""
        if len(self.entries) > 2 * self.live + _MOST_GONE:
            kept = [entry for entry in self.entries if not entry.gone]
            self.entries = deque(kept)


class FairQueue:
    """Start-time fair queueing among the accounts of one lane.

    Each request advances its account's virtual time by one over its weight,
    and the request with the smallest start tag is served. An account that
    sends five times its share only lengthens its own backlog.
    """

    def __init__(self, limit: int) -> None:
        """Start empty; ``limit`` is the largest number of requests."""
        self._limit = limit
        self._virtual: float = 0
        self._serial = 0
        self._flows: dict[str, _Flow] = {}
        self._heads: list[tuple[float, int, str]] = []
        self._entries: dict[RequestId, Waiting] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._entries)

    def push(self, entry: Waiting) -> Waiting | None:
        """Add a request; return the one that had to make room, if any.

        In a full queue the last request of the account with the largest
        backlog per weight makes room, which may be the new one.
        """
        displaced = None
        if len(self._entries) >= self._limit:
            displaced = self._displace(entry)
            if displaced is entry:
                return entry
        self._append(entry)
        return displaced

    def ahead_of(self, request: AdmitRequest) -> int:
        """Return how many requests are served before a new one, at most."""
        if request.attempt > 1:
            return 0
        flow = self._flows.get(request.account)
        if flow is None:
            return min(len(self._entries), len(self._heads))
        # Until the virtual time reaches its tag, everyone takes its weight.
        rounds = max(0, flow.finish - self._virtual)
        fair = len(self._heads) + round(rounds * self._active_weight())
        return min(len(self._entries), fair)

    def pop(self, accept: Callable[[AdmitRequest], bool]) -> Waiting | None:
        """Remove and return the first request that is accepted.

        Only the first few accounts are asked, so that a head that can't
        use the free target doesn't hold up the others.
        """
        skipped: list[tuple[float, int, str]] = []
        found = None
        while self._heads and found is None and len(skipped) < _HEADS_TRIED:
            head = heapq.heappop(self._heads)
            entry = self._first(head[2])
            if entry is None:
                continue
            if accept(entry.request):
                found = entry
                self._virtual = max(self._virtual, entry.tag)
                self._take_first(head[2])
            else:
                skipped.append(head)
        for head in skipped:
            heapq.heappush(self._heads, head)
        return found

    def cancel(self, request_id: RequestId) -> Waiting | None:
        """Remove a request that no longer needs a slot."""
        entry = self._entries.pop(request_id, None)
        if entry is not None:
            entry.gone = True
            flow = self._flows.get(entry.request.account)
            if flow is not None:
                flow.live -= 1
                flow.compact()
        return entry

    def _active_weight(self) -> int:
        return sum(self._flows[head[2]].weight for head in self._heads)

    def _displace(self, entry: Waiting) -> Waiting:
        longest = max(
            self._flows,
            key=lambda name: self._flows[name].backlog,
            default='',
        )
        flow = self._flows.get(longest)
        own = self._flows.get(entry.request.account)
        if flow is None or (own and own.backlog >= flow.backlog):
            return entry
        for last in reversed(flow.entries):
            if not last.gone:
                self.cancel(last.request.request_id)
                return last
        return entry

    def _append(self, entry: Waiting) -> None:
        if entry.request.attempt > 1:
            self._put_back(entry)
            return
        account = entry.request.account
        flow = self._flow(account)
        flow.weight = max(1, entry.request.weight)
        credit = _BURST / flow.weight
        entry.tag = max(self._virtual - credit, flow.finish)
        flow.finish = entry.tag + 1 / flow.weight
        flow.entries.append(entry)
        flow.live += 1
        self._entries[entry.request.request_id] = entry
        if len(flow.entries) == 1:
            self._push_head(account, entry)

    def _put_back(self, entry: Waiting) -> None:
        # It was served before, but its target didn't take it: it keeps its
        # place ahead of its account's others and isn't charged again.
        account = entry.request.account
        flow = self._flow(account)
        entry.tag = self._virtual
        flow.entries.appendleft(entry)
        flow.live += 1
        self._entries[entry.request.request_id] = entry
        if len(flow.entries) == 1:
            self._push_head(account, entry)

    def _flow(self, account: str) -> _Flow:
        flow = self._flows.get(account)
        if flow is None:
            flow = _Flow(finish=-math.inf)
            self._flows[account] = flow
        return flow

    def _push_head(self, account: str, entry: Waiting) -> None:
        self._serial += 1
        heapq.heappush(self._heads, (entry.tag, self._serial, account))

    def _first(self, account: str) -> Waiting | None:
        flow = self._flows[account]
        while flow.entries and flow.entries[0].gone:
            flow.entries.popleft()
        if flow.entries:
            return flow.entries[0]
        if len(self._flows) > _MOST_IDLE_FLOWS:
            self._forget_idle()
        return None

    def _forget_idle(self) -> None:
        # An idle account keeps its finish tag until the others have caught
        # up; otherwise sending one request at a time would evade its share.
        self._flows = {
            name: flow
            for name, flow in self._flows.items()
            if flow.entries or flow.finish > self._virtual - _BURST
        }

    def _take_first(self, account: str) -> None:
        flow = self._flows[account]
        entry = flow.entries.popleft()
        flow.live -= 1
        self._entries.pop(entry.request.request_id)
        following = self._first(account)
        if following is not None:
            self._push_head(account, following)


__all__ = ('FairQueue', 'Waiting')
