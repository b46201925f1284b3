"""Data centres of the fleet as seen from one VM."""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum

import attrs

from ..types import VmId


class Distance(IntEnum):
    """Distance of a data centre; higher ones are slower and cost more."""

    own_data_centre = 0
    own_region = 1
    other_region = 2


@attrs.frozen
class Places:
    """Data centres with their regions.

    Parameters
    ----------
    own
        Data centre of this VM.
    regions
        Region of each data centre; empty if only neighbours are known.

    """

    own: str = ''
    regions: Mapping[str, str] = attrs.field(factory=dict)

    @property
    def names(self) -> tuple[str, ...]:
        """All data centres, in the order in which messages list them."""
        return tuple(sorted(self.regions))

    def measure(self, one: str, other: str) -> Distance:
        """Return the distance between two data centres."""
        if one == other:
            return Distance.own_data_centre
        if self.regions.get(one) == self.regions.get(other):
            return Distance.own_region
        return Distance.other_region


@attrs.define(eq=False)
class VmPlaces:
    """Data centres of the VMs of the fleet.

    Parameters
    ----------
    places
        Data centres of the fleet.

    """

    places: Places = Places()
    _data_centres: dict[VmId, str] = attrs.field(factory=dict)

    def add(self, vm: VmId, data_centre: str) -> None:
        """Store the data centre of a VM, if it is known."""
        if data_centre:
            self._data_centres[vm] = data_centre

    def remove(self, vm: VmId) -> None:
        """Forget a VM that left."""
        self._data_centres.pop(vm, None)

    def find(self, vm: VmId) -> str:
        """Return the data centre of a VM, empty if it is unknown."""
        return self._data_centres.get(vm, '')


__all__ = ('Distance', 'Places', 'VmPlaces')
