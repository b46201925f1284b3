"""Replicated configuration log of the control VMs."""

from .effects import StorageEffect
from .messages import MESSAGES
from .records import StoredState
from .replica import LeaderStatus, Replica
from .storage import FolderInUse, Storage, StorageDamaged, open_storage

__all__ = (
    'MESSAGES',
    'LeaderStatus',
    'FolderInUse',
    'Replica',
    'Storage',
    'StorageDamaged',
    'StorageEffect',
    'StoredState',
    'open_storage',
)
