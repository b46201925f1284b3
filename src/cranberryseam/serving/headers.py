"""Which headers pass through, and which this proxy sets itself."""

from __future__ import annotations

from collections.abc import Iterable

from .asgi import HeaderList, HeaderPair
from .credentials import KEY_HEADERS

DEADLINE_HEADER = b'cranberryseam-deadline-ms'
NOT_RUN_HEADER = b'cranberryseam-not-run'
CALLER_TIMEOUT = b'request-timeout-ms'
CONNECTION = b'connection'
CONTENT_LENGTH = b'content-length'
TRANSFER_ENCODING = b'transfer-encoding'
HOST = b'host'
VIA = b'via'
CHUNKED = b'chunked'

# RFC 9110, section 7.6.1.
HOP_BY_HOP = frozenset(
    (
        CONNECTION,
        TRANSFER_ENCODING,
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authentication-info',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'upgrade',
    )
)
_SET_HERE = frozenset(
    (
        HOST,
        VIA,
        DEADLINE_HEADER,
        CALLER_TIMEOUT,
        CONTENT_LENGTH,
        b'expect',
        b'forwarded',
        b'x-forwarded-for',
        b'x-forwarded-host',
        b'x-forwarded-proto',
    )
)
_REQUEST_DROPPED = HOP_BY_HOP | KEY_HEADERS | _SET_HERE


def list_tokens(fields: Iterable[bytes]) -> frozenset[bytes]:
    """Return the members of comma-separated header values in lower case."""
    parts = (part for field in fields for part in field.split(b','))
    return frozenset(part.strip().lower() for part in parts)


def select_request_headers(
    pairs: Iterable[HeaderPair], named: frozenset[bytes]
) -> HeaderList:
    """Return the caller's headers that the target gets.

    Parameters
    ----------
    named
        Further names to leave out: those listed in the caller's
        ``Connection`` header, and those that this proxy sets.

    """
    dropped = _REQUEST_DROPPED | named if named else _REQUEST_DROPPED
    return [pair for pair in pairs if pair[0] not in dropped]


def select_answer_headers(pairs: Iterable[HeaderPair]) -> HeaderList:
    """Return the target's headers that the caller gets, in lower case."""
    lowered = [(name.lower(), field) for name, field in pairs]
    named = list_tokens(field for name, field in lowered if name == CONNECTION)
    dropped = HOP_BY_HOP | named
    return [pair for pair in lowered if pair[0] not in dropped]


def describe_forwarding(
    address: str, scheme: str, host: bytes, via: bytes
) -> HeaderList:
    """Return the headers that tell a target where a request came from."""
    client = address.encode()
    proto = scheme.encode()
    node = b'"[%b]"' % client if b':' in client else client
    forwarded = b'for=%b;host="%b";proto=%b' % (node, host, proto)
    return [
        (VIA, via),
        (b'forwarded', forwarded),
        (b'x-forwarded-for', client),
        (b'x-forwarded-host', host),
        (b'x-forwarded-proto', proto),
    ]


__all__ = (
    'CALLER_TIMEOUT',
    'CHUNKED',
    'CONNECTION',
    'CONTENT_LENGTH',
    'DEADLINE_HEADER',
    'HOP_BY_HOP',
    'HOST',
    'NOT_RUN_HEADER',
    'TRANSFER_ENCODING',
    'VIA',
    'describe_forwarding',
    'list_tokens',
    'select_answer_headers',
    'select_request_headers',
)
