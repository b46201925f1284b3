"""The replicated configuration log on the control VMs."""

from .messages import MESSAGES
from .records import StoredState
from .replica import Replica
from .storage import FolderInUse, Storage, StorageDamaged, open_storage

__all__ = (
    'MESSAGES',
    'FolderInUse',
    'Replica',
    'Storage',
    'StorageDamaged',
    'StoredState',
    'open_storage',
)
