"""Admission of requests: slot assignment, queueing and refusal."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

from ..core.effects import SetTimer
from ..core.notices import SlotAssigned, SlotDenied
from ..core.refusals import RefusalReason
from .attempts import Assignment
from .fair_queue import WaitingRequest
from .model import COMPONENT, INTERACTIVE_LANE, LONG_LANE, AdmitRequest
from .selection import Selection

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from ..types import Output, RequestId, ServiceName
    from .service import ServiceState
    from .target import Target

EXPIRE = 'expire'
WAKE = 'wake'
# Every nth dispatch tries the long lane first to prevent its starvation.
_LONG_LANE_INTERVAL = 4
_MIN_RETRY_AFTER_S = 0.1
_MEDIAN = 0.5
# Other VMs can serve a request that might not end before this process.
_STOP_QUANTILE = 0.95
# Time within which at least one of the many targets of a service in use
# announces itself.
_FIRST_TARGET_WAIT_S = 0.5


class Admission:
    """Assigned slots and queued requests of one VM."""

    def __init__(self, rng: random.Random) -> None:
        """Create an admission without requests."""
        self._rng = rng
        self._assigned: dict[RequestId, Assignment] = {}
        self._waiting: dict[RequestId, ServiceState] = {}
        self._deadlines: dict[ServiceName, list[tuple[float, RequestId]]] = {}
        self._wake_times: dict[ServiceName, float] = {}
        self._dispatch_count = 0

    def admit(
        self, state: ServiceState, request: AdmitRequest, at: float
    ) -> list[Output]:
        """Assign a slot to a request, queue it or refuse it."""
        lane = state.lane(request.lane)
        quantile = _STOP_QUANTILE if request.limited_by_stop else _MEDIAN
        duration_s = lane.latency.quantile_s(at, quantile) or 0
        start_by = request.deadline_at - duration_s
        if at > start_by or at >= request.deadline_at:
            return [_deny(at, request, RefusalReason.deadline_too_short)]
        if not len(lane.queue):
            target = Selection(state, request, at, self._rng).choose()
            if target is not None:
                return [self._assign(state, request, target, at)]
        pause_s = state.pause_s(at)
        if at + pause_s > start_by:
            reason = RefusalReason.target_overloaded
            return [_deny(at, request, reason, pause_s)]
        wait_s = lane.wait_s(lane.queue.count_ahead(request))
        if at + wait_s > start_by:
            reason = RefusalReason.deadline_too_short
            return [_deny(at, request, reason, wait_s)]
        return self._enqueue(state, WaitingRequest(request, start_by), at)

    def wait_for_target(
        self, state: ServiceState, request: AdmitRequest, at: float
    ) -> list[Output]:
        """Queue a request until the first target announces itself."""
        until = min(request.deadline_at, at + _FIRST_TARGET_WAIT_S)
        return self._enqueue(state, WaitingRequest(request, until), at)

    def assign_untried(
        self, state: ServiceState, request: AdmitRequest, at: float
    ) -> SlotAssigned | None:
        """Assign a slot immediately, at a target not tried yet."""
        target = Selection(state, request, at, self._rng).choose()
        if target is None or target.announcement.target in request.excluded:
            return None
        return self._assign(state, request, target, at)

    def release(self, request_id: RequestId, at: float) -> Assignment | None:
        """Free the slot of a request; None if it holds none."""
        assignment = self._assigned.pop(request_id, None)
        if assignment is not None:
            assignment.end(at)
        return assignment

    def mark_overdue_attempts(self, at: float) -> list[Assignment]:
        """Mark and return attempts that became overdue since the last call."""
        return [
            assignment
            for assignment in self._assigned.values()
            if assignment.mark_overdue(at)
        ]

    def cancel_waiting(self, request_id: RequestId) -> bool:
        """Remove a queued request; return False if it is not queued."""
        state = self._waiting.pop(request_id, None)
        if state is None:
            return False
        for lane in state.lanes.values():
            lane.queue.cancel(request_id)
        return True

    def dispatch(self, state: ServiceState, at: float) -> list[Output]:
        """Assign free slots to queued requests."""
        outputs: list[Output] = []
        while state.queued_count():
            assigned = self._dispatch_one(state, at)
            if assigned is None:
                outputs.extend(self._schedule_wake(state, at))
                break
            outputs.append(assigned)
        return outputs

    def fire(self, kind: str, state: ServiceState, at: float) -> list[Output]:
        """Handle a timer of a service."""
        if kind == EXPIRE:
            return self._expire(state, at)
        if kind == WAKE:
            self._wake_times.pop(state.name, None)
            return self.dispatch(state, at)
        return []

    def _assign(
        self,
        state: ServiceState,
        request: AdmitRequest,
        target: Target,
        at: float,
    ) -> SlotAssigned:
        assignment = Assignment(request, state, target, at)
        assignment.begin()
        target.delay_next_start(at, self._rng.random())
        self._assigned[request.request_id] = assignment
        announcement = target.announcement
        return SlotAssigned(
            at,
            request.request_id,
            announcement.target,
            announcement.host,
            announcement.port,
            target.distance,
        )

    def _enqueue(
        self, state: ServiceState, entry: WaitingRequest, at: float
    ) -> list[Output]:
        request = entry.request
        lane = state.lane(request.lane)
        displaced = lane.queue.push(entry)
        outputs: list[Output] = []
        if displaced is not None:
            self._waiting.pop(displaced.request.request_id, None)
            wait_s = lane.wait_s(len(lane.queue))
            reason = RefusalReason.queue_full
            outputs.append(_deny(at, displaced.request, reason, wait_s))
        if displaced is entry:
            return outputs
        self._waiting[request.request_id] = state
        heap = self._deadlines.setdefault(state.name, [])
        heapq.heappush(heap, (entry.start_by, request.request_id))
        if heap[0][1] == request.request_id:
            outputs.append(_timer(EXPIRE, state, entry.start_by))
        return [*outputs, *self._schedule_wake(state, at)]

    def _dispatch_one(
        self, state: ServiceState, at: float
    ) -> SlotAssigned | None:
        self._dispatch_count += 1
        lanes = [INTERACTIVE_LANE, LONG_LANE]
        if not self._dispatch_count % _LONG_LANE_INTERVAL:
            lanes.reverse()
        for name in lanes:
            assigned = self._dispatch_lane(state, name, at)
            if assigned is not None:
                return assigned
        return None

    def _dispatch_lane(
        self, state: ServiceState, name: str, at: float
    ) -> SlotAssigned | None:
        chosen: list[Target] = []

        def accept(request: AdmitRequest) -> bool:  # noqa: WPS430 (predicate)
            target = Selection(state, request, at, self._rng).choose()
            if target is not None:
                chosen.append(target)
            return target is not None

        entry = state.lane(name).queue.pop(accept)
        if entry is None:
            return None
        self._waiting.pop(entry.request.request_id, None)
        return self._assign(state, entry.request, chosen[0], at)

    def _expire(self, state: ServiceState, at: float) -> list[Output]:
        heap = self._deadlines.get(state.name, [])
        outputs: list[Output] = []
        while heap:
            start_by, request_id = heap[0]
            if request_id in self._waiting:
                if start_by > at:
                    outputs.append(_timer(EXPIRE, state, start_by))
                    break
                outputs.extend(self._time_out(state, request_id, at))
            heapq.heappop(heap)
        return outputs

    def _time_out(
        self, state: ServiceState, request_id: RequestId, at: float
    ) -> Iterator[Output]:
        self._waiting.pop(request_id)
        for lane in state.lanes.values():
            entry = lane.queue.cancel(request_id)
            if entry is not None:
                reason = RefusalReason.queue_timeout
                wait_s = lane.wait_s(len(lane.queue) + 1)
                yield _deny(at, entry.request, reason, wait_s)

    def _schedule_wake(self, state: ServiceState, at: float) -> list[Output]:
        """Schedule a dispatch at the end of the first target's back-off."""
        paused = [
            resumes_at
            for group in state.eligible_targets(at)
            for target in group
            if (resumes_at := target.resumes_at(at)) > at
        ]
        first = min(paused, default=math.inf)
        if first >= self._wake_times.get(state.name, math.inf):
            return []
        self._wake_times[state.name] = first
        return [_timer(WAKE, state, first)]


def _deny(
    at: float,
    request: AdmitRequest,
    reason: RefusalReason,
    wait_s: float | None = None,
) -> SlotDenied:
    if wait_s is not None:
        wait_s = max(_MIN_RETRY_AFTER_S, wait_s)
    return SlotDenied(at, request.request_id, reason, wait_s)


def _timer(kind: str, state: ServiceState, at: float) -> SetTimer:
    return SetTimer(COMPONENT, f'{kind}:{state.name}', at)


__all__ = ('Admission',)
