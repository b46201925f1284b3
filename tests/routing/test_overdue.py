"""Tests of overdue attempts (pattern: targets that hang or are slow)."""

from __future__ import annotations

import random

from parameterized import parameterized
from testtools import TestCase

from cranberryseam.configuration.settings import (
    Addresses,
    Settings,
    VmSettings,
)
from cranberryseam.core.effects import SendMessage
from cranberryseam.core.events import Started, TimerFired
from cranberryseam.core.notices import SlotAssigned, TargetChanged
from cranberryseam.routing import (
    ATTACHED_TUNING,
    AdmitRequest,
    AttemptOutcome,
    Router,
)
from cranberryseam.routing.health import Evidence
from cranberryseam.routing.messages import HealthSeen
from cranberryseam.types import AccountId, RequestId, ServiceName, VmId
from tests.attachment.attached_fleet import make_announcement

REQUEST = RequestId(1)
OBJECTIVE_S = 1.0
Outcome = AttemptOutcome


class _OtherLeader:
    """Leader lookup in which ``c1``, another VM, leads all services."""

    def leader_of(self, region: str, shard_key: str) -> VmId:
        return VmId('c1')

    def is_leader(self, region: str, shard_key: str, at: float) -> bool:
        return False


def _build() -> Router:
    settings = Settings(
        VmSettings('e1', 'fleet', 'dc-1'), Addresses(''), ('fleet',)
    )
    router = Router(settings, _OtherLeader(), random.Random(1), ATTACHED_TUNING)
    router.handle(Started(0, 0))
    router.handle(TargetChanged(0, make_announcement()))
    return router


def _admit(router: Router, at: float) -> None:
    request = AdmitRequest(
        REQUEST,
        ServiceName('katalogi'),
        AccountId('asha'),
        weight=1,
        lane='interactive',
        deadline_at=at + 10,
        retriable=False,
        objective_s=OBJECTIVE_S,
    )
    (assigned,) = router.admit(request, at)
    assert isinstance(assigned, SlotAssigned)


def _reported_evidence(outputs: list[object]) -> list[Evidence]:
    return [
        Evidence(output.message.evidence)
        for output in outputs
        if isinstance(output, SendMessage)
        and isinstance(output.message, HealthSeen)
    ]


class OverdueTest(TestCase):
    """An overdue attempt is reported once, before its request ends."""

    def test_hanging_target_is_reported_before_the_deadline(self) -> None:
        """Guards against a hanging target reported only at the deadline."""
        router = _build()
        _admit(router, 1)
        tick = TimerFired(2.2, 'routing', 'tick')
        self.assertEqual(
            _reported_evidence(router.handle(tick)), [Evidence.unresponsive]
        )
        again = TimerFired(2.7, 'routing', 'tick')
        self.assertEqual(_reported_evidence(router.handle(again)), [])

    @parameterized.expand(
        [
            ('in time', Outcome.succeeded, 0.5, []),
            ('late', Outcome.succeeded, 1.5, [Evidence.unresponsive]),
            ('late failure', Outcome.failed, 1.5, [Evidence.failure]),
            ('short deadline', Outcome.timed_out, 0.2, []),
            ('caller left early', Outcome.cancelled, 0.2, []),
            (
                'caller left late',
                Outcome.cancelled,
                1.5,
                [Evidence.unresponsive],
            ),
        ]
    )
    def test_outcome(
        self, _: str, outcome: Outcome, elapsed_s: float, seen: list[Evidence]
    ) -> None:
        """Guards against evidence from short deadlines and early cancels."""
        router = _build()
        _admit(router, 1)
        outputs = router.release(REQUEST, outcome, 1 + elapsed_s, elapsed_s)
        self.assertEqual(_reported_evidence(outputs), seen)
