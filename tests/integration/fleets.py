"""Simulated fleets and helpers for the integration tests.

Measurements are printed; run pytest with ``-s`` to see them.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from typing import Any, Final

import attrs
import testtools

from cranberryseam.configuration import settings as st
from cranberryseam.configuration.model import (
    Account,
    Lists,
    Plan,
    Route,
    Service,
)
from cranberryseam.core import commands as cmd
from cranberryseam.core.refusals import Executed
from tests.integration.harness import (
    TARGET_KEY,
    WALL_S,
    Call,
    Fleet,
    Target,
    open_fleet,
)

REGIONS: Final = ('aru', 'dar', 'mwz')
FRESHNESS_S: Final = 5.0
# Required upper bounds.
WITHDRAWAL_GOAL_S: Final = 5.0
LEAVING_GOAL_S: Final = 5.0
CHANGE_GOAL_S: Final = 11.0
EJECTION_GOAL_S: Final = 10.0
TAKEOVER_GOAL_S: Final = 10.0
LARGE_RATE: Final = 20
LARGE_BURST: Final = 20
SMALL_RATE: Final = 2
SMALL_BURST: Final = 5


def build_lists(orders_deadline_s: float = 8) -> Lists:
    """Return lists; the deadline of orders identifies their version."""
    names: Any = ('asha', 'zuri', 'bahari', 'kubwa')
    plans = ('trader', 'trader', 'small', 'big')
    services: Any = ('katalogi', 'malipo')
    both = ('catalogue', 'orders')
    catalogue = Route('catalogue', services[0], '/catalogue', ('GET',))
    orders = Route('orders', services[1], '/orders', ('POST',), ())
    return Lists(
        accounts=tuple(
            Account(name, plan, 'dar')
            for name, plan in zip(names, plans, strict=True)
        ),
        plans=(
            Plan('trader', 400, 100, 1, both),
            Plan('small', SMALL_RATE, SMALL_BURST, 1, both),
            Plan('big', LARGE_RATE, LARGE_BURST, 2, both),
        ),
        routes=(catalogue, attrs.evolve(orders, deadline_s=orders_deadline_s)),
        services=tuple(
            Service(name, target_key_hashes=(TARGET_KEY.hex(),))
            for name in services
        ),
    )


def plan_settings(
    regions: tuple[str, ...] = ('dar',),
    entries: int = 3,
    controls: int = 3,
    isolation: str = 'vm',
) -> dict[str, st.Settings]:
    """Return the settings of entry VMs in each region and of control VMs."""
    numbers = range(1, entries + 1)
    places = [
        (f'{r}-{number}', r, 'entry') for r in regions for number in numbers
    ]
    for number in range(controls):
        region = regions[number % len(regions)]
        places.append((f'control-{number}', region, 'control'))
    peers = [
        st.PeerSettings(name, region, f'{region}-a', f'{name}:1', (role,))
        for name, region, role in places
    ]
    groups = [
        st.GroupSettings(f'{r}-group', r, tuple(f'{r}-{n}' for n in (1, 2, 3)))
        for r in regions
    ]
    replicas = tuple(name for name, _, role in places if role == 'control')
    return {
        peer.name: st.Settings(
            st.VmSettings(peer.name, peer.region, peer.data_centre, peer.roles),
            st.Addresses(peer.address),
            regions,
            tuple(each for each in peers if each is not peer),
            tuple(groups),
            st.ControlSettings(replicas),
            st.KeySettings(isolation=isolation),
        )
        for peer in peers
    }


@contextmanager
def run_fleet(
    seed: int, targets: int = 3, settle_s: float = 8, **plan: Any
) -> Iterator[Fleet]:
    """Yield an initialised fleet with lists, keys and targets."""
    with open_fleet(seed, plan_settings(**plan)) as fleet:
        # Claims are granted only by group members that started at least 2 s
        # before the initialisation.
        fleet.run(3)
        send_until_accepted(fleet, cmd.InitialiseFleet(WALL_S + fleet.now))
        apply_lists(fleet, 'first', build_lists())
        for account in ('asha', 'zuri', 'bahari', 'kubwa'):
            name: Any = account
            grant = cmd.GrantKey(f'g-{name}', name, name, name.encode())
            send_until_accepted(fleet, grant)
        for service in ('katalogi', 'malipo'):
            for number in range(targets):
                fleet.add_target(Target(f'{service}-{number}', service))
        fleet.run(settle_s)
        yield fleet


def send_until_accepted(
    fleet: Fleet, command: cmd.Command, limit_s: float = 30
) -> Any:
    """Send a command to the control VMs in turn until one accepts it."""
    until = fleet.now + limit_s
    answer: Any = None
    while fleet.now < until:
        for name in fleet.vm_names('control'):
            if name in fleet.processes:
                answer = send_command(fleet, name, command)
                if isinstance(answer, cmd.CommandAnswer):
                    return answer
        fleet.run(0.3)
    raise AssertionError(f'{type(command).__name__}: {answer}')


def send_command(
    fleet: Fleet, name: str, command: cmd.Command, limit_s: float = 3
) -> Any:
    """Send a command to one VM; return its answer, or None after a timeout."""
    answer = fleet.command(name, command)
    until = fleet.now + limit_s
    while answer() is None and fleet.now < until:
        fleet.run(0.05)
    return answer()


def control_leader(fleet: Fleet) -> str:
    """Return the control leader with a recent quorum, or an empty string."""
    for name in fleet.vm_names('control'):
        if name in fleet.processes:
            body = fleet.command(name, cmd.ShowControl())().body
            if body['role'] == 'leader' and body['quorum_recent']:
                return name
    return ''


def lists_version(fleet: Fleet) -> int:
    """Return the version of the lists at the control leader."""
    fleet.run_until(lambda: control_leader(fleet), 20)
    answer = fleet.command(control_leader(fleet), cmd.ShowControl())()
    return int(answer.body['lists_version'])


def apply_lists(fleet: Fleet, key: str, lists: Lists) -> Any:
    """Apply lists, based on the version in force."""
    return send_until_accepted(
        fleet, cmd.ApplyLists(key, lists_version(fleet), lists)
    )


def read_versions(fleet: Fleet) -> dict[str, int]:
    """Return the configuration version in force at each running VM."""
    versions: dict[str, int] = {}
    for name, process in fleet.processes.items():
        if not process.frozen:
            versions[name] = fleet.command(name, cmd.ShowFleet())().version
    return versions


def read_deadline(fleet: Fleet, name: str) -> float:
    """Return the deadline that identifies the version of the lists."""
    body = fleet.command(name, cmd.ShowLists())().body
    rows = [row for row in body['routes'] if row['name'] == 'orders']
    return float(rows[0]['deadline_s'])


def send_order(
    fleet: Fleet, name: str, key: str | None, **options: Any
) -> Call:
    """Send an order, which must run at most once."""
    options = {'account': 'asha', 'order': key or 'none', **options}
    return fleet.call(
        name, method='POST', path='/orders', idempotency_key=key, **options
    )


def count_executions(fleet: Fleet, name: str) -> int:
    """Return the number of executions of an order at all targets."""
    return sum(target.executions[name] for target in fleet.targets.values())


def format_median_and_max(values: Iterable[float]) -> str:
    """Format the median and maximum of durations in seconds."""
    known = sorted(values)
    return f'median {statistics.median(known):.2f} worst {known[-1]:.2f}'


def print_measurement(text: str) -> None:
    """Print a measurement."""
    print(f'\n  {text}', end='')  # noqa: T201


def with_seeds(names: Iterable[str], seeds: Iterable[int]) -> list[Any]:
    """Return test parameters for each combination of name and seed."""
    return [(f'{name}_{seed}', name, seed) for name in names for seed in seeds]


def send_regularly(
    fleet: Fleet, account: str, rate: float, end: float, **options: Any
) -> None:
    """Send requests of an account to random entry VMs at a fixed rate."""
    running = [name for name in fleet.vm_names() if name in fleet.processes]
    fleet.call(fleet.rng.choice(running), account, **options)
    if fleet.now < end:
        fleet.schedule(
            1 / rate,
            lambda: send_regularly(fleet, account, rate, end, **options),
        )


class FleetTestCase(testtools.TestCase):
    def check_refusals(self, fleet: Fleet) -> None:
        """Check that no request refused with ran=no was executed."""
        for call in fleet.calls:
            if call.refusal is not None and call.refusal.ran is Executed.no:
                self.assertEqual(0, call.executions, call)
            if call.body:
                self.assertEqual(call.order, call.body)
            self.assertLessEqual(call.final_count, 1, call)
