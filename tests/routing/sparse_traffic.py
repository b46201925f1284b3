"""Simulation of a large fleet whose targets get few requests each.

The VMs are real routers in simulated time. Targets fail some requests, and at
times most of them for several seconds.
"""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Iterator
from typing import Final

import attrs

from cranberryseam.core.events import Announcement, TargetState
from cranberryseam.core.notices import SlotAssigned, SlotDenied
from cranberryseam.experiments.policy_metrics import Recorder
from cranberryseam.experiments.policy_scenarios import Deployment
from cranberryseam.experiments.policy_targets import build_announcement
from cranberryseam.experiments.policy_vms import (
    FLEET_REGION,
    SERVICE,
    Fleet,
    Vm,
)
from cranberryseam.routing import (
    ATTACHED_TUNING,
    AdmitRequest,
    AttemptOutcome,
    LeaderLookup,
    Router,
)
from cranberryseam.types import AccountId, RequestId, ServiceName

WINDOW_S: Final = 2.0
# Time after which a failed target counts as sound again.
SOUND_AFTER_S: Final = 2.0
_REGIONS: Final = ('aru', 'dar', 'mwz')
_WARM_UP_S: Final = 15.0
_DEADLINE_S: Final = 10.0
_DURATION_SIGMA: Final = 0.5
# Requests that a target queues beyond its slots before it sheds.
_QUEUE: Final = 2
_EPISODE_S: Final = (5.0, 9.0)
_EPISODE_FAILED_SHARE: Final = 0.75
_FAILED_DURATION_FACTOR: Final = 0.3
_MAX_ATTEMPTS: Final = 2


@attrs.frozen
class Traffic:
    """Size and traffic of one service.

    Parameters
    ----------
    rate
        Requests per second of the whole fleet.
    work_s
        Median time that a target works on a request.
    retriable_share
        Share of the requests that may be repeated.
    failed_share
        Share of the requests that fail outside of failure episodes.
    time_between_episodes_s
        Mean time from the end of an episode of a target to its next one;
        infinite without episodes.

    """

    vms: int
    targets: int
    slots: int
    rate: float
    work_s: float
    retriable_share: float
    failed_share: float = 0.035
    time_between_episodes_s: float = math.inf


@attrs.define(eq=False)
class SparseTarget:
    """A target with the times of its requests, failures and episodes."""

    announcement: Announcement
    in_progress: int = 0
    failing: bool = False
    arrivals: list[float] = attrs.field(factory=list)
    failures: list[float] = attrs.field(factory=list)
    episodes: list[tuple[float, float]] = attrs.field(factory=list)

    def is_sound(self, start: float, end: float) -> bool:
        """Return whether it didn't fail in a window or shortly before."""
        since = start - SOUND_AFTER_S
        return not (
            any(since < failed < end for failed in self.failures)
            or any(start < ends and end > at for at, ends in self._unsound())
        )

    def is_used(self, start: float, end: float) -> bool:
        """Return whether a request arrived in a window."""
        return any(start <= at < end for at in self.arrivals)

    def _unsound(self) -> Iterator[tuple[float, float]]:
        for start, end in self.episodes:
            yield start, end + SOUND_AFTER_S


@attrs.define(eq=False)
class _Call:
    request: AdmitRequest
    vm: Vm


