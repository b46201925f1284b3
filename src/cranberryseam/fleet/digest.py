"""Digests by which two VMs find out that their tables differ."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterator

# A difference of one record costs one bucket: 7 members of 850, or 73 targets
# of 9,400 (about 7 KB).
BUCKET_COUNT = 128
_PACKED_BUCKETS = struct.Struct(f'>{BUCKET_COUNT}I')
_UINT32_MASK = 0xFFFFFFFF


def hash_values(*values: object) -> int:
    """Return a 64-bit hash of the text of some values."""
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
        """Set the hash of a record; 0 keeps the name out of the digest."""
        value &= _UINT32_MASK
        bucket = hash_values(name) % BUCKET_COUNT
        change = self._hashes.get(name, 0) ^ value
        self._hashes[name] = value
        self._names[bucket].add(name)
        self._buckets[bucket] ^= change
        self.total ^= change

    def remove(self, name: str) -> None:
        """Forget a record."""
        self.replace(name, 0)
        self._hashes.pop(name)
        self._names[hash_values(name) % BUCKET_COUNT].discard(name)

    def pack(self) -> bytes:
        """Return the digests of all buckets."""
        return _PACKED_BUCKETS.pack(*self._buckets)

    def iter_differing(
        self, packed: bytes, bucket: int, after: str
    ) -> Iterator[tuple[int, str]]:
        """Yield bucket and name of records in buckets that differ.

        Parameters
        ----------
        bucket, after
            Where to start; names of that bucket up to ``after`` are left out.

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
