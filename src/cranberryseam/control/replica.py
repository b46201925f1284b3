"""Replica of the control log as a component of the reducer."""

from __future__ import annotations

import random

import attrs

from ..configuration.entries import TargetDeparted
from ..configuration.model import Configuration
from ..configuration.settings import Settings
from ..core.commands import (
    ApplyLists,
    Command,
    CommandAnswer,
    GrantKey,
    InitialiseFleet,
    NotInitialised,
    NotLeader,
    ReplaceReplica,
    ShowControl,
    WithdrawKey,
)
from ..core.documents import PutDocument, ReadDocument
from ..core.effects import AnswerCommand
from ..core.errors import Failure
from ..core.events import (
    CommandReceived,
    Event,
    MessageReceived,
    SeedsChanged,
    Started,
    StopRequested,
    StorageSynced,
    TimerFired,
)
from ..core.messages import Message
from ..core.notices import DepartureReported, KeysWithdrawn, Notice
from ..types import KeyId, Output, VmId
from . import (
    admissions,
    bootstrap,
    elections,
    leader,
    messages,
    replacement,
)
from .context import COMPONENT, Context, Role
from .follower import Follower
from .records import StoredState
from .status import describe_replica

# Interval at which the first seed retries the bootstrap on the first start.
_FORM_TIMER = 'form'
_FORM_INTERVAL_S = 0.5


@attrs.frozen
class LeaderStatus:
    """Confirmed state of the leader of a term.

    Parameters
    ----------
    elected_at
        Time of the election.
    confirmed_at
        Latest time at which a quorum followed this leader.
    configuration
        State after all records that any replica acknowledged before
        ``confirmed_at``.

    """

    term: int
    elected_at: float
    confirmed_at: float
    configuration: Configuration


