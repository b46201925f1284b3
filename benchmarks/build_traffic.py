"""A fleet of any builds put to use: lists, keys, requests and targets."""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from typing import Any, Final

import attrs
from build_processes import (
    LOOPBACK,
    REGION,
    TARGET_KEY,
    Answer,
    Build,
    Fleet,
    Process,
    UnmetError,
    Vm,
    call,
    hash_key,
    show,
    start_process,
    wait_for,
)

FIRST_TARGET_PORT: Final = 27800
CONTROL_VMS: Final = 3
ENTRY_VMS: Final = 4
PATH: Final = '/catalogue/1'
SERVICES: Final = ('katalogi', 'malipo')
TARGETS_PER_SERVICE: Final = 2
TARGET_LATENCY_S: Final = 0.01
START_LIMIT_S: Final = 30.0
# Members that started this long before the fleet was initialised know that
# no earlier idempotency records exist.
INITIALISE_AFTER_S: Final = 2.5
# A vote may be held by a lease of the time before the restart.
ORDERS_LIMIT_S: Final = 7.0
ORDER_INTERVAL_S: Final = 0.2
# A snapshot is taken after 512 entries and keeps 128 of them.
MANY_KEYS: Final = 560
GRANT_THREADS: Final = 8
TRICKLE_INTERVAL_S: Final = 0.1
SMALL_RATE: Final = 20
SMALL_BURST: Final = 20


@attrs.define
class Trickle:
    """Look-ups and repeated orders through all entry VMs, one thread each."""

    fleet: Fleet
    key: str
    mark: str
    orders: bool = True
    stopped: threading.Event = attrs.field(factory=threading.Event)
    answers: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    answered: set[str] = attrs.field(factory=set)
    differing: list[str] = attrs.field(factory=list)

    def run(self, position: int) -> None:
        """Send requests through one VM until stopped."""
        vms = self.fleet.entry
        vm, other = vms[position], vms[(position + 1) % len(vms)]
        number = 0
        while not self.stopped.wait(TRICKLE_INTERVAL_S):
            number += 1
            found = look_up(vm, self.key)
            self._note('look-up', found)
            if not self.orders:
                continue
            work = f'{self.mark}-{vm.name}-{number}'
            first = order(vm, self.key, work)
            self._note('order', first)
            if first.status == 200:
                self.answered.add(work)
            again = order(other, self.key, work)
            self._note('repeated order', again)
            same = (first.status, first.text) == (again.status, again.text)
            if first.status == 200 and not same:
                self.differing.append(f'{work}: {again.status} {again.reason}')

    def _note(self, kind: str, answer: Answer) -> None:
        told = '200' if answer.status == 200 else f'{answer.status} '
        self.answers[kind, told + answer.reason] += 1


@contextmanager
def run_trickle(trickle: Trickle) -> Iterator[None]:
    """Send requests in the background."""
    threads = [
        threading.Thread(target=trickle.run, args=(position,))
        for position in range(len(trickle.fleet.entry))
    ]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        trickle.stopped.set()
        for thread in threads:
            thread.join()


def look_up(vm: Vm, key: str, path: str = PATH) -> Answer:
    """Send a request that may be repeated."""
    return call('GET', f'{vm.callers}{path}', key=key)


def order(vm: Vm, key: str, work: str, body: str = '') -> Answer:
    """Send a request that must not run twice, under its idempotency key."""
    headers = {'Idempotency-Key': work, 'X-Work-Id': work}
    content = (body or work).encode()
    return call('POST', f'{vm.callers}/orders', content, key, headers)


