"""Check that two builds work with each other's data and processes.

Run ``.venv/bin/python benchmarks/mixed_builds.py OLD NEW`` with the paths of
two checkouts, each with its environment in ``.venv``. Prints a line for each
check and exits with 1 if one failed. The builds are observed only over HTTP.
"""

from __future__ import annotations

import sys
import tempfile
import time
from collections import Counter
from functools import partial
from pathlib import Path
from typing import Any, Final

import fire
from build_data import check_data
from build_processes import (
    LOOPBACK,
    Answer,
    Build,
    Fleet,
    PreconditionError,
    Vm,
    format_json,
    open_fleet,
    plan_vms,
    send_request,
    wait_for,
)
from build_report import (
    Report,
    check_message_counters,
    check_shutdown,
    check_undecodable_counting,
    extract_comparable,
    format_statuses,
    run_step,
)
from build_traffic import (
    CONTROL_VM_COUNT,
    ENTRY_VM_COUNT,
    LOOKUP_PATH,
    SMALL_PLAN_BURST,
    SMALL_PLAN_RATE_PER_S,
    SNAPSHOT_KEY_COUNT,
    START_LIMIT_S,
    TARGETS_PER_SERVICE,
    BackgroundRequests,
    apply_lists,
    build_lists,
    count_executions,
    grant_key,
    grant_many_keys,
    has_status,
    initialise_fleet,
    require_success,
    run_background_requests,
    run_targets,
    send_lookup,
    start_all,
    wait_for_orders,
    wait_until_serving,
    withdraw_key,
)

FIRST_PORT: Final = 27000
FIRST_ATTACHED_PORT: Final = 27200
FIRST_ATTACHED_TARGET_PORT: Final = 27900
ATTACHED_ENTRY_VM_COUNT: Final = 3
# Longer than the interval of 1 s at which a target announces its state.
DEPARTURE_WAIT_S: Final = 2.5
IN_FORCE_LIMIT_S: Final = 5.0
ELECTION_LIMIT_S: Final = 10.0
RATE_CALLS_PER_VM: Final = 40
# Owners and VMs round up, so slightly more requests than the rate may pass.
RATE_TOLERANCE: Final = 1.5


def check_mixed(
    report: Report,
    folder: Path,
    vms: tuple[Vm, ...],
    first: Build,
    other_build: Build,
) -> None:
    """Check a fleet whose VMs run the two builds alternately."""
    builds, label = assign_builds(vms, first, other_build)
    before = count_executions()
    with open_fleet(folder / f'mixed-{first.name}', vms) as fleet:
        start_all(fleet, builds)
        version = initialise_fleet(fleet)
        wait_until_serving(fleet)
        first_order_results = wait_for_orders(fleet, f'mixed-{first.name}')
        background = BackgroundRequests(fleet, 'asha-1', f'{first.name}-first')
        with run_background_requests(background):
            for step_name, step in (
                ('changes', partial(check_changes, version=version)),
                ('rates', check_shared_rate),
                ('leader loss', partial(check_leader_loss, builds=builds)),
                (
                    'return of the lost leader',
                    partial(
                        check_replica_return,
                        builds=builds,
                        build_pair=(first, other_build),
                    ),
                ),
            ):
                run_step(
                    report,
                    step_name,
                    label,
                    partial(step, report, label, fleet),
                )
        check_background_requests(
            report, label, background, first_order_results, before
        )
        check_message_counters(report, 'mixed', label, fleet)
        check_undecodable_counting(report, label, fleet)
        check_shutdown(report, 'mixed', label, fleet)


def assign_builds(
    vms: tuple[Vm, ...], first: Build, other_build: Build
) -> tuple[dict[str, Build], str]:
    """Return the build of each VM, alternating within a role, and a label."""
    turn = (first, other_build, first, other_build)
    control = [vm for vm in vms if vm.role == 'control']
    entry = [vm for vm in vms if vm.role == 'entry']
    builds = {
        **{vm.name: turn[position] for position, vm in enumerate(control)},
        **{
            vm.name: turn[position + 1 - 2 * (position % 2)]
            for position, vm in enumerate(entry)
        },
    }
    label = 'control {}, entry {}'.format(
        *(
            '/'.join(builds[vm.name].name for vm in group)
            for group in (control, entry)
        )
    )
    return builds, label


