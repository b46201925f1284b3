"""API keys of callers and their freshness."""

from __future__ import annotations

from .table import KeyTable

__all__ = ('KeyTable',)
