"""The running process of one VM."""

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
from .servers import PRODUCT_INTERFACES, Interfaces, Servers, open_servers
from .timers import Timers

_SEED_BITS = 63
# The settings may also change without a signal.
RELOAD_S = 5.0
# A disk that fails is tried again after this; meanwhile nothing that waits for
# it is promised to anybody.
RETRY_DISK_S = 0.5
_logger = logging.getLogger(__name__)


@attrs.frozen
class _Disk:
    """The opened data folder with what it held."""

    storage: Storage
    stored: StoredState


@attrs.define(eq=False)
class Program:
    """Everything that one process runs."""

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
        """Let the executor pass effects to all that execute some."""
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
        """Serve until the reducer decides that the process may end."""
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
            async for number in received:
                _logger.info('signal', extra={'fields': {'number': number}})
                if number == signal.SIGHUP:
                    self._reload()
                else:
                    self.executor.dispatch(StopRequested(self.clock.read()))

    async def _watch_settings(self) -> None:
        while True:
            await anyio.sleep(RELOAD_S)
            self._reload()

    def _reload(self) -> None:
        """Take over the settings that may change while the process runs."""
        settings = self.interfaces.reload()
        if settings is None:
            return
        if settings.is_error():
            _logger.error(
                'settings are unusable and stay as they were',
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
    interfaces: Interfaces = PRODUCT_INTERFACES,
) -> Iterator[Result[Program, Failure]]:
    """Open sockets and data folder of a process.

    Parameters
    ----------
    settings
        Checked settings.
    interfaces
        How the process speaks to its surroundings.

    Returns
    -------
    The program, or why it can't run. All is closed on leaving the context.

    """
    with ExitStack() as stack:
        disk = _open_disk(settings, stack)
        if disk.is_error():
            yield Error(disk.error)
            return
        yield Ok(_build_program(settings, interfaces, disk.ok, stack))


def _open_disk(
    settings: Settings, stack: ExitStack
) -> Result[_Disk | None, Failure]:
    if 'control' not in settings.vm.roles:
        return Ok(None)
    opened = stack.enter_context(open_storage(settings.control.data_folder))
    if opened.is_error():
        return Error(opened.error)
    stored = opened.ok.load()
    if stored.is_error():
        return Error(stored.error)
    return Ok(_Disk(opened.ok, stored.ok))


def _build_program(
    settings: Settings,
    interfaces: Interfaces,
    disk: _Disk | None,
    stack: ExitStack,
) -> Program:
    metrics = Metrics(settings.statsd)
    clock = Clock()
    stopped = anyio.Event()
    executor = Executor(
        build_node(
            settings,
            disk.stored if disk else None,
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
        StorageQueue(disk.storage, executor, clock) if disk else None,
    )
    program.add_handlers()
    return program


@attrs.define
class StorageQueue:
    """Executes storage effects in order on a worker thread.

    A disk may stall for seconds; the loop goes on meanwhile, and the replica
    only answers late what waits for the disk.
    """

    storage: Storage
    executor: Executor
    clock: Clock
    _effects: deque[Effect] = attrs.field(factory=deque)
    _changed: anyio.Event = attrs.field(factory=anyio.Event)

    def __call__(self, effect: Effect) -> bool:
        """Queue a storage effect; False for effects of another kind."""
        if not isinstance(effect, StorageEffect):
            return False
        self._effects.append(effect)
        self._changed.set()
        return True

    async def run(self) -> None:
        """Write and sync what is queued, and report it, until cancelled."""
        while True:
            await self._changed.wait()
            self._changed = anyio.Event()
            while self._effects:
                effect = self._effects.popleft()
                sync_id = await self._write(effect)
                if sync_id is not None:
                    self.executor.dispatch(
                        StorageSynced(self.clock.read(), sync_id)
                    )

    async def _write(self, effect: Effect) -> int | None:
        """Write an effect, again and again while the disk refuses it."""
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
            await anyio.sleep(RETRY_DISK_S)


__all__ = ('Program', 'open_program')
