"""Parsing of quantities with units in TOML files."""

from __future__ import annotations

import re
from types import MappingProxyType
from typing import Any, Final

from expression import Error, Ok, Result

from ..core.errors import InvalidInput

MINUTES_PER_HOUR: Final = 60
HOURS_PER_DAY: Final = 24
PERCENT: Final = 100

_SECONDS: Final = MappingProxyType(
    {'ms': 0.001, 's': 1.0, 'min': 60.0, 'h': 3600.0}
)
_DURATION: Final = re.compile(r'(\d+(?:\.\d+)?)\s*(ms|s|min|h)')
_RATE: Final = re.compile(r'(\d+(?:\.\d+)?)\s*/\s*(s|min|h)')
_SHARE: Final = re.compile(r'(\d+(?:\.\d+)?)\s*%')
_CLOCK: Final = re.compile(r'(\d{2}):(\d{2})')


def parse_duration(
    source: str, key: str, text: object
) -> Result[float, InvalidInput]:
    """Return seconds from a text such as ``1500ms`` or ``2s``."""
    match = _full_match(_DURATION, text)
    if match is None:
        return _invalid(source, key, text, 'a duration such as "1500ms"')
    seconds = float(match[1]) * _SECONDS[match[2]]
    if seconds <= 0:
        return _invalid(source, key, text, 'a duration above zero')
    return Ok(seconds)


def parse_rate(
    source: str, key: str, text: object
) -> Result[float, InvalidInput]:
    """Return requests per second from a text such as ``20/s``."""
    match = _full_match(_RATE, text)
    if match is None:
        return _invalid(source, key, text, 'a rate such as "20/s"')
    rate = float(match[1]) / _SECONDS[match[2]]
    if rate <= 0:
        return _invalid(source, key, text, 'a rate above zero')
    return Ok(rate)


def parse_share(
    source: str, key: str, text: object
) -> Result[float, InvalidInput]:
    """Return a share from 0 to 1 from a text such as ``50%``."""
    match = _full_match(_SHARE, text)
    if match is None:
        return _invalid(source, key, text, 'a share such as "50%"')
    share = float(match[1]) / PERCENT
    if share > 1:
        return _invalid(source, key, text, 'at most "100%"')
    return Ok(share)


def parse_clock(
    source: str, key: str, text: object
) -> Result[int, InvalidInput]:
    """Return minutes since midnight from a text such as ``07:30``."""
    match = _full_match(_CLOCK, text)
    if match is None:
        return _invalid(source, key, text, 'a time of day such as "07:30"')
    hour = int(match[1])
    minute = int(match[2])
    if hour >= HOURS_PER_DAY or minute >= MINUTES_PER_HOUR:
        return _invalid(source, key, text, 'a time from "00:00" to "23:59"')
    return Ok(hour * MINUTES_PER_HOUR + minute)


def _full_match(pattern: re.Pattern[str], text: object) -> re.Match[str] | None:
    return pattern.fullmatch(text) if isinstance(text, str) else None


def _invalid(
    source: str, key: str, actual: object, expected: str
) -> Result[Any, InvalidInput]:
    return Error(InvalidInput(source, key, repr(actual), expected))


__all__ = ('parse_clock', 'parse_duration', 'parse_rate', 'parse_share')
