"""Measure memory, message sizes and CPU time of limits and idempotency.

Usage: ``PYTHONPATH=. python benchmarks/ownership_state.py``
"""

from __future__ import annotations

import random
import time
import tracemalloc
from collections.abc import Callable

from cranberryseam import idempotency, limits, ownership
from cranberryseam.configuration.model import Account, Configuration, Plan
from cranberryseam.configuration.settings import (
    Addresses,
    GroupSettings,
    Settings,
    VmSettings,
)
from cranberryseam.core.codec import Codec
from cranberryseam.idempotency.messages import ClaimAsked
from cranberryseam.idempotency.records import Record, WireAnswer
from cranberryseam.idempotency.table import RecordTable
from cranberryseam.limits.bucket import Bucket, Grant
from cranberryseam.limits.cache import CachedAccount, Lease
from cranberryseam.limits.changes import ACCOUNTS_PER_BATCH
from cranberryseam.limits.messages import (
    LeaseReport,
    TokensAsked,
    TokensGiven,
    TokensReported,
)
from cranberryseam.limits.owner import BucketOwner
from cranberryseam.limits.shares import Limit
from cranberryseam.ownership.groups import GroupIndex
from cranberryseam.ownership.messages import LeaseAsked, LeaseGiven
from cranberryseam.types import AccountId, RequestId, VmId
from tests.idempotency.schedules import make_fleet as make_claim_fleet
from tests.limits.schedules import make_fleet
from tests.ownership.fleet import BUCKETS_OPEN_S

_ENTRY_COUNT = 10_000
_RUN_ID = 1_700_000_000_000_000 << 12
_VM = VmId('dar-vm-0123')


def _measure_bytes(name: str, make_entry: Callable[[int], object]) -> None:
    tracemalloc.start()
    entries = {
        f'account-{number:06d}': make_entry(number)
        for number in range(_ENTRY_COUNT)
    }
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f'{name}: {size / len(entries):.0f} bytes')


def _make_bucket(number: int, grants: int = 1) -> Bucket:
    granted = tuple(
        Grant(str(_VM), _RUN_ID, number + other, 1, float(number))
        for other in range(grants)
    )
    return Bucket(Limit(2.0 + number, 5.0), number / 7, number / 3, granted)


def _make_cached(number: int) -> CachedAccount:
    lease = Lease(number + 1000, 3, number / 7, is_token_block=True)
    return CachedAccount(
        [lease], recent_rate=number / 3, last_used_at=number / 9
    )


def _measure_table() -> None:
    table = RecordTable()
    tracemalloc.start()
    for number in range(_ENTRY_COUNT):
        answer = WireAnswer(200, ((b'content-type', b'text'),), bytes(200))
        key, fingerprint = f'key-{number:032d}', number.to_bytes(32, 'big')
        record = Record(
            'account-000001',
            key,
            fingerprint,
            str(_VM),
            _RUN_ID,
            number,
            1,
            _RUN_ID,
            number,
        )
        if number % 2:
            record = Record(
                'account-000001',
                key,
                fingerprint,
                str(_VM),
                _RUN_ID,
                number,
                1,
                _RUN_ID,
                number,
                0,
                answer,
            )
        table.merge(record, float(number))
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(
        f'record, half with an answer of 200 bytes: '
        f'{size / _ENTRY_COUNT:.0f} bytes,'
        f' counted as {table.size_bytes / _ENTRY_COUNT:.0f}'
    )


def _measure_messages() -> None:
    codec = Codec(
        (*ownership.MESSAGES, *limits.MESSAGES, *idempotency.MESSAGES)
    )
    for message in (
        TokensAsked('account-012345', _RUN_ID, 123_456, 1, 0),
        TokensGiven(_RUN_ID, 123_456, 1, 0, 0.25),
        TokensReported(_RUN_ID, (LeaseReport('account-012345', 123_456, 2),)),
        ClaimAsked('account-012345', 'k' * 36, bytes(32), _RUN_ID, 123_456),
        LeaseAsked('dar-g-01', 1_700_000_000_000, 123_456.789),
        LeaseGiven('dar-g-01', 1_700_000_000_000, 123_456.789),
    ):
        size = len(codec.encode(_VM, message))
        print(f'{type(message).__name__}: {size} bytes with its envelope')


def _measure_cpu_time(
    name: str, operation: Callable[[int], object], count: int
) -> None:
    cpu_before_s = time.process_time()
    for number in range(count):
        operation(number)
    cpu_s = (time.process_time() - cpu_before_s) / count
    print(f'{name}: {cpu_s * 1e6:.1f} us')


