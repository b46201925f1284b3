"""What this VM knows of the leaders of groups it isn't a member of."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..core.effects import SendMessage
from ..types import VmId
from .messages import LeaderAsked, LeaderTold

if TYPE_CHECKING:
    from ..configuration.settings import GroupSettings
    from ..types import Output

# A group that has no leader is asked this often, while anyone needs it.
ASK_AGAIN_S = 0.1


@attrs.define
class KnownLeader:
    """Last answer of a group."""

    term: int = 0
    leader: VmId | None = None
    asked_at: float = -ASK_AGAIN_S


class LeaderDirectory:
    """Cache of leaders; a group is asked when its leader is silent."""

    def __init__(self) -> None:
        """Start without knowledge."""
        self._known: dict[str, KnownLeader] = {}

    def find_leader(self, group: str) -> VmId | None:
        """Return the last known leader."""
        known = self._known.get(group)
        return known.leader if known else None

    def ask(self, group: GroupSettings, at: float) -> list[Output]:
        """Ask all members of a group, unless that was just done."""
        known = self._known.setdefault(group.name, KnownLeader())
        if at < known.asked_at + ASK_AGAIN_S:
            return []
        known.asked_at = at
        return [
            SendMessage(VmId(vm), LeaderAsked(group.name)) for vm in group.vms
        ]

    def learn(self, told: LeaderTold) -> bool:
        """Take an answer; return whether the leader changed.

        A member that knows nobody doesn't contradict one that does. Only a
        later term counts: each change makes parts repeat their messages, and
        members with different knowledge would answer those in turn.
        """
        known = self._known.setdefault(told.group, KnownLeader())
        if not told.leader or told.term <= known.term:
            return False
        known.term = told.term
        changed = known.leader != told.leader
        known.leader = VmId(told.leader)
        return changed


__all__ = ('LeaderDirectory',)
