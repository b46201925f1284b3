"""Use of a fleet of any builds: lists, keys, requests and targets."""

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
    PreconditionError,
    Process,
    Vm,
    format_json,
    hash_key,
    send_request,
    start_process,
    wait_for,
)

FIRST_TARGET_PORT: Final = 27800
CONTROL_VM_COUNT: Final = 3
ENTRY_VM_COUNT: Final = 4
LOOKUP_PATH: Final = '/catalogue/1'
SERVICES: Final = ('katalogi', 'malipo')
TARGETS_PER_SERVICE: Final = 2
TARGET_LATENCY_S: Final = 0.01
START_LIMIT_S: Final = 30.0
# Members that started this long before the fleet was initialised know that
# no earlier idempotency records exist.
INITIALISE_AFTER_S: Final = 2.5
# The vote of a member may still be bound by a lease from before a restart.
ORDERS_LIMIT_S: Final = 7.0
ORDER_INTERVAL_S: Final = 0.2
# Enough for a snapshot, which is taken after 512 records. The log keeps the
# last 128 of them, so a VM that lacks more must receive the snapshot.
SNAPSHOT_KEY_COUNT: Final = 560
GRANT_THREADS: Final = 8
BACKGROUND_INTERVAL_S: Final = 0.1
SMALL_PLAN_RATE_PER_S: Final = 20
SMALL_PLAN_BURST: Final = 20


@attrs.define
class BackgroundRequests:
    """Background lookups and repeated orders, one thread per entry VM."""

    fleet: Fleet
    key: str
    id_prefix: str
    sends_orders: bool = True
    stopped: threading.Event = attrs.field(factory=threading.Event)
    answers: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    completed_orders: set[str] = attrs.field(factory=set)
    differing_answers: list[str] = attrs.field(factory=list)

    def run(self, position: int) -> None:
        """Send requests through one VM until stopped."""
        vms = self.fleet.entry
        vm, other = vms[position], vms[(position + 1) % len(vms)]
        number = 0
        while not self.stopped.wait(BACKGROUND_INTERVAL_S):
            number += 1
            lookup_answer = send_lookup(vm, self.key)
            self._count_answer('look-up', lookup_answer)
            if not self.sends_orders:
                continue
            work_id = f'{self.id_prefix}-{vm.name}-{number}'
            first = send_order(vm, self.key, work_id)
            self._count_answer('order', first)
            if first.status == 200:
                self.completed_orders.add(work_id)
            again = send_order(other, self.key, work_id)
            self._count_answer('repeated order', again)
            same = (first.status, first.text) == (again.status, again.text)
            if first.status == 200 and not same:
                self.differing_answers.append(
                    f'{work_id}: {again.status} {again.reason}'
                )

    def _count_answer(self, kind: str, answer: Answer) -> None:
        status_text = '200' if answer.status == 200 else f'{answer.status} '
        self.answers[kind, status_text + answer.reason] += 1


@contextmanager
def run_background_requests(background: BackgroundRequests) -> Iterator[None]:
    """Send requests in the background."""
    threads = [
        threading.Thread(target=background.run, args=(position,))
        for position in range(len(background.fleet.entry))
    ]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        background.stopped.set()
        for thread in threads:
            thread.join()


def send_lookup(vm: Vm, key: str, path: str = LOOKUP_PATH) -> Answer:
    """Send a request that may run more than once."""
    return send_request('GET', f'{vm.callers}{path}', key=key)


def send_order(vm: Vm, key: str, work_id: str, body: str = '') -> Answer:
    """Send a request that must run at most once, with an idempotency key."""
    headers = {'Idempotency-Key': work_id, 'X-Work-Id': work_id}
    content = (body or work_id).encode()
    return send_request('POST', f'{vm.callers}/orders', content, key, headers)


def build_lists(routes: tuple[str, ...], extra_accounts: int) -> dict[str, Any]:
    """Return the two lists; ``routes`` are further routes for lookups."""
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
                'rate': SMALL_PLAN_RATE_PER_S,
                'burst': SMALL_PLAN_BURST,
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


def grant_key(fleet: Fleet, name: str, account: str, key: str = '') -> Answer:
    """Grant a key; by default, the key equals its name."""
    body = {
        'command_key': f'grant-{name}',
        'key_id': name,
        'account': account,
        'key_hash': hash_key(key or name),
    }
    return fleet.command('POST', '/v1/keys', body)


def grant_many_keys(fleet: Fleet, prefix: str) -> int:
    """Grant enough keys for a snapshot; return the number accepted."""
    with ThreadPoolExecutor(GRANT_THREADS) as pool:
        answers = pool.map(
            lambda number: grant_key(fleet, f'{prefix}-{number}', 'zuri'),
            range(SNAPSHOT_KEY_COUNT),
        )
        return sum(answer.status == 200 for answer in answers)


