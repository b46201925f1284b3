"""Tests of rate limits over several VMs."""

from __future__ import annotations

from collections.abc import Callable
from unittest import mock

import attrs
import testtools
from parameterized import parameterized

from cranberryseam.configuration.model import Account, Configuration
from cranberryseam.core import events
from cranberryseam.core.notices import TokenDenied, TokenGranted
from cranberryseam.core.refusals import RefusalReason
from cranberryseam.limits import owner
from cranberryseam.limits.bucket import Bucket
from cranberryseam.limits.entry import TokenClient
from cranberryseam.limits.messages import TokensGiven
from cranberryseam.types import Output
from tests.ownership.fleet import BUCKETS_OPEN_S

from .schedules import (
    PLANS,
    Recorder,
    disturb,
    make_fleet,
    run_faulty,
    run_healthy,
    run_stale_answer,
    send_load,
    sum_results,
)

# The full count is in benchmarks/limits_schedules.py.
_SEEDS = 50
_FAULT_SEEDS = 90
_IN_RATE = {'small': 1.5, 'large': 14.0, 'shared': 12.0, 'remote': 7.0}


class ScheduleTest(testtools.TestCase):
    """Guards against more admissions than one bucket would give."""

    @parameterized.expand([(first,) for first in range(0, _SEEDS, 10)])
    def test_faulty(self, first: int) -> None:
        """No fault lets the fleet exceed burst + rate * t in any interval."""
        results = [run_faulty(seed) for seed in range(first, first + 10)]
        totals = sum_results(results)
        self.assertEqual(totals['excess'], 0, totals)
        self.assertEqual(totals['unanswered'], 0, totals)

    def test_stale_answer(self) -> None:
        """Tokens that waited in a frozen VM's buffer are not used."""
        result = run_stale_answer()
        self.assertEqual(
            (result.excess_grants, result.granted['small']), (0, 13)
        )

    @parameterized.expand([('in_rate', 14.0), ('one_tenant_5x', 100.0)])
    def test_healthy(self, _name: str, large: float) -> None:
        """Accounts within their rate are served, also beside a large one."""
        totals = sum_results(
            [
                run_healthy(seed, {**_IN_RATE, 'large': large}, 20)
                for seed in (1, 2)
            ]
        )
        self.assertEqual((totals['excess'], totals['unanswered']), (0, 0))
        self.assertGreater(totals['worst_served'], 0.95, totals)
        self.assertLess(totals['worst_wait_s'], 0.25)

    @parameterized.expand([(seed,) for seed in range(6)])
    def test_plan_changes(self, seed: int) -> None:
        """An upgrade doesn't refill; a lowered plan holds from the leader."""
        fleet, recorder = make_fleet(seed)
        fleet.run_until(BUCKETS_OPEN_S + 4)
        start = fleet.now
        fleet.network.loss = 0.05
        fleet.network.long_delay = 0.05
        send_load(fleet, recorder, {'large': 150}, start + 14)
        if seed % 2:
            disturb(fleet, start + 14)
        fleet.run_until(start + 3)
        fleet.change(_with_plan(fleet.configuration, 80, 300), 1)
        fleet.run_until(start + 7)
        fleet.change(_with_plan(fleet.configuration, 5, 5), 1)
        fleet.run_until(start + 15)
        changes = [
            (start + 3, 'large', 80.0, 300.0),
            # In force after 1 s; the leases before last 2.1 s more.
            (start + 10.2, 'large', 5.0, 5.0),
        ]
        result = recorder.judge(changes)
        self.assertEqual(result.excess_grants, 0)
        self.assertGreater(result.granted['large'], 0)


class FaultTest(testtools.TestCase):
    """Shows that the schedules find known faults."""

    def test_full_buckets(self) -> None:
        """A new leader that starts with full buckets gives a second burst."""
        found = owner._find_bucket

        def find_full(*args: object) -> Bucket:
            account = args[1]
            kept = account in args[0].buckets  # type: ignore[attr-defined]
            bucket = found(*args)  # type: ignore[arg-type]
            if not kept:
                bucket.level = bucket.limit.burst
            return bucket

        with mock.patch.object(owner, '_find_bucket', find_full):
            self.assertTrue(_find_excess())

    def test_lease_counted_from_receipt(self) -> None:
        """An entry VM that counts from the answer uses expired tokens."""
        taken = TokenClient.take_tokens

        def take(
            client: TokenClient, given: TokensGiven, at: float
        ) -> list[Output]:
            ask = client._asks.get(given.number)
            if ask is not None:
                ask.expires_at += at - ask.sent_at
            return taken(client, given, at)

        with mock.patch.object(TokenClient, 'take_tokens', take):
            self.assertGreater(run_stale_answer().excess_grants, 0)

    def test_upgrade_refills(self) -> None:
        """A bucket that an upgrade fills is found by the naive bucket."""

        def fill(bucket: Bucket, limit: owner.Limit, at: float) -> None:
            bucket.settle(at)
            bucket.limit = limit
            bucket.level = limit.burst - bucket.outstanding

        with mock.patch.object(Bucket, 'change_limit', fill):
            self.assertRaises(
                AssertionError, ScheduleTest.test_plan_changes_0, self
            )


