"""Members of the two lists that no row type has.

Decoding ignores them, so that a misspelt member would silently become its
default; a plan without its limit, for instance.
"""

from __future__ import annotations

from types import MappingProxyType
from typing import TypeAlias

import attrs
import msgspec

from ..configuration.model import (
    Account,
    DeadlineWindow,
    Plan,
    Route,
    Service,
)

_Row: TypeAlias = dict[str, msgspec.Raw]


def _list_members(kind: type[attrs.AttrsInstance]) -> frozenset[str]:
    return frozenset(field.name for field in attrs.fields(kind))


_WINDOWS = 'windows'
_KNOWN = MappingProxyType(
    {
        'accounts': _list_members(Account),
        'plans': _list_members(Plan),
        'routes': _list_members(Route),
        'services': _list_members(Service),
    }
)
_WINDOW_MEMBERS = _list_members(DeadlineWindow)
_WINDOW_ROWS = msgspec.json.Decoder(list[_Row])


class _Outline(msgspec.Struct):
    """A document of which only the member names are decoded."""

    lists: dict[str, list[_Row]]


_OUTLINE = msgspec.json.Decoder(_Outline)


def find_unknown_member(raw: bytes) -> str | None:
    """Return the path of the first unknown member, None without one.

    Parameters
    ----------
    raw
        A valid body of ``POST /v1/lists``.

    """
    for name, rows in _OUTLINE.decode(raw).lists.items():
        known = _KNOWN.get(name)
        if known is None:
            return f'lists.{name}'
        found = _find_in_rows(rows, known)
        if found is not None:
            return f'lists.{name}{found}'
    return None


def _find_in_rows(rows: list[_Row], known: frozenset[str]) -> str | None:
    for index, row in enumerate(rows):
        if not known.issuperset(row):
            unknown = min(row.keys() - known)
            return f'[{index}].{unknown}'
        windows = row.get(_WINDOWS)
        if windows is not None:
            found = _find_in_rows(_WINDOW_ROWS.decode(windows), _WINDOW_MEMBERS)
            if found is not None:
                return f'[{index}].{_WINDOWS}{found}'
    return None


__all__ = ('find_unknown_member',)
