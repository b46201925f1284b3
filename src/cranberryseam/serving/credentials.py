"""Keys in request headers; only their hashes leave this module."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Iterable

from expression import Error, Ok, Result

from .asgi import HeaderPair
from .malformed import BadRequest, malformed

KEY_HASH_BYTES = 32
AUTHORIZATION = b'authorization'
API_KEY = b'x-api-key'
KEY_HEADERS = frozenset((AUTHORIZATION, API_KEY))
_BEARER = b'bearer'


def hash_key(key: bytes) -> bytes:
    """Return the hash by which a key is granted and looked up."""
    return hashlib.blake2b(key, digest_size=KEY_HASH_BYTES).digest()


def read_keys(
    pairs: Iterable[HeaderPair],
    scheme: bytes = _BEARER,
) -> Result[tuple[bytes, ...], BadRequest]:
    """Return the hashes of the keys in the headers, in order.

    Parameters
    ----------
    pairs
        The ``Authorization`` and ``X-Api-Key`` headers, in lower case.
    scheme
        Scheme of ``Authorization``, in lower case.

    """
    hashes: list[bytes] = []
    for name, value in pairs:
        key = value if name == API_KEY else _read_token(value, scheme)
        if not key:
            return Error(malformed('a key header without a usable key'))
        hashes.append(hash_key(key))
    return Ok(tuple(hashes))


def matches_key_hash(key_hashes: tuple[bytes, ...], expected_hex: str) -> bool:
    """Compare the single key of a request with a hash in constant time."""
    if len(key_hashes) != 1 or not expected_hex:
        return False
    expected = expected_hex.lower().encode()
    return hmac.compare_digest(key_hashes[0].hex().encode(), expected)


def _read_token(value: bytes, expected: bytes) -> bytes:
    scheme, _, key = value.partition(b' ')
    return key.strip() if scheme.lower() == expected else b''


__all__ = (
    'KEY_HASH_BYTES',
    'KEY_HEADERS',
    'hash_key',
    'matches_key_hash',
    'read_keys',
)
