"""Configurations on their way to attached VMs, as differences if possible."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

import attrs
import msgspec

from ..configuration.entries import (
    ListsChanged,
    apply_entry,
    diff_lists,
    list_rows,
)
from ..configuration.model import Configuration, Document, Key
from ..control.machine import deserialise_configuration, serialise_configuration
from ..control.records import StoredConfiguration
from ..types import KeyId

# VMs are behind by a poll or two; one that missed more gets all of it.
KEPT_VERSIONS: Final = 16


class ContentDelta(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """What turns the configuration of one content version into a newer one.

    Parameters
    ----------
    base
        Content version that the receiver must have.
    keys, removed_keys
        Keys that were added or changed, and ids of those that are gone.

    """

    base: int
    version: int
    document_version: int
    lists: ListsChanged
    keys: tuple[Key, ...] = ()
    removed_keys: tuple[KeyId, ...] = ()
    withdrawn: tuple[KeyId, ...] = ()


class WholeContent(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A configuration for a VM that has none, or a very old one."""

    configuration: StoredConfiguration


Content = ContentDelta | WholeContent


@attrs.define(eq=False)
class ContentSource:
    """Newest configurations of the leader, to compute differences from."""

    _kept: OrderedDict[int, Configuration] = attrs.field(factory=OrderedDict)
    _deltas: dict[int, ContentDelta] = attrs.field(factory=dict)
    _newest: int = 0

    def find(self, configuration: Configuration, base: int) -> Content | None:
        """Return what a VM with the content version ``base`` lacks."""
        self._keep(configuration)
        if base >= configuration.content_version:
            return None
        before = self._kept.get(base)
        if before is None:
            return WholeContent(serialise_configuration(_strip(configuration)))
        delta = self._deltas.get(base)
        if delta is None:
            delta = build_delta(before, configuration)
            self._deltas[base] = delta
        return delta

    def _keep(self, configuration: Configuration) -> None:
        version = configuration.content_version
        if version == self._newest:
            return
        self._newest = version
        self._kept[version] = configuration
        self._deltas.clear()
        while len(self._kept) > KEPT_VERSIONS:
            self._kept.popitem(last=False)


def build_delta(before: Configuration, after: Configuration) -> ContentDelta:
    """Return the difference between two configurations of one log."""
    keys = tuple(
        key
        for key_id, key in after.keys.items()
        if before.keys.get(key_id) != key
    )
    removed = tuple(
        key_id for key_id in before.keys if key_id not in after.keys
    )
    return ContentDelta(
        base=before.content_version,
        version=after.content_version,
        document_version=after.document.version if after.document else 0,
        lists=diff_lists(before, list_rows(after), ''),
        keys=keys,
        removed_keys=removed,
        withdrawn=tuple(sorted(after.withdrawn - before.withdrawn)),
    )


def apply_content(
    before: Configuration, content: Content
) -> Configuration | None:
    """Return the newer configuration, None if the difference doesn't fit."""
    if isinstance(content, WholeContent):
        stored = content.configuration
        if stored.content_version <= before.content_version:
            return None
        return deserialise_configuration(stored)
    if content.base != before.content_version:
        return None
    after = apply_entry(before, content.version, content.lists)
    removed = frozenset(content.removed_keys)
    keys = {
        key_id: key
        for key_id, key in before.keys.items()
        if key_id not in removed
    }
    keys.update((key.key_id, key) for key in content.keys)
    document = before.document
    if content.document_version:
        document = Document(content.document_version, b'')
    return attrs.evolve(
        after,
        keys=keys,
        withdrawn=before.withdrawn | frozenset(content.withdrawn),
        document=document,
    )


def _strip(configuration: Configuration) -> Configuration:
    """Leave out what only control VMs need."""
    document = configuration.document
    if document is not None:
        document = Document(document.version, b'')
    return attrs.evolve(configuration, departed=(), document=document)


__all__ = (
    'Content',
    'ContentDelta',
    'ContentSource',
    'WholeContent',
    'apply_content',
    'build_delta',
)
