"""Whether two builds work with each other's data and processes.

Run ``.venv/bin/python benchmarks/mixed_builds.py OLD NEW`` with the paths of
two checkouts, each with its environment in ``.venv``. Prints a line for each
check and exits with 1 if one didn't hold. Everything is observed over HTTP.
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
    UnmetError,
    Vm,
    call,
    open_fleet,
    plan_vms,
    show,
    wait_for,
)
from build_report import (
    Report,
    guard,
    note_counters,
    note_counting,
    note_end,
    summarise,
    tell,
)
from build_traffic import (
    CONTROL_VMS,
    ENTRY_VMS,
    MANY_KEYS,
    PATH,
    SMALL_BURST,
    SMALL_RATE,
    START_LIMIT_S,
    TARGETS_PER_SERVICE,
    Trickle,
    apply_lists,
    build_lists,
    count_executions,
    form,
    grant,
    grant_many,
    look_up,
    passes,
    require,
    run_targets,
    run_trickle,
    start_all,
    wait_for_orders,
    wait_until_serving,
    withdraw,
)

FIRST_PORT: Final = 27000
FIRST_ATTACHED_PORT: Final = 27200
FIRST_ATTACHED_TARGET_PORT: Final = 27900
ATTACHED_ENTRY_VMS: Final = 3
# A target announces its state each second.
DEPARTURE_S: Final = 2.5
IN_FORCE_LIMIT_S: Final = 5.0
ELECTION_LIMIT_S: Final = 10.0
RATE_CALLS_PER_VM: Final = 40
# Owners and VMs round up; more than this would be a rate that isn't held.
RATE_TOLERANCE: Final = 1.5


def check_mixed(
    report: Report, folder: Path, vms: tuple[Vm, ...], first: Build, by: Build
) -> None:
    """Check a fleet whose VMs are of both builds in turn."""
    builds, label = plan_builds(vms, first, by)
    before = count_executions()
    with open_fleet(folder / f'mixed-{first.name}', vms) as fleet:
        start_all(fleet, builds)
        version = form(fleet)
        wait_until_serving(fleet)
        fresh = wait_for_orders(fleet, f'mixed-{first.name}')
        trickle = Trickle(fleet, 'asha-1', f'{first.name}-first')
        with run_trickle(trickle):
            for what, step in (
                ('changes', partial(note_changes, version=version)),
                ('rates', note_rates),
                ('lost leader', partial(note_lost_leader, builds=builds)),
                (
                    'its return',
                    partial(note_return, builds=builds, both=(first, by)),
                ),
            ):
                guard(report, what, label, partial(step, report, label, fleet))
        note_trickle(report, label, trickle, fresh, before)
        note_counters(report, 'mixed', label, fleet)
        note_counting(report, label, fleet)
        note_end(report, 'mixed', label, fleet)


def plan_builds(
    vms: tuple[Vm, ...], first: Build, by: Build
) -> tuple[dict[str, Build], str]:
    """Return the build of each VM, alternating by role, and their names."""
    turn = (first, by, first, by)
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
    report: Report, folder: Path, vms: tuple[Vm, ...], first: Build, by: Build
) -> None:
    """Check VMs of both builds that are attached to the control leader."""
    builds, label = plan_builds(vms, first, by)
    label = f'attached, {label}'
    place = folder / f'attached-{first.name}'
    control = tuple(vm for vm in vms if vm.role == 'control')
    with (
        run_targets(first, folder, control, FIRST_ATTACHED_TARGET_PORT),
        open_fleet(place, vms, attached=True) as fleet,
    ):
        start_all(fleet, builds)
        version = form_attached(fleet)
        trickle = Trickle(fleet, 'asha-1', 'attached', orders=False)
        with run_trickle(trickle):
            for what, step in (
                ('changes', partial(note_attached_change, version=version)),
                ('rates', note_rates),
                ('departure', note_departure),
                ('lost leader', partial(note_lost_leader, builds=builds)),
                (
                    'its return',
                    partial(note_return, builds=builds, both=(first, by)),
                ),
            ):
                guard(report, what, label, partial(step, report, label, fleet))
        note_answers(report, 'attached', label, trickle)
        note_counters(report, 'attached', label, fleet)
        note_counting(report, label, fleet)
        note_end(report, 'attached', label, fleet)
        swapped = {
            name: by if build is first else first
            for name, build in builds.items()
        }
        start_all(fleet, swapped)
        note_swapped(report, f'{label}, then all swapped', fleet)
        note_counters(report, 'attached', label, fleet)
        note_end(report, 'attached', label, fleet)


def form_attached(fleet: Fleet) -> int:
    """Wait until seeds have formed the log; return the lists' version."""
    wait_for(
        'leader among the seeds',
        lambda: fleet.find_leader() is not None,
        START_LIMIT_S,
    )
    first = apply_lists(fleet, 'lists-1', 0, build_lists((), 0))
    require('first lists', first)
    require('first key', grant(fleet, 'asha-1', 'asha'))
    wait_until_serving(fleet)
    return int(first.document['version'])


