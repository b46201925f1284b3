"""The leader of a term: proposals, commit, and when to step down."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

from ..configuration.entries import (
    AnyEntry,
    DocumentStored,
    FleetInitialised,
    KeyWithdrawn,
    NothingChanged,
)
from ..core.commands import (
    CommandAnswer,
    CommandKeyReused,
    NotLeader,
    OutcomeUnknown,
)
from ..core.documents import DocumentConflict, DocumentMissing, PutDocument
from ..core.effects import AnswerCommand
from ..core.errors import Failure
from ..types import KeyId, VmId
from .context import Context, Role
from .elections import SHORTEST_TIMEOUT_S
from .messages import AppendReply, SnapshotReply, StartElection
from .proposals import KeyedCommand, evaluate_command, hash_command
from .records import CommandResult, Membership, Record
from .replication import Progress

TIMER = 'heartbeat'
HEARTBEAT_S = 0.15


@attrs.frozen
class _Waiter:
    """A command to answer once a record is committed."""

    command_id: int
    index: int
    answer: CommandAnswer | Failure


class Leader:
    """Replicates and commits while this replica leads its term."""

    def __init__(self, context: Context) -> None:
        """Log a record of the new term, which commits all earlier ones."""
        self._context = context
        self.term = context.term
        self.elected_at = context.at
        self.tail = context.machine.copy()
        for index in range(
            context.commit_index + 1, context.log.last_index + 1
        ):
            self.tail.apply(context.log.record_at(index))
        self._waiters: list[_Waiter] = []
        self._transfer_to = ''
        self._transfer_until = float('-inf')
        self.progress: dict[str, Progress] = {}
        # Highest own record that is on disk.
        self._synced_index = 0
        self._append_first()
        context.log_event('elected leader', index=context.log.last_index)
        self.handle_timer()

    @property
    def is_active(self) -> bool:
        """Whether this replica still leads the term."""
        context = self._context
        return context.role is Role.leader and context.term == self.term

    @property
    def is_established(self) -> bool:
        """Whether a record of this term is committed."""
        context = self._context
        return context.log.term_at(context.commit_index) == self.term

    @property
    def transfer_target(self) -> VmId | None:
        """Replica to which leadership is being handed over."""
        member = self._context.log.membership.find(self._transfer_to)
        if member is None or self._context.at >= self._transfer_until:
            return None
        return VmId(member.vm)

    def has_quorum(self, membership: Membership) -> bool:
        """Return whether a quorum answered within an election timeout."""
        oldest = self._context.at - SHORTEST_TIMEOUT_S
        heard = {
            disk
            for disk, progress in self.progress.items()
            if progress.heard_at > oldest
        }
        return membership.is_quorum(heard | {self._context.disk})

    def handle_timer(self) -> None:
        """Send heartbeats; step down if no quorum answers."""
        context = self._context
        self._update_members()
        if not self.has_quorum(context.log.membership):
            context.count('quorum_lost')
            context.leader = None
            context.follow(context.term)
            return
        for progress in self.progress.values():
            progress.send_heartbeat(context)
        context.set_timer(TIMER, context.at + HEARTBEAT_S)

    def propose(
        self,
        entry: AnyEntry,
        outcome: CommandResult | None = None,
        membership: Membership | None = None,
    ) -> int:
        """Append a record and return its index."""
        context = self._context
        index = context.log.last_index + 1
        record = Record(index, self.term, entry, outcome, membership)
        context.append((record,))
        self.tail.apply(record)
        context.after_sync(self._sync_hook(index))
        self._update_members()
        for progress in self.progress.values():
            progress.replicate(context)
        return index

    def receive_command(self, command_id: int, command: KeyedCommand) -> None:
        """Log a command, or find the result that its key already has."""
        if self.answer_known(command_id, command):
            return
        proposal = evaluate_command(command, self.tail)
        index = self._context.log.last_index + 1
        outcome = CommandResult(
            command.command_key,
            hash_command(command),
            proposal.outcome,
            index,
        )
        self.propose(proposal.entry, outcome)
        self.wait(command_id, index, proposal.outcome.answer(index))

    def receive_document(self, command_id: int, command: PutDocument) -> None:
        """Log a document that is newer than all before it."""
        held = self.tail.configuration.document
        sent = command.document
        last = self._context.log.last_index
        if held is None or sent.version > held.version:
            entry = DocumentStored(sent, command.lists, command.keys)
            last = self.propose(entry)
        elif sent.version == held.version and sent.raw != held.raw:
            # Told once that content is stored, so that the refusal holds.
            self.wait(command_id, last, DocumentConflict(sent.version))
            return
        # An older one, or a copy, changes nothing; its acknowledgement waits
        # until what is in force instead of it can't be lost.
        self.wait(command_id, last, CommandAnswer(held.version if held else 0))

    def read_document(self, command_id: int) -> None:
        """Answer with the document once a quorum has confirmed the log.

        The record of the read commits only while no other replica leads, so
        the answer is never older than what was acknowledged before it.
        """
        index = self.propose(NothingChanged())
        document = self.tail.configuration.document
        answer: CommandAnswer | Failure = DocumentMissing()
        if document is not None:
            answer = CommandAnswer(document.version, document)
        self.wait(command_id, index, answer)

    def confirmed_at(self) -> float:
        """Return the newest time at which a quorum followed this leader.

        Times are those at which requests that a quorum answered were sent,
        so a pause of this VM can't make them newer than they are.
        """
        context = self._context
        voters = context.log.membership.voters
        times = sorted(
            context.at
            if disk == context.disk
            else self.progress[disk].answered_at
            for disk in voters
            if disk == context.disk or disk in self.progress
        )
        quorum = len(voters) // 2 + 1
        return times[-quorum] if len(times) >= quorum else float('-inf')

    def answer_known(self, command_id: int, command: KeyedCommand) -> bool:
        """Answer a command whose key was used before, or that can't run."""
        target = self.transfer_target
        if target is not None:
            self._answer(command_id, NotLeader(target))
            return True
        known = self.tail.results.get(command.command_key)
        if known is None:
            return False
        answer = known.outcome.answer(known.index)
        if known.fingerprint != hash_command(command):
            answer = CommandKeyReused(command.command_key)
        self.wait(command_id, known.index, answer)
        return True

    def wait(
        self, command_id: int, index: int, answer: CommandAnswer | Failure
    ) -> None:
        """Answer a command once a record is committed."""
        self._waiters.append(_Waiter(command_id, index, answer))

    def withdraw_keys(self, key_ids: Iterable[KeyId]) -> None:
        """Log withdrawals that other VMs accepted."""
        for key_id in sorted(key_ids):
            if key_id not in self.tail.configuration.withdrawn:
                self.propose(KeyWithdrawn('', key_id))

    def receive_append_reply(self, reply: AppendReply) -> None:
        """Note what a follower has on disk."""
        progress = self.progress.get(reply.disk)
        if progress is None or reply.term != self.term:
            return
        progress.note_append(self._context, reply)
        self._finish_transfer(progress)

    def receive_snapshot_reply(self, reply: SnapshotReply) -> None:
        """Send the next chunk of a snapshot."""
        progress = self.progress.get(reply.disk)
        if progress is not None and reply.term == self.term:
            progress.note_chunk(self._context, reply)

    def transfer(self) -> None:
        """Hand leadership to the voter with the longest log."""
        context = self._context
        voters = context.log.membership.voters
        able = [
            progress
            for disk, progress in self.progress.items()
            if disk in voters
            and progress.heard_at > context.at - SHORTEST_TIMEOUT_S
        ]
        if not able:
            return
        best = max(able, key=lambda progress: progress.match_index)
        self._transfer_to = best.member.disk
        self._transfer_until = context.at + SHORTEST_TIMEOUT_S
        best.replicate(context)
        self._finish_transfer(best)

    def advance(self) -> None:
        """Commit what a quorum has on disk and answer its commands."""
        context = self._context
        index = self._find_quorum_index()
        current = context.log.term_at(index) == self.term
        if index > context.commit_index and current:
            context.commit_to(index)
        waiting = self._waiters
        self._waiters = [
            waiter for waiter in waiting if waiter.index > context.commit_index
        ]
        for waiter in waiting:
            if waiter.index <= context.commit_index:
                self._answer(waiter.command_id, waiter.answer)

    def close(self) -> None:
        """Answer the waiting commands after leadership was lost."""
        for waiter in self._waiters:
            self._answer(waiter.command_id, OutcomeUnknown())
        self._waiters = []
        self._context.log_event('no longer leader')

    def _append_first(self) -> None:
        context = self._context
        self._update_members()
        if context.log.last_index:
            self.propose(NothingChanged())
            return
        wall_s = context.machine.configuration.initialised_wall_s
        self.propose(FleetInitialised(wall_s), None, context.log.membership)

    def _update_members(self) -> None:
        context = self._context
        members = {member.disk: member for member in context.others()}
        next_index = context.log.last_index + 1
        for disk in tuple(self.progress):
            if disk not in members:
                self.progress.pop(disk)
        for disk, member in members.items():
            if disk not in self.progress:
                self.progress[disk] = Progress(member, next_index, context.at)

    def _sync_hook(self, index: int) -> Callable[[], None]:
        def note_synced() -> None:  # noqa: WPS430 - needs the index
            self._synced_index = max(self._synced_index, index)

        return note_synced

    def _find_quorum_index(self) -> int:
        context = self._context
        voters = context.log.membership.voters
        matches = sorted(
            self._synced_index
            if disk == context.disk
            else self.progress[disk].match_index
            for disk in voters
        )
        return matches[(len(matches) - 1) // 2] if matches else 0

    def _finish_transfer(self, progress: Progress) -> None:
        context = self._context
        disk = progress.member.disk
        if disk != self._transfer_to or self.transfer_target is None:
            return
        if progress.match_index == context.log.last_index:
            self._transfer_to = ''
            message = StartElection(self.term, context.disk, disk)
            context.send(progress.member.vm, message)

    def _answer(self, command_id: int, answer: CommandAnswer | Failure) -> None:
        self._context.outputs.append(AnswerCommand(command_id, answer))


__all__ = ('TIMER', 'Leader')
