"""Validation of request heads.

It runs before the reducer sees a request, so that only unambiguous heads reach
a target.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from typing import Final, TypeAlias

import attrs
from expression import Error, Ok, Result

from ..configuration.settings import RequestSettings
from ..core.refusals import RefusalReason
from .asgi import HeaderList, HeaderPair, Scope
from .credentials import KEY_HEADERS, read_keys
from .dialect import DEFAULT_DIALECT, Dialect
from .headers import (
    CHUNKED,
    CONNECTION,
    CONTENT_LENGTH,
    HOST,
    TRANSFER_ENCODING,
    parse_list_values,
    select_request_headers,
)
from .malformed import BadRequest, malformed
from .paths import RequestTarget, check_target

_Fields: TypeAlias = Mapping[bytes, list[bytes]]

# Most header lines of a request, which take time whatever their length.
MAX_HEADERS: Final = 256
# Colon, space and line end of a header line count towards the size limit.
_LINE_OVERHEAD_BYTES = 4
_MS_PER_S = 1000
_UPGRADE = b'upgrade'
_EXPECT = b'expect'
_CONTROL_HEADERS = frozenset(
    (
        CONNECTION,
        CONTENT_LENGTH,
        HOST,
        TRANSFER_ENCODING,
        _EXPECT,
        _UPGRADE,
    )
)
# Underscores are refused, because CGI-like servers treat them as hyphens:
# ``X_Forwarded_For`` could override a header that this proxy sets.
_FIELD_NAME = re.compile(rb"[a-z0-9!#$%&'*+.^`|~-]+")
_FIELD_VALUE = re.compile(rb'[\t -~\x80-\xff]*')
_METHOD = re.compile('[A-Z][A-Z-]{0,31}')
_AUTHORITY = re.compile(rb'([A-Za-z0-9._~-]+|\[[0-9A-Fa-f:.]+\])(:[0-9]{1,5})?')
_CHUNKED_ONLY = re.compile(CHUNKED, re.I)
_EXPECT_CONTINUE = re.compile(b'100-continue', re.I)
_NUMBER = re.compile(b'[0-9]{1,15}')
_IDEMPOTENCY_KEY = re.compile(b'[!-~]{1,128}')


@attrs.frozen
class CheckedHead:
    """A validated request head.

    Parameters
    ----------
    headers
        Headers to forward: no keys, hop-by-hop or forwarding headers.
    content_length
        None without a ``Content-Length`` header.

    """

    method: str
    target: RequestTarget
    host: bytes
    headers: HeaderList
    key_hashes: tuple[bytes, ...]
    idempotency_key: str | None
    timeout_s: float | None
    content_length: int | None
    chunked: bool
    caller_request_id: bytes = b''


@attrs.frozen
class _ControlHeaders:
    timeout_s: float | None
    content_length: int | None
    chunked: bool
    idempotency_key: str | None
    caller_request_id: bytes


def check_head(
    scope: Scope, limits: RequestSettings, dialect: Dialect = DEFAULT_DIALECT
) -> Result[CheckedHead, BadRequest]:
    """Validate the head of a request.

    Parameters
    ----------
    scope
        ASGI scope with lower-case header names.
    dialect
        Header names used with callers.

    """
    method: str = scope['method']
    # HTTP/1.0 can't signal an incomplete response. HTTP/2 has other framing,
    # which these checks do not cover.
    if scope['http_version'] != '1.1':
        return Error(malformed('only HTTP/1.1 is served'))
    if not _METHOD.fullmatch(method) or method in {'CONNECT', 'TRACE'}:
        return Error(malformed('method is refused'))
    pairs: HeaderList = scope['headers']
    problem = _find_bad_header(pairs, limits.most_header_bytes)
    if problem is not None:
        return Error(problem)
    fields = _collect_fields(pairs, dialect)
    host = _read_host(fields)
    if host is None:
        return Error(malformed('Host must appear once as a name or address'))
    return check_target(_join_target(scope), host).bind(
        lambda target: _HeadCheck(dialect, fields, pairs).check(
            method, target, host
        )
    )


@attrs.frozen
class _HeadCheck:
    """Validation of the headers of a request."""

    dialect: Dialect
    fields: _Fields
    pairs: HeaderList

    def check(
        self, method: str, target: RequestTarget, host: bytes
    ) -> Result[CheckedHead, BadRequest]:
        """Return the validated head."""
        keys = read_keys(
            (pair for pair in self.pairs if pair[0] in KEY_HEADERS),
            self.dialect.authorization_scheme,
        )
        if keys.is_error():
            return Error(keys.error)
        connection_options = parse_list_values(self.fields.get(CONNECTION, ()))
        headers = select_request_headers(
            self.pairs, connection_options | self.dialect.proxy_set_headers
        )
        return _parse_control_headers(self.fields, self.dialect).map(
            lambda controls: CheckedHead(
                method=method,
                target=target,
                host=host,
                headers=headers,
                key_hashes=keys.ok,
                idempotency_key=controls.idempotency_key,
                timeout_s=controls.timeout_s,
                content_length=controls.content_length,
                chunked=controls.chunked,
                caller_request_id=controls.caller_request_id,
            )
        )


def _join_target(scope: Scope) -> bytes:
    path: bytes = scope['raw_path']
    query: bytes = scope['query_string']
    return b'%b?%b' % (path, query) if query else path


def _find_bad_header(pairs: HeaderList, max_bytes: int) -> BadRequest | None:
    if len(pairs) > MAX_HEADERS:
        return malformed(f'more than {MAX_HEADERS} headers')
    size = 0
    for name, value in pairs:
        size += len(name) + len(value) + _LINE_OVERHEAD_BYTES
        if not _FIELD_NAME.fullmatch(name):
            return malformed('a header name has a refused character')
        if not _FIELD_VALUE.fullmatch(value):
            return malformed('a header value has a refused character')
    if size > max_bytes:
        return malformed(f'headers are larger than {max_bytes} bytes')
    return None


def _collect_fields(pairs: Iterable[HeaderPair], dialect: Dialect) -> _Fields:
    dialect_headers = {
        dialect.timeout_header,
        dialect.idempotency_key_header,
        dialect.request_id_header,
    }
    fields: dict[bytes, list[bytes]] = {}
    for name, value in pairs:
        if name in _CONTROL_HEADERS or name in dialect_headers:
            fields.setdefault(name, []).append(value)
    return fields


def _read_host(fields: _Fields) -> bytes | None:
    hosts = fields.get(HOST, ())
    if len(hosts) == 1 and _AUTHORITY.fullmatch(hosts[0]):
        return hosts[0]
    return None


def _parse_control_headers(
    fields: _Fields, dialect: Dialect
) -> Result[_ControlHeaders, BadRequest]:
    problem = _find_bad_control_header(fields, dialect)
    if problem is not None:
        return Error(problem)
    lengths = fields.get(CONTENT_LENGTH)
    timeouts = fields.get(dialect.timeout_header)
    keys = fields.get(dialect.idempotency_key_header)
    caller_ids = fields.get(dialect.request_id_header)
    return Ok(
        _ControlHeaders(
            timeout_s=int(timeouts[0]) / _MS_PER_S if timeouts else None,
            content_length=int(lengths[0]) if lengths else None,
            chunked=TRANSFER_ENCODING in fields,
            idempotency_key=keys[0].decode() if keys else None,
            caller_request_id=caller_ids[0] if caller_ids else b'',
        )
    )


def _find_bad_control_header(
    fields: _Fields, dialect: Dialect
) -> BadRequest | None:
    if _UPGRADE in fields or not _is_absent_or_single(
        fields.get(_EXPECT), _EXPECT_CONTINUE
    ):
        return malformed('Upgrade and Expect other than 100-continue')
    encodings = fields.get(TRANSFER_ENCODING)
    if encodings and CONTENT_LENGTH in fields:
        return malformed('Content-Length with Transfer-Encoding')
    if not _is_absent_or_single(encodings, _CHUNKED_ONLY):
        return malformed('Transfer-Encoding must be chunked')
    if not _is_absent_or_single(fields.get(CONTENT_LENGTH), _NUMBER):
        return malformed('Content-Length must be one number')
    timeouts = fields.get(dialect.timeout_header)
    if not _is_absent_or_single(timeouts, _NUMBER) or timeouts == [b'0']:
        name = dialect.timeout_header.decode()
        return malformed(f'{name} must be one positive integer')
    if not _is_absent_or_single(
        fields.get(dialect.idempotency_key_header), _IDEMPOTENCY_KEY
    ):
        return BadRequest(
            RefusalReason.idempotency_key_invalid,
            'Idempotency-Key must be 1 to 128 visible ASCII characters, once',
        )
    return None


def _is_absent_or_single(
    found: list[bytes] | None, pattern: re.Pattern[bytes]
) -> bool:
    if found is None:
        return True
    return len(found) == 1 and pattern.fullmatch(found[0]) is not None


__all__ = ('MAX_HEADERS', 'CheckedHead', 'check_head')
