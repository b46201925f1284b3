"""Automatic admission of control replicas.

A control VM that isn't a member periodically sends a join request to the
leader. The leader admits it as the replacement of a voter whose disk is lost,
which is one on the same VM with another disk or one that has stopped
answering, or as an additional voter while there are fewer voters than the
tolerated number of lost disks requires.
"""

from __future__ import annotations

from typing import Final

import attrs

from ..configuration.entries import NoOp
from ..configuration.settings import ControlSettings
from .context import Context
from .leader import Leader
from .messages import JoinAsked
from .records import Member, Membership, Replacement

TIMER: Final = 'admission'
# At least two requests are sent within the time that the leader keeps one.
REQUEST_INTERVAL_S: Final = 0.5
REQUEST_LIFETIME_S: Final = 1.5
# A member without contact to a leader for this long may have been removed.
LEADER_TIMEOUT_S: Final = 2.0
# Longer than an election and the restart of a process. A voter that returns
# later is admitted again as a new member.
VOTER_TIMEOUT_S: Final = 3.0


@attrs.frozen
class _PendingRequest:
    disk: str
    received_at: float


class Admissions:
    """Sends join requests, and admits other replicas while leading.

    Parameters
    ----------
    settings
        Seeds, and the number of disks that may be lost at the same time.

    """

    def __init__(self, context: Context, settings: ControlSettings) -> None:
        """Start without pending requests."""
        self._context = context
        self.seeds = settings.seeds
        self._forms_group = settings.forms and context.vm in settings.seeds
        self._target_voters = 2 * settings.most_lost + 1
        self._pending_requests: dict[str, _PendingRequest] = {}
        self._established_at = float('inf')

    def handle_timer(self) -> None:
        """Send a join request unless this disk is a member with a leader."""
        context = self._context
        context.set_timer(TIMER, context.now + REQUEST_INTERVAL_S)
        leader_heard = context.now - context.leader_heard_at < LEADER_TIMEOUT_S
        member = context.log.membership.find(context.disk)
        if context.leader is not None and leader_heard and member:
            return
        if not self._may_request_admission():
            return
        members = {each.vm for each in context.log.membership.members}
        request = JoinAsked(context.vm, context.disk)
        for vm in sorted({*self.seeds, *members} - {context.vm}):
            context.send(vm, request)

    def receive(self, request: JoinAsked, *, is_leader: bool) -> None:
        """Store a join request, or forward it to the leader."""
        context = self._context
        if is_leader:
            self._pending_requests[request.vm] = _PendingRequest(
                request.disk, context.now
            )
        elif context.leader is not None and not request.forwarded:
            forwarded_request = JoinAsked(
                request.vm, request.disk, forwarded=True
            )
            context.send(context.leader.vm, forwarded_request)

    def advance(self, leader: Leader) -> None:
        """Propose the next membership change of an admission, if any."""
        context = self._context
        if context.log.membership_index > context.commit_index:
            return
        if not leader.has_committed_record:
            self._established_at = context.now
            return
        self._established_at = min(self._established_at, context.now)
        membership = context.log.membership
        if membership.replacing is not None:
            self._abandon_unresponsive_learner(
                leader, membership, membership.replacing
            )
            return
        for vm, pending in tuple(self._pending_requests.items()):
            if context.now - pending.received_at > REQUEST_LIFETIME_S:
                self._pending_requests.pop(vm)
                continue
            known = membership.find(pending.disk) is not None
            if not known and self._propose_admission(
                leader, membership, vm, pending.disk
            ):
                return

    def close(self) -> None:
        """Discard all pending requests after losing leadership."""
        self._pending_requests.clear()
        self._established_at = float('inf')

    def _may_request_admission(self) -> bool:
        # A seed that takes part in the formation becomes a member there.
        context = self._context
        formed = context.term > 0 or bool(context.log.membership.fleet)
        return formed or not self._forms_group

    def _propose_admission(
        self, leader: Leader, membership: Membership, vm: str, disk: str
    ) -> bool:
        lost = self._find_replaceable_disk(leader, membership, vm)
        if lost is None:
            return False
        learner = Member(vm, disk, voter=False)
        changed = Membership(
            (*membership.members, learner),
            membership.fleet,
            Replacement(lost, disk, ''),
        )
        leader.propose(NoOp(), None, changed)
        self._context.log_event(
            'control replica is being admitted', vm=vm, disk=disk, lost=lost
        )
        return True

    def _find_replaceable_disk(
        self, leader: Leader, membership: Membership, vm: str
    ) -> str | None:
        """Return the disk to replace.

        An empty string adds a voter without replacing one; None means that no
        admission is possible yet.
        """
        for member in membership.members:
            if member.vm == vm:
                return member.disk
        if len(membership.voters) < self._target_voters:
            return ''
        for member in self._context.other_members():
            if member.voter and self._is_unresponsive(leader, member.disk):
                return member.disk
        return None

    def _is_unresponsive(self, leader: Leader, disk: str) -> bool:
        earliest_contact = self._context.now - VOTER_TIMEOUT_S
        if self._established_at > earliest_contact:
            return False
        progress = leader.progress.get(disk)
        return (
            progress is not None and progress.last_contact_at < earliest_contact
        )

    def _abandon_unresponsive_learner(
        self, leader: Leader, membership: Membership, replacing: Replacement
    ) -> None:
        """Remove a learner that was lost before it became a voter."""
        if replacing.command_key or not self._is_unresponsive(
            leader, replacing.added
        ):
            return
        voters = tuple(each for each in membership.members if each.voter)
        leader.propose(NoOp(), None, Membership(voters, membership.fleet))
        self._context.log_event(
            'admission of control replica abandoned', disk=replacing.added
        )


__all__ = ('TIMER', 'Admissions')
