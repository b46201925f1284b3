"""Tokens that an entry VM caches for one account."""

from __future__ import annotations

import math

import attrs

from ..types import RequestId

# Time constant of the exponentially decaying request rate.
_RATE_TIME_CONSTANT_S = 1.0
# Requests per second on this VM from which blocks are requested; below it most
# of a block would be returned unused.
_MIN_BLOCK_RATE = 4.0
# Duration of use at the recent rate that a block covers.
_BLOCK_DURATION_S = 0.5
_IDLE_TIMEOUT_S = 0.5
# Unused tokens are returned this long before the lease expires, so that the
# report arrives while the owner still holds the lease.
_RETURN_MARGIN_S = 0.4
_EVICTION_AGE_S = 3.0


@attrs.define
class Lease:
    """Unused tokens of one answer.

    Parameters
    ----------
    is_token_block
        True if it includes tokens requested in advance, for requests that
        have not arrived yet.

    """

    number: int
    remaining: int
    expires_at: float
    is_token_block: bool = False


@attrs.define
class TokenRequest:
    """A token request that the owner has not answered yet."""

    account: str
    group: str
    number: int
    needed: int
    prefetch: int
    sent_at: float
    expires_at: float
    resent: bool = False


@attrs.define
class CachedAccount:
    """Leases, waiting requests and recent request rate of one account.

    Parameters
    ----------
    waiting
        Requests that wait for a token, oldest first. Their timeouts are kept in
        ``WaitingRequests``, which holds those of all accounts.
    tokens_requested
        Tokens for waiting requests in unanswered token requests.
    token_block_requests
        Number of unanswered token requests for a block, i.e. for tokens
        requested in advance.
    recent_rate
        Decaying count of requests, close to the requests per second.
    denied_until
        Time until which the owner is known to have no token.
    next_request_at
        Earliest time of the next token request for requests still waiting.

    """

    leases: list[Lease] = attrs.field(factory=list)
    waiting: list[RequestId] = attrs.field(factory=list)
    tokens_requested: int = 0
    token_block_requests: int = 0
    recent_rate: float = 0
    last_used_at: float = 0
    denied_until: float = 0
    next_request_at: float = 0

    @property
    def in_use(self) -> bool:
        """Return whether tokens are held, requested or waited for."""
        pending = (
            self.waiting or self.tokens_requested or self.token_block_requests
        )
        return bool(self.leases or pending)

    def record_request(self, at: float) -> None:
        """Add a request to the recent rate."""
        self.recent_rate = self.rate_at(at) + 1
        self.last_used_at = at

    def rate_at(self, at: float) -> float:
        """Return the recent rate, decayed to a time."""
        return self.recent_rate * math.exp(
            (self.last_used_at - at) / _RATE_TIME_CONSTANT_S
        )

    def block_size_at(self, at: float) -> int:
        """Return the block size for the recent rate; 0 for single tokens."""
        recent_rate = self.rate_at(at)
        return (
            math.ceil(recent_rate * _BLOCK_DURATION_S)
            if recent_rate >= _MIN_BLOCK_RATE
            else 0
        )

    def prefetch_size(self, at: float) -> int:
        """Return the size of the block to request now, 0 for none."""
        block_size = self.block_size_at(at)
        if self.token_block_requests or at < self.denied_until:
            return 0
        return block_size if self.count_usable(at) * 2 <= block_size else 0

    def count_usable(self, at: float) -> int:
        """Return the number of tokens in leases that have not expired."""
        return sum(
            lease.remaining for lease in self.leases if at < lease.expires_at
        )

    def use_token(self, at: float) -> bool:
        """Use a token of the first valid lease; return whether one exists."""
        for lease in self.leases:
            if lease.remaining and at < lease.expires_at:
                lease.remaining -= 1
                return True
        return False

    def close_leases(self, at: float) -> list[Lease]:
        """Remove and return leases that are used up, idle or near expiry."""
        idle = at >= self.last_used_at + _IDLE_TIMEOUT_S
        closed = [
            lease
            for lease in self.leases
            if idle
            or not lease.remaining
            or at >= lease.expires_at - _RETURN_MARGIN_S
        ]
        for lease in closed:
            self.leases.remove(lease)
        return closed

    def evictable(self, at: float) -> bool:
        """Return whether the account is idle and holds no state to keep."""
        return not self.in_use and at >= self.last_used_at + _EVICTION_AGE_S


__all__ = ('CachedAccount', 'Lease', 'TokenRequest')
