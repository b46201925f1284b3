"""Leader of a term: proposes and commits records, and steps down."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

from ..configuration.entries import (
    AnyEntry,
    DocumentStored,
    FleetInitialised,
    KeyWithdrawn,
    NoOp,
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
from .elections import MIN_ELECTION_TIMEOUT_S
from .messages import AppendReply, SnapshotReply, StartElection
from .proposals import KeyedCommand, evaluate_command, hash_command
from .records import CommandResult, Membership, Record
from .replication import Progress

TIMER = 'heartbeat'
HEARTBEAT_S = 0.15


@attrs.frozen
class _PendingAnswer:
    """Answer to a command, sent once a record is committed."""

    command_id: int
    index: int
    answer: CommandAnswer | Failure


class Leader:
    """Replicates and commits records while this replica leads its term."""

    def __init__(self, context: Context) -> None:
        """Append a record of the new term; its commit covers earlier ones."""
        self._context = context
        self.term = context.term
        self.elected_at = context.now
        self.tail_state = context.machine.copy()
        for index in range(
            context.commit_index + 1, context.log.last_index + 1
        ):
            self.tail_state.apply(context.log.record_at(index))
        self._pending_answers: list[_PendingAnswer] = []
        self._transfer_disk = ''
        self._transfer_deadline = float('-inf')
        self.progress: dict[str, Progress] = {}
        # Highest index that is synced on the disk of this replica.
        self._synced_index = 0
        self._append_initial_record()
        context.log_event('elected leader', index=context.log.last_index)
        self.handle_timer()

    @property
    def is_active(self) -> bool:
        """Whether this replica still leads the term."""
        context = self._context
        return context.role is Role.leader and context.term == self.term

    @property
    def has_committed_record(self) -> bool:
        """Whether a record of this term is committed."""
        context = self._context
        return context.log.term_at(context.commit_index) == self.term

    @property
    def transfer_target(self) -> VmId | None:
        """VM to which leadership is being transferred."""
        member = self._context.log.membership.find(self._transfer_disk)
        if member is None or self._context.now >= self._transfer_deadline:
            return None
        return VmId(member.vm)

    def has_quorum(self, membership: Membership) -> bool:
        """Return whether a quorum has replied within an election timeout."""
        earliest_contact = self._context.now - MIN_ELECTION_TIMEOUT_S
        responsive = {
            disk
            for disk, progress in self.progress.items()
            if progress.last_contact_at > earliest_contact
        }
        return membership.is_quorum(responsive | {self._context.disk})

    def handle_timer(self) -> None:
        """Send heartbeats, or step down if no quorum has replied."""
        context = self._context
        self._update_members()
        if not self.has_quorum(context.log.membership):
            context.increment_counter('quorum_lost')
            context.leader = None
            context.become_follower(context.term)
            return
        for progress in self.progress.values():
            progress.send_heartbeat(context)
        context.set_timer(TIMER, context.now + HEARTBEAT_S)

    def propose(
        self,
        entry: AnyEntry,
        command_result: CommandResult | None = None,
        membership: Membership | None = None,
    ) -> int:
        """Append a record and return its index."""
        context = self._context
        index = context.log.last_index + 1
        record = Record(index, self.term, entry, command_result, membership)
        context.append((record,))
        self.tail_state.apply(record)
        context.run_after_sync(self._make_sync_callback(index))
        self._update_members()
        for progress in self.progress.values():
            progress.replicate(context)
        return index

    def receive_command(self, command_id: int, command: KeyedCommand) -> None:
        """Append a command to the log unless its key has a result already."""
        if self.answer_if_known(command_id, command):
            return
        proposal = evaluate_command(command, self.tail_state)
        index = self._context.log.last_index + 1
        command_result = CommandResult(
            command.command_key,
            hash_command(command),
            proposal.outcome,
            index,
        )
        self.propose(proposal.entry, command_result)
        self.answer_after_commit(
            command_id, index, proposal.outcome.answer(index)
        )

    def receive_document(self, command_id: int, command: PutDocument) -> None:
        """Append a document to the log if its version is the latest."""
        stored_document = self.tail_state.configuration.document
        sent = command.document
        last = self._context.log.last_index
        if stored_document is None or sent.version > stored_document.version:
            entry = DocumentStored(sent, command.lists, command.keys)
            last = self.propose(entry)
        elif (
            sent.version == stored_document.version
            and sent.raw != stored_document.raw
        ):
            # Answered after the stored document is committed, so that the
            # conflict is final.
            self.answer_after_commit(
                command_id, last, DocumentConflict(sent.version)
            )
            return
        # An older version or a duplicate changes nothing. It is acknowledged
        # once the document in force is committed and can't be lost.
        self.answer_after_commit(
            command_id,
            last,
            CommandAnswer(stored_document.version if stored_document else 0),
        )

    def read_document(self, command_id: int) -> None:
        """Answer with the document once a quorum has confirmed the log.

        The read appends a record, which is committed only while no other
        replica leads. The answer is therefore never older than any document
        that was acknowledged before the read.
        """
        index = self.propose(NoOp())
        document = self.tail_state.configuration.document
        answer: CommandAnswer | Failure = DocumentMissing()
        if document is not None:
            answer = CommandAnswer(document.version, document)
        self.answer_after_commit(command_id, index, answer)

    def confirmed_at(self) -> float:
        """Return the latest time at which a quorum followed this leader.

        The time is the one at which a request answered by a quorum was sent,
        so a pause of this VM can't make it appear more recent.
        """
        context = self._context
        voters = context.log.membership.voters
        times = sorted(
            context.now
            if disk == context.disk
            else self.progress[disk].last_answered_request_at
            for disk in voters
            if disk == context.disk or disk in self.progress
        )
        quorum = len(voters) // 2 + 1
        return times[-quorum] if len(times) >= quorum else float('-inf')

    def answer_if_known(self, command_id: int, command: KeyedCommand) -> bool:
        """Answer a command with a known key or during a leader transfer."""
        target = self.transfer_target
        if target is not None:
            self._answer(command_id, NotLeader(target))
            return True
        known = self.tail_state.results.get(command.command_key)
        if known is None:
            return False
        answer = known.outcome.answer(known.index)
        if known.fingerprint != hash_command(command):
            answer = CommandKeyReused(command.command_key)
        self.answer_after_commit(command_id, known.index, answer)
        return True

    def answer_after_commit(
        self, command_id: int, index: int, answer: CommandAnswer | Failure
    ) -> None:
        """Answer a command once the record with an index is committed."""
        self._pending_answers.append(_PendingAnswer(command_id, index, answer))

    def withdraw_keys(self, key_ids: Iterable[KeyId]) -> None:
        """Append key withdrawals that other VMs have accepted."""
        for key_id in sorted(key_ids):
            if key_id not in self.tail_state.configuration.withdrawn:
                self.propose(KeyWithdrawn('', key_id))

    def receive_append_reply(self, reply: AppendReply) -> None:
        """Update the replication progress of a follower."""
        progress = self.progress.get(reply.disk)
        if progress is None or reply.term != self.term:
            return
        progress.handle_append_reply(self._context, reply)
        self._finish_transfer(progress)

    def receive_snapshot_reply(self, reply: SnapshotReply) -> None:
        """Send the next chunk of a snapshot."""
        progress = self.progress.get(reply.disk)
        if progress is not None and reply.term == self.term:
            progress.handle_snapshot_reply(self._context, reply)

    def transfer(self) -> None:
        """Transfer leadership to the reachable voter with the longest log."""
        context = self._context
        voters = context.log.membership.voters
        reachable = [
            progress
            for disk, progress in self.progress.items()
            if disk in voters
            and progress.last_contact_at > context.now - MIN_ELECTION_TIMEOUT_S
        ]
        if not reachable:
            return
        successor = max(reachable, key=lambda progress: progress.match_index)
        self._transfer_disk = successor.member.disk
        self._transfer_deadline = context.now + MIN_ELECTION_TIMEOUT_S
        successor.replicate(context)
        self._finish_transfer(successor)

    def advance(self) -> None:
        """Commit records that a quorum has synced, and answer commands."""
        context = self._context
        index = self._find_quorum_index()
        is_current_term = context.log.term_at(index) == self.term
        if index > context.commit_index and is_current_term:
            context.commit_up_to(index)
        previous = self._pending_answers
        self._pending_answers = [
            pending
            for pending in previous
            if pending.index > context.commit_index
        ]
        for pending in previous:
            if pending.index <= context.commit_index:
                self._answer(pending.command_id, pending.answer)

    def close(self) -> None:
        """Answer pending commands as unknown after losing leadership."""
        for pending in self._pending_answers:
            self._answer(pending.command_id, OutcomeUnknown())
        self._pending_answers = []
        self._context.log_event('no longer leader')

    def _append_initial_record(self) -> None:
        context = self._context
        self._update_members()
        if context.log.last_index:
            self.propose(NoOp())
            return
        wall_s = context.machine.configuration.initialised_wall_s
        self.propose(FleetInitialised(wall_s), None, context.log.membership)

    def _update_members(self) -> None:
        context = self._context
        members = {member.disk: member for member in context.other_members()}
        next_index = context.log.last_index + 1
        for disk in tuple(self.progress):
            if disk not in members:
                self.progress.pop(disk)
        for disk, member in members.items():
            if disk not in self.progress:
                self.progress[disk] = Progress(member, next_index, context.now)

    def _make_sync_callback(self, index: int) -> Callable[[], None]:
        def update_synced_index() -> None:  # noqa: WPS430 - needs the index
            self._synced_index = max(self._synced_index, index)

        return update_synced_index

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
        if disk != self._transfer_disk or self.transfer_target is None:
            return
        if progress.match_index == context.log.last_index:
            self._transfer_disk = ''
            message = StartElection(self.term, context.disk, disk)
            context.send(progress.member.vm, message)

    def _answer(self, command_id: int, answer: CommandAnswer | Failure) -> None:
        self._context.outputs.append(AnswerCommand(command_id, answer))


__all__ = ('TIMER', 'Leader')
