"""Reading of TOML documents into attrs classes."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Mapping
from typing import Any, Final, TypeVar, get_args, get_origin, get_type_hints

import attrs
import msgspec
from expression import Error, Ok, Result

from ..core.errors import Failure, InvalidInput

_Document = TypeVar('_Document')

_EXPECTED: Final = re.compile('Expected (.*), got (.*)')


@attrs.frozen
class InvalidDocument(Failure):
    """One or more values of TOML documents that can't be used."""

    problems: tuple[InvalidInput, ...]

    def __str__(self) -> str:
        """Render one line per problem."""
        return '\n'.join(str(problem) for problem in self.problems)


def read_document(
    source: str, text: str, kind: type[_Document]
) -> Result[_Document, InvalidDocument]:
    """Return a TOML text as an attrs class.

    Parameters
    ----------
    source
        Name of the file, for errors.
    text
        The TOML text.
    kind
        The attrs class; keys that it doesn't have are errors.

    Returns
    -------
    The document, or every unknown key and wrong or missing value.

    """
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        problem = InvalidInput(source, '(syntax)', str(error), 'valid TOML')
        return Error(InvalidDocument((problem,)))
    reader = _Reader(source)
    document = reader.read(raw, kind, '')
    if reader.problems:
        return Error(InvalidDocument(tuple(reader.problems)))
    return Ok(document)


@attrs.define
class _Reader:
    """Converts values one by one, so that each problem has its full key."""

    source: str
    problems: list[InvalidInput] = attrs.field(factory=list)

    def read(self, raw: object, kind: Any, key: str) -> Any:
        """Return a value as its type, or note why it can't be."""
        if attrs.has(kind) and isinstance(raw, dict):
            return self._read_table(raw, kind, key)
        if get_origin(kind) is Mapping and isinstance(raw, dict):
            entry_kind = get_args(kind)[1]
            return {
                name: self.read(entry, entry_kind, _join(key, name))
                for name, entry in raw.items()
            }
        if get_origin(kind) is tuple and isinstance(raw, list):
            entry_kind = get_args(kind)[0]
            return tuple(
                self.read(entry, entry_kind, _join(key, str(position)))
                for position, entry in enumerate(raw)
            )
        return self._read_leaf(raw, kind, key)

    def _read_table(self, raw: dict[str, Any], kind: Any, key: str) -> Any:
        hints = get_type_hints(kind)
        expected = ', '.join(sorted(hints))
        for unknown in raw.keys() - hints.keys():
            self._note(
                _join(key, unknown), 'an unknown key', f'one of {expected}'
            )
        for attribute in attrs.fields(kind):
            required = attribute.default is attrs.NOTHING
            if required and attribute.name not in raw:
                self._note(_join(key, attribute.name), 'nothing', 'a value')
        fields = {
            name: self.read(raw[name], hint, _join(key, name))
            for name, hint in hints.items()
            if name in raw
        }
        return None if self.problems else kind(**fields)

    def _read_leaf(self, raw: object, kind: Any, key: str) -> Any:
        try:
            return msgspec.convert(raw, kind, strict=True)
        except msgspec.ValidationError as error:
            self._note_type(raw, key, str(error))
        return None

    def _note_type(self, raw: object, key: str, message: str) -> None:
        wanted = _EXPECTED.search(message)
        came = wanted[2] if wanted else repr(raw)
        self._note(key, came, wanted[1] if wanted else 'another value')

    def _note(self, key: str, came: str, expected: str) -> None:
        self.problems.append(InvalidInput(self.source, key, came, expected))


def _join(key: str, name: str) -> str:
    return f'{key}.{name}' if key else name


__all__ = ('InvalidDocument', 'read_document')
