"""Target selection, failure detection, ejection, queues, retry budgets."""

from __future__ import annotations

from .messages import MESSAGES
from .model import ATTACHED, AdmitRequest, AttemptOutcome, Leaders, Tuning
from .router import Router

__all__ = (
    'ATTACHED',
    'MESSAGES',
    'AdmitRequest',
    'AttemptOutcome',
    'Leaders',
    'Router',
    'Tuning',
)
