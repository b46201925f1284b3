"""Demonstration: a local fleet serves requests while faults are injected.

Run with ``make demo``. Exits with 1 if a guarantee was violated.
"""

from __future__ import annotations

import signal
import subprocess  # noqa: S404
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from typing import Any, Final

import anyio
import attrs
import httpx

from ..cli.client import AdminClient
from ..cli.keys import generate_key, hash_key
from ..cli.lists import build_lists_body
from ..cli.output import describe_failure
from ..configuration.lists import parse_lists
from .callers import Caller, SentRequest, send_duplicate_orders, send_lookups
from .demo_lists import CUSTOMERS, WHOLESALE_RATE, build_usage
from .demo_report import DemoResults, print_report
from .local import (
    ADMIN_KEY,
    LOOPBACK,
    TARGET_KEY,
    LocalLayout,
    LocalVm,
    plan_layout,
    run_process,
    run_vm,
)

FIRST_PORT: Final = 21000
FIRST_TARGET_PORT: Final = 21800
TARGETS_PER_SERVICE: Final = 3
SERVICES: Final = ('katalogi', 'malipo')
ENTRY_VMS: Final = 3
CONTROL_VMS: Final = 3
START_TIMEOUT_S: Final = 25.0
# Group members that started this long before the fleet is initialised can rule
# out that earlier idempotency records exist.
INITIALISE_DELAY_S: Final = 2.5
TRAFFIC_S: Final = 12.0
KILL_CONTROL_AT_S: Final = 2.0
KILL_TARGET_AT_S: Final = 3.0
WITHDRAW_AT_S: Final = 5.0
WHOLESALE_OVERLOAD_FACTOR: Final = 5


@attrs.define
class Demo:
    """The running fleet, its caller keys and the results of requests."""

    layout: LocalLayout
    client: AdminClient
    vms: dict[str, subprocess.Popen[bytes]]
    targets: dict[str, subprocess.Popen[bytes]]
    keys: dict[str, str] = attrs.field(factory=dict)
    sent_requests: list[SentRequest] = attrs.field(factory=list)
    executions: Counter[str] = attrs.field(factory=Counter)
    caller_keys_seen: int = 0
    withdrawn_at: float = 0

    def build_results(self) -> DemoResults:
        """Return the results observed by callers and targets."""
        return DemoResults(
            accounts=tuple(sorted(self.keys)),
            entry_vms=tuple(vm.name for vm in self.layout.entry),
            sent_requests=tuple(self.sent_requests),
            executions=self.executions,
            caller_keys_seen=self.caller_keys_seen,
            withdrawn_at=self.withdrawn_at,
            traffic_s=TRAFFIC_S,
        )

    def build_callers(self, account: str) -> list[Caller]:
        """Return one caller per entry VM for an account."""
        return [
            Caller(
                account,
                vm.name,
                vm.callers,
                self.keys[account],
                self.sent_requests,
            )
            for vm in self.layout.entry
        ]


def main() -> None:
    """Run the demonstration."""
    with tempfile.TemporaryDirectory(prefix='cranberryseam-') as folder:
        layout = plan_layout(
            Path(folder), ('dar',), ENTRY_VMS, CONTROL_VMS, FIRST_PORT
        )
        with ExitStack() as stack:
            demo = start_fleet(layout, stack)
            anyio.run(run_traffic, demo)
            collect_counts(demo)
            failures = print_report(demo.build_results())
        print_logs(layout, failures)
    sys.exit(1 if failures else 0)


def start_fleet(layout: LocalLayout, stack: ExitStack) -> Demo:
    """Start all processes, initialise the fleet and apply the lists."""
    vms = {
        vm.name: stack.enter_context(run_vm(layout, vm)) for vm in layout.vms
    }
    targets = {
        name: stack.enter_context(run_process(arguments, path))
        for name, arguments, path in plan_targets(layout)
    }
    addresses = tuple(vm.admin for vm in layout.control)
    client = AdminClient(addresses, ADMIN_KEY)
    demo = Demo(layout, client, vms, targets)
    wait_for('administration API', lambda: can_reach_all(demo))
    time.sleep(INITIALISE_DELAY_S)
    send_command(demo, 'POST', '/v1/fleet/initialise')
    wait_for('configuration', lambda: apply_lists(demo))
    for account in ('asha', 'zuri', 'bahari'):
        demo.keys[account] = grant_key(demo, account, account)
    wait_for('entry VMs', lambda: all(map(is_ready, layout.entry)))
    wait_for('targets', lambda: sees_all_targets(demo))
    wait_for('replica group', lambda: anyio.run(can_order, demo))
    demo.sent_requests.clear()
    return demo


def plan_targets(
    layout: LocalLayout,
) -> list[tuple[str, list[str], Path]]:
    """Return name, arguments and log file of each simulated target."""
    announce = ','.join(vm.targets for vm in layout.entry)
    names = [
        (service, f'{service}-{number}')
        for service in SERVICES
        for number in range(1, TARGETS_PER_SERVICE + 1)
    ]
    return [
        (
            name,
            [
                'cranberryseam.experiments.target',
                f'--name={name}',
                f'--service={service}',
                f'--key={TARGET_KEY}',
                f'--announce={announce}',
                f'--port={port}',
                '--region=dar',
                '--data-centre=dar-a',
                '--latency-s=0.02',
            ],
            layout.folder / f'{name}.log',
        )
        for port, (service, name) in enumerate(names, FIRST_TARGET_PORT)
    ]


