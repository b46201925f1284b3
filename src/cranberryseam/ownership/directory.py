"""Cache of the leaders of groups that this VM isn't a member of."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..core.effects import SendMessage
from ..types import VmId
from .messages import LeaderAsked, LeaderTold

if TYPE_CHECKING:
    from ..configuration.settings import GroupSettings
    from ..types import Output

# Backoff between queries of a group while its leader is needed. It doubles up
# to the maximum, as an unreachable region has 90 groups that don't answer.
_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 1.6


@attrs.define
class KnownLeader:
    """Last known leader of a group and the state of its queries."""

    term: int = 0
    leader: VmId | None = None
    next_query_at: float = 0
    backoff_s: float = _MIN_BACKOFF_S


class LeaderDirectory:
    """Cache of leaders; a group is queried when its leader doesn't answer."""

    def __init__(self) -> None:
        """Start with an empty cache."""
        self._known: dict[str, KnownLeader] = {}

    def find_leader(self, group: str) -> VmId | None:
        """Return the last known leader."""
        known = self._known.get(group)
        return known.leader if known else None

    def query(self, group: GroupSettings, at: float) -> list[Output]:
        """Query all members of a group, unless the backoff isn't over."""
        known = self._known.setdefault(group.name, KnownLeader())
        if at < known.next_query_at:
            return []
        known.next_query_at = at + known.backoff_s
        known.backoff_s = min(known.backoff_s * 2, _MAX_BACKOFF_S)
        return [
            SendMessage(VmId(vm), LeaderAsked(group.name)) for vm in group.vms
        ]

    def update(self, answer: LeaderTold) -> bool:
        """Apply an answer; return whether the leader changed.

        An answer without a leader doesn't override a known one. Only a later
        term counts: each change makes components resend their messages, and
        members that disagree would answer those with alternating leaders.
        """
        known = self._known.setdefault(answer.group, KnownLeader())
        known.backoff_s = _MIN_BACKOFF_S
        if not answer.leader or answer.term <= known.term:
            return False
        known.term = answer.term
        changed = known.leader != answer.leader
        known.leader = VmId(answer.leader)
        return changed


__all__ = ('LeaderDirectory',)
