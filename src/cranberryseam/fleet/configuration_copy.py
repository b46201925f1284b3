"""This VM's copy of the configuration."""

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

# Entries kept for deltas: most of a day at 440 changes a day.
_RECENT_ENTRIES = 300
# A larger delta is sent as a snapshot in chunks.
_MAX_DELTA_BYTES = 131_072
# A pull without an answer is repeated, perhaps with another VM.
_PULL_TIMEOUT_S = 0.5
# Rows of a snapshot are released when nobody has pulled for this long.
_SOURCE_RETENTION_S = 10.0


@attrs.frozen
class _RecentEntry:
    version: int
    entry: Entry
    size_bytes: int


class ConfigurationCopy:
    """Applies entries and snapshots; the version only increases.

    Until ``settle`` was called, the copy is a candidate: it is passed on to
    peers but not put in force here.
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
        """Put the copy, and all newer ones from now on, in force."""
        self.synced = True
        self._put_in_force()

    def apply_entries(self, first: int, entries: tuple[Entry, ...]) -> Entries:
        """Apply the entries that come next and return a message to push.

        It is empty if nothing was applied.
        """
        previous_version = self.version
        for version, entry in enumerate(entries, start=first):
            if version == self.version + 1:
                self._apply(version, entry)
        self._put_in_force()
        applied = [
            recent
            for recent in self._recent
            if recent.version > previous_version
        ]
        if sum(recent.size_bytes for recent in applied) > _MAX_DELTA_BYTES:
            # Too large to push; the others pull it in chunks.
            applied = []
        return _join_entries(
            previous_version + 1, tuple(recent.entry for recent in applied)
        )

    def apply_snapshot(self, configuration: Configuration) -> bool:
        """Take a whole configuration if it is newer."""
        if configuration.version <= self.version:
            return False
        self.configuration = configuration
        self._recent.clear()
        self._put_in_force()
        return True

    def pull_from(self, vm: VmId, *, force: bool = False) -> None:
        """Ask a VM that is ahead, unless an answer is still expected."""
        elapsed_s = self._outbox.now - self._pulled_at
        if elapsed_s < _PULL_TIMEOUT_S and not force:
            return
        self._pulled_at = self._outbox.now
        transfer = self._transfer
        if transfer and transfer.source == vm:
            # A lost chunk is asked for again.
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
            entries = tuple(recent.entry for recent in delta)
            message = _join_entries(request.after + 1, entries)
            self._outbox.send(sender, message)
        else:
            self._send_chunk(sender, 0)

    def send_snapshot_chunk(self, sender: VmId, request: PullSnapshot) -> None:
        """Send a chunk; a changed version starts from the first one."""
        current = request.version == self.version
        self._send_chunk(sender, request.start if current else 0)

    def receive_chunk(self, sender: VmId, chunk: SnapshotChunk) -> bool:
        """Take a chunk; return whether the configuration is complete."""
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
        """Continue or give up a transfer whose answer was lost."""
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
        """VM that a snapshot is being pulled from."""
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
        for recent in self._recent:
            if recent.version <= after:
                continue
            remaining_bytes -= recent.size_bytes
            if remaining_bytes < 0:
                break
            delta.append(recent)
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
    # Every concrete entry is one of the union's types.
    return Entries(first, entries)  # type: ignore[arg-type]


__all__ = ('ConfigurationCopy',)
