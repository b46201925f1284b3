"""Tokens that a VM may use while the owner of the buckets is away."""

from __future__ import annotations

import random
from typing import Final

import attrs

from ..configuration.model import Configuration
from ..configuration.settings import Settings
from ..types import Owners
from .shares import Limit, find_limit

# Tokens that the fleet as a whole may have saved up for one account; spread
# over all VMs it is less than one for each.
_SAVED_TOKENS: Final = 12.0


@attrs.define
class _Spare:
    level: float
    at: float


class SpareTokens:
    """A part of each account's rate for the time without an owner.

    All parts together add up to the rate, so the fleet as a whole stays near
    the limit, however the requests are spread. Levels below one token are
    given by chance, because most VMs save up less than one.

    Parameters
    ----------
    settings
        Region of the buckets.
    owners
        Says which part of a limit is this VM's.
    rng
        Decides on parts of a token.

    """

    def __init__(
        self, settings: Settings, owners: Owners, rng: random.Random
    ) -> None:
        """Start without saved tokens."""
        self._region = settings.vm.region
        self._regions = settings.region_names
        self._owners = owners
        self._rng = rng
        self._spares: dict[str, _Spare] = {}

    def take(
        self, configuration: Configuration | None, account: str, at: float
    ) -> bool:
        """Use a token of the VM's part of an account's rate."""
        share = self._owners.share_of_vm()
        if not share or configuration is None:
            return False
        limit = find_limit(configuration, account, self._region, self._regions)
        return limit is not None and self._take(account, limit, share, at)

    def _take(
        self, account: str, limit: Limit, share: float, at: float
    ) -> bool:
        most = max(share * _SAVED_TOKENS, share * limit.rate)
        spare = self._spares.get(account)
        if spare is None:
            spare = _Spare(most, at)
            self._spares[account] = spare
        gained = limit.rate * share * (at - spare.at)
        spare.level = min(most, spare.level + gained)
        spare.at = at
        if self._rng.random() >= spare.level:
            return False
        spare.level -= 1
        return True


__all__ = ('SpareTokens',)
