"""Check that a build works with the data written by another one."""

from __future__ import annotations

import shutil
from collections import Counter
from pathlib import Path
from typing import Any, Final

from build_processes import (
    Build,
    Fleet,
    Vm,
    format_json,
    open_fleet,
    send_request,
    wait_for,
)
from build_report import (
    Report,
    check_message_counters,
    check_shutdown,
    describe_structure,
    extract_comparable,
    extract_comparable_withdrawal,
    format_statuses,
    remove_volatile,
)
from build_traffic import (
    CONTROL_VM_COUNT,
    SNAPSHOT_KEY_COUNT,
    START_LIMIT_S,
    apply_lists,
    build_lists,
    grant_key,
    grant_many_keys,
    initialise_fleet,
    require_success,
    send_lookup,
    send_order,
    start_all,
    wait_for_orders,
    wait_until_serving,
    withdraw_key,
)

ORDER_COUNT: Final = 4


def write_data(fleet: Fleet) -> dict[str, Any]:
    """Use a fleet and return the answers that its data must reproduce."""
    first = initialise_fleet(fleet)
    wait_until_serving(fleet)
    second = apply_lists(fleet, 'lists-2', first, build_lists(('stock',), 3))
    require_success('second lists', second)
    require_success('second key', grant_key(fleet, 'zuri-1', 'zuri'))
    require_success('key to withdraw', grant_key(fleet, 'asha-2', 'asha'))
    # A withdrawal is refused by a VM that does not know the key yet.
    asked_vm = fleet.control[0]
    wait_for(
        f'key to withdraw at {asked_vm.name}',
        lambda: (
            'asha-2' in send_request('GET', f'{asked_vm.admin}/v1/lists').text
        ),
        START_LIMIT_S,
    )
    withdrawn = withdraw_key(fleet, None, 'asha-2')
    require_success('withdrawal', withdrawn)
    many = grant_many_keys(fleet, 'many')
    first_order_results = wait_for_orders(fleet, 'written')
    orders = [
        extract_comparable(
            send_order(fleet.entry[number], 'asha-1', f'order-{number}')
        )
        for number in range(ORDER_COUNT)
    ]
    return {
        'first version': first,
        'many': many,
        'fresh': first_order_results,
        'orders': orders,
        'lists-2': extract_comparable(second),
        'withdrawal': extract_comparable_withdrawal(withdrawn),
        'lists': extract_comparable(fleet.command('GET', '/v1/lists')),
    }


def collect_answers(
    fleet: Fleet, id_prefix: str, based_on: int
) -> dict[str, Any]:
    """Return the answers of a fleet started on existing data, by question."""
    wait_until_serving(fleet)
    lists = {
        vm.name: extract_comparable(send_request('GET', f'{vm.admin}/v1/lists'))
        for vm in fleet.vms
    }
    return {
        'lists': lists,
        'keys': {
            f'{key} at {vm.name}': extract_comparable(send_lookup(vm, key))
            for key in (
                'asha-1',
                'zuri-1',
                'asha-2',
                f'many-{SNAPSHOT_KEY_COUNT - 1}',
                'none',
            )
            for vm in fleet.entry
        },
        **collect_command_answers(fleet, based_on),
        'lists after repeated commands': {
            vm.name: extract_comparable(
                send_request('GET', f'{vm.admin}/v1/lists')
            )
            for vm in fleet.vms
        },
        'fresh orders': wait_for_orders(fleet, id_prefix),
        'repeated orders': [
            extract_comparable(
                send_order(fleet.entry[number], 'asha-1', f'order-{number}')
            )
            for number in range(ORDER_COUNT)
        ],
        'order with other body': extract_comparable(
            send_order(fleet.entry[0], 'asha-1', 'order-1', 'other body')
        ),
        'other path': extract_comparable(
            send_lookup(fleet.entry[0], 'asha-1', '/none')
        ),
        'no key': extract_comparable(send_lookup(fleet.entry[0], '')),
        **{
            f'members of {path}': describe_structure(
                remove_volatile(fleet.command('GET', path).document)
            )
            for path in ('/v1/control', '/v1/fleet', '/v1/targets')
        },
    }


