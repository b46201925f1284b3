"""What a target says of itself in the head of an answer."""

from __future__ import annotations

import calendar
import re
import time
from email.utils import parsedate
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

from ..core.events import TargetStatement
from .asgi import HeaderList
from .dialect import Dialect

RETRY_AFTER: Final = b'retry-after'
_DECIMAL: Final = re.compile(r'\d{1,9}(\.\d{1,9})?', re.ASCII)
_FLAGS: Final = MappingProxyType({b'0': False, b'1': True})


def read_statement(
    status: int, headers: HeaderList, dialect: Dialect
) -> TargetStatement:
    """Return what a target says of itself.

    Values that are repeated or can't be read are ignored, but marked.
    """
    rates = _find_values(headers, dialect.rate_limit_header)
    flags = _find_values(headers, dialect.leaving_header)
    pauses = _find_values(headers, RETRY_AFTER)
    if status != HTTPStatus.SERVICE_UNAVAILABLE:
        pauses = []
    max_rate = parse_decimal(rates[0]) if len(rates) == 1 else None
    leaving = _FLAGS.get(flags[0].strip()) if len(flags) == 1 else None
    pause_s = parse_retry_after(pauses[0]) if len(pauses) == 1 else None
    is_valid = (
        (max_rate is None) is (not rates)
        and (leaving is None) is (not flags)
        and (pause_s is None) is (not pauses)
    )
    return TargetStatement(max_rate, bool(leaving), pause_s or 0, is_valid)


def remove_statement(headers: HeaderList, dialect: Dialect) -> HeaderList:
    """Return the headers without those that callers don't need."""
    private = {
        dialect.rate_limit_header,
        dialect.leaving_header,
        dialect.attempt_id_header,
    }
    return [header for header in headers if header[0] not in private]


def parse_decimal(value: bytes) -> float | None:
    """Parse a decimal number without a sign, None if it is invalid."""
    text = value.decode('latin-1').strip()
    return float(text) if _DECIMAL.fullmatch(text) else None


def parse_retry_after(value: bytes) -> float | None:
    """Parse a ``Retry-After`` value to seconds, None if it is invalid."""
    seconds = parse_decimal(value)
    if seconds is not None:
        return seconds
    parsed_date = parsedate(value.decode('latin-1'))
    if parsed_date is None:
        return None
    return max(0, calendar.timegm(parsed_date) - time.time())


def _find_values(headers: HeaderList, name: bytes) -> list[bytes]:
    return [value for known, value in headers if name and known == name]


__all__ = (
    'RETRY_AFTER',
    'parse_decimal',
    'parse_retry_after',
    'read_statement',
    'remove_statement',
)
