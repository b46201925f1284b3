"""Data centres of the VMs of the fleet."""

from __future__ import annotations

import attrs

from ..configuration.places import Places
from ..types import VmId


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


__all__ = ('VmPlaces',)