class LimiterTest(testtools.TestCase):
    """Guards against untruthful, late or missing answers."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet, self.recorder = make_fleet(1)
        self.fleet.run_until(BUCKETS_OPEN_S + 5)

    def _ask(self, vm: str, account: str, wait_s: float = 0.3) -> object:
        """Return the answer to a new request, None if there is none yet."""
        request = len(self.recorder.accounts)
        self.recorder.acquire(vm, account)
        self.fleet.run_until(self.fleet.now + wait_s)
        answers = {number: answer for _, number, answer in self.recorder.log}
        return answers.get(request)

    def test_granted(self) -> None:
        """A VM of another region gets a token from the home region."""
        self.assertIsInstance(self._ask('b0', 'small'), TokenGranted)

    def test_new_leader_waits(self) -> None:
        """No token while leases of the leader before may be in use."""
        self._ask('a3', 'small')
        self.fleet.handle('a0', events.StopRequested)
        stopped_at = self.fleet.now
        while not isinstance(self._ask('a3', 'small', 0.05), TokenGranted):
            self.assertLess(self.fleet.now, stopped_at + 5)
        self.assertGreater(self.fleet.now, stopped_at + 2)

    def test_owner_cut_off(self) -> None:
        """Without an owner the wait is short and the reason is named."""
        self.fleet.isolate('b0', hears=False, heard=True)
        denied = self._ask('b0', 'small', 0.25)
        self.assertIsInstance(denied, TokenDenied)
        self.assertEqual(denied.reason, RefusalReason.limit_owner_unreachable)

    def test_retry_after(self) -> None:
        """The advice is the time until the next token."""
        for _ in range(12):
            self._ask('a1', 'small', 0.01)
        denied = self._ask('a1', 'small', 0.01)
        self.assertEqual(denied.reason, RefusalReason.rate_exceeded)
        self.assertGreater(denied.retry_after_s, 0.2)
        self.assertLessEqual(denied.retry_after_s, 0.5)

    def test_owner_lacks_account(self) -> None:
        """An owner with an older configuration doesn't say rate exceeded."""
        new = Account('new', 'small', 'a')
        accounts = {**self.fleet.configuration.accounts, 'new': new}
        self.fleet.configuration = attrs.evolve(
            self.fleet.configuration, accounts=accounts
        )
        self.fleet.configure('b0')
        self.recorder.acquire('b0', 'new')
        self.fleet.run_until(self.fleet.now + 0.3)
        denied = self.recorder.log[-1][2]
        self.assertEqual(denied.reason, RefusalReason.limit_owner_unreachable)
        self.assertEqual(
            self._ask('a3', 'new').reason, RefusalReason.account_unknown
        )

    def test_cancel(self) -> None:
        """A cancelled request gets no answer; its token goes back."""
        self.recorder.acquire('b0', 'small')
        self.fleet.call('b0', lambda vm: vm.parts[1].cancel(0, 0))
        self.fleet.run_until(self.fleet.now + 1)
        self.assertEqual(self.recorder.log, [])
        for _ in range(12):
            self.assertIsInstance(self._ask('a1', 'small', 0.01), TokenGranted)

    def test_stop_returns_blocks(self) -> None:
        """A stopping VM returns its block, so that others can use it."""
        for _ in range(20):
            self._ask('b0', 'large', 0.05)
        sent = len(self.fleet.sent)
        self.fleet.handle('b0', events.StopRequested)
        reported = [
            output.message
            for output in self.fleet.sent[sent:]
            if type(output.message).__name__ == 'TokensReported'
        ]
        self.assertTrue(reported)

    def test_idle_state_is_dropped(self) -> None:
        """Memory must not grow with all accounts that were ever used."""
        send_load(self.fleet, self.recorder, {'large': 60}, self.fleet.now + 3)
        self.fleet.run_until(self.fleet.now + 20)
        for vm in self.fleet.vms.values():
            self.assertEqual(vm.parts[1].count_state(), (0, 0))


def _with_plan(before: Configuration, rate: float, burst: int) -> Configuration:
    plan = attrs.evolve(PLANS[2], rate=rate, burst=burst)
    return attrs.evolve(before, plans={**before.plans, 'large': plan})


def _find_excess() -> bool:
    """Return whether any seed has an excess; stops at the first."""
    run: Callable[[int], object] = run_faulty
    return any(run(seed).excess_grants for seed in range(_FAULT_SEEDS))


__all__ = ('Recorder',)
