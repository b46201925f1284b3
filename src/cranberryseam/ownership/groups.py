"""Assignment of keys to the replica groups of a region."""

from __future__ import annotations

from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from ..configuration.settings import GroupSettings, Settings

# An entry takes about 120 bytes; an uncached lookup in a region of 90 groups
# takes 90 hashes.
_MAX_CACHED = 8192


class GroupIndex:
    """All replica groups of the fleet, by name and by region."""

    def __init__(self, settings: Settings) -> None:
        """Index the groups of the settings."""
        self._groups = {group.name: group for group in settings.groups}
        self._cache: dict[tuple[str, str], str] = {}
        self._regions: dict[str, list[tuple[int, str]]] = {}
        for group in settings.groups:
            seed = xxh3_64_intdigest(group.name.encode())
            seeded_groups = self._regions.setdefault(group.region, [])
            seeded_groups.append((seed, group.name))

    def find_group(self, name: str) -> GroupSettings | None:
        """Return a group by name."""
        return self._groups.get(name)

    def list_groups_with(self, vm: str) -> tuple[GroupSettings, ...]:
        """Return the groups that a VM is a member of."""
        return tuple(
            group for group in self._groups.values() if vm in group.vms
        )

    def group_of(self, region: str, shard_key: str) -> str:
        """Return the name of the group of a key.

        With rendezvous hashing a changed list of groups moves only the keys
        of the groups that were added or removed.

        Returns
        -------
        The name, empty in a region without groups.

        """
        cached = self._cache.get((region, shard_key))
        if cached is not None:
            return cached
        groups = self._regions.get(region)
        if not groups:
            return ''
        encoded = shard_key.encode()
        _, best = max(
            (xxh3_64_intdigest(encoded, seed), name) for seed, name in groups
        )
        if len(self._cache) >= _MAX_CACHED:
            self._cache.clear()
        self._cache[region, shard_key] = best
        return best


__all__ = ('GroupIndex',)
