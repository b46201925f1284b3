"""One run: callers, a fleet of routers, and targets with a fault."""

from __future__ import annotations

import itertools
import random
from typing import TYPE_CHECKING

import attrs

from ..core.events import TargetState
from ..core.notices import SlotAssigned, SlotDenied
from ..routing import AdmitRequest, AttemptOutcome
from ..routing.floor import measure_capacity
from ..types import AccountId, RequestId, ServiceName, TargetId
from .policy_baselines import POLICIES, LocalEjection
from .policy_metrics import Recorder, RunResult, p99
from .policy_targets import COLD_S, Fault, StubTarget, announce
from .policy_vms import FLOOR, SERVICE, Fleet, Vm

if TYPE_CHECKING:
    from .policy_scenarios import Deployment, Scenario

_MEAN_SERVICE_S = 0.06
_FAULT_AT = 15.0
_FAULT_JITTER_S = 3.0
_WEIGHTS = (8, 4, 2, 1, 1, 1, 1, 1)
_GREEDY = 0
_BAD = 3
_GREEDY_FACTOR = 5
_RETRIABLE_SHARE = 0.7
_MOST_ATTEMPTS = 3
_SAMPLE_S = 0.5
_RETRIED = frozenset(
    (
        AttemptOutcome.failed,
        AttemptOutcome.shed,
        AttemptOutcome.not_connected,
    )
)
# Ejecting a target for one of these is false.
_NO_FAULTS = frozenset((Fault.none, Fault.cold, Fault.shedding))
_NOT_RUN = frozenset((AttemptOutcome.shed, AttemptOutcome.not_connected))


@attrs.define(eq=False)
class _Call:
    request: AdmitRequest
    vm: Vm
    sent_at: float
    attempts: int = 1


