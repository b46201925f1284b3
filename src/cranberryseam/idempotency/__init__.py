"""Idempotency keys of client accounts."""

from .messages import MESSAGES
from .part import Claims

__all__ = ('MESSAGES', 'Claims')
