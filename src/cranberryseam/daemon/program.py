"""The running process of one VM."""

from __future__ import annotations

import secrets
import signal
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

import anyio
import attrs
from expression import Error, Ok, Result

from ..assembly import build_codec, build_node
from ..configuration.settings import Settings
from ..control import Storage, StoredState, open_storage
from ..core.effects import Effect
from ..core.errors import Failure
from ..core.events import Started, StopRequested, StorageSynced
from ..types import VmId
from .clock import Clock
from .executor import Executor
from .metrics import Metrics
from .peers import Peers, open_peers
from .servers import Servers, open_servers
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

    async def run(self) -> None:
        """Serve until the reducer decides that the process may end."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.timers.run)
            tasks.start_soon(self.metrics.run)
            tasks.start_soon(
                self.peers.receive, self.clock.read, self.executor.dispatch
            )
            tasks.start_soon(self._watch_signals)
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
) -> Iterator[Result[Program, Failure]]:
    """Open sockets and data folder of a process.

    Parameters
    ----------
    settings
        Checked settings.

    Returns
    -------
    The program, or why it can't run. All is closed on leaving the context.

    """
    with ExitStack() as stack:
        disk = _open_disk(settings, stack)
        if disk.is_error():
            yield Error(disk.error)
            return
        yield Ok(_build_program(settings, disk.ok, stack))


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
    settings: Settings, disk: _Disk | None, stack: ExitStack
) -> Program:
    metrics = Metrics(settings.statsd)
    clock = Clock()
    stopped = anyio.Event()
    seed = settings.seed or secrets.randbits(_SEED_BITS)
    node = build_node(settings, disk.stored if disk else None, seed)
    executor = Executor(node, clock, metrics, stopped.set)
    peers = stack.enter_context(
        open_peers(
            settings.vm_id, settings.addresses.peers, build_codec(), metrics
        )
    )
    for peer in settings.peers:
        peers.register(VmId(peer.name), peer.address)
    timers = Timers(clock.read, executor.dispatch)
    servers = open_servers(settings, executor.dispatch, clock.read, metrics)
    executor.add_handler(servers.gateway.execute)
    executor.add_handler(timers.execute)
    executor.add_handler(peers.execute)
    executor.add_handler(servers.announcements.execute)
    executor.add_handler(servers.admin.execute)
    if disk is not None:
        executor.add_handler(_StorageHandler(disk.storage, executor, clock))
    return Program(clock, executor, metrics, peers, servers, stopped, timers)


@attrs.frozen
class _StorageHandler:
    """Executes storage effects and reports that they are synced."""

    storage: Storage
    executor: Executor
    clock: Clock

    def __call__(self, effect: Effect) -> bool:
        """Write and sync; False for effects of another kind."""
        sync_id = self.storage.execute(effect)
        if sync_id is None:
            return False
        self.executor.dispatch(StorageSynced(self.clock.read(), sync_id))
        return True


__all__ = ('Program', 'open_program')
