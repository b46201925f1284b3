"""Records of idempotency keys."""

from __future__ import annotations

from enum import IntEnum

import msgspec

from ..core.events import StoredAnswer

# Memory of the Python objects of a record without its texts, rounded up;
# benchmarks/ownership_state.py compares the total with the memory in use.
RECORD_OVERHEAD_BYTES = 700


class State(IntEnum):
    """State of the request that claimed a key."""

    pending = 0
    answered = 1
    ran = 2
    unknown = 3
    released = 4
    moved = 5


class Verdict(IntEnum):
    """Answer to a claim."""

    granted = 0
    joined = 1
    answered = 2
    ran = 3
    unknown = 4
    key_reused = 5
    table_full = 6
    unavailable = 7
    in_progress = 8


class WireAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Wire and storage form of an answer."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class Record(msgspec.Struct, frozen=True, array_like=True):
    """State of one key; the record with the highest version is valid.

    Parameters
    ----------
    vm, run, number
        The claim that holds the key.
    term, change
        Version: term of the leader and sequence number of its change.
    age_s
        Seconds since the last change at the time of sending.

    """

    account: str
    key: str
    fingerprint: bytes
    vm: str
    run: int
    number: int
    state: int
    term: int
    change: int
    age_s: float = 0
    answer: WireAnswer | None = None

    @property
    def version(self) -> tuple[int, int]:
        """Version of the record; a higher one replaces a lower one."""
        return (self.term, self.change)

    @property
    def size_bytes(self) -> int:
        """Approximate size in memory."""
        text_bytes = len(self.account) + len(self.key) + len(self.fingerprint)
        return (
            RECORD_OVERHEAD_BYTES + text_bytes + count_answer_bytes(self.answer)
        )

    def held_by(self, vm: str, run: int, number: int) -> bool:
        """Return whether the given claim holds the key."""
        return (self.vm, self.run, self.number) == (vm, run, number)


def count_answer_bytes(answer: WireAnswer | None) -> int:
    """Return the size of an answer in bytes."""
    if answer is None:
        return 0
    headers = sum(len(name) + len(text) for name, text in answer.headers)
    return headers + len(answer.body)


def pack_answer(answer: StoredAnswer | None) -> WireAnswer | None:
    """Return the wire form of an answer."""
    if answer is None:
        return None
    return WireAnswer(answer.status, answer.headers, answer.body)


def unpack_answer(answer: WireAnswer) -> StoredAnswer:
    """Return an answer from its wire form."""
    return StoredAnswer(answer.status, answer.headers, answer.body)


__all__ = (
    'Record',
    'State',
    'Verdict',
    'WireAnswer',
    'count_answer_bytes',
    'pack_answer',
    'unpack_answer',
)
