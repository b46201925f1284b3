"""Idle connections (pattern: targets that forget them without notice)."""

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

from .test_health import _Led
from .test_overdue import REQUEST, _admit, _build

SERVICE = ServiceName('katalogi')


class IdleTest(TestCase):
    """Guards against requests that are lost one after the other at each VM,
    on connections that targets have forgotten.
    """

    def _leader(self) -> IdleLimits:
        leader = IdleLimits('fleet', _Led())
        leader.add_vm(VmId('e1'))
        leader.add_vm(VmId('e2'))
        return leader

    def test_one_loss_warns_all(self) -> None:
        seen = IdleLimits('fleet', _Led())
        other = IdleLimits('fleet', _Led())
        (report,) = seen.report_closed(SERVICE, 5)
        told = self._leader().receive(report.message, 5.03)
        self.assertEqual({'e1', 'e2'}, {one.to for one in told})
        other.receive(told[0].message, 5.06)
        for vm in (seen, other):
            self.assertEqual(RESTRICTED_IDLE_S, vm.max_idle_s(SERVICE, 6))
            self.assertEqual(math.inf, vm.max_idle_s('other', 6))

    def test_trust_comes_back(self) -> None:
        vm = self._leader()
        vm.report_closed(SERVICE, 5)
        self.assertEqual(math.inf, vm.max_idle_s(SERVICE, 5 + RESTRICTION_S))

    def test_many_losses_cost_one_message(self) -> None:
        """Guards against a message to all VMs for each lost request."""
        leader = self._leader()
        closed = IdleClosed(SERVICE)
        told = [leader.receive(closed, 5 + step / 10) for step in range(15)]
        self.assertEqual(2, sum(len(one) for one in told))

    def test_the_target_is_not_blamed(self) -> None:
        """Guards against sound targets that are avoided as failing ones."""
        router = _build()
        _admit(router, 1)
        outputs = router.release(REQUEST, AttemptOutcome.closed_idle, 1.01)
        reports = [out for out in outputs if isinstance(out, SendMessage)]
        self.assertIn(IdleClosed(SERVICE), [one.message for one in reports])
        target = router._services.find(SERVICE).targets['t1']
        self.assertLess(target.failure_chance(1.01), 0.3)
        self.assertNotIsInstance(outputs[0], SlotAssigned)
