"""Idle connections that targets close sooner than they say.

What is sent on such a connection is lost, and a request that may run only once
can't be sent again. So the first VM that meets one tells all others through
the leader, and for a while nobody uses connections that have rested.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from ..core.effects import SendMessage
from .leadership import shard_key
from .messages import IdleClosed
from .model import LeaderLookup

if TYPE_CHECKING:
    from ..types import Output, ServiceName, VmId

# Connections closed after 300 ms of rest have been seen.
RESTRICTED_IDLE_S: Final = 0.2
# Without another sign the trouble is over after this.
RESTRICTION_S: Final = 10.0
# VMs that meet closed connections at the same time need one message.
_BROADCAST_INTERVAL_S: Final = 2.0


class IdleLimits:
    """How long connections of each service may rest.

    Parameters
    ----------
    region
        Region of the VM; the leader of its services is told.
    leaders
        Who leads.

    """

    def __init__(self, region: str, leaders: LeaderLookup) -> None:
        """Trust all idle connections."""
        self._region = region
        self._leaders = leaders
        self._vms: set[VmId] = set()
        self._closed_at: dict[str, float] = {}
        self._broadcast_at: dict[str, float] = {}

    def add_vm(self, vm: VmId) -> None:
        """Tell a VM from now on."""
        self._vms.add(vm)

    def remove_vm(self, vm: VmId) -> None:
        """Tell a VM no longer."""
        self._vms.discard(vm)

    def max_idle_s(self, service: str, at: float) -> float:
        """Return for how long a connection may rest to be used again."""
        closed_at = self._closed_at.get(service, -math.inf)
        return RESTRICTED_IDLE_S if at - closed_at < RESTRICTION_S else math.inf

    def report_closed(self, service: ServiceName, at: float) -> list[Output]:
        """Distrust a service's connections, and report it."""
        self._closed_at[service] = at
        key = shard_key(service)
        leader = self._leaders.leader_of(self._region, key)
        if leader is None:
            return []
        return [SendMessage(leader, IdleClosed(service))]

    def receive(self, closed: IdleClosed, at: float) -> list[Output]:
        """Distrust a service's connections; as the leader, tell all VMs."""
        service = closed.service
        self._closed_at[service] = at
        key = shard_key(service)
        if not self._leaders.is_leader(self._region, key, at):
            return []
        broadcast_at = self._broadcast_at.get(service, -math.inf)
        if at - broadcast_at < _BROADCAST_INTERVAL_S:
            return []
        self._broadcast_at[service] = at
        return [SendMessage(vm, closed) for vm in sorted(self._vms)]


__all__ = ('RESTRICTION_S', 'RESTRICTED_IDLE_S', 'IdleLimits')
