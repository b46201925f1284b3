"""Encoding of messages between VMs (MessagePack, tagged arrays)."""

from __future__ import annotations

from types import GenericAlias
from typing import TYPE_CHECKING, Any, Union

import attrs
import msgspec
from expression import Error, Ok, Result

from ..types import VmId
from .errors import Failure
from .messages import Message

if TYPE_CHECKING:
    from collections.abc import Iterable


@attrs.frozen
class UndecodableMessage(Failure):
    """Bytes from a peer that are no known message."""

    detail: str


@attrs.frozen
class Envelope:
    """A message with its sender."""

    sender: VmId
    message: Message


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
        envelope: Any = GenericAlias(tuple, (str, union))
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(envelope)

    def encode(self, sender: VmId, message: Message) -> bytes:
        """Return the bytes of an envelope."""
        return self._encoder.encode((sender, message))

    def decode(self, raw: bytes) -> Result[Envelope, UndecodableMessage]:
        """Return the envelope, or why the bytes are none."""
        try:
            sender, message = self._decoder.decode(raw)
        except msgspec.MsgspecError as error:
            return Error(UndecodableMessage(str(error)))
        return Ok(Envelope(VmId(sender), message))


__all__ = ('Codec', 'Envelope', 'UndecodableMessage')
