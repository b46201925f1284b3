"""The HTTP servers of a process."""

from __future__ import annotations

import socket
from collections.abc import Callable, Mapping

import anyio
import attrs

from ..configuration.settings import Settings
from ..core.events import Event
from ..serving.admin import AdminApi
from ..serving.announcements import AnnouncementApi
from ..serving.asgi import App
from ..serving.gateway import Gateway
from ..serving.listener import open_socket, serve_app
from .metrics import Metrics


@attrs.frozen
class Servers:
    """The applications of one process and the sockets they are served on."""

    settings: Settings
    gateway: Gateway
    announcements: AnnouncementApi
    admin: AdminApi
    listeners: Mapping[str, socket.socket]

    async def run(self, stopped: anyio.Event) -> None:
        """Serve until ``stopped`` is set and no request is in progress."""
        apps = self._apps()
        async with anyio.create_task_group() as servers:
            for name in self.listeners:
                servers.start_soon(self._serve, name, apps[name], stopped)
        await self.gateway.close()

    def _apps(self) -> Mapping[str, App]:
        return {
            'callers': self.gateway.app,
            'targets': self.announcements.app,
            'admin': self.admin.app,
        }

    async def _serve(self, name: str, app: App, stopped: anyio.Event) -> None:
        await serve_app(
            app, self.listeners[name], self.settings.requests, stopped.wait
        )


def open_servers(
    settings: Settings,
    dispatch: Callable[[Event], None],
    clock: Callable[[], float],
    metrics: Metrics,
) -> Servers:
    """Open the sockets of all HTTP interfaces that have an address.

    Raises
    ------
    OSError
        If an address can't be bound.

    """
    addresses = {
        'callers': settings.addresses.callers,
        'targets': settings.addresses.targets,
        'admin': settings.addresses.admin,
    }
    return Servers(
        settings=settings,
        gateway=Gateway(settings, dispatch, clock, metrics.increment),
        announcements=AnnouncementApi(dispatch, clock),
        admin=AdminApi(settings, dispatch, clock, metrics.counts),
        listeners={
            name: open_socket(address)
            for name, address in addresses.items()
            if address
        },
    )


__all__ = ('Servers', 'open_servers')
