"""Idempotency keys of client accounts and their replicated records."""

from .disabled import DisabledClaims
from .messages import MESSAGES
from .part import Claims

__all__ = ('MESSAGES', 'Claims', 'DisabledClaims')
