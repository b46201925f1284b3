"""Data centres of the fleet as seen from one VM."""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum

import attrs


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


__all__ = ('Distance', 'Places')
