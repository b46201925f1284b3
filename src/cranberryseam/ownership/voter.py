"""The vote of one member of a replica group."""

from __future__ import annotations

import attrs

LEASE_S = 5.0
# Added by the voter, so that the holder's lease expires first although the
# rates of the two clocks may differ by up to 10%.
LEASE_MARGIN_S = 0.5


@attrs.define
class Voter:
    """A vote, granted to at most one VM at a time.

    Parameters
    ----------
    abstains_until
        No vote is granted before this time: the previous process may have
        granted it, and a restart loses that state.
    term
        Highest term that was granted or received.
    granted_term
        Term in which ``holder`` got the vote.
    released_term
        Highest term that its leader released; late renewals of it are
        refused.

    """

    abstains_until: float
    term: int = 0
    granted_term: int = 0
    released_term: int = 0
    holder: str = ''
    expires_at: float = 0

    def holder_at(self, at: float) -> str:
        """Return the VM that holds the vote, empty if none."""
        return self.holder if at < self.expires_at else ''

    def seconds_until_free(self, candidate: str, at: float) -> float:
        """Return the seconds until a candidate may get the vote."""
        wait_s = max(0, self.abstains_until - at)
        if self.holder_at(at) not in {'', candidate}:
            return max(wait_s, self.expires_at - at)
        return wait_s

    def grant(self, candidate: str, term: int, at: float) -> bool:
        """Grant or renew the vote if that is safe."""
        renewed = candidate == self.holder and term == self.granted_term
        if self.seconds_until_free(candidate, at) or term <= self.released_term:
            return False
        if term <= self.term and not renewed:
            return False
        self.term = max(self.term, term)
        self.granted_term = term
        self.holder = candidate
        self.expires_at = at + LEASE_S + LEASE_MARGIN_S
        return True

    def release(self, holder: str, term: int) -> bool:
        """Free the vote of a holder that stepped down."""
        if holder != self.holder or term != self.granted_term:
            return False
        self.released_term = term
        self.expires_at = 0
        return True


__all__ = ('LEASE_MARGIN_S', 'LEASE_S', 'Voter')
