"""The router: assigns requests to targets."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from ..configuration.places import Places
from ..core.commands import ShowTargets
from ..core.effects import SendMessage, SetTimer
from ..core.events import (
    CommandReceived,
    Event,
    MessageReceived,
    Started,
    StopRequested,
    TimerFired,
)
from ..core.notices import (
    ConfigurationChanged,
    FleetSizeChanged,
    LeadershipChanged,
    MemberChanged,
    MemberStatus,
    Notice,
    SlotAssigned,
    SlotDenied,
    TargetChanged,
)
from ..core.refusals import RefusalReason
from .admission import Admission
from .attempts import Assignment
from .budgets import RetryBudgets
from .display import show_targets
from .health import Evidence, classify_evidence
from .health_sharing import BROADCAST, HealthSharing
from .idle_limits import IdleLimits
from .leadership import DECIDE, ServiceLeadership
from .messages import (
    BudgetAsked,
    BudgetGiven,
    HealthSeen,
    HealthTold,
    IdleClosed,
    OutcomeReport,
    ServiceView,
    TargetStated,
)
from .model import (
    COMPONENT,
    INTERACTIVE_LANE,
    AdmitRequest,
    AttemptOutcome,
    LeaderLookup,
    Tuning,
)
from .places import VmPlaces
from .reporting import ReportScheduler, apply_view
from .services import ServiceTable
from .shared_budget import SharedRetryBudget
from .statements import StatementSharing
from .transfer_costs import TransferCosts

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..configuration.settings import Settings
    from ..core.events import Announcement, TargetStatement
    from ..types import (
        AccountId,
        Output,
        RequestId,
        ServiceName,
        TargetId,
    )

TICK = 'tick'
_ACCOUNT_DECAY_S = 10.0
_NO_TARGET_RETRY_S = 1.0
_CUT_SHORT = frozenset((AttemptOutcome.timed_out, AttemptOutcome.cancelled))
_DEPARTED = frozenset((MemberStatus.dead, MemberStatus.left))
_MIN_HEDGE_SAMPLES = 50
_HEDGE_QUANTILE = 0.95
# With an objective, a second attempt starts after half of it, which leaves the
# other half, but not before twice the median latency, within which most answers
# arrive.
_HEDGE_OBJECTIVE_SHARE = 0.5
_HEDGE_MEDIAN_FACTOR = 2.0


class Router:
    """Routing of one VM: selection, queues, evidence and ejection.

    Parameters
    ----------
    settings
        Identity and place of this VM.
    leaders
        Lookup of the leader of the replica group of a service.
    rng
        The only source of randomness.
    tuning
        Constants of the router.

    """

    def __init__(
        self,
        settings: Settings,
        leaders: LeaderLookup,
        rng: random.Random,
        tuning: Tuning | None = None,
    ) -> None:
        """Create a router without targets."""
        self._id = settings.vm_id
        self._rng = rng
        self._tuning = attrs.evolve(
            tuning or Tuning(),
            regions=_count_regions(settings),
            transfer_costs=TransferCosts.build(settings.transfer),
        )
        places = Places(settings.vm.data_centre, dict(settings.places))
        self._vm_places = VmPlaces(places)
        self._version = 0
        self._admission = Admission(rng)
        self._budgets = RetryBudgets()
        self._retries = SharedRetryBudget(
            settings.retries, settings.vm.region, leaders
        )
        self._shares_retries = settings.retries.slack > 0
        self._report_scheduler = ReportScheduler(leaders, self._tuning)
        self._leadership = ServiceLeadership(
            self._id,
            settings.vm.region,
            self._tuning,
            leaders,
            rng,
            self._vm_places,
        )
        self._health = HealthSharing(settings.vm.region, leaders, places)
        self._services = ServiceTable(
            settings, self._tuning, self._health, places
        )
        self._idle = IdleLimits(settings.vm.region, leaders)
        self._statements = StatementSharing(settings, self._services, leaders)
        self._decayed_at: float = 0
        self._discovery_until: float = 0

    def handle(self, event: Event | Notice) -> list[Output]:
        """Apply one event or notice."""
        match event:
            case TimerFired(component='routing', name=name):
                return self._fire(name, event.at)
            case MessageReceived():
                return self._receive(event)
            case TargetChanged(announcement=announcement, silent=silent):
                return self._change_target(announcement, silent, event.at)
            case MemberChanged() | LeadershipChanged() | FleetSizeChanged():
                self._update_membership(event)
            case ConfigurationChanged():
                self._configure(event)
            case CommandReceived(command=ShowTargets()):
                return [
                    show_targets(
                        event.command_id,
                        self._version,
                        self._services,
                        event.at,
                    )
                ]
            case Started():
                return self._start(event)
            case StopRequested():
                return self._stop(event.at)
        return []

    def admit(self, request: AdmitRequest, at: float) -> list[Output]:
        """Assign a slot, queue the request, or refuse it.

        Returns
        -------
        ``SlotAssigned`` or ``SlotDenied``, or nothing if the request is
        queued; then another call returns one of them later.

        """
        state = self._services.find(request.service)
        if state is None or not any(state.eligible_targets(at)):
            if at < self._discovery_until:
                state = self._services.find_or_add(request.service)
                return self._admission.wait_for_target(state, request, at)
            reason = RefusalReason.no_target
            return [
                SlotDenied(at, request.request_id, reason, _NO_TARGET_RETRY_S)
            ]
        outputs = self._admission.admit(state, request, at)
        if request.attempt > 1:
            outputs.extend(self._request_retry_units(request.service, at))
        return outputs

    def assign_now(
        self, request: AdmitRequest, at: float
    ) -> SlotAssigned | None:
        """Assign a slot at a target not tried yet, if one is free."""
        state = self._services.find(request.service)
        if (
            state is None
            or state.queued_count()
            or state.is_above_hedge_load(at)
        ):
            return None
        return self._admission.assign_untried(state, request, at)

    def release(
        self,
        request_id: RequestId,
        outcome: AttemptOutcome,
        at: float,
        latency_s: float | None = None,
    ) -> list[Output]:
        """Free the slot of an attempt and record its outcome.

        Parameters
        ----------
        latency_s
            Latency of the target; by default since the slot was assigned.

        """
        assignment = self._admission.release(request_id, at)
        if assignment is None:
            return []
        elapsed_s = latency_s
        if elapsed_s is None:
            elapsed_s = at - assignment.started_at
        assignment.record_outcome(outcome, at, elapsed_s, self._rng)
        outputs = self._share_health(assignment, outcome, at, elapsed_s)
        if outcome is AttemptOutcome.succeeded:
            request = assignment.request
            self._budgets.credit(request.service, request.account, at)
        return [*outputs, *self._admission.dispatch(assignment.state, at)]

    def cancel(self, request_id: RequestId, at: float) -> list[Output]:
        """Remove a queued or assigned request whose caller left."""
        if self._admission.cancel_waiting(request_id):
            return []
        return self.release(request_id, AttemptOutcome.cancelled, at)

    def acquire_retry(
        self,
        service: ServiceName,
        account: AccountId,
        at: float,
        outcome: AttemptOutcome | None = None,
    ) -> bool:
        """Take one unit of the retry budgets, if available.

        Parameters
        ----------
        outcome
            Outcome of the failed attempt, if known. Without a shared budget,
            the retry of a shed attempt needs no unit: the target did no work,
            and the retry is queued like a new request until its deadline.

        """
        if self._shares_retries:
            # Shedding targets also count the attempts that they reject.
            return self._retries.allowance.acquire(service)
        if outcome is AttemptOutcome.shed:
            return True
        return self._budgets.acquire(service, account, at)

    def record_statement(
        self,
        service: ServiceName,
        target: TargetId,
        statement: TargetStatement,
        at: float,
    ) -> list[Output]:
        """Apply what a target says of itself in an answer."""
        return self._deliver_local(
            self._statements.record(service, target, statement, at), at
        )

    def max_idle_s(self, service: ServiceName, at: float) -> float:
        """Return the idle time up to which a connection may be reused."""
        return self._idle.max_idle_s(service, at)

    def hedge_delay_s(
        self, service: ServiceName, at: float, objective_s: float = 0
    ) -> float | None:
        """Return the delay of a second attempt; None to start none.

        No second attempt starts while requests are queued, because it would
        take a slot from them.

        Parameters
        ----------
        objective_s
            Latency objective of the route; 0 if there is none.

        """
        state = self._services.find(service)
        if state is None or state.queued_count():
            return None
        latency = state.lane(INTERACTIVE_LANE).latency
        if objective_s:
            median_s = latency.quantile_s(at, 0.5) or 0
            return max(
                objective_s * _HEDGE_OBJECTIVE_SHARE,
                median_s * _HEDGE_MEDIAN_FACTOR,
            )
        if latency.count() < _MIN_HEDGE_SAMPLES:
            return None
        return latency.quantile_s(at, _HEDGE_QUANTILE)

    def excluded_targets(
        self, service: ServiceName, at: float
    ) -> frozenset[TargetId]:
        """Return the targets that this VM currently excludes."""
        state = self._services.find(service)
        if state is None:
            return frozenset()
        state.eligible_targets(at)
        return frozenset(state.ejected)

    def _update_membership(self, event: Event | Notice) -> None:
        match event:
            case MemberChanged(vm=vm, status=MemberStatus.alive):
                self._vm_places.add(vm, event.data_centre)
                self._health.add_vm(vm, self._vm_places.find(vm))
                self._idle.add_vm(vm)
                self._statements.add_vm(vm, event.at)
            case MemberChanged(vm=vm, status=status):
                if status in _DEPARTED:
                    self._vm_places.remove(vm)
                    self._leadership.forget_vm(vm)
                    self._health.remove_vm(vm)
                    self._idle.remove_vm(vm)
                    self._statements.remove_vm(vm, event.at)
            case LeadershipChanged():
                self._leadership.check_leadership(event.at)
            case FleetSizeChanged(vm_count=vms):
                self._retries.set_vm_count(vms)
                self._statements.set_rank(event)

    def _share_health(
        self,
        assignment: Assignment,
        outcome: AttemptOutcome,
        at: float,
        elapsed_s: float,
    ) -> list[Output]:
        if not self._tuning.health_sharing_enabled:
            return []
        evidence = _find_evidence(assignment, outcome, at, elapsed_s)
        if evidence is None:
            return []
        shared = self._health.record(assignment.target, evidence, at)
        if outcome is AttemptOutcome.closed_idle:
            shared += self._idle.report_closed(assignment.state.name, at)
        return self._deliver_local(shared, at)

    def _start(self, event: Started) -> list[Output]:
        at = event.at
        self._statements.start(event.wall_s - at)
        self._services.start(at)
        self._leadership.start(at)
        # A random phase spreads the reports of the VMs over the interval.
        first = at + self._rng.random() * self._tuning.tick_s
        return [SetTimer(COMPONENT, TICK, first)]

    def _stop(self, at: float) -> list[Output]:
        outputs = self._report(at)
        self._leadership.stop()
        return outputs

    def _fire(self, name: str, at: float) -> list[Output]:
        if name == TICK:
            return self._tick(at)
        if name == BROADCAST:
            return self._deliver_local(self._health.broadcast(at), at)
        if name == DECIDE:
            decided = self._leadership.decide(at, self._health.failure_percent)
            return self._deliver_local(decided, at)
        kind, _, service = name.partition(':')
        state = self._services.find(service)
        if state is None:
            return []
        return self._admission.fire(kind, state, at)

    def _tick(self, at: float) -> list[Output]:
        outputs: list[Output] = [
            SetTimer(COMPONENT, TICK, at + self._tuning.tick_s)
        ]
        outputs.extend(self._report(at))
        for state in self._services:
            for lane in state.lanes.values():
                lane.update_rate(self._tuning.tick_s)
            # The expiry of an ejection frees a target without an event.
            outputs.extend(self._admission.dispatch(state, at))
            outputs.extend(self._request_retry_units(state.name, at))
        outputs.extend(self._report_overdue(at))
        if at >= self._decayed_at + _ACCOUNT_DECAY_S:
            self._decayed_at = at
            for state in self._services:
                state.accounts.decay()
        return outputs

    def _request_retry_units(
        self, service: ServiceName, at: float
    ) -> list[Output]:
        if not self._shares_retries:
            return []
        return self._deliver_local(
            self._retries.allowance.request_units(service, at), at
        )

    def _report_overdue(self, at: float) -> list[Output]:
        """Report overdue attempts before their requests end."""
        outputs: list[Output] = []
        if self._tuning.health_sharing_enabled:
            for assignment in self._admission.mark_overdue_attempts(at):
                shared = self._health.record(
                    assignment.target, Evidence.unresponsive, at
                )
                outputs.extend(self._deliver_local(shared, at))
        return outputs

    def _report(self, at: float) -> list[Output]:
        outputs: list[Output] = []
        for due in self._report_scheduler.collect(self._services, at):
            outputs.append(SendMessage(due.leader, due.report))
        return self._deliver_local(outputs, at)

    def _deliver_local(
        self, outputs: Iterable[Output], at: float
    ) -> list[Output]:
        """Handle messages of this VM to itself immediately."""
        sent: list[Output] = []
        for output in outputs:
            if isinstance(output, SendMessage) and output.to == self._id:
                event = MessageReceived(at, self._id, output.message)
                sent.extend(self._receive(event))
            else:
                sent.append(output)
        return sent

    def _receive(self, event: MessageReceived) -> list[Output]:
        at = event.at
        match event.message:
            case OutcomeReport() as report:
                view, outputs = self._leadership.receive(
                    event.sender, report, at
                )
                if view is not None:
                    outputs.append(SendMessage(event.sender, view))
                    self._retries.pools.credit(report.service, report.attempts)
                return self._deliver_local(outputs, at)
            case ServiceView() as view:
                return self._apply_view(view, at)
            case BudgetAsked() as request:
                answers = self._retries.answer(event.sender, request, at)
                return self._deliver_local(answers, at)
            case BudgetGiven() as answer:
                self._retries.allowance.receive(answer)
            case IdleClosed() as closed:
                broadcasts = self._idle.receive(closed, at)
                return self._deliver_local(broadcasts, at)
            case TargetStated() as stated:
                return self._statements.receive(stated, at)
            case HealthSeen() | HealthTold() as message:
                if isinstance(message, HealthSeen):
                    self._leadership.record_outcome(message, at)
                return self._health.receive(message, at)
        return []

    def _apply_view(self, view: ServiceView, at: float) -> list[Output]:
        state = self._services.find(view.service)
        if state is None or not apply_view(state, view, at):
            return []
        return self._admission.dispatch(state, at)

    def _configure(self, event: ConfigurationChanged) -> None:
        configuration = event.configuration
        if not self._version:
            self._discovery_until = event.at + self._tuning.discovery_s
        self._version = configuration.version
        self._services.configure(configuration)
        self._leadership.configure(configuration.services)

    def _change_target(
        self, announcement: Announcement, silent: bool, at: float
    ) -> list[Output]:
        self._leadership.update_target(announcement, silent, at)
        state = self._services.apply_announcement(announcement, silent, at)
        return self._admission.dispatch(state, at) if state else []


def _count_regions(settings: Settings) -> int:
    return max(1, len({region for _, region in settings.places}))


def _find_evidence(
    assignment: Assignment, outcome: AttemptOutcome, at: float, elapsed_s: float
) -> Evidence | None:
    """Return evidence about the target that was not counted before.

    A late success is the same evidence as no answer in time. An attempt cut
    short by its deadline or caller is evidence only if it was slow.
    """
    if outcome is AttemptOutcome.failed:
        return Evidence.failure
    if assignment.overdue:
        return None
    if assignment.mark_overdue(at):
        return Evidence.unresponsive
    if outcome in _CUT_SHORT:
        slow = assignment.is_slow(at, elapsed_s)
        return Evidence.unresponsive if slow else None
    return classify_evidence(outcome)


__all__ = ('Router',)
