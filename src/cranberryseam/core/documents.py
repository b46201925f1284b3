"""Commands on configurations that are one versioned document."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .commands import Command
from .errors import Failure

if TYPE_CHECKING:
    from ..configuration.model import Document, Key, Lists


@attrs.frozen
class PutDocument(Command):
    """Replace the whole configuration if the document has the highest version.

    Parameters
    ----------
    document
        Version and raw content as received from the operator.
    lists, keys
        Parsed content of the document.

    """

    document: Document
    lists: Lists
    keys: tuple[Key, ...]


@attrs.frozen
class ReadDocument(Command):
    """Return the document in force, confirmed by a quorum."""


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
