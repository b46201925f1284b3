"""Idempotency keys of client accounts."""

from .disabled import DisabledClaims
from .messages import MESSAGES
from .part import Claims

__all__ = ('MESSAGES', 'DisabledClaims', 'Claims')
