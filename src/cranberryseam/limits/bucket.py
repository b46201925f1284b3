"""A token bucket that leases its tokens."""

from __future__ import annotations

from operator import attrgetter

import attrs

from .shares import Limit

# A new owner waits for the leases of the one before, so they are short.
BLOCK_LEASE_S = 1.0
# A single token is for a request that waits at most this long, so its lease
# needs no report to end soon.
SINGLE_LEASE_S = 0.25
# The owner counts from the receipt and adds this, for clocks whose speeds
# differ by up to 5%.
OWNER_MARGIN = 1.05


@attrs.define
class Grant:
    """Tokens that an entry VM may use until its lease is over."""

    vm: str
    run: int
    number: int
    count: int
    until: float


@attrs.define
class Bucket:
    """Tokens of one account in one region.

    Level plus outstanding tokens never exceed the burst. At any time the
    fleet can use at most the outstanding tokens, the level and what is added
    later, so that the uses in any interval of length t are at most
    burst + rate * t, however late a granted token is used.
    """

    limit: Limit
    level: float
    settled_at: float
    grants: tuple[Grant, ...] = ()

    @property
    def outstanding(self) -> int:
        """Tokens leased and neither reported nor expired."""
        return sum(grant.count for grant in self.grants)

    @property
    def full(self) -> bool:
        """Return whether nothing is leased and the level is the burst."""
        return not self.grants and self.level >= self.limit.burst

    def settle(self, at: float) -> None:
        """Add the tokens of the time that passed and end expired leases."""
        while self.grants and self.grants[0].until <= at:
            self._refill(self.grants[0].until)
            self.grants = self.grants[1:]
        self._refill(at)

    def change_limit(self, limit: Limit, at: float) -> None:
        """Apply another plan; the level is lowered to it, never raised."""
        self.settle(at)
        self.limit = limit
        self.level = min(self.level, limit.burst - self.outstanding)

    def find_grant(self, vm: str, run: int, number: int) -> Grant | None:
        """Return the lease of an ask that was answered before."""
        for grant in self.grants:
            if (grant.vm, grant.run, grant.number) == (vm, run, number):
                return grant
        return None

    def take(self, needed: int, ahead: int) -> int:
        """Take tokens off the level; at most half of the rest ahead."""
        whole = max(0, int(self.level))
        count = min(needed, whole)
        count += min(ahead, (whole - count) // 2)
        self.level -= count
        return count

    def add_grant(self, grant: Grant) -> None:
        """Count a lease as outstanding."""
        grants = (*self.grants, grant)
        self.grants = tuple(sorted(grants, key=attrgetter('until')))

    def end_grant(self, grant: Grant, unused: int) -> None:
        """End a lease that was reported."""
        self.grants = tuple(
            other for other in self.grants if other is not grant
        )
        self.level += min(max(0, unused), grant.count)

    def count_wait_s(self, at: float) -> float:
        """Return seconds until a whole token; negative if there is never."""
        if self.limit.rate <= 0 or self.limit.burst < 1:
            return -1
        wait_s = max(0, (1 - self.level) / self.limit.rate)
        if self.grants and self.limit.burst - self.outstanding < 1:
            return max(wait_s, self.grants[0].until - at)
        return wait_s

    def _refill(self, at: float) -> None:
        if at <= self.settled_at:
            return
        added = self.limit.rate * (at - self.settled_at)
        room = self.limit.burst - self.outstanding
        self.level = min(self.level + added, room)
        self.settled_at = at


__all__ = ('BLOCK_LEASE_S', 'OWNER_MARGIN', 'SINGLE_LEASE_S', 'Bucket', 'Grant')
