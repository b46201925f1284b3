"""Local copy of the configuration and its replication by gossip."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

import attrs
import msgspec

from ..configuration.entries import Entry, apply_entry
from ..configuration.model import Configuration
from ..core.notices import ConfigurationChanged
from .messages import Entries, PullEntries
from .snapshot import SnapshotSource, SnapshotTransfer

if TYPE_CHECKING:
    from ..types import VmId
    from .messages import PullSnapshot, SnapshotChunk
    from .outbox import Outbox

# Enough for deltas over most of a day, at 440 changes a day.
_RECENT_ENTRIES = 300
# Larger deltas are sent as snapshot chunks.
_MAX_DELTA_BYTES = 131_072
# An unanswered pull is repeated, possibly with another VM.
_PULL_TIMEOUT_S = 0.5
# Snapshot rows are released when no peer pulled for this time.
_SOURCE_RETENTION_S = 10.0


@attrs.frozen
class _RecentEntry:
    version: int
    entry: Entry
    size_bytes: int


class ConfigurationCopy:
    """Applies entries and snapshots; the version only increases.

    Before ``mark_synced``, the copy is provisional: peers can pull it, but it
    is not in force on this VM.
    """

    def __init__(self, outbox: Outbox) -> None:
        """Start without a configuration."""
        self._outbox = outbox
        self.configuration = Configuration()
        self.in_force = 0
        self.synced = False
        self._recent: deque[_RecentEntry] = deque(maxlen=_RECENT_ENTRIES)
        self._encoder = msgspec.msgpack.Encoder()
        self._snapshot_source = SnapshotSource()
        self._served_at = -math.inf
        self._transfer: SnapshotTransfer | None = None
        self._pulled_at = -_PULL_TIMEOUT_S

    @property
    def version(self) -> int:
        """Version of the copy."""
        return self.configuration.version

    def mark_synced(self) -> None:
        """Put the copy and all later versions in force."""
        self.synced = True
        self._put_in_force()

    def apply_entries(self, first: int, entries: tuple[Entry, ...]) -> Entries:
        """Apply the next entries and return them as a message to push.

        The message is empty if nothing was applied or the entries exceed
        ``_MAX_DELTA_BYTES``.
        """
        previous_version = self.version
        for version, entry in enumerate(entries, start=first):
            if version == self.version + 1:
                self._apply(version, entry)
        self._put_in_force()
        applied = [
            stored
            for stored in self._recent
            if stored.version > previous_version
        ]
        if sum(stored.size_bytes for stored in applied) > _MAX_DELTA_BYTES:
            # Too large to push; peers pull it in chunks.
            applied = []
        return _join_entries(
            previous_version + 1, tuple(stored.entry for stored in applied)
        )

    def apply_snapshot(self, configuration: Configuration) -> bool:
        """Replace the configuration by a newer snapshot."""
        if configuration.version <= self.version:
            return False
        self.configuration = configuration
        self._recent.clear()
        self._put_in_force()
        return True

    def pull_from(self, vm: VmId, *, force: bool = False) -> None:
        """Pull from a VM with a newer version unless a pull is pending."""
        elapsed_s = self._outbox.now - self._pulled_at
        if elapsed_s < _PULL_TIMEOUT_S and not force:
            return
        self._pulled_at = self._outbox.now
        transfer = self._transfer
        if transfer and transfer.source == vm:
            # The pending chunk was lost.
            self._outbox.send(vm, transfer.next_request())
            return
        self._transfer = None
        self._outbox.send(vm, PullEntries(self.version))

    def send_entries(self, sender: VmId, request: PullEntries) -> None:
        """Send the entries after a version, or the first snapshot chunk."""
        if request.after >= self.version:
            return
        delta = self._find_delta(request.after)
        if delta:
            entries = tuple(stored.entry for stored in delta)
            message = _join_entries(request.after + 1, entries)
            self._outbox.send(sender, message)
        else:
            self._send_chunk(sender, 0)

    def send_snapshot_chunk(self, sender: VmId, request: PullSnapshot) -> None:
        """Send a chunk, or the first chunk if the version has changed."""
        current = request.version == self.version
        self._send_chunk(sender, request.start if current else 0)

    def receive_chunk(self, sender: VmId, chunk: SnapshotChunk) -> bool:
        """Add a chunk; return whether it completed a newer configuration."""
        if chunk.version <= self.version:
            return False
        if self._transfer is None or self._transfer.source != sender:
            if self._transfer or chunk.start:
                return False
            self._transfer = SnapshotTransfer(sender)
        if not self._transfer.add(chunk):
            return False
        if self._transfer.is_complete():
            configuration = self._transfer.build()
            self._transfer = None
            return self.apply_snapshot(configuration)
        self.pull_from(sender, force=True)
        return False

    def resume_transfer(self, is_live: bool) -> None:
        """Continue a stalled transfer, or abort it if its source is dead."""
        if self._outbox.now - self._served_at > _SOURCE_RETENTION_S:
            self._snapshot_source.release()
        if self._transfer is None:
            return
        if is_live:
            self.pull_from(self._transfer.source)
        else:
            self._transfer = None

    @property
    def transfer_source(self) -> VmId | None:
        """Source of the snapshot transfer in progress."""
        return self._transfer.source if self._transfer else None

    def _apply(self, version: int, entry: Entry) -> None:
        self.configuration = apply_entry(self.configuration, version, entry)
        size_bytes = len(self._encoder.encode(entry))
        self._recent.append(_RecentEntry(version, entry, size_bytes))

    def _find_delta(self, after: int) -> list[_RecentEntry]:
        if not self._recent or self._recent[0].version > after + 1:
            return []
        remaining_bytes = _MAX_DELTA_BYTES
        delta: list[_RecentEntry] = []
        for stored in self._recent:
            if stored.version <= after:
                continue
            remaining_bytes -= stored.size_bytes
            if remaining_bytes < 0:
                break
            delta.append(stored)
        return delta

    def _send_chunk(self, vm: VmId, start: int) -> None:
        self._served_at = self._outbox.now
        self._outbox.send(
            vm, self._snapshot_source.build_chunk(self.configuration, start)
        )

    def _put_in_force(self) -> None:
        if self.synced and self.version > self.in_force:
            self.in_force = self.version
            self._outbox.add(
                ConfigurationChanged(self._outbox.now, self.configuration)
            )


def _join_entries(first: int, entries: tuple[Entry, ...]) -> Entries:
    # Every concrete entry type belongs to the union ``AnyEntry``.
    return Entries(first, entries)  # type: ignore[arg-type]


__all__ = ('ConfigurationCopy',)