def note_attached_change(
    report: Report, label: str, fleet: Fleet, version: int
) -> None:
    """Check that changes are in force on all VMs in time."""
    lists = apply_lists(fleet, 'lists-2', version, build_lists(('stock',), 3))
    change = ('lists', lists, 'asha-1', '/stock/1', 200)
    note_in_force(report, label, fleet, change)
    granted = grant(fleet, 'zuri-1', 'zuri')
    change = ('granted key', granted, 'zuri-1', '', 200)
    note_in_force(report, label, fleet, change)


def note_departure(report: Report, label: str, fleet: Fleet) -> None:
    """Check that a target that announces its end gets no more work."""
    addresses = [
        f'{LOOPBACK}:{FIRST_ATTACHED_TARGET_PORT + number}'
        for number in range(TARGETS_PER_SERVICE)
    ]
    call('POST', f'{addresses[0]}/-/drain', key='')
    time.sleep(DEPARTURE_S)
    before = [count_work(address) for address in addresses]
    for vm in fleet.entry * RATE_CALLS_PER_VM:
        look_up(vm, 'asha-1')
    gained = [
        count_work(address) - start
        for address, start in zip(addresses, before, strict=True)
    ]
    report.note(
        'attached: a draining target gets no more work',
        label,
        gained[0] == 0 and gained[1] > 0,
        f'requests at the draining and the other target: {gained}',
    )


def count_work(address: str) -> int:
    """Return how many requests a target has got."""
    counts = call('GET', f'{address}/-/counts', key='').document
    return sum(counts['outcomes'].values())


def note_swapped(report: Report, label: str, fleet: Fleet) -> None:
    """Check that each VM goes on with the data of the other build."""
    wait_for(
        'leader after the swap',
        lambda: fleet.find_leader() is not None,
        START_LIMIT_S,
    )
    for vm in fleet.entry:
        wait_for(
            f'look-up through {vm.name}',
            partial(passes, vm, 'asha-1', '/stock/1'),
            START_LIMIT_S,
        )
    again = grant(fleet, 'late-1', 'zuri')
    other = grant(fleet, 'late-1', 'asha')
    report.note(
        'attached: lists, keys and command keys after a swap of builds',
        label,
        (again.status, other.status) == (200, 409),
        f'grant again {again.status}, with other account {other.status}',
    )


