"""Table of announced targets and their origins.

The VM that receives the announcements of a target is its origin and tracks
their expiry. While the origin is live, other VMs assume that the target keeps
announcing itself. Renewals without a change are not disseminated, and a VM
that receives one for a target of another origin forwards only (target,
sequence) to that origin, so renewing 9,400 targets adds no gossip. The origin
disseminates a change of state at once, and a ``silent`` record after
``EXPIRY_S`` without an announcement. When the origin fails, each VM treats its
targets as silent until they announce themselves through another VM, which
becomes the new origin.
"""

from __future__ import annotations

import math
from types import MappingProxyType
from typing import TYPE_CHECKING

import attrs

from ..core.notices import TargetChanged
from ..types import VmId
from .announcements import AnnouncementOutdated
from .digest import BucketDigest
from .members import ALIVE, DEAD, LEFT, SUSPECT, MemberTable
from .messages import RenewTargets, TargetRecord
from .target_records import (
    build_announcement,
    build_record,
    change_record,
    get_precedence,
    hash_record,
    is_renewal,
    matches_notice,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..core.events import Announcement
    from .dissemination import Disseminator
    from .outbox import Outbox

EXPIRY_S = 3.0
CHECK_INTERVAL_S = 0.25
# Time for a suspected origin to refute, and for its targets to announce
# themselves through another VM, before they count as silent. A record that a
# push missed arrives with the next acknowledgement, after at most one protocol
# period of 1 s.
ORIGIN_GRACE_S = 1.1
# How long the targets of an origin stay valid after its change to a status.
# When an origin leaves, its targets have time to announce themselves through
# another VM.
_ORIGIN_VALIDITY_S = MappingProxyType(
    {ALIVE: math.inf, SUSPECT: ORIGIN_GRACE_S, DEAD: 0, LEFT: EXPIRY_S}
)
# A VM that has just started may receive a target before the member record of
# its origin. After this time the origin counts as dead.
_UNKNOWN_ORIGIN_GRACE_S = 5.0
# After a pause, an origin allows this time to process queued announcements.
_RESUME_GRACE_S = 1.0
# Silent targets are kept so that late announcements don't add them again.
_SILENT_RETENTION_S = 60.0
# About 4 KB, at 20 bytes per renewal.
_RENEWALS_PER_MESSAGE = 200
# A cleanup visits every target, which takes 2 ms with 9,400 targets.
_CLEANUP_INTERVAL_S = 10.0


@attrs.define
class Target:
    """A target as known on this VM.

    Parameters
    ----------
    sequence
        Greatest sequence number seen. Renewals raise it only on the VM that
        received them and on the origin.
    heard_at
        Time of the last announcement, kept up to date only on the VM that
        received it and on the origin.
    last_notice
        Last notice about the target on this VM.

    """

    record: TargetRecord
    sequence: int
    heard_at: float
    changed_at: float
    last_notice: TargetChanged | None = None


class TargetTable:
    """All targets, merged by (sequence, silent, origin)."""

    def __init__(
        self, members: MemberTable, disseminator: Disseminator, outbox: Outbox
    ) -> None:
        """Start without targets."""
        self._members = members
        self._disseminator = disseminator
        self._outbox = outbox
        self._targets: dict[str, Target] = {}
        self._by_origin: dict[VmId, set[str]] = {}
        self._renewals: dict[VmId, dict[str, int]] = {}
        self._foreign_targets: set[str] = set()
        self._origin_validity: dict[VmId, bool] = {}
        self._unknown_since: dict[VmId, float] = {}
        self.digest = BucketDigest()
        self._checked_at: float = 0
        self._cleaned_up_at: float = 0

    def find(self, name: str) -> TargetRecord | None:
        """Return the record of a target."""
        target = self._targets.get(name)
        return target.record if target else None

    def announce(
        self, announcement: Announcement
    ) -> AnnouncementOutdated | None:
        """Apply a valid announcement that this VM received."""
        own_vm = self._members.local_vm
        record = build_record(announcement, own_vm)
        target = self._targets.get(record.target)
        if target is None:
            self._store(record)
            return None
        newest = max(target.sequence, target.record.sequence)
        if record.sequence == newest:
            return None
        if record.sequence < newest:
            return AnnouncementOutdated(record.sequence, newest)
        target.sequence = record.sequence
        target.heard_at = self._outbox.now
        if not is_renewal(target.record, record):
            self._store(record)
        elif target.record.origin != own_vm:
            self._forward_renewal(target, record)
        return None

    def merge(self, record: TargetRecord) -> None:
        """Store a record from another VM if it is newer."""
        target = self._targets.get(record.target)
        if target and get_precedence(record) <= get_precedence(target.record):
            return
        if target and record.silent and self._is_later(target, record):
            # This VM received a later announcement than the origin.
            record = change_record(
                record,
                sequence=target.sequence,
                origin=self._members.local_vm,
                silent=False,
            )
        self._store(record)

    def record_renewals(self, renewals: tuple[tuple[str, int], ...]) -> None:
        """Apply renewals that other VMs forwarded to this origin."""
        for name, sequence in renewals:
            target = self._targets.get(name)
            if target and sequence > target.sequence:
                target.sequence = sequence
                target.heard_at = self._outbox.now
                self._clear_silent(target)

    def check(self) -> None:
        """Expire silent targets and the targets of failed origins."""
        now = self._outbox.now
        if self._checked_at and now - self._checked_at > 1:
            self._extend_after_pause()
        self._checked_at = now
        for name in sorted(self._by_origin.get(self._members.local_vm, ())):
            target = self._targets[name]
            is_overdue = now - target.heard_at >= EXPIRY_S
            if is_overdue and not target.record.silent:
                record = target.record
                self._store(
                    change_record(record, sequence=target.sequence, silent=True)
                )
        self.take_over_targets()
        self._check_origins()

    def take_over_targets(self) -> None:
        """Become the origin of renewed targets whose origin is not alive.

        This doesn't wait for the next announcement, so that other VMs don't
        see the target as silent in between.
        """
        for name in sorted(self._foreign_targets):
            target = self._targets.get(name)
            if target is None or not self._is_recent(target):
                self._foreign_targets.discard(name)
            elif not self._is_alive(VmId(target.record.origin)):
                own_vm = self._members.local_vm
                self._foreign_targets.discard(name)
                self._store(
                    change_record(
                        target.record, sequence=target.sequence, origin=own_vm
                    )
                )

    def end_period(self) -> None:
        """Forward renewals to their origins and remove expired targets."""
        if self._outbox.now - self._cleaned_up_at >= _CLEANUP_INTERVAL_S:
            self._cleaned_up_at = self._outbox.now
            self._remove_expired()
        for origin, renewals in sorted(self._renewals.items()):
            for page in _split_batches(tuple(renewals.items())):
                self._outbox.send(origin, RenewTargets(page))
        self._renewals.clear()

    def _store(self, record: TargetRecord) -> None:
        now = self._outbox.now
        own_vm = self._members.local_vm
        target = self._targets.get(record.target)
        if target is None:
            target = Target(record, record.sequence, now, now)
            self._targets[record.target] = target
        else:
            previous_origin = VmId(target.record.origin)
            self._by_origin[previous_origin].discard(record.target)
            if previous_origin != own_vm and record.origin == own_vm:
                target.heard_at = now
            target.record = record
            target.sequence = max(target.sequence, record.sequence)
            target.changed_at = now
        self._by_origin.setdefault(VmId(record.origin), set()).add(
            record.target
        )
        self.digest.replace(record.target, hash_record(record))
        self._disseminator.add_target(record)
        self._notify(target)

    def _clear_silent(self, target: Target) -> None:
        if target.record.silent:
            own_vm = self._members.local_vm
            self._store(
                change_record(
                    target.record,
                    sequence=target.sequence,
                    origin=own_vm,
                    silent=False,
                )
            )

    def _forward_renewal(self, target: Target, record: TargetRecord) -> None:
        origin = VmId(target.record.origin)
        if not self._is_alive(origin):
            self._store(record)
            return
        self._foreign_targets.add(record.target)
        renewals = self._renewals.setdefault(origin, {})
        renewals[record.target] = record.sequence

    def _is_later(self, target: Target, record: TargetRecord) -> bool:
        return target.sequence > record.sequence and self._is_recent(target)

    def _is_recent(self, target: Target) -> bool:
        return self._outbox.now - target.heard_at < EXPIRY_S

    def _is_alive(self, vm: VmId) -> bool:
        if vm == self._members.local_vm:
            return True
        member = self._members.members.get(vm)
        return member is not None and member.record.status == ALIVE

    def _extend_after_pause(self) -> None:
        latest = self._outbox.now - EXPIRY_S + _RESUME_GRACE_S
        for name in self._by_origin.get(self._members.local_vm, ()):
            target = self._targets[name]
            target.heard_at = max(target.heard_at, latest)

    def _check_origins(self) -> None:
        for origin, names in tuple(self._by_origin.items()):
            is_valid = self._is_origin_valid(origin)
            if self._origin_validity.get(origin) == is_valid:
                continue
            self._origin_validity[origin] = is_valid
            for name in sorted(names):
                self._notify(self._targets[name])

    def _remove_expired(self) -> None:
        oldest = self._outbox.now - _SILENT_RETENTION_S
        expired = [
            name
            for name, target in self._targets.items()
            if target.last_notice
            and target.last_notice.silent
            and target.changed_at < oldest
        ]
        for name in expired:
            record = self._targets.pop(name).record
            self._by_origin[VmId(record.origin)].discard(name)
            self.digest.remove(name)

    def _is_origin_valid(self, origin: VmId) -> bool:
        if origin == self._members.local_vm:
            return True
        member = self._members.members.get(origin)
        if member is None:
            first_seen_at = self._unknown_since.setdefault(
                origin, self._outbox.now
            )
            return self._outbox.now - first_seen_at < _UNKNOWN_ORIGIN_GRACE_S
        self._unknown_since.pop(origin, None)
        grace_s = _ORIGIN_VALIDITY_S[member.record.status]
        return self._outbox.now - member.changed_at < grace_s

    def _notify(self, target: Target) -> None:
        record = target.record
        silent = record.silent or not self._is_origin_valid(VmId(record.origin))
        last_notice = target.last_notice
        if (
            last_notice
            and last_notice.silent == silent
            and matches_notice(last_notice, record)
        ):
            return
        target.changed_at = self._outbox.now
        target.last_notice = TargetChanged(
            self._outbox.now, build_announcement(record), silent
        )
        self._outbox.add(target.last_notice)


def _split_batches(
    renewals: tuple[tuple[str, int], ...],
) -> Iterator[tuple[tuple[str, int], ...]]:
    for start in range(0, len(renewals), _RENEWALS_PER_MESSAGE):
        yield renewals[start : start + _RENEWALS_PER_MESSAGE]


__all__ = ('CHECK_INTERVAL_S', 'EXPIRY_S', 'TargetTable')
