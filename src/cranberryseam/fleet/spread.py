"""Pushing changes at once, and remembering them for later pulls."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

from ..types import VmId
from .messages import MemberRecord, News, Push, TargetRecord

if TYPE_CHECKING:
    import random

    from ..core.messages import Message
    from .members import MemberTable
    from .outbox import Outbox

# Pushes reach about 94% of a region with a fan-out of 3; whoever was missed
# gets the change with the next acknowledgement, because its digest differs.
FANOUT = 3
# Largest number of changes per message, by kind.
MOST_MEMBERS = 4
MOST_TARGETS = 4
MOST_WITHDRAWN = 16
# A push carries more, because it is sent only on changes.
MOST_PUSHED = 20
# Changes older than this are left to the comparison of buckets.
RECENT_S = 10.0
_MOST_RECENT = 500

_Change = TypeVar('_Change')


class Recent(Generic[_Change]):
    """The last changes by name, newest last."""

    def __init__(self, outbox: Outbox) -> None:
        """Start empty."""
        self._outbox = outbox
        self._changes: dict[str, tuple[float, _Change]] = {}

    def add(self, name: str, change: _Change) -> None:
        """Remember a change."""
        self._changes.pop(name, None)
        self._changes[name] = (self._outbox.at, change)
        if len(self._changes) > _MOST_RECENT:
            self._changes.pop(next(iter(self._changes)))

    def newest(self, most: int) -> tuple[_Change, ...]:
        """Return the newest changes of the last seconds."""
        oldest = self._outbox.at - RECENT_S
        chosen: list[_Change] = []
        for at, change in reversed(self._changes.values()):
            if at < oldest or len(chosen) == most:
                break
            chosen.append(change)
        return tuple(chosen)


class Spreader:
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
        self._recent_members: Recent[MemberRecord] = Recent(outbox)
        self._recent_targets: Recent[TargetRecord] = Recent(outbox)
        self._recent_withdrawn: Recent[str] = Recent(outbox)
        self._new_members: dict[str, MemberRecord] = {}
        self._new_targets: dict[str, TargetRecord] = {}
        self._new_withdrawn: dict[str, None] = {}
        self._is_urgent = False

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

    def mark_urgent(self) -> None:
        """Tell one VM of each other region too, although no relay."""
        self._is_urgent = True

    def accuse(self, record: MemberRecord) -> None:
        """Tell a VM that it is suspected, so that it can refute."""
        push = Push(News(members=(record,)))
        self._outbox.send(VmId(record.name), push)

    def flush(self, sender: VmId | None) -> None:
        """Push the changes of this event.

        Parameters
        ----------
        sender
            VM that the changes came from; None if they arose here.

        """
        self._push_news(sender)
        self._is_urgent = False

    def push(self, message: Message, sender: VmId | None) -> None:
        """Send a message to the VMs that are told of a change at once."""
        receivers = set(self._choose_near(sender is None))
        if self._is_urgent or self._crosses_regions(sender):
            receivers.update(self._choose_far())
        receivers.discard(self._members.my_vm)
        if sender is not None:
            receivers.discard(sender)
        for vm in sorted(receivers):
            self._outbox.send(vm, message)

    def choose_news(
        self, *, members: bool, targets: bool, withdrawn: bool
    ) -> News:
        """Return recent changes of the kinds in which a peer differs."""
        return News(
            self._recent_members.newest(MOST_MEMBERS) if members else (),
            self._recent_targets.newest(MOST_TARGETS) if targets else (),
            self._recent_withdrawn.newest(MOST_WITHDRAWN) if withdrawn else (),
        )

    def _push_news(self, sender: VmId | None) -> None:
        if not (self._new_members or self._new_targets or self._new_withdrawn):
            return
        news = News(
            tuple(self._new_members.values())[:MOST_PUSHED],
            tuple(self._new_targets.values())[:MOST_PUSHED],
            tuple(self._new_withdrawn)[:MOST_PUSHED],
        )
        self.push(Push(news), sender)
        self._new_members.clear()
        self._new_targets.clear()
        self._new_withdrawn.clear()

    def _crosses_regions(self, sender: VmId | None) -> bool:
        # A change from another region was sent to all regions there.
        member = self._members.members.get(sender) if sender else None
        if member and member.record.region != self._members.me.region:
            return False
        return self._members.is_relay()

    def _choose_near(self, is_origin: bool) -> list[VmId]:
        region = self._members.me.region
        near = self._members.live_in(region)
        chosen = self._rng.sample(near, min(FANOUT, len(near)))
        if is_origin:
            chosen += self._members.relays_of(region)
        return chosen

    def _choose_far(self) -> list[VmId]:
        chosen: list[VmId] = []
        for region in self._members.other_regions():
            relays = self._members.relays_of(region)
            candidates = relays or self._members.live_in(region)
            if candidates:
                chosen.append(self._rng.choice(candidates))
        return chosen


__all__ = ('Spreader',)
