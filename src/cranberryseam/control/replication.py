"""Replication of records and snapshots from the leader to a follower."""

from __future__ import annotations

import attrs
import msgspec
import xxhash

from .context import Context
from .messages import (
    AppendReply,
    AppendRequest,
    InstallSnapshot,
    SnapshotReply,
)
from .records import Member, Snapshot

# One batch is in flight at a time, so it must hold several large changes. With
# a limit below the size of a change, each change requires a round trip: with
# 64 KiB, a replica that has missed 120 changes of 140 KB takes 4.5 s to catch
# up.
MAX_BATCH_RECORDS = 64
MAX_BATCH_BYTES = 1_048_576
SNAPSHOT_CHUNK_BYTES = 262_144

# Longer than a round trip between regions plus two disk syncs.
RESEND_TIMEOUT_S = 0.3


@attrs.frozen
class _SnapshotTransfer:
    """Encoded snapshot that is being transferred."""

    index: int
    content: bytes
    checksum: int


@attrs.define
class Progress:
    """Replication progress of a follower as known to the leader.

    Parameters
    ----------
    next_index
        Index of the next record to send.
    match_index
        Index up to which the follower has all records on disk.
    last_contact_at
        Same as ``last_answered_request_at``, but before the first reply the
        time at which replication to the follower started.
    last_answered_request_at
        Time at which the latest request with a reply was sent; negative
        infinity before the first reply.

    """

    member: Member
    next_index: int
    last_contact_at: float
    last_answered_request_at: float = float('-inf')
    match_index: int = 0
    _in_flight_index: int = 0
    _sent_at: float = float('-inf')
    _transfer: _SnapshotTransfer | None = None
    _offset: int = 0

    def replicate(self, context: Context) -> None:
        """Send the next batch or chunk unless one is in flight."""
        within_timeout = context.now - self._sent_at < RESEND_TIMEOUT_S
        if within_timeout and (
            self._in_flight_index > self.match_index or self._transfer
        ):
            return
        if self.next_index <= context.log.base.index:
            self._send_chunk(context)
        elif self.match_index < context.log.last_index:
            # The first batch may be empty, because ``next_index`` starts after
            # the end of the log. The reply tells where the logs match.
            self._send_batch(context)

    def send_heartbeat(self, context: Context) -> None:
        """Send the next batch or chunk, or an empty append request."""
        sent_before = self._sent_at
        self.replicate(context)
        if self._sent_at != sent_before and self._sent_at == context.now:
            return
        match_term = context.log.term_at(self.match_index)
        previous = 0 if match_term is None else self.match_index
        context.send(
            self.member.vm,
            AppendRequest(
                context.term,
                context.disk,
                self.member.disk,
                previous,
                match_term or 0,
                min(context.commit_index, previous),
                context.now,
            ),
        )

    def handle_append_reply(self, context: Context, reply: AppendReply) -> None:
        """Advance after an accepted batch, or go back after a rejected one."""
        self._update_contact(reply)
        if reply.accepted:
            self._advance(reply.match_index)
        elif reply.previous_index == self.next_index - 1:
            retry_index = min(self.next_index - 1, reply.match_index + 1)
            # A rejection without new information isn't followed by an immediate
            # retry; otherwise both replicas would exchange messages as fast as
            # the network allows.
            if retry_index > self.match_index:
                self.next_index = retry_index
                self._in_flight_index = 0
        self.replicate(context)

    def handle_snapshot_reply(
        self, context: Context, reply: SnapshotReply
    ) -> None:
        """Send the chunk at the offset requested by the follower."""
        self._update_contact(reply)
        transfer = self._transfer
        if transfer is None or reply.index != transfer.index:
            return
        if reply.offset != self._offset:
            self._offset = min(reply.offset, len(transfer.content))
            self._send_chunk(context)

    def _update_contact(self, reply: AppendReply | SnapshotReply) -> None:
        self.last_contact_at = max(self.last_contact_at, reply.sent_at)
        self.last_answered_request_at = max(
            self.last_answered_request_at, reply.sent_at
        )

    def _advance(self, match_index: int) -> None:
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        if self._transfer and self._transfer.index <= self.match_index:
            self._transfer = None

    def _send_batch(self, context: Context) -> None:
        log = context.log
        previous = self.next_index - 1
        records = log.read_batch(
            self.next_index, MAX_BATCH_RECORDS, MAX_BATCH_BYTES
        )
        self._in_flight_index = previous + len(records)
        self._sent_at = context.now
        context.send(
            self.member.vm,
            AppendRequest(
                context.term,
                context.disk,
                self.member.disk,
                previous,
                log.term_at(previous) or 0,
                context.commit_index,
                context.now,
                records,
            ),
        )

    def _send_chunk(self, context: Context) -> None:
        if self._transfer is None:
            if context.snapshot is None:
                return
            self._transfer = _encode_snapshot(context.snapshot)
            self._offset = 0
        transfer = self._transfer
        self._sent_at = context.now
        end = self._offset + SNAPSHOT_CHUNK_BYTES
        context.send(
            self.member.vm,
            InstallSnapshot(
                context.term,
                context.disk,
                self.member.disk,
                transfer.index,
                self._offset,
                len(transfer.content),
                transfer.checksum,
                context.now,
                transfer.content[self._offset : end],
            ),
        )


def _encode_snapshot(snapshot: Snapshot) -> _SnapshotTransfer:
    content = msgspec.msgpack.encode(snapshot)
    return _SnapshotTransfer(
        snapshot.index, content, xxhash.xxh3_64_intdigest(content)
    )


__all__ = ('RESEND_TIMEOUT_S', 'Progress')
