"""Measure the cost of control per VM in simulated time.

Run ``PYTHONPATH=. python benchmarks/control_cost.py run --nodes=45`` for
one fleet, or ``... sweep nodes`` for the slope along one axis: ``nodes``,
``targets``, ``routes``, ``accounts``, ``changes``, ``keys``, ``requests``.
Each run of a sweep is a separate process, so that its resident memory can be
measured.
"""

from __future__ import annotations

import json
import os
import random
import resource
import statistics
import subprocess
import sys
from collections import Counter
from itertools import accumulate
from pathlib import Path
from typing import Any

import attrs
import fire

from cranberryseam.configuration.model import Lists
from cranberryseam.core.commands import (
    ApplyLists,
    CommandAnswer,
    GrantKey,
    ShowFleet,
)
from tests.capacity.node_network import (
    TRANSPORT_BYTES,
    NodeNetwork,
    Sizes,
    hash_account_key,
)

WARM_UP_S = 25.0
IN_FORCE_POLL_S = 0.1
IN_FORCE_TIMEOUT_S = 20.0
AXES: dict[str, tuple[str, tuple[int, ...], dict[str, Any]]] = {
    'nodes': ('nodes', (9, 45, 135), {}),
    'targets': ('targets', (36, 300, 1500), {}),
    'fixed_targets': ('targets', (36, 300, 1500), {'rotate': False}),
    'routes': ('routes', (10, 500, 3000), {'nodes': 9}),
    'accounts': ('accounts', (8, 5000, 20000), {'nodes': 9}),
    'changes': ('changes', (0, 6, 60), {}),
    'keys': ('changes', (0, 6, 60), {'only_keys': True}),
    'large_changes': (
        'changes',
        (0, 6, 60),
        {'nodes': 9, 'accounts': 20000, 'routes': 3000, 'seconds': 30},
    ),
    'requests': (
        'requests',
        (0, 35, 140),
        {
            'nodes': 9,
            'accounts': 54000,
            'routes': 7600,
            'services': 160,
            'targets': 960,
            'seconds': 10,
        },
    ),
}


class Control:
    """Subcommands, one per kind of measurement."""

    def run(
        self,
        seed: int = 1,
        seconds: float = 60.0,
        changes: float = 0,
        requests: float = 0,
        only_keys: bool = False,
        details: bool = True,
        **sizes: Any,
    ) -> None:
        """Measure one fleet and print JSON.

        Parameters
        ----------
        changes
            Configuration changes per minute.
        requests
            Requests per second and entry VM.
        only_keys
            Grant keys only, instead of alternating between lists and keys.

        """
        resident_before = _resident_bytes()
        network = NodeNetwork(Sizes(**sizes), seed)
        resident_after_build = _resident_bytes()
        network.run(WARM_UP_S)
        load = _LoadGenerator(network, seed)
        if requests:
            load.start_requests(requests, seconds + 3)
            network.run(3)
        network.start_interval()
        load.apply_changes(changes, seconds, only_keys=only_keys)
        report = _summarise(network, seconds, details=details)
        memory_bytes = _resident_bytes() - resident_before
        report['memory_kb'] = memory_bytes / len(network.nodes) / 1024
        report['memory_built_kb'] = (
            (resident_after_build - resident_before) / len(network.nodes) / 1024
        )
        report['in_force_s'] = load.in_force_delays_s
        report['load_average'] = os.getloadavg()[0]
        print(json.dumps(report))

    def sweep(
        self, axis: str, seeds: int = 3, most: int = 0, **options: Any
    ) -> None:
        """Measure all sizes of an axis with several seeds and fit lines."""
        name, values, fixed = AXES[axis]
        rows: list[tuple[int, int, dict[str, Any]]] = []
        for seed in range(1, seeds + 1):
            for value in values:
                row = _run_child({**fixed, **options, name: value}, seed)
                rows.append((seed, value, row))
                _print_row(axis, value, seed, row)
        for measure in _MEASURES:
            _print_fit(axis, measure, rows)


