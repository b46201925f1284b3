"""Server side of the attachment: the table of targets and poll replies."""

from __future__ import annotations

import logging
import math
from collections.abc import Mapping, Sequence
from typing import Final, Protocol

import attrs

from ..configuration.entries import TargetDeparted
from ..configuration.places import Places
from ..configuration.settings import Settings
from ..control.replica import LeaderStatus
from ..core.commands import OutcomeUnknown
from ..core.effects import (
    AnswerAnnouncement,
    IncrementCounter,
    PlacePeer,
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
from ..ownership import ContactLog
from ..types import Output, TargetId, VmId
from .content import Content, ContentHistory
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
from .owners import LEADER_STATUS_TIMEOUT_S
from .table import TargetTable

COMPONENT: Final = 'hub'
_TIMER: Final = 'sweep'
_SWEEP_INTERVAL_S: Final = 0.5
# Time within which VMs that lost their leader find the new one.
_VM_COUNT_DELAY_S: Final = 1.5
# A VM that has not polled for this long polls another control VM.
_VM_TIMEOUT_S: Final = 3.0
# Less than the interval of polls of a VM that has a configuration.
_FULL_INTERVAL_S: Final = 0.3
_MS_PER_S: Final = 1000


class ControlReplica(Protocol):
    """Interface of the control replica of this VM."""

    @property
    def leader_vm(self) -> VmId | None:
        """VM of the leader that the replica follows."""

    def find_leader_status(self) -> LeaderStatus | None:
        """Return the status of the replica as leader, None if it isn't."""

    @property
    def members_index(self) -> int:
        """Version of the list of replicas, greater than 0."""

    def list_members(self) -> tuple[VmId, ...]:
        """Return the VMs of all replicas."""


class FollowerTable(Protocol):
    """Copy of the table that this VM received as a follower."""

    @property
    def rows(self) -> Mapping[TargetId, TargetRow]:
        """Rows by target."""


@attrs.frozen
class _Changes:
    """Part of a reply to a poll; see ``PollReply``."""

    position: int
    rows: tuple[TargetRow, ...] = ()
    is_full: bool = False
    content: Content | None = None
    departed: tuple[Departure, ...] = ()


@attrs.define(eq=False)
class _SendLimit:
    """Limits how often each starting VM is sent the same large part."""

    _sent_at: dict[VmId, float] = attrs.field(factory=dict)

    def acquire(self, vm: VmId, at: float) -> bool:
        """Return whether the part may be sent now, and record that it is."""
        if at - self._sent_at.get(vm, -math.inf) < _FULL_INTERVAL_S:
            return False
        self._sent_at[vm] = at
        return True

    def remove(self, vm: VmId) -> None:
        """Forget a VM."""
        self._sent_at.pop(vm, None)

    def clear(self) -> None:
        """Forget all VMs."""
        self._sent_at.clear()


class AttachmentServer:
    """Maintains the table of targets while this VM leads the control log.

    Parameters
    ----------
    settings
        Name of this VM, and the regions of data centres.
    replica
        The control replica of this VM.
    follower_table
        Table that this VM received as a follower.
    contacts
        Records the polls, for the owners of shared state on this VM.

    """

    def __init__(
        self,
        settings: Settings,
        replica: ControlReplica,
        follower_table: FollowerTable,
        contacts: ContactLog,
    ) -> None:
        """Create a server with an empty table."""
        self._contacts = contacts
        self._vm = settings.vm_id
        self._places = Places(settings.vm.data_centre, dict(settings.places))
        self._replica = replica
        self._follower_table = follower_table
        self._term = 0
        self._table = TargetTable()
        self._started_at: float = 0
        self._started_wall_s: float = 0
        self._polled_at: dict[VmId, float] = {}
        # Computed when it is needed after a VM has joined or left.
        self._ranks: dict[VmId, int] = {}
        self._content_history = ContentHistory()
        self._table_limit = _SendLimit()
        self._content_limit = _SendLimit()
        self._log_lines: list[WriteLog] = []

    def handle(self, event: Event | Notice) -> Sequence[Output]:
        """Apply one event or notice; see ``Component``."""
        outputs = [*self._apply(event), *self._log_lines]
        self._log_lines.clear()
        return outputs

    def _apply(self, event: Event | Notice) -> list[Output]:
        match event:
            case Started(wall_s=wall_s):
                self._started_at = event.at
                self._started_wall_s = wall_s
                return [
                    SetTimer(COMPONENT, _TIMER, event.at + _SWEEP_INTERVAL_S)
                ]
            case TimerFired():
                return self._sweep(event.at)
            case TargetAnnounced():
                return self._forward_announcement(event)
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
                self._record_contact(sender, poll, at)
                joined = self._record_vm(sender, poll.data_centre, at)
                reply = self._answer_poll(sender, poll, at)
                return [*joined, SendMessage(sender, reply)]
            case PassedAnnouncement(
                reply_id=reply_id, announcement=announcement
            ):
                return self._process_announcement(
                    sender, reply_id, announcement, at
                )
            case AnnouncementTaken(reply_id=reply_id):
                return [AnswerAnnouncement(reply_id, None)]
        return []

    def _count_vms(self, leader_status: LeaderStatus, at: float) -> int:
        """Return the number of VMs, 0 until all VMs had time to poll.

        A count that is too low would let each VM use too much of a limit.
        """
        if (
            at - max(leader_status.elected_at, self._started_at)
            < _VM_COUNT_DELAY_S
        ):
            return 0
        return len(self._polled_at)

    def _find_rank(self, vm: VmId) -> int:
        """Return the rank of a VM by its name."""
        if not self._ranks:
            names = sorted(self._polled_at)
            self._ranks = {name: rank for rank, name in enumerate(names)}
        return self._ranks[vm]

    def _record_vm(self, vm: VmId, data_centre: str, at: float) -> list[Output]:
        known = vm in self._polled_at
        self._polled_at[vm] = at
        if not known:
            self._ranks.clear()
        if known and not data_centre:
            return []
        region = self._places.regions.get(data_centre, '')
        status = MemberStatus.alive
        return [
            MemberChanged(at, vm, region, status, data_centre),
            *self._place(vm, data_centre),
        ]

    def _place(self, vm: VmId, data_centre: str) -> list[Output]:
        if not data_centre:
            return []
        distance = self._places.measure(self._places.own, data_centre)
        return [PlacePeer(vm, distance.name)]

    def _record_contact(self, vm: VmId, poll: Poll, at: float) -> None:
        if self._find_leader_status(at) is None:
            return
        in_term = poll.term == self._term and poll.answered_at
        # A VM without a reply in this term holds nothing from this owner.
        self._contacts.record(vm, at, poll.answered_at if in_term else at)

    def _remove_expired_vms(self, at: float) -> list[Output]:
        outputs: list[Output] = []
        for vm, polled_at in tuple(self._polled_at.items()):
            if at - polled_at > _VM_TIMEOUT_S:
                self._polled_at.pop(vm)
                self._table_limit.remove(vm)
                self._content_limit.remove(vm)
                self._ranks.clear()
                outputs.append(MemberChanged(at, vm, '', MemberStatus.dead))
        return outputs

    def _find_leader_status(self, at: float) -> LeaderStatus | None:
        """Return the confirmed leader status; load the table in a new term."""
        leader_status = self._replica.find_leader_status()
        if (
            leader_status is None
            or at - leader_status.confirmed_at > LEADER_STATUS_TIMEOUT_S
        ):
            return None
        if leader_status.term != self._term:
            self._take_over(leader_status, at)
        return leader_status

    def _take_over(self, leader_status: LeaderStatus, at: float) -> None:
        self._term = leader_status.term
        self._contacts.clear()
        self._table_limit.clear()
        self._content_limit.clear()
        departed = leader_status.configuration.departed
        self._table.restore(self._follower_table.rows, departed, at)
        fields = {
            'term': self._term,
            'targets': len(self._table),
            'departed': len(self._table.departures),
        }
        self._log_lines.append(
            WriteLog(logging.INFO, 'table of targets taken over', fields)
        )

    def _answer_poll(
        self, vm: VmId, poll: Poll, at: float
    ) -> PollReply | LeaderHint:
        leader_status = self._find_leader_status(at)
        if leader_status is None:
            leader = self._replica.leader_vm
            hint = '' if leader in {None, self._vm} else str(leader)
            return LeaderHint(hint, self._replica.list_members())
        changes = self._find_changes(vm, poll, leader_status, at)
        index = self._replica.members_index
        members: tuple[VmId, ...] = ()
        if poll.members_index != index:
            members = self._replica.list_members()
        return PollReply(
            sent_at=poll.sent_at,
            age_s=max(0, at - leader_status.confirmed_at),
            term=self._term,
            position=changes.position,
            members_index=index,
            vm_count=self._count_vms(leader_status, at),
            members=members,
            rows=changes.rows,
            is_full=changes.is_full,
            content=changes.content,
            departed=changes.departed,
            answered_at=at,
            vm_rank=self._find_rank(vm),
            data_centre=self._places.own if poll.data_centre else '',
        )

    def _find_changes(
        self, vm: VmId, poll: Poll, leader_status: LeaderStatus, at: float
    ) -> _Changes:
        """Return what a VM lacks, without large parts that it was just sent.

        A VM without a configuration polls again before the first reply can
        arrive, and all VMs may start at the same time.
        """
        # Positions are only comparable within one term.
        is_full = poll.term != self._term
        after = 0 if is_full else poll.position
        content = self._content_history.find(
            leader_status.configuration, poll.content_version
        )
        if not poll.content_version:
            if content is not None and not self._content_limit.acquire(vm, at):
                content = None
            if is_full and not self._table_limit.acquire(vm, at):
                # With a newer position the VM would never get the changes
                # before it.
                return _Changes(after, content=content)
        return _Changes(
            self._table.position,
            self._table.list_rows(after),
            is_full,
            content,
            self._table.departures.list_after(after),
        )

    def _forward_announcement(self, event: TargetAnnounced) -> list[Output]:
        leader = self._replica.leader_vm
        if leader is None:
            return [AnswerAnnouncement(event.reply_id, OutcomeUnknown())]
        forwarded = PassedAnnouncement(event.reply_id, event.announcement)
        return [SendMessage(leader, forwarded)]

    def _process_announcement(
        self, sender: VmId, reply_id: int, announcement: Announcement, at: float
    ) -> list[Output]:
        """Process an announcement; send no answer unless this VM leads."""
        leader_status = self._find_leader_status(at)
        if leader_status is None:
            return [IncrementCounter('hub.announcement_without_authority')]
        if announcement.state is TargetState.draining:
            return self._start_departure(sender, reply_id, announcement, at)
        ignore_reason = self._find_ignore_reason(announcement, leader_status)
        if not ignore_reason:
            self._table.update(announcement, at)
        acknowledgement = SendMessage(sender, AnnouncementTaken(reply_id))
        return [
            acknowledgement,
            *self._describe_ignored(announcement, ignore_reason),
        ]

    def _find_ignore_reason(
        self, announcement: Announcement, leader_status: LeaderStatus
    ) -> str:
        """Return why an announcement is ignored, empty if it is applied."""
        services = leader_status.configuration.services
        if services and announcement.service not in services:
            # The service is not configured, so the announcement is not from
            # a target of this fleet.
            return 'unknown_service'
        if self._table.is_outdated(announcement):
            return 'outdated'
        return (
            '' if self._table.claim_address(announcement) else 'address_taken'
        )

    def _describe_ignored(
        self, announcement: Announcement, reason: str
    ) -> list[Output]:
        if not reason:
            return []
        known = self._table.find(announcement.target)
        fields = {
            'target': announcement.target,
            'reason': reason,
            'born_ms': announcement.born_ms,
            'sequence': announcement.sequence,
            'known_born_ms': known.born_ms if known else None,
            'known_sequence': known.sequence if known else None,
        }
        return [
            IncrementCounter(f'hub.announcement_{reason}'),
            WriteLog(logging.INFO, 'announcement ignored', fields),
        ]

    def _start_departure(
        self, sender: VmId, reply_id: int, announcement: Announcement, at: float
    ) -> list[Output]:
        departure = Departure(
            announcement.target, self._find_departure_time(announcement, at)
        )
        if self._table.departures.covers(departure.target, departure.born_ms):
            return [SendMessage(sender, AnnouncementTaken(reply_id))]
        if self._table.departures.add_waiter(
            departure, Waiter(sender, reply_id, at)
        ):
            return [DepartureReported(at, departure.target, departure.born_ms)]
        return []

    def _find_departure_time(
        self, announcement: Announcement, at: float
    ) -> int:
        """Return the latest start time that a departure applies to.

        A departure with only the name of the target applies to all its starts
        until now.
        """
        if announcement.born_ms:
            return announcement.born_ms
        known = self._table.find(announcement.target)
        if known is not None and known.born_ms:
            return known.born_ms
        wall_s = self._started_wall_s + at - self._started_at
        return round(wall_s * _MS_PER_S)

    def _finish_departure(
        self, departure: Departure, at: float
    ) -> list[Output]:
        waiters = self._table.departures.pop_waiters(departure)
        if waiters:
            known = self._table.find(departure.target)
            waited_s = at - waiters[0].since
            self._log_lines.append(
                _describe_departure(departure, known, waited_s)
            )
        self._table.depart(departure, at)
        return [
            SendMessage(waiter.vm, AnnouncementTaken(waiter.reply_id))
            for waiter in waiters
        ]

    def _sweep(self, at: float) -> list[Output]:
        outputs = self._remove_expired_vms(at)
        outputs.append(SetTimer(COMPONENT, _TIMER, at + _SWEEP_INTERVAL_S))
        if self._find_leader_status(at) is not None:
            self._table.sweep(at)
            self._contacts.forget_lost(at)
        return outputs


def _describe_departure(
    departure: Departure, known: Announcement | None, waited_s: float
) -> WriteLog:
    """Return the log line of an acknowledged departure.

    It includes what the table knows of the target, because that determines
    whether VMs are notified.
    """
    fields = {
        'target': departure.target,
        'born_ms': departure.born_ms,
        'known_born_ms': known.born_ms if known else None,
        'known_service': known.service if known else None,
        'known_state': known.state.value if known else None,
        'waited_ms': round(waited_s * _MS_PER_S),
    }
    return WriteLog(logging.INFO, 'departure accepted', fields)


__all__ = ('COMPONENT', 'AttachmentServer')
