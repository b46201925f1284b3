"""Formation of the first control group.

All disks in the settings must store the same first membership before any of
them starts an election. Two different first memberships that both get this
far share no disk, so two operators can't form two logs.
"""

from __future__ import annotations

import attrs
import msgspec
import xxhash

from ..configuration.model import Configuration
from ..core.commands import (
    AlreadyInitialised,
    CommandAnswer,
    CommandUnsupported,
    OutcomeUnknown,
    ReplicaUnusable,
)
from ..core.effects import AnswerCommand
from ..core.errors import Failure
from ..types import VmId
from .context import PART, Context
from .machine import StateMachine
from .messages import (
    BeginElections,
    DiskQuery,
    DiskReport,
    FormGroup,
    FormReply,
)
from .records import Member, Membership

TIMER = 'formation'
REPEAT_S = 0.3
QUERY_S = 3.0
# Covers an election after all replicas have stored the membership.
COMPLETE_S = 10.0


@attrs.define
class _Formation:
    """A formation that this replica coordinates."""

    wall_s: float
    until: float
    command_ids: list[int]
    reports: dict[str, DiskReport] = attrs.field(factory=dict)
    membership: Membership | None = None
    stored: set[str] = attrs.field(factory=set)
    begun: bool = False


class Bootstrap:
    """Stores the first membership, and coordinates it on command."""

    def __init__(self, context: Context, replicas: tuple[str, ...]) -> None:
        """Start without a formation."""
        self._context = context
        self._replicas = replicas
        self._formation: _Formation | None = None

    def receive_command(self, command_id: int, wall_s: float) -> None:
        """Start a formation, or join the one that runs."""
        context = self._context
        if context.term > 0 and self._formation is None:
            self._answer(command_id, AlreadyInitialised())
        elif self._formation:
            self._formation.command_ids.append(command_id)
        elif context.vm in self._replicas:
            until = context.at + QUERY_S
            self._formation = _Formation(wall_s, until, [command_id])
            self.handle_timer()
        else:
            self._answer(command_id, CommandUnsupported(PART))

    def form(self, wall_s: float) -> None:
        """Start a formation without a command, unless one runs."""
        if self._context.term == 0 and self._formation is None:
            until = self._context.at + QUERY_S
            self._formation = _Formation(wall_s, until, [])
            self.handle_timer()

    def handle_timer(self) -> None:
        """Repeat what has no answer yet."""
        formation = self._formation
        if formation is None:
            return
        context = self._context
        if context.at >= formation.until:
            self._finish(self._timeout_failure(formation))
            return
        context.set_timer(TIMER, context.at + REPEAT_S)
        if formation.membership is None:
            self.receive_report(context.vm, self.make_report())
            for replica in self._replicas:
                if replica not in formation.reports:
                    context.send(replica, DiskQuery())
        elif not formation.begun:
            self._send_membership(formation, formation.membership)

    def make_report(self) -> DiskReport:
        """Return the id and state of this disk."""
        context = self._context
        membership = context.log.membership
        return DiskReport(
            context.disk,
            membership if membership.fleet else None,
            context.term > 0,
        )

    def receive_report(self, sender: str, report: DiskReport) -> None:
        """Choose the membership once all disks are known."""
        formation = self._formation
        if formation is None or formation.membership is not None:
            return
        if sender not in self._replicas:
            return
        if report.initialised:
            self._finish(AlreadyInitialised())
            return
        formation.reports[sender] = report
        if len(formation.reports) < len(set(self._replicas)):
            return
        formation.membership = _choose_membership(formation.reports)
        formation.until = self._context.at + COMPLETE_S
        obstacle = _find_obstacle(formation.membership, formation.reports)
        if obstacle is not None:
            self._finish(obstacle)
            return
        self._send_membership(formation, formation.membership)

    def receive_form(self, sender: str, request: FormGroup) -> None:
        """Store the first membership unless this disk has another one."""
        context = self._context
        membership = request.membership
        own = Member(context.vm, context.disk)
        if not self._has_membership() and own in membership.members:
            self._store(request)
        accepted = context.log.membership.fleet == membership.fleet
        reply = FormReply(membership.fleet, context.disk, accepted)
        if sender == context.vm:
            context.after_sync(lambda: self.receive_form_reply(sender, reply))
        else:
            context.after_sync(lambda: context.send(sender, reply))

    def receive_form_reply(self, sender: str, reply: FormReply) -> None:
        """Let elections begin once all disks have the membership."""
        formation = self._formation
        if formation is None or formation.membership is None:
            return
        if formation.begun or reply.fleet != formation.membership.fleet:
            return
        if not reply.accepted:
            self._finish(
                ReplicaUnusable(
                    VmId(sender),
                    'holds another first membership; expected an empty disk',
                )
            )
            return
        formation.stored.add(reply.disk)
        if formation.membership.voters <= formation.stored:
            formation.begun = True
            begin = BeginElections(reply.fleet)
            for replica in self._replicas:
                self._context.send(replica, begin)
            self.receive_begin(begin)

    def receive_begin(self, message: BeginElections) -> None:
        """Enter the first term, from which on elections take place."""
        context = self._context
        known = context.log.membership.fleet == message.fleet
        if known and context.term == 0:
            context.enter_term(1)

    def advance(self) -> None:
        """Answer once the first record is committed."""
        if self._formation is not None and self._context.commit_index > 0:
            self._finish(CommandAnswer(1))

    def _has_membership(self) -> bool:
        context = self._context
        return bool(context.log.membership.fleet) or context.term > 0

    def _store(self, request: FormGroup) -> None:
        context = self._context
        configuration = Configuration(initialised_wall_s=request.wall_s)
        context.machine = StateMachine(configuration, {})
        snapshot = context.machine.take_snapshot(request.membership)
        context.log.restart_empty(snapshot)
        context.save_snapshot(snapshot)

    def _send_membership(
        self, formation: _Formation, membership: Membership
    ) -> None:
        request = FormGroup(membership, formation.wall_s)
        for member in membership.members:
            if member.disk in formation.stored:
                continue
            if member.disk == self._context.disk:
                self.receive_form(member.vm, request)
            else:
                self._context.send(member.vm, request)

    def _timeout_failure(self, formation: _Formation) -> Failure:
        if formation.membership is not None:
            return OutcomeUnknown()
        silent = [
            replica
            for replica in self._replicas
            if replica not in formation.reports
        ]
        return ReplicaUnusable(VmId(silent[0]), f'no answer within {QUERY_S} s')

    def _finish(self, answer: CommandAnswer | Failure) -> None:
        formation = self._formation
        self._formation = None
        if formation is not None:
            for command_id in formation.command_ids:
                self._answer(command_id, answer)

    def _answer(self, command_id: int, answer: CommandAnswer | Failure) -> None:
        self._context.outputs.append(AnswerCommand(command_id, answer))


def _choose_membership(reports: dict[str, DiskReport]) -> Membership:
    """Return the membership that a disk has already, or the one of all."""
    members: list[Member] = []
    for vm, report in sorted(reports.items()):
        if report.membership is not None:
            return report.membership
        members.append(Member(vm, report.disk))
    digest = xxhash.xxh3_128_hexdigest(msgspec.msgpack.encode(members))
    return Membership(tuple(members), digest)


def _find_obstacle(
    membership: Membership, reports: dict[str, DiskReport]
) -> Failure | None:
    for vm, report in sorted(reports.items()):
        if Member(vm, report.disk) not in membership.members:
            return ReplicaUnusable(
                VmId(vm),
                'its disk is not in the first membership that another '
                'replica holds; expected that one to have an empty disk',
            )
    return None


__all__ = ('TIMER', 'Bootstrap')