def note_changes(
    report: Report, label: str, fleet: Fleet, version: int
) -> None:
    """Check that a change is in force on all VMs within seconds."""
    lists = apply_lists(fleet, 'lists-2', version, build_lists(('stock',), 3))
    changes = (
        ('lists', lists, 'asha-1', '/stock/1', 200),
        ('granted key', grant(fleet, 'zuri-1', 'zuri'), 'zuri-1', '', 200),
        ('key to withdraw', grant(fleet, 'asha-2', 'asha'), 'asha-2', '', 200),
    )
    for what, answer, key, path, status in changes:
        note_in_force(report, label, fleet, (what, answer, key, path, status))
    # The second entry VM is of the other build than the first control VM.
    for vm, key in ((fleet.entry[0], 'asha-2'), (fleet.entry[1], 'zuri-1')):
        what = f'withdrawal through {vm.name}'
        answer = withdraw(fleet, vm, key)
        note_in_force(report, label, fleet, (what, answer, key, '', 401))
    versions = {
        vm.name: tell(call('GET', f'{vm.admin}/v1/lists')) for vm in fleet.vms
    }
    same = all(each == versions['control-0'] for each in versions.values())
    report.note(
        'mixed: the same lists at all VMs', label, same, summarise(versions)
    )


def note_in_force(
    report: Report,
    label: str,
    fleet: Fleet,
    change: tuple[str, Answer, str, str, int],
) -> None:
    """Check that all VMs answer as a change demands, in time."""
    what, answer, key, path, status = change
    took: dict[str, object] = {'command': answer.status}
    started_at = time.monotonic()
    holds = answer.status == 200
    for vm in fleet.entry:
        try:
            wait_for(
                what,
                partial(passes, vm, key, path or PATH, status),
                IN_FORCE_LIMIT_S,
            )
        except UnmetError:
            holds = False
            took[vm.name] = f'not within {IN_FORCE_LIMIT_S} s'
        else:
            took[vm.name] = round(time.monotonic() - started_at, 2)
    report.note(f'{what} in force, s', label, holds, took)


def note_rates(report: Report, label: str, fleet: Fleet) -> None:
    """Check that a rate is shared by all VMs and that each answers."""
    require('small key', grant(fleet, 'bahari-1', 'bahari'))
    wait_for(
        'small key',
        lambda: all(
            look_up(vm, 'bahari-1').status != 401 for vm in fleet.entry
        ),
        IN_FORCE_LIMIT_S,
    )
    started_at = time.monotonic()
    told: Counter[str] = Counter()
    passed: Counter[str] = Counter()
    for _ in range(RATE_CALLS_PER_VM):
        for vm in fleet.entry:
            answer = look_up(vm, 'bahari-1')
            told[f'{answer.status} {answer.reason}'.strip()] += 1
            passed[vm.name] += answer.status == 200
    seconds = time.monotonic() - started_at
    most = (SMALL_BURST + SMALL_RATE * seconds) * RATE_TOLERANCE
    holds = set(told) == {'200', '429 rate_exceeded'}
    holds = holds and all(passed.values()) and told['200'] <= most
    report.note(
        f'rate of {SMALL_RATE}/s shared',
        label,
        holds,
        f'{show(told)} in {seconds:.1f} s (at most {most:.0f}), {show(passed)}',
    )


def note_lost_leader(
    report: Report,
    label: str,
    fleet: Fleet,
    builds: dict[str, Build],
) -> None:
    """Check that commands work again after the leader was killed."""
    lost = fleet.find_leader()
    if lost is None:
        raise UnmetError('no control leader')
    note_counters(report, 'mixed, before the kill', label, fleet)
    fleet.kill(lost)
    killed_at = time.monotonic()
    wait_for(
        'another leader',
        lambda: fleet.find_leader() not in {None, lost},
        ELECTION_LIMIT_S,
    )
    elected_s = time.monotonic() - killed_at
    answer = grant(fleet, 'late-1', 'zuri')
    leader = fleet.find_leader()
    report.note(
        'leader killed, another one and commands work',
        label,
        answer.status == 200 and leader is not None,
        f'{lost.name} ({builds[lost.name].name}) killed, after '
        f'{elected_s:.1f} s {leader and leader.name} '
        f'({leader and builds[leader.name].name}), '
        f'grant {answer.status}',
    )
    change = ('key granted after it', answer, 'late-1', '', 200)
    note_in_force(report, label, fleet, change)


