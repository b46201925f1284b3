"""Idempotency keys of client accounts."""

from .absent import AbsentClaims
from .messages import MESSAGES
from .part import Claims

__all__ = ('MESSAGES', 'AbsentClaims', 'Claims')
