"""Simulation of callers, a fleet of routers and faulty targets."""

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
from .policy_targets import COLD_S, Fault, SimulatedTarget, build_announcement
from .policy_vms import FLOOR, SERVICE, Fleet, Vm

if TYPE_CHECKING:
    from .policy_scenarios import Deployment, Scenario

_MEAN_SERVICE_S = 0.06
_FAULT_AT = 15.0
_FAULT_JITTER_S = 3.0
_ACCOUNT_WEIGHTS = (8, 4, 2, 1, 1, 1, 1, 1)
_OVERLOADING_ACCOUNT = 0
_FAILING_ACCOUNT = 3
_OVERLOAD_FACTOR = 5
_RETRIABLE_SHARE = 0.7
_MAX_ATTEMPTS = 3
_SAMPLE_S = 0.5
_RETRIED_OUTCOMES = frozenset(
    (
        AttemptOutcome.failed,
        AttemptOutcome.shed,
        AttemptOutcome.not_connected,
    )
)
# Ejecting a target with one of these faults counts as a false ejection.
_HARMLESS_FAULTS = frozenset((Fault.none, Fault.cold, Fault.shedding))
_NOT_EXECUTED = frozenset((AttemptOutcome.shed, AttemptOutcome.not_connected))


@attrs.define(eq=False)
class _PendingRequest:
    request: AdmitRequest
    vm: Vm
    sent_at: float
    attempts: int = 1


