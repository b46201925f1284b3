"""What control costs in real processes on loopback addresses.

Run ``PYTHONPATH=. python benchmarks/process_cost.py``. Three control and
eight entry VMs run idle and then with growing lists; each configuration change
is timed until all of them have it in force.
"""

from __future__ import annotations

import json
import os
import resource
import socket
import statistics
import tempfile
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import attrs
import fire

from cranberryseam.cli.client import AdminClient
from cranberryseam.cli.lists import build_lists_body
from cranberryseam.configuration.model import Lists
from cranberryseam.experiments.local import (
    ADMIN_KEY,
    LOOPBACK,
    LocalLayout,
    LocalVm,
    plan_layout,
    run_process,
    write_settings,
)
from tests.capacity.node_network import Sizes, build_lists, hash_account_key

FIRST_PORT = 24000
START_LIMIT_S = 30.0
IN_FORCE_LIMIT_S = 60.0
MOST_ATTEMPTS = 4
IDLE_S = 10.0
# Counters are sent once a second.
FLUSH_S = 1.5
TICKS_PER_S = os.sysconf('SC_CLK_TCK')
STEPS = ((8, 10), (5000, 500), (54000, 7600))


class Counters:
    """Receives the statsd counters of all VMs."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((LOOPBACK, 0))
        self.port = self._socket.getsockname()[1]
        threading.Thread(target=self._receive, daemon=True).start()

    def _receive(self) -> None:
        while True:
            for line in self._socket.recv(65536).decode().splitlines():
                name, _, rest = line.partition(':')
                self.counts[name] += int(rest.partition('|')[0])

    def total(self, name: str) -> int:
        """Return the sum of a counter over all VMs."""
        return sum(
            count
            for key, count in self.counts.items()
            if key.endswith(f'.{name}')
        )


@attrs.define
class Fleet:
    """Running processes with what was applied to them."""

    layout: LocalLayout
    client: AdminClient
    counters: Counters
    processes: dict[str, Any]
    lists: Lists = Lists()
    based_on: int = 0
    number: int = 0

    def apply(self, lists: Lists) -> int:
        """Replace the lists and return the accepted version."""
        self.number += 1
        body = build_lists_body(f'lists-{self.number}', self.based_on, lists)
        for _attempt in range(MOST_ATTEMPTS):
            # Sent again under its key, as an operator does after a timeout.
            answer = self.client.request_any('POST', '/v1/lists', body)
            if answer.is_ok():
                break
            _print('lists not confirmed', str(answer.error)[:300])
        else:
            raise SystemExit('lists were never confirmed')
        self.lists = lists
        self.based_on = answer.ok['version']
        return self.based_on

    def edit(self) -> int:
        """Move one account to the other plan."""
        accounts = list(self.lists.accounts)
        place = self.number % len(accounts)
        plan = 'large' if accounts[place].plan == 'small' else 'small'
        accounts[place] = attrs.evolve(accounts[place], plan=plan)
        lists = self.lists
        return self.apply(
            Lists(tuple(accounts), lists.plans, lists.routes, lists.services)
        )

    def grant(self) -> int:
        """Grant one key."""
        self.number += 1
        body = {
            'command_key': f'grant-{self.number}',
            'key_id': f'key-{self.number}',
            'account': self.lists.accounts[0].name,
            'key_hash': hash_account_key(self.number).hex(),
        }
        answer = self.client.request_any('POST', '/v1/keys', body)
        if answer.is_error():
            raise SystemExit(str(answer.error)[:500])
        return answer.ok['version']

    def wait(self, version: int) -> None:
        """Return once a version is in force at all VMs."""
        end = time.monotonic() + IN_FORCE_LIMIT_S
        with ThreadPoolExecutor(2) as pool:
            behind = list(self.layout.vms)
            while behind:
                versions = pool.map(self._version_of, behind)
                behind = [
                    vm
                    for vm, found in zip(behind, versions, strict=True)
                    if found < version
                ]
                if time.monotonic() > end:
                    raise SystemExit(f'{len(behind)} VMs are behind')
                time.sleep(0.01)

    def _version_of(self, vm: LocalVm) -> int:
        answer = self.client.request(vm.admin, 'GET', '/v1/fleet')
        return answer.ok['version'] if answer.is_ok() else -1

    def cost(self, seconds: float) -> dict[str, Any]:
        """Return memory, and processor and network use of an interval."""
        before = self._read()
        time.sleep(seconds)
        after = self._read()
        vms = len(self.layout.vms)
        cost: dict[str, Any] = {
            'bytes_per_s': (after['bytes'] - before['bytes']) / seconds / vms,
            'messages_per_s': (after['messages'] - before['messages'])
            / seconds
            / vms,
        }
        for role in ('control', 'entry'):
            names = [vm.name for vm in self.layout.vms if role in vm.roles]
            used = [
                (after[name] - before[name]) / seconds * 100 for name in names
            ]
            memory = [_resident_mb(self.processes[name].pid) for name in names]
            cost[role] = {
                'cpu_percent': [statistics.mean(used), max(used)],
                'resident_mb': [statistics.mean(memory), max(memory)],
                'peak_mb': max(
                    _peak_mb(self.processes[name].pid) for name in names
                ),
            }
        return cost

    def _read(self) -> dict[str, float]:
        figures: dict[str, float] = {
            name: _cpu_s(process.pid)
            for name, process in self.processes.items()
        }
        figures['bytes'] = self.counters.total('peers.bytes_sent')
        figures['messages'] = self.counters.total('peers.messages_sent')
        return figures


def measure(
    entry: int = 8,
    changes: int = 12,
    idle_s: float = 20.0,
    grants: bool = True,
    steps: tuple[tuple[int, int], ...] = STEPS,
) -> None:
    """Print one JSON line per step.

    Parameters
    ----------
    changes
        Changes of one account that are timed at each size.
    grants
        Time as many grants of a key as well.
    steps
        Accounts and routes of each step.

    """
    with tempfile.TemporaryDirectory() as folder, ExitStack() as stack:
        layout = plan_layout(Path(folder), ('dar',), entry, 3, FIRST_PORT)
        fleet = _start(layout, stack)
        _print('started, no configuration', fleet.cost(5))
        _initialise(fleet)
        for accounts, routes in steps:
            lists = build_lists(
                Sizes(
                    accounts=accounts,
                    routes=routes,
                    services=min(routes, 160),
                )
            )
            began = time.monotonic()
            version = fleet.apply(lists)
            accepted = time.monotonic() - began
            fleet.wait(version)
            name = f'{accounts} accounts, {routes} routes'
            waited = time.monotonic() - began
            _print(f'{name}: applied', [accepted, waited])
            time.sleep(3)
            _print(f'{name}: idle', fleet.cost(idle_s))
            kinds = (fleet.edit, fleet.grant) if grants else (fleet.edit,)
            for change in kinds:
                _print(
                    f'{name}: {change.__name__}',
                    _time_changes(fleet, change, changes),
                )
            _print(f'{name}: after changes', fleet.cost(5))


def _time_changes(fleet: Fleet, change: Any, count: int) -> dict[str, Any]:
    accepted: list[float] = []
    in_force: list[float] = []
    idle = fleet.cost(IDLE_S)['bytes_per_s'] * len(fleet.layout.vms)
    started = time.monotonic()
    sent = fleet.counters.total('peers.bytes_sent')
    for _ in range(count):
        began = time.monotonic()
        version = change()
        accepted.append(time.monotonic() - began)
        fleet.wait(version)
        in_force.append(time.monotonic() - began)
    time.sleep(FLUSH_S)
    sent = fleet.counters.total('peers.bytes_sent') - sent
    sent -= idle * (time.monotonic() - started)
    return {
        'fleet_bytes_per_change': sent / count,
        'accepted_s': [statistics.median(accepted), max(accepted)],
        'in_force_s': [statistics.median(in_force), max(in_force)],
        'changes': count,
    }


def _start(layout: LocalLayout, stack: ExitStack) -> Fleet:
    counters = Counters()
    processes: dict[str, Any] = {}
    for vm in layout.vms:
        path = write_settings(layout, vm)
        with path.open('a', encoding='utf-8') as settings:
            settings.write(
                f'\n[statsd]\nport = {counters.port}\nprefix = "{vm.name}"\n'
            )
        processes[vm.name] = stack.enter_context(
            run_process(
                ['cranberryseam.daemon.main', '--config', str(path)],
                layout.folder / f'{vm.name}.log',
            )
        )
    client = AdminClient(tuple(vm.admin for vm in layout.control), ADMIN_KEY)
    fleet = Fleet(layout, client, counters, processes)
    end = time.monotonic() + START_LIMIT_S
    while not all(
        answer.is_ok()
        for answer in client.request_all('GET', '/v1/control').values()
    ):
        if time.monotonic() > end:
            raise SystemExit('control VMs did not start')
        time.sleep(0.1)
    time.sleep(2.5)
    return fleet


def _initialise(fleet: Fleet) -> None:
    answer = fleet.client.request_any('POST', '/v1/fleet/initialise')
    if answer.is_error():
        raise SystemExit(str(answer.error))
    time.sleep(2)


def _cpu_s(pid: int) -> float:
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _resident_mb(pid: int) -> float:
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * resource.getpagesize() / 1e6


def _peak_mb(pid: int) -> float:
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1]) * 1024 / 1e6
    return 0


def _print(name: str, figures: Any) -> None:
    load = os.getloadavg()[0]
    print(
        json.dumps({'step': name, 'load': load, 'figures': figures}), flush=True
    )


if __name__ == '__main__':
    fire.Fire(measure)
