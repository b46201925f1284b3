"""Gossip protocol: membership, configuration, withdrawals and targets."""

from __future__ import annotations

from .announcements import (
    AnnouncementOutdated,
    ConfigurationMissing,
    ServiceUnknown,
    TargetKeyRefused,
)
from .gossip import Gossip
from .messages import MESSAGES

__all__ = (
    'MESSAGES',
    'AnnouncementOutdated',
    'ConfigurationMissing',
    'Gossip',
    'ServiceUnknown',
    'TargetKeyRefused',
)
