"""Messages of leader election within a replica group."""

from __future__ import annotations

from ..core.messages import Message

_TAG = 300


class LeaderProbed(Message, frozen=True, array_like=True, tag=_TAG + 1):
    """Ask a voter whether it could grant its vote to the sender.

    The answer proves that the sender receives messages from the voter. A VM
    that can send but not receive therefore never holds a vote.
    """

    group: str
    probe_id: int


class ProbeAnswered(Message, frozen=True, array_like=True, tag=_TAG + 2):
    """Answer a probe with the state of the vote.

    Parameters
    ----------
    term
        Highest term known to the voter.
    leader, leader_term
        VM that holds the vote, empty if none, and the term of the grant.
    wait_s
        Seconds until the vote is free; 0 if it is free.

    """

    group: str
    probe_id: int
    term: int
    leader: str
    leader_term: int
    wait_s: float


class LeaseAsked(Message, frozen=True, array_like=True, tag=_TAG + 3):
    """Request or renew a vote.

    Parameters
    ----------
    sent_at
        Time on the sender's clock, returned unchanged in the answer.

    """

    group: str
    term: int
    sent_at: float


class LeaseGiven(Message, frozen=True, array_like=True, tag=_TAG + 4):
    """Grant a vote for one lease that starts at ``sent_at``."""

    group: str
    term: int
    sent_at: float


class LeaseReleased(Message, frozen=True, array_like=True, tag=_TAG + 5):
    """Announce that the sender has permanently stepped down in a term."""

    group: str
    term: int


class LeaderAsked(Message, frozen=True, array_like=True, tag=_TAG + 6):
    """Ask a member who leads its group."""

    group: str


class LeaderTold(Message, frozen=True, array_like=True, tag=_TAG + 7):
    """Tell who leads a group; an empty name means an unknown leader.

    Parameters
    ----------
    term
        Term in which ``leader`` leads. Answers with the same term name the
        same leader, so a receiver that only accepts later terms never
        alternates between leaders.

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
