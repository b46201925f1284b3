"""Table of the services and their announced targets on one VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..configuration.places import Distance, Places
from .service import ServiceState
from .target import Target, hash_name

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..configuration.model import Configuration
    from ..configuration.settings import Settings, VmSettings
    from ..core.events import Announcement
    from ..types import ServiceName
    from .health_sharing import HealthSharing
    from .model import Tuning


class ServiceTable:
    """States of all services.

    Parameters
    ----------
    settings
        Place of this VM and regions of the data centres.
    tuning
        Constants of the router.
    health
        Table of failure estimates that follows the set of targets.

    """

    def __init__(
        self,
        settings: Settings,
        tuning: Tuning,
        health: HealthSharing,
        places: Places,
    ) -> None:
        """Create an empty table."""
        self._vm = settings.vm
        self._places = places
        self._tuning = tuning
        self._health = health
        self._states: dict[str, ServiceState] = {}
        self._floors: dict[str, float] = {}
        self._started_at: float = 0

    def __iter__(self) -> Iterator[ServiceState]:
        """Iterate over the states of all services."""
        return iter(self._states.values())

    def start(self, at: float) -> None:
        """Record the start time of this VM."""
        self._started_at = at

    def find(self, service: str) -> ServiceState | None:
        """Return the state of a service that has or had targets."""
        return self._states.get(service)

    def find_or_add(self, service: ServiceName) -> ServiceState:
        """Return the state of a service, creating it on first use."""
        state = self._states.get(service)
        if state is None:
            state = ServiceState(service, self._tuning, self._places)
            state.floor = self._floors.get(service, state.floor)
            self._states[service] = state
        return state

    def configure(self, configuration: Configuration) -> None:
        """Apply the floors of a configuration."""
        self._floors = {
            name: service.floor
            for name, service in configuration.services.items()
        }
        for name, state in self._states.items():
            state.floor = self._floors.get(name, state.floor)
            state.invalidate()

    def apply_announcement(
        self, announcement: Announcement, silent: bool, at: float
    ) -> ServiceState | None:
        """Apply an announcement; return None if it changes nothing."""
        state = self.find_or_add(announcement.service)
        target = state.targets.get(announcement.target)
        if target is not None and target.is_unchanged(announcement, silent):
            return None
        state.invalidate()
        if target is None:
            target = self._create_target(announcement, at)
            state.targets[announcement.target] = target
            self._health.add_target(target)
        if announcement.born_ms > target.announcement.born_ms:
            target.start_again()
        was_cold = target.cold or target.silent
        target.announcement = announcement
        target.silent = silent
        target.limit = min(target.limit, float(announcement.slots))
        if was_cold and not (target.cold or silent):
            target.ramp_started_at = at
            target.limit = float(announcement.slots)
        if silent and not target.in_use:
            self._health.remove_target(target)
            state.targets.pop(announcement.target)
            state.unreported.pop(announcement.target, None)
        return state

    def _create_target(self, announcement: Announcement, at: float) -> Target:
        distance = _measure_distance(self._vm, self._places, announcement)
        target = Target(announcement, hash_name(announcement.target), distance)
        target.limit = float(announcement.slots)
        target.used_at = at
        target.decayed_at = at
        if at >= self._started_at + self._tuning.grace_s:
            target.ramp_started_at = at
        return target


def _measure_distance(
    vm: VmSettings, places: Places, announcement: Announcement
) -> Distance:
    if places.regions:
        return places.measure(vm.data_centre, announcement.data_centre)
    if vm.region != announcement.region:
        return Distance.other_region
    if vm.data_centre != announcement.data_centre:
        return Distance.own_region
    return Distance.own_data_centre


__all__ = ('ServiceTable',)
