"""Transfer of configurations to attached VMs, as deltas if possible."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

import attrs
import msgspec

from ..configuration.entries import (
    ListsChanged,
    apply_entry,
    current_lists,
    diff_lists,
)
from ..configuration.model import Configuration, Document, Key
from ..control.machine import deserialise_configuration, serialise_configuration
from ..control.records import StoredConfiguration
from ..types import KeyId

# VMs usually lag by one or two polls. A VM that lags further receives the full
# configuration.
MAX_KEPT_VERSIONS: Final = 16


class ContentDelta(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Difference between the configurations of two content versions.

    Parameters
    ----------
    base
        Content version that the delta applies to.
    keys, removed_keys
        Keys that were added or changed, and ids of removed keys.

    """

    base: int
    version: int
    document_version: int
    lists: ListsChanged
    keys: tuple[Key, ...] = ()
    removed_keys: tuple[KeyId, ...] = ()
    withdrawn: tuple[KeyId, ...] = ()


class FullContent(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Full configuration for a VM without one, or with an outdated one."""

    configuration: StoredConfiguration


Content = ContentDelta | FullContent


@attrs.define(eq=False)
class ContentHistory:
    """Recent configurations of the leader, from which deltas are computed."""

    _versions: OrderedDict[int, Configuration] = attrs.field(
        factory=OrderedDict
    )
    _deltas: dict[int, ContentDelta] = attrs.field(factory=dict)
    _newest: int = 0

    def find(self, configuration: Configuration, base: int) -> Content | None:
        """Return the update for content version ``base``, None if current."""
        self._add(configuration)
        if base >= configuration.content_version:
            return None
        before = self._versions.get(base)
        if before is None:
            return FullContent(
                serialise_configuration(_strip_control_data(configuration))
            )
        delta = self._deltas.get(base)
        if delta is None:
            delta = build_delta(before, configuration)
            self._deltas[base] = delta
        return delta

    def _add(self, configuration: Configuration) -> None:
        version = configuration.content_version
        if version == self._newest:
            return
        self._newest = version
        self._versions[version] = configuration
        self._deltas.clear()
        while len(self._versions) > MAX_KEPT_VERSIONS:
            self._versions.popitem(last=False)


def build_delta(before: Configuration, after: Configuration) -> ContentDelta:
    """Return the delta between two configurations of the same log."""
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
        lists=diff_lists(before, current_lists(after), ''),
        keys=keys,
        removed_keys=removed,
        withdrawn=tuple(sorted(after.withdrawn - before.withdrawn)),
    )


def apply_content(
    before: Configuration, content: Content
) -> Configuration | None:
    """Return the updated configuration, None if the update doesn't apply."""
    if isinstance(content, FullContent):
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


def _strip_control_data(configuration: Configuration) -> Configuration:
    """Remove the data that only control VMs need."""
    document = configuration.document
    if document is not None:
        document = Document(document.version, b'')
    return attrs.evolve(configuration, departed=(), document=document)


__all__ = (
    'Content',
    'ContentDelta',
    'ContentHistory',
    'FullContent',
    'apply_content',
    'build_delta',
)
