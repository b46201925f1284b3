"""Retry budget shared by the whole fleet.

A VM handles too few requests to use a fixed part of the budget; the units left
over would be lost to the other VMs. Therefore the leader pools the budget of
each service. Each VM holds a few units that it may use immediately, and
requests replacements from the leader.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from ..core.effects import SendMessage
from .leadership import shard_key
from .messages import BudgetAsked, BudgetGiven

if TYPE_CHECKING:
    from ..configuration.settings import RetrySettings
    from ..types import Output, VmId
    from .model import LeaderLookup

# In each window, the retries of a service may reach a share of its requests,
# plus a fixed number, the slack. Pools are credited for all attempts, including
# retries, and only after these end. The part of the share that is not used
# covers the difference from the requests of the window.
_USED_SHARE_FRACTION: Final = 0.8
# Fraction of the slack that is used; the rest covers attempts in progress.
_USED_SLACK_FRACTION: Final = 0.9
# Fraction of the slack that all VMs together hold. The rest of the slack used
# is the maximum of the leader's pool, which it may grant at once.
_HELD_SLACK_FRACTION: Final = 0.45
# Number of VMs assumed until the number is known.
_DEFAULT_VM_COUNT: Final = 60
# A request or its answer may be lost; the answer takes up to one round trip
# between regions.
_REQUEST_RETRY_S: Final = 0.3


@attrs.define
class _HeldUnits:
    units: int
    requested_at: float = float('-inf')


class RetryAllowance:
    """Retry units held by this VM for each service.

    Parameters
    ----------
    settings
        The budget of the fleet.
    region
        Region of the VM; requests go to the leaders of services there.
    leaders
        Lookup of leaders.

    """

    def __init__(
        self, settings: RetrySettings, region: str, leaders: LeaderLookup
    ) -> None:
        """Create an allowance that holds its maximum."""
        self.vm_count = 0
        self._slack = settings.slack
        self._region = region
        self._leaders = leaders
        self._held: dict[str, _HeldUnits] = {}

    def acquire(self, service: str) -> bool:
        """Take one unit if available."""
        held = self._find(service)
        if held.units < 1:
            return False
        held.units -= 1
        return True

    def request_units(self, service: str, at: float) -> list[Output]:
        """Request missing units from the leader."""
        held = self._find(service)
        missing = self._max_units() - held.units
        if missing < 1 or at - held.requested_at < _REQUEST_RETRY_S:
            return []
        leader = self._leaders.leader_of(self._region, shard_key(service))
        if leader is None:
            return []
        held.requested_at = at
        return [SendMessage(leader, BudgetAsked(service, missing))]

    def receive(self, answer: BudgetGiven) -> None:
        """Add the units granted by the leader."""
        held = self._find(answer.service)
        if answer.units:
            held.requested_at = float('-inf')
        held.units = min(self._max_units(), held.units + answer.units)

    def _max_units(self) -> int:
        return _held_units_per_vm(self._slack, self.vm_count)

    def _find(self, service: str) -> _HeldUnits:
        held = self._held.get(service)
        if held is None:
            held = _HeldUnits(self._max_units())
            self._held[service] = held
        return held


class RetryPools:
    """Pools of retry units per service, at the leader.

    Each pool is credited with a share of the attempts that VMs report and is
    bounded by a part of the slack. Within a window of the budget, VMs use at
    most the units that they held at its start, the units in the pool at its
    start, and the units credited during the window. The first two together are
    less than the slack, and the third less than the share of the requests.

    Parameters
    ----------
    settings
        The budget of the fleet.

    """

    def __init__(self, settings: RetrySettings) -> None:
        """Create empty pools; another leader may just have granted units."""
        self.vm_count = 0
        self._units_per_attempt = settings.share * _USED_SHARE_FRACTION
        self._slack = settings.slack
        self._levels: dict[str, float] = {}

    def credit(self, service: str, attempts: int) -> None:
        """Credit the attempts reported by a VM."""
        level = self._levels.get(service, 0)
        level += attempts * self._units_per_attempt
        self._levels[service] = min(self._max_units(), level)

    def grant(self, sender: VmId, request: BudgetAsked) -> Output:
        """Grant a VM the requested units, as far as available."""
        level = self._levels.get(request.service, 0)
        units = min(request.units, int(level))
        self._levels[request.service] = level - units
        return SendMessage(sender, BudgetGiven(request.service, units))

    def clear(self) -> None:
        """Empty all pools; called when another VM may have led."""
        self._levels.clear()

    def _max_units(self) -> float:
        vms = self.vm_count or _DEFAULT_VM_COUNT
        held = vms * _held_units_per_vm(self._slack, vms)
        return max(0, self._slack * _USED_SLACK_FRACTION - held)


def _held_units_per_vm(slack: float, vm_count: int) -> int:
    """Return the units that each VM may hold, at least one."""
    vms = vm_count or _DEFAULT_VM_COUNT
    return max(1, int(slack * _HELD_SLACK_FRACTION / vms))


class SharedRetryBudget:
    """Allowance of one VM, and the pools of services it leads.

    Parameters
    ----------
    settings
        The budget of the fleet.
    region
        Region of the VM; requests go to the leaders of services there.
    leaders
        Lookup of leaders.

    """

    def __init__(
        self, settings: RetrySettings, region: str, leaders: LeaderLookup
    ) -> None:
        """Create a full allowance and empty pools."""
        self.allowance = RetryAllowance(settings, region, leaders)
        self.pools = RetryPools(settings)
        self._region = region
        self._leaders = leaders

    def set_vm_count(self, vms: int) -> None:
        """Set the number of VMs that share the budget."""
        self.allowance.vm_count = vms
        self.pools.vm_count = vms

    def answer(
        self, sender: VmId, request: BudgetAsked, at: float
    ) -> list[Output]:
        """Grant units if this VM is the leader; otherwise don't answer."""
        key = shard_key(request.service)
        if not self._leaders.is_leader(self._region, key, at):
            self.pools.clear()
            return []
        return [self.pools.grant(sender, request)]


__all__ = ('RetryAllowance', 'RetryPools', 'SharedRetryBudget')