def wait_for(awaited: str, check: Callable[[], bool]) -> None:
    """Wait until a check passes; exit after ``START_TIMEOUT_S``."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while not check():
        if time.monotonic() > deadline:
            sys.exit(f'{awaited}: not available after {START_TIMEOUT_S} s')
        time.sleep(0.1)


def send_command(
    demo: Demo, method: str, path: str, body: object = None
) -> Any:
    """Send a command and return its answer; exit if it fails."""
    result = demo.client.request_any(method, path, body)
    if result.is_error():
        failure = describe_failure(result.error)
        sys.exit(f'{method} {path}: {failure}')
    return result.ok


def can_reach_all(demo: Demo) -> bool:
    """Return whether every control VM answers."""
    results = demo.client.request_all('GET', '/v1/control')
    return all(result.is_ok() for result in results.values())


def apply_lists(demo: Demo) -> bool:
    """Apply the two lists; return False if there is no control leader yet."""
    lists = parse_lists(CUSTOMERS, build_usage(), ('dar',)).ok
    body = build_lists_body('demo-lists', 0, lists)
    return demo.client.request_any('POST', '/v1/lists', body).is_ok()


def grant_key(demo: Demo, key_id: str, account: str) -> str:
    """Grant a key and return it."""
    key = generate_key()
    body = {
        'command_key': f'grant-{key_id}',
        'key_id': key_id,
        'account': account,
        'key_hash': hash_key(key).hex(),
    }
    send_command(demo, 'POST', '/v1/keys', body)
    return key


def is_ready(vm: LocalVm) -> bool:
    """Return whether an entry VM accepts requests."""
    try:
        response = httpx.get(f'http://{vm.callers}/-/ready', trust_env=False)
    except httpx.HTTPError:
        return False
    return response.is_success


def sees_all_targets(demo: Demo) -> bool:
    """Return whether every entry VM lists all targets."""
    expected = TARGETS_PER_SERVICE * len(SERVICES)
    for vm in demo.layout.entry:
        answer = demo.client.request(vm.admin, 'GET', '/v1/targets')
        if answer.is_error() or len(answer.ok['body']['targets']) < expected:
            return False
    return True


async def can_order(demo: Demo) -> bool:
    """Return whether an order succeeds, which needs a group leader."""
    caller = demo.build_callers('asha')[0]
    sent = await caller.send_order(
        '/orders', f'warm-up-{len(demo.sent_requests)}'
    )
    return not sent.reason


async def run_traffic(demo: Demo) -> None:
    """Send requests of three accounts while faults are injected."""
    async with anyio.create_task_group() as tasks:
        for account, interval_s in (
            ('asha', 0.05),
            ('zuri', 0.05),
            ('bahari', 1 / (WHOLESALE_RATE * WHOLESALE_OVERLOAD_FACTOR)),
        ):
            callers = demo.build_callers(account)
            tasks.start_soon(
                send_lookups, callers, '/catalogue/1', interval_s, TRAFFIC_S
            )
        tasks.start_soon(
            send_duplicate_orders,
            demo.build_callers('asha'),
            '/orders',
            0.1,
            TRAFFIC_S,
        )
        tasks.start_soon(inject_faults, demo)


async def inject_faults(demo: Demo) -> None:
    """Kill the control leader and a target, then withdraw a key."""
    await anyio.sleep(KILL_CONTROL_AT_S)
    leader = await anyio.to_thread.run_sync(find_leader, demo)
    demo.vms[leader].send_signal(signal.SIGKILL)
    await anyio.sleep(KILL_TARGET_AT_S - KILL_CONTROL_AT_S)
    demo.targets['katalogi-1'].send_signal(signal.SIGKILL)
    await anyio.sleep(WITHDRAW_AT_S - KILL_TARGET_AT_S)
    demo.withdrawn_at = time.monotonic()
    await anyio.to_thread.run_sync(withdraw_key, demo)


def find_leader(demo: Demo) -> str:
    """Return the control leader, or the first control VM if none is known."""
    for vm in demo.layout.control:
        answer = demo.client.request(vm.admin, 'GET', '/v1/control')
        if answer.is_ok() and answer.ok['body'].get('role') == 'leader':
            return vm.name
    return demo.layout.control[0].name


def withdraw_key(demo: Demo) -> None:
    """Withdraw the key of zuri at the first VM that accepts the command."""
    send_command(
        demo, 'POST', '/v1/keys/zuri/withdraw', {'command_key': 'withdraw'}
    )


def collect_counts(demo: Demo) -> None:
    """Read executions and received caller keys from the running targets."""
    for port, name in enumerate(demo.targets, FIRST_TARGET_PORT):
        if demo.targets[name].poll() is not None:
            continue
        address = f'{LOOPBACK}:{port}'
        counts = httpx.get(f'http://{address}/-/counts', trust_env=False).json()
        demo.executions.update(counts['executions'])
        demo.caller_keys_seen += len(counts['keys_seen'])


def print_logs(layout: LocalLayout, failures: list[str]) -> None:
    """Print the last lines of all logs if a guarantee was violated."""
    if not failures:
        return
    for path in sorted(layout.folder.glob('*.log')):
        lines = path.read_text(encoding='utf-8').splitlines()[-10:]
        print(f'--- {path.name}', *lines, sep='\n')  # noqa: WPS421


if __name__ == '__main__':
    main()