class _LoadGenerator:
    """Generates the configuration changes and requests of one run."""

    def __init__(self, network: NodeNetwork, seed: int) -> None:
        self._network = network
        self._rng = random.Random(f'load/{seed}')
        self._lists = network.lists
        self._based_on = 1
        self._change_number = 0
        self.in_force_delays_s: list[float] = []

    def start_requests(self, rate: float, seconds: float) -> None:
        """Schedule requests of Zipf-distributed accounts at all entry VMs."""
        network, rng = self._network, self._rng
        sizes = network.sizes
        weights = list(
            accumulate(1 / rank for rank in range(1, sizes.accounts + 1))
        )
        count = int(rate * seconds * sizes.nodes)
        accounts = range(sizes.accounts)
        for account in rng.choices(accounts, cum_weights=weights, k=count):
            at = network.now + rng.random() * seconds
            route = rng.randrange(sizes.routes)
            network.request(rng.choice(network.entry), account, route, at)

    def apply_changes(
        self, per_minute: float, seconds: float, *, only_keys: bool
    ) -> None:
        """Apply changes at a fixed rate and wait until each is in force."""
        network = self._network
        end = network.now + seconds
        if not per_minute:
            network.run(seconds)
            return
        interval_s = 60 / per_minute
        for position in range(int(seconds / interval_s)):
            started_at = network.now
            answer = self._send_change(keys=only_keys or position % 2 == 1)
            if answer is not None:
                self.in_force_delays_s.append(
                    self._wait_until_in_force(started_at, answer)
                )
            remaining_s = min(
                end - network.now, started_at + interval_s - network.now
            )
            network.run(max(remaining_s, 0))
        network.run(max(end - network.now, 0))

    def _send_change(self, *, keys: bool) -> int | None:
        network = self._network
        self._change_number += 1
        command = self._build_grant() if keys else self._build_edited_lists()
        for name in network.control:
            number = network.command(name, command)
            for _ in range(20):
                if number in network.answers:
                    break
                network.run(0.02)
            answer = network.answers.pop(number, None)
            if isinstance(answer, CommandAnswer):
                if not keys:
                    self._based_on = answer.version
                return answer.version
        return None

    def _build_grant(self) -> GrantKey:
        number = 10_000_000 + self._change_number
        account = self._lists.accounts[0].name
        key_id = f'key-{number}'
        return GrantKey(
            f'grant-{number}', key_id, account, hash_account_key(number)
        )

    def _build_edited_lists(self) -> ApplyLists:
        accounts = list(self._lists.accounts)
        index = self._change_number % len(accounts)
        account = accounts[index]
        plan = 'large' if account.plan == 'small' else 'small'
        accounts[index] = attrs.evolve(account, plan=plan)
        lists = self._lists
        self._lists = Lists(
            tuple(accounts), lists.plans, lists.routes, lists.services
        )
        key = f'lists-{self._change_number}'
        return ApplyLists(key, self._based_on, self._lists)

    def _wait_until_in_force(self, started_at: float, version: int) -> float:
        network = self._network
        outdated_vms = list(network.nodes)
        while network.now - started_at < IN_FORCE_TIMEOUT_S:
            outdated_vms = [
                name
                for name in outdated_vms
                if self._version_of(name) < version
            ]
            if not outdated_vms:
                return network.now - started_at
            network.run(IN_FORCE_POLL_S)
        return IN_FORCE_TIMEOUT_S

    def _version_of(self, name: str) -> int:
        # Excludes these queries from the measured cost.
        cost = self._network.cost
        self._network.cost = type(cost)()
        number = self._network.command(name, ShowFleet())
        self._network.cost = cost
        return self._network.answers.pop(number).version