def collect_command_answers(fleet: Fleet, based_on: int) -> dict[str, Any]:
    """Return the answers to repeated commands and to invalid ones."""
    first = build_lists((), 0)
    second = build_lists(('stock',), 3)
    return {
        'lists command again': extract_comparable(
            apply_lists(fleet, 'lists-2', based_on, second)
        ),
        'its key, other content': extract_comparable(
            apply_lists(fleet, 'lists-2', based_on, first)
        ),
        'outdated lists': extract_comparable(
            apply_lists(fleet, 'lists-3', 1, first)
        ),
        'grant again': extract_comparable(grant_key(fleet, 'asha-1', 'asha')),
        'grant again, other account': extract_comparable(
            grant_key(fleet, 'asha-1', 'zuri')
        ),
        'grant again, other key': extract_comparable(
            grant_key(fleet, 'zuri-1', 'zuri', 'x')
        ),
        'grant to nobody': extract_comparable(
            grant_key(fleet, 'nobody-1', 'nobody')
        ),
        'withdrawal again': extract_comparable_withdrawal(
            withdraw_key(fleet, None, 'asha-2')
        ),
        'withdrawal of none': extract_comparable_withdrawal(
            withdraw_key(fleet, None, 'none')
        ),
        'initialise again': extract_comparable(
            fleet.command('POST', '/v1/fleet/initialise')
        ),
    }


def check_data(
    report: Report,
    folder: Path,
    vms: tuple[Vm, ...],
    writer: Build,
    reader: Build,
) -> None:
    """Check that a build answers from the data of another one as that did."""
    builds = f'{writer.name} wrote, {reader.name} read'
    original = folder / f'{writer.name}-{reader.name}'
    reference = folder / f'{writer.name}-reference'
    with open_fleet(original, vms) as fleet:
        start_all(fleet, dict.fromkeys((vm.name for vm in vms), writer))
        written = write_data(fleet)
        check_message_counters(report, 'writing', writer.name, fleet)
        check_shutdown(report, 'writing', writer.name, fleet)
    shutil.copytree(original, reference)
    snapshots = len(list(original.glob('control-*/snapshot')))
    answers_by_folder: dict[str, dict[str, Any]] = {}
    for build, fleet_folder in ((writer, reference), (reader, original)):
        with open_fleet(fleet_folder, vms) as fleet:
            start_all(fleet, dict.fromkeys((vm.name for vm in vms), build))
            answers_by_folder[fleet_folder.name] = collect_answers(
                fleet, f'{fleet_folder.name}-fresh', written['first version']
            )
            label = f'{build.name}, {builds}'
            check_message_counters(report, 'reading', label, fleet)
            check_shutdown(report, 'reading', label, fleet)
    observed, expected = (
        answers_by_folder[original.name],
        answers_by_folder[reference.name],
    )
    check_stored_data(report, builds, written, observed, snapshots)
    for question, answer in expected.items():
        same = observed[question] == answer
        details = f'as {writer.name}: ' if same else f'{writer.name}: '
        details += format_json(answer) if not same else format_statuses(answer)
        if not same:
            details += f' {reader.name}: {format_json(observed[question])}'
        report.record(f'data: {question}', builds, same, details)


def check_stored_data(
    report: Report,
    builds: str,
    written: dict[str, Any],
    observed: dict[str, Any],
    snapshots: int,
) -> None:
    """Compare answers with those given before the stop."""
    report.record(
        'data: snapshots on disk, keys granted',
        builds,
        snapshots == CONTROL_VM_COUNT and written['many'] == SNAPSHOT_KEY_COUNT,
        f'{snapshots}, {written["many"]}',
    )
    for when in ('lists', 'lists after repeated commands'):
        same = [each == written['lists'] for each in observed[when].values()]
        version = written['lists'][1]['version']
        report.record(
            f'data: {when} as before the stop',
            builds,
            all(same),
            f'version {version} at {sum(same)} of {len(same)} VMs',
        )
    statuses = Counter(
        (name.partition(' ')[0], answer[0])
        for name, answer in observed['keys'].items()
    )
    expected = {'asha-2': 401, 'none': 401}
    report.record(
        'data: withdrawn key refused, others work',
        builds,
        all(status == expected.get(key, 200) for key, status in statuses),
        {f'{key} {status}': count for (key, status), count in statuses.items()},
    )
    again = [observed['lists command again'], observed['withdrawal again']]
    first = [written['lists-2'], written['withdrawal']]
    report.record(
        'data: command sent again has the first answer',
        builds,
        again == first,
        again if again == first else [first, again],
    )
    reused = [
        observed[each]
        for each in ('its key, other content', 'grant again, other account')
    ]
    report.record(
        'data: command key with other content refused',
        builds,
        all(answer[0] == 409 for answer in reused),
        [answer[1]['type'] for answer in reused],
    )
