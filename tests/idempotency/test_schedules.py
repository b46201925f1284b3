"""Tests of claims under faults, against a naive set of executions."""

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

# The full count is in benchmarks/claim_schedules.py.
_SEEDS = 25
_FAULT_SEEDS = 60


class ScheduleTest(testtools.TestCase):
    """Guards against a second execution under one key."""

    @parameterized.expand([(first,) for first in range(0, _SEEDS, 5)])
    def test_faulty(self, first: int) -> None:
        """No fault leads to a second grant or to an untrue answer."""
        for seed in range(first, first + 5):
            callers = run_faulty(seed)
            self.assertEqual(_count_wrong(callers), 0, seed)
            self.assertEqual(count_unanswered(callers), 0, seed)

    def test_healthy(self) -> None:
        """Without faults every request is answered from its first run."""
        callers = run_healthy(1)
        self.assertEqual(_count_wrong(callers), 0)
        self.assertNotIn('claim_owner_unreachable', callers.verdicts)
        self.assertGreater(callers.verdicts['replayed'], 50)
        self.assertTrue(
            all(len(sent.answers) == 1 for sent in callers.requests.values())
        )

    def test_members_lost_in_turn(self) -> None:
        """The members that hold a record are lost, the third lacks it."""
        self.assertEqual(_lose_record_holders(), 0)

    def test_lone_leader_lost(self) -> None:
        """A leader that can't replicate grants nothing before it is lost."""
        self.assertEqual(_lose_lone_leader(), 0)


class FaultTest(testtools.TestCase):
    """Shows that the tests above find known faults."""

    def test_grant_before_replication(self) -> None:
        """A claim that only the leader has is lost with it."""
        stored = owner.ClaimOwner._store

        def store(
            claims: owner.ClaimOwner,
            record: Record,
            holder: owner.Claimant,
            at: float,
        ) -> list[Output]:
            outputs = stored(claims, record, holder, at)
            if record.state == State.pending:
                outputs.append(owner._answer(holder, Verdict.granted))
            return outputs

        with mock.patch.object(owner.ClaimOwner, '_store', store):
            self.assertGreater(_lose_lone_leader(), 0)

    def test_blank_member_votes(self) -> None:
        """A blank member says "no record" of a key that has run."""
        with mock.patch.object(Replica, 'is_blank', lambda *_: False):
            self.assertGreater(_lose_record_holders(), 0)

    def test_late_grant_always_released(self) -> None:
        """A repeated grant of a request that ran must not free its key."""

        def refuse(
            client: ClaimClient, answered: ClaimAnswered, at: float
        ) -> list[Output]:
            claim = claims.get((answered.run, answered.number))
            if claim is None or answered.verdict != Verdict.granted:
                return []
            return client._finish(claim, State.released, at)

        def send(client: ClaimClient, claim: object, at: float) -> list[Output]:
            claims[claim.asked.run, claim.asked.number] = claim  # type: ignore
            return sent(client, claim, at)  # type: ignore[arg-type]

        claims: dict[tuple[int, int], object] = {}
        sent = ClaimClient._send_ask
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
    """Return whether any seed goes wrong; stops at the first."""
    return any(_count_wrong(run_faulty(seed)) for seed in range(_FAULT_SEEDS))


def _lose_lone_leader() -> int:
    """Lose a leader that was mute to its group; return second grants."""
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
    """Restart the two members that have a record; return second grants."""
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
