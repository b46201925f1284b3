"""The running process of one VM."""

from __future__ import annotations

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
from ..core.events import Started, StopRequested, StorageSynced
from ..types import VmId
from .clock import Clock
from .executor import Executor
from .metrics import Metrics
from .peers import Peers, open_peers
from .servers import PRODUCT_INTERFACES, Interfaces, Servers, open_servers
from .timers import Timers

_SEED_BITS = 63


@attrs.frozen
class _Disk:
    """The opened data folder with what it held."""

    storage: Storage
    stored: StoredState


@attrs.frozen
class Program:
    """Everything that one process runs."""

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
            if self.storage is not None:
                tasks.start_soon(self.storage.run)
            self.executor.dispatch(Started(self.clock.read(), time.time()))
            await self.servers.run(self.stopped)
            tasks.cancel_scope.cancel()
        self.metrics.flush()

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as received:
            async for _ in received:
                self.executor.dispatch(StopRequested(self.clock.read()))


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
    timers = Timers(clock.read, executor.dispatch)
    servers = open_servers(
        settings, executor.dispatch, clock.read, metrics, interfaces
    )
    program = Program(
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
                sync_id = await anyio.to_thread.run_sync(
                    self.storage.execute, effect
                )
                self._report(sync_id)

    def _report(self, sync_id: int | None) -> None:
        if sync_id is not None:
            self.executor.dispatch(StorageSynced(self.clock.read(), sync_id))


__all__ = ('Program', 'open_program')
