"""Client side of the attachment: polls the control leader."""

from __future__ import annotations

import logging
import random
from typing import Final

import attrs

from ..configuration.model import Configuration
from ..configuration.places import Places
from ..configuration.settings import Settings
from ..core.effects import (
    Effect,
    IncrementCounter,
    PlacePeer,
    SendMessage,
    SetTimer,
    WriteLog,
)
from ..core.events import (
    Event,
    MessageReceived,
    SeedsChanged,
    Started,
    TargetState,
    TimerFired,
)
from ..core.notices import (
    ConfigurationChanged,
    FleetSizeChanged,
    LeadershipChanged,
    Notice,
    RoundTripCompleted,
    TargetChanged,
)
from ..ownership import OwnerContact
from ..types import Output, TargetId, VmId
from .content import apply_content
from .messages import Departure, LeaderHint, Poll, PollReply, TargetRow

COMPONENT: Final = 'attachment'
CONTROL_GROUP: Final = 'control'
_TIMER: Final = 'poll'
# A change reaches all VMs within this interval, a round trip (60 ms between
# regions) and the processing time. A poll and its reply take 120 bytes.
POLL_INTERVAL_S: Final = 0.35
# A VM serves no requests before its first configuration, so it polls faster.
_FIRST_POLL_INTERVAL_S: Final = 0.1
# Allows for the loss of two polls, each with its round trip, before other VMs
# are polled.
LEADER_TIMEOUT_S: Final = 0.8
# Other control VMs polled at the same time while the leader is unknown.
_CANDIDATES_PER_POLL: Final = 2
# A target missing from the table of a new leader may not have announced itself
# to it yet.
_UNCONFIRMED_TIMEOUT_S: Final = 20.0


