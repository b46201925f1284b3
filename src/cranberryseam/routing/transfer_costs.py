"""Cost of a request to a target in another data centre."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, Final

import attrs

from ..configuration.places import Distance

if TYPE_CHECKING:
    from ..configuration.settings import TransferSettings

# Loss of the answer of a request, in units of the whole capacity of a target.
FINAL_FAILURE_COST: Final = 5.0
# A round trip takes 60 ms between regions, and 1 to 3 ms within one.
_DELAY_COSTS: Final = MappingProxyType(
    {
        Distance.own_data_centre: float(0),
        Distance.own_region: 0.1,
        Distance.other_region: 1.0,
    }
)
# Below the cost of a target that is believed to fail, and of a full one: no
# caller waits or loses an answer for the sake of bytes.
_MAX_TRANSFER_COST: Final = 0.6
# Head of a request and of its response.
_HEAD_BYTES: Final = 500
_BYTES_PER_MB: Final = 1_000_000


@attrs.frozen
class TransferCosts:
    """Cost by distance, in units of the whole capacity of a target.

    Parameters
    ----------
    data_centre_per_mb, region_per_mb
        Cost of a MB to another data centre of the region, and to another
        region, in units of the worth of a request.

    """

    data_centre_per_mb: float
    region_per_mb: float

    @classmethod
    def build(cls, settings: TransferSettings) -> TransferCosts:
        """Return the costs that the operator has set."""
        return cls(settings.data_centre_per_mb, settings.region_per_mb)

    def measure(self, distance: Distance, body_bytes: float) -> float:
        """Return the cost of a request.

        Parameters
        ----------
        body_bytes
            Expected size of the bodies of the request and its response.

        """
        transferred_mb = (body_bytes + _HEAD_BYTES) / _BYTES_PER_MB
        worth = transferred_mb * self._per_mb(distance)
        cost = min(_MAX_TRANSFER_COST, worth * FINAL_FAILURE_COST)
        return _DELAY_COSTS[distance] + cost

    def list_by_distance(self, body_bytes: float) -> tuple[float, ...]:
        """Return the cost of each distance, the smallest distance first."""
        return tuple(self.measure(each, body_bytes) for each in Distance)

    def _per_mb(self, distance: Distance) -> float:
        if distance is Distance.own_data_centre:
            return 0
        if distance is Distance.own_region:
            return self.data_centre_per_mb
        return self.region_per_mb


__all__ = ('FINAL_FAILURE_COST', 'TransferCosts')
