"""Messages of the gossip protocol (tags 200 to 299)."""

from __future__ import annotations

import msgspec

from ..configuration.entries import AnyEntry
from ..configuration.model import Account, Key, Plan, Route, Service
from ..core.messages import Message


class _Tag:
    """Tags on the wire; a tag is never given another meaning."""

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
    """State of a VM, from the VM itself or from the failure detector of a peer.

    The record with the greater (incarnation, status) wins, so merging is
    commutative, and duplicate or late records have no effect.

    Parameters
    ----------
    incarnation
        Unix time of the start in seconds; the VM raises it to refute a
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
    """Announced state of a target.

    Parameters
    ----------
    state
        Name of the ``TargetState``.
    silent
        True once the origin received no announcement for the expiry time.
    origin
        VM that tracks the announcements of the target.

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
    """Versions and digests of the sender, compared with those of the receiver.

    Parameters
    ----------
    heartbeat
        Increases with each protocol period and each change of the version or
        the withdrawals.
    synced
        True once the sender completed its initial synchronisation.
    withdrawn, members, targets
        Digests of the tables.

    """

    incarnation: int
    heartbeat: int
    version: int
    synced: bool
    withdrawn: int
    members: int
    targets: int


class ReportRow(msgspec.Struct, frozen=True, array_like=True):
    """Forwarded state of a VM; the index refers to ``Reports.states``."""

    name: str
    heartbeat: int
    state_index: int


class Reports(msgspec.Struct, frozen=True, array_like=True):
    """Forwarded configuration versions and withdrawal digests of some VMs."""

    states: tuple[tuple[int, int], ...] = ()
    rows: tuple[ReportRow, ...] = ()


class Updates(msgspec.Struct, frozen=True, array_like=True):
    """Bounded number of recent changes, piggybacked on other messages."""

    members: tuple[MemberRecord, ...] = ()
    targets: tuple[TargetRecord, ...] = ()
    withdrawn: tuple[str, ...] = ()


class Ping(Message, frozen=True, array_like=True, tag=_Tag.ping):
    """Requests an ``Ack`` with the same number."""

    number: int
    state: SenderState
    updates: Updates
    reports: Reports


class Ack(Message, frozen=True, array_like=True, tag=_Tag.ack):
    """Answers a ping.

    Parameters
    ----------
    region_ages
        Time in seconds since the last contact with each region.

    """

    number: int
    state: SenderState
    updates: Updates
    reports: Reports
    region_ages: tuple[tuple[str, float], ...]


class PingRequest(Message, frozen=True, array_like=True, tag=_Tag.ping_request):
    """Requests an ``Ack`` and an indirect ping of another VM."""

    number: int
    state: SenderState
    vm: str


class Vouch(Message, frozen=True, array_like=True, tag=_Tag.vouch):
    """Reports that the VM of a ``PingRequest`` answered the indirect ping."""

    vm: str
    incarnation: int


class Push(Message, frozen=True, array_like=True, tag=_Tag.push):
    """Changes that the sender has just received or made."""

    updates: Updates


class Entries(Message, frozen=True, array_like=True, tag=_Tag.entries):
    """Consecutive committed entries, starting at version ``first``."""

    first: int
    entries: tuple[AnyEntry, ...]


class PullEntries(Message, frozen=True, array_like=True, tag=_Tag.pull_entries):
    """Requests the entries after a version."""

    after: int


class PullSnapshot(
    Message, frozen=True, array_like=True, tag=_Tag.pull_snapshot
):
    """Requests a chunk of a configuration snapshot.

    Parameters
    ----------
    version
        Version of the rows received so far; 0 before the first chunk.
    start
        Index of the first row to send.

    """

    version: int
    start: int


class SnapshotChunk(
    Message, frozen=True, array_like=True, tag=_Tag.snapshot_chunk
):
    """Rows of a configuration snapshot, from index ``start`` on."""

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
    """Requests the records of the buckets whose digests differ.

    Parameters
    ----------
    table
        ``m`` for members, ``t`` for targets.
    digests
        Digest of each bucket as a big-endian 32-bit integer.
    bucket, after
        Position to continue from: bucket number and last name received from
        that bucket.

    """

    table: str
    digests: bytes
    bucket: int = 0
    after: str = ''


class Records(Message, frozen=True, array_like=True, tag=_Tag.records):
    """Answers ``PullRecords``; ``bucket`` is -1 on the last page."""

    table: str
    updates: Updates
    bucket: int
    after: str


class PullWithdrawn(
    Message, frozen=True, array_like=True, tag=_Tag.pull_withdrawn
):
    """Requests withdrawn key ids in sorted order, after a given id."""

    after: str = ''


class Withdrawn(Message, frozen=True, array_like=True, tag=_Tag.withdrawn):
    """Answers ``PullWithdrawn``; ``more`` is False on the last page."""

    key_ids: tuple[str, ...]
    more: bool


class RenewTargets(
    Message, frozen=True, array_like=True, tag=_Tag.renew_targets
):
    """Forwards (target, sequence) of unchanged announcements to the origin."""

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
