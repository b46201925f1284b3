"""Attachment of all VMs to the control leader.

Where VMs come and go and only a few control addresses are known, each VM polls
the leader of the control log. The reply proves how old the VM's knowledge is
and brings what changed: the configuration, and the table of targets.
"""

from .client import PART as CLIENT_PART
from .client import AttachmentClient
from .messages import MESSAGES
from .owners import ControlOwners
from .server import PART as SERVER_PART
from .server import AttachmentServer

__all__ = (
    'CLIENT_PART',
    'SERVER_PART',
    'MESSAGES',
    'AttachmentClient',
    'ControlOwners',
    'AttachmentServer',
)
