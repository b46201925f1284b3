"""Membership table of the fleet."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import attrs

from ..core.effects import RegisterPeer
from ..core.notices import MemberChanged, MemberStatus
from ..types import VmId
from .digest import BucketDigest, hash_values
from .messages import MemberRecord

if TYPE_CHECKING:
    from ..configuration.settings import PeerSettings, Settings
    from .outbox import Outbox

ALIVE = 0
SUSPECT = 1
DEAD = 2
LEFT = 3
STATUSES = (
    MemberStatus.alive,
    MemberStatus.suspect,
    MemberStatus.dead,
    MemberStatus.left,
)
RELAYS_PER_REGION = 2
# Enough for the two messages of a refutation and one lost message.
REFUTATION_TIMEOUT_S = 1.0
# Longer than any gossip round, so that no peer adds a removed VM again.
GONE_RETENTION_S = 600.0


@attrs.define
class Member:
    """Another VM.

    Parameters
    ----------
    changed_at
        Time of the last change of the record.
    has_local_address
        True once the member acknowledged a ping, which shows that it has the
        address of this VM.

    """

    record: MemberRecord
    changed_at: float
    has_local_address: bool = False

    @property
    def vm(self) -> VmId:
        """Identifier of the VM."""
        return VmId(self.record.name)

    @property
    def is_live(self) -> bool:
        """True while the member is alive or suspect."""
        return self.record.status <= SUSPECT


class MemberTable:
    """Records of all known VMs, merged by (incarnation, status).

    Parameters
    ----------
    settings
        Settings of this VM. The configured peers are seed addresses; a peer
        becomes a member once a record of it arrives.

    """

    def __init__(self, settings: Settings, outbox: Outbox) -> None:
        """Start with this VM as the only member."""
        self._outbox = outbox
        vm = settings.vm
        self.local_record = MemberRecord(
            name=vm.name,
            address=settings.addresses.peers,
            region=vm.region,
            data_centre=vm.data_centre,
            roles=vm.roles,
            incarnation=0,
            status=ALIVE,
        )
        self.seeds: dict[VmId, PeerSettings] = {
            VmId(peer.name): peer
            for peer in settings.peers
            if peer.name != vm.name
        }
        self.members: dict[VmId, Member] = {}
        self.digest = BucketDigest()
        self._live: dict[str, list[VmId]] = {}

    @property
    def local_vm(self) -> VmId:
        """Identifier of this VM."""
        return VmId(self.local_record.name)

    def find(self, name: str) -> MemberRecord | None:
        """Return the record of a VM, which may be this VM."""
        if name == self.local_record.name:
            return self.local_record
        member = self.members.get(VmId(name))
        return member.record if member else None

    def start(self, incarnation: int) -> None:
        """Set the first incarnation and register the addresses of the seeds."""
        self._replace_local_record(incarnation, ALIVE)
        for vm, seed in self.seeds.items():
            self._outbox.add(RegisterPeer(vm, seed.address))

    def leave(self) -> None:
        """Mark this VM as having left the fleet."""
        self._replace_local_record(self.local_record.incarnation, LEFT)

    def merge(self, record: MemberRecord) -> bool:
        """Store a record if it is newer; return whether it was.

        A newer record of this VM is refuted: ``local_record`` gets a higher
        incarnation than that record.
        """
        if record.name == self.local_record.name:
            return self._refute(record)
        member = self.members.get(VmId(record.name))
        if member is None:
            return self._add(record)
        return self._apply_if_newer(
            member, self._cap_at_suspect(member, record)
        )

    def raise_status(self, vm: VmId, status: int) -> bool:
        """Raise a member to a more severe status; return whether it changed.

        Its incarnation stays.
        """
        member = self.members.get(vm)
        if member is None:
            return False
        return self._apply_if_newer(member, _with_status(member.record, status))

    def live_in_region(self, region: str) -> list[VmId]:
        """Return the other live members of a region, sorted by name."""
        live = self._live.get(region)
        if live is None:
            live = sorted(
                vm
                for vm, member in self.members.items()
                if member.is_live and member.record.region == region
            )
            self._live[region] = live
        return live

    def other_regions(self) -> list[str]:
        """Return the regions of the members except the region of this VM."""
        regions = {member.record.region for member in self.members.values()}
        return sorted(regions - {self.local_record.region})

    def live(self) -> list[Member]:
        """Return all other live members."""
        return [member for member in self.members.values() if member.is_live]

    def relays_in_region(self, region: str) -> list[VmId]:
        """Return the relays of a region according to the table of this VM."""
        names = [
            vm
            for vm in self.live_in_region(region)
            if 'entry' in self.members[vm].record.roles
        ]
        own = self.local_record
        if (
            region == own.region
            and 'entry' in own.roles
            and own.status == ALIVE
        ):
            names.append(self.local_vm)
        return heapq.nsmallest(RELAYS_PER_REGION, names)

    def is_relay(self) -> bool:
        """Return whether this VM exchanges gossip with other regions.

        A VM that knows no live entry VM in its region is a relay as well.
        """
        relays = self.relays_in_region(self.local_record.region)
        return not relays or self.local_vm in relays

    def remove_expired(self) -> list[VmId]:
        """Remove and return members that have long been dead or left."""
        expired = [
            vm
            for vm, member in self.members.items()
            if not member.is_live
            and self._outbox.now - member.changed_at > GONE_RETENTION_S
        ]
        for vm in expired:
            self.members.pop(vm)
            self.digest.remove(vm)
        return expired

    def _cap_at_suspect(
        self, member: Member, record: MemberRecord
    ) -> MemberRecord:
        # A conclusion that another VM drew during a partition must not mark a
        # live VM as dead here. The member first becomes suspect and is
        # notified, so that it can refute.
        suspect_age_s = self._outbox.now - member.changed_at
        is_suspect = member.record.status == SUSPECT
        if record.status != DEAD or not member.is_live:
            return record
        if is_suspect and suspect_age_s >= REFUTATION_TIMEOUT_S:
            return record
        return _with_status(record, SUSPECT)

    def _apply_if_newer(self, member: Member, record: MemberRecord) -> bool:
        if _precedence(record) <= _precedence(member.record):
            return False
        self._replace(member, record)
        return True

    def _add(self, record: MemberRecord) -> bool:
        if record.status >= DEAD:
            return False
        member = Member(record, self._outbox.now)
        self.members[member.vm] = member
        self._outbox.add(RegisterPeer(member.vm, record.address))
        self._record_change(member)
        return True

    def _replace(self, member: Member, record: MemberRecord) -> None:
        previous = member.record
        member.record = record
        member.changed_at = self._outbox.now
        if record.address != previous.address:
            self._outbox.add(RegisterPeer(member.vm, record.address))
        if record.incarnation != previous.incarnation:
            member.has_local_address = False
        self._record_change(
            member, suppress_notice=record.status == previous.status
        )

    def _record_change(
        self, member: Member, *, suppress_notice: bool = False
    ) -> None:
        record = member.record
        self._live.pop(record.region, None)
        self.digest.replace(record.name, _hash_record(record))
        if not suppress_notice:
            status = STATUSES[record.status]
            self._outbox.add(
                MemberChanged(
                    self._outbox.now, member.vm, record.region, status
                )
            )

    def _refute(self, record: MemberRecord) -> bool:
        if _precedence(record) <= _precedence(self.local_record):
            return False
        self._outbox.count('refuted')
        self._replace_local_record(
            record.incarnation + 1, self.local_record.status
        )
        return True

    def _replace_local_record(self, incarnation: int, status: int) -> None:
        self.local_record = _with_status(self.local_record, status, incarnation)
        self.digest.replace(
            self.local_record.name, _hash_record(self.local_record)
        )


def _precedence(record: MemberRecord) -> tuple[int, int]:
    return record.incarnation, record.status


def _with_status(
    record: MemberRecord, status: int, incarnation: int | None = None
) -> MemberRecord:
    return MemberRecord(
        name=record.name,
        address=record.address,
        region=record.region,
        data_centre=record.data_centre,
        roles=record.roles,
        incarnation=(
            record.incarnation if incarnation is None else incarnation
        ),
        status=status,
    )


def _hash_record(record: MemberRecord) -> int:
    # Dead and left VMs are excluded: some peers have removed them already.
    if record.status >= DEAD:
        return 0
    return hash_values(record.name, record.incarnation, record.status)


__all__ = (
    'ALIVE',
    'DEAD',
    'LEFT',
    'STATUSES',
    'SUSPECT',
    'Member',
    'MemberTable',
)
