"""Dissemination of changes by push and by piggybacking."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

from ..types import VmId
from .messages import MemberRecord, Push, TargetRecord, Updates

if TYPE_CHECKING:
    import random

    from ..core.messages import Message
    from .members import MemberTable
    from .outbox import Outbox

# With a fan-out of 3, pushes reach about 94% of a region. The other VMs receive
# the change with the next acknowledgement, because their digests differ.
FANOUT = 3
# Maximum number of piggybacked changes per message, by kind.
MAX_MEMBERS = 4
MAX_TARGETS = 4
MAX_WITHDRAWN = 16
# A push may contain more, because it is sent only on changes.
MAX_PUSHED = 20
# Older changes are left to anti-entropy.
RECENT_WINDOW_S = 10.0
_MAX_RECENT = 500

_Change = TypeVar('_Change')


class RecentChanges(Generic[_Change]):
    """Recent changes by name, newest last."""

    def __init__(self, outbox: Outbox) -> None:
        """Start empty."""
        self._outbox = outbox
        self._changes: dict[str, tuple[float, _Change]] = {}

    def add(self, name: str, change: _Change) -> None:
        """Store a change as the newest."""
        self._changes.pop(name, None)
        self._changes[name] = (self._outbox.now, change)
        if len(self._changes) > _MAX_RECENT:
            self._changes.pop(next(iter(self._changes)))

    def newest(self, limit: int) -> tuple[_Change, ...]:
        """Return the newest changes within ``RECENT_WINDOW_S``."""
        oldest = self._outbox.now - RECENT_WINDOW_S
        chosen: list[_Change] = []
        for at, change in reversed(self._changes.values()):
            if at < oldest or len(chosen) == limit:
                break
            chosen.append(change)
        return tuple(chosen)


class Disseminator:
    """Selects the receivers of changes and pushes to them.

    Parameters
    ----------
    members
        Membership table of this VM.

    """

    def __init__(
        self, members: MemberTable, outbox: Outbox, rng: random.Random
    ) -> None:
        """Start without changes."""
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
        """Disseminate a member record."""
        self._recent_members.add(record.name, record)
        self._new_members[record.name] = record

    def add_target(self, record: TargetRecord) -> None:
        """Disseminate a target record."""
        self._recent_targets.add(record.target, record)
        self._new_targets[record.target] = record

    def add_withdrawn(self, key_ids: tuple[str, ...]) -> None:
        """Disseminate withdrawals; the first VM also pushes to all regions."""
        for key_id in key_ids:
            self._recent_withdrawn.add(key_id, key_id)
            self._new_withdrawn[key_id] = None

    def request_global_push(self) -> None:
        """Push the next changes to all regions even if this VM is no relay."""
        self._is_global_push = True

    def notify_suspect(self, record: MemberRecord) -> None:
        """Notify a VM of its suspicion, so that it can refute."""
        push = Push(Updates(members=(record,)))
        self._outbox.send(VmId(record.name), push)

    def flush(self, sender: VmId | None) -> None:
        """Push the changes caused by the current event.

        Parameters
        ----------
        sender
            VM that sent the changes; None if they originate here.

        """
        self._push_pending(sender)
        self._is_global_push = False

    def push(self, message: Message, sender: VmId | None) -> None:
        """Send a message to the VMs selected for a push."""
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
        """Return recent changes of the given kinds."""
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
        # The sender's region pushes its changes to all regions itself.
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
