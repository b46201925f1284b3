"""Tests of rate limits over several simulated VMs."""

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
    inject_faults,
    make_fleet,
    run_faulty,
    run_healthy,
    run_stale_answer,
    send_load,
    sum_results,
)

# benchmarks/limits_schedules.py runs more seeds.
_SEEDS = 50
_FAULT_SEEDS = 90
_IN_RATE = {'small': 1.5, 'large': 14.0, 'shared': 12.0, 'remote': 7.0}


class ScheduleTest(testtools.TestCase):
    """Guards against more grants than one bucket would give."""

    @parameterized.expand([(first,) for first in range(0, _SEEDS, 10)])
    def test_faulty(self, first: int) -> None:
        """No fault lets the fleet exceed burst + rate * t in any interval."""
        results = [run_faulty(seed) for seed in range(first, first + 10)]
        totals = sum_results(results)
        self.assertEqual(totals['excess'], 0, totals)
        self.assertEqual(totals['unanswered'], 0, totals)

    def test_stale_answer(self) -> None:
        """A resumed VM doesn't use tokens whose lease expired meanwhile."""
        result = run_stale_answer()
        self.assertEqual(
            (result.excess_grants, result.granted['small']), (0, 13)
        )

    @parameterized.expand([('in_rate', 14.0), ('one_tenant_5x', 100.0)])
    def test_healthy(self, _name: str, large: float) -> None:
        """Accounts within their rate are served while another exceeds it."""
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
        """A raised plan doesn't refill buckets; a lowered one is enforced."""
        fleet, recorder = make_fleet(seed)
        fleet.run_until(BUCKETS_OPEN_S + 4)
        start = fleet.now
        fleet.network.loss = 0.05
        fleet.network.long_delay = 0.05
        send_load(fleet, recorder, {'large': 150}, start + 14)
        if seed % 2:
            inject_faults(fleet, start + 14)
        fleet.run_until(start + 3)
        fleet.change(_with_plan(fleet.configuration, 80, 300), 1)
        fleet.run_until(start + 7)
        fleet.change(_with_plan(fleet.configuration, 5, 5), 1)
        fleet.run_until(start + 15)
        changes = [
            (start + 3, 'large', 80.0, 300.0),
            # In force after 1 s; earlier leases last another 2.1 s.
            (start + 10.2, 'large', 5.0, 5.0),
        ]
        result = recorder.check_answers(changes)
        self.assertEqual(result.excess_grants, 0)
        self.assertGreater(result.granted['large'], 0)


class FaultTest(testtools.TestCase):
    """Checks that the simulations detect known faults."""

    def test_full_buckets(self) -> None:
        """A new leader that starts with full buckets grants a second burst."""
        original_find = owner.BucketOwner._find_bucket

        def find_full(*args: object) -> Bucket:
            account = args[2]
            kept = account in args[1].buckets  # type: ignore[attr-defined]
            bucket = original_find(*args)  # type: ignore[arg-type]
            if not kept:
                bucket.level = bucket.limit.burst
            return bucket

        with mock.patch.object(owner.BucketOwner, '_find_bucket', find_full):
            self.assertTrue(_find_excess())

    def test_lease_counted_from_receipt(self) -> None:
        """An entry VM that starts leases at the answer uses expired tokens."""
        original_receive = TokenClient.take_tokens

        def receive(
            client: TokenClient, answer: TokensGiven, at: float
        ) -> list[Output]:
            token_request = client._token_requests.get(answer.number)
            if token_request is not None:
                token_request.expires_at += at - token_request.sent_at
            return original_receive(client, answer, at)

        with mock.patch.object(TokenClient, 'take_tokens', receive):
            self.assertGreater(run_stale_answer().excess_grants, 0)

    def test_upgrade_refills(self) -> None:
        """A raised plan that refills the bucket grants too many tokens."""

        def fill(bucket: Bucket, limit: owner.Limit, at: float) -> None:
            bucket.advance(at)
            bucket.limit = limit
            bucket.level = limit.burst - bucket.outstanding

        with mock.patch.object(Bucket, 'change_limit', fill):
            self.assertRaises(
                AssertionError, ScheduleTest.test_plan_changes_0, self
            )