def check_attached(
    report: Report,
    folder: Path,
    vms: tuple[Vm, ...],
    first: Build,
    other_build: Build,
) -> None:
    """Check VMs of both builds that attach to the control leader."""
    builds, label = assign_builds(vms, first, other_build)
    label = f'attached, {label}'
    fleet_folder = folder / f'attached-{first.name}'
    control = tuple(vm for vm in vms if vm.role == 'control')
    with (
        run_targets(first, folder, control, FIRST_ATTACHED_TARGET_PORT),
        open_fleet(fleet_folder, vms, attached=True) as fleet,
    ):
        start_all(fleet, builds)
        version = set_up_attached_fleet(fleet)
        background = BackgroundRequests(
            fleet, 'asha-1', 'attached', sends_orders=False
        )
        with run_background_requests(background):
            for step_name, step in (
                ('changes', partial(check_attached_changes, version=version)),
                ('rates', check_shared_rate),
                ('departure', check_departure),
                ('leader loss', partial(check_leader_loss, builds=builds)),
                (
                    'return of the lost leader',
                    partial(
                        check_replica_return,
                        builds=builds,
                        build_pair=(first, other_build),
                    ),
                ),
            ):
                run_step(
                    report,
                    step_name,
                    label,
                    partial(step, report, label, fleet),
                )
        check_answers(report, 'attached', label, background)
        check_message_counters(report, 'attached', label, fleet)
        check_undecodable_counting(report, label, fleet)
        check_shutdown(report, 'attached', label, fleet)
        swapped = {
            name: other_build if build is first else first
            for name, build in builds.items()
        }
        start_all(fleet, swapped)
        check_data_after_swap(report, f'{label}, then all swapped', fleet)
        check_message_counters(report, 'attached', label, fleet)
        check_shutdown(report, 'attached', label, fleet)


def set_up_attached_fleet(fleet: Fleet) -> int:
    """Wait for a leader, apply the first lists and return their version."""
    wait_for(
        'leader among the seeds',
        lambda: fleet.find_leader() is not None,
        START_LIMIT_S,
    )
    first = apply_lists(fleet, 'lists-1', 0, build_lists((), 0))
    require_success('first lists', first)
    require_success('first key', grant_key(fleet, 'asha-1', 'asha'))
    wait_until_serving(fleet)
    return int(first.document['version'])


def check_attached_changes(
    report: Report, label: str, fleet: Fleet, version: int
) -> None:
    """Check that changes are in force on all VMs in time."""
    lists = apply_lists(fleet, 'lists-2', version, build_lists(('stock',), 3))
    change = ('lists', lists, 'asha-1', '/stock/1', 200)
    check_in_force(report, label, fleet, change)
    granted = grant_key(fleet, 'zuri-1', 'zuri')
    change = ('granted key', granted, 'zuri-1', '', 200)
    check_in_force(report, label, fleet, change)


def check_departure(report: Report, label: str, fleet: Fleet) -> None:
    """Check that a draining target gets no more requests."""
    addresses = [
        f'{LOOPBACK}:{FIRST_ATTACHED_TARGET_PORT + number}'
        for number in range(TARGETS_PER_SERVICE)
    ]
    send_request('POST', f'{addresses[0]}/-/drain', key='')
    time.sleep(DEPARTURE_WAIT_S)
    before = [count_requests(address) for address in addresses]
    for vm in fleet.entry * RATE_CALLS_PER_VM:
        send_lookup(vm, 'asha-1')
    gained = [
        count_requests(address) - start
        for address, start in zip(addresses, before, strict=True)
    ]
    report.record(
        'attached: a draining target gets no more work',
        label,
        gained[0] == 0 and gained[1] > 0,
        f'requests at the draining and the other target: {gained}',
    )


def count_requests(address: str) -> int:
    """Return the number of requests that a target has received."""
    counts = send_request('GET', f'{address}/-/counts', key='').document
    return sum(counts['outcomes'].values())


def check_data_after_swap(report: Report, label: str, fleet: Fleet) -> None:
    """Check that each VM works with the data of the other build."""
    wait_for(
        'leader after the swap',
        lambda: fleet.find_leader() is not None,
        START_LIMIT_S,
    )
    for vm in fleet.entry:
        wait_for(
            f'lookup through {vm.name}',
            partial(has_status, vm, 'asha-1', '/stock/1'),
            START_LIMIT_S,
        )
    again = grant_key(fleet, 'late-1', 'zuri')
    other = grant_key(fleet, 'late-1', 'asha')
    report.record(
        'attached: lists, keys and command keys after a swap of builds',
        label,
        (again.status, other.status) == (200, 409),
        f'grant again {again.status}, with other account {other.status}',
    )


