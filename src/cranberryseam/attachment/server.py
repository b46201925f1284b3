"""The control leader's side: the table of targets, and replies to polls."""

from __future__ import annotations

import logging
from collections.abc import Mapping, Sequence
from typing import Final, Protocol

from ..configuration.entries import TargetDeparted
from ..configuration.settings import Settings
from ..control.replica import LeaderStatus
from ..core.commands import OutcomeUnknown
from ..core.effects import (
    AnswerAnnouncement,
    IncrementCounter,
    SendMessage,
    SetTimer,
    WriteLog,
)
from ..core.events import (
    Announcement,
    Event,
    MessageReceived,
    Started,
    TargetAnnounced,
    TargetState,
    TimerFired,
)
from ..core.notices import (
    DepartureReported,
    EntryCommitted,
    MemberChanged,
    MemberStatus,
    Notice,
)
from ..types import Output, TargetId, VmId
from .content import ContentSource
from .departures import Waiter
from .messages import (
    AnnouncementTaken,
    Departure,
    LeaderHint,
    PassedAnnouncement,
    Poll,
    PollReply,
    TargetRow,
)
from .owners import UNPROVEN_S
from .table import TargetTable

PART: Final = 'hub'
_TIMER: Final = 'sweep'
_SWEEP_S: Final = 0.5
# VMs that lost their leader find a new one within this.
_COUNTED_S: Final = 1.5
# A VM that has not polled for this long asks another control VM.
_VM_LOST_S: Final = 3.0
_MS: Final = 1000


class ControlReplica(Protocol):
    """The control replica of this VM."""

    @property
    def leader_vm(self) -> VmId | None:
        """VM of the leader that it follows."""

    def find_leader_status(self) -> LeaderStatus | None:
        """Return what it may say as the leader."""

    @property
    def members_index(self) -> int:
        """Number of the list of replicas, above 0."""

    def list_members(self) -> tuple[VmId, ...]:
        """Return the VMs of all replicas."""


class KnownTargets(Protocol):
    """The copy of the table that this VM has as a follower."""

    @property
    def rows(self) -> Mapping[TargetId, TargetRow]:
        """Rows by target."""


