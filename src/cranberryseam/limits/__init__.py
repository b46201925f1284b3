"""Rate limits of client accounts."""

from .component import Limiter
from .messages import MESSAGES

__all__ = ('MESSAGES', 'Limiter')
