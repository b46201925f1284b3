"""Messages between entry VMs and the owners of token buckets."""

from __future__ import annotations

from ..core.messages import Message

_TAG = 400


class TokensAsked(Message, frozen=True, array_like=True, tag=_TAG + 1):
    """Ask the owner of an account's bucket for tokens.

    Parameters
    ----------
    run
        Number of this run of the sender, so that an answer to the run before
        a restart isn't taken for one to this run.
    number
        Number of the ask within the run; a repeated ask has the same one.
    needed
        Tokens for requests that wait.
    ahead
        Further tokens for requests that are expected; if not 0, the lease is
        a block lease.
    left
        Whole tokens that the owner had left when it answered last; negative
        if the sender doesn't know. Tells the next owner how much was used.

    """

    account: str
    run: int
    number: int
    needed: int
    ahead: int
    remaining: int = -1


class TokensGiven(Message, frozen=True, array_like=True, tag=_TAG + 2):
    """Answer of the owner.

    Parameters
    ----------
    count
        Tokens leased, counted from the sending of the ask.
    verdict
        One of the ``Verdict`` values; says why tokens are missing.
    wait_s
        Seconds after which another token may be there; negative if never.
    left
        Whole tokens that nobody has leased.

    """

    run: int
    number: int
    count: int
    verdict: int
    wait_s: float
    remaining: int = 0


class LeaseReport(Message, frozen=True, array_like=True):
    """End of one lease; ``unused`` tokens go back to the bucket."""

    account: str
    number: int
    unused: int


class TokensReported(Message, frozen=True, array_like=True, tag=_TAG + 3):
    """Report leases that the sender will use no more."""

    run: int
    reports: tuple[LeaseReport, ...]


MESSAGES = (TokensAsked, TokensGiven, TokensReported)

__all__ = (
    'MESSAGES',
    'LeaseReport',
    'TokensAsked',
    'TokensGiven',
    'TokensReported',
)