class AttachmentServer:
    """Owns the table of targets while this VM leads the control log.

    Parameters
    ----------
    settings
        Name of this VM, and the regions of data centres.
    replica
        The control replica of this VM.
    copy
        What this VM knew of the targets as a follower.

    """

    def __init__(
        self, settings: Settings, replica: ControlReplica, copy: KnownTargets
    ) -> None:
        """Start without a table."""
        self._vm = settings.vm_id
        self._places = dict(settings.places)
        self._replica = replica
        self._copy = copy
        self._term = 0
        self._table = TargetTable()
        self._started_at: float = 0
        self._started_wall_s: float = 0
        self._polled_at: dict[VmId, float] = {}
        self._source = ContentSource()
        self._lines: list[WriteLog] = []

    def handle(self, event: Event | Notice) -> Sequence[Output]:
        """Apply one event or notice; see ``Part``."""
        outputs = [*self._apply(event), *self._lines]
        self._lines.clear()
        return outputs

    def _apply(self, event: Event | Notice) -> list[Output]:
        match event:
            case Started(wall_s=wall_s):
                self._started_at = event.at
                self._started_wall_s = wall_s
                return [SetTimer(PART, _TIMER, event.at + _SWEEP_S)]
            case TimerFired():
                return self._sweep(event.at)
            case TargetAnnounced():
                return self._pass_on(event)
            case EntryCommitted(entry=TargetDeparted() as departed):
                departure = Departure(
                    TargetId(departed.target), departed.born_ms
                )
                return self._finish_departure(departure, event.at)
            case MessageReceived(sender=sender, message=message):
                return self._receive(sender, message, event.at)
        return []

    def _receive(
        self, sender: VmId, message: object, at: float
    ) -> list[Output]:
        match message:
            case Poll() as poll:
                reply = SendMessage(sender, self._answer_poll(poll, at))
                return [*self._note_vm(sender, poll.data_centre, at), reply]
            case PassedAnnouncement(reply_id=reply_id, announcement=came):
                return self._take(sender, reply_id, came, at)
            case AnnouncementTaken(reply_id=reply_id):
                return [AnswerAnnouncement(reply_id, None)]
        return []

    def _count_vms(self, authority: LeaderStatus, at: float) -> int:
        """Return the number of VMs, 0 until all had time to poll.

        A count that is too small would let each VM use too much of a limit.
        """
        if at - max(authority.elected_at, self._started_at) < _COUNTED_S:
            return 0
        return len(self._polled_at)

    def _note_vm(self, vm: VmId, data_centre: str, at: float) -> list[Output]:
        known = vm in self._polled_at
        self._polled_at[vm] = at
        if known and not data_centre:
            return []
        region = self._places.get(data_centre, '')
        return [MemberChanged(at, vm, region, MemberStatus.alive)]

    def _forget_vms(self, at: float) -> list[Output]:
        outputs: list[Output] = []
        for vm, polled_at in tuple(self._polled_at.items()):
            if at - polled_at > _VM_LOST_S:
                self._polled_at.pop(vm)
                outputs.append(MemberChanged(at, vm, '', MemberStatus.dead))
        return outputs

    def _find_authority(self, at: float) -> LeaderStatus | None:
        """Return the authority of this VM, after taking over the table."""
        authority = self._replica.find_leader_status()
        if authority is None or at - authority.confirmed_at > UNPROVEN_S:
            return None
        if authority.term != self._term:
            self._take_over(authority, at)
        return authority

    def _take_over(self, authority: LeaderStatus, at: float) -> None:
        self._term = authority.term
        departed = authority.configuration.departed
        self._table.restore(self._copy.rows, departed, at)
        fields = {
            'term': self._term,
            'targets': len(self._table),
            'departed': len(self._table.departures),
        }
        self._lines.append(
            WriteLog(logging.INFO, 'table of targets taken over', fields)
        )

    def _answer_poll(self, poll: Poll, at: float) -> PollReply | LeaderHint:
        authority = self._find_authority(at)
        if authority is None:
            leader = self._replica.leader_vm
            hint = '' if leader in {None, self._vm} else str(leader)
            return LeaderHint(hint, self._replica.list_members())
        # A table belongs to one term; positions of another mean nothing.
        whole = poll.term != self._term
        after = 0 if whole else poll.position
        index = self._replica.members_index
        members: tuple[VmId, ...] = ()
        if poll.members_index != index:
            members = self._replica.list_members()
        return PollReply(
            sent_at=poll.sent_at,
            age_s=max(0, at - authority.confirmed_at),
            term=self._term,
            position=self._table.position,
            members_index=index,
            vm_count=self._count_vms(authority, at),
            members=members,
            rows=self._table.list_rows(after),
            whole=whole,
            content=self._source.find(
                authority.configuration, poll.content_version
            ),
            departed=self._table.departures.list_after(after),
        )

    def _pass_on(self, event: TargetAnnounced) -> list[Output]:
        leader = self._replica.leader_vm
        if leader is None:
            return [AnswerAnnouncement(event.reply_id, OutcomeUnknown())]
        passed = PassedAnnouncement(event.reply_id, event.announcement)
        return [SendMessage(leader, passed)]

    def _take(
        self, sender: VmId, reply_id: int, came: Announcement, at: float
    ) -> list[Output]:
        """Act on an announcement; without authority nobody answers it."""
        authority = self._find_authority(at)
        if authority is None:
            return [IncrementCounter('hub.announcement_without_authority')]
        if came.state is TargetState.draining:
            return self._start_departure(sender, reply_id, came, at)
        ignored = self._find_fault(came, authority)
        if not ignored:
            self._table.update(came, at)
        taken = SendMessage(sender, AnnouncementTaken(reply_id))
        return [taken, *self._describe_ignored(came, ignored)]

    def _find_fault(self, came: Announcement, authority: LeaderStatus) -> str:
        """Return why an announcement changes nothing, empty if it does."""
        services = authority.configuration.services
        if services and came.service not in services:
            # It names no target of this fleet, whoever sent it.
            return 'unknown_service'
        if self._table.is_outdated(came):
            return 'outdated'
        return '' if self._table.claim_address(came) else 'address_taken'

    def _describe_ignored(
        self, came: Announcement, reason: str
    ) -> list[Output]:
        if not reason:
            return []
        known = self._table.find(came.target)
        fields = {
            'target': came.target,
            'reason': reason,
            'born_ms': came.born_ms,
            'sequence': came.sequence,
            'known_born_ms': known.born_ms if known else None,
            'known_sequence': known.sequence if known else None,
        }
        return [
            IncrementCounter(f'hub.announcement_{reason}'),
            WriteLog(logging.INFO, 'announcement ignored', fields),
        ]

    def _start_departure(
        self, sender: VmId, reply_id: int, came: Announcement, at: float
    ) -> list[Output]:
        departure = Departure(came.target, self._find_born(came, at))
        if self._table.departures.cover(departure.target, departure.born_ms):
            return [SendMessage(sender, AnnouncementTaken(reply_id))]
        if self._table.departures.wait(departure, Waiter(sender, reply_id, at)):
            return [DepartureReported(at, departure.target, departure.born_ms)]
        return []

    def _find_born(self, came: Announcement, at: float) -> int:
        """Return up to when the starts of a departing target leave.

        A target that brings only its name leaves with all starts up to now.
        """
        if came.born_ms:
            return came.born_ms
        known = self._table.find(came.target)
        if known is not None and known.born_ms:
            return known.born_ms
        wall_s = self._started_wall_s + at - self._started_at
        return round(wall_s * _MS)

    def _finish_departure(
        self, departure: Departure, at: float
    ) -> list[Output]:
        waiters = self._table.departures.take_waiters(departure)
        if waiters:
            known = self._table.find(departure.target)
            waited_s = at - waiters[0].since
            self._lines.append(_describe_departure(departure, known, waited_s))
        self._table.depart(departure, at)
        return [
            SendMessage(waiter.vm, AnnouncementTaken(waiter.reply_id))
            for waiter in waiters
        ]

    def _sweep(self, at: float) -> list[Output]:
        outputs = self._forget_vms(at)
        outputs.append(SetTimer(PART, _TIMER, at + _SWEEP_S))
        if self._find_authority(at) is not None:
            self._table.sweep(at)
        return outputs


def _describe_departure(
    departure: Departure, known: Announcement | None, waited_s: float
) -> WriteLog:
    """Return the line for a departure that is acknowledged.

    What the table holds of the target decides whether VMs are told.
    """
    fields = {
        'target': departure.target,
        'born_ms': departure.born_ms,
        'known_born_ms': known.born_ms if known else None,
        'known_service': known.service if known else None,
        'known_state': known.state.value if known else None,
        'waited_ms': round(waited_s * _MS),
    }
    return WriteLog(logging.INFO, 'departure accepted', fields)


__all__ = ('PART', 'AttachmentServer')
