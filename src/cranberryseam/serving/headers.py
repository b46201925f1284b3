"""Selection of the headers that are forwarded or set by the proxy."""

from __future__ import annotations

from collections.abc import Iterable

from .asgi import HeaderList, HeaderPair
from .credentials import KEY_HEADERS

# Time left for a request, sent to the target.
DEADLINE_HEADER = b'cranberryseam-deadline-ms'
# Set by a target that did not run the request.
NOT_RUN_HEADER = b'cranberryseam-not-run'
# Time for which the caller waits, sent by the caller.
TIMEOUT_HEADER = b'request-timeout-ms'
CONNECTION = b'connection'
CONTENT_LENGTH = b'content-length'
TRANSFER_ENCODING = b'transfer-encoding'
HOST = b'host'
VIA = b'via'
CHUNKED = b'chunked'

# RFC 9110, section 7.6.1: not forwarded by intermediaries.
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
# Set by this proxy, or processed by it (``Expect``).
_HANDLED_BY_PROXY = frozenset(
    (
        HOST,
        VIA,
        DEADLINE_HEADER,
        TIMEOUT_HEADER,
        CONTENT_LENGTH,
        b'expect',
        b'forwarded',
        b'x-forwarded-for',
        b'x-forwarded-host',
        b'x-forwarded-proto',
    )
)
_DROPPED_FROM_REQUESTS = HOP_BY_HOP | KEY_HEADERS | _HANDLED_BY_PROXY


def parse_list_values(values: Iterable[bytes]) -> frozenset[bytes]:
    """Split comma-separated header values; members are in lower case."""
    members = (member for value in values for member in value.split(b','))
    return frozenset(member.strip().lower() for member in members)


def select_request_headers(
    pairs: Iterable[HeaderPair], dropped_names: frozenset[bytes]
) -> HeaderList:
    """Return the headers of a request that are forwarded to the target.

    Parameters
    ----------
    dropped_names
        Further names to drop: those listed in the ``Connection`` header of
        the request, and those that this proxy sets in the dialect in use.

    """
    dropped = (
        _DROPPED_FROM_REQUESTS | dropped_names
        if dropped_names
        else _DROPPED_FROM_REQUESTS
    )
    return [pair for pair in pairs if pair[0] not in dropped]


def select_response_headers(pairs: Iterable[HeaderPair]) -> HeaderList:
    """Return the headers of a response that are forwarded, in lower case."""
    lowered = [(name.lower(), value) for name, value in pairs]
    connection_options = parse_list_values(
        value for name, value in lowered if name == CONNECTION
    )
    dropped = HOP_BY_HOP | connection_options
    return [pair for pair in lowered if pair[0] not in dropped]


def build_forwarding_headers(
    address: str, scheme: str, host: bytes, via: bytes
) -> HeaderList:
    """Return the headers that describe the caller to a target."""
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
    'CHUNKED',
    'CONNECTION',
    'CONTENT_LENGTH',
    'DEADLINE_HEADER',
    'HOP_BY_HOP',
    'HOST',
    'NOT_RUN_HEADER',
    'TIMEOUT_HEADER',
    'TRANSFER_ENCODING',
    'VIA',
    'build_forwarding_headers',
    'parse_list_values',
    'select_request_headers',
    'select_response_headers',
)
