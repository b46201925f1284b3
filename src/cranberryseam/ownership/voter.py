"""The vote of one member of a replica group."""

from __future__ import annotations

import attrs

LEASE_S = 5.0
# Added by whoever granted a lease, so that its holder stops first although
# the two clocks may run at speeds that differ by up to 10%.
LEASE_MARGIN_S = 0.5


@attrs.define
class Voter:
    """One vote, granted to at most one VM at a time.

    Parameters
    ----------
    free_from
        Until then the vote is given to nobody: before the restart it may
        have been granted, and the process can't know that it wasn't.
    term
        Highest term that was granted or heard of.
    granted
        Term in which ``holder`` got the vote.
    closed_term
        Highest term that its leader released; late renewals of it are
        refused.

    """

    free_from: float
    term: int = 0
    granted: int = 0
    closed_term: int = 0
    holder: str = ''
    expires_at: float = 0

    def holder_at(self, at: float) -> str:
        """Return the VM that holds the vote, empty if none."""
        return self.holder if at < self.expires_at else ''

    def count_wait_s(self, candidate: str, at: float) -> float:
        """Return the seconds until a candidate may get the vote."""
        wait_s = max(0, self.free_from - at)
        if self.holder_at(at) not in {'', candidate}:
            return max(wait_s, self.expires_at - at)
        return wait_s

    def grant(self, candidate: str, term: int, at: float) -> bool:
        """Grant or renew the vote if that is safe."""
        renewed = candidate == self.holder and term == self.granted
        if self.count_wait_s(candidate, at) or term <= self.closed_term:
            return False
        if term <= self.term and not renewed:
            return False
        self.term = max(self.term, term)
        self.granted = term
        self.holder = candidate
        self.expires_at = at + LEASE_S + LEASE_MARGIN_S
        return True

    def release(self, holder: str, term: int) -> bool:
        """Take the vote back from a holder that gave it up."""
        if holder != self.holder or term != self.granted:
            return False
        self.closed_term = term
        self.expires_at = 0
        return True


__all__ = ('LEASE_MARGIN_S', 'LEASE_S', 'Voter')
