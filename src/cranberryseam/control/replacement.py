"""Replacement of a control replica, one membership change at a time.

The lost voter is removed before the learner is promoted. In the opposite order
the quorum of the enlarged group would require one more live replica.
"""

from __future__ import annotations

import attrs

from ..configuration.entries import NoOp
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
QUERY_TIMEOUT_S = 2.0
# A learner receives a snapshot of about 7 MB in chunks of 0.25 MB, one per
# round trip.
REPLACEMENT_TIMEOUT_S = 30.0


@attrs.define
class _Request:
    """Command that waits for a disk report or for completion."""

    command_id: int
    command: ReplaceReplica
    deadline: float
    disk_reported: bool = False


class Replacements:
    """Executes replacement commands while this replica leads."""

    def __init__(self, context: Context) -> None:
        """Start without pending requests."""
        self._context = context
        self._requests: list[_Request] = []

    def receive_command(
        self, leader: Leader, command_id: int, command: ReplaceReplica
    ) -> None:
        """Query the disk id of the added VM unless the command is known."""
        context = self._context
        membership = context.log.membership
        replacing = membership.replacing
        request = _Request(
            command_id, command, context.now + REPLACEMENT_TIMEOUT_S
        )
        if _is_running(leader, command, replacing):
            request.disk_reported = True
            self._requests.append(request)
            return
        if leader.answer_if_known(command_id, command):
            return
        failure = _check_command(membership, command)
        if failure is not None:
            self._answer(command_id, failure)
            return
        request.deadline = context.now + QUERY_TIMEOUT_S
        self._requests.append(request)
        context.send(command.added, DiskQuery())
        context.set_timer(TIMER, context.now + QUERY_TIMEOUT_S / 4)

    def handle_timer(self) -> None:
        """Repeat queries, and fail requests after their deadline."""
        context = self._context
        for request in tuple(self._requests):
            if request.deadline <= context.now:
                self._requests.remove(request)
                self._answer(request.command_id, _timeout_failure(request))
            elif not request.disk_reported:
                context.send(request.command.added, DiskQuery())
        if self._requests:
            context.set_timer(TIMER, context.now + QUERY_TIMEOUT_S / 4)

    def receive_report(
        self, leader: Leader, sender: str, report: DiskReport
    ) -> None:
        """Add the reported disk as a learner."""
        for request in tuple(self._requests):
            if request.command.added == sender and not request.disk_reported:
                self._add_learner(leader, request, report)

    def advance(self, leader: Leader) -> None:
        """Propose the next change once the previous one is committed."""
        context = self._context
        membership = context.log.membership
        replacing = membership.replacing
        membership_committed = (
            context.log.membership_index <= context.commit_index
        )
        if not membership_committed or not leader.has_committed_record:
            return
        self._answer_completed(replacing)
        if replacing is None:
            return
        progress = leader.progress.get(replacing.added)
        if progress is None or progress.match_index < context.commit_index:
            return
        if replacing.lost == context.disk:
            if leader.transfer_target is None:
                leader.transfer()
            return
        _propose_next_step(leader, membership, replacing)

    def close(self) -> None:
        """Answer all requests as unknown after losing leadership."""
        for request in self._requests:
            self._answer(request.command_id, OutcomeUnknown())
        self._requests = []

    def _add_learner(
        self, leader: Leader, request: _Request, report: DiskReport
    ) -> None:
        context = self._context
        command = request.command
        membership = context.log.membership
        failure = _check_command(membership, command)
        failure = failure or _check_disk(membership, command, report)
        if context.log.membership_index > context.commit_index:
            failure = ReplacementInProgress(command.added)
        if not leader.has_committed_record:
            failure = OutcomeUnknown()
        if failure is not None:
            self._requests.remove(request)
            self._answer(request.command_id, failure)
            return
        if leader.answer_if_known(request.command_id, command):
            self._requests.remove(request)
            return
        request.disk_reported = True
        request.deadline = context.now + REPLACEMENT_TIMEOUT_S
        _propose_learner(leader, context, request, report.disk)

    def _answer_completed(self, replacing: Replacement | None) -> None:
        answer: CommandAnswer | Failure = CommandAnswer(
            self._context.commit_index
        )
        running_key = ''
        if replacing is not None:
            answer = OutcomeUnknown()
            running_key = replacing.command_key
        for request in tuple(self._requests):
            if (
                request.disk_reported
                and request.command.command_key != running_key
            ):
                self._requests.remove(request)
                self._answer(request.command_id, answer)

    def _answer(self, command_id: int, answer: CommandAnswer | Failure) -> None:
        self._context.outputs.append(AnswerCommand(command_id, answer))


def _check_command(
    membership: Membership, command: ReplaceReplica
) -> Failure | None:
    """Return the failure if the command can't start in this membership."""
    vms = {member.vm for member in membership.members}
    if command.lost not in vms:
        return NameUnknown('replica', command.lost).answer(0)  # type: ignore[return-value]
    replacing = membership.replacing
    if replacing is None:
        return None
    affected_vms = {
        member.vm
        for member in membership.members
        if member.disk in {replacing.lost, replacing.added}
    }
    if command.lost in affected_vms:
        return None
    learner = membership.find(replacing.added)
    added = command.added if learner is None else VmId(learner.vm)
    return ReplacementInProgress(added)


def _is_running(
    leader: Leader, command: ReplaceReplica, replacing: Replacement | None
) -> bool:
    """Return whether this command is in the log and isn't complete."""
    known = leader.tail_state.results.get(command.command_key)
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
    reported = report.membership
    if reported is not None and reported.fleet not in {'', membership.fleet}:
        return ReplicaUnusable(
            command.added, 'its disk belongs to another fleet'
        )
    for member in membership.members:
        stays_voter = member.voter and member.vm != command.lost
        if stays_voter and member.vm == command.added:
            return ReplicaUnusable(
                command.added,
                'is a voter; expected the lost replica',
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
    command_result = CommandResult(
        command.command_key, hash_command(command), Accepted(), index
    )
    changed = Membership(
        (*voters, learner),
        membership.fleet,
        Replacement(''.join(lost), disk, command.command_key),
    )
    leader.propose(NoOp(), command_result, changed)


def _propose_next_step(
    leader: Leader, membership: Membership, replacing: Replacement
) -> None:
    """Propose to remove the lost voter, or then to promote the learner."""
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
    # A membership applies from its record on, so a change without a live
    # quorum of the new voters could never be committed and would block this
    # leader even if it had a quorum of the old voters.
    if leader.has_quorum(changed):
        leader.propose(NoOp(), None, changed)


def _timeout_failure(request: _Request) -> Failure:
    if request.disk_reported:
        return OutcomeUnknown()
    return ReplicaUnusable(
        request.command.added, f'no answer within {QUERY_TIMEOUT_S} s'
    )


__all__ = ('TIMER', 'Replacements')
