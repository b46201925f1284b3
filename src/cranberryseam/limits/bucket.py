"""Token bucket whose tokens are handed out as leases."""

from __future__ import annotations

from operator import attrgetter

import attrs

from ..ownership import ContactLog
from .rate_shares import RateShares
from .shares import Limit

# Short, because a new owner waits for the previous owner's leases to expire.
BLOCK_LEASE_S = 1.0
# A single token serves a request that waits at most this long, so its lease
# expires soon enough without a report.
SINGLE_LEASE_S = 0.25
# The owner counts a lease from the receipt of the request and extends it by
# this factor, for clock rates that differ by up to 5%.
OWNER_MARGIN = 1.05


@attrs.define
class Grant:
    """Tokens leased to an entry VM until the lease expires."""

    vm: str
    run: int
    number: int
    count: int
    until: float


@attrs.frozen
class HeldElsewhere:
    """Rate that VMs may use until a time without asking this owner."""

    rate: float = 0
    until: float = 0


@attrs.define
class Bucket:
    """Token bucket of one account in one region.

    Parameters
    ----------
    contacts
        Contacts with the VMs that hold shares of the rate.
    shares
        Shares that VMs use in place of the bucket while they are silent.
    held_elsewhere
        Part of the rate that VMs hold from an earlier owner.

    Notes
    -----

    The level plus the outstanding tokens never exceed the burst. At any time
    the fleet can use at most the outstanding tokens, the level and the tokens
    added later, so the uses in any interval of length t are at most
    burst + rate * t, however late a leased token is used. What silent VMs may
    use is not added.

    """

    limit: Limit
    level: float
    updated_at: float
    grants: tuple[Grant, ...] = ()
    contacts: ContactLog = attrs.field(factory=ContactLog)
    shares: RateShares = attrs.field(factory=RateShares)
    held_elsewhere: HeldElsewhere = HeldElsewhere()

    @property
    def outstanding(self) -> int:
        """Leased tokens whose lease is neither reported nor expired."""
        return sum(grant.count for grant in self.grants)

    @property
    def full(self) -> bool:
        """Return whether the level equals the burst and no VM holds a part."""
        is_held = self.grants or self.shares
        return not is_held and self.level >= self.limit.burst

    def advance(self, at: float) -> None:
        """Expire leases and refill the level up to a time."""
        while self.grants and self.grants[0].until <= at:
            self._refill(self.grants[0].until)
            self.grants = self.grants[1:]
        self._refill(at)

    def change_limit(self, limit: Limit, at: float) -> None:
        """Apply a new limit; it can lower the level but never raises it."""
        self.advance(at)
        self.limit = limit
        self.level = min(self.level, limit.burst - self.outstanding)

    def find_grant(self, vm: str, run: int, number: int) -> Grant | None:
        """Return the lease granted earlier for the same token request."""
        for grant in self.grants:
            if (grant.vm, grant.run, grant.number) == (vm, run, number):
                return grant
        return None

    def take(self, needed: int, prefetch: int) -> int:
        """Remove tokens from the level and return their number.

        At most half of what is left after ``needed`` is prefetched.
        """
        whole_tokens = max(0, int(self.level))
        count = min(needed, whole_tokens)
        count += min(prefetch, (whole_tokens - count) // 2)
        self.level -= count
        return count

    def add_grant(self, grant: Grant) -> None:
        """Add an outstanding lease."""
        grants = (*self.grants, grant)
        self.grants = tuple(sorted(grants, key=attrgetter('until')))

    def end_grant(self, grant: Grant, unused: int) -> None:
        """End a reported lease and put its unused tokens back."""
        self.grants = tuple(
            other for other in self.grants if other is not grant
        )
        self.level += min(max(0, unused), grant.count)

    def seconds_until_token(self, at: float) -> float:
        """Return the seconds until one token is available; -1 if never."""
        if self.limit.rate <= 0 or self.limit.burst < 1:
            return -1
        wait_s = max(0, (1 - self.level) / self.limit.rate)
        if self.grants and self.limit.burst - self.outstanding < 1:
            return max(wait_s, self.grants[0].until - at)
        return wait_s

    def _refill(self, at: float) -> None:
        if at <= self.updated_at:
            return
        since = self.updated_at
        silences = self.contacts.list_silences(since, at)
        held_until = min(at, self.held_elsewhere.until)
        added = (
            self.limit.rate * (at - since)
            - self.held_elsewhere.rate * max(0, held_until - since)
            - self.shares.count_reserved(silences, since, at)
        )
        saved = self.shares.count_saved(silences, at)
        room = self.limit.burst - self.outstanding - saved
        if self.level > 0:
            # Each VM that turned silent uses its part of the level.
            for silence in silences:
                if silence.since > since:
                    self.level -= self.level / len(self.contacts)
        self.level = min(self.level + added, room)
        self.shares.expire(at)
        self.updated_at = at


__all__ = (
    'BLOCK_LEASE_S',
    'OWNER_MARGIN',
    'SINGLE_LEASE_S',
    'Bucket',
    'Grant',
    'HeldElsewhere',
)
