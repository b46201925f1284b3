"""HTTP servers of the daemon process."""

from __future__ import annotations

import socket
from collections.abc import Callable, Mapping
from typing import Final, Protocol

import anyio
import attrs
from expression import Result

from ..configuration.settings import Settings
from ..core.errors import Failure
from ..core.events import Event
from ..serving.admin import AdminApi
from ..serving.announcements import AnnouncementApi
from ..serving.asgi import App
from ..serving.counters import CountersApi
from ..serving.dialect import DEFAULT_DIALECT, Dialect
from ..serving.gateway import Gateway
from ..serving.listener import open_socket, serve_app
from .metrics import Metrics


def _skip_reload() -> None:
    """Return None: the settings can't change."""


class PlatformApiFactory(Protocol):
    """Build the HTTP application of a platform adapter."""

    def __call__(self, announcements: AnnouncementApi, admin: AdminApi) -> App:
        """Return the ASGI application."""


@attrs.frozen
class Interfaces:
    """External interfaces of a process.

    Parameters
    ----------
    dialect
        Header names and statuses used with callers and targets.
    build_platform_api
        Builds the application served on ``addresses.outside``.
    reload
        Reads the settings again; returns None if they can't change.

    """

    dialect: Dialect = DEFAULT_DIALECT
    build_platform_api: PlatformApiFactory | None = None
    reload: Callable[[], Result[Settings, Failure] | None] = _skip_reload


DEFAULT_INTERFACES: Final = Interfaces()


@attrs.frozen
class Servers:
    """HTTP applications of a process and their listening sockets."""

    settings: Settings
    interfaces: Interfaces
    gateway: Gateway
    announcements: AnnouncementApi
    admin: AdminApi
    counters: CountersApi
    listeners: Mapping[str, socket.socket]

    async def run(self, stopped: anyio.Event) -> None:
        """Serve until ``stopped`` is set and all requests have finished."""
        apps = self._build_apps()
        async with anyio.create_task_group() as servers:
            for name in self.listeners:
                servers.start_soon(self._serve, name, apps[name], stopped)
        await self.gateway.close()

    def _build_apps(self) -> Mapping[str, App]:
        apps: dict[str, App] = {
            'callers': self.gateway.app,
            'ready': self.gateway.app,
            'targets': self.announcements.app,
            'admin': self.admin.app,
            'metrics': self.counters.app,
        }
        build = self.interfaces.build_platform_api
        if build is not None:
            apps['outside'] = build(self.announcements, self.admin)
        return apps

    async def _serve(self, name: str, app: App, stopped: anyio.Event) -> None:
        await serve_app(
            app, self.listeners[name], self.settings.requests, stopped.wait
        )


def open_servers(
    settings: Settings,
    dispatch: Callable[[Event], None],
    clock: Callable[[], float],
    metrics: Metrics,
    interfaces: Interfaces,
) -> Servers:
    """Open the listening sockets of all configured HTTP interfaces.

    Raises
    ------
    OSError
        If an address can't be bound.

    """
    addresses = attrs.asdict(settings.addresses)
    addresses.pop('peers')
    return Servers(
        settings=settings,
        interfaces=interfaces,
        gateway=Gateway(
            settings, dispatch, clock, metrics.increment, interfaces.dialect
        ),
        announcements=AnnouncementApi(dispatch, clock),
        admin=AdminApi(settings, dispatch, clock, metrics.counts),
        counters=CountersApi(metrics.render),
        listeners={
            name: open_socket(address)
            for name, address in addresses.items()
            if address
        },
    )


__all__ = ('Interfaces', 'PlatformApiFactory', 'Servers', 'open_servers')
