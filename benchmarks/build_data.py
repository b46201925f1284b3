"""Whether a build goes on with the data of another one."""

from __future__ import annotations

import shutil
from collections import Counter
from pathlib import Path
from typing import Any, Final

from build_processes import (
    Build,
    Fleet,
    Vm,
    call,
    open_fleet,
    show,
    wait_for,
)
from build_report import (
    Report,
    note_counters,
    note_end,
    outline,
    strip,
    summarise,
    tell,
    tell_withdrawal,
)
from build_traffic import (
    CONTROL_VMS,
    MANY_KEYS,
    START_LIMIT_S,
    apply_lists,
    build_lists,
    form,
    grant,
    grant_many,
    look_up,
    order,
    require,
    start_all,
    wait_for_orders,
    wait_until_serving,
    withdraw,
)

ORDERS: Final = 4


def write_data(fleet: Fleet) -> dict[str, Any]:
    """Put a fleet to use and return what its data must hold."""
    first = form(fleet)
    wait_until_serving(fleet)
    second = apply_lists(fleet, 'lists-2', first, build_lists(('stock',), 3))
    require('second lists', second)
    require('second key', grant(fleet, 'zuri-1', 'zuri'))
    require('key to withdraw', grant(fleet, 'asha-2', 'asha'))
    # The VM that takes the withdrawal tells whether it knows the key.
    first_asked = fleet.control[0]
    wait_for(
        f'key to withdraw at {first_asked.name}',
        lambda: 'asha-2' in call('GET', f'{first_asked.admin}/v1/lists').text,
        START_LIMIT_S,
    )
    withdrawn = withdraw(fleet, None, 'asha-2')
    require('withdrawal', withdrawn)
    many = grant_many(fleet, 'many')
    fresh = wait_for_orders(fleet, 'written')
    orders = [
        tell(order(fleet.entry[number], 'asha-1', f'order-{number}'))
        for number in range(ORDERS)
    ]
    return {
        'first version': first,
        'many': many,
        'fresh': fresh,
        'orders': orders,
        'lists-2': tell(second),
        'withdrawal': tell_withdrawal(withdrawn),
        'lists': tell(fleet.command('GET', '/v1/lists')),
    }


def observe(fleet: Fleet, mark: str, based_on: int) -> dict[str, Any]:
    """Return what a fleet started on old data answers, by question."""
    wait_until_serving(fleet)
    lists = {
        vm.name: tell(call('GET', f'{vm.admin}/v1/lists')) for vm in fleet.vms
    }
    return {
        'lists': lists,
        'keys': {
            f'{key} at {vm.name}': tell(look_up(vm, key))
            for key in (
                'asha-1',
                'zuri-1',
                'asha-2',
                f'many-{MANY_KEYS - 1}',
                'none',
            )
            for vm in fleet.entry
        },
        **observe_commands(fleet, based_on),
        'lists after repeated commands': {
            vm.name: tell(call('GET', f'{vm.admin}/v1/lists'))
            for vm in fleet.vms
        },
        'fresh orders': wait_for_orders(fleet, mark),
        'repeated orders': [
            tell(order(fleet.entry[number], 'asha-1', f'order-{number}'))
            for number in range(ORDERS)
        ],
        'order with other body': tell(
            order(fleet.entry[0], 'asha-1', 'order-1', 'other body')
        ),
        'other path': tell(look_up(fleet.entry[0], 'asha-1', '/none')),
        'no key': tell(look_up(fleet.entry[0], '')),
        **{
            f'members of {path}': outline(
                strip(fleet.command('GET', path).document)
            )
            for path in ('/v1/control', '/v1/fleet', '/v1/targets')
        },
    }


