"""Entries of the control log and their effect on the configuration."""

from __future__ import annotations

from typing import TypeVar

import attrs
import msgspec

from ..types import AccountId, KeyId
from .model import (
    Account,
    Configuration,
    Document,
    Key,
    Lists,
    Plan,
    Route,
    Service,
)

# Records of departures identify delayed announcements of targets that have
# left. At 2,500 restarts a day the limit retains them for hours.
MAX_DEPARTED_TARGETS = 512

_Row = TypeVar('_Row', Account, Plan, Route, Service)


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """Base class of all entries; each has a unique integer tag."""


class FleetInitialised(Entry, frozen=True, array_like=True, tag=1):
    """First entry of a log; ``wall_s`` is its Unix time."""

    wall_s: float


class ListsChanged(Entry, frozen=True, array_like=True, tag=2):
    """Difference between the lists in force and the new ones."""

    command_key: str
    accounts: tuple[Account, ...] = ()
    plans: tuple[Plan, ...] = ()
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    removed_accounts: tuple[str, ...] = ()
    removed_plans: tuple[str, ...] = ()
    removed_routes: tuple[str, ...] = ()
    removed_services: tuple[str, ...] = ()


class KeyGranted(Entry, frozen=True, array_like=True, tag=3):
    """A key was granted to an account."""

    command_key: str
    key_id: KeyId
    account: AccountId
    key_hash: bytes


class KeyWithdrawn(Entry, frozen=True, array_like=True, tag=4):
    """A key was withdrawn permanently."""

    command_key: str
    key_id: KeyId


class NoOp(Entry, frozen=True, array_like=True, tag=5):
    """Entry without effect, for new terms and membership changes."""


class DocumentStored(Entry, frozen=True, array_like=True, tag=6):
    """A document replaced the two lists and all keys."""

    document: Document
    lists: Lists
    keys: tuple[Key, ...] = ()


class TargetDeparted(Entry, frozen=True, array_like=True, tag=7):
    """A target reported its shutdown.

    Parameters
    ----------
    born_ms
        Unix time in milliseconds; covers all starts of the target up to it.

    """

    target: str
    born_ms: int


AnyEntry = (
    FleetInitialised
    | ListsChanged
    | KeyGranted
    | KeyWithdrawn
    | NoOp
    | DocumentStored
    | TargetDeparted
)


def apply_entry(
    before: Configuration, version: int, entry: Entry
) -> Configuration:
    """Return the configuration after an entry.

    Parameters
    ----------
    version
        Version of the entry; that of ``before`` plus one.

    """
    match entry:
        case FleetInitialised(wall_s=wall_s):
            return _evolve_to_version(
                before, version, initialised_wall_s=wall_s
            )
        case ListsChanged():
            return _apply_lists(before, version, entry)
        case KeyGranted():
            key = Key(entry.key_id, entry.account, entry.key_hash)
            keys = {**before.keys, key.key_id: key}
            return _evolve_to_version(
                before, version, keys=keys, content_version=version
            )
        case KeyWithdrawn(key_id=key_id):
            withdrawn = before.withdrawn | {key_id}
            return _evolve_to_version(
                before, version, withdrawn=withdrawn, content_version=version
            )
        case DocumentStored():
            return _apply_document(before, version, entry)
        case TargetDeparted():
            departed = _add_departure(before.departed, entry)
            return _evolve_to_version(before, version, departed=departed)
    return _evolve_to_version(before, version)


def _add_departure(
    departed: tuple[tuple[str, int], ...], entry: TargetDeparted
) -> tuple[tuple[str, int], ...]:
    born_ms = entry.born_ms
    others = []
    for target, known_ms in departed:
        if target == entry.target:
            # Reports may arrive out of order; the latest start wins.
            born_ms = max(born_ms, known_ms)
        else:
            others.append((target, known_ms))
    return (*others, (entry.target, born_ms))[-MAX_DEPARTED_TARGETS:]


def diff_lists(
    before: Configuration, lists: Lists, command_key: str
) -> ListsChanged:
    """Return the entry that replaces the lists in force by new ones."""
    return ListsChanged(
        command_key=command_key,
        accounts=_changed_rows(before.accounts, lists.accounts),
        plans=_changed_rows(before.plans, lists.plans),
        routes=_changed_rows(before.routes, lists.routes),
        services=_changed_rows(before.services, lists.services),
        removed_accounts=_removed_names(before.accounts, lists.accounts),
        removed_plans=_removed_names(before.plans, lists.plans),
        removed_routes=_removed_names(before.routes, lists.routes),
        removed_services=_removed_names(before.services, lists.services),
    )


def current_lists(configuration: Configuration) -> Lists:
    """Return the two lists in force."""
    return Lists(
        accounts=tuple(configuration.accounts.values()),
        plans=tuple(configuration.plans.values()),
        routes=tuple(configuration.routes.values()),
        services=tuple(configuration.services.values()),
    )


def _evolve_to_version(
    before: Configuration, version: int, **changes: object
) -> Configuration:
    fields: dict[str, object] = {'version': version, **changes}
    return attrs.evolve(before, **fields)  # type: ignore[arg-type]


def _apply_lists(
    before: Configuration, version: int, entry: ListsChanged
) -> Configuration:
    return _evolve_to_version(
        before,
        version,
        lists_version=version,
        content_version=version,
        accounts=_merge_rows(
            before.accounts, entry.accounts, entry.removed_accounts
        ),
        plans=_merge_rows(before.plans, entry.plans, entry.removed_plans),
        routes=_merge_rows(before.routes, entry.routes, entry.removed_routes),
        services=_merge_rows(
            before.services, entry.services, entry.removed_services
        ),
    )


def _apply_document(
    before: Configuration, version: int, entry: DocumentStored
) -> Configuration:
    lists = entry.lists
    return _evolve_to_version(
        before,
        version,
        lists_version=version,
        content_version=version,
        document=entry.document,
        accounts={str(row.name): row for row in lists.accounts},
        plans={row.name: row for row in lists.plans},
        routes={row.name: row for row in lists.routes},
        services={str(row.name): row for row in lists.services},
        keys={key.key_id: key for key in entry.keys},
    )


def _merge_rows(
    before: object, rows: tuple[_Row, ...], removed: tuple[str, ...]
) -> dict[str, _Row]:
    merged: dict[str, _Row] = dict(before)  # type: ignore[call-overload]
    for name in removed:
        merged.pop(name, None)
    merged.update({str(row.name): row for row in rows})
    return merged


def _changed_rows(before: object, rows: tuple[_Row, ...]) -> tuple[_Row, ...]:
    known: dict[str, _Row] = dict(before)  # type: ignore[call-overload]
    return tuple(row for row in rows if known.get(str(row.name)) != row)


def _removed_names(before: object, rows: tuple[_Row, ...]) -> tuple[str, ...]:
    kept = {str(row.name) for row in rows}
    names: dict[str, _Row] = dict(before)  # type: ignore[call-overload]
    return tuple(name for name in names if name not in kept)


__all__ = (
    'AnyEntry',
    'DocumentStored',
    'Entry',
    'FleetInitialised',
    'KeyGranted',
    'KeyWithdrawn',
    'ListsChanged',
    'NoOp',
    'TargetDeparted',
    'apply_entry',
    'diff_lists',
    'current_lists',
)
