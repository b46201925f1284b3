"""Simulated target that runs as a separate process.

``python -m cranberryseam.experiments.target --help`` lists its arguments.
``POST /-/faults`` with a JSON object of some fields of ``Faults`` changes its
faults; ``GET /-/counts`` returns executions and received caller keys.
"""

from __future__ import annotations

import asyncio
import logging
import random
import signal
import time

import attrs
import fire
import httpx
import msgspec
import uvloop

from ..configuration.settings import RequestSettings
from ..core.events import Announcement
from ..serving.announcements import ANNOUNCEMENTS_PATH
from ..serving.listener import open_socket, serve_app
from ..types import ServiceName, TargetId
from .target_app import Faults, TargetApp

_ANNOUNCEMENT_PERIOD_S = 1.0
_MS_PER_S = 1000
_log = logging.getLogger(__name__)


@attrs.frozen
class TargetOptions:
    """Identity of a simulated target and addresses for its announcements."""

    name: str
    service: str
    key: str
    announce: tuple[str, ...]
    host: str
    region: str
    data_centre: str
    slots: int
    connections: int


async def announce_target(
    options: TargetOptions, app: TargetApp, port: int
) -> None:
    """Announce a target each second, to its addresses in turn."""
    headers = {'authorization': f'Bearer {options.key}'}
    async with httpx.AsyncClient(trust_env=False, timeout=1) as client:
        # Starts at the wall clock, so that it keeps increasing after a restart.
        sequence = int(time.time() * _MS_PER_S)
        while True:
            sequence += 1
            address = options.announce[sequence % len(options.announce)]
            announcement = _build_announcement(options, app, port, sequence)
            if not app.faults.silent:
                await _send_announcement(client, address, headers, announcement)
            await asyncio.sleep(_ANNOUNCEMENT_PERIOD_S)


async def _send_announcement(
    client: httpx.AsyncClient,
    address: str,
    headers: dict[str, str],
    announcement: Announcement,
) -> None:
    body = msgspec.json.encode(announcement)
    url = f'http://{address}{ANNOUNCEMENTS_PATH}'
    try:
        answer = await client.post(url, content=body, headers=headers)
    except httpx.TransportError as error:
        _log.warning('announcement to %s failed: %r', url, error)
        return
    if answer.is_error:
        _log.warning('announcement refused: %s', answer.text)


def _build_announcement(
    options: TargetOptions, app: TargetApp, port: int, sequence: int
) -> Announcement:
    return Announcement(
        target=TargetId(options.name),
        service=ServiceName(options.service),
        host=options.host,
        port=port,
        region=options.region,
        data_centre=options.data_centre,
        slots=options.slots,
        connections=options.connections,
        state=app.state,
        sequence=sequence,
    )


async def run_target(options: TargetOptions, app: TargetApp, port: int) -> None:
    """Serve and announce until SIGTERM or SIGINT."""
    listener = open_socket(f'{options.host}:{port}')
    bound_port = listener.getsockname()[1]
    # The parent process reads the port from this line.
    print(f'listening on {options.host}:{bound_port}', flush=True)  # noqa: WPS421
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    async with asyncio.TaskGroup() as group:
        if options.announce:
            announcing = group.create_task(
                announce_target(options, app, bound_port)
            )
            stop_waiter = group.create_task(stop.wait())
            stop_waiter.add_done_callback(lambda _: announcing.cancel())
        await serve_app(app, listener, RequestSettings(), stop.wait)


def start_target(  # noqa: WPS211 each is an option of the program
    name: str = 'target-1',
    service: str = 'service',
    *,
    key: str = '',
    announce: str = '',
    host: str = '127.0.0.1',
    port: int = 0,
    region: str = 'region-1',
    data_centre: str = 'dc-1',
    slots: int = 4,
    connections: int = 330,
    latency_s: float = 0,
    cold_s: float = 0,
    seed: int = 1,
) -> None:
    """Run a simulated target.

    Parameters
    ----------
    key
        Key that authenticates its announcements.
    announce
        Comma-separated addresses (``ip:port``) of VMs.
    port
        Port to listen on; 0 picks a free one, which is printed.
    seed
        Seed of all random decisions.

    """
    logging.basicConfig(level=logging.WARNING)
    if isinstance(announce, str):
        announce_to = tuple(part for part in announce.split(',') if part)
    else:
        announce_to = tuple(announce)
    options = TargetOptions(
        name=str(name),
        service=str(service),
        key=str(key),
        announce=announce_to,
        host=host,
        region=str(region),
        data_centre=str(data_centre),
        slots=slots,
        connections=connections,
    )
    uvloop.run(_start(options, port, latency_s, cold_s, seed))


async def _start(
    options: TargetOptions,
    port: int,
    latency_s: float,
    cold_s: float,
    seed: int,
) -> None:
    app = TargetApp(
        slots=options.slots,
        cold_s=cold_s,
        rng=random.Random(seed),
        clock=time.monotonic,
        faults=Faults(latency_s=latency_s),
    )
    await run_target(options, app, port)


if __name__ == '__main__':
    fire.Fire(start_target)