class LimiterTest(testtools.TestCase):
    """Guards against wrong, late or missing answers."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet, self.recorder = make_fleet(1)
        self.fleet.run_until(BUCKETS_OPEN_S + 5)

    def _send_request(
        self, vm: str, account: str, wait_s: float = 0.3
    ) -> object:
        """Send a request; return its answer, None if there is none yet."""
        request = len(self.recorder.accounts)
        self.recorder.acquire(vm, account)
        self.fleet.run_until(self.fleet.now + wait_s)
        answers = {number: answer for _, number, answer in self.recorder.log}
        return answers.get(request)

    def test_granted(self) -> None:
        """A VM of another region gets tokens from the home region."""
        self.assertIsInstance(self._send_request('b0', 'small'), TokenGranted)

    def test_new_leader_waits(self) -> None:
        """No token while leases of the previous leader may be in use."""
        self._send_request('a3', 'small')
        self.fleet.handle('a0', events.StopRequested)
        stopped_at = self.fleet.now
        while not isinstance(
            self._send_request('a3', 'small', 0.05), TokenGranted
        ):
            self.assertLess(self.fleet.now, stopped_at + 5)
        self.assertGreater(self.fleet.now, stopped_at + 2)

    def test_owner_cut_off(self) -> None:
        """An unreachable owner leads to an early denial with that reason."""
        self.fleet.isolate('b0', receives=False, sends=True)
        denied = self._send_request('b0', 'small', 0.25)
        self.assertIsInstance(denied, TokenDenied)
        self.assertEqual(denied.reason, RefusalReason.limit_owner_unreachable)

    def test_retry_after(self) -> None:
        """``retry_after_s`` is the time until the next token."""
        for _ in range(12):
            self._send_request('a1', 'small', 0.01)
        denied = self._send_request('a1', 'small', 0.01)
        self.assertEqual(denied.reason, RefusalReason.rate_exceeded)
        self.assertGreater(denied.retry_after_s, 0.2)
        self.assertLessEqual(denied.retry_after_s, 0.5)

    def test_owner_lacks_account(self) -> None:
        """An owner that lacks the account doesn't deny for exceeded rate."""
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
            self._send_request('a3', 'new').reason,
            RefusalReason.account_unknown,
        )

    def test_cancel(self) -> None:
        """A cancelled request gets no answer and uses no token."""
        self.recorder.acquire('b0', 'small')
        self.fleet.call('b0', lambda vm: vm.components[1].cancel(0, 0))
        self.fleet.run_until(self.fleet.now + 1)
        self.assertEqual(self.recorder.log, [])
        for _ in range(12):
            self.assertIsInstance(
                self._send_request('a1', 'small', 0.01), TokenGranted
            )

    def test_stop_returns_blocks(self) -> None:
        """A stopping VM returns its block for use by other VMs."""
        for _ in range(20):
            self._send_request('b0', 'large', 0.05)
        sent = len(self.fleet.sent)
        self.fleet.handle('b0', events.StopRequested)
        reports = [
            output.message
            for output in self.fleet.sent[sent:]
            if type(output.message).__name__ == 'TokensReported'
        ]
        self.assertTrue(reports)

    def test_idle_state_is_dropped(self) -> None:
        """Memory must not grow with the number of accounts ever used."""
        send_load(self.fleet, self.recorder, {'large': 60}, self.fleet.now + 3)
        self.fleet.run_until(self.fleet.now + 20)
        for vm in self.fleet.vms.values():
            self.assertEqual(vm.components[1].count_state(), (0, 0))


def _with_plan(before: Configuration, rate: float, burst: int) -> Configuration:
    plan = attrs.evolve(PLANS[2], rate=rate, burst=burst)
    return attrs.evolve(before, plans={**before.plans, 'large': plan})


def _find_excess() -> bool:
    """Return whether any seed has excess grants; stops at the first."""
    run: Callable[[int], object] = run_faulty
    return any(run(seed).excess_grants for seed in range(_FAULT_SEEDS))


__all__ = ('Recorder',)
