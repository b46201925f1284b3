"""Validation of request targets.

Routes determine access rights, so a path must have the same meaning for this
proxy and for the target. Paths that servers interpret differently are refused,
and unreserved characters are decoded before routes are matched.
"""

from __future__ import annotations

import re
from urllib.parse import unquote_plus

import attrs
from expression import Error, Ok, Result

from .malformed import BadRequest, malformed

_ABSOLUTE_FORM = re.compile(rb'http://([^/?#@]+)(/[^?#]*)?(\?[^#]*)?', re.I)
_VISIBLE = re.compile(r'[!-~]+')
_PERCENT_ESCAPE = re.compile('%([0-9A-Fa-f]{2})?')
_HEX_BASE = 16
_FIRST_PRINTABLE = ord(' ')
_DEL = 0x7F
_REFUSED_ESCAPES = frozenset(
    (*range(_FIRST_PRINTABLE), _DEL, ord('/'), ord('\\'))
)
_UNRESERVED = frozenset(
    b'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~'
)
_KEY_PARAMETERS = frozenset(('api_key', 'key', 'access_token'))
_QUERY_SEPARATOR = re.compile('[&;]')


@attrs.frozen
class RequestTarget:
    """A validated request target.

    Parameters
    ----------
    raw
        Path and query as received; sent to the target.
    path
        Path with unreserved characters decoded; used to match routes.

    """

    raw: bytes
    path: str
    query: str


def check_target(raw: bytes, host: bytes) -> Result[RequestTarget, BadRequest]:
    """Validate a request target and compare it with the ``Host`` header.

    Parameters
    ----------
    raw
        Request target as in the request line.

    """
    if not raw.startswith(b'/'):
        absolute = _ABSOLUTE_FORM.fullmatch(raw)
        if absolute is None:
            return Error(malformed('request target is no path'))
        if _normalize_authority(absolute[1]) != _normalize_authority(host):
            return Error(malformed('request target disagrees with Host'))
        raw = (absolute[2] or b'/') + (absolute[3] or b'')
    text = raw.decode('latin-1')
    if not _VISIBLE.fullmatch(text) or '#' in text:
        return Error(malformed('request target has a refused character'))
    raw_path, _, query = text.partition('?')
    if has_key_parameter(query):
        return Error(malformed('a key in the query; send it in a header'))
    return _check_path(raw_path).map(
        lambda path: RequestTarget(raw, path, query)
    )


def has_key_parameter(query: str) -> bool:
    """Return whether a query has a parameter that commonly holds a key."""
    if not query:
        return False
    names = (part.partition('=')[0] for part in _QUERY_SEPARATOR.split(query))
    return any(
        unquote_plus(name).strip().lower() in _KEY_PARAMETERS for name in names
    )


def _check_path(raw_path: str) -> Result[str, BadRequest]:
    path = raw_path
    if '%' in raw_path:
        decoded = _decode_unreserved(raw_path)
        if decoded is None:
            return Error(malformed('path has a refused escape'))
        path = decoded
    if '\\' in path:
        return Error(malformed('path has a backslash'))
    if '//' in path:
        return Error(malformed('path has an empty segment'))
    if '/.' in path and _has_dot_segment(path):
        return Error(malformed('path has a dot segment'))
    return Ok(path)


def _has_dot_segment(path: str) -> bool:
    # Some servers drop the part of a segment after a semicolon before they
    # resolve dot segments.
    segments = path.split('/')
    return any(part.partition(';')[0] in {'.', '..'} for part in segments)


def _decode_unreserved(raw_path: str) -> str | None:
    for escape in _PERCENT_ESCAPE.finditer(raw_path):
        if escape[1] is None or int(escape[1], _HEX_BASE) in _REFUSED_ESCAPES:
            return None
    return _PERCENT_ESCAPE.sub(_decode_escape, raw_path)


def _decode_escape(escape: re.Match[str]) -> str:
    code = int(escape[1], _HEX_BASE)
    return chr(code) if code in _UNRESERVED else escape[0].upper()


def _normalize_authority(authority: bytes) -> bytes:
    return authority.lower().removesuffix(b':80')


__all__ = ('RequestTarget', 'check_target', 'has_key_parameter')
