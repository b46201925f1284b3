"""Admission of control replicas without an operator.

A control VM that isn't a member asks the leader to be admitted, again and
again. The leader gives it the place of a voter whose disk is lost: one at the
same VM with another disk, or one that has been silent; or a further place
while there are fewer voters than the tolerated losses need.
"""

from __future__ import annotations

from typing import Final

import attrs

from ..configuration.entries import NothingChanged
from ..configuration.settings import ControlSettings
from .context import Context
from .leader import Leader
from .messages import JoinAsked
from .records import Member, Membership, Replacement

TIMER: Final = 'admission'
# Two requests within the time that the leader remembers one.
ASK_S: Final = 0.5
ASKED_S: Final = 1.5
# A member that hears no leader for this long may have been removed.
UNHEARD_S: Final = 2.0
# Longer than an election and a restart of a process; a voter that returns
# later is admitted again.
SILENT_S: Final = 3.0


@attrs.frozen
class _Candidate:
    disk: str
    asked_at: float


class Admissions:
    """Asks to be admitted, and admits others while this replica leads.

    Parameters
    ----------
    settings
        Seeds, and the number of disks that may be lost at once.

    """

    def __init__(self, context: Context, settings: ControlSettings) -> None:
        """Start without candidates."""
        self._context = context
        self.seeds = settings.seeds
        self._forms = settings.forms and context.vm in settings.seeds
        self._size = 2 * settings.most_lost + 1
        self._candidates: dict[str, _Candidate] = {}
        self._led_since = float('inf')

    def handle_timer(self) -> None:
        """Ask to be admitted unless a leader counts this disk."""
        context = self._context
        context.set_timer(TIMER, context.at + ASK_S)
        heard = context.at - context.heard_at < UNHEARD_S
        member = context.log.membership.find(context.disk)
        if context.leader is not None and heard and member:
            return
        if not self._may_ask():
            return
        members = {each.vm for each in context.log.membership.members}
        request = JoinAsked(context.vm, context.disk)
        for vm in sorted({*self.seeds, *members} - {context.vm}):
            context.send(vm, request)

    def receive(self, request: JoinAsked, *, leads: bool) -> None:
        """Remember a candidate, or pass the request on to the leader."""
        context = self._context
        if leads:
            self._candidates[request.vm] = _Candidate(request.disk, context.at)
        elif context.leader is not None and not request.passed_on:
            passed = JoinAsked(request.vm, request.disk, passed_on=True)
            context.send(context.leader.vm, passed)

    def advance(self, leader: Leader) -> None:
        """Take the next step of an admission, if one is due."""
        context = self._context
        if context.log.membership_index > context.commit_index:
            return
        if not leader.is_established:
            self._led_since = context.at
            return
        self._led_since = min(self._led_since, context.at)
        membership = context.log.membership
        if membership.replacing is not None:
            self._abandon_silent(leader, membership, membership.replacing)
            return
        for vm, candidate in tuple(self._candidates.items()):
            if context.at - candidate.asked_at > ASKED_S:
                self._candidates.pop(vm)
                continue
            known = membership.find(candidate.disk) is not None
            if not known and self._admit(
                leader, membership, vm, candidate.disk
            ):
                return

    def close(self) -> None:
        """Forget all candidates after leadership was lost."""
        self._candidates.clear()
        self._led_since = float('inf')

    def _may_ask(self) -> bool:
        # A seed that takes part in the formation gets its place there.
        context = self._context
        formed = context.term > 0 or bool(context.log.membership.fleet)
        return formed or not self._forms

    def _admit(
        self, leader: Leader, membership: Membership, vm: str, disk: str
    ) -> bool:
        lost = self._find_lost(leader, membership, vm)
        if lost is None:
            return False
        learner = Member(vm, disk, voter=False)
        changed = Membership(
            (*membership.members, learner),
            membership.fleet,
            Replacement(lost, disk, ''),
        )
        leader.propose(NothingChanged(), None, changed)
        self._context.log_event(
            'control replica is being admitted', vm=vm, disk=disk, lost=lost
        )
        return True

    def _find_lost(
        self, leader: Leader, membership: Membership, vm: str
    ) -> str | None:
        """Return the disk to replace, empty for none, None to wait."""
        for member in membership.members:
            if member.vm == vm:
                return member.disk
        if len(membership.voters) < self._size:
            return ''
        for member in self._context.others():
            if member.voter and self._is_silent(leader, member.disk):
                return member.disk
        return None

    def _is_silent(self, leader: Leader, disk: str) -> bool:
        oldest = self._context.at - SILENT_S
        if self._led_since > oldest:
            return False
        progress = leader.progress.get(disk)
        return progress is not None and progress.heard_at < oldest

    def _abandon_silent(
        self, leader: Leader, membership: Membership, replacing: Replacement
    ) -> None:
        """Drop a learner that was lost before it became a voter."""
        if replacing.command_key or not self._is_silent(
            leader, replacing.added
        ):
            return
        voters = tuple(each for each in membership.members if each.voter)
        leader.propose(
            NothingChanged(), None, Membership(voters, membership.fleet)
        )
        self._context.log_event(
            'admission of a control replica was given up', disk=replacing.added
        )


__all__ = ('TIMER', 'Admissions')
