"""Records and snapshots that a follower receives from the leader."""

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

# A snapshot of 54,000 accounts and as many keys is 6.8 MB in size.
MAX_SNAPSHOT_BYTES = 268_435_456


@attrs.define
class _PartialSnapshot:
    """Chunks received so far of a snapshot from the leader of a term."""

    term: int
    index: int
    content: bytearray = attrs.field(factory=bytearray)


class Follower:
    """Stores records and snapshots that the leader sends."""

    def __init__(self, context: Context) -> None:
        """Start without a partial snapshot."""
        self._context = context
        self._partial_snapshot: _PartialSnapshot | None = None

    def receive_append(self, sender: str, request: AppendRequest) -> None:
        """Append missing records, and reply once they are on disk."""
        context = self._context
        if request.term < context.term:
            self._reply_append(sender, request, 0, accepted=False)
            return
        context.become_follower(request.term, Member(sender, request.disk))
        if not self._has_previous_record(request):
            last = min(context.log.last_index, request.previous_index - 1)
            self._reply_append(sender, request, last, accepted=False)
            return
        self._append_missing(request)
        match_index = request.previous_index + len(request.records)
        context.commit_up_to(min(request.commit_index, match_index))
        self._reply_append(sender, request, match_index, accepted=True)

    def receive_snapshot(self, sender: str, request: InstallSnapshot) -> None:
        """Add a chunk, and install the snapshot after the last one."""
        context = self._context
        if request.term < context.term:
            self._reply_offset(sender, request, 0)
            return
        context.become_follower(request.term, Member(sender, request.disk))
        if request.index <= context.commit_index:
            self._confirm_snapshot(sender, request)
            return
        content = self._add_chunk(request)
        if len(content) < request.total:
            self._reply_offset(sender, request, len(content))
            return
        self._partial_snapshot = None
        self._install_content(bytes(content), request.checksum)
        if context.commit_index >= request.index:
            self._confirm_snapshot(sender, request)

    def _has_previous_record(self, request: AppendRequest) -> bool:
        context = self._context
        if request.previous_index <= context.commit_index:
            return True
        found = context.log.term_at(request.previous_index)
        return found == request.previous_term

    def _append_missing(self, request: AppendRequest) -> None:
        context = self._context
        for position, record in enumerate(request.records):
            if record.index <= context.commit_index:
                continue
            if context.log.term_at(record.index) != record.term:
                context.append(request.records[position:])
                return

    def _reply_append(
        self,
        sender: str,
        request: AppendRequest,
        match_index: int,
        *,
        accepted: bool,
    ) -> None:
        context = self._context
        reply = AppendReply(
            context.term,
            context.disk,
            request.disk,
            accepted,
            request.previous_index,
            match_index,
            request.sent_at,
        )
        context.run_after_sync(lambda: context.send(sender, reply))

    def _add_chunk(self, request: InstallSnapshot) -> bytearray:
        partial = self._partial_snapshot
        snapshot_id = (request.term, request.index)
        if partial is None or (partial.term, partial.index) != snapshot_id:
            partial = _PartialSnapshot(request.term, request.index)
            self._partial_snapshot = partial
        fits = request.total <= MAX_SNAPSHOT_BYTES
        if fits and request.offset == len(partial.content):
            partial.content.extend(request.chunk)
        return partial.content

    def _install_content(self, content: bytes, checksum: int) -> None:
        context = self._context
        if xxhash.xxh3_64_intdigest(content) != checksum:
            context.increment_counter('snapshot_failures')
            return
        try:
            snapshot = msgspec.msgpack.decode(content, type=Snapshot)
        except msgspec.MsgspecError:
            context.increment_counter('snapshot_failures')
            return
        context.install_snapshot(snapshot)
        context.increment_counter('snapshots_installed')

    def _confirm_snapshot(self, sender: str, request: InstallSnapshot) -> None:
        context = self._context
        reply = AppendReply(
            context.term,
            context.disk,
            request.disk,
            accepted=True,
            previous_index=request.index,
            match_index=request.index,
            sent_at=request.sent_at,
        )
        context.run_after_sync(lambda: context.send(sender, reply))

    def _reply_offset(
        self, sender: str, request: InstallSnapshot, offset: int
    ) -> None:
        context = self._context
        reply = SnapshotReply(
            context.term,
            context.disk,
            request.disk,
            request.index,
            offset,
            request.sent_at,
        )
        context.send(sender, reply)


__all__ = ('Follower',)
