"""Base of all messages between VMs."""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of the wire messages; each subclass has its own integer tag."""


__all__ = ('Message',)
