"""Transfer of configuration snapshots in bounded chunks."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..configuration.model import (
    Account,
    Configuration,
    Key,
    Plan,
    Route,
    Service,
)
from ..types import KeyId
from .messages import PullSnapshot, SnapshotChunk

if TYPE_CHECKING:
    from ..types import VmId

# About 64 KB of accounts or keys.
CHUNK_ROWS = 1024


class SnapshotSource:
    """Splits a configuration into chunks; rows are shared, not copied."""

    def __init__(self) -> None:
        """Start without a configuration."""
        self._version = 0
        self._rows: tuple[object, ...] = ()

    def build_chunk(
        self, configuration: Configuration, start: int
    ) -> SnapshotChunk:
        """Return the chunk that starts at a row index."""
        if configuration.version != self._version:
            self._version = configuration.version
            self._rows = _flatten_rows(configuration)
        rows = self._rows[start : start + CHUNK_ROWS]
        return SnapshotChunk(
            version=configuration.version,
            lists_version=configuration.lists_version,
            initialised_wall_s=configuration.initialised_wall_s,
            start=start,
            total=len(self._rows),
            accounts=tuple(row for row in rows if isinstance(row, Account)),
            plans=tuple(row for row in rows if isinstance(row, Plan)),
            routes=tuple(row for row in rows if isinstance(row, Route)),
            services=tuple(row for row in rows if isinstance(row, Service)),
            keys=tuple(row for row in rows if isinstance(row, Key)),
            withdrawn=tuple(row for row in rows if isinstance(row, str)),
            content_version=configuration.content_version,
        )

    def release(self) -> None:
        """Release the rows."""
        self._version = 0
        self._rows = ()


@attrs.define
class SnapshotTransfer:
    """Ordered chunks of one version, received from one VM.

    Other VMs may order the rows differently, so a transfer never switches to
    another source.
    """

    source: VmId
    chunks: list[SnapshotChunk] = attrs.field(factory=list)

    def next_request(self) -> PullSnapshot:
        """Return the request for the next chunk."""
        if not self.chunks:
            return PullSnapshot(0, 0)
        last = self.chunks[-1]
        return PullSnapshot(last.version, last.start + CHUNK_ROWS)

    def add(self, chunk: SnapshotChunk) -> bool:
        """Add a chunk if it is the next one; return whether it was."""
        if chunk.start == 0 and not self._has_version(chunk.version):
            self.chunks = [chunk]
            return True
        expected = self.next_request()
        if (chunk.version, chunk.start) != (expected.version, expected.start):
            return False
        self.chunks.append(chunk)
        return True

    def is_complete(self) -> bool:
        """Return whether all rows were received."""
        if not self.chunks:
            return False
        last = self.chunks[-1]
        return last.start + CHUNK_ROWS >= last.total

    def build(self) -> Configuration:
        """Return the configuration of a complete transfer."""
        first = self.chunks[0]
        return Configuration(
            version=first.version,
            lists_version=first.lists_version,
            initialised_wall_s=first.initialised_wall_s,
            accounts={
                row.name: row for chunk in self.chunks for row in chunk.accounts
            },
            plans={
                row.name: row for chunk in self.chunks for row in chunk.plans
            },
            routes={
                row.name: row for chunk in self.chunks for row in chunk.routes
            },
            services={
                row.name: row for chunk in self.chunks for row in chunk.services
            },
            keys={
                row.key_id: row for chunk in self.chunks for row in chunk.keys
            },
            withdrawn=frozenset(
                KeyId(row) for chunk in self.chunks for row in chunk.withdrawn
            ),
            content_version=first.content_version,
        )

    def _has_version(self, version: int) -> bool:
        return bool(self.chunks) and self.chunks[0].version >= version


def _flatten_rows(configuration: Configuration) -> tuple[object, ...]:
    rows: tuple[object, ...] = (
        *configuration.accounts.values(),
        *configuration.plans.values(),
        *configuration.routes.values(),
        *configuration.services.values(),
        *configuration.keys.values(),
        *configuration.withdrawn,
    )
    return rows


__all__ = ('CHUNK_ROWS', 'SnapshotSource', 'SnapshotTransfer')
