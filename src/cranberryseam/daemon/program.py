"""Assembly and lifecycle of the daemon process of one VM."""

from __future__ import annotations

import logging
import secrets
import signal
import time
from collections import deque
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

import anyio
import attrs
from expression import Error, Ok, Result

from ..assembly import build_codec, build_node
from ..configuration.settings import Settings
from ..control import Storage, StorageEffect, StoredState, open_storage
from ..core.effects import Effect
from ..core.errors import Failure
from ..core.events import (
    SeedsChanged,
    Started,
    StopRequested,
    StorageSynced,
)
from ..types import VmId
from .clock import Clock
from .executor import Executor
from .metrics import Metrics
from .peers import Peers, open_peers
from .servers import DEFAULT_INTERFACES, Interfaces, Servers, open_servers
from .timers import Timers

_SEED_BITS = 63
# The settings file may also change without a SIGHUP.
RELOAD_INTERVAL_S = 5.0
# Delay before a failed write is retried. Until it succeeds, nothing that
# depends on it is acknowledged.
DISK_RETRY_DELAY_S = 0.5
_logger = logging.getLogger(__name__)


@attrs.frozen
class _OpenStorage:
    """Opened data folder and the state loaded from it."""

    storage: Storage
    stored: StoredState


@attrs.define(eq=False)
class Program:
    """Components of one process."""

    interfaces: Interfaces
    seeds: tuple[str, ...]

    clock: Clock
    executor: Executor
    metrics: Metrics
    peers: Peers
    servers: Servers
    stopped: anyio.Event
    timers: Timers
    storage: StorageQueue | None

    def add_handlers(self) -> None:
        """Register all effect handlers with the executor."""
        for handler in (
            self.servers.gateway.execute,
            self.timers.execute,
            self.peers.execute,
            self.servers.announcements.execute,
            self.servers.admin.execute,
        ):
            self.executor.add_handler(handler)
        if self.storage is not None:
            self.executor.add_handler(self.storage)

    async def run(self) -> None:
        """Serve until the reducer stops the process."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.timers.run)
            tasks.start_soon(self.metrics.run)
            tasks.start_soon(
                self.peers.receive, self.clock.read, self.executor.dispatch
            )
            tasks.start_soon(self._watch_signals)
            tasks.start_soon(self._watch_settings)
            if self.storage is not None:
                tasks.start_soon(self.storage.run)
            self.executor.dispatch(Started(self.clock.read(), time.time()))
            await self.servers.run(self.stopped)
            tasks.cancel_scope.cancel()
        self.metrics.flush()

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as received:
            async for signum in received:
                _logger.info('signal', extra={'fields': {'number': signum}})
                if signum == signal.SIGHUP:
                    self._reload_settings()
                else:
                    self.executor.dispatch(StopRequested(self.clock.read()))

    async def _watch_settings(self) -> None:
        while True:
            await anyio.sleep(RELOAD_INTERVAL_S)
            self._reload_settings()

    def _reload_settings(self) -> None:
        """Apply changes of the settings that can change at runtime."""
        settings = self.interfaces.reload()
        if settings is None:
            return
        if settings.is_error():
            _logger.error(
                'reloaded settings are invalid; keeping the current ones',
                extra={'fields': {'failure': str(settings.error)}},
            )
            return
        seeds = settings.ok.control.seeds
        if seeds != self.seeds:
            self.seeds = seeds
            fields = {'seeds': seeds}
            _logger.info('seeds changed', extra={'fields': fields})
            self.executor.dispatch(SeedsChanged(self.clock.read(), seeds))


@contextmanager
def open_program(
    settings: Settings,
    interfaces: Interfaces = DEFAULT_INTERFACES,
) -> Iterator[Result[Program, Failure]]:
    """Open the sockets and the data folder of a process.

    Parameters
    ----------
    settings
        Validated settings.
    interfaces
        External interfaces of the process.

    Returns
    -------
    The program, or the failure that prevents its start. Leaving the context
    closes all resources.

    """
    with ExitStack() as stack:
        opened = _open_storage(settings, stack)
        if opened.is_error():
            yield Error(opened.error)
            return
        yield Ok(_build_program(settings, interfaces, opened.ok, stack))


def _open_storage(
    settings: Settings, stack: ExitStack
) -> Result[_OpenStorage | None, Failure]:
    if 'control' not in settings.vm.roles:
        return Ok(None)
    storage = stack.enter_context(open_storage(settings.control.data_folder))
    if storage.is_error():
        return Error(storage.error)
    stored = storage.ok.load()
    if stored.is_error():
        return Error(stored.error)
    return Ok(_OpenStorage(storage.ok, stored.ok))


def _build_program(
    settings: Settings,
    interfaces: Interfaces,
    opened: _OpenStorage | None,
    stack: ExitStack,
) -> Program:
    metrics = Metrics(settings.statsd)
    clock = Clock()
    stopped = anyio.Event()
    executor = Executor(
        build_node(
            settings,
            opened.stored if opened else None,
            settings.seed or secrets.randbits(_SEED_BITS),
        ),
        clock,
        metrics,
        stopped.set,
    )
    peers = stack.enter_context(
        open_peers(
            settings.vm_id, settings.addresses.peers, build_codec(), metrics
        )
    )
    for peer in settings.peers:
        peers.register(VmId(peer.name), peer.address)
    timers = Timers(clock.read, executor.dispatch, metrics.observe)
    servers = open_servers(
        settings, executor.dispatch, clock.read, metrics, interfaces
    )
    program = Program(
        interfaces,
        settings.control.seeds,
        clock,
        executor,
        metrics,
        peers,
        servers,
        stopped,
        timers,
        StorageQueue(opened.storage, executor, clock) if opened else None,
    )
    program.add_handlers()
    return program


@attrs.define
class StorageQueue:
    """Execute storage effects in order on a worker thread.

    A stalled disk may block for seconds. The event loop keeps running, and
    only the replies that depend on the disk are delayed.
    """

    storage: Storage
    executor: Executor
    clock: Clock
    _effects: deque[Effect] = attrs.field(factory=deque)
    _changed: anyio.Event = attrs.field(factory=anyio.Event)

    def __call__(self, effect: Effect) -> bool:
        """Queue a storage effect; return False for other effects."""
        if not isinstance(effect, StorageEffect):
            return False
        self._effects.append(effect)
        self._changed.set()
        return True

    async def run(self) -> None:
        """Execute queued effects and report syncs until cancelled."""
        while True:
            await self._changed.wait()
            self._changed = anyio.Event()
            while self._effects:
                effect = self._effects.popleft()
                sync_id = await self._write_with_retries(effect)
                if sync_id is not None:
                    self.executor.dispatch(
                        StorageSynced(self.clock.read(), sync_id)
                    )

    async def _write_with_retries(self, effect: Effect) -> int | None:
        """Execute an effect, retrying until the write succeeds."""
        while True:
            try:
                return await anyio.to_thread.run_sync(
                    self.storage.execute, effect
                )
            except OSError as error:
                _logger.error(
                    'disk refused a write',
                    extra={'fields': {'failure': str(error)}},
                )
            await anyio.sleep(DISK_RETRY_DELAY_S)


__all__ = ('Program', 'open_program')