class SparseTraffic:
    """Seeded simulation of one service."""

    def __init__(self, traffic: Traffic, seed: int) -> None:
        """Create targets, VMs and callers."""
        self.traffic = traffic
        self.answered = 0
        self.sent = 0
        # Requests to a target in another data centre than their VM.
        self.left = 0
        self._rng = random.Random(seed)
        deployment = Deployment(
            'sparse',
            _REGIONS,
            0.0014,
            traffic.slots,
            traffic.vms,
            attached=True,
        )
        self._fleet = Fleet(
            deployment, _build_router, self._rng, Recorder(0, 0)
        )
        self._fleet.on_slot = self._handle_slot_decision
        self._clock = self._fleet.clock
        self._vms = list(self._fleet.vms.values())
        self._numbers = itertools.count(1)
        self._calls: dict[RequestId, _Call] = {}
        self.targets = {
            target.announcement.target: target
            for target in map(self._create_target, range(traffic.targets))
        }

    def run(self, seconds: float) -> None:
        """Run the simulation."""
        self._schedule_request()
        self._clock.run_until(seconds)

    def windows(
        self, step_s: float
    ) -> Iterator[tuple[float, list[tuple[bool, bool]]]]:
        """Yield the start of each window, and which targets are sound and used.

        Parameters
        ----------
        step_s
            Time between the starts of two windows.

        """
        start = _WARM_UP_S
        while start + WINDOW_S <= self._clock.now:
            end = start + WINDOW_S
            yield (
                start,
                [
                    (target.is_sound(start, end), target.is_used(start, end))
                    for target in self.targets.values()
                ],
            )
            start += step_s

    def _create_target(self, number: int) -> SparseTarget:
        region = _REGIONS[number % len(_REGIONS)]
        data_centre = f'{region}{number // len(_REGIONS) % 2 + 1}'
        announcement = build_announcement(
            (f't{number}', FLEET_REGION, data_centre),
            self.traffic.slots,
            TargetState.ready,
            1,
        )
        self._fleet.announce(announcement, silent=False)
        target = SparseTarget(announcement)
        if math.isfinite(self.traffic.time_between_episodes_s):
            self._schedule_episode(target)
        return target

    def _schedule_episode(self, target: SparseTarget) -> None:
        mean_s = self.traffic.time_between_episodes_s
        start = self._clock.now + self._rng.expovariate(1 / mean_s)
        end = start + self._rng.uniform(*_EPISODE_S)

        def begin_episode() -> None:
            target.failing = True
            target.episodes.append((start, end))
            self._clock.call_at(end, end_episode)

        def end_episode() -> None:
            target.failing = False
            self._schedule_episode(target)

        self._clock.call_at(start, begin_episode)

    def _schedule_request(self) -> None:
        at = self._clock.now + self._rng.expovariate(self.traffic.rate)
        self._clock.call_at(at, self._send_request)

    def _send_request(self) -> None:
        self._schedule_request()
        now = self._clock.now
        request = AdmitRequest(
            RequestId(next(self._numbers)),
            ServiceName(SERVICE),
            AccountId('asha'),
            weight=1,
            lane='interactive',
            deadline_at=now + _DEADLINE_S,
            retriable=self._rng.random() < self.traffic.retriable_share,
            objective_s=_DEADLINE_S / 4,
        )
        call = _Call(request, self._rng.choice(self._vms))
        self.sent += 1
        self._calls[request.request_id] = call
        self._fleet.execute(call.vm, call.vm.router.admit(request, now))

    def _handle_slot_decision(
        self, vm: Vm, notice: SlotAssigned | SlotDenied
    ) -> None:
        call = self._calls[notice.request_id]
        if isinstance(notice, SlotDenied):
            return
        target = self.targets[notice.target]
        self.left += target.announcement.data_centre != vm.data_centre
        outcome, duration_s = self._start_work(target)

        def end() -> None:
            target.in_progress -= outcome is not AttemptOutcome.shed
            self._finish(call, notice, outcome)

        self._clock.call_at(self._clock.now + duration_s, end)

    def _start_work(self, target: SparseTarget) -> tuple[AttemptOutcome, float]:
        if target.in_progress >= self.traffic.slots + _QUEUE:
            return AttemptOutcome.shed, 0.01
        now = self._clock.now
        target.arrivals.append(now)
        target.in_progress += 1
        median_s = self.traffic.work_s
        duration_s = self._rng.lognormvariate(
            math.log(median_s), _DURATION_SIGMA
        )
        share = self.traffic.failed_share
        if target.failing:
            share = _EPISODE_FAILED_SHARE
        if self._rng.random() >= share:
            return AttemptOutcome.succeeded, duration_s
        duration_s *= _FAILED_DURATION_FACTOR
        target.failures.append(now + duration_s)
        return AttemptOutcome.failed, duration_s

    def _finish(
        self, call: _Call, notice: SlotAssigned, outcome: AttemptOutcome
    ) -> None:
        now = self._clock.now
        router = call.vm.router
        request = call.request
        outputs = router.release(request.request_id, outcome, now)
        if outcome is AttemptOutcome.succeeded:
            self.answered += 1
        elif request.attempt < _MAX_ATTEMPTS and (
            request.retriable or outcome is AttemptOutcome.shed
        ):
            call.request = attrs.evolve(
                request,
                excluded=request.excluded | {notice.target},
                attempt=request.attempt + 1,
            )
            outputs = [*outputs, *router.admit(call.request, now)]
        self._fleet.execute(call.vm, outputs)


def _build_router(
    settings: object, leaders: LeaderLookup, rng: random.Random
) -> Router:
    return Router(settings, leaders, rng, ATTACHED_TUNING)


__all__ = ('SparseTraffic', 'Traffic')
