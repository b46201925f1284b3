"""HTTP interfaces of the daemon for callers, targets and operators."""

from __future__ import annotations

from .admin import AdminApi
from .announcements import AnnouncementApi
from .credentials import hash_key
from .gateway import Gateway
from .listener import open_socket, serve_app

__all__ = (
    'AdminApi',
    'AnnouncementApi',
    'Gateway',
    'hash_key',
    'open_socket',
    'serve_app',
)
