"""Tokens that a VM may use while the owner of the buckets is unreachable."""

from __future__ import annotations

import math
import random
from typing import Final

import attrs

from ..configuration.model import Configuration
from ..configuration.settings import Settings
from ..types import Owners
from .shares import Limit, find_limit

# Burst of one account over the whole fleet, in addition to the tokens that the
# owner had remaining. Split over all VMs it is less than one token each.
_FLEET_BURST_TOKENS: Final = 12.0
# Fraction of each rate that is split equally between the VMs, for VMs that the
# account has not used recently.
_EQUAL_SHARE: Final = 0.1
# Time constant of the rate of tokens that an account used on this VM.
_RATE_TIME_CONSTANT_S: Final = 3.0
# Minimum observation time; earlier, a single token does not define a rate.
_MIN_OBSERVED_S: Final = 1.0
# Burst of a VM, in seconds of the account's own rate on it.
_BURST_S: Final = 1.0


@attrs.define
class _FallbackBucket:
    """Fallback tokens of one account and its earlier rate on this VM."""

    level: float
    at: float
    own_rate: float


@attrs.define
class _RecentUse:
    """Rate of the tokens that the owner granted this VM for an account."""

    rate: float
    at: float
    since: float

    def add(self, at: float) -> None:
        """Count a token."""
        decay = math.exp((self.at - at) / _RATE_TIME_CONSTANT_S)
        self.rate = self.rate * decay + 1 / _RATE_TIME_CONSTANT_S
        self.at = at

    def read(self, at: float) -> float:
        """Return the rate at a time.

        Corrects the bias towards 0 of an account seen only recently.
        """
        decay = math.exp((self.at - at) / _RATE_TIME_CONSTANT_S)
        observed_s = max(_MIN_OBSERVED_S, at - self.since)
        return (
            self.rate
            * decay
            / (1 - math.exp(-observed_s / _RATE_TIME_CONSTANT_S))
        )


class FallbackTokens:
    """Share of each account's rate for use while no owner is reachable.

    The share of a VM is the rate that the owner recently granted it, which
    adds up to at most the limit over all VMs, plus a small equal share. The
    fleet as a whole so stays near the limit, and the VMs that an account uses
    continue to serve it. A level below one token is granted with that
    probability, because most VMs accumulate less than one token.

    Parameters
    ----------
    settings
        Region of the buckets.
    owners
        Tells this VM's equal share of a limit.
    rng
        Draws whether a fraction of a token is granted.

    """

    def __init__(
        self, settings: Settings, owners: Owners, rng: random.Random
    ) -> None:
        """Start with no observed rates."""
        self._region = settings.vm.region
        self._regions = settings.region_names
        self._owners = owners
        self._rng = rng
        self._buckets: dict[str, _FallbackBucket] = {}
        self._recent_uses: dict[str, _RecentUse] = {}
        self._remaining: dict[str, int] = {}

    def record_remaining(self, account: str, remaining: int) -> None:
        """Record how many tokens the owner has remaining for an account."""
        self._remaining[account] = remaining

    def remaining_of(self, account: str) -> int:
        """Return how many tokens the owner had remaining, -1 if unknown."""
        return self._remaining.get(account, -1)

    def record_use(self, account: str, at: float) -> None:
        """Count a token from the owner that was used on this VM."""
        self._recent_uses.setdefault(account, _RecentUse(0, at, at)).add(at)

    def forget(self, account: str) -> None:
        """Remove the observed rate of an idle account."""
        self._recent_uses.pop(account, None)
        self._remaining.pop(account, None)

    def take(
        self, configuration: Configuration | None, account: str, at: float
    ) -> bool:
        """Use a token of this VM's share; return whether there was one."""
        share = self._owners.fallback_share()
        if not share or configuration is None:
            return False
        limit = find_limit(configuration, account, self._region, self._regions)
        return limit is not None and self._take(account, limit, share, at)

    def _take(
        self, account: str, limit: Limit, share: float, at: float
    ) -> bool:
        bucket = self._buckets.get(account)
        own_rate = bucket.own_rate if bucket else 0
        if bucket is None or at - bucket.at > _RATE_TIME_CONSTANT_S:
            # The rate from before the outage applies for its whole duration.
            use = self._recent_uses.get(account)
            own_rate = min(use.read(at), limit.rate) if use else 0
        rate = own_rate + limit.rate * share * _EQUAL_SHARE
        saved = _FLEET_BURST_TOKENS + self._remaining.get(account, 0)
        capacity = max(share * saved, rate * _BURST_S)
        if bucket is None:
            bucket = _FallbackBucket(capacity, at, own_rate)
            self._buckets[account] = bucket
        bucket.own_rate = own_rate
        gained = rate * (at - bucket.at)
        bucket.level = min(capacity, bucket.level + gained)
        bucket.at = at
        if self._rng.random() >= bucket.level:
            return False
        bucket.level -= 1
        return True


__all__ = ('FallbackTokens',)
