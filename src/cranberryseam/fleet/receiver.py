"""Messages from other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..types import VmId
from .members import ALIVE, SUSPECT
from .messages import (
    Ack,
    Entries,
    News,
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
    Vouch,
    Withdrawn,
)
from .start import PeerAnswer

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..core.messages import Message
    from .tables import Tables


class Receiver:
    """Applies each message to the tables.

    All of them may be late, repeated or out of order.
    """

    def __init__(self, tables: Tables) -> None:
        """Serve a set of tables."""
        self._tables = tables
        self._handlers: dict[type, Callable[[Any, VmId], None]] = {
            Ping: self._take_ping,
            Ack: self._take_ack,
            PingRequest: self._take_request,
            Vouch: self._take_vouch,
            Push: self._take_push,
            Entries: self._take_entries,
            PullEntries: self._pull_entries,
            PullSnapshot: self._pull_snapshot,
            SnapshotChunk: self._take_chunk,
            PullRecords: self._pull_records,
            Records: self._take_records,
            PullWithdrawn: self._pull_withdrawn,
            Withdrawn: self._take_withdrawn,
            RenewTargets: self._renew_targets,
        }

    def take(self, message: Message, sender: VmId) -> None:
        """Apply a message; those of other parts are ignored."""
        apply = self._handlers.get(type(message))
        if apply is not None:
            apply(message, sender)

    def _take_ping(self, ping: Ping, sender: VmId) -> None:
        tables = self._tables
        self._merge(ping.news)
        self._take_state(sender, ping.state, ping.reports)
        news = self._choose_news(ping.state)
        accused = [
            record
            for record in ping.news.members
            if record.name == tables.members.my_vm
        ]
        if accused:
            refuted = (tables.members.me, *news.members)
            news = News(refuted, news.targets, news.withdrawn)
        # The answer must confirm withdrawals that came with the ping.
        tables.finish()
        state = tables.state()
        tables.prober.answer_ping(sender, ping.number, state, news)

    def _take_ack(self, ack: Ack, sender: VmId) -> None:
        tables = self._tables
        self._merge(ack.news)
        if not tables.prober.take_ack(sender, ack):
            return
        self._take_state(sender, ack.state, ack.reports)
        if not tables.copy.settled:
            record = tables.members.members[sender].record
            answer = PeerAnswer(
                ack.state.version,
                ack.state.settled,
                'control' in record.roles,
            )
            tables.start.note(sender, answer)

    def _take_request(self, request: PingRequest, sender: VmId) -> None:
        self._take_state(sender, request.state, Reports())
        prober = self._tables.prober
        state = self._tables.state()
        news = self._choose_news(request.state)
        prober.answer_ping(sender, request.number, state, news)
        prober.ping(VmId(request.vm), state, asker=sender)

    def _take_vouch(self, vouch: Vouch, sender: VmId) -> None:
        self._tables.prober.take_vouch(vouch)

    def _take_push(self, push: Push, sender: VmId) -> None:
        self._merge(push.news)

    def _take_entries(self, message: Entries, sender: VmId) -> None:
        tables = self._tables
        applied = tables.copy.take_entries(message.first, message.entries)
        if applied.entries:
            tables.spreader.push(applied, sender)
        elif message.first > tables.copy.version + 1:
            tables.copy.pull_from(sender)
        if not tables.copy.settled:
            tables.prober.ping(sender, tables.state())

    def _pull_entries(self, request: PullEntries, sender: VmId) -> None:
        self._tables.copy.answer_pull(sender, request)

    def _pull_snapshot(self, request: PullSnapshot, sender: VmId) -> None:
        self._tables.copy.answer_snapshot_pull(sender, request)

    def _take_chunk(self, chunk: SnapshotChunk, sender: VmId) -> None:
        self._tables.copy.take_chunk(sender, chunk)

    def _pull_records(self, request: PullRecords, sender: VmId) -> None:
        self._tables.reconciler.answer_pull(sender, request)

    def _take_records(self, page: Records, sender: VmId) -> None:
        self._merge(page.news)
        self._tables.reconciler.continue_pull(sender, page)

    def _pull_withdrawn(self, request: PullWithdrawn, sender: VmId) -> None:
        self._tables.withdrawals.answer_pull(sender, request)

    def _take_withdrawn(self, page: Withdrawn, sender: VmId) -> None:
        added = self._tables.withdrawals.take_page(sender, page)
        self._tables.spreader.add_withdrawn(added)

    def _renew_targets(self, message: RenewTargets, sender: VmId) -> None:
        self._tables.targets.renew(message.renewals)

    def _choose_news(self, theirs: SenderState) -> News:
        own = self._tables.state()
        return self._tables.spreader.choose_news(
            members=theirs.members != own.members,
            targets=theirs.targets != own.targets,
            withdrawn=theirs.withdrawn != own.withdrawn,
        )

    def _merge(self, news: News) -> None:
        tables = self._tables
        members = tables.members
        for record in news.members:
            if members.merge(record):
                # Refuted or softened records are replaced.
                taken = members.find(record.name) or record
                tables.spreader.add_member(taken)
                if taken.status == SUSPECT:
                    tables.spreader.accuse(taken)
            if record.status != ALIVE:
                tables.targets.take_over()
        for target in news.targets:
            tables.targets.merge(target)
        added = tables.withdrawals.add(news.withdrawn)
        tables.spreader.add_withdrawn(added)

    def _take_state(
        self, sender: VmId, state: SenderState, reports: Reports
    ) -> None:
        tables = self._tables
        at = tables.outbox.at
        own_beat = tables.reports.take_reports(
            reports, tables.members.my_vm, at
        )
        if own_beat > tables.state().beat:
            tables.raise_beat(own_beat)
        member = tables.members.members.get(sender)
        if member is None:
            return
        tables.reports.take_state(sender, state, at)
        tables.reconciler.compare(sender, member.record.region, state)
        tables.reconciler.compare_withdrawn(
            sender, state.withdrawn, tables.withdrawals.digest
        )
        if state.version > tables.copy.version:
            tables.copy.pull_from(sender)


__all__ = ('Receiver',)
