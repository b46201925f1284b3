"""Messages between VMs and the control leader they are attached to."""

from __future__ import annotations

import msgspec

from ..core.events import Announcement
from ..core.messages import Message
from ..types import TargetId
from .content import ContentDelta, WholeContent

_POLL_TAG = 700
_POLL_REPLY_TAG = 701
_LEADER_HINT_TAG = 702
_ANNOUNCEMENT_TAG = 703
_ANNOUNCEMENT_TAKEN_TAG = 704


class TargetRow(msgspec.Struct, frozen=True, array_like=True):
    """A target in the leader's table.

    Parameters
    ----------
    silent
        True once it is gone, or was not heard for long.

    """

    announcement: Announcement
    silent: bool = False


class Departure(msgspec.Struct, frozen=True, array_like=True):
    """A target that said that it leaves.

    Parameters
    ----------
    born_ms
        Unix time; all its starts up to then have left.

    """

    target: TargetId
    born_ms: int


class Poll(Message, frozen=True, array_like=True, tag=_POLL_TAG):
    """Ask the leader what changed.

    Parameters
    ----------
    sent_at
        Clock of the sender, returned in the reply.
    content_version
        Version of the configuration that the sender has.
    term, position
        Leader's term whose table of targets the sender has, and how far.
    members_index
        Which list of control replicas it has.
    data_centre
        Of the sender; empty to a leader that has heard it before.

    """

    sent_at: float
    content_version: int
    term: int
    position: int
    members_index: int
    data_centre: str = ''


class PollReply(Message, frozen=True, array_like=True, tag=_POLL_REPLY_TAG):
    """What changed, from the leader.

    Parameters
    ----------
    age_s
        Age of the newest proof that a quorum follows the leader.
    members_index, members
        VMs of the control replicas, left out if the sender has them.
    vm_count
        VMs that poll the leader.
    content
        What the sender lacks of the configuration in force.
    whole
        True if ``rows`` are all targets, not only the changed ones.
    departed
        Departures since the poll's position. They hold for all that the
        receiver knows of these targets, also if ``rows`` lack them.

    """

    sent_at: float
    age_s: float
    term: int
    position: int
    members_index: int
    vm_count: int
    members: tuple[str, ...] = ()
    rows: tuple[TargetRow, ...] = ()
    whole: bool = False
    content: ContentDelta | WholeContent | None = None
    departed: tuple[Departure, ...] = ()


class LeaderHint(Message, frozen=True, array_like=True, tag=_LEADER_HINT_TAG):
    """Whom to poll instead; ``leader`` is empty while none is known."""

    leader: str
    members: tuple[str, ...]


class PassedAnnouncement(
    Message, frozen=True, array_like=True, tag=_ANNOUNCEMENT_TAG
):
    """A target's announcement, from the control VM that received it."""

    reply_id: int
    announcement: Announcement


class AnnouncementTaken(
    Message, frozen=True, array_like=True, tag=_ANNOUNCEMENT_TAKEN_TAG
):
    """The leader acts on an announcement."""

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
