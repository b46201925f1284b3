"""Detection of unknown members in submitted lists.

The decoder ignores unknown members, so a misspelt one would silently get its
default value and, for example, leave a plan without its limit.
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


def _member_names(kind: type[attrs.AttrsInstance]) -> frozenset[str]:
    return frozenset(field.name for field in attrs.fields(kind))


_WINDOWS = 'windows'
_MEMBERS_BY_LIST = MappingProxyType(
    {
        'accounts': _member_names(Account),
        'plans': _member_names(Plan),
        'routes': _member_names(Route),
        'services': _member_names(Service),
    }
)
_WINDOW_MEMBERS = _member_names(DeadlineWindow)
_WINDOWS_DECODER = msgspec.json.Decoder(list[_Row])


class _Outline(msgspec.Struct):
    """A document whose rows are decoded to member names and raw values."""

    lists: dict[str, list[_Row]]


_OUTLINE_DECODER = msgspec.json.Decoder(_Outline)


def find_unknown_member(raw: bytes) -> str | None:
    """Return the path of the first unknown member, None if there is none.

    Parameters
    ----------
    raw
        A valid body of ``POST /v1/lists``.

    """
    for name, rows in _OUTLINE_DECODER.decode(raw).lists.items():
        known = _MEMBERS_BY_LIST.get(name)
        if known is None:
            return f'lists.{name}'
        unknown_path = _find_in_rows(rows, known)
        if unknown_path is not None:
            return f'lists.{name}{unknown_path}'
    return None


def _find_in_rows(rows: list[_Row], known: frozenset[str]) -> str | None:
    for index, row in enumerate(rows):
        if not known.issuperset(row):
            unknown = min(row.keys() - known)
            return f'[{index}].{unknown}'
        windows = row.get(_WINDOWS)
        if windows is not None:
            unknown_path = _find_in_rows(
                _WINDOWS_DECODER.decode(windows), _WINDOW_MEMBERS
            )
            if unknown_path is not None:
                return f'[{index}].{_WINDOWS}{unknown_path}'
    return None


__all__ = ('find_unknown_member',)
