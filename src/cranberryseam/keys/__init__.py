"""Keys of callers and how long they may be trusted."""

from __future__ import annotations

from .table import KeyTable

__all__ = ('KeyTable',)
