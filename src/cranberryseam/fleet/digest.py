"""Digests by which two VMs find out that their tables differ."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterator

# A difference of one record costs one bucket: 7 members of 850, or 73 targets
# of 9,400 (about 7 KB).
BUCKETS = 128
_FORMAT = struct.Struct(f'>{BUCKETS}I')
_LOW_BITS = 0xFFFFFFFF


def hash_words(*words: object) -> int:
    """Return a 64-bit hash of the text of some values."""
    text = '\0'.join(str(word) for word in words)
    return int(xxhash.xxh3_64_intdigest(text.encode()))


class BucketDigest:
    """Order-independent digest of named records, kept per bucket."""

    def __init__(self) -> None:
        """Start empty."""
        self._hashes: dict[str, int] = {}
        self._buckets = [0 for _ in range(BUCKETS)]
        self._names: list[set[str]] = [set() for _ in range(BUCKETS)]
        self.total = 0

    def replace(self, name: str, value: int) -> None:
        """Set the hash of a record; 0 keeps the name out of the digest."""
        value &= _LOW_BITS
        bucket = hash_words(name) % BUCKETS
        change = self._hashes.get(name, 0) ^ value
        self._hashes[name] = value
        self._names[bucket].add(name)
        self._buckets[bucket] ^= change
        self.total ^= change

    def remove(self, name: str) -> None:
        """Forget a record."""
        self.replace(name, 0)
        self._hashes.pop(name)
        self._names[hash_words(name) % BUCKETS].discard(name)

    def pack(self) -> bytes:
        """Return the digests of all buckets."""
        return _FORMAT.pack(*self._buckets)

    def iter_differing(
        self, packed: bytes, bucket: int, after: str
    ) -> Iterator[tuple[int, str]]:
        """Yield bucket and name of records in buckets that differ.

        Parameters
        ----------
        bucket, after
            Where to start; names of that bucket up to ``after`` are left out.

        """
        if len(packed) != _FORMAT.size:
            return
        theirs = _FORMAT.unpack(packed)
        for number in range(max(bucket, 0), BUCKETS):
            if theirs[number] == self._buckets[number]:
                continue
            skipped = after if number == bucket else ''
            for name in sorted(self._names[number]):
                if name > skipped:
                    yield number, name


__all__ = ('BUCKETS', 'BucketDigest', 'hash_words')
