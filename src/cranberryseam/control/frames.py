"""Frames of the log file: each batch follows its length and checksum."""

from __future__ import annotations

import struct

import attrs
import xxhash

# Length of the content, checksum of the content, checksum of these two fields.
_HEADER = struct.Struct('<IQI')
_HEADER_PREFIX = struct.Struct('<IQ')


@attrs.frozen
class Frames:
    """Content of a log file.

    Parameters
    ----------
    payloads
        Content of each valid frame.
    valid_bytes
        Bytes up to the end of the last valid frame.
    damaged_at
        Offset of an invalid frame that is followed by a valid one.

    """

    payloads: tuple[bytes, ...]
    valid_bytes: int
    damaged_at: int | None = None


def encode_frame(content: bytes) -> bytes:
    """Return a frame with the content of one batch."""
    prefix = _HEADER_PREFIX.pack(
        len(content), xxhash.xxh3_64_intdigest(content)
    )
    return prefix + struct.pack('<I', xxhash.xxh32_intdigest(prefix)) + content


def read_frames(raw: bytes) -> Frames:
    """Split the bytes of a log file.

    Each frame is synced before the next one is written, so a crash can leave
    only the last one incomplete. An invalid frame that is followed by a valid
    one is corruption.
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
    length, content_checksum, header_checksum = _HEADER.unpack_from(raw, offset)
    prefix = raw[offset : offset + _HEADER_PREFIX.size]
    if xxhash.xxh32_intdigest(prefix) != header_checksum:
        return None
    content = raw[start : start + length]
    is_complete = len(content) == length
    if is_complete and xxhash.xxh3_64_intdigest(content) == content_checksum:
        return content
    return None


def _has_later_frame(raw: bytes, offset: int) -> bool:
    last = len(raw) - _HEADER.size
    return any(
        _read_frame(raw, position) is not None
        for position in range(offset, last + 1)
    )


__all__ = ('Frames', 'encode_frame', 'read_frames')
