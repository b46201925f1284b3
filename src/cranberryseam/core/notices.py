"""Facts that one part of the reducer tells the others."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs

from ..types import KeyId, RequestId, TargetId, VmId
from .refusals import Executed, RefusalReason

if TYPE_CHECKING:
    from ..configuration.entries import Entry
    from ..configuration.model import Configuration
    from .events import Announcement, StoredAnswer


@attrs.frozen
class Notice:
    """Base of all notices."""

    at: float


@attrs.frozen
class EntryCommitted(Notice):
    """The control log committed the entry of a version."""

    version: int
    entry: Entry


@attrs.frozen
class SnapshotInstalled(Notice):
    """The control log continues after ``configuration.version``.

    It replaces the ``EntryCommitted`` of all versions up to that one.
    """

    configuration: Configuration


@attrs.frozen
class ConfigurationChanged(Notice):
    """A newer configuration is in force on this VM."""

    configuration: Configuration


@attrs.frozen
class KeysWithdrawn(Notice):
    """Keys were withdrawn, by this VM or by one it heard from."""

    key_ids: tuple[KeyId, ...]


@attrs.frozen
class DepartureReported(Notice):
    """A target said that it leaves; the control log is to keep that.

    Parameters
    ----------
    born_ms
        Unix time; all its starts up to then leave.

    """

    target: TargetId
    born_ms: int


@attrs.frozen
class FleetSizeChanged(Notice):
    """The number of VMs of the fleet changed."""

    vm_count: int


class MemberStatus(Enum):
    """What gossip knows of another VM."""

    alive = 'alive'
    suspect = 'suspect'
    dead = 'dead'
    left = 'left'


@attrs.frozen
class MemberChanged(Notice):
    """The status of another VM changed."""

    vm: VmId
    region: str
    status: MemberStatus


@attrs.frozen
class RoundTripCompleted(Notice):
    """Another VM answered a ping that was sent at ``sent_at``."""

    vm: VmId
    region: str
    sent_at: float


@attrs.frozen
class RegionContactUpdated(Notice):
    """Time of the newest evidence from each region, own one included."""

    last_contact: tuple[tuple[str, float], ...]


@attrs.frozen
class TargetChanged(Notice):
    """A target announced itself, changed, or fell silent.

    Parameters
    ----------
    announcement
        The latest one.
    silent
        True once no announcement came for the expiry time.

    """

    announcement: Announcement
    silent: bool = False


@attrs.frozen
class LeadershipChanged(Notice):
    """This VM learned who leads a replica group; None if nobody."""

    group: str
    leader: VmId | None


@attrs.frozen
class TokenGranted(Notice):
    """The account may run this request within its rate."""

    request_id: RequestId


@attrs.frozen
class TokenDenied(Notice):
    """The account may not run this request now."""

    request_id: RequestId
    reason: RefusalReason
    retry_after_s: float | None = None


@attrs.frozen
class ClaimGranted(Notice):
    """This request is the first with its idempotency key and may run."""

    request_id: RequestId


@attrs.frozen
class ClaimReplayed(Notice):
    """The first request of this key has an answer, which is repeated."""

    request_id: RequestId
    answer: StoredAnswer


@attrs.frozen
class ClaimRefused(Notice):
    """This request may not run under its idempotency key."""

    request_id: RequestId
    reason: RefusalReason
    ran: Executed
    retry_after_s: float | None = None


@attrs.frozen
class SlotAssigned(Notice):
    """A request may be sent to a target now."""

    request_id: RequestId
    target: TargetId
    host: str
    port: int


@attrs.frozen
class SlotDenied(Notice):
    """No target takes the request in time."""

    request_id: RequestId
    reason: RefusalReason
    retry_after_s: float | None = None


__all__ = (
    'ClaimGranted',
    'ClaimRefused',
    'ClaimReplayed',
    'ConfigurationChanged',
    'DepartureReported',
    'EntryCommitted',
    'FleetSizeChanged',
    'KeysWithdrawn',
    'LeadershipChanged',
    'MemberChanged',
    'MemberStatus',
    'Notice',
    'RegionContactUpdated',
    'RoundTripCompleted',
    'SlotAssigned',
    'SlotDenied',
    'SnapshotInstalled',
    'TargetChanged',
    'TokenDenied',
    'TokenGranted',
)
