"""Conversion of TOML documents to attrs classes."""

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

_TYPE_ERROR: Final = re.compile('Expected (.*), got (.*)')


@attrs.frozen
class InvalidDocument(Failure):
    """One or more values of TOML documents that can't be used."""

    problems: tuple[InvalidInput, ...]

    def __str__(self) -> str:
        """Return one line per problem."""
        return '\n'.join(str(problem) for problem in self.problems)


def read_document(
    source: str, text: str, kind: type[_Document]
) -> Result[_Document, InvalidDocument]:
    """Return an instance of an attrs class from TOML text.

    Parameters
    ----------
    source
        Name of the file, for error messages.
    text
        The TOML text.
    kind
        The attrs class; unknown keys are errors.

    Returns
    -------
    The instance, or all unknown keys and invalid or missing values.

    """
    try:
        raw = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        problem = InvalidInput(source, '(syntax)', str(error), 'valid TOML')
        return Error(InvalidDocument((problem,)))
    reader = _DocumentReader(source)
    document = reader.read(raw, kind, '')
    if reader.problems:
        return Error(InvalidDocument(tuple(reader.problems)))
    return Ok(document)


@attrs.define
class _DocumentReader:
    """Converts values one by one, to report each problem with its full key."""

    source: str
    problems: list[InvalidInput] = attrs.field(factory=list)

    def read(self, raw: object, kind: Any, key: str) -> Any:
        """Return a value converted to a type, or record a problem."""
        if attrs.has(kind) and isinstance(raw, dict):
            return self._read_table(raw, kind, key)
        if get_origin(kind) is Mapping and isinstance(raw, dict):
            element_kind = get_args(kind)[1]
            return {
                name: self.read(element, element_kind, _join_key(key, name))
                for name, element in raw.items()
            }
        if get_origin(kind) is tuple and isinstance(raw, list):
            element_kind = get_args(kind)[0]
            return tuple(
                self.read(element, element_kind, _join_key(key, str(position)))
                for position, element in enumerate(raw)
            )
        return self._read_leaf(raw, kind, key)

    def _read_table(self, raw: dict[str, Any], kind: Any, key: str) -> Any:
        hints = get_type_hints(kind)
        expected = ', '.join(sorted(hints))
        for unknown in raw.keys() - hints.keys():
            self._add_problem(
                _join_key(key, unknown), 'an unknown key', f'one of {expected}'
            )
        for attribute in attrs.fields(kind):
            required = attribute.default is attrs.NOTHING
            if required and attribute.name not in raw:
                self._add_problem(
                    _join_key(key, attribute.name), 'nothing', 'a value'
                )
        fields = {
            name: self.read(raw[name], hint, _join_key(key, name))
            for name, hint in hints.items()
            if name in raw
        }
        return None if self.problems else kind(**fields)

    def _read_leaf(self, raw: object, kind: Any, key: str) -> Any:
        try:
            return msgspec.convert(raw, kind, strict=True)
        except msgspec.ValidationError as error:
            self._add_type_problem(raw, key, str(error))
        return None

    def _add_type_problem(self, raw: object, key: str, message: str) -> None:
        match = _TYPE_ERROR.search(message)
        actual = match[2] if match else repr(raw)
        self._add_problem(key, actual, match[1] if match else 'another value')

    def _add_problem(self, key: str, actual: str, expected: str) -> None:
        self.problems.append(InvalidInput(self.source, key, actual, expected))


def _join_key(key: str, name: str) -> str:
    return f'{key}.{name}' if key else name


__all__ = ('InvalidDocument', 'read_document')
