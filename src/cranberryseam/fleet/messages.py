"""Messages of the fleet part (tags 200 to 299)."""

from __future__ import annotations

import msgspec

from ..configuration.entries import AnyEntry
from ..configuration.model import Account, Key, Plan, Route, Service
from ..core.messages import Message


class _Tag:
    """Tags on the wire; they never change their meaning."""

    ping = 200
    ack = 201
    ping_request = 202
    vouch = 203
    push = 204
    entries = 205
    pull_entries = 206
    pull_snapshot = 207
    snapshot_chunk = 208
    pull_records = 209
    records = 210
    pull_withdrawn = 211
    withdrawn = 212
    renew_targets = 213


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """What a VM says of itself, or what others concluded about it.

    The record with the greater (incarnation, status) wins, so merging is
    commutative and repeated or late records change nothing.

    Parameters
    ----------
    incarnation
        Unix seconds of the start, raised by the VM itself to refute a
        suspicion.
    status
        0 alive, 1 suspect, 2 dead, 3 left.

    """

    name: str
    address: str
    region: str
    data_centre: str
    roles: tuple[str, ...]
    incarnation: int
    status: int


class TargetRecord(msgspec.Struct, frozen=True, array_like=True):
    """A target as announced to its origin VM.

    Parameters
    ----------
    state
        Name of the ``TargetState``.
    silent
        True once the origin got no announcement for the expiry time.
    origin
        VM that vouches for the target.

    """

    target: str
    service: str
    host: str
    port: int
    region: str
    data_centre: str
    slots: int
    connections: int
    state: str
    sequence: int
    silent: bool
    origin: str


class SenderState(msgspec.Struct, frozen=True, array_like=True):
    """State of the sender, from which the receiver sees who is behind.

    Parameters
    ----------
    beat
        Increases with each period and each change of this state.
    settled
        True once the sender took its configuration by the start rule.
    withdrawn, members, targets
        Digests.

    """

    incarnation: int
    heartbeat: int
    version: int
    synced: bool
    withdrawn: int
    members: int
    targets: int


class ReportRow(msgspec.Struct, frozen=True, array_like=True):
    """Second-hand state of a VM; ``mark`` indexes ``Reports.marks``."""

    name: str
    heartbeat: int
    state_index: int


class Reports(msgspec.Struct, frozen=True, array_like=True):
    """Configuration version and withdrawal digest of some VMs."""

    states: tuple[tuple[int, int], ...] = ()
    rows: tuple[ReportRow, ...] = ()


class Updates(msgspec.Struct, frozen=True, array_like=True):
    """Bounded number of recent changes."""

    members: tuple[MemberRecord, ...] = ()
    targets: tuple[TargetRecord, ...] = ()
    withdrawn: tuple[str, ...] = ()


class Ping(Message, frozen=True, array_like=True, tag=_Tag.ping):
    """Asks for an ``Ack`` with the same number."""

    number: int
    state: SenderState
    updates: Updates
    reports: Reports


class Ack(Message, frozen=True, array_like=True, tag=_Tag.ack):
    """Answers a ping.

    Parameters
    ----------
    regions
        Age in seconds of the newest evidence from each region.

    """

    number: int
    state: SenderState
    updates: Updates
    reports: Reports
    region_ages: tuple[tuple[str, float], ...]


class PingRequest(Message, frozen=True, array_like=True, tag=_Tag.ping_request):
    """Asks the receiver to acknowledge and to ping another VM."""

    number: int
    state: SenderState
    vm: str


class Vouch(Message, frozen=True, array_like=True, tag=_Tag.vouch):
    """The VM of a ``PingRequest`` answered the receiver of the request."""

    vm: str
    incarnation: int


class Push(Message, frozen=True, array_like=True, tag=_Tag.push):
    """Changes that the sender has just learned."""

    updates: Updates


class Entries(Message, frozen=True, array_like=True, tag=_Tag.entries):
    """Committed entries; the first has version ``first``."""

    first: int
    entries: tuple[AnyEntry, ...]


class PullEntries(Message, frozen=True, array_like=True, tag=_Tag.pull_entries):
    """Asks for the entries after a version."""

    after: int


class PullSnapshot(
    Message, frozen=True, array_like=True, tag=_Tag.pull_snapshot
):
    """Asks for rows of the whole configuration.

    Parameters
    ----------
    version
        Version of the rows received so far; 0 before the first chunk.
    start
        Index of the first row wanted.

    """

    version: int
    start: int


class SnapshotChunk(
    Message, frozen=True, array_like=True, tag=_Tag.snapshot_chunk
):
    """Rows ``start`` and following of the configuration of a version."""

    version: int
    lists_version: int
    initialised_wall_s: float
    start: int
    total: int
    accounts: tuple[Account, ...] = ()
    plans: tuple[Plan, ...] = ()
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    keys: tuple[Key, ...] = ()
    withdrawn: tuple[str, ...] = ()
    content_version: int = 0


class PullRecords(Message, frozen=True, array_like=True, tag=_Tag.pull_records):
    """Asks for records of the buckets that differ.

    Parameters
    ----------
    table
        ``m`` for members, ``t`` for targets.
    digests
        Digest of each bucket, 4 bytes each, big endian.
    bucket, after
        Where to go on: bucket number, and the last name received of it.

    """

    table: str
    digests: bytes
    bucket: int = 0
    after: str = ''


class Records(Message, frozen=True, array_like=True, tag=_Tag.records):
    """Answers ``PullRecords``; bucket is -1 after the last record."""

    table: str
    updates: Updates
    bucket: int
    after: str


class PullWithdrawn(
    Message, frozen=True, array_like=True, tag=_Tag.pull_withdrawn
):
    """Asks for withdrawals, in the order of their ids, after an id."""

    after: str = ''


class Withdrawn(Message, frozen=True, array_like=True, tag=_Tag.withdrawn):
    """Answers ``PullWithdrawn``."""

    key_ids: tuple[str, ...]
    more: bool


class RenewTargets(
    Message, frozen=True, array_like=True, tag=_Tag.renew_targets
):
    """Announcements without changes, for the VM that vouches for them."""

    renewals: tuple[tuple[str, int], ...]


MESSAGES: tuple[type[Message], ...] = (
    Ping,
    Ack,
    PingRequest,
    Vouch,
    Push,
    Entries,
    PullEntries,
    PullSnapshot,
    SnapshotChunk,
    PullRecords,
    Records,
    PullWithdrawn,
    Withdrawn,
    RenewTargets,
)

__all__ = (
    'MESSAGES',
    'Ack',
    'Entries',
    'MemberRecord',
    'Ping',
    'PingRequest',
    'PullEntries',
    'PullRecords',
    'PullSnapshot',
    'PullWithdrawn',
    'Push',
    'Records',
    'RenewTargets',
    'ReportRow',
    'Reports',
    'SenderState',
    'SnapshotChunk',
    'TargetRecord',
    'Updates',
    'Vouch',
    'Withdrawn',
)