class AttachmentClient:
    """Polls the leader, and notifies the other components of changes.

    Parameters
    ----------
    settings
        Identity of this VM, and the seeds: VMs that may run control replicas.
    rng
        Randomizes the first poll and the choice of candidates.

    """

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        """Create a client that knows no leader."""
        self.leader: VmId | None = None
        self.vm_count = 0
        self._rank = 0
        self.last_contact = OwnerContact()
        self.rows: dict[TargetId, TargetRow] = {}
        self._vm = settings.vm_id
        self._region = settings.vm.region
        self._data_centre = settings.vm.data_centre
        self._places = Places(self._data_centre, dict(settings.places))
        self._is_control = 'control' in settings.vm.roles
        self._rng = rng
        self._seeds = settings.control.seeds
        self._configuration = Configuration()
        self._members: tuple[str, ...] = ()
        self._members_index = 0
        self._term = 0
        self._table_term = 0
        self._position = 0
        self._replied_at = float('-inf')
        # Time of the latest reply, on the clock of the leader.
        self._answered_at: float = 0
        self._polled_at: dict[str, float] = {}
        self._unconfirmed: dict[TargetId, float] = {}

    def handle(self, event: Event | Notice) -> list[Output]:
        """Apply one event; see ``Component``."""
        match event:
            case Started():
                first = event.at + self._rng.random() * _FIRST_POLL_INTERVAL_S
                return [SetTimer(COMPONENT, _TIMER, first)]
            case TimerFired():
                return self._handle_timer(event.at)
            case SeedsChanged(seeds=seeds):
                self._seeds = seeds
            case MessageReceived(sender=sender, message=PollReply() as reply):
                return self._handle_reply(sender, reply, event.at)
            case MessageReceived(message=LeaderHint() as hint):
                return self._handle_hint(hint, event.at)
        return []

    def _handle_timer(self, at: float) -> list[Output]:
        interval_s = (
            POLL_INTERVAL_S
            if self._configuration.version
            else _FIRST_POLL_INTERVAL_S
        )
        outputs: list[Output] = [SetTimer(COMPONENT, _TIMER, at + interval_s)]
        outputs.extend(self._expire(at))
        if at - self._replied_at > LEADER_TIMEOUT_S:
            outputs.extend(self._drop_leader(at))
            for vm in self._choose_candidates():
                outputs.append(self._poll(vm, at))
        elif self.leader is not None:
            outputs.append(self._poll(self.leader, at))
        return outputs

    def _drop_leader(self, at: float) -> list[Output]:
        if self.leader is None:
            return []
        lost = self.leader
        self.leader = None
        return [
            LeadershipChanged(at, CONTROL_GROUP, None),
            IncrementCounter('attachment.leader_lost'),
            WriteLog(
                logging.WARNING,
                'control leader lost',
                {
                    'leader': lost,
                    'last_reply_age_s': round(at - self._replied_at, 3),
                },
            ),
        ]

    def _choose_candidates(self) -> list[VmId]:
        known = sorted({*self._seeds, *self._members} - {self._vm})
        count = min(_CANDIDATES_PER_POLL, len(known))
        chosen = [VmId(vm) for vm in self._rng.sample(known, count)]
        # A control VM also polls itself, because a new leader needs the
        # configuration before it owns limits.
        return [self._vm, *chosen] if self._is_control else chosen

    def _poll(self, vm: VmId, at: float) -> Effect:
        self._polled_at[vm] = at
        poll = Poll(
            at,
            self._configuration.content_version,
            self._table_term,
            self._position,
            self._members_index,
            '' if vm == self.leader else self._data_centre,
            self._answered_at,
        )
        return SendMessage(vm, poll)

    def _handle_hint(self, hint: LeaderHint, at: float) -> list[Output]:
        self._members = hint.members or self._members
        lost = at - self._replied_at > LEADER_TIMEOUT_S
        recently_polled = (
            at - self._polled_at.get(hint.leader, 0) < POLL_INTERVAL_S
        )
        if not (hint.leader and lost) or recently_polled:
            return []
        return [self._poll(VmId(hint.leader), at)]

    def _handle_reply(
        self, sender: VmId, reply: PollReply, at: float
    ) -> list[Output]:
        if reply.term < self._term:
            return []
        self._record_contact(reply, at)
        if reply.members:
            self._members = reply.members
            self._members_index = reply.members_index
        count_changes = self._apply_vm_count(reply, at)
        self._replied_at = max(self._replied_at, reply.sent_at)
        confirmed_at = reply.sent_at - reply.age_s
        outputs: list[Output] = [
            *self._place(sender, reply.data_centre),
            *count_changes,
            *self._apply_configuration(reply, at),
            *self._apply_rows(reply, at),
            RoundTripCompleted(at, sender, self._region, confirmed_at),
        ]
        if self.leader != sender:
            self.leader = sender
            outputs.append(LeadershipChanged(at, CONTROL_GROUP, sender))
            outputs.append(
                WriteLog(
                    logging.INFO,
                    'attached to control leader',
                    {'leader': sender, 'term': reply.term},
                )
            )
        return outputs

    def _place(self, sender: VmId, data_centre: str) -> list[Output]:
        if not data_centre:
            return []
        distance = self._places.measure(self._data_centre, data_centre)
        return [PlacePeer(sender, distance.name)]

    def _record_contact(self, reply: PollReply, at: float) -> None:
        if reply.term != self._term:
            self._term = reply.term
            self._answered_at = 0
        self._answered_at = max(self._answered_at, reply.answered_at)
        self.last_contact = OwnerContact(reply.term, at)

    def _apply_vm_count(self, reply: PollReply, at: float) -> list[Output]:
        if not reply.vm_count:
            return []
        change = FleetSizeChanged(at, reply.vm_count, reply.vm_rank)
        known = (self.vm_count, self._rank)
        if known == (change.vm_count, change.rank):
            return []
        self.vm_count = change.vm_count
        self._rank = change.rank
        return [change]

    def _apply_configuration(self, reply: PollReply, at: float) -> list[Output]:
        if reply.content is None:
            return []
        newer = apply_content(self._configuration, reply.content)
        if newer is None:
            return [IncrementCounter('attachment.content_outdated')]
        self._configuration = newer
        document = newer.document
        fields = {
            'content_version': newer.content_version,
            'document': document.version if document else 0,
            'routes': len(newer.routes),
            'accounts': len(newer.accounts),
        }
        return [
            ConfigurationChanged(at, newer),
            WriteLog(logging.INFO, 'configuration in force', fields),
        ]

    def _apply_rows(self, reply: PollReply, at: float) -> list[Output]:
        is_same_table = reply.term == self._table_term
        if not (is_same_table or reply.is_full):
            return []
        if is_same_table and reply.position < self._position:
            return []
        self._table_term = reply.term
        self._position = reply.position
        outputs: list[Output] = []
        if reply.is_full:
            outputs.extend(self._mark_unconfirmed(reply, at))
        for row in reply.rows:
            outputs.extend(self._apply_row(row, at))
        for departure in reply.departed:
            outputs.extend(self._apply_departure(departure, at))
        return outputs

    def _mark_unconfirmed(self, reply: PollReply, at: float) -> list[Output]:
        """Mark the targets that are missing from a full table."""
        known = {row.announcement.target for row in reply.rows}
        missing = [target for target in self.rows if target not in known]
        for target in missing:
            self._unconfirmed.setdefault(target, at)
        if not missing:
            return []
        fields = {'term': reply.term, 'targets': missing}
        return [WriteLog(logging.INFO, 'targets unconfirmed', fields)]

    def _apply_row(self, row: TargetRow, at: float) -> list[Output]:
        target = row.announcement.target
        self._unconfirmed.pop(target, None)
        before = self.rows.get(target)
        if before == row:
            return []
        if row.silent:
            self.rows.pop(target, None)
            if before is None:
                return []
        else:
            self.rows[target] = row
        changed = TargetChanged(at, row.announcement, row.silent)
        outputs: list[Output] = [changed, _describe_target(row)]
        if before and before.announcement.service != row.announcement.service:
            # Other components index targets by service.
            outputs.insert(0, TargetChanged(at, before.announcement, True))
        return outputs

    def _apply_departure(self, departure: Departure, at: float) -> list[Output]:
        """Mark a departed target as draining.

        A row that the leader does not confirm still expires.
        """
        row = self.rows.get(departure.target)
        if row is None or row.announcement.born_ms > departure.born_ms:
            return []
        if row.announcement.state is TargetState.draining:
            return []
        leaving = attrs.evolve(row.announcement, state=TargetState.draining)
        row = TargetRow(leaving, row.silent)
        self.rows[departure.target] = row
        changed = TargetChanged(at, leaving, row.silent)
        return [changed, _describe_target(row)]

    def _expire(self, at: float) -> list[Output]:
        outputs: list[Output] = []
        for target, since in tuple(self._unconfirmed.items()):
            if at - since < _UNCONFIRMED_TIMEOUT_S:
                continue
            self._unconfirmed.pop(target)
            row = self.rows.get(target)
            if row is not None:
                expired_row = TargetRow(row.announcement, silent=True)
                outputs.extend(self._apply_row(expired_row, at))
        return outputs


def _describe_target(row: TargetRow) -> WriteLog:
    announcement = row.announcement
    fields = {
        'target': announcement.target,
        'service': announcement.service,
        'address': f'{announcement.host}:{announcement.port}',
        'state': announcement.state.value,
        'sequence': announcement.sequence,
        'silent': row.silent,
    }
    return WriteLog(logging.INFO, 'target changed', fields)


__all__ = (
    'CONTROL_GROUP',
    'LEADER_TIMEOUT_S',
    'COMPONENT',
    'POLL_INTERVAL_S',
    'AttachmentClient',
)
