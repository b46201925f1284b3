"""Measurements of the control log in virtual time.

Run ``PYTHONPATH=. python benchmarks/control_log.py NAME``, where the name
is ``traffic``, ``elections``, ``steps``, ``sizes`` or ``schedules``.
"""

from __future__ import annotations

import statistics
import tempfile
import time
from collections import Counter
from pathlib import Path

import fire
import msgspec

from cranberryseam.configuration.model import Account, Configuration, Key
from cranberryseam.control import Replica, open_storage
from cranberryseam.control.effects import AppendRecords, SaveSnapshot
from cranberryseam.control.machine import StateMachine, restore_machine
from cranberryseam.control.records import LogBase, Membership
from cranberryseam.core.commands import CommandAnswer, GrantKey
from tests.control.simulation import Simulation
from tests.control.test_replica import make_group
from tests.control.test_storage import make_records
from tests.properties.test_control_schedules import (
    check_schedule,
    run_schedule,
)


def _grant(number: int) -> GrantKey:
    return GrantKey(f'k{number}', f'id{number}', 'x', b'%032d' % number)


def _count_traffic(simulation: Simulation) -> tuple[int, int]:
    return simulation.sent_bytes, sum(simulation.sent.values())


class Measurements:
    """The measurements, one method each."""

    def traffic(self, changes: int = 200, idle_s: int = 100) -> None:
        """Bytes and messages of all replicas together, encoded."""
        for names in ('abc', 'abcdefg'):
            group = make_group(1, names)
            start = _count_traffic(group)
            group.run(idle_s)
            idle = [
                (after - before) / idle_s
                for before, after in zip(
                    start, _count_traffic(group), strict=True
                )
            ]
            start, started = _count_traffic(group), group.now
            waits = []
            for number in range(changes):
                asked = group.now
                group.execute(group.leader(), _grant(number))
                waits.append(group.now - asked)
                group.run(1 - waits[-1])
            spent = group.now - started
            more = [
                (after - before - rate * spent) / changes
                for before, after, rate in zip(
                    start, _count_traffic(group), idle, strict=True
                )
            ]
            print(len(names), 'idle bytes/s, messages/s', idle)
            print(len(names), 'bytes, messages per change', more)
            print(len(names), 'commit s', statistics.median(waits), max(waits))

    def elections(self, seeds: int = 400) -> None:
        """Seconds from the crash of a leader to the next one."""
        for names in ('abc', 'abcde', 'abcdefg'):
            waits = []
            for seed in range(seeds):
                group = make_group(seed, names)
                group.run(seed % 37 / 50)
                group.crash(group.leader())
                crashed = group.now
                group.run_until(lambda group=group: group.leader() is not None)
                waits.append(group.now - crashed)
            print(len(names), statistics.median(waits), max(waits))

    def steps(self, changes: int = 3000) -> None:
        """Steps per second of the reducers alone."""
        spent = [0.0, 0]
        handle = Replica.handle

        def timed(replica: Replica, event: object) -> list:
            start = time.perf_counter()
            outputs = handle(replica, event)
            spent[0] += time.perf_counter() - start
            spent[1] += 1
            return outputs

        Replica.handle = timed
        group = make_group(1)
        spent[:] = [0.0, 0]
        group.run(300)
        print('idle steps/s', spent[1] / spent[0])
        spent[:] = [0.0, 0]
        for number in range(changes):
            group.send_command(group.leader(), _grant(number))
            group.run(0.003)
        print('busy steps/s', spent[1] / spent[0])

    def sizes(self, accounts: int = 54_000) -> None:
        """Snapshot and log at the size of two years from now."""
        rows = [Account(f'account-{n}', 'plan') for n in range(accounts)]
        keys = [
            Key(f'key-{n}', f'account-{n}', b'%032d' % n)
            for n in range(accounts)
        ]
        configuration = Configuration(
            1,
            1,
            0,
            {row.name: row for row in rows},
            keys={key.key_id: key for key in keys},
        )
        machine = StateMachine(configuration, {}, 1)
        start = time.perf_counter()
        snapshot = machine.take_snapshot(Membership())
        raw = msgspec.msgpack.encode(snapshot)
        encoded = time.perf_counter()
        restore_machine(msgspec.msgpack.decode(raw, type=type(snapshot)))
        print(
            'snapshot bytes',
            len(raw),
            'encode s',
            encoded - start,
            'restore s',
            time.perf_counter() - encoded,
        )
        with (
            tempfile.TemporaryDirectory() as folder,
            open_storage(Path(folder)) as opened,
        ):
            storage = opened.ok
            storage.load()
            start = time.perf_counter()
            storage.execute(SaveSnapshot(1, snapshot, LogBase(1, 1), ()))
            print('snapshot write s', time.perf_counter() - start)
            waits = []
            for index in range(2, 202):
                records = make_records(index, index)
                start = time.perf_counter()
                storage.execute(AppendRecords(index, records, 0))
                waits.append(time.perf_counter() - start)
            print('append s', statistics.median(waits), max(waits))

    def schedules(self, first: int = 1000, end: int = 2200) -> None:
        """Check random schedules beyond the seeds of the tests."""
        totals: Counter[str] = Counter()
        for seed in range(first, end):
            names = 'abc' if seed % 2 else 'abcde'
            totals['schedules'] += 1
            try:
                simulation, operators = run_schedule(seed, names)
                check_schedule(simulation, operators)
            except AssertionError as error:
                totals['failed'] += 1
                print(seed, error)
                continue
            totals['terms'] += max(simulation.leaders)
            totals['commits'] += max(simulation.committed)
            totals['steps'] += simulation.steps
            totals['answers'] += len(simulation.answers)
            totals['decided'] += sum(
                isinstance(answer, CommandAnswer)
                for _, answer in simulation.answers.values()
            )
        print(dict(totals))


if __name__ == '__main__':
    fire.Fire(Measurements)
