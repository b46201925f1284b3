"""Messages between control replicas.

Messages between members contain the disk ids of sender and receiver. A VM that
returns with an empty disk must not be mistaken for the replica whose votes and
acknowledgements were on the old disk.
"""

from __future__ import annotations

from ..core.messages import Message
from .records import Membership, Record

_REQUEST_PRE_VOTE_TAG = 100
_PRE_VOTE_REPLY_TAG = 101
_REQUEST_VOTE_TAG = 102
_VOTE_REPLY_TAG = 103
_APPEND_REQUEST_TAG = 104
_APPEND_REPLY_TAG = 105
_INSTALL_SNAPSHOT_TAG = 106
_SNAPSHOT_REPLY_TAG = 107
_START_ELECTION_TAG = 108
_DISK_QUERY_TAG = 109
_DISK_REPORT_TAG = 110
_FORM_GROUP_TAG = 111
_FORM_REPLY_TAG = 112
_BEGIN_ELECTIONS_TAG = 113
_JOIN_ASKED_TAG = 114


class JoinAsked(Message, frozen=True, array_like=True, tag=_JOIN_ASKED_TAG):
    """Request of a control VM to become a member with its disk.

    Parameters
    ----------
    vm
        VM that sent the request; another VM may have forwarded it.

    """

    vm: str
    disk: str
    forwarded: bool = False


class PeerMessage(Message, frozen=True, array_like=True):
    """Base class of the messages between members.

    Parameters
    ----------
    term
        Term of the sender.
    disk, to_disk
        Disk ids of sender and receiver.

    """

    term: int
    disk: str
    to_disk: str


class RequestPreVote(
    PeerMessage, frozen=True, array_like=True, tag=_REQUEST_PRE_VOTE_TAG
):
    """Ask whether an election in ``term`` could succeed; changes no state."""

    last_index: int
    last_term: int


class PreVoteReply(
    PeerMessage, frozen=True, array_like=True, tag=_PRE_VOTE_REPLY_TAG
):
    """Reply to a pre-vote; ``term`` is the requested one if granted."""

    granted: bool


class RequestVote(
    PeerMessage, frozen=True, array_like=True, tag=_REQUEST_VOTE_TAG
):
    """Ask for the vote in ``term``.

    Parameters
    ----------
    transfer
        True if the leader requested this election; receivers then vote even
        if they have heard from the leader recently.

    """

    last_index: int
    last_term: int
    transfer: bool = False


class VoteReply(PeerMessage, frozen=True, array_like=True, tag=_VOTE_REPLY_TAG):
    """A vote that is on disk, or a refusal."""

    granted: bool


class AppendRequest(
    PeerMessage, frozen=True, array_like=True, tag=_APPEND_REQUEST_TAG
):
    """Records that follow the previous one; a heartbeat if there are none.

    Parameters
    ----------
    commit_index
        Index up to which the leader has committed records.
    sent_at
        Clock of the leader, returned in the reply.

    """

    previous_index: int
    previous_term: int
    commit_index: int
    sent_at: float
    records: tuple[Record, ...] = ()


class AppendReply(
    PeerMessage, frozen=True, array_like=True, tag=_APPEND_REPLY_TAG
):
    """Reply to an append request, sent once the records are on disk.

    Parameters
    ----------
    accepted
        False if the term is outdated or the previous record is missing.
    previous_index
        Repeated from the request.
    match_index
        If accepted, the index up to which the follower's log matches the
        leader's; otherwise the previous index to try next.

    """

    accepted: bool
    previous_index: int
    match_index: int
    sent_at: float


class InstallSnapshot(
    PeerMessage, frozen=True, array_like=True, tag=_INSTALL_SNAPSHOT_TAG
):
    """One chunk of an encoded snapshot.

    Parameters
    ----------
    checksum
        Checksum of the whole encoded snapshot.

    """

    index: int
    offset: int
    total: int
    checksum: int
    sent_at: float
    chunk: bytes


class SnapshotReply(
    PeerMessage, frozen=True, array_like=True, tag=_SNAPSHOT_REPLY_TAG
):
    """Offset from which on the follower needs the snapshot."""

    index: int
    offset: int
    sent_at: float


class StartElection(
    PeerMessage, frozen=True, array_like=True, tag=_START_ELECTION_TAG
):
    """The leader transfers its role to the receiver."""


class DiskQuery(Message, frozen=True, array_like=True, tag=_DISK_QUERY_TAG):
    """Ask a VM for the id and state of its disk."""


class DiskReport(Message, frozen=True, array_like=True, tag=_DISK_REPORT_TAG):
    """Id and state of the sender's disk.

    Parameters
    ----------
    membership
        Membership stored on this disk; None if there is none.
    initialised
        True once elections may have taken place.

    """

    disk: str
    membership: Membership | None
    initialised: bool


class FormGroup(Message, frozen=True, array_like=True, tag=_FORM_GROUP_TAG):
    """Request to store the initial membership."""

    membership: Membership
    wall_s: float


class FormReply(Message, frozen=True, array_like=True, tag=_FORM_REPLY_TAG):
    """Whether the initial membership of ``fleet`` is on disk."""

    fleet: str
    disk: str
    accepted: bool


class BeginElections(
    Message, frozen=True, array_like=True, tag=_BEGIN_ELECTIONS_TAG
):
    """All members have stored the initial membership of ``fleet``."""

    fleet: str


MESSAGES: tuple[type[Message], ...] = (
    RequestPreVote,
    PreVoteReply,
    RequestVote,
    VoteReply,
    AppendRequest,
    AppendReply,
    InstallSnapshot,
    SnapshotReply,
    StartElection,
    DiskQuery,
    DiskReport,
    FormGroup,
    FormReply,
    BeginElections,
    JoinAsked,
)

__all__ = (
    'MESSAGES',
    'AppendReply',
    'AppendRequest',
    'BeginElections',
    'DiskQuery',
    'DiskReport',
    'FormGroup',
    'FormReply',
    'InstallSnapshot',
    'JoinAsked',
    'PeerMessage',
    'PreVoteReply',
    'RequestPreVote',
    'RequestVote',
    'SnapshotReply',
    'StartElection',
    'VoteReply',
)
