"""Notices that components of the reducer send to each other."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs

from ..configuration.places import Distance
from ..types import KeyId, RequestId, TargetId, VmId
from .refusals import Executed, RefusalReason

if TYPE_CHECKING:
    from ..configuration.entries import Entry
    from ..configuration.model import Configuration
    from .events import Announcement, StoredAnswer


@attrs.frozen
class Notice:
    """Base class of all notices."""

    at: float


@attrs.frozen
class EntryCommitted(Notice):
    """The control log committed the entry of ``version``."""

    version: int
    entry: Entry


@attrs.frozen
class SnapshotInstalled(Notice):
    """A snapshot replaced the control log up to ``configuration.version``.

    It stands in for ``EntryCommitted`` of all versions up to that one.
    """

    configuration: Configuration


@attrs.frozen
class ConfigurationChanged(Notice):
    """A newer configuration is in force on this VM."""

    configuration: Configuration


@attrs.frozen
class KeysWithdrawn(Notice):
    """Keys were withdrawn by this VM or by another one."""

    key_ids: tuple[KeyId, ...]


@attrs.frozen
class DepartureReported(Notice):
    """A target reported its shutdown, which the control log must record.

    Parameters
    ----------
    born_ms
        Unix time in milliseconds; covers all starts of the target up to it.

    """

    target: TargetId
    born_ms: int


@attrs.frozen
class FleetSizeChanged(Notice):
    """The number of VMs in the fleet, or the rank of this VM, changed.

    Parameters
    ----------
    rank
        Different for each VM, from 0 to ``vm_count`` - 1.

    """

    vm_count: int
    rank: int = 0


class MemberStatus(Enum):
    """Status of another VM according to gossip."""

    alive = 'alive'
    suspect = 'suspect'
    dead = 'dead'
    left = 'left'


@attrs.frozen
class MemberChanged(Notice):
    """The status of another VM changed.

    Parameters
    ----------
    data_centre
        Empty if it is unknown or unchanged.

    """

    vm: VmId
    region: str
    status: MemberStatus
    data_centre: str = ''


@attrs.frozen
class RoundTripCompleted(Notice):
    """Another VM answered a ping that was sent at ``sent_at``."""

    vm: VmId
    region: str
    sent_at: float


@attrs.frozen
class RegionContactUpdated(Notice):
    """Time of the last evidence from each region, including the own one."""

    last_contact: tuple[tuple[str, float], ...]


@attrs.frozen
class TargetChanged(Notice):
    """A target announced itself, changed state, or stopped announcing.

    Parameters
    ----------
    announcement
        The latest announcement.
    silent
        True if no announcement arrived within the expiry time.

    """

    announcement: Announcement
    silent: bool = False


@attrs.frozen
class LeadershipChanged(Notice):
    """This VM learned the leader of a replica group; None if it has none."""

    group: str
    leader: VmId | None


class TokenSource(Enum):
    """Where the token of a request comes from."""

    lease = 'lease'
    fallback = 'fallback'


@attrs.frozen
class TokenGranted(Notice):
    """The request is within the rate limit of its account."""

    request_id: RequestId
    source: TokenSource = TokenSource.lease


@attrs.frozen
class TokenDenied(Notice):
    """The request is denied by the rate limit of its account."""

    request_id: RequestId
    reason: RefusalReason
    retry_after_s: float | None = None


@attrs.frozen
class ClaimGranted(Notice):
    """The request is the first with its idempotency key and may proceed."""

    request_id: RequestId


@attrs.frozen
class ClaimReplayed(Notice):
    """The idempotency key has a stored answer, which is replayed."""

    request_id: RequestId
    answer: StoredAnswer


@attrs.frozen
class ClaimRefused(Notice):
    """The request is refused because of its idempotency key."""

    request_id: RequestId
    reason: RefusalReason
    ran: Executed
    retry_after_s: float | None = None


@attrs.frozen
class SlotAssigned(Notice):
    """The request may now be sent to a target."""

    request_id: RequestId
    target: TargetId
    host: str
    port: int
    distance: Distance = Distance.own_data_centre


@attrs.frozen
class SlotDenied(Notice):
    """No target has a free slot for the request in time."""

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
    'TokenSource',
)
