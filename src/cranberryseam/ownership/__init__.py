"""Replica groups of three VMs and the leases of their leaders."""

from .component import Ownership
from .loopback import deliver_to_self
from .messages import MESSAGES

__all__ = ('MESSAGES', 'Ownership', 'deliver_to_self')
