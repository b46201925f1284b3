"""Accounts whose records are still in their previous home region."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .records import Record, State

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..configuration.model import Configuration
    from ..configuration.settings import Settings
    from .replica import Replica

# The previous home may grant claims until the new configuration reaches it.
_CONFIGURATION_SPREAD_S = 30.0


def mark_moved_accounts(
    previous: Configuration,
    current: Configuration,
    settings: Settings,
    find_replica: Callable[[str], Replica | None],
    at: float,
) -> None:
    """Mark accounts that moved to this region; their claims are refused.

    The records of keys used in the previous home are missing here, so the
    mark lasts until those records have expired. It is itself a record, with
    an empty key, so that a new leader reads it like any other record.
    """
    regions = settings.region_names
    for name in _list_changed_accounts(previous, current):
        old_home = previous.home_region(previous.accounts[name], regions)
        new_home = current.home_region(current.accounts[name], regions)
        replica = find_replica(name)
        if replica is None or new_home != settings.vm.region:
            continue
        if old_home != new_home:
            state = int(State.moved)
            marker = Record(name, '', b'', '', 0, 0, state, 0, current.version)
            replica.table.merge(marker, at + _CONFIGURATION_SPREAD_S)


def _list_changed_accounts(
    previous: Configuration, current: Configuration
) -> list[str]:
    """Return the accounts that are in both configurations but differ."""
    return [
        name
        for name, account in current.accounts.items()
        if previous.accounts.get(name, account) is not account
    ]


__all__ = ('mark_moved_accounts',)
