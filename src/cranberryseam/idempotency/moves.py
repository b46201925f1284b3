"""Accounts whose records are in the region they had before."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .records import Record, State

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..configuration.model import Configuration
    from ..configuration.settings import Settings
    from .replica import Replica

# The old home may take claims until it has the new configuration too.
_SPREAD_S = 30.0


def mark_moved_accounts(
    before: Configuration,
    after: Configuration,
    settings: Settings,
    find_replica: Callable[[str], Replica | None],
    at: float,
) -> None:
    """Mark accounts that moved here, so that their claims are refused.

    A key that ran under the old home has no record here until the life of
    such a record is over. The mark is a record itself, with an empty key, so
    that a new leader reads it like the others.
    """
    regions = settings.region_names
    for name in _list_changed(before, after):
        old_home = before.home_of(before.accounts[name], regions)
        new_home = after.home_of(after.accounts[name], regions)
        replica = find_replica(name)
        if replica is None or new_home != settings.vm.region:
            continue
        if old_home != new_home:
            state = int(State.moved)
            mark = Record(name, '', b'', '', 0, 0, state, 0, after.version)
            replica.table.merge(mark, at + _SPREAD_S)


def _list_changed(before: Configuration, after: Configuration) -> list[str]:
    """Return the accounts that are in both with different rows."""
    return [
        name
        for name, account in after.accounts.items()
        if before.accounts.get(name, account) is not account
    ]


__all__ = ('mark_moved_accounts',)