def observe_commands(fleet: Fleet, based_on: int) -> dict[str, Any]:
    """Return the answers to commands sent again, and to refused ones."""
    first = build_lists((), 0)
    second = build_lists(('stock',), 3)
    return {
        'lists command again': tell(
            apply_lists(fleet, 'lists-2', based_on, second)
        ),
        'its key, other content': tell(
            apply_lists(fleet, 'lists-2', based_on, first)
        ),
        'outdated lists': tell(apply_lists(fleet, 'lists-3', 1, first)),
        'grant again': tell(grant(fleet, 'asha-1', 'asha')),
        'grant again, other account': tell(grant(fleet, 'asha-1', 'zuri')),
        'grant again, other key': tell(grant(fleet, 'zuri-1', 'zuri', 'x')),
        'grant to nobody': tell(grant(fleet, 'nobody-1', 'nobody')),
        'withdrawal again': tell_withdrawal(withdraw(fleet, None, 'asha-2')),
        'withdrawal of none': tell_withdrawal(withdraw(fleet, None, 'none')),
        'initialise again': tell(fleet.command('POST', '/v1/fleet/initialise')),
    }


def check_data(
    report: Report, folder: Path, vms: tuple[Vm, ...], writer: Build, by: Build
) -> None:
    """Check that a build goes on with the data of another one."""
    builds = f'{writer.name} wrote, {by.name} read'
    original = folder / f'{writer.name}-{by.name}'
    reference = folder / f'{writer.name}-reference'
    with open_fleet(original, vms) as fleet:
        start_all(fleet, dict.fromkeys((vm.name for vm in vms), writer))
        written = write_data(fleet)
        note_counters(report, 'writing', writer.name, fleet)
        note_end(report, 'writing', writer.name, fleet)
    shutil.copytree(original, reference)
    snapshots = len(list(original.glob('control-*/snapshot')))
    found: dict[str, dict[str, Any]] = {}
    for build, place in ((writer, reference), (by, original)):
        with open_fleet(place, vms) as fleet:
            start_all(fleet, dict.fromkeys((vm.name for vm in vms), build))
            found[place.name] = observe(
                fleet, f'{place.name}-fresh', written['first version']
            )
            label = f'{build.name}, {builds}'
            note_counters(report, 'reading', label, fleet)
            note_end(report, 'reading', label, fleet)
    told, expected = found[original.name], found[reference.name]
    note_stored(report, builds, written, told, snapshots)
    for question, answer in expected.items():
        same = told[question] == answer
        figure = f'as {writer.name}: ' if same else f'{writer.name}: '
        figure += show(answer) if not same else summarise(answer)
        if not same:
            figure += f' {by.name}: {show(told[question])}'
        report.note(f'data: {question}', builds, same, figure)


def note_stored(
    report: Report,
    builds: str,
    written: dict[str, Any],
    told: dict[str, Any],
    snapshots: int,
) -> None:
    """Check answers against what was told before the stop."""
    report.note(
        'data: snapshots on disk, keys granted',
        builds,
        snapshots == CONTROL_VMS and written['many'] == MANY_KEYS,
        f'{snapshots}, {written["many"]}',
    )
    for when in ('lists', 'lists after repeated commands'):
        same = [each == written['lists'] for each in told[when].values()]
        version = written['lists'][1]['version']
        report.note(
            f'data: {when} as before the stop',
            builds,
            all(same),
            f'version {version} at {sum(same)} of {len(same)} VMs',
        )
    statuses = Counter(
        (name.partition(' ')[0], answer[0])
        for name, answer in told['keys'].items()
    )
    expected = {'asha-2': 401, 'none': 401}
    report.note(
        'data: withdrawn key refused, others work',
        builds,
        all(status == expected.get(key, 200) for key, status in statuses),
        {f'{key} {status}': count for (key, status), count in statuses.items()},
    )
    again = [told['lists command again'], told['withdrawal again']]
    first = [written['lists-2'], written['withdrawal']]
    report.note(
        'data: command sent again has the first answer',
        builds,
        again == first,
        again if again == first else [first, again],
    )
    reused = [
        told[each]
        for each in ('its key, other content', 'grant again, other account')
    ]
    report.note(
        'data: command key with other content refused',
        builds,
        all(answer[0] == 409 for answer in reused),
        [answer[1]['type'] for answer in reused],
    )
