"""Attachment of all VMs to the control leader.

In a fleet whose VMs change and which is configured with only a few control
addresses, each VM polls the leader of the control log. The reply proves how
recent the state of the VM is, and transfers changes of the configuration and
of the table of targets.
"""

from .client import COMPONENT as CLIENT_COMPONENT
from .client import AttachmentClient
from .messages import MESSAGES
from .owners import ControlOwners
from .server import COMPONENT as SERVER_COMPONENT
from .server import AttachmentServer

__all__ = (
    'CLIENT_COMPONENT',
    'SERVER_COMPONENT',
    'MESSAGES',
    'AttachmentClient',
    'ControlOwners',
    'AttachmentServer',
)