class Simulation:
    """A seeded run of one policy in one scenario."""

    def __init__(
        self,
        deployment: Deployment,
        scenario: Scenario,
        policy: str,
        seed: int,
        duration_s: float = 0,
    ) -> None:
        """Create targets, VMs and callers."""
        self._scenario = scenario
        self._duration_s = duration_s or scenario.duration_s
        self._rng = random.Random(seed)
        fault_at = _FAULT_AT + self._rng.random() * _FAULT_JITTER_S
        self._recorder = Recorder(
            fault_at, self._duration_s - scenario.deadline_s
        )
        self._fleet = Fleet(
            deployment, POLICIES[policy], self._rng, self._recorder
        )
        self._fleet.on_slot = self._take_slot
        self._clock = self._fleet.clock
        self._targets = _create_targets(deployment)
        self._calls: dict[RequestId, _Call] = {}
        self._numbers = itertools.count(1)
        self._vms = list(self._fleet.vms.values())
        self._broken = (self._vms[0].name, next(iter(self._targets)))
        self._set_faults(fault_at)

    def run(self) -> RunResult:
        """Run to the end and return the figures."""
        for index, _ in enumerate(_WEIGHTS):
            self._schedule_call(index)
        self._clock.call_at(0, self._sample)
        self._clock.run_until(self._duration_s)
        return self._summarise()

    def _set_faults(self, fault_at: float) -> None:
        names = self._rng.sample(sorted(self._targets), self._scenario.faulty)
        for target in self._targets.values():
            faulty = target.announcement.target in names
            if faulty:
                target.fault = self._scenario.fault
                target.fault_from = fault_at
            if faulty and target.fault is Fault.cold:
                self._announce_later(target, fault_at, TargetState.cold)
                ready_at = fault_at + COLD_S
                self._announce_later(target, ready_at, TargetState.ready)
            else:
                self._fleet.announce(target.announcement, silent=False)

    def _announce_later(
        self, target: StubTarget, at: float, state: TargetState
    ) -> None:
        def call() -> None:  # noqa: WPS430 (scheduled call)
            target.announcement = attrs.evolve(target.announcement, state=state)
            self._fleet.announce(target.announcement, silent=False)

        self._clock.call_at(at, call)

    def _rate(self, index: int) -> float:
        scenario = self._scenario
        total = scenario.rate * len(self._targets)
        if scenario.load:
            slots = sum(
                target.announcement.slots for target in self._targets.values()
            )
            total = scenario.load * slots / _MEAN_SERVICE_S
        rate = total * _WEIGHTS[index] / sum(_WEIGHTS)
        after = self._clock.now >= self._recorder.fault_at
        if scenario.greedy and index == _GREEDY and after:
            rate *= _GREEDY_FACTOR
        return rate

    def _schedule_call(self, index: int) -> None:
        at = self._clock.now + self._rng.expovariate(self._rate(index))

        def call() -> None:  # noqa: WPS430 (scheduled call)
            self._schedule_call(index)
            self._arrive(index)

        self._clock.call_at(at, call)

    def _arrive(self, index: int) -> None:
        now = self._clock.now
        vm = self._vms[int(self._rng.random() * len(self._vms))]
        request = AdmitRequest(
            request_id=RequestId(next(self._numbers)),
            service=ServiceName(SERVICE),
            account=AccountId(f'account{index}'),
            weight=_WEIGHTS[index],
            lane='interactive',
            deadline_at=now + self._scenario.deadline_s,
            retriable=self._rng.random() < _RETRIABLE_SHARE,
        )
        self._recorder.count_sent(request.account, now)
        self._calls[request.request_id] = _Call(request, vm, now)
        self._fleet.execute(vm, vm.router.admit(request, now))

    def _take_slot(self, vm: Vm, notice: SlotAssigned | SlotDenied) -> None:
        call = self._calls[notice.request_id]
        if isinstance(notice, SlotDenied):
            self._recorder.count_refusal(notice.reason.value, call.sent_at)
            self._calls.pop(notice.request_id)
            return
        target = self._targets[notice.target]
        place = target.announcement
        delay_s = self._fleet.delay_s(vm, place.region, place.data_centre)

        def reach() -> None:  # noqa: WPS430 (scheduled call)
            self._reach(call, target, delay_s)

        self._clock.call_at(self._clock.now + delay_s, reach)

    def _reach(self, call: _Call, target: StubTarget, delay_s: float) -> None:
        now = self._clock.now
        name = target.announcement.target
        self._recorder.count_start(name, now)
        if self._is_broken(call.vm, name):
            outcome, ends_at = AttemptOutcome.not_connected, now + delay_s
        else:
            bad = self._is_bad(call.request.account, now)
            work = target.start(now, bad, self._rng)
            outcome = work.outcome
            ends_at = now + work.takes_s
            if work.holds_slot:
                ends_at = self._hold(call, target, ends_at)
            if ends_at + delay_s > call.request.deadline_at:
                outcome = AttemptOutcome.timed_out
                ends_at = call.request.deadline_at - delay_s

        def end() -> None:  # noqa: WPS430 (scheduled call)
            self._end(call, name, outcome)

        self._clock.call_at(ends_at + delay_s, end)

    def _hold(self, call: _Call, target: StubTarget, until: float) -> float:
        target.in_use += 1

        def free() -> None:  # noqa: WPS430 (scheduled call)
            target.in_use -= 1

        # Targets take deadlines and give up the work by themselves.
        self._clock.call_at(min(until, call.request.deadline_at), free)
        return until

    def _is_broken(self, vm: Vm, target: TargetId) -> bool:
        started = self._clock.now >= self._recorder.fault_at
        hit = (vm.name, target) == self._broken
        return self._scenario.broken_path and started and hit

    def _is_bad(self, account: str, at: float) -> bool:
        started = at >= self._recorder.fault_at
        hit = account == f'account{_BAD}'
        return self._scenario.bad_account and started and hit

    def _end(
        self, call: _Call, target: TargetId, outcome: AttemptOutcome
    ) -> None:
        now = self._clock.now
        vm = call.vm
        request = call.request
        outputs = vm.router.release(request.request_id, outcome, now)
        if outcome in {AttemptOutcome.succeeded, AttemptOutcome.rejected}:
            self._recorder.count_answer(request.account, call.sent_at, now)
            self._calls.pop(request.request_id)
        elif self._may_retry(call, outcome):
            excluded = request.excluded
            if outcome is not AttemptOutcome.shed:
                call.attempts += 1
                excluded |= {target}
            call.request = attrs.evolve(
                request, excluded=excluded, attempt=request.attempt + 1
            )
            outputs = [*outputs, *vm.router.admit(call.request, now)]
        else:
            self._recorder.count_refusal(outcome.value, call.sent_at)
            self._calls.pop(request.request_id)
        self._fleet.execute(vm, outputs)

    def _may_retry(self, call: _Call, outcome: AttemptOutcome) -> bool:
        request = call.request
        if call.attempts >= _MOST_ATTEMPTS or outcome not in _RETRIED:
            return False
        if outcome not in _NOT_RUN and not request.retriable:
            return False
        return call.vm.router.acquire_retry(
            request.service, request.account, self._clock.now, outcome
        )

    def _sample(self) -> None:
        now = self._clock.now
        excluded: set[TargetId] = set()
        for vm in self._vms:
            excluded.update(_excluded_by(vm, now))
        for name in excluded:
            self._recorder.note_excluded(name, now)
        known = [
            (target.announcement, False) for target in self._targets.values()
        ]
        for region in self._fleet.deployment.regions:
            there = [pair for pair in known if pair[0].region == region]
            if measure_capacity(there, excluded).is_below(FLOOR):
                self._recorder.samples_below_floor += bool(excluded)
        self._clock.call_at(now + _SAMPLE_S / 2, self._sample)

    def _summarise(self) -> RunResult:
        recorder = self._recorder
        faulty = {
            name
            for name, target in self._targets.items()
            if target.fault not in _NO_FAULTS
        }
        found = [name for name in faulty if name in recorder.excluded_at]
        diverted = [recorder.diverted_s(name) for name in faulty]
        tallies = dict(recorder.accounts)
        sent = sum(tally.sent for tally in tallies.values())
        answered = sum(tally.answered for tally in tallies.values())
        if self._scenario.greedy:
            tallies.pop(f'account{_GREEDY}', None)
        if self._scenario.bad_account:
            tallies.pop(f'account{_BAD}', None)
        vm_seconds = len(self._vms) * self._duration_s
        return RunResult(
            detection_delays_s=tuple(
                recorder.excluded_at[name] - recorder.fault_at for name in found
            ),
            missed=len(faulty) - len(found),
            diverted_s=tuple(at for at in diverted if at is not None),
            false_ejections=len(
                recorder.excluded_early | (recorder.excluded_at.keys() - faulty)
            ),
            samples_below_floor=recorder.samples_below_floor,
            worst_answered_share=min(
                (
                    tally.answered / max(1, tally.sent)
                    for tally in tallies.values()
                ),
                default=1,
            ),
            worst_p99_s=max(
                (p99(tally.latencies_s) for tally in tallies.values()),
                default=0,
            ),
            answered_share=answered / max(1, sent),
            refused=dict(recorder.refused),
            messages_per_vm_s=recorder.messages / vm_seconds,
            bytes_per_vm_s=recorder.message_bytes / vm_seconds,
        )


def _create_targets(deployment: Deployment) -> dict[TargetId, StubTarget]:
    targets = {}
    for region in deployment.regions:
        for centre in (f'{region}1', f'{region}2'):
            for number in range(deployment.targets_per_centre):
                place = (f'work-{centre}-{number}', region, centre)
                announcement = announce(
                    place, deployment.slots, TargetState.ready, 1
                )
                targets[announcement.target] = StubTarget(announcement)
    return targets


def _excluded_by(vm: Vm, at: float) -> set[TargetId]:
    if isinstance(vm.router, LocalEjection):
        return vm.router.barred_at(at)
    return set(vm.router.excluded_targets(ServiceName(SERVICE), at))


__all__ = ('Simulation',)
