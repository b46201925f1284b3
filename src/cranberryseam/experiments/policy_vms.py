"""Production routers of a fleet on a simulated network with fixed delays."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import attrs

from ..configuration.model import Configuration, Service
from ..configuration.settings import Addresses, Settings, VmSettings
from ..core.codec import Codec
from ..core.effects import SendMessage, SetTimer
from ..core.events import MessageReceived, Started, TimerFired
from ..core.notices import (
    ConfigurationChanged,
    MemberChanged,
    MemberStatus,
    SlotAssigned,
    SlotDenied,
    TargetChanged,
)
from ..routing import MESSAGES, Router
from ..types import VmId

if TYPE_CHECKING:
    from ..core.events import Announcement
    from ..types import Output
    from .policy_baselines import PolicyFactory
    from .policy_metrics import Recorder
    from .policy_scenarios import Deployment

SERVICE = 'work'
# Region of all VMs that are attached to a control leader.
FLEET_REGION = 'fleet'
FLOOR = 0.5
_CODEC = Codec(MESSAGES)


class Clock:
    """Event queue that runs calls in the order of simulated time."""

    def __init__(self) -> None:
        """Create an empty queue at time zero."""
        self.now: float = 0
        self._serial = 0
        self._calls: list[tuple[float, int, Callable[[], None]]] = []

    def call_at(self, at: float, call: Callable[[], None]) -> None:
        """Schedule a call at a time, or now if that time has passed."""
        self._serial += 1
        heapq.heappush(self._calls, (max(at, self.now), self._serial, call))

    def run_until(self, end: float) -> None:
        """Run all calls that are due up to a time."""
        while self._calls and self._calls[0][0] <= end:
            first = heapq.heappop(self._calls)
            self.now = first[0]
            first[2]()


class FirstVmLeader:
    """Ownership in which the first VM of each region is the leader."""

    def __init__(self, vm: VmId, leaders: dict[str, VmId]) -> None:
        """Store the VM that asks and the leaders of the regions."""
        self._vm = vm
        self._leaders = leaders

    def leader_of(self, region: str, shard_key: str) -> VmId | None:
        """Return the first VM of the region."""
        return self._leaders[region]

    def is_leader(self, region: str, shard_key: str, at: float) -> bool:
        """Return whether this VM is the first of the region."""
        return self._leaders[region] == self._vm


@attrs.define(eq=False)
class Vm:
    """One entry VM with its router and timers."""

    name: VmId
    region: str
    data_centre: str
    router: Router
    timers: dict[str, int] = attrs.field(factory=dict)


class Fleet:
    """The simulated VMs of a deployment.

    Parameters
    ----------
    on_slot
        Called with the VM and each ``SlotAssigned`` or ``SlotDenied``.

    """

    def __init__(
        self,
        deployment: Deployment,
        factory: PolicyFactory,
        rng: random.Random,
        recorder: Recorder,
    ) -> None:
        """Create the routers and start them."""
        self.clock = Clock()
        self.recorder = recorder
        self.deployment = deployment
        self.on_slot: Callable[[Vm, Any], None] = _ignore_slot_notice
        self.vms: dict[VmId, Vm] = {}
        places = _place_vms(deployment)
        leaders: dict[str, VmId] = {}
        for name, region, _ in places:
            leaders.setdefault(region, name)
            leaders.setdefault(FLEET_REGION, name)
        for name, region, data_centre in places:
            settings = _build_settings(deployment, name, region, data_centre)
            router = factory(
                settings,
                FirstVmLeader(name, leaders),
                random.Random(rng.random()),
            )
            self.vms[name] = Vm(name, region, data_centre, router)
        self._start()

    def announce(self, announcement: Announcement, silent: bool) -> None:
        """Announce a target to all VMs."""
        for vm in self.vms.values():
            notice = TargetChanged(self.clock.now, announcement, silent)
            self.execute(vm, vm.router.handle(notice))

    def execute(self, vm: Vm, outputs: list[Output]) -> None:
        """Execute the outputs of a router."""
        for output in outputs:
            match output:
                case SlotAssigned() | SlotDenied():
                    self.on_slot(vm, output)
                case SetTimer():
                    self._set_timer(vm, output)
                case SendMessage():
                    self._send(vm, output)

    def delay_s(self, vm: Vm, region: str, data_centre: str) -> float:
        """Return the one-way network delay from a VM to a data centre."""
        if vm.region != region:
            return self.deployment.region_delay_s
        if vm.data_centre != data_centre:
            return self.deployment.data_centre_delay_s
        return self.deployment.data_centre_delay_s / 10

    def _start(self) -> None:
        service = Service(SERVICE, FLOOR)  # type: ignore[arg-type]
        configuration = Configuration(1, services={SERVICE: service})
        for vm in self.vms.values():
            self.execute(vm, vm.router.handle(Started(0, 0)))
            notice = ConfigurationChanged(0, configuration)
            self.execute(vm, vm.router.handle(notice))
            if self.deployment.attached:
                self._add_members(vm)

    def _add_members(self, vm: Vm) -> None:
        """Tell a VM about all VMs, which get its broadcasts."""
        for other in self.vms.values():
            notice = MemberChanged(
                0,
                other.name,
                other.region,
                MemberStatus.alive,
                other.data_centre,
            )
            self.execute(vm, vm.router.handle(notice))

    def _set_timer(self, vm: Vm, effect: SetTimer) -> None:
        number = vm.timers.get(effect.name, 0) + 1
        vm.timers[effect.name] = number

        def fire() -> None:  # noqa: WPS430 (scheduled call)
            if vm.timers[effect.name] == number:
                now = self.clock.now
                event = TimerFired(now, effect.component, effect.name)
                self.execute(vm, vm.router.handle(event))

        self.clock.call_at(effect.at, fire)

    def _send(self, vm: Vm, effect: SendMessage) -> None:
        receiver = self.vms[effect.to]
        encoded = _CODEC.encode(vm.name, effect.message)
        self.recorder.messages += 1
        self.recorder.message_bytes += len(encoded)

        def deliver() -> None:  # noqa: WPS430 (scheduled call)
            now = self.clock.now
            event = MessageReceived(now, vm.name, effect.message)
            self.execute(receiver, receiver.router.handle(event))

        delay_s = self.delay_s(vm, receiver.region, receiver.data_centre)
        self.clock.call_at(self.clock.now + delay_s, deliver)


def _build_settings(
    deployment: Deployment, name: VmId, region: str, data_centre: str
) -> Settings:
    addresses = Addresses('192.0.2.1:1')
    if not deployment.attached:
        vm = VmSettings(name, region, data_centre)
        return Settings(vm, addresses, deployment.regions)
    return Settings(
        VmSettings(name, FLEET_REGION, data_centre),
        addresses,
        (FLEET_REGION,),
        places=tuple(
            (f'{place}{number}', place)
            for place in deployment.regions
            for number in (1, 2)
        ),
    )


def _place_vms(deployment: Deployment) -> list[tuple[VmId, str, str]]:
    places = []
    for number in range(deployment.vms):
        region = deployment.regions[number % len(deployment.regions)]
        data_centre = number // len(deployment.regions) % 2 + 1
        name = VmId(f'{region}-vm{number}')
        places.append((name, region, f'{region}{data_centre}'))
    return sorted(places)


def _ignore_slot_notice(vm: Vm, notice: Any) -> None:
    """Ignore the notice, until ``on_slot`` is set."""


__all__ = ('FLEET_REGION', 'FLOOR', 'SERVICE', 'Clock', 'Fleet', 'Vm')
