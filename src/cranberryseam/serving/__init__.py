"""All HTTP of the daemon: callers, targets, operators."""

from __future__ import annotations

from .credentials import hash_key
from .gateway import Gateway
from .listener import open_socket, serve_app

__all__ = ('Gateway', 'hash_key', 'open_socket', 'serve_app')
