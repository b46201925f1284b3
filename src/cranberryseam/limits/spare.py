"""Tokens that a VM may use while the owner of the buckets is away."""

from __future__ import annotations

import math
import random
from typing import Final

import attrs

from ..configuration.model import Configuration
from ..configuration.settings import Settings
from ..types import Owners
from .shares import Limit, find_limit

# Tokens that the fleet as a whole may have saved up for one account beside
# those that the owner had left; spread over all VMs it is less than one each.
_SAVED_TOKENS: Final = 12.0
# Part of each rate that is split equally, for VMs that an account hasn't used
# lately.
_SPLIT_SHARE: Final = 0.1
# Tokens used within this time tell a VM's part of an account's use.
_MEMORY_S: Final = 3.0
# A single token says nothing about a rate before this time is over.
_LEAST_KNOWN_S: Final = 1.0
# Seconds of its own use that a VM saves up.
_SAVED_S: Final = 1.0


@attrs.define
class _Spare:
    """What is left for an account, and what the VM used before."""

    level: float
    at: float
    own: float


@attrs.define
class _Use:
    """Tokens per second that the owner gave this VM for an account."""

    rate: float
    at: float
    since: float

    def add(self, at: float) -> None:
        """Count a token."""
        kept = math.exp((self.at - at) / _MEMORY_S)
        self.rate = self.rate * kept + 1 / _MEMORY_S
        self.at = at

    def read(self, at: float) -> float:
        """Return the rate at a time.

        An account that came a moment ago has used less of the memory.
        """
        kept = math.exp((self.at - at) / _MEMORY_S)
        known_s = max(_LEAST_KNOWN_S, at - self.since)
        return self.rate * kept / (1 - math.exp(-known_s / _MEMORY_S))


class SpareTokens:
    """A part of each account's rate for the time without an owner.

    The part of a VM is what the owner gave it lately, because that adds up to
    the limit at most over all VMs, and a small equal part. So the fleet as a
    whole stays near the limit, and the VMs that an account uses go on serving
    it. Levels below one token are given by chance, because most VMs save up
    less than one.

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
        self._uses: dict[str, _Use] = {}
        self._left: dict[str, int] = {}

    def note_left(self, account: str, remaining: int) -> None:
        """Take over how many tokens the owner has left for an account."""
        self._left[account] = remaining

    def left_of(self, account: str) -> int:
        """Return how many tokens the owner had left, -1 if unknown."""
        return self._left.get(account, -1)

    def note_use(self, account: str, at: float) -> None:
        """Count a token of the owner that was used here."""
        self._uses.setdefault(account, _Use(0, at, at)).add(at)

    def forget(self, account: str) -> None:
        """Forget an account that isn't in use."""
        self._uses.pop(account, None)
        self._left.pop(account, None)

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
        spare = self._spares.get(account)
        own = spare.own if spare else 0
        if spare is None or at - spare.at > _MEMORY_S:
            # While the owner is away, the use before stays the measure.
            use = self._uses.get(account)
            own = min(use.read(at), limit.rate) if use else 0
        rate = own + limit.rate * share * _SPLIT_SHARE
        saved = _SAVED_TOKENS + self._left.get(account, 0)
        most = max(share * saved, rate * _SAVED_S)
        if spare is None:
            spare = _Spare(most, at, own)
            self._spares[account] = spare
        spare.own = own
        gained = rate * (at - spare.at)
        spare.level = min(most, spare.level + gained)
        spare.at = at
        if self._rng.random() >= spare.level:
            return False
        spare.level -= 1
        return True


__all__ = ('SpareTokens',)
