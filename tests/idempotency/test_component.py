"""Tests of claims over several simulated VMs."""

from __future__ import annotations

from unittest import mock

import attrs
import testtools
from parameterized import parameterized

from cranberryseam.core.events import StoredAnswer
from cranberryseam.core.notices import (
    ClaimGranted,
    ClaimRefused,
    ClaimReplayed,
    Notice,
)
from cranberryseam.core.refusals import Executed, RefusalReason
from cranberryseam.idempotency import table
from cranberryseam.types import AccountId, RequestId
from tests.ownership.fleet import BUCKETS_OPEN_S

from .schedules import (
    make_fleet,
)

_ANSWER = StoredAnswer(201, ((b'x', b'y'),), b'done')


class ClaimsTest(testtools.TestCase):
    """Guards against wrong answers to duplicates."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet, self.callers = make_fleet(1)
        self.callers.runs_requests = False
        self.fleet.run_until(BUCKETS_OPEN_S)

    def _send(self, vm: str, key: str, wait_s: float = 0.1) -> int:
        number = self.callers.send(vm, 'one', key)
        self.fleet.run_until(self.fleet.now + wait_s)
        return number

    def _answer_to(self, number: int) -> Notice | None:
        answers = self.callers.requests[number].answers
        return answers[-1] if answers else None

    def _complete(
        self,
        vm: str,
        number: int,
        answer: StoredAnswer | None,
        executed: Executed,
    ) -> None:
        self.fleet.call(
            vm,
            lambda current: current.components[2].complete(
                RequestId(number),
                answer,
                executed,
                current.local_time(self.fleet.now),
            ),
        )
        self.fleet.run_until(self.fleet.now + 0.3)

    @parameterized.expand(
        [
            ('kept', _ANSWER, Executed.yes, None, None),
            ('not_kept', None, Executed.yes, 'answer_not_kept', Executed.yes),
            (
                'unknown',
                None,
                Executed.unknown,
                'duplicate_outcome_unknown',
                Executed.unknown,
            ),
        ]
    )
    def test_outcome(
        self,
        _name: str,
        answer: StoredAnswer | None,
        executed: Executed,
        reason: str | None,
        refused: Executed | None,
    ) -> None:
        """Waiting and later duplicates get the outcome of the first request."""
        first = self._send('a3', 'k')
        waiting = self._send('b0', 'k')
        self.assertIsInstance(self._answer_to(first), ClaimGranted)
        self.assertIsNone(self._answer_to(waiting))
        self._complete('a3', first, answer, executed)
        later = self._send('a2', 'k')
        for number in (waiting, later):
            notice = self._answer_to(number)
            if reason is None:
                self.assertIsInstance(notice, ClaimReplayed)
                self.assertEqual(notice.answer, _ANSWER)
            else:
                self.assertEqual(
                    (notice.reason.value, notice.ran), (reason, refused)
                )

    def test_released(self) -> None:
        """After a request that did not run, one waiting duplicate runs."""
        first = self._send('a3', 'k')
        waiting = [self._send(vm, 'k') for vm in ('b0', 'b1', 'a1')]
        self._complete('a3', first, None, Executed.no)
        answers = [self._answer_to(number) for number in waiting]
        self.assertIsInstance(answers[0], ClaimGranted)
        self.assertEqual(answers[1:], [None, None])

    def test_waits_are_bounded(self) -> None:
        """A duplicate of a request that never ends waits a bounded time."""
        self._send('a3', 'k')
        waiting = self._send('b0', 'k', 3.2)
        notice = self._answer_to(waiting)
        self.assertEqual(notice.reason, RefusalReason.duplicate_in_progress)
        self.assertEqual(notice.ran, Executed.unknown)

    def test_entry_dies(self) -> None:
        """If a VM is lost after a grant, the outcome of the key is unknown."""
        self._send('a3', 'k')
        self.fleet.restart('a3')
        self.fleet.run_until(self.fleet.now + 61)
        notice = self._answer_to(self._send('b0', 'k'))
        self.assertEqual(notice.reason, RefusalReason.duplicate_outcome_unknown)

    def test_key_reused(self) -> None:
        """Another request under the same key is refused, not replayed."""
        first = self._send('a3', 'k')
        self._complete('a3', first, _ANSWER, Executed.yes)
        self.fleet.call(
            'a3',
            lambda vm: vm.components[2].claim(
                RequestId(first),
                AccountId('one'),
                'k',
                b'other',
                vm.local_time(self.fleet.now),
            ),
        )
        self.fleet.run_until(self.fleet.now + 0.1)
        notice = self._answer_to(first)
        self.assertEqual(notice.reason, RefusalReason.idempotency_key_reused)
        self.assertEqual(notice.ran, Executed.no)

    def test_lost_grant(self) -> None:
        """A lost grant is repeated to the same request."""
        self._send('a3', 'other')
        self.fleet.cut('a0', 'a3')
        first = self._send('a3', 'k', 0.4)
        self.assertIsNone(self._answer_to(first))
        self.fleet.heal()
        self.fleet.run_until(self.fleet.now + 0.5)
        self.assertIsInstance(self._answer_to(first), ClaimGranted)

    def test_late_grant(self) -> None:
        """A request granted after its refusal doesn't run; its key is freed."""
        self._send('a3', 'other')
        self.fleet.network.extra_delay_s['a0', 'a3'] = 2
        first = self._send('a3', 'k', 5)
        answers = self.callers.requests[first].answers
        self.assertEqual([type(notice) for notice in answers], [ClaimRefused])
        self.assertEqual(answers[0].ran, Executed.no)
        second = self._send('b0', 'k')
        self.assertIsInstance(self._answer_to(second), ClaimGranted)

    def test_frozen_entry(self) -> None:
        """A resumed VM doesn't use a grant that arrived while it was frozen."""
        self._send('a3', 'other')
        first = self._send('a3', 'k', 0)
        self.fleet.freeze('a3', 5)
        self.fleet.run_until(self.fleet.now + 6)
        self.assertIsInstance(self._answer_to(first), ClaimRefused)
        second = self._send('b0', 'k')
        self.assertIsInstance(self._answer_to(second), ClaimGranted)

    def test_owner_unreachable(self) -> None:
        """Requests don't run while the owner is unreachable."""
        self.fleet.isolate('b0', receives=False, sends=True)
        notice = self._answer_to(self._send('b0', 'k', 1.3))
        self.assertEqual(notice.reason, RefusalReason.claim_owner_unreachable)
        self.assertEqual(notice.ran, Executed.no)

    def test_leader_change(self) -> None:
        """A new leader has the records of the previous one."""
        first = self._send('a3', 'k')
        self._complete('a3', first, _ANSWER, Executed.yes)
        self.fleet.restart('a0', 30)
        self.fleet.run_until(self.fleet.now + 10)
        notice = self._answer_to(self._send('b0', 'k'))
        self.assertIsInstance(notice, ClaimReplayed)

    def test_restarted_member_catches_up(self) -> None:
        """No record is lost when members restart one after another."""
        first = self._send('a3', 'k')
        self._complete('a3', first, _ANSWER, Executed.yes)
        for name in ('a2', 'a1', 'a0', 'a2', 'a1', 'a0'):
            self.fleet.restart(name)
            self.fleet.run_until(self.fleet.now + 15)
        notice = self._answer_to(self._send('b0', 'k'))
        self.assertIsInstance(notice, ClaimReplayed)

    def test_blank_group(self) -> None:
        """A group that lost its records refuses claims until they expired."""
        for name in ('a0', 'a1', 'a2'):
            self.fleet.restart(name)
        self.fleet.run_until(self.fleet.now + 20)
        notice = self._answer_to(self._send('b0', 'k', 1.5))
        self.assertEqual(notice.reason, RefusalReason.claim_owner_unreachable)
        self.fleet.run_until(self.fleet.now + 640)
        notice = self._answer_to(self._send('b0', 'k', 1.5))
        self.assertIsInstance(notice, ClaimGranted)

    def test_moved_account(self) -> None:
        """The new home refuses claims until records in the old one expired."""
        first = self._send('a3', 'k')
        self._complete('a3', first, _ANSWER, Executed.yes)
        before = self.fleet.configuration
        moved = attrs.evolve(before.accounts['one'], home='b')
        accounts = {**before.accounts, 'one': moved}
        self.fleet.change(attrs.evolve(before, accounts=accounts), 1)
        self.fleet.run_until(self.fleet.now + 2)
        notice = self._answer_to(self._send('a3', 'k', 1.5))
        self.assertEqual(notice.reason, RefusalReason.claim_owner_unreachable)
        self.fleet.run_until(self.fleet.now + 640)
        notice = self._answer_to(self._send('a3', 'k2', 1.5))
        self.assertIsInstance(notice, ClaimGranted)

    def test_table_full(self) -> None:
        """A full table refuses new claims and keeps existing ones."""
        self._send('a3', 'k')
        with mock.patch.object(table, 'MOST_ACCOUNT_RECORDS', 1):
            notice = self._answer_to(self._send('a3', 'k2'))
        self.assertEqual(notice.reason, RefusalReason.claim_table_full)
        self.assertEqual(notice.ran, Executed.no)

    def test_large_answer(self) -> None:
        """An answer that is too large is reported as run but not kept."""
        first = self._send('a3', 'k')
        large = StoredAnswer(200, (), bytes(1000))
        with mock.patch.object(table, 'MOST_ACCOUNT_BYTES', 1000):
            self._complete('a3', first, large, Executed.yes)
        notice = self._answer_to(self._send('b0', 'k'))
        self.assertEqual(notice.reason, RefusalReason.answer_not_kept)

    def test_records_expire(self) -> None:
        """Records must not stay in memory after they expired."""
        first = self._send('a3', 'k')
        self._complete('a3', first, _ANSWER, Executed.yes)
        self.fleet.run_until(self.fleet.now + 620)
        for vm in self.fleet.vms.values():
            self.assertEqual(vm.components[2].count_records(), (0, 0))