class Simulation:
    """Seeded simulation of one policy in one scenario."""

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
        self._fleet.on_slot = self._handle_slot_decision
        self._clock = self._fleet.clock
        self._targets = _create_targets(deployment)
        self._pending: dict[RequestId, _PendingRequest] = {}
        self._request_numbers = itertools.count(1)
        self._vms = list(self._fleet.vms.values())
        self._broken_link = (self._vms[0].name, next(iter(self._targets)))
        self._set_faults(fault_at)

    def run(self) -> RunResult:
        """Run the simulation and return its results."""
        for index, _ in enumerate(_ACCOUNT_WEIGHTS):
            self._schedule_request(index)
        self._clock.call_at(0, self._sample_exclusions)
        self._clock.run_until(self._duration_s)
        return self._summarise()

    def _set_faults(self, fault_at: float) -> None:
        names = self._rng.sample(
            sorted(self._targets), self._scenario.faulty_targets
        )
        for target in self._targets.values():
            is_faulty = target.announcement.target in names
            if is_faulty:
                target.fault = self._scenario.fault
                target.fault_starts_at = fault_at
            if is_faulty and target.fault is Fault.cold:
                self._announce_later(target, fault_at, TargetState.cold)
                ready_at = fault_at + COLD_S
                self._announce_later(target, ready_at, TargetState.ready)
            else:
                self._fleet.announce(target.announcement, silent=False)

    def _announce_later(
        self, target: SimulatedTarget, at: float, state: TargetState
    ) -> None:
        def call() -> None:  # noqa: WPS430 (scheduled call)
            target.announcement = attrs.evolve(target.announcement, state=state)
            self._fleet.announce(target.announcement, silent=False)

        self._clock.call_at(at, call)

    def _request_rate(self, index: int) -> float:
        scenario = self._scenario
        total = scenario.rate * len(self._targets)
        if scenario.load:
            slots = sum(
                target.announcement.slots for target in self._targets.values()
            )
            total = scenario.load * slots / _MEAN_SERVICE_S
        rate = total * _ACCOUNT_WEIGHTS[index] / sum(_ACCOUNT_WEIGHTS)
        after = self._clock.now >= self._recorder.fault_at
        if (
            scenario.overloading_account
            and index == _OVERLOADING_ACCOUNT
            and after
        ):
            rate *= _OVERLOAD_FACTOR
        return rate

    def _schedule_request(self, index: int) -> None:
        at = self._clock.now + self._rng.expovariate(self._request_rate(index))

        def call() -> None:  # noqa: WPS430 (scheduled call)
            self._schedule_request(index)
            self._send_request(index)

        self._clock.call_at(at, call)

    def _send_request(self, index: int) -> None:
        now = self._clock.now
        vm = self._vms[int(self._rng.random() * len(self._vms))]
        request = AdmitRequest(
            request_id=RequestId(next(self._request_numbers)),
            service=ServiceName(SERVICE),
            account=AccountId(f'account{index}'),
            weight=_ACCOUNT_WEIGHTS[index],
            lane='interactive',
            deadline_at=now + self._scenario.deadline_s,
            retriable=self._rng.random() < _RETRIABLE_SHARE,
        )
        self._recorder.count_sent(request.account, now)
        self._pending[request.request_id] = _PendingRequest(request, vm, now)
        self._fleet.execute(vm, vm.router.admit(request, now))

    def _handle_slot_decision(
        self, vm: Vm, notice: SlotAssigned | SlotDenied
    ) -> None:
        call = self._pending[notice.request_id]
        if isinstance(notice, SlotDenied):
            self._recorder.count_refusal(notice.reason.value, call.sent_at)
            self._pending.pop(notice.request_id)
            return
        target = self._targets[notice.target]
        place = target.announcement
        delay_s = self._fleet.delay_s(vm, place.region, place.data_centre)

        def reach() -> None:  # noqa: WPS430 (scheduled call)
            self._reach_target(call, target, delay_s)

        self._clock.call_at(self._clock.now + delay_s, reach)

    def _reach_target(
        self, call: _PendingRequest, target: SimulatedTarget, delay_s: float
    ) -> None:
        now = self._clock.now
        name = target.announcement.target
        self._recorder.count_start(name, now)
        if self._is_link_broken(call.vm, name):
            outcome, ends_at = AttemptOutcome.not_connected, now + delay_s
        else:
            bad = self._is_failing_account(call.request.account, now)
            work = target.start(now, bad, self._rng)
            outcome = work.outcome
            ends_at = now + work.duration_s
            if work.occupies_slot:
                ends_at = self._occupy_slot(call, target, ends_at)
            if ends_at + delay_s > call.request.deadline_at:
                outcome = AttemptOutcome.timed_out
                ends_at = call.request.deadline_at - delay_s

        def end() -> None:  # noqa: WPS430 (scheduled call)
            self._finish_attempt(call, name, outcome)

        self._clock.call_at(ends_at + delay_s, end)

    def _occupy_slot(
        self, call: _PendingRequest, target: SimulatedTarget, until: float
    ) -> float:
        target.slots_in_use += 1

        def free() -> None:  # noqa: WPS430 (scheduled call)
            target.slots_in_use -= 1

        # Targets abandon a request at its deadline, which frees the slot.
        self._clock.call_at(min(until, call.request.deadline_at), free)
        return until

    def _is_link_broken(self, vm: Vm, target: TargetId) -> bool:
        started = self._clock.now >= self._recorder.fault_at
        matches = (vm.name, target) == self._broken_link
        return self._scenario.broken_link and started and matches

    def _is_failing_account(self, account: str, at: float) -> bool:
        started = at >= self._recorder.fault_at
        matches = account == f'account{_FAILING_ACCOUNT}'
        return self._scenario.failing_account and started and matches

    def _finish_attempt(
        self, call: _PendingRequest, target: TargetId, outcome: AttemptOutcome
    ) -> None:
        now = self._clock.now
        vm = call.vm
        request = call.request
        outputs = vm.router.release(request.request_id, outcome, now)
        if outcome in {AttemptOutcome.succeeded, AttemptOutcome.rejected}:
            self._recorder.count_answer(request.account, call.sent_at, now)
            self._pending.pop(request.request_id)
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
            self._pending.pop(request.request_id)
        self._fleet.execute(vm, outputs)

    def _may_retry(
        self, call: _PendingRequest, outcome: AttemptOutcome
    ) -> bool:
        request = call.request
        if call.attempts >= _MAX_ATTEMPTS or outcome not in _RETRIED_OUTCOMES:
            return False
        if outcome not in _NOT_EXECUTED and not request.retriable:
            return False
        return call.vm.router.acquire_retry(
            request.service, request.account, self._clock.now, outcome
        )

    def _sample_exclusions(self) -> None:
        now = self._clock.now
        excluded: set[TargetId] = set()
        for vm in self._vms:
            excluded.update(_excluded_by(vm, now))
        for name in excluded:
            self._recorder.record_exclusion(name, now)
        known = [
            (target.announcement, False) for target in self._targets.values()
        ]
        for region in self._fleet.deployment.regions:
            there = [pair for pair in known if pair[0].region == region]
            if measure_capacity(there, excluded).is_below(FLOOR):
                self._recorder.samples_below_floor += bool(excluded)
        self._clock.call_at(now + _SAMPLE_S / 2, self._sample_exclusions)

    def _summarise(self) -> RunResult:
        recorder = self._recorder
        faulty_targets = {
            name
            for name, target in self._targets.items()
            if target.fault not in _HARMLESS_FAULTS
        }
        found = [
            name for name in faulty_targets if name in recorder.excluded_at
        ]
        diverted = [
            recorder.find_diversion_delay_s(name) for name in faulty_targets
        ]
        account_counts = dict(recorder.accounts)
        sent = sum(counts.sent for counts in account_counts.values())
        answered = sum(counts.answered for counts in account_counts.values())
        if self._scenario.overloading_account:
            account_counts.pop(f'account{_OVERLOADING_ACCOUNT}', None)
        if self._scenario.failing_account:
            account_counts.pop(f'account{_FAILING_ACCOUNT}', None)
        vm_seconds = len(self._vms) * self._duration_s
        return RunResult(
            detection_delays_s=tuple(
                recorder.excluded_at[name] - recorder.fault_at for name in found
            ),
            undetected=len(faulty_targets) - len(found),
            diversion_delays_s=tuple(at for at in diverted if at is not None),
            false_ejections=len(
                recorder.excluded_before_fault
                | (recorder.excluded_at.keys() - faulty_targets)
            ),
            samples_below_floor=recorder.samples_below_floor,
            worst_answered_share=min(
                (
                    counts.answered / max(1, counts.sent)
                    for counts in account_counts.values()
                ),
                default=1,
            ),
            worst_p99_s=max(
                (p99(counts.latencies_s) for counts in account_counts.values()),
                default=0,
            ),
            answered_share=answered / max(1, sent),
            refused=dict(recorder.refused),
            messages_per_vm_s=recorder.messages / vm_seconds,
            bytes_per_vm_s=recorder.message_bytes / vm_seconds,
        )


def _create_targets(deployment: Deployment) -> dict[TargetId, SimulatedTarget]:
    targets = {}
    for region in deployment.regions:
        for data_centre in (f'{region}1', f'{region}2'):
            for number in range(deployment.targets_per_data_centre):
                place = (f'work-{data_centre}-{number}', region, data_centre)
                announcement = build_announcement(
                    place, deployment.slots, TargetState.ready, 1
                )
                targets[announcement.target] = SimulatedTarget(announcement)
    return targets


def _excluded_by(vm: Vm, at: float) -> set[TargetId]:
    if isinstance(vm.router, LocalEjection):
        return vm.router.excluded_targets_at(at)
    return set(vm.router.excluded_targets(ServiceName(SERVICE), at))


__all__ = ('Simulation',)
