"""Encoding of messages between VMs (MessagePack, tagged arrays)."""

from __future__ import annotations

import zlib
from types import GenericAlias
from typing import TYPE_CHECKING, Any, Final, Union

import attrs
import msgspec
from expression import Error, Ok, Result

from ..types import VmId
from .errors import Failure
from .messages import Message

# Links between regions are billed by volume. Compression reduces configurations
# and tables to a quarter of their size; smaller messages don't shrink.
COMPRESSION_THRESHOLD_BYTES: Final = 400
COMPRESSION_LEVEL: Final = 3
MAX_MESSAGE_BYTES: Final = 268_435_456
_ZLIB_FIRST_BYTE: Final = b'\x78'

if TYPE_CHECKING:
    from collections.abc import Iterable


@attrs.frozen
class UndecodableMessage(Failure):
    """Bytes from a peer that are no known message."""

    detail: str


@attrs.frozen
class Envelope:
    """A message with its sender and sequence numbers.

    Parameters
    ----------
    sequence
        Sequence number; increases with each message from the sender to this
        VM.
    acknowledged
        Sequence number of the last message of this VM that the sender has
        received.

    """

    sender: VmId
    message: Message
    sequence: int = 0
    acknowledged: int = 0


class Codec:
    """Encodes and decodes envelopes of a fixed set of message types.

    Parameters
    ----------
    types
        All message types; their tags must be unique.

    """

    def __init__(self, types: Iterable[type[Message]]) -> None:
        """Build the decoder once, because decoding is on the hot path."""
        union: Any = Union[tuple(types)]  # noqa: UP007
        envelope: Any = GenericAlias(tuple, (str, union, int, int))
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(envelope)

    def encode(
        self,
        sender: VmId,
        message: Message,
        sequence: int = 0,
        acknowledged: int = 0,
    ) -> bytes:
        """Return the bytes of an envelope."""
        raw = self._encoder.encode((sender, message, sequence, acknowledged))
        if len(raw) < COMPRESSION_THRESHOLD_BYTES:
            return raw
        return zlib.compress(raw, COMPRESSION_LEVEL)

    def decode(self, raw: bytes) -> Result[Envelope, UndecodableMessage]:
        """Return the envelope, or the reason why the bytes are invalid."""
        try:
            decoded = self._decoder.decode(_decompress(raw))
        except (msgspec.MsgspecError, zlib.error) as error:
            return Error(UndecodableMessage(str(error)))
        sender, message, sequence, acknowledged = decoded
        return Ok(Envelope(VmId(sender), message, sequence, acknowledged))


def _decompress(raw: bytes) -> bytes:
    # An uncompressed envelope is a MessagePack array of four elements, whose
    # first byte differs from that of a zlib stream.
    if raw[:1] != _ZLIB_FIRST_BYTE:
        return raw
    decompressor = zlib.decompressobj()
    decompressed = decompressor.decompress(raw, MAX_MESSAGE_BYTES)
    if decompressor.unconsumed_tail:
        raise zlib.error(f'message is larger than {MAX_MESSAGE_BYTES} B')
    return decompressed


__all__ = ('Codec', 'Envelope', 'UndecodableMessage')
