"""Rate limits of client accounts."""

from .messages import MESSAGES
from .part import Limiter

__all__ = ('MESSAGES', 'Limiter')
