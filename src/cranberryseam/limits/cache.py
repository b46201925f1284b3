"""Tokens that an entry VM holds for one account."""

from __future__ import annotations

import math

import attrs

from ..types import RequestId

# Time constant of the estimate of recent use.
_MEMORY_S = 1.0
# An account that is used more often than this per second at this VM gets
# blocks; below it a block would mostly be returned unused.
_BLOCK_FROM = 4.0
# A block covers this much of the recent use.
_BLOCK_S = 0.5
_IDLE_S = 0.5
# Unused tokens are returned this long before the lease is over, so that the
# report arrives while the owner still counts them.
_RETURN_BEFORE_S = 0.4
_FORGET_S = 3.0


@attrs.define
class Lease:
    """Tokens of one answer that aren't used yet."""

    number: int
    remaining: int
    expires_at: float
    is_block: bool = False


@attrs.define
class Ask:
    """An ask that waits for its answer."""

    account: str
    group: str
    number: int
    needed: int
    ahead: int
    sent_at: float
    expires_at: float
    resent: bool = False


@attrs.define
class CachedAccount:
    """Leases, waiting requests and recent use of one account.

    Parameters
    ----------
    recent
        Decaying count of requests, near the number per second.
    denied_until
        Until then the owner has no token for certain.
    ask_again_at
        Not before then the owner is asked again for requests that wait.

    """

    leases: list[Lease] = attrs.field(factory=list)
    waiting: list[RequestId] = attrs.field(factory=list)
    asked: int = 0
    asks_ahead: int = 0
    recent_rate: float = 0
    last_used_at: float = 0
    denied_until: float = 0
    ask_again_at: float = 0

    @property
    def busy(self) -> bool:
        """Return whether tokens are held or asked for."""
        asking = self.waiting or self.asked or self.asks_ahead
        return bool(self.leases or asking)

    def count_use(self, at: float) -> None:
        """Count a request in the estimate of recent use."""
        self.recent_rate = self.recent_at(at) + 1
        self.last_used_at = at

    def recent_at(self, at: float) -> float:
        """Return the estimate at a time."""
        return self.recent_rate * math.exp((self.last_used_at - at) / _MEMORY_S)

    def block_at(self, at: float) -> int:
        """Return the size of a block worth asking for; 0 for single tokens."""
        recent_rate = self.recent_at(at)
        return (
            math.ceil(recent_rate * _BLOCK_S)
            if recent_rate >= _BLOCK_FROM
            else 0
        )

    def count_ahead(self, at: float) -> int:
        """Return the size of a block to ask for now, 0 for none."""
        block = self.block_at(at)
        if self.asks_ahead or at < self.denied_until:
            return 0
        return block if self.count_left(at) * 2 <= block else 0

    def count_left(self, at: float) -> int:
        """Return the tokens that may be used now."""
        return sum(
            lease.remaining for lease in self.leases if at < lease.expires_at
        )

    def use_token(self, at: float) -> bool:
        """Use one token of the lease that ends first."""
        for lease in self.leases:
            if lease.remaining and at < lease.expires_at:
                lease.remaining -= 1
                return True
        return False

    def close_leases(self, at: float) -> list[Lease]:
        """Remove the leases that are used up, idle or near their end."""
        idle = at >= self.last_used_at + _IDLE_S
        closed = [
            lease
            for lease in self.leases
            if idle
            or not lease.remaining
            or at >= lease.expires_at - _RETURN_BEFORE_S
        ]
        for lease in closed:
            self.leases.remove(lease)
        return closed

    def disposable(self, at: float) -> bool:
        """Return whether nothing would be lost with this entry."""
        return not self.busy and at >= self.last_used_at + _FORGET_S


__all__ = ('Ask', 'CachedAccount', 'Lease')
