"""What targets say of themselves, shared by all VMs through the leader.

A VM that sends few requests to a target learns late what it says. The first
VM that learns something new informs the others.
"""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

import attrs

from ..core.effects import IncrementCounter, SendMessage, WriteLog
from ..core.events import TargetStatement
from ..types import TargetId
from .leadership import shard_key
from .messages import TargetStated
from .model import LeaderLookup
from .rate_limits import RateLimit, TurnSchedule

if TYPE_CHECKING:
    from ..configuration.settings import Settings
    from ..core.notices import FleetSizeChanged
    from ..types import Output, ServiceName, VmId
    from .services import ServiceTable
    from .target import Target

# Limits up to this fraction apart are not worth a message to all VMs.
_MINOR_CHANGE = 0.1
_MAX_PAUSE_S = 3600.0
# The VMs that miss a statement get it with their own next answer.
_BROADCAST_INTERVAL_S = 1.0


class StatementSharing:
    """Applies statements of targets, and exchanges them with other VMs.

    Parameters
    ----------
    settings
        Name and region of this VM; reports go to the leaders of services in
        the region.
    services
        The targets.
    leaders
        Lookup of leaders.

    """

    def __init__(
        self,
        settings: Settings,
        services: ServiceTable,
        leaders: LeaderLookup,
    ) -> None:
        """Start without other VMs."""
        self._vm = settings.vm_id
        self._region = settings.vm.region
        self._services = services
        self._leaders = leaders
        self._vms: set[VmId] = set()
        self._schedule = TurnSchedule()
        self._is_counted = False
        self._broadcast_at: dict[str, float] = {}

    def start(self, wall_offset_s: float) -> None:
        """Set the difference of the wall clock to the clock of events."""
        self._schedule.wall_offset_s = wall_offset_s

    def add_vm(self, vm: VmId, at: float) -> None:
        """Add a VM to broadcasts, and to those that share limits."""
        self._vms.add(vm)
        self._rank_by_name(at)

    def remove_vm(self, vm: VmId, at: float) -> None:
        """Remove a VM that left."""
        self._vms.discard(vm)
        self._rank_by_name(at)

    def set_rank(self, notice: FleetSizeChanged) -> None:
        """Apply the rank that the leader has assigned to this VM."""
        self._is_counted = True
        self._schedule.update(notice.rank, notice.vm_count, notice.at)

    def record(
        self,
        service: ServiceName,
        name: TargetId,
        statement: TargetStatement,
        at: float,
    ) -> list[Output]:
        """Apply a statement; report a new one to the leader."""
        target = self._find_target(service, name)
        if target is None:
            return []
        outputs: list[Output] = []
        if not statement.is_valid:
            outputs += _report_invalid(service, name)
        if statement.pause_s:
            outputs.append(_pause(service, target, statement.pause_s, at))
        lasting = attrs.evolve(statement, pause_s=0, is_valid=True)
        if target.leaving_since < math.inf:
            # A target that leaves doesn't come back before its next start.
            lasting = attrs.evolve(lasting, leaving=True)
        if lasting == target.statement:
            return outputs
        is_minor = _is_minor_change(target.statement, lasting)
        outputs.append(self._apply(service, target, lasting, at))
        leader = self._leaders.leader_of(self._region, shard_key(service))
        if leader is None or is_minor:
            return outputs
        stated = TargetStated(
            service,
            name,
            lasting.max_rate,
            lasting.leaving,
            target.announcement.born_ms,
        )
        return [*outputs, SendMessage(leader, stated)]

    def receive(self, stated: TargetStated, at: float) -> list[Output]:
        """Apply a statement that another VM has got; as leader, pass it on."""
        outputs: list[Output] = []
        service = stated.service
        target = self._find_target(service, TargetId(stated.target))
        if target and target.announcement.born_ms == stated.born_ms:
            leaving = stated.leaving or target.statement.leaving
            statement = TargetStatement(stated.max_rate, leaving)
            if target.statement != statement:
                outputs.append(self._apply(service, target, statement, at))
        if self._is_broadcast_due(stated, at):
            others = sorted(self._vms - {self._vm})
            outputs += [SendMessage(vm, stated) for vm in others]
        return outputs

    def _is_broadcast_due(self, stated: TargetStated, at: float) -> bool:
        if not self._leaders.is_leader(
            self._region, shard_key(stated.service), at
        ):
            return False
        sent_at = self._broadcast_at.get(stated.target, -math.inf)
        if at - sent_at < _BROADCAST_INTERVAL_S:
            return False
        self._broadcast_at[stated.target] = at
        return True

    def _apply(
        self,
        service: str,
        target: Target,
        statement: TargetStatement,
        at: float,
    ) -> Output:
        target.statement = statement
        self._limit(target, statement.max_rate, at)
        if statement.leaving and target.leaving_since == math.inf:
            target.leaving_since = at
            state = self._services.find(service)
            if state is not None:
                state.invalidate()
        fields = {
            'service': service,
            'target': target.announcement.target,
            'max_rate': statement.max_rate,
            'leaving': statement.leaving,
        }
        return WriteLog(logging.INFO, 'target statement changed', fields)

    def _limit(self, target: Target, max_rate: float | None, at: float) -> None:
        if max_rate is None:
            target.rate_limit = None
        elif target.rate_limit is None:
            target.rate_limit = RateLimit(max_rate, at, self._schedule)
        else:
            target.rate_limit.max_rate = max_rate

    def _find_target(self, service: str, name: TargetId) -> Target | None:
        state = self._services.find(service)
        return state.targets.get(name) if state else None

    def _rank_by_name(self, at: float) -> None:
        """Rank this VM by its name, where no leader assigns the ranks."""
        if not self._is_counted:
            names = sorted(self._vms | {self._vm})
            self._schedule.update(names.index(self._vm), len(names), at)


def _is_minor_change(before: TargetStatement, after: TargetStatement) -> bool:
    if before.max_rate is None or after.max_rate is None:
        return False
    if before.leaving != after.leaving:
        return False
    difference = abs(before.max_rate - after.max_rate)
    return difference <= _MINOR_CHANGE * before.max_rate


def _pause(
    service: ServiceName, target: Target, pause_s: float, at: float
) -> WriteLog:
    until = at + min(pause_s, _MAX_PAUSE_S)
    target.paused_until = max(target.paused_until, until)
    fields = {
        'service': service,
        'target': target.announcement.target,
        'pause_s': pause_s,
    }
    return WriteLog(logging.INFO, 'target wants a pause', fields)


def _report_invalid(service: ServiceName, name: TargetId) -> list[Output]:
    fields = {'service': service, 'target': name}
    return [
        IncrementCounter('routing.invalid_statements'),
        WriteLog(logging.WARNING, 'invalid statement of a target', fields),
    ]


__all__ = ('StatementSharing',)
