"""Tests of claims in simulations with faults."""

from __future__ import annotations

from unittest import mock

import testtools
from parameterized import parameterized

from cranberryseam.idempotency import owner
from cranberryseam.idempotency.entry import ClaimClient
from cranberryseam.idempotency.messages import ClaimAnswered
from cranberryseam.idempotency.records import Record, State, Verdict
from cranberryseam.idempotency.replica import Replica
from cranberryseam.types import Output
from tests.ownership.fleet import BUCKETS_OPEN_S

from .schedules import (
    Callers,
    count_unanswered,
    make_fleet,
    run_faulty,
    run_healthy,
)

# benchmarks/claim_schedules.py runs more seeds.
_SEEDS = 25
_FAULT_SEEDS = 60


class ScheduleTest(testtools.TestCase):
    """Guards against a second execution under one key."""

    @parameterized.expand([(first,) for first in range(0, _SEEDS, 5)])
    def test_faulty(self, first: int) -> None:
        """No fault leads to a duplicate grant or to a wrong answer."""
        for seed in range(first, first + 5):
            callers = run_faulty(seed)
            self.assertEqual(_count_wrong(callers), 0, seed)
            self.assertEqual(count_unanswered(callers), 0, seed)

    def test_healthy(self) -> None:
        """Without faults each request gets one answer, from the first run."""
        callers = run_healthy(1)
        self.assertEqual(_count_wrong(callers), 0)
        self.assertNotIn('claim_owner_unreachable', callers.verdicts)
        self.assertGreater(callers.verdicts['replayed'], 50)
        self.assertTrue(
            all(
                len(sent_request.answers) == 1
                for sent_request in callers.requests.values()
            )
        )

    def test_members_lost_in_turn(self) -> None:
        """Loss of both members with a record must not lead to a second run."""
        self.assertEqual(_lose_record_holders(), 0)

    def test_lone_leader_lost(self) -> None:
        """A leader that can't replicate grants no claim before it is lost."""
        self.assertEqual(_lose_lone_leader(), 0)


class FaultTest(testtools.TestCase):
    """Checks that the tests above detect known faults."""

    def test_grant_before_replication(self) -> None:
        """A grant stored only on the leader is lost with it."""
        original_store = owner.ClaimOwner._store

        def store(
            claims: owner.ClaimOwner,
            record: Record,
            holder: owner.Claimant,
            at: float,
        ) -> list[Output]:
            outputs = original_store(claims, record, holder, at)
            if record.state == State.pending:
                outputs.append(owner._answer(holder, Verdict.granted))
            return outputs

        with mock.patch.object(owner.ClaimOwner, '_store', store):
            self.assertGreater(_lose_lone_leader(), 0)

    def test_blank_member_votes(self) -> None:
        """A blank member that is read has no record of a key that has run."""
        with mock.patch.object(Replica, 'is_blank', lambda *_: False):
            self.assertGreater(_lose_record_holders(), 0)

    def test_late_grant_always_released(self) -> None:
        """A release on any repeated grant frees keys of completed requests."""

        def refuse(
            client: ClaimClient, answered: ClaimAnswered, at: float
        ) -> list[Output]:
            claim = claims.get((answered.run, answered.number))
            if claim is None or answered.verdict != Verdict.granted:
                return []
            return client._report_outcome(claim, State.released, at)

        def send(client: ClaimClient, claim: object, at: float) -> list[Output]:
            claims[claim.request.run, claim.request.number] = claim  # type: ignore
            return original_send(client, claim, at)  # type: ignore[arg-type]

        claims: dict[tuple[int, int], object] = {}
        original_send = ClaimClient._send_ask
        with (
            mock.patch.object(ClaimClient, '_refuse_late_grant', refuse),
            mock.patch.object(ClaimClient, '_send_ask', send),
        ):
            self.assertTrue(_find_wrong())


def _count_wrong(callers: Callers) -> int:
    return (
        callers.duplicate_grants
        + callers.duplicate_runs
        + callers.wrong_answers
    )


def _find_wrong() -> bool:
    """Return whether any seed has a wrong result; stops at the first."""
    return any(_count_wrong(run_faulty(seed)) for seed in range(_FAULT_SEEDS))


def _lose_lone_leader() -> int:
    """Lose a leader cut off from its group; return duplicate grants."""
    fleet, callers = make_fleet(2)
    fleet.run_until(BUCKETS_OPEN_S)
    callers.send('b0', 'one', 'other')
    fleet.run_until(fleet.now + 1)
    for member in ('a1', 'a2'):
        fleet.cut('a0', member)
    callers.send('b0', 'one', 'k')
    fleet.run_until(fleet.now + 1)
    fleet.restart('a0', 30)
    fleet.run_until(fleet.now + 12)
    callers.send('b0', 'one', 'k')
    fleet.run_until(fleet.now + 1)
    return callers.duplicate_grants


def _lose_record_holders() -> int:
    """Restart both members with a record; return duplicate grants."""
    fleet, callers = make_fleet(2)
    fleet.run_until(BUCKETS_OPEN_S)
    fleet.cut('a0', 'a2')
    for _ in range(2):
        callers.send('b0', 'one', 'k')
        fleet.run_until(fleet.now + 1)
        fleet.heal()
        fleet.restart('a0')
        fleet.restart('a1')
        fleet.run_until(fleet.now + 12)
    return callers.duplicate_grants
