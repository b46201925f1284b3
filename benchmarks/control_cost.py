"""What control costs per VM, in virtual time with whole reducers.

Run ``PYTHONPATH=. python benchmarks/control_cost.py run --nodes=45`` for
one fleet, or ``... sweep nodes`` for the slope along one axis: ``nodes``,
``targets``, ``routes``, ``accounts``, ``changes``, ``keys``, ``requests``.
Each run of a sweep is a process of its own, so that its resident memory can
be read.
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
IN_FORCE_STEP_S = 0.1
IN_FORCE_LIMIT_S = 20.0
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
    """The measurements, one method each."""

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
            Grant keys only, instead of lists and keys in turn.

        """
        before = _resident_bytes()
        network = NodeNetwork(Sizes(**sizes), seed)
        built = _resident_bytes()
        network.run(WARM_UP_S)
        load = _Load(network, seed)
        if requests:
            load.start_requests(requests, seconds + 3)
            network.run(3)
        network.reset()
        load.change(changes, seconds, only_keys=only_keys)
        report = _summarise(network, seconds, details=details)
        held = _resident_bytes() - before
        report['memory_kb'] = held / len(network.nodes) / 1024
        report['memory_built_kb'] = (built - before) / len(network.nodes) / 1024
        report['in_force_s'] = load.waits
        report['load_average'] = os.getloadavg()[0]
        print(json.dumps(report))

    def sweep(
        self, axis: str, seeds: int = 3, most: int = 0, **options: Any
    ) -> None:
        """Run all sizes of an axis with several seeds and fit slopes."""
        name, values, fixed = AXES[axis]
        rows: list[tuple[int, int, dict[str, Any]]] = []
        for seed in range(1, seeds + 1):
            for value in values:
                row = _run_child({**fixed, **options, name: value}, seed)
                rows.append((seed, value, row))
                _print_row(axis, value, seed, row)
        for figure in _FIGURES:
            _print_slope(axis, figure, rows)


