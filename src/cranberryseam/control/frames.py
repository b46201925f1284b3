"""Frames of the record log: length and checksum before each batch."""

from __future__ import annotations

import struct

import attrs
import xxhash

# Length, checksum of the content, checksum of the two before.
_HEADER = struct.Struct('<IQI')
_HEADER_CHECKED = struct.Struct('<IQ')


@attrs.frozen
class Frames:
    """Content of a log file.

    Parameters
    ----------
    payloads
        Content of each whole frame.
    whole_bytes
        Bytes up to the end of the last whole frame.
    damaged_at
        Offset of a broken frame that has a whole one after it.

    """

    payloads: tuple[bytes, ...]
    whole_bytes: int
    damaged_at: int | None = None


def encode_frame(content: bytes) -> bytes:
    """Return the bytes to append for one batch."""
    checked = _HEADER_CHECKED.pack(
        len(content), xxhash.xxh3_64_intdigest(content)
    )
    return (
        checked + struct.pack('<I', xxhash.xxh32_intdigest(checked)) + content
    )


def read_frames(raw: bytes) -> Frames:
    """Split the bytes of a log file.

    Each frame is on disk before the next is written, so only the last one can
    be torn. A broken frame with a whole one after it is damage.
    """
    payloads: list[bytes] = []
    offset = 0
    while offset < len(raw):
        content = _read_frame(raw, offset)
        if content is None:
            later = _has_later_frame(raw, offset + 1)
            damaged_at = offset if later else None
            return Frames(tuple(payloads), offset, damaged_at)
        payloads.append(content)
        offset += _HEADER.size + len(content)
    return Frames(tuple(payloads), offset)


def _read_frame(raw: bytes, offset: int) -> bytes | None:
    start = offset + _HEADER.size
    if start > len(raw):
        return None
    length, content_sum, header_sum = _HEADER.unpack_from(raw, offset)
    checked = raw[offset : offset + _HEADER_CHECKED.size]
    if xxhash.xxh32_intdigest(checked) != header_sum:
        return None
    content = raw[start : start + length]
    whole = len(content) == length
    if whole and xxhash.xxh3_64_intdigest(content) == content_sum:
        return content
    return None


def _has_later_frame(raw: bytes, offset: int) -> bool:
    last = len(raw) - _HEADER.size
    return any(
        _read_frame(raw, position) is not None
        for position in range(offset, last + 1)
    )


__all__ = ('Frames', 'encode_frame', 'read_frames')