class Replica:
    """Replica of the configuration log.

    Parameters
    ----------
    settings
        Settings of this VM.
    stored
        State loaded from its disk.
    rng
        Random numbers for the election timeouts.

    """

    def __init__(
        self, settings: Settings, stored: StoredState, rng: random.Random
    ) -> None:
        """Create a replica with the state from its disk."""
        self._context = Context(settings.vm_id, stored, rng)
        self._stored_commit = min(stored.commit, self._context.log.last_index)
        self._elections = elections.Elections(self._context)
        self._follower = Follower(self._context)
        self._bootstrap = bootstrap.Bootstrap(
            self._context, settings.control.replicas
        )
        self._replacements = replacement.Replacements(self._context)
        self._settings = settings.control
        self._admissions = admissions.Admissions(
            self._context, settings.control
        )
        self._leader: leader.Leader | None = None
        self._wall_s: float = 0
        # Key withdrawals received by gossip and not known to be committed.
        self._uncommitted_withdrawals: set[KeyId] = set()

    @property
    def leader_vm(self) -> VmId | None:
        """VM of the current leader as known to this replica."""
        member = self._context.leader
        if self._leader is not None:
            return VmId(self._context.vm)
        return None if member is None else VmId(member.vm)

    def find_leader_status(self) -> LeaderStatus | None:
        """Return the status of a leader that has committed a record."""
        if self._leader is None or not self._leader.has_committed_record:
            return None
        return LeaderStatus(
            self._leader.term,
            self._leader.elected_at,
            self._leader.confirmed_at(),
            self._context.machine.configuration,
        )

    @property
    def members_index(self) -> int:
        """Version of the list of members, greater than 0."""
        return self._context.log.membership_index + 1

    def list_members(self) -> tuple[VmId, ...]:
        """Return the VMs of all members, including learners."""
        members = self._context.log.membership.members
        return tuple(VmId(member.vm) for member in members)

    def handle(self, event: Event | Notice) -> list[Output]:
        """Process an event or notice and return the resulting outputs."""
        context = self._context
        context.now = max(context.now, event.at)
        match event:
            case Started(wall_s=wall_s):
                self._start(wall_s)
            case TimerFired(component=component, name=name) if (
                component == COMPONENT
            ):
                self._handle_timer(name)
            case MessageReceived(sender=sender, message=message):
                self._receive(sender, message)
            case StorageSynced(sync_id=sync_id):
                context.sync.complete(sync_id)
            case CommandReceived(command_id=command_id, command=command):
                self._receive_command(command_id, command)
            case KeysWithdrawn(key_ids=key_ids):
                self._uncommitted_withdrawals.update(key_ids)
            case DepartureReported(target=target, born_ms=born_ms):
                if self._leader is not None:
                    self._leader.propose(TargetDeparted(target, born_ms))
            case SeedsChanged(seeds=seeds):
                self._admissions.seeds = seeds
            case StopRequested():
                self._stop()
        self._advance()
        outputs = context.outputs
        context.outputs = []
        return outputs

    def _start(self, wall_s: float) -> None:
        self._wall_s = wall_s
        self._context.restore_committed(self._stored_commit)
        self._elections.start(process_started=True)
        if self._settings.seeds:
            self._admissions.handle_timer()
        if self._settings.forms and self._is_first_seed():
            self._retry_formation()

    def _is_first_seed(self) -> bool:
        return self._context.vm == min(self._settings.replicas)

    def _retry_formation(self) -> None:
        context = self._context
        if context.term == 0:
            self._bootstrap.start_formation(self._wall_s)
            context.set_timer(_FORM_TIMER, context.now + _FORM_INTERVAL_S)

    def _stop(self) -> None:
        self._context.stopping = True
        if self._leader is not None:
            self._leader.transfer()

    def _handle_timer(self, name: str) -> None:
        match name:
            case elections.TIMER:
                self._elections.handle_timer()
            case leader.TIMER:
                if self._leader is not None:
                    self._leader.handle_timer()
            case replacement.TIMER:
                self._replacements.handle_timer()
            case bootstrap.TIMER:
                self._bootstrap.handle_timer()
            case admissions.TIMER:
                self._admissions.handle_timer()
            case _ if name == _FORM_TIMER:
                self._retry_formation()

    def _receive(self, sender: VmId, message: Message) -> None:
        if not isinstance(message, messages.PeerMessage):
            self._receive_formation(sender, message)
        elif self._is_addressed(message):
            self._receive_peer(sender, message)

    def _is_addressed(self, message: messages.PeerMessage) -> bool:
        """Return whether a message is for this disk, not a previous one."""
        return message.to_disk == self._context.disk

    def _receive_formation(self, sender: VmId, message: Message) -> None:
        match message:
            case messages.JoinAsked():
                is_leader = self._leader is not None
                self._admissions.receive(message, is_leader=is_leader)
            case messages.DiskQuery():
                self._context.send(sender, self._bootstrap.make_disk_report())
            case messages.DiskReport():
                self._bootstrap.receive_report(sender, message)
                if self._leader is not None:
                    self._replacements.receive_report(
                        self._leader, sender, message
                    )
            case messages.FormGroup():
                self._bootstrap.receive_form_request(sender, message)
            case messages.FormReply():
                self._bootstrap.receive_form_reply(sender, message)
            case messages.BeginElections():
                self._bootstrap.receive_begin(message)

    def _receive_peer(
        self, sender: VmId, message: messages.PeerMessage
    ) -> None:
        match message:
            case messages.RequestPreVote():
                self._elections.receive_pre_vote(sender, message)
            case messages.PreVoteReply():
                self._elections.receive_pre_vote_reply(message)
            case messages.RequestVote():
                self._elections.receive_vote_request(sender, message)
            case messages.VoteReply():
                self._elections.receive_vote(message)
            case messages.AppendRequest():
                self._follower.receive_append(sender, message)
            case messages.InstallSnapshot():
                self._follower.receive_snapshot(sender, message)
            case messages.StartElection():
                self._elections.receive_start_election(message)
            case messages.AppendReply() | messages.SnapshotReply():
                self._receive_reply(message)

    def _receive_reply(
        self, reply: messages.AppendReply | messages.SnapshotReply
    ) -> None:
        context = self._context
        if reply.term > context.term:
            context.become_follower(reply.term)
        elif self._leader is None:
            return
        elif isinstance(reply, messages.AppendReply):
            self._leader.receive_append_reply(reply)
        else:
            self._leader.receive_snapshot_reply(reply)

    def _receive_command(self, command_id: int, command: Command) -> None:
        match command:
            case InitialiseFleet(wall_s=wall_s):
                self._bootstrap.receive_command(command_id, wall_s)
            case ShowControl():
                self._answer(command_id, self._describe())
            case _ if self._leader is None:
                self._answer(command_id, self._make_refusal())
            case _:
                self._execute_as_leader(self._leader, command_id, command)

    def _execute_as_leader(
        self, leading: leader.Leader, command_id: int, command: Command
    ) -> None:
        match command:
            case ApplyLists() | GrantKey() | WithdrawKey():
                leading.receive_command(command_id, command)
            case PutDocument():
                leading.receive_document(command_id, command)
            case ReadDocument():
                leading.read_document(command_id)
            case ReplaceReplica():
                self._replacements.receive_command(leading, command_id, command)

    def _make_refusal(self) -> Failure:
        context = self._context
        if not context.log.membership.fleet:
            return NotInitialised()
        member = context.leader
        return NotLeader(None if member is None else VmId(member.vm))

    def _describe(self) -> CommandAnswer:
        return describe_replica(self._context, self._leader)

    def _advance(self) -> None:
        """Update roles, commits and pending operations after an event."""
        context = self._context
        if self._leader is not None and not self._leader.is_active:
            self._leader.close()
            self._replacements.close()
            self._admissions.close()
            self._leader = None
        if self._leader is None and context.role is Role.leader:
            self._leader = leader.Leader(context)
        if self._uncommitted_withdrawals:
            committed = context.machine.configuration.withdrawn
            self._uncommitted_withdrawals = (
                self._uncommitted_withdrawals - committed
            )
        if self._leader is not None:
            self._leader.withdraw_keys(self._uncommitted_withdrawals)
            self._leader.advance()
            self._replacements.advance(self._leader)
            if self._settings.seeds:
                self._admissions.advance(self._leader)
            self._leader.advance()
        self._bootstrap.advance()

    def _answer(self, command_id: int, answer: CommandAnswer | Failure) -> None:
        self._context.outputs.append(AnswerCommand(command_id, answer))


__all__ = ('LeaderStatus', 'Replica')
