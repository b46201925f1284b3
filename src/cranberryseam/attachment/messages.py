"""Messages between attached VMs and the control leader."""

from __future__ import annotations

import msgspec

from ..core.events import Announcement
from ..core.messages import Message
from ..types import TargetId
from .content import ContentDelta, FullContent

_POLL_TAG = 700
_POLL_REPLY_TAG = 701
_LEADER_HINT_TAG = 702
_ANNOUNCEMENT_TAG = 703
_ANNOUNCEMENT_TAKEN_TAG = 704


class TargetRow(msgspec.Struct, frozen=True, array_like=True):
    """A row of the leader's table of targets.

    Parameters
    ----------
    silent
        True once the target has timed out, or another target has taken its
        address.

    """

    announcement: Announcement
    silent: bool = False


class Departure(msgspec.Struct, frozen=True, array_like=True):
    """The departure of a target, announced by the target.

    Parameters
    ----------
    born_ms
        Unix time; applies to all starts of the target until then.

    """

    target: TargetId
    born_ms: int


class Poll(Message, frozen=True, array_like=True, tag=_POLL_TAG):
    """Request the changes from the leader.

    Parameters
    ----------
    sent_at
        Clock of the sender; returned in the reply.
    content_version
        Content version of the configuration of the sender.
    term, position
        Term of the sender's copy of the table, and its last change.
    members_index
        Version of the sender's list of control replicas.
    data_centre
        Data centre of the sender; empty if the leader already knows it.
    answered_at
        Time of the latest reply that the sender has received in this term, on
        the clock of the leader; 0 without one.

    """

    sent_at: float
    content_version: int
    term: int
    position: int
    members_index: int
    data_centre: str = ''
    answered_at: float = 0


class PollReply(Message, frozen=True, array_like=True, tag=_POLL_REPLY_TAG):
    """The changes, from the leader.

    Parameters
    ----------
    age_s
        Age of the latest confirmation that a quorum follows the leader.
    position
        Position up to which a receiver that applies this reply knows all
        changes of the table.
    members_index, members
        VMs of the control replicas; omitted if the sender has this version.
    vm_count
        Number of VMs that poll the leader; 0 if not known yet.
    content
        Update to the current configuration; None if the sender has it.
    is_full
        True if ``rows`` contain all targets, not only changed ones.
    departed
        Departures after the position of the poll. They also apply to targets
        that the receiver knows and that ``rows`` do not contain.
    answered_at
        Time of the reply on the clock of the leader.
    vm_rank
        Rank of the receiver among the VMs, from 0 to ``vm_count`` - 1.
    data_centre
        Data centre of the leader, for a receiver that has just found it.

    """

    sent_at: float
    age_s: float
    term: int
    position: int
    members_index: int
    vm_count: int
    members: tuple[str, ...] = ()
    rows: tuple[TargetRow, ...] = ()
    is_full: bool = False
    content: ContentDelta | FullContent | None = None
    departed: tuple[Departure, ...] = ()
    answered_at: float = 0
    vm_rank: int = 0
    data_centre: str = ''


class LeaderHint(Message, frozen=True, array_like=True, tag=_LEADER_HINT_TAG):
    """VMs to poll instead; ``leader`` is empty while it is unknown."""

    leader: str
    members: tuple[str, ...]


class PassedAnnouncement(
    Message, frozen=True, array_like=True, tag=_ANNOUNCEMENT_TAG
):
    """An announcement forwarded by the control VM that received it."""

    reply_id: int
    announcement: Announcement


class AnnouncementTaken(
    Message, frozen=True, array_like=True, tag=_ANNOUNCEMENT_TAKEN_TAG
):
    """Acknowledges that the leader processed an announcement."""

    reply_id: int


MESSAGES: tuple[type[Message], ...] = (
    Poll,
    PollReply,
    LeaderHint,
    PassedAnnouncement,
    AnnouncementTaken,
)

__all__ = (
    'MESSAGES',
    'AnnouncementTaken',
    'Departure',
    'LeaderHint',
    'PassedAnnouncement',
    'Poll',
    'PollReply',
    'TargetRow',
)
