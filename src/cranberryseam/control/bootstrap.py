"""Bootstrap of the control group.

All disks in the settings must store the same initial membership before any of
them starts an election. Two different initial memberships that are both
stored by all of their disks have no disk in common, so two operators can't
create two logs.
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
from .context import COMPONENT, Context
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
RETRY_INTERVAL_S = 0.3
QUERY_TIMEOUT_S = 3.0
# Includes the election after all replicas have stored the membership.
FORMATION_TIMEOUT_S = 10.0


@attrs.define
class _Formation:
    """State of a bootstrap that this replica coordinates."""

    wall_s: float
    deadline: float
    command_ids: list[int]
    reports: dict[str, DiskReport] = attrs.field(factory=dict)
    membership: Membership | None = None
    stored_on: set[str] = attrs.field(factory=set)
    elections_begun: bool = False


class Bootstrap:
    """Stores the initial membership, and coordinates the bootstrap."""

    def __init__(self, context: Context, replicas: tuple[str, ...]) -> None:
        """Start without a running bootstrap."""
        self._context = context
        self._replicas = replicas
        self._formation: _Formation | None = None

    def receive_command(self, command_id: int, wall_s: float) -> None:
        """Start a bootstrap, or wait for the result of the running one."""
        context = self._context
        if context.term > 0 and self._formation is None:
            self._answer(command_id, AlreadyInitialised())
        elif self._formation:
            self._formation.command_ids.append(command_id)
        elif context.vm in self._replicas:
            deadline = context.now + QUERY_TIMEOUT_S
            self._formation = _Formation(wall_s, deadline, [command_id])
            self.handle_timer()
        else:
            self._answer(command_id, CommandUnsupported(COMPONENT))

    def start_formation(self, wall_s: float) -> None:
        """Start a bootstrap without a command, unless one is running."""
        if self._context.term == 0 and self._formation is None:
            deadline = self._context.now + QUERY_TIMEOUT_S
            self._formation = _Formation(wall_s, deadline, [])
            self.handle_timer()

    def handle_timer(self) -> None:
        """Repeat unanswered requests, or fail after the deadline."""
        formation = self._formation
        if formation is None:
            return
        context = self._context
        if context.now >= formation.deadline:
            self._finish(self._timeout_failure(formation))
            return
        context.set_timer(TIMER, context.now + RETRY_INTERVAL_S)
        if formation.membership is None:
            self.receive_report(context.vm, self.make_disk_report())
            for replica in self._replicas:
                if replica not in formation.reports:
                    context.send(replica, DiskQuery())
        elif not formation.elections_begun:
            self._send_membership(formation, formation.membership)

    def make_disk_report(self) -> DiskReport:
        """Return the id, membership and state of this disk."""
        context = self._context
        membership = context.log.membership
        return DiskReport(
            context.disk,
            membership if membership.fleet else None,
            context.term > 0,
        )

    def receive_report(self, sender: str, report: DiskReport) -> None:
        """Choose the membership once all disks have reported."""
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
        formation.deadline = self._context.now + FORMATION_TIMEOUT_S
        failure = _check_disks(formation.membership, formation.reports)
        if failure is not None:
            self._finish(failure)
            return
        self._send_membership(formation, formation.membership)

    def receive_form_request(self, sender: str, request: FormGroup) -> None:
        """Store the initial membership unless this disk has another one."""
        context = self._context
        membership = request.membership
        own = Member(context.vm, context.disk)
        if not self._has_membership() and own in membership.members:
            self._store_membership(request)
        accepted = context.log.membership.fleet == membership.fleet
        reply = FormReply(membership.fleet, context.disk, accepted)
        if sender == context.vm:
            context.run_after_sync(
                lambda: self.receive_form_reply(sender, reply)
            )
        else:
            context.run_after_sync(lambda: context.send(sender, reply))

    def receive_form_reply(self, sender: str, reply: FormReply) -> None:
        """Allow elections once all disks have stored the membership."""
        formation = self._formation
        if formation is None or formation.membership is None:
            return
        if (
            formation.elections_begun
            or reply.fleet != formation.membership.fleet
        ):
            return
        if not reply.accepted:
            self._finish(
                ReplicaUnusable(
                    VmId(sender),
                    'holds another first membership; expected an empty disk',
                )
            )
            return
        formation.stored_on.add(reply.disk)
        if formation.membership.voters <= formation.stored_on:
            formation.elections_begun = True
            begin = BeginElections(reply.fleet)
            for replica in self._replicas:
                self._context.send(replica, begin)
            self.receive_begin(begin)

    def receive_begin(self, message: BeginElections) -> None:
        """Enter term 1, which enables elections."""
        context = self._context
        is_same_fleet = context.log.membership.fleet == message.fleet
        if is_same_fleet and context.term == 0:
            context.enter_term(1)

    def advance(self) -> None:
        """Answer the commands once the first record is committed."""
        if self._formation is not None and self._context.commit_index > 0:
            self._finish(CommandAnswer(1))

    def _has_membership(self) -> bool:
        context = self._context
        return bool(context.log.membership.fleet) or context.term > 0

    def _store_membership(self, request: FormGroup) -> None:
        context = self._context
        configuration = Configuration(initialised_wall_s=request.wall_s)
        context.machine = StateMachine(configuration, {})
        snapshot = context.machine.take_snapshot(request.membership)
        context.log.reset_to(snapshot)
        context.save_snapshot(snapshot)

    def _send_membership(
        self, formation: _Formation, membership: Membership
    ) -> None:
        request = FormGroup(membership, formation.wall_s)
        for member in membership.members:
            if member.disk in formation.stored_on:
                continue
            if member.disk == self._context.disk:
                self.receive_form_request(member.vm, request)
            else:
                self._context.send(member.vm, request)

    def _timeout_failure(self, formation: _Formation) -> Failure:
        if formation.membership is not None:
            return OutcomeUnknown()
        unanswered = [
            replica
            for replica in self._replicas
            if replica not in formation.reports
        ]
        return ReplicaUnusable(
            VmId(unanswered[0]), f'no answer within {QUERY_TIMEOUT_S} s'
        )

    def _finish(self, answer: CommandAnswer | Failure) -> None:
        formation = self._formation
        self._formation = None
        if formation is not None:
            for command_id in formation.command_ids:
                self._answer(command_id, answer)

    def _answer(self, command_id: int, answer: CommandAnswer | Failure) -> None:
        self._context.outputs.append(AnswerCommand(command_id, answer))


def _choose_membership(reports: dict[str, DiskReport]) -> Membership:
    """Return the membership stored on a disk, or a new one of all disks."""
    members: list[Member] = []
    for vm, report in sorted(reports.items()):
        if report.membership is not None:
            return report.membership
        members.append(Member(vm, report.disk))
    digest = xxhash.xxh3_128_hexdigest(msgspec.msgpack.encode(members))
    return Membership(tuple(members), digest)


def _check_disks(
    membership: Membership, reports: dict[str, DiskReport]
) -> Failure | None:
    for vm, report in sorted(reports.items()):
        if Member(vm, report.disk) not in membership.members:
            return ReplicaUnusable(
                VmId(vm),
                'its disk is not in the first membership that another replica '
                'holds; expected that one to have an empty disk',
            )
    return None


__all__ = ('TIMER', 'Bootstrap')
