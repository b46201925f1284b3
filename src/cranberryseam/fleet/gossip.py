"""Event handler of the gossip protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..core.commands import (
    Command,
    CommandAnswer,
    DrainVm,
    ShowFleet,
    ShowLists,
    WithdrawKey,
)
from ..core.effects import AnswerAnnouncement, AnswerCommand
from ..core.events import (
    CommandReceived,
    Event,
    MessageReceived,
    Started,
    StopRequested,
    TargetAnnounced,
    TimerFired,
)
from ..core.notices import EntryCommitted, Notice, SnapshotInstalled
from ..types import VmId
from .announcements import check_announcement
from .answers import FleetView, describe_lists
from .outbox import COMPONENT
from .prober import JOIN_PERIOD_S
from .receiver import Receiver
from .tables import Tables
from .targets import CHECK_INTERVAL_S

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ..configuration.settings import Settings
    from ..types import Output

# Later, a VM without initial synchronisation pings at the usual rate only.
_JOIN_LIMIT_S = 10.0


class Gossip:
    """Membership, configuration, withdrawals and targets by gossip.

    Parameters
    ----------
    settings
        Settings of this VM.
    rng
        Source of all random choices.

    """

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        """Start with the settings only."""
        self._rng = rng
        self._tables = Tables(settings, rng)
        self._receiver = Receiver(self._tables)
        # Looked up by type, because this runs for every event of a request and
        # most events are not handled here.
        self._handlers: dict[type, Callable[[Any], None]] = {
            Started: self._start,
            TimerFired: self._run_timer,
            MessageReceived: self._receive,
            StopRequested: self._stop,
            EntryCommitted: self._apply_entry,
            SnapshotInstalled: self._apply_snapshot,
            TargetAnnounced: self._announce,
            CommandReceived: self._run_command,
        }
        self._timers = {
            'period': self._run_period,
            'retry': self._retry,
            'targets': self._check_targets,
            'join': self._join,
        }

    def handle(self, event: Event | Notice) -> list[Output]:
        """Apply one event or notice."""
        apply = self._handlers.get(type(event))
        if apply is None:
            return []
        tables = self._tables
        tables.outbox.now = event.at
        apply(event)
        tables.update_derived_state()
        sender: VmId | None = None
        if isinstance(event, MessageReceived):
            sender = event.sender
        tables.disseminator.flush(sender)
        return tables.outbox.drain()

    def _start(self, event: Started) -> None:
        tables = self._tables
        tables.started_at = event.at
        tables.members.start(int(event.wall_s))
        tables.advance_heartbeat(int(event.wall_s))
        # VMs that start together must not ping at the same time.
        tables.outbox.set_timer('period', self._rng.random())
        tables.outbox.set_timer('targets', CHECK_INTERVAL_S)
        if tables.members.seeds:
            self._join()
        else:
            tables.configuration_copy.mark_synced()

    def _run_timer(self, event: TimerFired) -> None:
        run_handler = self._timers.get(event.name)
        if event.component == COMPONENT and run_handler is not None:
            run_handler()

    def _receive(self, event: MessageReceived) -> None:
        self._receiver.handle(event.message, event.sender)

    def _stop(self, event: StopRequested) -> None:
        self._leave()

    def _apply_entry(self, notice: EntryCommitted) -> None:
        copy = self._tables.configuration_copy
        applied = copy.apply_entries(notice.version, (notice.entry,))
        if applied.entries:
            self._tables.disseminator.push(applied, None)
        if copy.version >= notice.version:
            # A leader with a quorum reported this commit, so it is current.
            copy.mark_synced()

    def _apply_snapshot(self, notice: SnapshotInstalled) -> None:
        self._tables.configuration_copy.apply_snapshot(notice.configuration)

    def _announce(self, event: TargetAnnounced) -> None:
        copy = self._tables.configuration_copy
        in_force = copy.configuration if copy.in_force else None
        checked = check_announcement(event, in_force)
        failure = (
            self._tables.targets.announce(checked.ok)
            if checked.is_ok()
            else checked.error
        )
        if failure:
            self._tables.outbox.count('announcement_refused')
        self._tables.outbox.add(AnswerAnnouncement(event.reply_id, failure))

    def _run_command(self, event: CommandReceived) -> None:
        answer = self._answer(event.command)
        if answer is not None:
            effect = AnswerCommand(event.command_id, answer)
            self._tables.outbox.add(effect)

    def _answer(self, command: Command) -> CommandAnswer | None:
        tables = self._tables
        version = tables.configuration_copy.in_force
        match command:
            case WithdrawKey():
                return CommandAnswer(version, self._withdraw(command))
            case ShowFleet():
                return CommandAnswer(version, self._view().describe_fleet())
            case ShowLists():
                configuration = tables.configuration_copy.configuration
                body = describe_lists(
                    configuration, tables.withdrawals.__contains__
                )
                return CommandAnswer(configuration.lists_version, body)
            case DrainVm():
                self._leave()
        return None

    def _withdraw(self, command: WithdrawKey) -> dict[str, object]:
        tables = self._tables
        added = tables.withdrawals.add((command.key_id,))
        tables.disseminator.add_withdrawn(added)
        tables.disseminator.request_global_push()
        tables.update_derived_state()
        confirmed, unconfirmed = self._view().split_by_confirmation()
        # Direct pings let a second command see the confirmations; gossip alone
        # takes minutes to collect them from 850 VMs.
        for name in unconfirmed:
            if tables.members.members[VmId(name)].is_live:
                tables.prober.ping(
                    VmId(name), tables.state(), withdrawn=(command.key_id,)
                )
        return {
            'key_id': command.key_id,
            'known_here': command.key_id
            in tables.configuration_copy.configuration.keys,
            'confirmed': confirmed,
            'unconfirmed': unconfirmed,
        }

    def _view(self) -> FleetView:
        tables = self._tables
        return FleetView(
            members=tables.members,
            reports=tables.reports,
            withdrawals=tables.withdrawals,
            now=tables.outbox.now,
            version=tables.configuration_copy.version,
        )

    def _leave(self) -> None:
        members = self._tables.members
        members.leave()
        self._tables.disseminator.add_member(members.local_record)

    def _run_period(self) -> None:
        tables = self._tables
        tables.advance_heartbeat(0)
        for vm in tables.members.remove_expired():
            tables.reports.remove(vm)
        for member in tables.members.members.values():
            if not member.is_live:
                tables.startup_quorum.discard_answer(member.vm)
        tables.targets.end_period()
        self._resume_transfer()
        tables.prober.run_period(tables.state())

    def _resume_transfer(self) -> None:
        tables = self._tables
        source = tables.configuration_copy.transfer_source
        member = tables.members.members.get(source) if source else None
        tables.configuration_copy.resume_transfer(
            bool(member and member.is_live)
        )

    def _retry(self) -> None:
        self._tables.prober.retry_probes(self._tables.state())

    def _check_targets(self) -> None:
        self._tables.targets.check()
        self._tables.outbox.set_timer('targets', CHECK_INTERVAL_S)

    def _join(self) -> None:
        tables = self._tables
        waited_s = tables.outbox.now - tables.started_at
        if tables.configuration_copy.synced or waited_s > _JOIN_LIMIT_S:
            return
        tables.prober.join(tables.state())
        tables.outbox.set_timer('join', JOIN_PERIOD_S)


__all__ = ('Gossip',)