def check_changes(
    report: Report, label: str, fleet: Fleet, version: int
) -> None:
    """Check that a change is in force on all VMs within seconds."""
    lists = apply_lists(fleet, 'lists-2', version, build_lists(('stock',), 3))
    changes = (
        ('lists', lists, 'asha-1', '/stock/1', 200),
        ('granted key', grant_key(fleet, 'zuri-1', 'zuri'), 'zuri-1', '', 200),
        (
            'key to withdraw',
            grant_key(fleet, 'asha-2', 'asha'),
            'asha-2',
            '',
            200,
        ),
    )
    for change_name, answer, key, path, status in changes:
        check_in_force(
            report, label, fleet, (change_name, answer, key, path, status)
        )
    # The second entry VM is of the other build than the first control VM.
    for vm, key in ((fleet.entry[0], 'asha-2'), (fleet.entry[1], 'zuri-1')):
        change_name = f'withdrawal through {vm.name}'
        answer = withdraw_key(fleet, vm, key)
        check_in_force(
            report, label, fleet, (change_name, answer, key, '', 401)
        )
    versions = {
        vm.name: extract_comparable(send_request('GET', f'{vm.admin}/v1/lists'))
        for vm in fleet.vms
    }
    same = all(each == versions['control-0'] for each in versions.values())
    report.record(
        'mixed: the same lists at all VMs',
        label,
        same,
        format_statuses(versions),
    )


def check_in_force(
    report: Report,
    label: str,
    fleet: Fleet,
    change: tuple[str, Answer, str, str, int],
) -> None:
    """Check that a change takes effect on all VMs within the limit."""
    change_name, answer, key, path, status = change
    timings: dict[str, object] = {'command': answer.status}
    started_at = time.monotonic()
    passed = answer.status == 200
    for vm in fleet.entry:
        try:
            wait_for(
                change_name,
                partial(has_status, vm, key, path or LOOKUP_PATH, status),
                IN_FORCE_LIMIT_S,
            )
        except PreconditionError:
            passed = False
            timings[vm.name] = f'not within {IN_FORCE_LIMIT_S} s'
        else:
            timings[vm.name] = round(time.monotonic() - started_at, 2)
    report.record(f'{change_name} in force, s', label, passed, timings)


def check_shared_rate(report: Report, label: str, fleet: Fleet) -> None:
    """Check that all VMs together keep a rate and that each grants requests."""
    require_success('small key', grant_key(fleet, 'bahari-1', 'bahari'))
    wait_for(
        'small key',
        lambda: all(
            send_lookup(vm, 'bahari-1').status != 401 for vm in fleet.entry
        ),
        IN_FORCE_LIMIT_S,
    )
    started_at = time.monotonic()
    status_counts: Counter[str] = Counter()
    granted_by_vm: Counter[str] = Counter()
    for _ in range(RATE_CALLS_PER_VM):
        for vm in fleet.entry:
            answer = send_lookup(vm, 'bahari-1')
            status_counts[f'{answer.status} {answer.reason}'.strip()] += 1
            granted_by_vm[vm.name] += answer.status == 200
    seconds = time.monotonic() - started_at
    most = (SMALL_PLAN_BURST + SMALL_PLAN_RATE_PER_S * seconds) * RATE_TOLERANCE
    passed = set(status_counts) == {'200', '429 rate_exceeded'}
    passed = (
        passed and all(granted_by_vm.values()) and status_counts['200'] <= most
    )
    report.record(
        f'rate of {SMALL_PLAN_RATE_PER_S}/s shared',
        label,
        passed,
        f'{format_json(status_counts)} in {seconds:.1f} s '
        f'(at most {most:.0f}), {format_json(granted_by_vm)}',
    )


def check_leader_loss(
    report: Report,
    label: str,
    fleet: Fleet,
    builds: dict[str, Build],
) -> None:
    """Check that commands work again after the leader was killed."""
    killed_vm = fleet.find_leader()
    if killed_vm is None:
        raise PreconditionError('no control leader')
    check_message_counters(report, 'mixed, before the kill', label, fleet)
    fleet.kill(killed_vm)
    killed_at = time.monotonic()
    wait_for(
        'another leader',
        lambda: fleet.find_leader() not in {None, killed_vm},
        ELECTION_LIMIT_S,
    )
    elected_s = time.monotonic() - killed_at
    answer = grant_key(fleet, 'late-1', 'zuri')
    leader = fleet.find_leader()
    report.record(
        'leader killed, another one and commands work',
        label,
        answer.status == 200 and leader is not None,
        f'{killed_vm.name} ({builds[killed_vm.name].name}) killed, after '
        f'{elected_s:.1f} s {leader and leader.name} '
        f'({leader and builds[leader.name].name}), '
        f'grant {answer.status}',
    )
    change = ('key granted after it', answer, 'late-1', '', 200)
    check_in_force(report, label, fleet, change)


