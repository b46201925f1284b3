"""Base class of all messages between VMs."""

from __future__ import annotations

from typing import Final

import msgspec

# Largest signed integer of the encoding.
MAX_INTEGER: Final = 0x7FFFFFFFFFFFFFFF


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base class of wire messages; each subclass has a unique integer tag."""


__all__ = ('MAX_INTEGER', 'Message')