def _measure_group_lookup() -> None:
    groups = tuple(
        GroupSettings(f'g{number}', 'a', ('x', 'y', 'z'))
        for number in range(90)
    )
    vm = VmSettings('x', 'a', 'dc')
    settings = Settings(vm, Addresses(''), ('a',), groups=groups)
    index = GroupIndex(settings)
    _measure_cpu_time(
        'group of a key, 90 groups, not cached',
        lambda number: index.group_of('a', str(number)),
        8000,
    )
    _measure_cpu_time(
        'group of a key, cached', lambda _: index.group_of('a', '7'), 8000
    )


def _measure_acquire() -> None:
    fleet, _ = make_fleet(1)
    fleet.listeners.clear()
    fleet.run_until(BUCKETS_OPEN_S + 5)
    vm = fleet.vms['a3']
    limiter = vm.components[1]
    account = AccountId('large')
    at = vm.local_time(fleet.now)
    leader = fleet.vms['a0']

    def acquire_and_answer(number: int) -> None:
        """Acquire tokens and exchange the messages with the owner."""
        now = at + number / 15
        for output in limiter.acquire(RequestId(number), account, now):
            message = getattr(output, 'message', None)
            if isinstance(message, TokensAsked):
                clock = now - at + leader.local_time(fleet.now)
                answer = leader.components[1]._owner.answer(
                    VmId('a3'), message, clock
                )
                leader.components[0]._members['a-g'].leader_term.expires_at = (
                    clock + 5
                )
                for answer_message in answer:
                    limiter._client.take_tokens(answer_message.message, now)

    _measure_cpu_time("acquire with the owner's work", acquire_and_answer, 5000)


def _measure_claim() -> None:
    fleet, callers = make_claim_fleet(1)
    callers.runs_requests = False
    fleet.run_until(BUCKETS_OPEN_S)
    cpu_before_s = time.process_time()
    for number in range(1000):
        callers.send('a3', 'one', f'key{number}')
        fleet.run_until(fleet.now + 0.01)
    cpu_s = (time.process_time() - cpu_before_s) / 1000
    print(
        'claim, replicated and granted, all VMs and the simulated network: '
        f'{cpu_s * 1e6:.0f} us'
    )


def _measure_plan_change() -> None:
    """Measure the change of a plan of 18,000 of 54,000 accounts."""
    plans = {name: Plan(name, 2, 5, 1, ()) for name in ('one', 'two', 'three')}
    names = [f'account-{number:05d}' for number in range(54_000)]
    accounts = {
        name: Account(AccountId(name), ('one', 'two', 'three')[number // 3 % 3])
        for number, name in enumerate(names)
    }
    initial_configuration = Configuration(1, 1, 0, accounts, plans)
    changed_plans = {**plans, 'one': Plan('one', 3, 5, 1, ())}
    changed_configuration = Configuration(
        2, 2, 0, dict(accounts), changed_plans
    )
    groups = tuple(
        GroupSettings(f'{region}{number}', region, ('x', 'y', 'z'))
        for region in 'abc'
        for number in range(90)
    )
    vm = VmSettings('x', 'a', 'dc')
    settings = Settings(vm, Addresses(''), ('a', 'b', 'c'), groups=groups)
    owner = BucketOwner(
        settings, _LeaderOfAllGroups(settings, random.Random(1))
    )
    owner.change_configuration(initial_configuration, 1)
    owner.open_table('a7', 1)
    started_at = time.process_time()
    owner.change_configuration(changed_configuration, 100)
    listed_at = time.process_time()
    owner.apply_changes(ACCOUNTS_PER_BATCH)
    first_batch_at = time.process_time()
    owner.apply_changes(len(accounts))
    print(
        f'plan change of 18000 accounts: '
        f'{(listed_at - started_at) * 1e3:.1f} ms to'
        f' list, {(first_batch_at - listed_at) * 1e3:.1f} ms per batch,'
        f' {time.process_time() - started_at:.3f} s in total,'
        f' {owner.count_buckets()} buckets'
    )


class _LeaderOfAllGroups(ownership.Ownership):
    """Ownership of a VM that is the leader of every group."""

    def term_of(self, group: str, at: float) -> int | None:
        return 1

    def leading_since(self, group: str) -> float:
        return 0


def main() -> None:
    random.seed(0)
    _measure_bytes('bucket without a lease', lambda n: _make_bucket(n, 0))
    _measure_bytes('bucket with one lease', _make_bucket)
    _measure_bytes('bucket with ten leases', lambda n: _make_bucket(n, 10))
    _measure_bytes('cached account with one lease', _make_cached)
    _measure_table()
    _measure_messages()
    _measure_group_lookup()
    _measure_plan_change()
    _measure_acquire()
    _measure_claim()


if __name__ == '__main__':
    main()
