"""Replacement of a control replica, one membership change at a time.

The lost voter is removed before the learner is promoted: with a dead voter
still counted, a larger group would need one more live replica.
"""

from __future__ import annotations

import attrs

from ..configuration.entries import NothingChanged
from ..core.commands import (
    CommandAnswer,
    OutcomeUnknown,
    ReplacementInProgress,
    ReplaceReplica,
    ReplicaUnusable,
)
from ..core.effects import AnswerCommand
from ..core.errors import Failure
from ..types import VmId
from .context import Context
from .leader import Leader
from .messages import DiskQuery, DiskReport
from .proposals import hash_command
from .records import (
    Accepted,
    CommandResult,
    Member,
    Membership,
    NameUnknown,
    Replacement,
)

TIMER = 'replacement'
QUERY_S = 2.0
# A learner copies a snapshot of about 7 MB in chunks of 0.25 MB, one per
# round trip.
COMPLETE_S = 30.0


@attrs.define
class _Request:
    """A command that waits for a disk report or for completion."""

    command_id: int
    command: ReplaceReplica
    until: float
    reported: bool = False


class Replacements:
    """Drives replacements while this replica leads."""

    def __init__(self, context: Context) -> None:
        """Start without a request."""
        self._context = context
        self._requests: list[_Request] = []

    def receive_command(
        self, leader: Leader, command_id: int, command: ReplaceReplica
    ) -> None:
        """Ask the added VM for its disk id, unless the command is known."""
        context = self._context
        membership = context.log.membership
        replacing = membership.replacing
        request = _Request(command_id, command, context.at + COMPLETE_S)
        if _is_running(leader, command, replacing):
            request.reported = True
            self._requests.append(request)
            return
        if leader.answer_known(command_id, command):
            return
        failure = _find_obstacle(membership, command)
        if failure is not None:
            self._answer(command_id, failure)
            return
        request.until = context.at + QUERY_S
        self._requests.append(request)
        context.send(command.added, DiskQuery())
        context.set_timer(TIMER, context.at + QUERY_S / 4)

    def handle_timer(self) -> None:
        """Repeat queries and give up requests that take too long."""
        context = self._context
        for request in tuple(self._requests):
            if request.until <= context.at:
                self._requests.remove(request)
                self._answer(request.command_id, _timeout_failure(request))
            elif not request.reported:
                context.send(request.command.added, DiskQuery())
        if self._requests:
            context.set_timer(TIMER, context.at + QUERY_S / 4)

    def receive_report(
        self, leader: Leader, sender: str, report: DiskReport
    ) -> None:
        """Add the reported disk as a learner."""
        for request in tuple(self._requests):
            if request.command.added == sender and not request.reported:
                self._add_learner(leader, request, report)

    def advance(self, leader: Leader) -> None:
        """Take the next step once the previous one is committed."""
        context = self._context
        membership = context.log.membership
        replacing = membership.replacing
        settled = context.log.membership_index <= context.commit_index
        if not settled or not leader.is_established:
            return
        self._answer_complete(replacing)
        if replacing is None:
            return
        progress = leader.progress.get(replacing.added)
        if progress is None or progress.match_index < context.commit_index:
            return
        if replacing.lost == context.disk:
            if leader.transfer_target is None:
                leader.transfer()
            return
        _take_step(leader, membership, replacing)

    def close(self) -> None:
        """Answer all requests after leadership was lost."""
        for request in self._requests:
            self._answer(request.command_id, OutcomeUnknown())
        self._requests = []

    def _add_learner(
        self, leader: Leader, request: _Request, report: DiskReport
    ) -> None:
        context = self._context
        command = request.command
        membership = context.log.membership
        failure = _find_obstacle(membership, command)
        failure = failure or _check_disk(membership, command, report)
        if context.log.membership_index > context.commit_index:
            failure = ReplacementInProgress(command.added)
        if not leader.is_established:
            failure = OutcomeUnknown()
        if failure is not None:
            self._requests.remove(request)
            self._answer(request.command_id, failure)
            return
        if leader.answer_known(request.command_id, command):
            self._requests.remove(request)
            return
        request.reported = True
        request.until = context.at + COMPLETE_S
        _propose_learner(leader, context, request, report.disk)

    def _answer_complete(self, replacing: Replacement | None) -> None:
        answer: CommandAnswer | Failure = CommandAnswer(
            self._context.commit_index
        )
        active = ''
        if replacing is not None:
            answer = OutcomeUnknown()
            active = replacing.command_key
        for request in tuple(self._requests):
            if request.reported and request.command.command_key != active:
                self._requests.remove(request)
                self._answer(request.command_id, answer)

    def _answer(self, command_id: int, answer: CommandAnswer | Failure) -> None:
        self._context.outputs.append(AnswerCommand(command_id, answer))


