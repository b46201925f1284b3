"""Commands on whole configurations that carry their own version."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .commands import Command
from .errors import Failure

if TYPE_CHECKING:
    from ..configuration.model import Document, Key, Lists


@attrs.frozen
class PutDocument(Command):
    """Put a whole configuration in force, if its version is the highest.

    Parameters
    ----------
    document
        Version and content as the operator sent it.
    lists, keys
        What the content says.

    """

    document: Document
    lists: Lists
    keys: tuple[Key, ...]


@attrs.frozen
class ReadDocument(Command):
    """Return the document in force, as a quorum knows it."""


@attrs.frozen
class DocumentConflict(Failure):
    """Another document has the same version."""

    version: int


@attrs.frozen
class DocumentMissing(Failure):
    """No document was stored yet."""


__all__ = (
    'DocumentConflict',
    'DocumentMissing',
    'PutDocument',
    'ReadDocument',
)
