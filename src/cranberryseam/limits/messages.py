"""Messages between entry VMs and the owners of token buckets."""

from __future__ import annotations

import msgspec

from ..core.messages import Message

_TAG = 400


class RateShare(msgspec.Struct, frozen=True, array_like=True):
    """Part of an account's rate that a VM may use without the owner.

    Parameters
    ----------
    term
        Term of the owner that assigned it.
    rate
        Tokens per second.
    unassigned
        Tokens per second of the account that no VM held.

    """

    term: int
    rate: float
    unassigned: float


class TokensAsked(Message, frozen=True, array_like=True, tag=_TAG + 1):
    """Request tokens from the owner of an account's bucket.

    Parameters
    ----------
    run
        Identifies the process run of the sender, so that an answer to an
        earlier run isn't taken for one to this run.
    number
        Sequence number within the run; a resent request keeps it.
    needed
        Tokens for waiting requests.
    prefetch
        Additional tokens for expected requests; if not 0, the lease is a
        block lease.
    remaining
        Whole tokens that the owner had remaining in its last answer; negative
        if unknown. Tells the next owner how much was used.
    recent_rate
        Leased tokens per second that the sender has used; 0 if it uses none
        without the owner.
    share
        Share that the sender holds; None without one.
    used_without_owner
        Fallback tokens that the sender has used since the owner's last answer
        and that no share covers.

    """

    account: str
    run: int
    number: int
    needed: int
    prefetch: int
    remaining: int = -1
    recent_rate: float = 0
    share: RateShare | None = None
    used_without_owner: int = 0


class TokensGiven(Message, frozen=True, array_like=True, tag=_TAG + 2):
    """Answer of the owner to a token request.

    Parameters
    ----------
    count
        Leased tokens; the lease starts when the request was sent.
    verdict
        A ``Verdict`` value; says why tokens are missing.
    wait_s
        Seconds until another token may be available; negative if never.
    remaining
        Whole tokens in the bucket that are not leased.
    share
        Share of the receiver from now on; None while the owner assigns none.

    """

    run: int
    number: int
    count: int
    verdict: int
    wait_s: float
    remaining: int = 0
    share: RateShare | None = None


class LeaseReport(Message, frozen=True, array_like=True):
    """End of one lease; ``unused`` tokens return to the bucket."""

    account: str
    number: int
    unused: int


class TokensReported(Message, frozen=True, array_like=True, tag=_TAG + 3):
    """Report leases that the sender no longer uses."""

    run: int
    reports: tuple[LeaseReport, ...]


MESSAGES = (TokensAsked, TokensGiven, TokensReported)

__all__ = (
    'MESSAGES',
    'LeaseReport',
    'RateShare',
    'TokensAsked',
    'TokensGiven',
    'TokensReported',
)
