"""Answer to the command ``ShowControl``."""

from __future__ import annotations

from ..core.commands import CommandAnswer
from .context import Context, Role
from .elections import MIN_ELECTION_TIMEOUT_S
from .leader import Leader
from .records import Member


def describe_replica(context: Context, leader: Leader | None) -> CommandAnswer:
    """Return role, term, leader, indexes and membership of a replica.

    ``quorum_recent`` is False on a replica whose state may be outdated, because
    it is a leader without a quorum or has had no contact to a leader for an
    election timeout.
    """
    membership = context.log.membership
    member = context.leader
    replacing = membership.replacing
    return CommandAnswer(
        context.commit_index,
        {
            'vm': context.vm,
            'disk': context.disk,
            'role': context.role.value,
            'term': context.term,
            'leader': None if member is None else member.vm,
            'commit_index': context.commit_index,
            'last_index': context.log.last_index,
            'lists_version': context.machine.configuration.lists_version,
            'initialised': context.term > 0,
            'voter': context.is_voter,
            'quorum_recent': _has_recent_quorum(context, leader),
            'members': [_describe_member(each) for each in membership.members],
            'replacing': None if replacing is None else replacing.added,
        },
    )


def _has_recent_quorum(context: Context, leader: Leader | None) -> bool:
    if context.role is Role.leader and leader is not None:
        return leader.has_quorum(context.log.membership)
    leader_heard = (
        context.now - context.leader_heard_at < MIN_ELECTION_TIMEOUT_S
    )
    return leader_heard and context.leader is not None


def _describe_member(member: Member) -> dict[str, object]:
    return {'vm': member.vm, 'disk': member.disk, 'voter': member.voter}


__all__ = ('describe_replica',)