def note_return(
    report: Report,
    label: str,
    fleet: Fleet,
    builds: dict[str, Build],
    both: tuple[Build, Build],
) -> None:
    """Start the killed control VM again with the other build, far behind."""
    lost = next(vm for vm in fleet.control if vm not in fleet.alive)
    was = builds[lost.name]
    many = grant_many(fleet, 'many')
    other = both[1] if was is both[0] else both[0]
    fleet.start(lost, other)

    def read() -> dict[str, Any]:
        answer = call('GET', f'{lost.admin}/v1/control')
        return answer.document['body'] if answer.status == 200 else {}

    target = fleet.find_leader()
    expected = 0
    if target is not None:
        told = call('GET', f'{target.admin}/v1/control').document
        expected = told['body']['commit_index']
    started_at = time.monotonic()
    wait_for(
        f'{lost.name} on {other.name} up to {expected}',
        lambda: read().get('commit_index', 0) >= expected,
        START_LIMIT_S,
    )
    counts = call('GET', f'{lost.admin}/v1/counters').document
    installed = counts.get('control.snapshots_installed', 0)
    report.note(
        'lost leader returns on the other build, by a snapshot',
        label,
        many == MANY_KEYS and installed == 1,
        f'{lost.name} {was.name} -> {other.name}, {many} entries behind, '
        f'{installed} snapshot installed, up to date after '
        f'{time.monotonic() - started_at:.1f} s',
    )


def note_answers(
    report: Report, what: str, label: str, trickle: Trickle
) -> None:
    """Check that callers were told nothing but 200."""
    answers = {f'{k}: {told}': n for (k, told), n in trickle.answers.items()}
    refused = sum(
        n for (_, told), n in trickle.answers.items() if told != '200'
    )
    requests = trickle.answers.total()
    report.note(
        f'{what}: trickle of requests answered 200',
        label,
        not refused and requests > 0,
        f'{requests} requests, {refused} others; {show(answers)}',
    )


def note_trickle(
    report: Report,
    label: str,
    trickle: Trickle,
    fresh: list[object],
    before: Counter[str],
) -> None:
    """Check what callers were told, and that no order ran twice."""
    note_answers(report, 'mixed', label, trickle)
    executions = count_executions() - before
    twice = [work for work in trickle.answered if executions[work] != 1]
    report.note(
        'mixed: repeated orders through the other build, stored answer',
        label,
        not trickle.differing and not twice and bool(trickle.answered),
        f'{len(trickle.answered)} orders answered, {len(trickle.differing)} '
        f'repeats differ {trickle.differing[:3] or ""}, {len(twice)} not '
        f'executed once; first orders {show(fresh)}',
    )


def main(old: str, new: str, only: str | tuple[str, ...] = ()) -> None:
    """Run all checks on two checkouts.

    Parameters
    ----------
    old, new
        Paths of the checkouts.
    only
        Names of checks, with commas: data, mixed, attached; else all.

    """
    started_at = time.monotonic()
    names = (only,) if isinstance(only, str) else tuple(only)
    builds = (
        Build('old', Path(old).resolve()),
        Build('new', Path(new).resolve()),
    )
    report = Report()
    with tempfile.TemporaryDirectory(prefix='mixed-builds-') as place:
        folder = Path(place)
        for build in builds:
            source = build.find_source()
            expected = build.checkout / 'src' / 'cranberryseam'
            holds = source == expected
            report.note('source of the package', build.name, holds, str(source))
        vms = plan_vms(FIRST_PORT, CONTROL_VMS, ENTRY_VMS)
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
    """Run each check in both directions; one that breaks off has failed."""
    attached = plan_vms(FIRST_ATTACHED_PORT, CONTROL_VMS, ATTACHED_ENTRY_VMS)
    checks = (
        ('data', check_data, vms),
        ('mixed', check_mixed, vms),
        ('attached', check_attached, attached),
    )
    for what, check, used in checks:
        if only and what not in only:
            continue
        for first, second in (builds, builds[::-1]):
            names = f'{first.name}, {second.name}'
            run = partial(check, report, folder, used, first, second)
            guard(report, what, names, run)


if __name__ == '__main__':
    fire.Fire(main)
