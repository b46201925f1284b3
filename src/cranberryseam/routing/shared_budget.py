"""A budget of retries that the whole fleet shares.

A VM sees too few requests for a part of the budget of its own: whatever it
couldn't use would be lost to the others. So the leader pools the budget of
each service, and each VM holds a few units that it may use at once and asks
for again.
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

# Attempts are counted after they end, retries among them, so a part of the
# share stays unused.
_USED_SHARE: Final = 0.8
# Part of the slack that is used at all, for attempts that are under way.
_USED_SLACK: Final = 0.9
# Part of the slack that VMs hold; the leader may give the rest at once.
_HELD_SHARE: Final = 0.45
# Assumed until the leader has told the number of VMs.
_DEFAULT_VM_COUNT: Final = 60
# An ask or its answer may get lost; the answer takes up to a round trip
# between regions.
_REQUEST_RETRY_S: Final = 0.3


@attrs.define
class _HeldUnits:
    units: int
    requested_at: float = float('-inf')


class RetryAllowance:
    """Units that this VM holds, for each service.

    Parameters
    ----------
    settings
        The budget of the fleet.
    region
        Region of the VM; the leader of its services is asked.
    leaders
        Who leads.

    """

    def __init__(
        self, settings: RetrySettings, region: str, leaders: LeaderLookup
    ) -> None:
        """Start with what may be held."""
        self.vm_count = 0
        self._slack = settings.slack
        self._region = region
        self._leaders = leaders
        self._held: dict[str, _HeldUnits] = {}

    def acquire(self, service: str) -> bool:
        """Use one unit if one is held."""
        held = self._find(service)
        if held.units < 1:
            return False
        held.units -= 1
        return True

    def request_units(self, service: str, at: float) -> list[Output]:
        """Ask the leader for what is missing."""
        held = self._find(service)
        missing = self._max_units() - held.units
        if missing < 1 or at - held.requested_at < _REQUEST_RETRY_S:
            return []
        leader = self._leaders.leader_of(self._region, shard_key(service))
        if leader is None:
            return []
        held.requested_at = at
        return [SendMessage(leader, BudgetAsked(service, missing))]

    def receive(self, given: BudgetGiven) -> None:
        """Hold what the leader gave."""
        held = self._find(given.service)
        if given.units:
            held.requested_at = float('-inf')
        held.units = min(self._max_units(), held.units + given.units)

    def _max_units(self) -> int:
        return _held_units_per_vm(self._slack, self.vm_count)

    def _find(self, service: str) -> _HeldUnits:
        held = self._held.get(service)
        if held is None:
            held = _HeldUnits(self._max_units())
            self._held[service] = held
        return held


class RetryPools:
    """The leader's side: what the fleet may still repeat.

    Each pool earns a share of the attempts that VMs report and is bounded by
    a part of the slack. In any window the VMs use at most what they held,
    what the pool held and what it earned, which is less than the slack and
    the share together.

    Parameters
    ----------
    settings
        The budget of the fleet.

    """

    def __init__(self, settings: RetrySettings) -> None:
        """Start with empty pools, as another leader may just have given."""
        self.vm_count = 0
        self._share = settings.share * _USED_SHARE
        self._slack = settings.slack
        self._levels: dict[str, float] = {}

    def credit(self, service: str, attempts: int) -> None:
        """Count attempts that a VM reported."""
        level = self._levels.get(service, 0)
        level += attempts * self._share
        self._levels[service] = min(self._max_units(), level)

    def grant(self, sender: VmId, asked: BudgetAsked) -> Output:
        """Answer a VM with the units that are left for it."""
        level = self._levels.get(asked.service, 0)
        units = min(asked.units, int(level))
        self._levels[asked.service] = level - units
        return SendMessage(sender, BudgetGiven(asked.service, units))

    def clear(self) -> None:
        """Forget all levels; called when another VM may have led."""
        self._levels.clear()

    def _max_units(self) -> float:
        vms = self.vm_count or _DEFAULT_VM_COUNT
        held = vms * _held_units_per_vm(self._slack, vms)
        return max(0, self._slack * _USED_SLACK - held)


def _held_units_per_vm(slack: float, vm_count: int) -> int:
    """Return the units that each VM holds; one at least, to be of use."""
    vms = vm_count or _DEFAULT_VM_COUNT
    return max(1, int(slack * _HELD_SHARE / vms))


class SharedRetryBudget:
    """Both sides of the budget on one VM.

    Parameters
    ----------
    settings
        The budget of the fleet.
    region
        Region of the VM; the leader of its services is asked.
    leaders
        Who leads.

    """

    def __init__(
        self, settings: RetrySettings, region: str, leaders: LeaderLookup
    ) -> None:
        """Start with what a VM may hold and with empty pools."""
        self.allowance = RetryAllowance(settings, region, leaders)
        self.pools = RetryPools(settings)
        self._region = region
        self._leaders = leaders

    def count_vms(self, vms: int) -> None:
        """Take over the number of VMs that share the budget."""
        self.allowance.vm_count = vms
        self.pools.vm_count = vms

    def answer(
        self, sender: VmId, asked: BudgetAsked, at: float
    ) -> list[Output]:
        """Give units as the leader; only the leader answers."""
        key = shard_key(asked.service)
        if not self._leaders.is_leader(self._region, key, at):
            self.pools.clear()
            return []
        return [self.pools.grant(sender, asked)]


__all__ = ('RetryAllowance', 'RetryPools', 'SharedRetryBudget')
