"""Replica groups of three VMs and the leases of their leaders."""

from .loopback import deliver_to_self
from .messages import MESSAGES
from .part import Ownership

__all__ = ('MESSAGES', 'Ownership', 'deliver_to_self')
