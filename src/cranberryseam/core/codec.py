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

# Links between regions are billed by volume. Configurations and tables shrink
# to a quarter; shorter messages gain nothing.
COMPRESSED_FROM_BYTES: Final = 400
COMPRESSION_LEVEL: Final = 3
MAX_MESSAGE_BYTES: Final = 268_435_456
_ZLIB_MARK: Final = b'\x78'

if TYPE_CHECKING:
    from collections.abc import Iterable


@attrs.frozen
class UndecodableMessage(Failure):
    """Bytes from a peer that are no known message."""

    detail: str


@attrs.frozen
class Envelope:
    """A message with its sender.

    Parameters
    ----------
    sequence
        Increases with each message of the sender to this VM.
    acknowledged
        Number of the last message of this VM that the sender has received.

    """

    sender: VmId
    message: Message
    sequence: int = 0
    acknowledged: int = 0


class Codec:
    """Encode and decode envelopes of a fixed set of message types.

    Parameters
    ----------
    types
        All message types; their tags must differ.

    """

    def __init__(self, types: Iterable[type[Message]]) -> None:
        """Build the decoder once; decoding is on the hot path."""
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
        if len(raw) < COMPRESSED_FROM_BYTES:
            return raw
        return zlib.compress(raw, COMPRESSION_LEVEL)

    def decode(self, raw: bytes) -> Result[Envelope, UndecodableMessage]:
        """Return the envelope, or why the bytes are none."""
        try:
            decoded = self._decoder.decode(_inflate(raw))
        except (msgspec.MsgspecError, zlib.error) as error:
            return Error(UndecodableMessage(str(error)))
        sender, message, sequence, acknowledged = decoded
        return Ok(Envelope(VmId(sender), message, sequence, acknowledged))


def _inflate(raw: bytes) -> bytes:
    # An envelope is an array of four, which begins with another byte.
    if raw[:1] != _ZLIB_MARK:
        return raw
    unpacker = zlib.decompressobj()
    inflated = unpacker.decompress(raw, MAX_MESSAGE_BYTES)
    if unpacker.unconsumed_tail:
        raise zlib.error(f'message is larger than {MAX_MESSAGE_BYTES} B')
    return inflated


__all__ = ('Codec', 'Envelope', 'UndecodableMessage')
