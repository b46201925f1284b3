"""Limits on reusing idle connections of services.

Some targets close idle connections sooner than they announce. A request sent
on such a connection is lost, and one that may run only once can't be retried.
The first VM that observes this informs all others through the leader, and for
some time no VM reuses connections that were idle.
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

# Targets are known to close connections after 300 ms of idle time.
RESTRICTED_IDLE_S: Final = 0.2
# The restriction ends if no other closed connection is reported.
RESTRICTION_S: Final = 10.0
# Reports of several VMs within this time need one broadcast.
_BROADCAST_INTERVAL_S: Final = 2.0


class IdleLimits:
    """Maximum idle times of the connections of each service.

    Parameters
    ----------
    region
        Region of the VM; reports go to the leaders of services there.
    leaders
        Lookup of leaders.

    """

    def __init__(self, region: str, leaders: LeaderLookup) -> None:
        """Create limits without restrictions."""
        self._region = region
        self._leaders = leaders
        self._vms: set[VmId] = set()
        self._closed_at: dict[str, float] = {}
        self._broadcast_at: dict[str, float] = {}

    def add_vm(self, vm: VmId) -> None:
        """Add a VM to broadcasts."""
        self._vms.add(vm)

    def remove_vm(self, vm: VmId) -> None:
        """Remove a VM from broadcasts."""
        self._vms.discard(vm)

    def max_idle_s(self, service: str, at: float) -> float:
        """Return the idle time up to which a connection may be reused."""
        closed_at = self._closed_at.get(service, -math.inf)
        return RESTRICTED_IDLE_S if at - closed_at < RESTRICTION_S else math.inf

    def report_closed(self, service: ServiceName, at: float) -> list[Output]:
        """Restrict the connections of a service and report it to the leader."""
        self._closed_at[service] = at
        key = shard_key(service)
        leader = self._leaders.leader_of(self._region, key)
        if leader is None:
            return []
        return [SendMessage(leader, IdleClosed(service))]

    def receive(self, closed: IdleClosed, at: float) -> list[Output]:
        """Restrict the connections of a service; as leader, inform all VMs."""
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


__all__ = ('RESTRICTED_IDLE_S', 'RESTRICTION_S', 'IdleLimits')
