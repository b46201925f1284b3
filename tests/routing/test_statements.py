"""Tests of what targets say of themselves, in each choice of a target."""

from __future__ import annotations

import attrs
from parameterized import parameterized
from testtools import TestCase

from cranberryseam.core.effects import SendMessage
from cranberryseam.core.events import (
    MessageReceived,
    TargetStatement,
)
from cranberryseam.core.notices import (
    FleetSizeChanged,
    SlotAssigned,
    SlotDenied,
    TargetChanged,
)
from cranberryseam.routing import Router
from cranberryseam.routing.messages import ServiceView, TargetStated
from cranberryseam.routing.model import ATTACHED_TUNING, Tuning
from cranberryseam.routing.target import hash_name

from .routing_support import announce, create_router, make_request

_LEAVING = TargetStatement(leaving=True)
_PAUSE_S = 4.0
_PAUSE = TargetStatement(pause_s=_PAUSE_S)
_TUNINGS = (('own', Tuning()), ('attached', ATTACHED_TUNING))
_REQUESTS = 60
_FAR = 1000.0


def _build(tuning: Tuning, *names: str, born_ms: int = 5) -> Router:
    announcements = [
        attrs.evolve(announce(name), born_ms=born_ms) for name in names
    ]
    router = create_router(*announcements, vm='v1', tuning=tuning)
    router.handle(FleetSizeChanged(0, 4, 1))
    return router


def _offer_idle(router: Router, name: str, at: float) -> None:
    view = ServiceView('work', 'r', 1, at, (), (), 0, (hash_name(name),), 1000)
    router.handle(MessageReceived(at, 'v0', view))


def _choose(router: Router, way: str, number: int, at: float) -> set[str]:
    """Return the target that a request gets, released at once."""
    request = make_request(number, deadline_at=at + _FAR)
    if way == 'retry':
        request = attrs.evolve(request, attempt=2, excluded=frozenset(('t0',)))
    if way == 'idle':
        _offer_idle(router, 't1', at)
    if way == 'hedge':
        assigned = router.assign_now(request, at)
        outputs = [assigned] if assigned else []
    else:
        outputs = router.admit(request, at)
    names = {
        output.target for output in outputs if isinstance(output, SlotAssigned)
    }
    router.cancel(number, at)
    return names


class ChoiceTest(TestCase):
    """Ways in which a target is chosen."""

    @parameterized.expand(
        [
            (f'{name} {way} {said}', tuning, way, statement)
            for name, tuning in _TUNINGS
            for way in ('first', 'retry', 'hedge', 'idle')
            for said, statement in (('leaving', _LEAVING), ('pause', _PAUSE))
        ]
    )
    def test_avoided(
        self, _: str, tuning: Tuning, way: str, statement: TargetStatement
    ) -> None:
        """Guards against new requests at a target that wants none."""
        router = _build(tuning, 't0', 't1', 't2')
        before = [
            _choose(router, way, number, 1) for number in range(_REQUESTS)
        ]
        self.assertIn({'t1'}, before)
        router.record_statement('work', 't1', statement, 2)
        chosen = [
            _choose(router, way, number, 2.5)
            for number in range(_REQUESTS, 2 * _REQUESTS)
        ]
        self.assertNotIn({'t1'}, chosen)

    @parameterized.expand(_TUNINGS)
    def test_pause_ends(self, _: str, tuning: Tuning) -> None:
        """Guards against a target that is lost after its pause."""
        router = _build(tuning, 't1')
        router.record_statement('work', 't1', _PAUSE, 2)
        self.assertEqual(
            _choose(router, 'first', 1, 2 + _PAUSE_S - 0.01), set()
        )
        self.assertEqual(
            _choose(router, 'first', 2, 2 + _PAUSE_S + 0.01), {'t1'}
        )

    @parameterized.expand(_TUNINGS)
    def test_all_want_a_pause(self, _: str, tuning: Tuning) -> None:
        """Guards against a request that waits for its deadline in vain."""
        router = _build(tuning, 't1', 't2')
        router.record_statement('work', 't1', _PAUSE, 2)
        long_pause = TargetStatement(pause_s=2 * _PAUSE_S)
        router.record_statement('work', 't2', long_pause, 2)
        request = make_request(1, deadline_at=2 + _PAUSE_S / 2)
        (denied,) = router.admit(request, 2)
        self.assertIsInstance(denied, SlotDenied)
        self.assertAlmostEqual(denied.retry_after_s, _PAUSE_S)

    @parameterized.expand(_TUNINGS)
    def test_all_leave(self, _: str, tuning: Tuning) -> None:
        """Guards against a service without targets while all of them still
        serve, and against work for them afterwards.
        """
        router = _build(tuning, 't1', 't2')
        for name in ('t1', 't2'):
            router.record_statement('work', name, _LEAVING, 2)
        self.assertTrue(_choose(router, 'first', 1, 2.5))
        self.assertFalse(_choose(router, 'first', 2, 3.1))


class IncarnationTest(TestCase):
    """Starts of a target under the same name."""

    @parameterized.expand(
        [
            ('new start', 6, 1, {'t1'}),
            ('late announcement', 5, 9, set()),
            ('older start', 4, 9, set()),
        ]
    )
    def test_announced_again(
        self, _: str, born_ms: int, sequence: int, expected: set[str]
    ) -> None:
        """Guards against a late announcement that ends a departure, and
        against a new start that is taken for the one that left.
        """
        router = _build(ATTACHED_TUNING, 't1')
        for statement in (_LEAVING, TargetStatement(0.5), _PAUSE):
            router.record_statement('work', 't1', statement, 2)
        again = attrs.evolve(announce('t1'), born_ms=born_ms, sequence=sequence)
        router.handle(TargetChanged(4, again))
        self.assertEqual(_choose(router, 'first', 1, 4), expected)


class SharingTest(TestCase):
    """Statements that reach the other VMs through the leader."""

    def _stated(self, **changes: object) -> TargetStated:
        fields = {'leaving': True, 'born_ms': 5, **changes}
        return TargetStated('work', 't1', None, **fields)

    def test_first_vm_informs_the_leader(self) -> None:
        """Guards against VMs that each have to find out for themselves."""
        router = _build(ATTACHED_TUNING, 't1', 't2')
        outputs = router.record_statement('work', 't1', _LEAVING, 2)
        sent = [out for out in outputs if isinstance(out, SendMessage)]
        self.assertEqual([self._stated()], [one.message for one in sent])
        again = router.record_statement('work', 't1', _LEAVING, 3)
        self.assertEqual([], again)

    @parameterized.expand([('same start', 5, False), ('later start', 4, True)])
    def test_other_vm(self, _: str, born_ms: int, used: bool) -> None:
        """Guards against a statement about an earlier start."""
        router = _build(ATTACHED_TUNING, 't1', 't2')
        stated = self._stated(born_ms=born_ms)
        router.handle(MessageReceived(2, 'v0', stated))
        chosen = [_choose(router, 'first', number, 2.5) for number in range(60)]
        self.assertEqual({'t1'} in chosen, used)