def check_replica_return(
    report: Report,
    label: str,
    fleet: Fleet,
    builds: dict[str, Build],
    build_pair: tuple[Build, Build],
) -> None:
    """Restart the killed control VM with the other build, far behind."""
    killed_vm = next(vm for vm in fleet.control if vm not in fleet.alive)
    previous_build = builds[killed_vm.name]
    granted_keys = grant_many_keys(fleet, 'many')
    other = build_pair[1] if previous_build is build_pair[0] else build_pair[0]
    fleet.start(killed_vm, other)

    def read_control_state() -> dict[str, Any]:
        answer = send_request('GET', f'{killed_vm.admin}/v1/control')
        return answer.document['body'] if answer.status == 200 else {}

    target = fleet.find_leader()
    expected = 0
    if target is not None:
        control = send_request('GET', f'{target.admin}/v1/control').document
        expected = control['body']['commit_index']
    started_at = time.monotonic()
    wait_for(
        f'{killed_vm.name} on {other.name} up to {expected}',
        lambda: read_control_state().get('commit_index', 0) >= expected,
        START_LIMIT_S,
    )
    counts = send_request('GET', f'{killed_vm.admin}/v1/counters').document
    installed = counts.get('control.snapshots_installed', 0)
    report.record(
        'lost leader returns on the other build, by a snapshot',
        label,
        granted_keys == SNAPSHOT_KEY_COUNT and installed == 1,
        f'{killed_vm.name} {previous_build.name} -> {other.name}, '
        f'{granted_keys} entries behind, {installed} snapshot installed, '
        f'up to date after {time.monotonic() - started_at:.1f} s',
    )


def check_answers(
    report: Report, phase: str, label: str, background: BackgroundRequests
) -> None:
    """Check that each background request got status 200."""
    answers = {
        f'{kind}: {status}': count
        for (kind, status), count in background.answers.items()
    }
    refused = sum(
        count
        for (_, status), count in background.answers.items()
        if status != '200'
    )
    requests = background.answers.total()
    report.record(
        f'{phase}: background requests answered 200',
        label,
        not refused and requests > 0,
        f'{requests} requests, {refused} others; {format_json(answers)}',
    )


def check_background_requests(
    report: Report,
    label: str,
    background: BackgroundRequests,
    first_order_results: list[object],
    before: Counter[str],
) -> None:
    """Check that requests succeeded and that each order ran exactly once."""
    check_answers(report, 'mixed', label, background)
    executions = count_executions() - before
    not_run_once = [
        work for work in background.completed_orders if executions[work] != 1
    ]
    report.record(
        'mixed: repeated orders through the other build, stored answer',
        label,
        not background.differing_answers
        and not not_run_once
        and bool(background.completed_orders),
        f'{len(background.completed_orders)} orders answered, '
        f'{len(background.differing_answers)} repeats differ '
        f'{background.differing_answers[:3] or ""}, {len(not_run_once)} not '
        f'executed once; first orders {format_json(first_order_results)}',
    )


def main(old: str, new: str, only: str | tuple[str, ...] = ()) -> None:
    """Run all checks on two checkouts.

    Parameters
    ----------
    old, new
        Paths of the checkouts.
    only
        Names of the checks to run, separated by commas: data, mixed,
        attached. All if empty.

    """
    started_at = time.monotonic()
    names = (only,) if isinstance(only, str) else tuple(only)
    builds = (
        Build('old', Path(old).resolve()),
        Build('new', Path(new).resolve()),
    )
    report = Report()
    with tempfile.TemporaryDirectory(prefix='mixed-builds-') as folder_name:
        folder = Path(folder_name)
        for build in builds:
            source = build.find_source()
            expected = build.checkout / 'src' / 'cranberryseam'
            passed = source == expected
            report.record(
                'source of the package', build.name, passed, str(source)
            )
        vms = plan_vms(FIRST_PORT, CONTROL_VM_COUNT, ENTRY_VM_COUNT)
        entry = tuple(vm for vm in vms if vm.role == 'entry')
        with run_targets(builds[0], folder, entry):
            run_checks(report, folder, vms, builds, names)
    took_s = round(time.monotonic() - started_at, 1)
    print(f'{report.failed} checks failed; took {took_s} s')
    sys.exit(1 if report.failed else 0)


def run_checks(
    report: Report,
    folder: Path,
    vms: tuple[Vm, ...],
    builds: tuple[Build, Build],
    only: tuple[str, ...],
) -> None:
    """Run each check in both directions; one that raises has failed."""
    attached = plan_vms(
        FIRST_ATTACHED_PORT, CONTROL_VM_COUNT, ATTACHED_ENTRY_VM_COUNT
    )
    checks = (
        ('data', check_data, vms),
        ('mixed', check_mixed, vms),
        ('attached', check_attached, attached),
    )
    for check_name, check, used in checks:
        if only and check_name not in only:
            continue
        for first, second in (builds, builds[::-1]):
            names = f'{first.name}, {second.name}'
            run = partial(check, report, folder, used, first, second)
            run_step(report, check_name, names, run)


if __name__ == '__main__':
    fire.Fire(main)
