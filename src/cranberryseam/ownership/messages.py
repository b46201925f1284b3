"""Messages by which the members of a replica group agree on a leader."""

from __future__ import annotations

from ..core.messages import Message

_TAG = 300


class LeaderProbed(Message, frozen=True, array_like=True, tag=_TAG + 1):
    """Ask a voter whether it could grant a lease to the sender.

    The answer proves that the sender hears the voter. A VM that sends but
    doesn't hear therefore never occupies a vote.
    """

    group: str
    probe: int


class ProbeAnswered(Message, frozen=True, array_like=True, tag=_TAG + 2):
    """Tell a prober whether the vote is free.

    Parameters
    ----------
    term
        Highest term the voter knows.
    leader, leader_term
        VM that holds the vote, empty if none, and the term of its grant.
    wait_s
        Seconds until the vote is free; 0 if it is.

    """

    group: str
    probe: int
    term: int
    leader: str
    leader_term: int
    wait_s: float


class LeaseAsked(Message, frozen=True, array_like=True, tag=_TAG + 3):
    """Ask for a vote, or renew it.

    Parameters
    ----------
    sent_at
        Sender's time, returned unchanged in the answer.

    """

    group: str
    term: int
    sent_at: float


class LeaseGiven(Message, frozen=True, array_like=True, tag=_TAG + 4):
    """Grant a vote for one lease, counted from ``sent_at``."""

    group: str
    term: int
    sent_at: float


class LeaseReleased(Message, frozen=True, array_like=True, tag=_TAG + 5):
    """The sender no longer leads in this term and never will again."""

    group: str
    term: int


class LeaderAsked(Message, frozen=True, array_like=True, tag=_TAG + 6):
    """Ask a member who leads its group."""

    group: str


class LeaderTold(Message, frozen=True, array_like=True, tag=_TAG + 7):
    """Tell who leads a group; an empty name means nobody known.

    Parameters
    ----------
    term
        Term in which this VM leads. Two answers with one term name the same
        leader, so a receiver that only takes later terms never alternates.

    """

    group: str
    term: int
    leader: str


MESSAGES = (
    LeaderProbed,
    ProbeAnswered,
    LeaseAsked,
    LeaseGiven,
    LeaseReleased,
    LeaderAsked,
    LeaderTold,
)

__all__ = (
    'MESSAGES',
    'LeaderAsked',
    'LeaderProbed',
    'LeaderTold',
    'LeaseAsked',
    'LeaseGiven',
    'LeaseReleased',
    'ProbeAnswered',
)
