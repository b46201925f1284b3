"""Sends records and snapshots from the leader to one follower."""

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

# One batch is on its way at a time. With 64 KiB a replica that missed 120
# changes of 140 KB each needed 4.5 s to catch up, one round trip for each.
MOST_RECORDS = 64
MOST_BYTES = 1_048_576
CHUNK_BYTES = 262_144

# Longer than a round trip between regions and two disk syncs.
RESEND_S = 0.3


@attrs.frozen
class _Transfer:
    """A snapshot on its way, encoded once."""

    index: int
    content: bytes
    checksum: int


@attrs.define
class Progress:
    """What the leader knows of a follower.

    Parameters
    ----------
    next_index
        First record to send.
    match_index
        The follower has all records up to here on disk.
    heard_at
        Time at which the newest request that it answered was sent; at first
        the time at which the leader began to wait for it.
    answered_at
        The same, without a time before the first answer.

    """

    member: Member
    next_index: int
    heard_at: float
    answered_at: float = float('-inf')
    match_index: int = 0
    _awaited: int = 0
    _sent_at: float = float('-inf')
    _transfer: _Transfer | None = None
    _offset: int = 0

    def replicate(self, context: Context) -> None:
        """Send the next batch or chunk unless one is on its way."""
        waits = context.at - self._sent_at < RESEND_S
        if waits and (self._awaited > self.match_index or self._transfer):
            return
        if self.next_index <= context.log.base.index:
            self._send_chunk(context)
        elif self.match_index < context.log.last_index:
            # Without records left to send, this finds the follower's last one.
            self._send_batch(context)

    def send_heartbeat(self, context: Context) -> None:
        """Send what is due, or an empty request."""
        sent_before = self._sent_at
        self.replicate(context)
        if self._sent_at != sent_before and self._sent_at == context.at:
            return
        known = context.log.term_at(self.match_index)
        previous = 0 if known is None else self.match_index
        context.send(
            self.member.vm,
            AppendRequest(
                context.term,
                context.disk,
                self.member.disk,
                previous,
                known or 0,
                min(context.commit_index, previous),
                context.at,
            ),
        )

    def note_append(self, context: Context, reply: AppendReply) -> None:
        """Advance after an accepted batch, step back after a refused one."""
        self._note_answer(reply)
        if reply.accepted:
            self._advance(reply.match_index)
        elif reply.previous_index == self.next_index - 1:
            back = min(self.next_index - 1, reply.match_index + 1)
            # A refusal that teaches nothing isn't answered at once, or the
            # two would exchange messages as fast as the network allows.
            if back > self.match_index:
                self.next_index = back
                self._awaited = 0
        self.replicate(context)

    def note_chunk(self, context: Context, reply: SnapshotReply) -> None:
        """Send the chunk that the follower needs next."""
        self._note_answer(reply)
        transfer = self._transfer
        if transfer is None or reply.index != transfer.index:
            return
        if reply.offset != self._offset:
            self._offset = min(reply.offset, len(transfer.content))
            self._send_chunk(context)

    def _note_answer(self, reply: AppendReply | SnapshotReply) -> None:
        self.heard_at = max(self.heard_at, reply.sent_at)
        self.answered_at = max(self.answered_at, reply.sent_at)

    def _advance(self, match_index: int) -> None:
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        if self._transfer and self._transfer.index <= self.match_index:
            self._transfer = None

    def _send_batch(self, context: Context) -> None:
        log = context.log
        previous = self.next_index - 1
        records = log.read_batch(self.next_index, MOST_RECORDS, MOST_BYTES)
        self._awaited = previous + len(records)
        self._sent_at = context.at
        context.send(
            self.member.vm,
            AppendRequest(
                context.term,
                context.disk,
                self.member.disk,
                previous,
                log.term_at(previous) or 0,
                context.commit_index,
                context.at,
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
        self._sent_at = context.at
        end = self._offset + CHUNK_BYTES
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
                context.at,
                transfer.content[self._offset : end],
            ),
        )


def _encode_snapshot(snapshot: Snapshot) -> _Transfer:
    content = msgspec.msgpack.encode(snapshot)
    return _Transfer(snapshot.index, content, xxhash.xxh3_64_intdigest(content))


__all__ = ('RESEND_S', 'Progress')
