"""Digests for detecting differences between the tables of two VMs."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterator

# One differing record costs the transfer of one bucket: 7 of 850 members, or
# 73 of 9,400 targets (about 7 KB).
BUCKET_COUNT = 128
_PACKED_BUCKETS = struct.Struct(f'>{BUCKET_COUNT}I')
_UINT32_MASK = 0xFFFFFFFF


def hash_values(*values: object) -> int:
    """Return a 64-bit hash of the text form of the values."""
    text = '\0'.join(str(element) for element in values)
    return int(xxhash.xxh3_64_intdigest(text.encode()))


class BucketDigest:
    """Order-independent digest of named records, kept per bucket."""

    def __init__(self) -> None:
        """Start empty."""
        self._hashes: dict[str, int] = {}
        self._buckets = [0 for _ in range(BUCKET_COUNT)]
        self._names: list[set[str]] = [set() for _ in range(BUCKET_COUNT)]
        self.total = 0

    def replace(self, name: str, value: int) -> None:
        """Set the hash of a record; 0 excludes it from the digest."""
        value &= _UINT32_MASK
        bucket = hash_values(name) % BUCKET_COUNT
        change = self._hashes.get(name, 0) ^ value
        self._hashes[name] = value
        self._names[bucket].add(name)
        self._buckets[bucket] ^= change
        self.total ^= change

    def remove(self, name: str) -> None:
        """Remove a record."""
        self.replace(name, 0)
        self._hashes.pop(name)
        self._names[hash_values(name) % BUCKET_COUNT].discard(name)

    def pack(self) -> bytes:
        """Return the digests of all buckets."""
        return _PACKED_BUCKETS.pack(*self._buckets)

    def iter_differing(
        self, packed: bytes, bucket: int, after: str
    ) -> Iterator[tuple[int, str]]:
        """Yield (bucket, name) of the records in differing buckets.

        Parameters
        ----------
        bucket, after
            Start position; names up to ``after`` in that bucket are skipped.

        """
        if len(packed) != _PACKED_BUCKETS.size:
            return
        peer_buckets = _PACKED_BUCKETS.unpack(packed)
        for number in range(max(bucket, 0), BUCKET_COUNT):
            if peer_buckets[number] == self._buckets[number]:
                continue
            skipped = after if number == bucket else ''
            for name in sorted(self._names[number]):
                if name > skipped:
                    yield number, name


__all__ = ('BUCKET_COUNT', 'BucketDigest', 'hash_values')
