"""Tests of idle limits (pattern: targets drop idle connections silently)."""

from __future__ import annotations

import math

from testtools import TestCase

from cranberryseam.core.effects import SendMessage
from cranberryseam.core.notices import SlotAssigned
from cranberryseam.routing import AttemptOutcome
from cranberryseam.routing.idle_limits import (
    RESTRICTED_IDLE_S,
    RESTRICTION_S,
    IdleLimits,
)
from cranberryseam.routing.messages import IdleClosed
from cranberryseam.types import ServiceName, VmId

from .test_health import _LeaderStub
from .test_overdue import REQUEST, _admit, _build

SERVICE = ServiceName('katalogi')


class IdleTest(TestCase):
    """Guards against losing a request at each VM in turn on connections that
    targets have closed without notice.
    """

    def _leader(self) -> IdleLimits:
        leader = IdleLimits('fleet', _LeaderStub())
        leader.add_vm(VmId('e1'))
        leader.add_vm(VmId('e2'))
        return leader

    def test_one_loss_restricts_all_vms(self) -> None:
        seen = IdleLimits('fleet', _LeaderStub())
        other = IdleLimits('fleet', _LeaderStub())
        (report,) = seen.report_closed(SERVICE, 5)
        broadcasts = self._leader().receive(report.message, 5.03)
        self.assertEqual({'e1', 'e2'}, {one.to for one in broadcasts})
        other.receive(broadcasts[0].message, 5.06)
        for vm in (seen, other):
            self.assertEqual(RESTRICTED_IDLE_S, vm.max_idle_s(SERVICE, 6))
            self.assertEqual(math.inf, vm.max_idle_s('other', 6))

    def test_restriction_ends(self) -> None:
        vm = self._leader()
        vm.report_closed(SERVICE, 5)
        self.assertEqual(math.inf, vm.max_idle_s(SERVICE, 5 + RESTRICTION_S))

    def test_many_losses_need_few_broadcasts(self) -> None:
        """Guards against a broadcast for each lost request."""
        leader = self._leader()
        closed = IdleClosed(SERVICE)
        broadcasts = [
            leader.receive(closed, 5 + step / 10) for step in range(15)
        ]
        self.assertEqual(2, sum(len(one) for one in broadcasts))

    def test_the_target_is_not_blamed(self) -> None:
        """Guards against healthy targets that are treated as failing."""
        router = _build()
        _admit(router, 1)
        outputs = router.release(REQUEST, AttemptOutcome.closed_idle, 1.01)
        reports = [out for out in outputs if isinstance(out, SendMessage)]
        self.assertIn(IdleClosed(SERVICE), [one.message for one in reports])
        target = router._services.find(SERVICE).targets['t1']
        self.assertLess(target.failure_probability(1.01), 0.3)
        self.assertNotIsInstance(outputs[0], SlotAssigned)
