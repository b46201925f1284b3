"""Bounded weighted fair queue of requests that wait for a slot."""

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

_MAX_HEADS_TRIED = 4
_MAX_CANCELLED = 16
# Burst of requests that an idle account may send ahead of its fair share. A VM
# gets so few requests of a small account that random bursts would exceed its
# share, although its mean rate is below it.
_BURST_REQUESTS = 5.0
_MAX_FLOWS = 1024


@attrs.define(eq=False)
class WaitingRequest:
    """A queued request.

    Parameters
    ----------
    start_by
        Latest start time that can still meet its deadline.
    tag
        Virtual start time; the smallest one is served first.

    """

    request: AdmitRequest
    start_by: float
    tag: float = 0
    cancelled: bool = False


@attrs.define(eq=False)
class _Flow:
    entries: deque[WaitingRequest] = attrs.field(factory=deque)
    finish: float = 0
    waiting_count: int = 0
    weight: int = 1

    @property
    def backlog(self) -> float:
        """Queued requests divided by the weight."""
        return self.waiting_count / self.weight

    def compact(self) -> None:
        """Remove cancelled entries once they outnumber the others."""
        if len(self.entries) > 2 * self.waiting_count + _MAX_CANCELLED:
            kept = [entry for entry in self.entries if not entry.cancelled]
            self.entries = deque(kept)


class FairQueue:
    """Start-time fair queueing among the accounts of one lane.

    Each request advances the virtual time of its account by the inverse of its
    weight, and the request with the smallest start tag is served first. An
    account that exceeds its share only delays its own requests.
    """

    def __init__(self, limit: int) -> None:
        """Create a queue that holds at most ``limit`` requests."""
        self._limit = limit
        self._virtual_time: float = 0
        self._serial = 0
        self._flows: dict[str, _Flow] = {}
        self._heads: list[tuple[float, int, str]] = []
        self._entries: dict[RequestId, WaitingRequest] = {}

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._entries)

    def push(self, entry: WaitingRequest) -> WaitingRequest | None:
        """Add a request; return the displaced one, if any.

        A full queue displaces the last request of the account with the
        largest backlog per weight, which may be the new request itself.
        """
        displaced = None
        if len(self._entries) >= self._limit:
            displaced = self._displace(entry)
            if displaced is entry:
                return entry
        self._append(entry)
        return displaced

    def count_ahead(self, request: AdmitRequest) -> int:
        """Return the largest number of requests served before a new one."""
        if request.attempt > 1:
            return 0
        flow = self._flows.get(request.account)
        if flow is None:
            return min(len(self._entries), len(self._heads))
        # Each account is served by its weight until the tag is reached.
        rounds = max(0, flow.finish - self._virtual_time)
        fair = len(self._heads) + round(rounds * self._active_weight())
        return min(len(self._entries), fair)

    def pop(
        self, accept: Callable[[AdmitRequest], bool]
    ) -> WaitingRequest | None:
        """Remove and return the first request that is accepted.

        The heads of several accounts are tried, so that a request that can't
        use the free target doesn't block the others.
        """
        skipped: list[tuple[float, int, str]] = []
        found = None
        while self._heads and found is None and len(skipped) < _MAX_HEADS_TRIED:
            head = heapq.heappop(self._heads)
            entry = self._first(head[2])
            if entry is None:
                continue
            if accept(entry.request):
                found = entry
                self._virtual_time = max(self._virtual_time, entry.tag)
                self._take_first(head[2])
            else:
                skipped.append(head)
        for head in skipped:
            heapq.heappush(self._heads, head)
        return found

    def cancel(self, request_id: RequestId) -> WaitingRequest | None:
        """Remove a request; return None if it is not queued."""
        entry = self._entries.pop(request_id, None)
        if entry is not None:
            entry.cancelled = True
            flow = self._flows.get(entry.request.account)
            if flow is not None:
                flow.waiting_count -= 1
                flow.compact()
        return entry

    def _active_weight(self) -> int:
        return sum(self._flows[head[2]].weight for head in self._heads)

    def _displace(self, entry: WaitingRequest) -> WaitingRequest:
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
            if not last.cancelled:
                self.cancel(last.request.request_id)
                return last
        return entry

    def _append(self, entry: WaitingRequest) -> None:
        if entry.request.attempt > 1:
            self._requeue(entry)
            return
        account = entry.request.account
        flow = self._flow(account)
        flow.weight = max(1, entry.request.weight)
        credit = _BURST_REQUESTS / flow.weight
        entry.tag = max(self._virtual_time - credit, flow.finish)
        flow.finish = entry.tag + 1 / flow.weight
        flow.entries.append(entry)
        flow.waiting_count += 1
        self._entries[entry.request.request_id] = entry
        if len(flow.entries) == 1:
            self._push_head(account, entry)

    def _requeue(self, entry: WaitingRequest) -> None:
        # A retry was served before, so it goes ahead of the other requests of
        # its account and isn't charged again.
        account = entry.request.account
        flow = self._flow(account)
        entry.tag = self._virtual_time
        flow.entries.appendleft(entry)
        flow.waiting_count += 1
        self._entries[entry.request.request_id] = entry
        if len(flow.entries) == 1:
            self._push_head(account, entry)

    def _flow(self, account: str) -> _Flow:
        flow = self._flows.get(account)
        if flow is None:
            flow = _Flow(finish=-math.inf)
            self._flows[account] = flow
        return flow

    def _push_head(self, account: str, entry: WaitingRequest) -> None:
        self._serial += 1
        heapq.heappush(self._heads, (entry.tag, self._serial, account))

    def _first(self, account: str) -> WaitingRequest | None:
        flow = self._flows[account]
        while flow.entries and flow.entries[0].cancelled:
            flow.entries.popleft()
        if flow.entries:
            return flow.entries[0]
        if len(self._flows) > _MAX_FLOWS:
            self._forget_idle()
        return None

    def _forget_idle(self) -> None:
        # An idle account keeps its finish tag until the virtual time reaches
        # it; otherwise it could exceed its share by sending one request at a
        # time.
        self._flows = {
            name: flow
            for name, flow in self._flows.items()
            if flow.entries
            or flow.finish > self._virtual_time - _BURST_REQUESTS
        }

    def _take_first(self, account: str) -> None:
        flow = self._flows[account]
        entry = flow.entries.popleft()
        flow.waiting_count -= 1
        self._entries.pop(entry.request.request_id)
        following = self._first(account)
        if following is not None:
            self._push_head(account, following)


__all__ = ('FairQueue', 'WaitingRequest')
