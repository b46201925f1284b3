"""Generation and hashing of keys for accounts, targets and operators."""

from __future__ import annotations

import secrets
from typing import Final

from ..serving import credentials

# 256 random bits can't be guessed, so a fast unsalted hash is sufficient.
KEY_BYTES: Final = 32


def generate_key() -> str:
    """Return a new random key."""
    return secrets.token_urlsafe(KEY_BYTES)


def hash_key(key: str) -> bytes:
    """Return the hash by which a key is stored."""
    return credentials.hash_key(key.encode())


__all__ = ('generate_key', 'hash_key')
