"""Base class of all messages between VMs."""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base class of wire messages; each subclass has a unique integer tag."""


__all__ = ('Message',)
