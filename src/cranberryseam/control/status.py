"""What ``ShowControl`` answers."""

from __future__ import annotations

from ..core.commands import CommandAnswer
from .context import Context, Role
from .elections import SHORTEST_TIMEOUT_S
from .leader import Leader
from .records import Member


def describe_replica(context: Context, leader: Leader | None) -> CommandAnswer:
    """Return role, term, leader, indexes, membership and freshness.

    ``quorum_recent`` is False on a replica that may show an old state: it
    leads without a quorum, or has heard no leader for an election timeout.
    """
    membership = context.log.membership
    known = context.leader
    replacing = membership.replacing
    return CommandAnswer(
        context.commit_index,
        {
            'vm': context.vm,
            'disk': context.disk,
            'role': context.role.value,
            'term': context.term,
            'leader': None if known is None else known.vm,
            'commit_index': context.commit_index,
            'last_index': context.log.last_index,
            'lists_version': context.machine.configuration.lists_version,
            'initialised': context.term > 0,
            'voter': context.is_voter,
            'quorum_recent': _heard_quorum(context, leader),
            'members': [_describe_member(each) for each in membership.members],
            'replacing': None if replacing is None else replacing.added,
        },
    )


def _heard_quorum(context: Context, leader: Leader | None) -> bool:
    if context.role is Role.leader and leader is not None:
        return leader.has_quorum(context.log.membership)
    heard = context.at - context.heard_at < SHORTEST_TIMEOUT_S
    return heard and context.leader is not None


def _describe_member(member: Member) -> dict[str, object]:
    return {'vm': member.vm, 'disk': member.disk, 'voter': member.voter}


__all__ = ('describe_replica',)
