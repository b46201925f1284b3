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

# Pause between asks of a group, while anyone needs it; doubled up to the
# longest one, as a region that is cut off has 90 groups that don't answer.
_SHORTEST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 1.6


@attrs.define
class KnownLeader:
    """Last answer of a group."""

    term: int = 0
    leader: VmId | None = None
    ask_from: float = 0
    pause_s: float = _SHORTEST_PAUSE_S


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
        if at < known.ask_from:
            return []
        known.ask_from = at + known.pause_s
        known.pause_s = min(known.pause_s * 2, _LONGEST_PAUSE_S)
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
        known.pause_s = _SHORTEST_PAUSE_S
        if not told.leader or told.term <= known.term:
            return False
        known.term = told.term
        changed = known.leader != told.leader
        known.leader = VmId(told.leader)
        return changed


__all__ = ('LeaderDirectory',)
