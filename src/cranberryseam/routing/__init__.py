"""Target selection, failure detection, ejection, queues, retry budgets."""

from __future__ import annotations

from .messages import MESSAGES
from .model import (
    ATTACHED_TUNING,
    AdmitRequest,
    AttemptOutcome,
    LeaderLookup,
    Tuning,
)
from .router import Router

__all__ = (
    'ATTACHED_TUNING',
    'MESSAGES',
    'AdmitRequest',
    'AttemptOutcome',
    'LeaderLookup',
    'Router',
    'Tuning',
)
