"""The control part of the reducer."""

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
from .context import PART, Context, Role
from .follower import Follower
from .records import StoredState
from .status import describe_replica

# The first seed tries to form the log this often on the first start.
_FORM_TIMER = 'form'
_FORM_S = 0.5


@attrs.frozen
class LeaderStatus:
    """What a leader may say of the log.

    Parameters
    ----------
    elected_at
        Time of the election.
    confirmed_at
        Newest time at which a quorum followed this leader.
    configuration
        Result of all records that any replica acknowledged up to then.

    """

    term: int
    elected_at: float
    confirmed_at: float
    configuration: Configuration


class Replica:
    """One replica of the configuration log.

    Parameters
    ----------
    settings
        Settings of this VM.
    stored
        What its disk holds.
    rng
        Source of the election timeouts.

    """

    def __init__(
        self, settings: Settings, stored: StoredState, rng: random.Random
    ) -> None:
        """Take over what the disk holds."""
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
        # Withdrawals from gossip that aren't known to be committed.
        self._withdrawn: set[KeyId] = set()

    @property
    def leader_vm(self) -> VmId | None:
        """VM of the leader that this replica follows, or its own."""
        known = self._context.leader
        if self._leader is not None:
            return VmId(self._context.vm)
        return None if known is None else VmId(known.vm)

    def find_leader_status(self) -> LeaderStatus | None:
        """Return what this replica may say as the leader, None otherwise."""
        if self._leader is None or not self._leader.is_established:
            return None
        return LeaderStatus(
            self._leader.term,
            self._leader.elected_at,
            self._leader.confirmed_at(),
            self._context.machine.configuration,
        )

    @property
    def members_index(self) -> int:
        """Number of the list of members, above 0."""
        return self._context.log.membership_index + 1

    def list_members(self) -> tuple[VmId, ...]:
        """Return the VMs of the members, learners included."""
        members = self._context.log.membership.members
        return tuple(VmId(member.vm) for member in members)

    def handle(self, event: Event | Notice) -> list[Output]:
        """Apply one event or notice."""
        context = self._context
        context.at = max(context.at, event.at)
        match event:
            case Started(wall_s=wall_s):
                self._start(wall_s)
            case TimerFired(part=part, name=name) if part == PART:
                self._handle_timer(name)
            case MessageReceived(sender=sender, message=message):
                self._receive(sender, message)
            case StorageSynced(sync_id=sync_id):
                context.sync.release(sync_id)
            case CommandReceived(command_id=command_id, command=command):
                self._receive_command(command_id, command)
            case KeysWithdrawn(key_ids=key_ids):
                self._withdrawn.update(key_ids)
            case DepartureReported(target=target, born_ms=born_ms):
                if self._leader is not None:
                    self._leader.propose(TargetDeparted(target, born_ms))
            case SeedsChanged(seeds=seeds):
                self._admissions.seeds = seeds
            case StopRequested():
                self._stop()
        self._settle()
        outputs = context.outputs
        context.outputs = []
        return outputs

    def _start(self, wall_s: float) -> None:
        self._wall_s = wall_s
        self._context.restore(self._stored_commit)
        self._elections.start(restarted=True)
        if self._settings.seeds:
            self._admissions.handle_timer()
        if self._settings.forms and self._is_first_seed():
            self._form()

    def _is_first_seed(self) -> bool:
        return self._context.vm == min(self._settings.replicas)

    def _form(self) -> None:
        context = self._context
        if context.term == 0:
            self._bootstrap.form(self._wall_s)
            context.set_timer(_FORM_TIMER, context.at + _FORM_S)

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
                self._form()

    def _receive(self, sender: VmId, message: Message) -> None:
        if not isinstance(message, messages.PeerMessage):
            self._receive_formation(sender, message)
        elif self._is_addressed(message):
            self._receive_peer(sender, message)

    def _is_addressed(self, message: messages.PeerMessage) -> bool:
        """Return whether a message is for this disk, not an earlier one."""
        return message.to_disk == self._context.disk

    def _receive_formation(self, sender: VmId, message: Message) -> None:
        match message:
            case messages.JoinAsked():
                leads = self._leader is not None
                self._admissions.receive(message, leads=leads)
            case messages.DiskQuery():
                self._context.send(sender, self._bootstrap.make_report())
            case messages.DiskReport():
                self._bootstrap.receive_report(sender, message)
                if self._leader is not None:
                    self._replacements.receive_report(
                        self._leader, sender, message
                    )
            case messages.FormGroup():
                self._bootstrap.receive_form(sender, message)
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
                self._elections.receive_start(message)
            case messages.AppendReply() | messages.SnapshotReply():
                self._receive_reply(message)

    def _receive_reply(
        self, reply: messages.AppendReply | messages.SnapshotReply
    ) -> None:
        context = self._context
        if reply.term > context.term:
            context.follow(reply.term)
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
                self._answer(command_id, self._refuse())
            case _:
                self._lead_command(self._leader, command_id, command)

    def _lead_command(
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

    def _refuse(self) -> Failure:
        context = self._context
        if not context.log.membership.fleet:
            return NotInitialised()
        known = context.leader
        return NotLeader(None if known is None else VmId(known.vm))

    def _describe(self) -> CommandAnswer:
        return describe_replica(self._context, self._leader)

    def _settle(self) -> None:
        """Do what follows from the event in all roles."""
        context = self._context
        if self._leader is not None and not self._leader.is_active:
            self._leader.close()
            self._replacements.close()
            self._admissions.close()
            self._leader = None
        if self._leader is None and context.role is Role.leader:
            self._leader = leader.Leader(context)
        if self._withdrawn:
            committed = context.machine.configuration.withdrawn
            self._withdrawn = self._withdrawn - committed
        if self._leader is not None:
            self._leader.withdraw_keys(self._withdrawn)
            self._leader.advance()
            self._replacements.advance(self._leader)
            if self._settings.seeds:
                self._admissions.advance(self._leader)
            self._leader.advance()
        self._bootstrap.advance()

    def _answer(self, command_id: int, answer: CommandAnswer | Failure) -> None:
        self._context.outputs.append(AnswerCommand(command_id, answer))


__all__ = ('LeaderStatus', 'Replica')
