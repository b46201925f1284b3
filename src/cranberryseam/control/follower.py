"""Records and snapshots that a replica takes from the leader."""

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

# A snapshot of 54,000 accounts and as many keys was measured at 6.8 MB.
LARGEST_SNAPSHOT_BYTES = 268_435_456


@attrs.define
class _Assembly:
    """Chunks of a snapshot from the leader of a term."""

    term: int
    index: int
    content: bytearray = attrs.field(factory=bytearray)


class Follower:
    """Takes records and snapshots from the leader."""

    def __init__(self, context: Context) -> None:
        """Start without a partial snapshot."""
        self._context = context
        self._assembly: _Assembly | None = None

    def receive_append(self, sender: str, request: AppendRequest) -> None:
        """Append what is new, and reply once it's on disk."""
        context = self._context
        if request.term < context.term:
            self._reply(sender, request, 0, accepted=False)
            return
        context.follow(request.term, Member(sender, request.disk))
        if not self._holds_previous(request):
            last = min(context.log.last_index, request.previous_index - 1)
            self._reply(sender, request, last, accepted=False)
            return
        self._merge(request)
        match_index = request.previous_index + len(request.records)
        context.commit_to(min(request.commit, match_index))
        self._reply(sender, request, match_index, accepted=True)

    def receive_snapshot(self, sender: str, request: InstallSnapshot) -> None:
        """Take the next chunk; install the snapshot after the last one."""
        context = self._context
        if request.term < context.term:
            self._reply_offset(sender, request, 0)
            return
        context.follow(request.term, Member(sender, request.disk))
        if request.index <= context.commit_index:
            self._confirm_snapshot(sender, request)
            return
        content = self._add_chunk(request)
        if len(content) < request.total:
            self._reply_offset(sender, request, len(content))
            return
        self._assembly = None
        self._install(bytes(content), request.checksum)
        if context.commit_index >= request.index:
            self._confirm_snapshot(sender, request)

    def _holds_previous(self, request: AppendRequest) -> bool:
        context = self._context
        if request.previous_index <= context.commit_index:
            return True
        found = context.log.term_at(request.previous_index)
        return found == request.previous_term

    def _merge(self, request: AppendRequest) -> None:
        context = self._context
        for position, record in enumerate(request.records):
            if record.index <= context.commit_index:
                continue
            if context.log.term_at(record.index) != record.term:
                context.append(request.records[position:])
                return

    def _reply(
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
        context.after_sync(lambda: context.send(sender, reply))

    def _add_chunk(self, request: InstallSnapshot) -> bytearray:
        assembly = self._assembly
        known = (request.term, request.index)
        if assembly is None or (assembly.term, assembly.index) != known:
            assembly = _Assembly(request.term, request.index)
            self._assembly = assembly
        fits = request.total <= LARGEST_SNAPSHOT_BYTES
        if fits and request.offset == len(assembly.content):
            assembly.content.extend(request.chunk)
        return assembly.content

    def _install(self, content: bytes, checksum: int) -> None:
        context = self._context
        if xxhash.xxh3_64_intdigest(content) != checksum:
            context.count('snapshot_failures')
            return
        try:
            snapshot = msgspec.msgpack.decode(content, type=Snapshot)
        except msgspec.MsgspecError:
            context.count('snapshot_failures')
            return
        context.install(snapshot)
        context.count('snapshots_installed')

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
        context.after_sync(lambda: context.send(sender, reply))

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