class _Load:
    """Changes and requests of one run."""

    def __init__(self, network: NodeNetwork, seed: int) -> None:
        self._network = network
        self._rng = random.Random(f'load/{seed}')
        self._lists = network.lists
        self._based_on = 1
        self._number = 0
        self.waits: list[float] = []

    def start_requests(self, rate: float, seconds: float) -> None:
        """Schedule requests with Zipf-like accounts on all entry VMs."""
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

    def change(
        self, per_minute: float, seconds: float, *, only_keys: bool
    ) -> None:
        """Make changes at an even pace and wait for each to be in force."""
        network = self._network
        end = network.now + seconds
        if not per_minute:
            network.run(seconds)
            return
        pause_s = 60 / per_minute
        for position in range(int(seconds / pause_s)):
            began = network.now
            answer = self._give(keys=only_keys or position % 2 == 1)
            if answer is not None:
                self.waits.append(self._wait(began, answer))
            rest = min(end - network.now, began + pause_s - network.now)
            network.run(max(rest, 0))
        network.run(max(end - network.now, 0))

    def _give(self, *, keys: bool) -> int | None:
        network = self._network
        self._number += 1
        command = self._grant() if keys else self._edit()
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

    def _grant(self) -> GrantKey:
        number = 10_000_000 + self._number
        account = self._lists.accounts[0].name
        key_id = f'key-{number}'
        return GrantKey(
            f'grant-{number}', key_id, account, hash_account_key(number)
        )

    def _edit(self) -> ApplyLists:
        accounts = list(self._lists.accounts)
        place = self._number % len(accounts)
        before = accounts[place]
        plan = 'large' if before.plan == 'small' else 'small'
        accounts[place] = attrs.evolve(before, plan=plan)
        lists = self._lists
        self._lists = Lists(
            tuple(accounts), lists.plans, lists.routes, lists.services
        )
        key = f'lists-{self._number}'
        return ApplyLists(key, self._based_on, self._lists)

    def _wait(self, began: float, version: int) -> float:
        network = self._network
        behind = list(network.nodes)
        while network.now - began < IN_FORCE_LIMIT_S:
            behind = [
                name for name in behind if self._version_of(name) < version
            ]
            if not behind:
                return network.now - began
            network.run(IN_FORCE_STEP_S)
        return IN_FORCE_LIMIT_S

    def _version_of(self, name: str) -> int:
        # The looks are not part of the cost.
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
    per = 1 / seconds / count
    sent: Counter[str] = Counter()
    kinds: Counter[str] = Counter()
    messages: Counter[str] = Counter()
    cpu: Counter[str] = Counter()
    steps: Counter[str] = Counter()
    for (name, kind), size in cost.sent_bytes.items():
        sent[name] += size
        kinds[kind] += size
    for (_name, kind), number in cost.sent.items():
        messages[kind] += number
    for (name, kind), spent in cost.cpu_s.items():
        cpu[name] += spent
        steps[kind] += spent
    total = sum(messages.values())
    both = {
        name: sent[name] + cost.received_bytes[name] for name in network.nodes
    }
    relays = sorted(network.entry)[:6]
    report: dict[str, Any] = {
        'sent_bytes': sum(sent.values()) * per,
        'sent_with_headers': (sum(sent.values()) + total * TRANSPORT_BYTES)
        * per,
        'messages': total * per,
        'most_sent': max(sent.values(), default=0) / seconds,
        'most_received': max(cost.received_bytes.values(), default=0) / seconds,
        'relay_sent': sum(sent[name] for name in relays) / 6 / seconds,
        'control_sent': sum(sent[name] for name in network.control)
        / 3
        / seconds,
        'most_both': max(both.values()) / seconds,
        'far_bytes': sum(cost.far_bytes.values()) / seconds,
        'far_messages': sum(cost.far.values()) / seconds,
        'cpu_percent': sum(cpu.values()) * per * 100,
        'most_cpu_percent': max(cpu.values()) / seconds * 100,
        'relay_cpu_percent': sum(cpu[name] for name in relays)
        / 6
        / seconds
        * 100,
        'control_cpu_percent': sum(cpu[name] for name in network.control)
        / 3
        / seconds
        * 100,
        'refused': dict(cost.refused),
    }
    if details:
        report['kinds'] = {
            kind: (round(size * per, 2), round(messages[kind] * per, 3))
            for kind, size in kinds.most_common()
        }
        report['cpu_kinds'] = {
            kind: round(spent * per * 100, 4)
            for kind, spent in steps.most_common(25)
        }
        report['cpu_events_us'] = {
            kind: round(steps[kind] / number * 1e6, 1)
            for kind, number in cost.events.most_common(25)
        }
    return report


_FIGURES = (
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
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    report: dict[str, Any] = json.loads(done.stdout)
    return report


def _print_row(axis: str, value: int, seed: int, row: dict[str, Any]) -> None:
    figures = ' '.join(f'{name}={row[name]:.4g}' for name in _FIGURES)
    waits = row['in_force_s']
    in_force = ''
    if waits:
        median = statistics.median(waits)
        in_force = f' in_force={median:.2f}/{max(waits):.2f}s of {len(waits)}'
    print(
        f'{axis}={value} seed={seed} {figures}{in_force}'
        f' load={row["load_average"]:.0f} refused={row["refused"]}'
    )
    print('  ', json.dumps(row['kinds']))
    print('  ', json.dumps(row['cpu_kinds']))
    print('  ', json.dumps(row['cpu_events_us']), flush=True)


def _print_slope(
    axis: str, figure: str, rows: list[tuple[int, int, dict[str, Any]]]
) -> None:
    slopes: list[float] = []
    starts: list[float] = []
    for seed in sorted({seed for seed, _value, _row in rows}):
        own = [
            (value, row[figure])
            for number, value, row in rows
            if number == seed
        ]
        line = statistics.linear_regression(*zip(*own, strict=True))
        slopes.append(line.slope)
        starts.append(line.intercept)
    print(
        f'{axis} {figure}: at zero {statistics.mean(starts):.4g}'
        f' ({min(starts):.4g} to {max(starts):.4g}),'
        f' slope {statistics.mean(slopes):.4g}'
        f' ({min(slopes):.4g} to {max(slopes):.4g})'
    )


def _resident_bytes() -> int:
    pages = int(Path('/proc/self/statm').read_text().split()[1])
    return pages * resource.getpagesize()


if __name__ == '__main__':
    fire.Fire(Control)
