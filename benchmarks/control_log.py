"""Measure the control log in simulated time.

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
    """Subcommands, one per measurement."""

    def traffic(self, changes: int = 200, idle_s: int = 100) -> None:
        """Print encoded bytes and messages, summed over all replicas."""
        for names in ('abc', 'abcdefg'):
            group = make_group(1, names)
            start = _count_traffic(group)
            group.run(idle_s)
            idle_rates = [
                (after - before) / idle_s
                for before, after in zip(
                    start, _count_traffic(group), strict=True
                )
            ]
            start, started_at = _count_traffic(group), group.now
            delays_s = []
            for number in range(changes):
                requested_at = group.now
                group.execute(group.leader(), _grant(number))
                delays_s.append(group.now - requested_at)
                group.run(1 - delays_s[-1])
            elapsed = group.now - started_at
            per_change = [
                (after - before - rate * elapsed) / changes
                for before, after, rate in zip(
                    start, _count_traffic(group), idle_rates, strict=True
                )
            ]
            print(len(names), 'idle bytes/s, messages/s', idle_rates)
            print(len(names), 'bytes, messages per change', per_change)
            print(
                len(names),
                'commit s',
                statistics.median(delays_s),
                max(delays_s),
            )

    def elections(self, seeds: int = 400) -> None:
        """Print the seconds from the crash of a leader to the next election."""
        for names in ('abc', 'abcde', 'abcdefg'):
            delays_s = []
            for seed in range(seeds):
                group = make_group(seed, names)
                group.run(seed % 37 / 50)
                group.crash(group.leader())
                crashed_at = group.now
                group.run_until(lambda group=group: group.leader() is not None)
                delays_s.append(group.now - crashed_at)
            print(len(names), statistics.median(delays_s), max(delays_s))

    def steps(self, changes: int = 3000) -> None:
        """Print the steps per second of the replicas alone."""
        seconds_and_steps = [0.0, 0]
        handle = Replica.handle

        def timed(replica: Replica, event: object) -> list:
            start = time.perf_counter()
            outputs = handle(replica, event)
            seconds_and_steps[0] += time.perf_counter() - start
            seconds_and_steps[1] += 1
            return outputs

        Replica.handle = timed
        group = make_group(1)
        seconds_and_steps[:] = [0.0, 0]
        group.run(300)
        print('idle steps/s', seconds_and_steps[1] / seconds_and_steps[0])
        seconds_and_steps[:] = [0.0, 0]
        for number in range(changes):
            group.send_command(group.leader(), _grant(number))
            group.run(0.003)
        print('busy steps/s', seconds_and_steps[1] / seconds_and_steps[0])

    def sizes(self, accounts: int = 54_000) -> None:
        """Print snapshot and log costs at the size expected in two years."""
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
        encoded_at = time.perf_counter()
        restore_machine(msgspec.msgpack.decode(raw, type=type(snapshot)))
        print(
            'snapshot bytes',
            len(raw),
            'encode s',
            encoded_at - start,
            'restore s',
            time.perf_counter() - encoded_at,
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
            delays_s = []
            for index in range(2, 202):
                records = make_records(index, index)
                start = time.perf_counter()
                storage.execute(AppendRecords(index, records, 0))
                delays_s.append(time.perf_counter() - start)
            print('append s', statistics.median(delays_s), max(delays_s))

    def schedules(self, first: int = 1000, end: int = 2200) -> None:
        """Check random schedules with seeds that the tests don't use."""
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
