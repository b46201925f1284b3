"""Idempotency keys of client accounts and their replicated records."""

from .component import Claims
from .disabled import DisabledClaims
from .messages import MESSAGES

__all__ = ('MESSAGES', 'Claims', 'DisabledClaims')
