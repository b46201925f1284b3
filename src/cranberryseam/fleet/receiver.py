"""Handlers of gossip messages."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..types import VmId
from .members import ALIVE, SUSPECT
from .messages import (
    Ack,
    Entries,
    Ping,
    PingRequest,
    PullEntries,
    PullRecords,
    PullSnapshot,
    PullWithdrawn,
    Push,
    Records,
    RenewTargets,
    Reports,
    SenderState,
    SnapshotChunk,
    Updates,
    Vouch,
    Withdrawn,
)
from .startup_quorum import PeerAnswer

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..core.messages import Message
    from .tables import Tables


class Receiver:
    """Applies messages to the tables.

    Messages may be late, duplicated or out of order.
    """

    def __init__(self, tables: Tables) -> None:
        """Register the handlers of all message types."""
        self._tables = tables
        self._handlers: dict[type, Callable[[Any, VmId], None]] = {
            Ping: self._handle_ping,
            Ack: self._handle_ack,
            PingRequest: self._handle_ping_request,
            Vouch: self._handle_vouch,
            Push: self._handle_push,
            Entries: self._handle_entries,
            PullEntries: self._send_entries,
            PullSnapshot: self._send_snapshot,
            SnapshotChunk: self._handle_chunk,
            PullRecords: self._send_records,
            Records: self._handle_records,
            PullWithdrawn: self._send_withdrawn,
            Withdrawn: self._handle_withdrawn,
            RenewTargets: self._renew_targets,
        }

    def handle(self, message: Message, sender: VmId) -> None:
        """Apply a message; other message types are ignored."""
        apply = self._handlers.get(type(message))
        if apply is not None:
            apply(message, sender)

    def _handle_ping(self, ping: Ping, sender: VmId) -> None:
        tables = self._tables
        self._merge_updates(ping.updates)
        self._process_sender_state(sender, ping.state, ping.reports)
        updates = self._select_updates(ping.state)
        claims_about_local = [
            record
            for record in ping.updates.members
            if record.name == tables.members.local_vm
        ]
        if claims_about_local:
            refutation = (tables.members.local_record, *updates.members)
            updates = Updates(refutation, updates.targets, updates.withdrawn)
        # The answer confirms the withdrawn keys received with the ping by their
        # digest. The peer records a changed digest only with a new heartbeat,
        # which this call advances.
        tables.update_derived_state()
        state = tables.state()
        tables.prober.answer_ping(sender, ping.number, state, updates)

    def _handle_ack(self, ack: Ack, sender: VmId) -> None:
        tables = self._tables
        self._merge_updates(ack.updates)
        if not tables.prober.handle_ack(sender, ack):
            return
        self._process_sender_state(sender, ack.state, ack.reports)
        if not tables.configuration_copy.synced:
            record = tables.members.members[sender].record
            answer = PeerAnswer(
                ack.state.version,
                ack.state.synced,
                'control' in record.roles,
            )
            tables.startup_quorum.record_answer(sender, answer)

    def _handle_ping_request(self, request: PingRequest, sender: VmId) -> None:
        self._process_sender_state(sender, request.state, Reports())
        prober = self._tables.prober
        state = self._tables.state()
        updates = self._select_updates(request.state)
        prober.answer_ping(sender, request.number, state, updates)
        prober.ping(VmId(request.vm), state, requester=sender)

    def _handle_vouch(self, vouch: Vouch, sender: VmId) -> None:
        self._tables.prober.handle_vouch(vouch)

    def _handle_push(self, push: Push, sender: VmId) -> None:
        self._merge_updates(push.updates)

    def _handle_entries(self, message: Entries, sender: VmId) -> None:
        tables = self._tables
        applied = tables.configuration_copy.apply_entries(
            message.first, message.entries
        )
        if applied.entries:
            tables.disseminator.push(applied, sender)
        elif message.first > tables.configuration_copy.version + 1:
            tables.configuration_copy.pull_from(sender)
        if not tables.configuration_copy.synced:
            tables.prober.ping(sender, tables.state())

    def _send_entries(self, request: PullEntries, sender: VmId) -> None:
        self._tables.configuration_copy.send_entries(sender, request)

    def _send_snapshot(self, request: PullSnapshot, sender: VmId) -> None:
        self._tables.configuration_copy.send_snapshot_chunk(sender, request)

    def _handle_chunk(self, chunk: SnapshotChunk, sender: VmId) -> None:
        self._tables.configuration_copy.receive_chunk(sender, chunk)

    def _send_records(self, request: PullRecords, sender: VmId) -> None:
        self._tables.reconciler.send_records(sender, request)

    def _handle_records(self, page: Records, sender: VmId) -> None:
        self._merge_updates(page.updates)
        self._tables.reconciler.continue_pull(sender, page)

    def _send_withdrawn(self, request: PullWithdrawn, sender: VmId) -> None:
        self._tables.withdrawals.send_page(sender, request)

    def _handle_withdrawn(self, page: Withdrawn, sender: VmId) -> None:
        added = self._tables.withdrawals.receive_page(sender, page)
        self._tables.disseminator.add_withdrawn(added)

    def _renew_targets(self, message: RenewTargets, sender: VmId) -> None:
        self._tables.targets.record_renewals(message.renewals)

    def _select_updates(self, peer_state: SenderState) -> Updates:
        own_state = self._tables.state()
        return self._tables.disseminator.select_updates(
            members=peer_state.members != own_state.members,
            targets=peer_state.targets != own_state.targets,
            withdrawn=peer_state.withdrawn != own_state.withdrawn,
        )

    def _merge_updates(self, updates: Updates) -> None:
        tables = self._tables
        members = tables.members
        for record in updates.members:
            if members.merge(record):
                # The stored record differs from the received one if this VM
                # refuted a record of itself, or marked a member reported as
                # dead only as suspect.
                stored = members.find(record.name) or record
                tables.disseminator.add_member(stored)
                if stored.status == SUSPECT:
                    tables.disseminator.notify_suspect(stored)
            if record.status != ALIVE:
                tables.targets.take_over_targets()
        for target in updates.targets:
            tables.targets.merge(target)
        added = tables.withdrawals.add(updates.withdrawn)
        tables.disseminator.add_withdrawn(added)

    def _process_sender_state(
        self, sender: VmId, state: SenderState, reports: Reports
    ) -> None:
        """Record a sender's state and reports; pull what is missing here."""
        tables = self._tables
        now = tables.outbox.now
        # Peers may report the heartbeat of an earlier run of this VM.
        own_heartbeat = tables.reports.merge_reports(
            reports, tables.members.local_vm, now
        )
        if own_heartbeat > tables.state().heartbeat:
            tables.advance_heartbeat(own_heartbeat)
        member = tables.members.members.get(sender)
        if member is None:
            return
        tables.reports.record_state(sender, state, now)
        tables.reconciler.compare(sender, member.record.region, state)
        tables.reconciler.compare_withdrawn(
            sender, state.withdrawn, tables.withdrawals.digest
        )
        if state.version > tables.configuration_copy.version:
            tables.configuration_copy.pull_from(sender)


__all__ = ('Receiver',)
