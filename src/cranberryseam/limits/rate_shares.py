"""Parts of an account's rate that are assigned to single VMs."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import attrs

from ..ownership import Silence
from ..types import VmId

# Time for which a VM may use a share after it asked the owner for tokens.
SHARE_LIFETIME_S: Final = 5.0
# Unused tokens that a VM accumulates from a share, in seconds of its rate.
SAVED_S: Final = 1.0
# Share of a VM relative to what the account used there, because use varies.
_MAX_HEADROOM: Final = 1.5


@attrs.frozen
class _Share:
    rate: float
    claim: float
    expires_at: float


class RateShares:
    """Shares of one account's rate, at most the whole rate together.

    A VM uses its share while it can't reach the owner. The owner subtracts it
    from the tokens that the other VMs get during that time.
    """

    def __init__(self) -> None:
        """Start without shares."""
        # Oldest first; a renewed share moves to the end.
        self._shares: dict[VmId, _Share] = {}
        self._total: float = 0
        self._claims: float = 0

    def __len__(self) -> int:
        """Return the number of VMs with a share."""
        return len(self._shares)

    def assign(
        self,
        vm: VmId,
        claim: float,
        held: float,
        limit_rate: float,
        expires_at: float,
    ) -> float:
        """Assign a VM a share in place of its earlier one.

        Parameters
        ----------
        claim
            Tokens per second that the VM uses.
        held
            Share that the VM holds, which it keeps if the answer is lost.

        Returns
        -------
        The new share in tokens per second.

        """
        self._remove(vm)
        claims = self._claims + claim
        headroom = min(_MAX_HEADROOM, limit_rate / claims) if claims else 0
        rate = max(0, min(claim * headroom, limit_rate - self._total))
        reserved = max(rate, held)
        if reserved or claim:
            self._shares[vm] = _Share(reserved, claim, expires_at)
            self._total += reserved
            self._claims = claims
        return rate

    def expire(self, at: float) -> None:
        """Remove expired shares."""
        while self._shares:
            vm, share = next(iter(self._shares.items()))
            if share.expires_at > at:
                return
            self._remove(vm)

    def count_unassigned(self, limit_rate: float) -> float:
        """Return the tokens per second that no VM holds."""
        return max(0, limit_rate - self._total)

    def holds(self, vm: VmId) -> bool:
        """Return whether a VM has a share."""
        return vm in self._shares

    def count_reserved(
        self, silences: Iterable[Silence], since: float, until: float
    ) -> float:
        """Return the tokens that silent VMs may have used in an interval."""
        reserved: float = 0
        for silence in silences:
            share = self._shares.get(silence.vm)
            if share is not None:
                end = min(until, share.expires_at)
                reserved += share.rate * silence.overlap(since, end)
        return reserved

    def count_saved(self, silences: Iterable[Silence], at: float) -> float:
        """Return the tokens that silent VMs may have accumulated."""
        saved: float = 0
        for silence in silences:
            share = self._shares.get(silence.vm)
            if share is not None and silence.until > at:
                saved += share.rate * min(SAVED_S, at - silence.since)
        return saved

    def _remove(self, vm: VmId) -> None:
        share = self._shares.pop(vm, None)
        if share is not None:
            # Without a VM the sums are exact again after rounding errors.
            self._total = self._total - share.rate if self._shares else 0
            self._claims = self._claims - share.claim if self._shares else 0


@attrs.define
class InheritedShares:
    """Shares that an earlier owner assigned, as far as VMs reported them.

    Parameters
    ----------
    unassigned
        Part of the rate that no VM held, in tokens per second.
    returned
        Shares of VMs that now ask this owner.

    """

    unassigned: float
    returned: dict[VmId, float] = attrs.field(factory=dict)

    def report(self, vm: VmId, rate: float, unassigned: float) -> None:
        """Record the share of a VM, unless it has reported one before."""
        self.unassigned = min(self.unassigned, unassigned)
        self.returned.setdefault(vm, rate)

    def count_held(self, limit_rate: float) -> float:
        """Return the rate that VMs elsewhere may still use."""
        known = self.unassigned + sum(self.returned.values())
        return max(0, limit_rate - known)


__all__ = ('SAVED_S', 'SHARE_LIFETIME_S', 'InheritedShares', 'RateShares')
