"""Keys of client accounts, targets and operators."""

from __future__ import annotations

import secrets
from hashlib import blake2b
from typing import Final

# 256 bits can't be guessed, so that a fast hash without salt is enough.
KEY_BYTES: Final = 32
HASH_BYTES: Final = 32


def generate_key() -> str:
    """Return a new random key."""
    return secrets.token_urlsafe(KEY_BYTES)


def hash_key(key: str) -> bytes:
    """Return the hash under which a key is stored."""
    return blake2b(key.encode(), digest_size=HASH_BYTES).digest()


__all__ = ('generate_key', 'hash_key')
