"""Pushing changes at once, and remembering them for later pulls."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

from ..types import VmId
from .messages import MemberRecord, Push, TargetRecord, Updates

if TYPE_CHECKING:
    import random

    from ..core.messages import Message
    from .members import MemberTable
    from .outbox import Outbox

# Pushes reach about 94% of a region with a fan-out of 3; whoever was missed
# gets the change with the next acknowledgement, because its digest differs.
FANOUT = 3
# Largest number of changes per message, by kind.
MAX_MEMBERS = 4
MAX_TARGETS = 4
MAX_WITHDRAWN = 16
# A push carries more, because it is sent only on changes.
MAX_PUSHED = 20
# Changes older than this are left to the comparison of buckets.
RECENT_WINDOW_S = 10.0
_MAX_RECENT = 500

_Change = TypeVar('_Change')


class RecentChanges(Generic[_Change]):
    """The last changes by name, newest last."""

    def __init__(self, outbox: Outbox) -> None:
        """Start empty."""
        self._outbox = outbox
        self._changes: dict[str, tuple[float, _Change]] = {}

    def add(self, name: str, change: _Change) -> None:
        """Remember a change."""
        self._changes.pop(name, None)
        self._changes[name] = (self._outbox.now, change)
        if len(self._changes) > _MAX_RECENT:
            self._changes.pop(next(iter(self._changes)))

    def newest(self, limit: int) -> tuple[_Change, ...]:
        """Return the newest changes of the last seconds."""
        oldest = self._outbox.now - RECENT_WINDOW_S
        chosen: list[_Change] = []
        for at, change in reversed(self._changes.values()):
            if at < oldest or len(chosen) == limit:
                break
            chosen.append(change)
        return tuple(chosen)


class Disseminator:
    """Chooses who is told of a change.

    Parameters
    ----------
    members
        Membership as this VM sees it.

    """

    def __init__(
        self, members: MemberTable, outbox: Outbox, rng: random.Random
    ) -> None:
        """Start with no change."""
        self._members = members
        self._outbox = outbox
        self._rng = rng
        self._recent_members: RecentChanges[MemberRecord] = RecentChanges(
            outbox
        )
        self._recent_targets: RecentChanges[TargetRecord] = RecentChanges(
            outbox
        )
        self._recent_withdrawn: RecentChanges[str] = RecentChanges(outbox)
        self._new_members: dict[str, MemberRecord] = {}
        self._new_targets: dict[str, TargetRecord] = {}
        self._new_withdrawn: dict[str, None] = {}
        self._is_global_push = False

    def add_member(self, record: MemberRecord) -> None:
        """Spread a member record."""
        self._recent_members.add(record.name, record)
        self._new_members[record.name] = record

    def add_target(self, record: TargetRecord) -> None:
        """Spread a target record."""
        self._recent_targets.add(record.target, record)
        self._new_targets[record.target] = record

    def add_withdrawn(self, key_ids: tuple[str, ...]) -> None:
        """Spread withdrawals; the first VM tells each region itself."""
        for key_id in key_ids:
            self._recent_withdrawn.add(key_id, key_id)
            self._new_withdrawn[key_id] = None

    def request_global_push(self) -> None:
        """Tell one VM of each other region too, although no relay."""
        self._is_global_push = True

    def notify_suspect(self, record: MemberRecord) -> None:
        """Tell a VM that it is suspected, so that it can refute."""
        push = Push(Updates(members=(record,)))
        self._outbox.send(VmId(record.name), push)

    def flush(self, sender: VmId | None) -> None:
        """Push the changes of this event.

        Parameters
        ----------
        sender
            VM that the changes came from; None if they arose here.

        """
        self._push_pending(sender)
        self._is_global_push = False

    def push(self, message: Message, sender: VmId | None) -> None:
        """Send a message to the VMs that are told of a change at once."""
        receivers = set(self._select_local(sender is None))
        if self._is_global_push or self._forwards_across_regions(sender):
            receivers.update(self._select_remote())
        receivers.discard(self._members.local_vm)
        if sender is not None:
            receivers.discard(sender)
        for vm in sorted(receivers):
            self._outbox.send(vm, message)

    def select_updates(
        self, *, members: bool, targets: bool, withdrawn: bool
    ) -> Updates:
        """Return recent changes of the kinds in which a peer differs."""
        return Updates(
            self._recent_members.newest(MAX_MEMBERS) if members else (),
            self._recent_targets.newest(MAX_TARGETS) if targets else (),
            self._recent_withdrawn.newest(MAX_WITHDRAWN) if withdrawn else (),
        )

    def _push_pending(self, sender: VmId | None) -> None:
        if not (self._new_members or self._new_targets or self._new_withdrawn):
            return
        updates = Updates(
            tuple(self._new_members.values())[:MAX_PUSHED],
            tuple(self._new_targets.values())[:MAX_PUSHED],
            tuple(self._new_withdrawn)[:MAX_PUSHED],
        )
        self.push(Push(updates), sender)
        self._new_members.clear()
        self._new_targets.clear()
        self._new_withdrawn.clear()

    def _forwards_across_regions(self, sender: VmId | None) -> bool:
        # A change from another region was sent to all regions there.
        member = self._members.members.get(sender) if sender else None
        if member and member.record.region != self._members.local_record.region:
            return False
        return self._members.is_relay()

    def _select_local(self, is_local_change: bool) -> list[VmId]:
        region = self._members.local_record.region
        local_vms = self._members.live_in_region(region)
        chosen = self._rng.sample(local_vms, min(FANOUT, len(local_vms)))
        if is_local_change:
            chosen += self._members.relays_in_region(region)
        return chosen

    def _select_remote(self) -> list[VmId]:
        chosen: list[VmId] = []
        for region in self._members.other_regions():
            relays = self._members.relays_in_region(region)
            candidates = relays or self._members.live_in_region(region)
            if candidates:
                chosen.append(self._rng.choice(candidates))
        return chosen


__all__ = ('Disseminator',)
