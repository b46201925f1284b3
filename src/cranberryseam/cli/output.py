"""Output formatting and exit codes of the tool."""

from __future__ import annotations

import sys
from collections.abc import Mapping, Sequence
from typing import Any, Final, NoReturn

import msgspec

from ..configuration.documents import InvalidDocument
from ..core.errors import Failure
from .client import ApiRefused, ApiUnreachable

TABLE_DECIMALS: Final = 3

EXIT_REFUSED: Final = 1
EXIT_INVALID: Final = 2
EXIT_UNREACHABLE: Final = 3
EXIT_CONFLICT: Final = 4
# An address did not accept a withdrawal, or a VM has not confirmed it yet.
EXIT_UNCONFIRMED: Final = 5
# The command may or may not have taken effect.
EXIT_OUTCOME_UNKNOWN: Final = 6

# A command key is the idempotency key of a command.
_CONFLICT_FAILURES: Final = frozenset(('VersionConflict', 'CommandKeyReused'))


def print_json(document: object) -> None:
    """Print a document as JSON."""
    encoded = msgspec.json.encode(document)
    print(msgspec.json.format(encoded).decode())  # noqa: WPS421


def print_table(rows: Sequence[Mapping[str, Any]], columns: str) -> None:
    """Print rows as a table.

    Parameters
    ----------
    columns
        Column names, separated by spaces.

    """
    names = columns.split()
    cell_rows = [names]
    for row in rows:
        cell_rows.append([_format(row.get(name)) for name in names])
    widths = [max(map(len, column)) for column in zip(*cell_rows, strict=True)]
    for line in cell_rows:
        cells = [
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        ]
        print('  '.join(cells).rstrip())  # noqa: WPS421


def fail(failure: Failure) -> NoReturn:
    """Print a failure to standard error and exit with its code."""
    sys.stderr.write(f'{describe_failure(failure)}\n')
    sys.exit(find_exit_code(failure))


def exit_invalid(message: str) -> NoReturn:
    """Print a message to standard error and exit with ``EXIT_INVALID``."""
    sys.stderr.write(f'{message}\n')
    sys.exit(EXIT_INVALID)


def describe_failure(failure: Failure) -> str:
    """Return the message for a failure."""
    if isinstance(failure, ApiUnreachable):
        address = failure.address
        return f'{address}: unreachable: {failure.detail}'
    if isinstance(failure, ApiRefused):
        document = failure.document
        details = ', '.join(
            f'{key}={field}'
            for key, field in document.items()
            if key not in {'type', 'title', 'status'}
        )
        title = document.get('title', '')
        address = failure.address
        return f'{address}: {title} {details}'.rstrip()
    return str(failure)


def find_exit_code(failure: Failure) -> int:
    """Return the exit code of the tool for a failure."""
    if isinstance(failure, InvalidDocument):
        return EXIT_INVALID
    if isinstance(failure, ApiUnreachable):
        return EXIT_UNREACHABLE
    if isinstance(failure, ApiRefused):
        if failure.name in _CONFLICT_FAILURES:
            return EXIT_CONFLICT
        if failure.name == 'OutcomeUnknown':
            return EXIT_OUTCOME_UNKNOWN
    return EXIT_REFUSED


def _format(cell: object) -> str:
    if cell is None:
        return '-'
    if isinstance(cell, float):
        return str(round(cell, TABLE_DECIMALS))
    if isinstance(cell, list):
        return ','.join(str(entry) for entry in cell)
    return str(cell)


__all__ = (
    'EXIT_CONFLICT',
    'EXIT_INVALID',
    'EXIT_REFUSED',
    'EXIT_UNCONFIRMED',
    'EXIT_OUTCOME_UNKNOWN',
    'EXIT_UNREACHABLE',
    'describe_failure',
    'exit_invalid',
    'fail',
    'find_exit_code',
    'print_json',
    'print_table',
)