def build_lists(routes: tuple[str, ...], extra_accounts: int) -> dict[str, Any]:
    """Return the two lists; ``routes`` are further look-ups."""
    hashes = [hash_key(TARGET_KEY)]
    paths = ('catalogue', *routes)
    names = [f'extra-{number}' for number in range(extra_accounts)]
    accounts = {'asha': 'trader', 'zuri': 'trader', 'bahari': 'small'}
    accounts.update(dict.fromkeys(names, 'small'))
    window = {'start_minute': 420, 'end_minute': 600, 'deadline_s': 3.5}
    return {
        'accounts': [
            {'name': name, 'plan': plan, 'home': REGION, 'shares': []}
            for name, plan in accounts.items()
        ],
        'plans': [
            {
                'name': 'trader',
                'rate': 2000,
                'burst': 2000,
                'weight': 1,
                'routes': [*paths, 'orders'],
            },
            {
                'name': 'small',
                'rate': SMALL_RATE,
                'burst': SMALL_BURST,
                'weight': 2,
                'routes': ['*'],
                'rank': 1,
            },
        ],
        'routes': [
            {
                'name': 'orders',
                'service': 'malipo',
                'prefix': '/orders',
                'methods': ['POST'],
                'retriable': [],
                'deadline_s': 8,
            },
            *(
                {
                    'name': path,
                    'service': 'katalogi',
                    'prefix': f'/{path}',
                    'methods': ['GET'],
                    'deadline_s': 4,
                    'windows': [window],
                }
                for path in paths
            ),
        ],
        'services': [
            {'name': name, 'floor': 0.5, 'target_key_hashes': hashes}
            for name in SERVICES
        ],
    }


def apply_lists(
    fleet: Fleet, command: str, based_on: int, lists: dict[str, Any]
) -> Answer:
    """Send the command that replaces the lists."""
    body = {'command_key': command, 'based_on': based_on, 'lists': lists}
    return fleet.command('POST', '/v1/lists', body)


def grant(fleet: Fleet, name: str, account: str, key: str = '') -> Answer:
    """Grant a key, which is the name itself if no other is given."""
    body = {
        'command_key': f'grant-{name}',
        'key_id': name,
        'account': account,
        'key_hash': hash_key(key or name),
    }
    return fleet.command('POST', '/v1/keys', body)


def grant_many(fleet: Fleet, prefix: str) -> int:
    """Grant enough keys for a snapshot and return how many were accepted."""
    with ThreadPoolExecutor(GRANT_THREADS) as pool:
        answers = pool.map(
            lambda number: grant(fleet, f'{prefix}-{number}', 'zuri'),
            range(MANY_KEYS),
        )
        return sum(answer.status == 200 for answer in answers)


def withdraw(fleet: Fleet, vm: Vm | None, name: str) -> Answer:
    """Withdraw a key through a VM, or through the control leader."""
    body = {'command_key': f'withdraw-{name}'}
    path = f'/v1/keys/{name}/withdraw'
    if vm is None:
        return fleet.command('POST', path, body)
    return call('POST', f'{vm.admin}{path}', body)


def start_all(fleet: Fleet, builds: dict[str, Build]) -> None:
    """Start all VMs and wait until each answers its operators."""
    for vm in fleet.vms:
        fleet.start(vm, builds[vm.name])
    for vm in fleet.vms:
        wait_for(
            f'{vm.name} ({builds[vm.name].name}): administration API',
            partial(is_there, fleet, vm),
            START_LIMIT_S,
        )


def form(fleet: Fleet) -> int:
    """Initialise a fresh fleet and return the version of its first lists."""
    time.sleep(INITIALISE_AFTER_S)
    require('initialise', fleet.command('POST', '/v1/fleet/initialise'))
    first = apply_lists(fleet, 'lists-1', 0, build_lists((), 0))
    require('first lists', first)
    require('first key', grant(fleet, 'asha-1', 'asha'))
    return int(first.document['version'])


def require(what: str, answer: Answer) -> None:
    """Raise ``UnmetError`` unless a command was executed."""
    if answer.status != 200:
        raise UnmetError(f'{what}: {answer.status} {show(answer.document)}')