def _find_obstacle(
    membership: Membership, command: ReplaceReplica
) -> Failure | None:
    """Return why the command can't start in this membership."""
    vms = {member.vm for member in membership.members}
    if command.lost not in vms:
        return NameUnknown('replica', command.lost).answer(0)  # type: ignore[return-value]
    replacing = membership.replacing
    if replacing is None:
        return None
    involved = {
        member.vm
        for member in membership.members
        if member.disk in {replacing.lost, replacing.added}
    }
    if command.lost in involved:
        return None
    learner = membership.find(replacing.added)
    added = command.added if learner is None else VmId(learner.vm)
    return ReplacementInProgress(added)


def _is_running(
    leader: Leader, command: ReplaceReplica, replacing: Replacement | None
) -> bool:
    """Return whether this command was logged and isn't complete."""
    known = leader.tail.results.get(command.command_key)
    if known is None or replacing is None:
        return False
    same = known.fingerprint == hash_command(command)
    return same and replacing.command_key == command.command_key


def _check_disk(
    membership: Membership, command: ReplaceReplica, report: DiskReport
) -> Failure | None:
    if membership.find(report.disk) is not None:
        return ReplicaUnusable(
            command.added,
            f'disk {report.disk} is a member; expected an empty disk',
        )
    other = report.membership
    if other is not None and other.fleet not in {'', membership.fleet}:
        return ReplicaUnusable(
            command.added, 'its disk belongs to another fleet'
        )
    for member in membership.members:
        kept = member.voter and member.vm != command.lost
        if kept and member.vm == command.added:
            return ReplicaUnusable(
                command.added, 'is a voter; expected the lost replica'
            )
    return None


def _propose_learner(
    leader: Leader, context: Context, request: _Request, disk: str
) -> None:
    command = request.command
    membership = context.log.membership
    voters = tuple(member for member in membership.members if member.voter)
    lost = [member.disk for member in voters if member.vm == command.lost]
    if not lost and membership.replacing is not None:
        lost = [membership.replacing.lost]
    learner = Member(command.added, disk, voter=False)
    index = context.log.last_index + 1
    outcome = CommandResult(
        command.command_key, hash_command(command), Accepted(), index
    )
    changed = Membership(
        (*voters, learner),
        membership.fleet,
        Replacement(''.join(lost), disk, command.command_key),
    )
    leader.propose(NothingChanged(), outcome, changed)


def _take_step(
    leader: Leader, membership: Membership, replacing: Replacement
) -> None:
    """Remove the lost voter, or else promote the learner."""
    if membership.find(replacing.lost) is None:
        changed = Membership(
            tuple(
                Member(member.vm, member.disk) for member in membership.members
            ),
            membership.fleet,
        )
    else:
        changed = Membership(
            tuple(
                member
                for member in membership.members
                if member.disk != replacing.lost
            ),
            membership.fleet,
            Replacement('', replacing.added, replacing.command_key),
        )
    # Without a live quorum of the new voters the change could never commit,
    # and it would bind this leader even if the old voters had a quorum.
    if leader.has_quorum(changed):
        leader.propose(NothingChanged(), None, changed)


def _timeout_failure(request: _Request) -> Failure:
    if request.reported:
        return OutcomeUnknown()
    return ReplicaUnusable(
        request.command.added, f'no answer within {QUERY_S} s'
    )


__all__ = ('TIMER', 'Replacements')
