"""Tests of the node and of the planned stop."""

from __future__ import annotations

import attrs
import testtools
from parameterized import parameterized

from cranberryseam.configuration.settings import RequestSettings
from cranberryseam.core import commands as cmd
from cranberryseam.core import effects as fx
from cranberryseam.core import events as ev
from cranberryseam.core.drain import Drain
from cranberryseam.core.messages import Message
from cranberryseam.core.node import Node, Registration
from cranberryseam.core.notices import KeysWithdrawn, Notice
from cranberryseam.types import Output, VmId

ME = VmId('me')


class Greeting(Message, frozen=True, array_like=True, tag=9001):
    """Message of this test."""


@attrs.define
class _Part:
    """Returns prepared outputs and remembers its inputs."""

    outputs: dict[type, list[Output]] = attrs.field(factory=dict)
    seen: list[object] = attrs.field(factory=list)

    def handle(self, event: ev.Event | Notice) -> list[Output]:
        self.seen.append(event)
        return self.outputs.get(type(event), [])


class NodeTest(testtools.TestCase):
    """Guards against events that reach the wrong part or none."""

    def test_notices_go_to_all_who_want_them(self) -> None:
        notice = KeysWithdrawn(1, ())
        first = _Part({ev.Started: [notice]})
        second = _Part()
        node = Node(
            ME,
            [
                Registration('a', first, inputs=(ev.Started,)),
                Registration('b', second, inputs=(KeysWithdrawn,)),
            ],
        )
        self.assertEqual(node.handle(ev.Started(1, 1)), [])
        self.assertEqual(second.seen, [notice])

    def test_message_to_itself_is_handled_at_once(self) -> None:
        send = fx.SendMessage(ME, Greeting())
        part = _Part({ev.Started: [send]})
        registration = Registration(
            'a', part, messages=(Greeting,), inputs=(ev.Started,)
        )
        self.assertEqual(Node(ME, [registration]).handle(ev.Started(1, 1)), [])
        self.assertEqual(part.seen[1], ev.MessageReceived(1, ME, Greeting()))

    @parameterized.expand([('a', 1, 0), ('b', 0, 1)])
    def test_timer_goes_to_its_part(
        self, name: str, first_count: int, second_count: int
    ) -> None:
        first = _Part()
        second = _Part()
        node = Node(ME, [Registration('a', first), Registration('b', second)])
        node.handle(ev.TimerFired(1, name, 'x'))
        self.assertEqual(
            (len(first.seen), len(second.seen)), (first_count, second_count)
        )

    def test_command_without_its_role(self) -> None:
        effects = Node(ME, []).handle(
            ev.CommandReceived(1, 7, cmd.ShowControl())
        )
        self.assertEqual(
            effects, [fx.AnswerCommand(7, cmd.CommandUnsupported('control'))]
        )

    def test_drain_command_stops_as_a_signal_does(self) -> None:
        part = _Part()
        registration = Registration('a', part, inputs=(ev.StopRequested,))
        node = Node(ME, [registration])
        effects = node.handle(ev.CommandReceived(3, 7, cmd.DrainVm()))
        self.assertEqual(part.seen, [ev.StopRequested(3)])
        self.assertIsInstance(effects[0], fx.AnswerCommand)


@attrs.define
class _Requests:
    """Requests in progress of this test."""

    in_progress: int = 1
    refused: bool = False

    def refuse_new(self) -> None:
        self.refused = True


class DrainTest(testtools.TestCase):
    """Guards against a planned stop that cuts requests."""

    def setUp(self) -> None:
        super().setUp()
        self.requests = _Requests()
        settings = RequestSettings(drain_limit_s=10, drain_grace_s=1)
        self.drain = Drain(settings, self.requests)

    def _fire(self, at: float) -> list[Output]:
        return list(self.drain.handle(ev.TimerFired(at, 'drain', 'check')))

    def test_waits_for_requests(self) -> None:
        effects = self.drain.handle(ev.StopRequested(0))
        self.assertEqual(effects[0], fx.SetReadiness(False))
        self.assertFalse(self.requests.refused)
        self.assertIsInstance(self._fire(1)[0], fx.SetTimer)
        self.assertTrue(self.requests.refused)
        self.requests.in_progress = 0
        self.assertEqual(self._fire(2), [fx.StopProcess()])

    def test_second_signal_changes_nothing(self) -> None:
        self.drain.handle(ev.StopRequested(0))
        self.assertEqual(self.drain.handle(ev.StopRequested(1)), [])
        self.assertIsInstance(self._fire(1)[0], fx.SetTimer)

    def test_ends_at_the_limit(self) -> None:
        self.drain.handle(ev.StopRequested(0))
        self.assertEqual(self._fire(10), [fx.StopProcess()])