def wait_until_serving(fleet: Fleet, key: str = 'asha-1') -> None:
    """Wait until each entry VM passes a look-up on and sees all targets."""
    expected = len(SERVICES) * TARGETS_PER_SERVICE
    for vm in fleet.entry:
        wait_for(
            f'look-up through {vm.name}',
            partial(passes, vm, key),
            START_LIMIT_S,
        )
        wait_for(
            f'all targets at {vm.name}',
            partial(sees_targets, vm, expected),
            START_LIMIT_S,
        )


def is_there(fleet: Fleet, vm: Vm) -> bool:
    """Return whether a VM answers its operators.

    Raises
    ------
    UnmetError
        If its process has ended.

    """
    ended = fleet.running[vm.name].read_end()
    if ended:
        raise UnmetError(ended)
    return call('GET', f'{vm.admin}/v1/counters').status == 200


def passes(vm: Vm, key: str, path: str = PATH, status: int = 200) -> bool:
    """Return whether a look-up gets a status."""
    return look_up(vm, key, path).status == status


def sees_targets(vm: Vm, expected: int) -> bool:
    """Return whether a VM knows that many targets."""
    answer = call('GET', f'{vm.admin}/v1/targets')
    known = answer.document['body']['targets'] if answer.document else ()
    return len(known) == expected


def wait_for_orders(fleet: Fleet, mark: str) -> list[object]:
    """Return status and reason of the last fresh order through each VM."""
    with ThreadPoolExecutor(ENTRY_VMS) as pool:
        return list(pool.map(lambda vm: wait_for_order(vm, mark), fleet.entry))


def wait_for_order(vm: Vm, mark: str) -> object:
    """Send fresh orders until one is answered or the limit is reached."""
    give_up_at = time.monotonic() + ORDERS_LIMIT_S
    number = 0
    while True:
        answer = order(vm, 'asha-1', f'{mark}-{vm.name}-{number}')
        if answer.status == 200 or time.monotonic() > give_up_at:
            return [answer.status, answer.reason]
        number += 1
        time.sleep(ORDER_INTERVAL_S)


@contextmanager
def run_targets(
    build: Build,
    folder: Path,
    vms: tuple[Vm, ...],
    first_port: int = FIRST_TARGET_PORT,
) -> Iterator[tuple[Process, ...]]:
    """Run stand-in targets that announce themselves to VMs."""
    announce = ','.join(vm.targets for vm in vms)
    names = [
        (service, f'{service}-{number}')
        for service in SERVICES
        for number in range(TARGETS_PER_SERVICE)
    ]
    targets = tuple(
        start_process(
            name,
            build,
            (
                '-m',
                'cranberryseam.experiments.target',
                f'--name={name}',
                f'--service={service}',
                f'--key={TARGET_KEY}',
                f'--announce={announce}',
                f'--port={port}',
                f'--region={REGION}',
                f'--data-centre={REGION}-a',
                f'--latency-s={TARGET_LATENCY_S}',
                '--slots=16',
            ),
            folder,
        )
        for port, (service, name) in enumerate(names, first_port)
    )
    try:
        for port in range(first_port, first_port + len(targets)):
            wait_for(
                f'target at {port}', partial(is_target, port), START_LIMIT_S
            )
        yield targets
    finally:
        for target in targets:
            target.stop()


def is_target(port: int) -> bool:
    """Return whether a stand-in target answers at a port."""
    return call('GET', f'{LOOPBACK}:{port}/-/counts', key='').status == 200


def count_executions(first_port: int = FIRST_TARGET_PORT) -> Counter[str]:
    """Return how often the targets executed each piece of work."""
    executions: Counter[str] = Counter()
    for number in range(len(SERVICES) * TARGETS_PER_SERVICE):
        address = f'{LOOPBACK}:{first_port + number}'
        counts = call('GET', f'{address}/-/counts', key='').document
        executions.update(counts['executions'])
    return executions
