"""Conversion and comparison of target records and announcements."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

from ..core.events import Announcement, TargetState
from ..types import ServiceName, TargetId
from .digest import hash_values
from .messages import TargetRecord

if TYPE_CHECKING:
    from ..core.notices import TargetChanged
    from ..types import VmId


def get_precedence(record: TargetRecord) -> tuple[int, bool, str]:
    """Return the sort key by which the records of a target are merged."""
    return record.sequence, record.silent, record.origin


def change_record(record: TargetRecord, **changes: object) -> TargetRecord:
    """Return a copy of a record with some fields changed."""
    changed: TargetRecord = msgspec.structs.replace(record, **changes)
    return changed


def hash_record(record: TargetRecord) -> int:
    """Return a hash of the fields that decide a merge."""
    return hash_values(record.sequence, record.silent, record.origin)


def is_renewal(known: TargetRecord, record: TargetRecord) -> bool:
    """Return whether a record differs only in sequence and origin."""
    return known == change_record(
        record, sequence=known.sequence, origin=known.origin
    )


def matches_notice(last_notice: TargetChanged, record: TargetRecord) -> bool:
    """Return whether a notice equals a record except for the sequence."""
    announcement = build_announcement(record)
    return last_notice.announcement == attrs.evolve(
        announcement, sequence=last_notice.announcement.sequence
    )


def build_record(announcement: Announcement, origin: VmId) -> TargetRecord:
    """Return the record of an announcement received by its origin VM."""
    return TargetRecord(
        target=announcement.target,
        service=announcement.service,
        host=announcement.host,
        port=announcement.port,
        region=announcement.region,
        data_centre=announcement.data_centre,
        slots=announcement.slots,
        connections=announcement.connections,
        state=announcement.state.value,
        sequence=announcement.sequence,
        silent=False,
        origin=origin,
    )


def build_announcement(record: TargetRecord) -> Announcement:
    """Return the announcement that a record contains."""
    return Announcement(
        target=TargetId(record.target),
        service=ServiceName(record.service),
        host=record.host,
        port=record.port,
        region=record.region,
        data_centre=record.data_centre,
        slots=record.slots,
        connections=record.connections,
        state=TargetState(record.state),
        sequence=record.sequence,
    )


__all__ = (
    'build_announcement',
    'build_record',
    'change_record',
    'get_precedence',
    'hash_record',
    'is_renewal',
    'matches_notice',
)
