"""Keys of client accounts, targets and operators."""

from __future__ import annotations

import secrets
from typing import Final

from ..serving import credentials

# 256 bits can't be guessed, so that a fast hash without salt is enough.
KEY_BYTES: Final = 32


def generate_key() -> str:
    """Return a new random key."""
    return secrets.token_urlsafe(KEY_BYTES)


def hash_key(key: str) -> bytes:
    """Return the hash under which a key is stored."""
    return credentials.hash_key(key.encode())


__all__ = ('generate_key', 'hash_key')
