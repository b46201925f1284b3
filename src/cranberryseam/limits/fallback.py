"""Tokens that a VM may use while the owner of the buckets is unreachable."""

from __future__ import annotations

import math
import random
from typing import Final

import attrs

from ..configuration.model import Configuration
from ..configuration.settings import Settings
from ..ownership import USE_RESERVE_AFTER_S
from ..types import Owners
from .messages import RateShare
from .rate_shares import SAVED_S
from .shares import find_limit

# Tokens of one account over the whole fleet, in addition to its limit. Split
# over all VMs it is less than one token each.
_FLEET_BURST_TOKENS: Final = 12.0
# Longer than the window in which the platform allows for those tokens.
_BURST_INTERVAL_S: Final = 6.0
# Time constant of the rate of tokens that an account used on this VM.
_RATE_TIME_CONSTANT_S: Final = 3.0


@attrs.define
class _FallbackBucket:
    """Fallback tokens of one account.

    Parameters
    ----------
    burst
        What is left of this VM's part of the burst and of the tokens that the
        owner had remaining.
    saved
        Unused tokens of the share.

    """

    burst: float
    burst_at: float
    saved: float = 0
    at: float = -math.inf


@attrs.define
class _RecentUse:
    """Rate of the tokens that the owner granted this VM for an account."""

    rate: float
    at: float

    def add(self, at: float) -> None:
        """Count a token."""
        self.rate = self.read(at) + 1 / _RATE_TIME_CONSTANT_S
        self.at = at

    def read(self, at: float) -> float:
        """Return the rate at a time."""
        return self.rate * math.exp((self.at - at) / _RATE_TIME_CONSTANT_S)


@attrs.frozen
class _HeldShare:
    """Share of an account's rate, from the owner."""

    share: RateShare
    expires_at: float


class FallbackTokens:
    """Tokens of each account for use while no owner is reachable.

    The owner assigns each VM a share of the rate, close to what the account
    used there; together the shares are at most the rate. A VM uses its share
    from ``USE_RESERVE_AFTER_S`` after its last contact with the owner, which
    reserves it by then. In addition, each VM has an equal part of what
    the owner had remaining and of a small burst, which exceeds the limit.
    A level below one token is granted with that probability, because most VMs
    accumulate less than one token.

    Parameters
    ----------
    settings
        Region of the buckets.
    owners
        Tells this VM's equal part, and its last contact with the owner.
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
        self._shares: dict[str, _HeldShare] = {}
        self._used_bursts: dict[str, int] = {}

    def record_remaining(self, account: str, remaining: int) -> None:
        """Record how many tokens the owner has remaining for an account."""
        self._remaining[account] = remaining
        self._used_bursts.pop(account, None)

    def remaining_of(self, account: str) -> int:
        """Return how many tokens the owner had remaining, -1 if unknown."""
        return self._remaining.get(account, -1)

    def used_without_share(self, account: str) -> int:
        """Return the tokens used beside the share since the last answer."""
        return self._used_bursts.get(account, 0)

    def record_use(self, account: str, at: float) -> None:
        """Count a token from the owner that was used on this VM."""
        self._recent_uses.setdefault(account, _RecentUse(0, at)).add(at)

    def read_recent_rate(self, account: str, at: float) -> float:
        """Return the leased tokens per second that an account uses here.

        Returns
        -------
        0 where no fallback tokens are used.

        """
        use = self._recent_uses.get(account)
        if use is None or not self._owners.fallback_share():
            return 0
        return use.read(at)

    def receive_share(
        self, account: str, share: RateShare, expires_at: float
    ) -> None:
        """Replace the share of an account."""
        self._shares[account] = _HeldShare(share, expires_at)

    def find_share(self, account: str, at: float) -> RateShare | None:
        """Return the share of an account, None if there is no valid one."""
        held = self._shares.get(account)
        return held.share if held and at < held.expires_at else None

    def drop_shares(self) -> None:
        """Drop all shares, because they may have expired."""
        self._shares.clear()

    def forget(self, account: str) -> None:
        """Remove what is known of an idle account."""
        for state in (self._recent_uses, self._remaining, self._shares):
            state.pop(account, None)

    def take(
        self, configuration: Configuration | None, account: str, at: float
    ) -> bool:
        """Use a token of this VM; return whether there was one."""
        part = self._owners.fallback_share()
        if not part or configuration is None:
            return False
        limit = find_limit(configuration, account, self._region, self._regions)
        if limit is None or not limit.rate:
            return False
        bucket = self._refill(account, part, at)
        level = bucket.saved + bucket.burst
        # Either way the fraction is used up: on average as many tokens are
        # granted as were available.
        used = min(1, level)
        granted = self._rng.random() < level
        from_burst = max(0, used - bucket.saved)
        bucket.saved = max(0, bucket.saved - used)
        bucket.burst -= from_burst
        if granted and from_burst:
            used_before = self._used_bursts.get(account, 0)
            self._used_bursts[account] = used_before + 1
        return granted

    def _refill(self, account: str, part: float, at: float) -> _FallbackBucket:
        bucket = self._buckets.get(account)
        if bucket is None or at - bucket.burst_at >= _BURST_INTERVAL_S:
            remaining = max(0, self._remaining.get(account, 0))
            burst = part * (_FLEET_BURST_TOKENS + remaining)
            saved = (bucket.saved, bucket.at) if bucket else ()
            bucket = _FallbackBucket(burst, at, *saved)
            self._buckets[account] = bucket
        self._add_share(bucket, account, at)
        return bucket

    def _add_share(
        self, bucket: _FallbackBucket, account: str, at: float
    ) -> None:
        contact = self._owners.last_contact()
        since = contact.at + USE_RESERVE_AFTER_S
        if since > bucket.at:
            # Tokens of an earlier time without the owner.
            bucket.saved = 0
        held = self._shares.get(account)
        if held is not None and held.share.term == contact.term:
            until = min(at, held.expires_at)
            rate = held.share.rate
            gained = rate * max(0, until - max(since, bucket.at))
            bucket.saved = min(rate * SAVED_S, bucket.saved + gained)
        bucket.at = at


__all__ = ('FallbackTokens',)