def withdraw_key(fleet: Fleet, vm: Vm | None, name: str) -> Answer:
    """Withdraw a key through a VM, or through the control leader."""
    body = {'command_key': f'withdraw-{name}'}
    path = f'/v1/keys/{name}/withdraw'
    if vm is None:
        return fleet.command('POST', path, body)
    return send_request('POST', f'{vm.admin}{path}', body)


def start_all(fleet: Fleet, builds: dict[str, Build]) -> None:
    """Start all VMs and wait for their administration APIs."""
    for vm in fleet.vms:
        fleet.start(vm, builds[vm.name])
    for vm in fleet.vms:
        wait_for(
            f'{vm.name} ({builds[vm.name].name}): administration API',
            partial(is_admin_api_ready, fleet, vm),
            START_LIMIT_S,
        )


def initialise_fleet(fleet: Fleet) -> int:
    """Initialise a new fleet and return the version of its first lists."""
    time.sleep(INITIALISE_AFTER_S)
    require_success('initialise', fleet.command('POST', '/v1/fleet/initialise'))
    first = apply_lists(fleet, 'lists-1', 0, build_lists((), 0))
    require_success('first lists', first)
    require_success('first key', grant_key(fleet, 'asha-1', 'asha'))
    return int(first.document['version'])


def require_success(command: str, answer: Answer) -> None:
    """Raise ``PreconditionError`` unless a command succeeded."""
    if answer.status != 200:
        raise PreconditionError(
            f'{command}: {answer.status} {format_json(answer.document)}'
        )


def wait_until_serving(fleet: Fleet, key: str = 'asha-1') -> None:
    """Wait until each entry VM forwards lookups and knows all targets."""
    expected = len(SERVICES) * TARGETS_PER_SERVICE
    for vm in fleet.entry:
        wait_for(
            f'lookup through {vm.name}',
            partial(has_status, vm, key),
            START_LIMIT_S,
        )
        wait_for(
            f'all targets at {vm.name}',
            partial(sees_targets, vm, expected),
            START_LIMIT_S,
        )


def is_admin_api_ready(fleet: Fleet, vm: Vm) -> bool:
    """Return whether the administration API of a VM answers.

    Raises
    ------
    PreconditionError
        If its process has ended.

    """
    exit_text = fleet.running[vm.name].describe_exit()
    if exit_text:
        raise PreconditionError(exit_text)
    return send_request('GET', f'{vm.admin}/v1/counters').status == 200


def has_status(
    vm: Vm, key: str, path: str = LOOKUP_PATH, status: int = 200
) -> bool:
    """Return whether a lookup is answered with a status."""
    return send_lookup(vm, key, path).status == status


def sees_targets(vm: Vm, expected: int) -> bool:
    """Return whether a VM knows the expected number of targets."""
    answer = send_request('GET', f'{vm.admin}/v1/targets')
    known = answer.document['body']['targets'] if answer.document else ()
    return len(known) == expected


def wait_for_orders(fleet: Fleet, id_prefix: str) -> list[object]:
    """Return the status and reason of the last new order through each VM."""
    with ThreadPoolExecutor(ENTRY_VM_COUNT) as pool:
        return list(
            pool.map(lambda vm: wait_for_order(vm, id_prefix), fleet.entry)
        )


def wait_for_order(vm: Vm, id_prefix: str) -> object:
    """Send new orders until one succeeds or the time limit is reached."""
    give_up_at = time.monotonic() + ORDERS_LIMIT_S
    number = 0
    while True:
        answer = send_order(vm, 'asha-1', f'{id_prefix}-{vm.name}-{number}')
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
    """Run test targets that announce themselves to VMs."""
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
                f'target at {port}',
                partial(is_target_ready, port),
                START_LIMIT_S,
            )
        yield targets
    finally:
        for target in targets:
            target.stop()


def is_target_ready(port: int) -> bool:
    """Return whether a test target answers at a port."""
    return (
        send_request('GET', f'{LOOPBACK}:{port}/-/counts', key='').status == 200
    )


def count_executions(first_port: int = FIRST_TARGET_PORT) -> Counter[str]:
    """Return how often the targets executed each work id."""
    executions: Counter[str] = Counter()
    for number in range(len(SERVICES) * TARGETS_PER_SERVICE):
        address = f'{LOOPBACK}:{first_port + number}'
        counts = send_request('GET', f'{address}/-/counts', key='').document
        executions.update(counts['executions'])
    return executions
