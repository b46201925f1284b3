"""Replica groups of three VMs and the leases of their leaders."""

from .component import Ownership
from .contacts import (
    SILENT_AFTER_S,
    USE_RESERVE_AFTER_S,
    ContactLog,
    OwnerContact,
    Silence,
)
from .loopback import deliver_to_self
from .messages import MESSAGES

__all__ = (
    'MESSAGES',
    'SILENT_AFTER_S',
    'USE_RESERVE_AFTER_S',
    'ContactLog',
    'OwnerContact',
    'Ownership',
    'Silence',
    'deliver_to_self',
)
