"""Memory, message sizes and processor time of limits and idempotency.

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

_COUNT = 10_000
_RUN = 1_700_000_000_000_000 << 12
_VM = VmId('dar-vm-0123')


def _measure_bytes(name: str, make: Callable[[int], object]) -> None:
    tracemalloc.start()
    kept = {f'account-{number:06d}': make(number) for number in range(_COUNT)}
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f'{name}: {size / len(kept):.0f} bytes')


def _make_bucket(number: int, grants: int = 1) -> Bucket:
    granted = tuple(
        Grant(str(_VM), _RUN, number + other, 1, float(number))
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
    for number in range(_COUNT):
        answer = WireAnswer(200, ((b'content-type', b'text'),), bytes(200))
        key, mark = f'key-{number:032d}', number.to_bytes(32, 'big')
        record = Record(
            'account-000001', key, mark, str(_VM), _RUN, number, 1, _RUN, number
        )
        if number % 2:
            record = Record(
                'account-000001',
                key,
                mark,
                str(_VM),
                _RUN,
                number,
                1,
                _RUN,
                number,
                0,
                answer,
            )
        table.merge(record, float(number))
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(
        f'record, half with an answer of 200 bytes: {size / _COUNT:.0f} bytes,'
        f' counted as {table.size_bytes / _COUNT:.0f}'
    )


def _measure_messages() -> None:
    codec = Codec(
        (*ownership.MESSAGES, *limits.MESSAGES, *idempotency.MESSAGES)
    )
    for message in (
        TokensAsked('account-012345', _RUN, 123_456, 1, 0),
        TokensGiven(_RUN, 123_456, 1, 0, 0.25),
        TokensReported(_RUN, (LeaseReport('account-012345', 123_456, 2),)),
        ClaimAsked('account-012345', 'k' * 36, bytes(32), _RUN, 123_456),
        LeaseAsked('dar-g-01', 1_700_000_000_000, 123_456.789),
        LeaseGiven('dar-g-01', 1_700_000_000_000, 123_456.789),
    ):
        size = len(codec.encode(_VM, message))
        print(f'{type(message).__name__}: {size} bytes with its envelope')


def _time(name: str, action: Callable[[int], object], count: int) -> None:
    before = time.process_time()
    for number in range(count):
        action(number)
    spent = (time.process_time() - before) / count
    print(f'{name}: {spent * 1e6:.1f} us')


def _time_groups() -> None:
    groups = tuple(
        GroupSettings(f'g{number}', 'a', ('x', 'y', 'z'))
        for number in range(90)
    )
    vm = VmSettings('x', 'a', 'dc')
    settings = Settings(vm, Addresses(''), ('a',), groups=groups)
    index = GroupIndex(settings)
    _time(
        'group of a key, 90 groups, not cached',
        lambda number: index.group_of('a', str(number)),
        8000,
    )
    _time('group of a key, cached', lambda _: index.group_of('a', '7'), 8000)


def _time_acquire() -> None:
    fleet, _ = make_fleet(1)
    fleet.listeners.clear()
    fleet.run_until(BUCKETS_OPEN_S + 5)
    vm = fleet.vms['a3']
    limiter = vm.parts[1]
    account = AccountId('large')
    at = vm.local_time(fleet.now)
    leader = fleet.vms['a0']

    def serve(number: int) -> None:
        """Acquire and exchange the messages with the owner."""
        now = at + number / 15
        for output in limiter.acquire(RequestId(number), account, now):
            message = getattr(output, 'message', None)
            if isinstance(message, TokensAsked):
                clock = now - at + leader.local_time(fleet.now)
                answer = leader.parts[1]._owner.answer(
                    VmId('a3'), message, clock
                )
                leader.parts[0]._members['a-g'].leader_term.expires_at = (
                    clock + 5
                )
                for given in answer:
                    limiter._client.take_tokens(given.message, now)

    _time("acquire with the owner's work", serve, 5000)


def _time_claim() -> None:
    fleet, callers = make_claim_fleet(1)
    callers.runs_requests = False
    fleet.run_until(BUCKETS_OPEN_S)
    before = time.process_time()
    for number in range(1000):
        callers.send('a3', 'one', f'key{number}')
        fleet.run_until(fleet.now + 0.01)
    spent = (time.process_time() - before) / 1000
    print(
        'claim, replicated and granted, all VMs and this test network: '
        f'{spent * 1e6:.0f} us'
    )


def _time_plan_change() -> None:
    """Time the change of a plan that 18,000 of 54,000 accounts have."""
    plans = {name: Plan(name, 2, 5, 1, ()) for name in ('one', 'two', 'three')}
    names = [f'account-{number:05d}' for number in range(54_000)]
    accounts = {
        name: Account(AccountId(name), ('one', 'two', 'three')[number // 3 % 3])
        for number, name in enumerate(names)
    }
    before = Configuration(1, 1, 0, accounts, plans)
    changed = {**plans, 'one': Plan('one', 3, 5, 1, ())}
    after = Configuration(2, 2, 0, dict(accounts), changed)
    groups = tuple(
        GroupSettings(f'{region}{number}', region, ('x', 'y', 'z'))
        for region in 'abc'
        for number in range(90)
    )
    vm = VmSettings('x', 'a', 'dc')
    settings = Settings(vm, Addresses(''), ('a', 'b', 'c'), groups=groups)
    owner = BucketOwner(settings, _LeadsAll(settings, random.Random(1)))
    owner.change_configuration(before, 1)
    owner.open_table('a7', 1)
    started = time.process_time()
    owner.change_configuration(after, 100)
    listed = time.process_time()
    owner.apply_changes(ACCOUNTS_PER_BATCH)
    sliced = time.process_time()
    owner.apply_changes(len(accounts))
    print(
        f'plan change of 18000 accounts: {(listed - started) * 1e3:.1f} ms to'
        f' list, {(sliced - listed) * 1e3:.1f} ms a slice,'
        f' {time.process_time() - started:.3f} s in all,'
        f' {owner.count_buckets()} buckets'
    )


class _LeadsAll(ownership.Ownership):
    """Ownership of a VM that leads every group."""

    def term_of(self, group: str, at: float) -> int | None:
        return 1

    def leads_since(self, group: str) -> float:
        return 0


def main() -> None:
    random.seed(0)
    _measure_bytes('bucket without a lease', lambda n: _make_bucket(n, 0))
    _measure_bytes('bucket with one lease', _make_bucket)
    _measure_bytes('bucket with ten leases', lambda n: _make_bucket(n, 10))
    _measure_bytes('cached account with one lease', _make_cached)
    _measure_table()
    _measure_messages()
    _time_groups()
    _time_plan_change()
    _time_acquire()
    _time_claim()


if __name__ == '__main__':
    main()