def _summarise(
    network: NodeNetwork, seconds: float, *, details: bool
) -> dict[str, Any]:
    cost = network.cost
    count = len(network.nodes)
    per_vm_second = 1 / seconds / count
    sent_by_vm: Counter[str] = Counter()
    bytes_by_kind: Counter[str] = Counter()
    messages_by_kind: Counter[str] = Counter()
    cpu_by_vm: Counter[str] = Counter()
    cpu_by_kind: Counter[str] = Counter()
    for (name, kind), size in cost.sent_bytes.items():
        sent_by_vm[name] += size
        bytes_by_kind[kind] += size
    for (_name, kind), number in cost.sent.items():
        messages_by_kind[kind] += number
    for (name, kind), spent in cost.cpu_s.items():
        cpu_by_vm[name] += spent
        cpu_by_kind[kind] += spent
    total = sum(messages_by_kind.values())
    traffic_by_vm = {
        name: sent_by_vm[name] + cost.received_bytes[name]
        for name in network.nodes
    }
    relays = sorted(network.entry)[:6]
    report: dict[str, Any] = {
        'sent_bytes': sum(sent_by_vm.values()) * per_vm_second,
        'sent_with_headers': (
            sum(sent_by_vm.values()) + total * TRANSPORT_BYTES
        )
        * per_vm_second,
        'messages': total * per_vm_second,
        'most_sent': max(sent_by_vm.values(), default=0) / seconds,
        'most_received': max(cost.received_bytes.values(), default=0) / seconds,
        'relay_sent': sum(sent_by_vm[name] for name in relays) / 6 / seconds,
        'control_sent': sum(sent_by_vm[name] for name in network.control)
        / 3
        / seconds,
        'most_both': max(traffic_by_vm.values()) / seconds,
        'far_bytes': sum(cost.cross_region_bytes.values()) / seconds,
        'far_messages': sum(cost.cross_region_messages.values()) / seconds,
        'cpu_percent': sum(cpu_by_vm.values()) * per_vm_second * 100,
        'most_cpu_percent': max(cpu_by_vm.values()) / seconds * 100,
        'relay_cpu_percent': sum(cpu_by_vm[name] for name in relays)
        / 6
        / seconds
        * 100,
        'control_cpu_percent': sum(cpu_by_vm[name] for name in network.control)
        / 3
        / seconds
        * 100,
        'refused': dict(cost.refused),
    }
    if details:
        report['kinds'] = {
            kind: (
                round(size * per_vm_second, 2),
                round(messages_by_kind[kind] * per_vm_second, 3),
            )
            for kind, size in bytes_by_kind.most_common()
        }
        report['cpu_kinds'] = {
            kind: round(spent * per_vm_second * 100, 4)
            for kind, spent in cpu_by_kind.most_common(25)
        }
        report['cpu_events_us'] = {
            kind: round(cpu_by_kind[kind] / number * 1e6, 1)
            for kind, number in cost.events.most_common(25)
        }
    return report


_MEASURES = (
    'sent_bytes',
    'sent_with_headers',
    'messages',
    'relay_sent',
    'control_sent',
    'far_bytes',
    'cpu_percent',
    'relay_cpu_percent',
    'control_cpu_percent',
    'memory_kb',
)


def _run_child(options: dict[str, Any], seed: int) -> dict[str, Any]:
    arguments = [f'--{name}={value}' for name, value in options.items()]
    command = [sys.executable, __file__, 'run', f'--seed={seed}', *arguments]
    completed = subprocess.run(
        command, capture_output=True, text=True, check=True
    )
    report: dict[str, Any] = json.loads(completed.stdout)
    return report


def _print_row(axis: str, value: int, seed: int, row: dict[str, Any]) -> None:
    figures = ' '.join(f'{name}={row[name]:.4g}' for name in _MEASURES)
    delays_s = row['in_force_s']
    in_force = ''
    if delays_s:
        median = statistics.median(delays_s)
        in_force = (
            f' in_force={median:.2f}/{max(delays_s):.2f}s of {len(delays_s)}'
        )
    print(
        f'{axis}={value} seed={seed} {figures}{in_force}'
        f' load={row["load_average"]:.0f} refused={row["refused"]}'
    )
    print('  ', json.dumps(row['kinds']))
    print('  ', json.dumps(row['cpu_kinds']))
    print('  ', json.dumps(row['cpu_events_us']), flush=True)


def _print_fit(
    axis: str, measure: str, rows: list[tuple[int, int, dict[str, Any]]]
) -> None:
    slopes: list[float] = []
    intercepts: list[float] = []
    for seed in sorted({seed for seed, _value, _row in rows}):
        points = [
            (value, row[measure])
            for number, value, row in rows
            if number == seed
        ]
        fit = statistics.linear_regression(*zip(*points, strict=True))
        slopes.append(fit.slope)
        intercepts.append(fit.intercept)
    print(
        f'{axis} {measure}: at zero {statistics.mean(intercepts):.4g}'
        f' ({min(intercepts):.4g} to {max(intercepts):.4g}),'
        f' slope {statistics.mean(slopes):.4g}'
        f' ({min(slopes):.4g} to {max(slopes):.4g})'
    )


def _resident_bytes() -> int:
    pages = int(Path('/proc/self/statm').read_text().split()[1])
    return pages * resource.getpagesize()


if __name__ == '__main__':
    fire.Fire(Control)
