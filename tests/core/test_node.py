"""Tests of the reducer and of graceful shutdown."""

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

LOCAL_VM = VmId('me')


class Greeting(Message, frozen=True, array_like=True, tag=9001):
    """Message type for these tests."""


@attrs.define
class _RecordingComponent:
    """Returns configured outputs and records its inputs."""

    outputs: dict[type, list[Output]] = attrs.field(factory=dict)
    inputs_seen: list[object] = attrs.field(factory=list)

    def handle(self, event: ev.Event | Notice) -> list[Output]:
        self.inputs_seen.append(event)
        return self.outputs.get(type(event), [])


class NodeTest(testtools.TestCase):
    """Guards against events that reach the wrong component or none."""

    def test_notice_reaches_subscribers(self) -> None:
        notice = KeysWithdrawn(1, ())
        first = _RecordingComponent({ev.Started: [notice]})
        second = _RecordingComponent()
        node = Node(
            LOCAL_VM,
            [
                Registration('a', first, inputs=(ev.Started,)),
                Registration('b', second, inputs=(KeysWithdrawn,)),
            ],
        )
        self.assertEqual(node.handle(ev.Started(1, 1)), [])
        self.assertEqual(second.inputs_seen, [notice])

    def test_message_to_itself_is_handled_in_the_same_call(self) -> None:
        send = fx.SendMessage(LOCAL_VM, Greeting())
        component = _RecordingComponent({ev.Started: [send]})
        registration = Registration(
            'a', component, messages=(Greeting,), inputs=(ev.Started,)
        )
        self.assertEqual(
            Node(LOCAL_VM, [registration]).handle(ev.Started(1, 1)), []
        )
        self.assertEqual(
            component.inputs_seen[1],
            ev.MessageReceived(1, LOCAL_VM, Greeting()),
        )

    @parameterized.expand([('a', 1, 0), ('b', 0, 1)])
    def test_timer_reaches_its_component(
        self, name: str, first_count: int, second_count: int
    ) -> None:
        first = _RecordingComponent()
        second = _RecordingComponent()
        node = Node(
            LOCAL_VM, [Registration('a', first), Registration('b', second)]
        )
        node.handle(ev.TimerFired(1, name, 'x'))
        self.assertEqual(
            (len(first.inputs_seen), len(second.inputs_seen)),
            (first_count, second_count),
        )

    def test_command_without_required_role(self) -> None:
        effects = Node(LOCAL_VM, []).handle(
            ev.CommandReceived(1, 7, cmd.ShowControl())
        )
        self.assertEqual(
            effects, [fx.AnswerCommand(7, cmd.CommandUnsupported('control'))]
        )

    def test_drain_command_requests_stop(self) -> None:
        component = _RecordingComponent()
        registration = Registration('a', component, inputs=(ev.StopRequested,))
        node = Node(LOCAL_VM, [registration])
        effects = node.handle(ev.CommandReceived(3, 7, cmd.DrainVm()))
        self.assertEqual(component.inputs_seen, [ev.StopRequested(3)])
        self.assertIsInstance(effects[0], fx.AnswerCommand)


@attrs.define
class _FakeRequestTracker:
    """Fake request tracker."""

    in_progress: int = 1
    refused: bool = False
    stop_at: float = 0

    def limit_new(self, stop_at: float) -> None:
        self.stop_at = stop_at

    def refuse_new(self) -> None:
        self.refused = True

    def refuse_all(self, at: float) -> list[Output]:
        return [fx.IncrementCounter('refused')] * self.in_progress


class DrainTest(testtools.TestCase):
    """Guards against a graceful shutdown that cuts off requests."""

    def setUp(self) -> None:
        super().setUp()
        self.requests = _FakeRequestTracker()
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

    def test_second_stop_request_is_ignored(self) -> None:
        self.drain.handle(ev.StopRequested(0))
        self.assertEqual(self.drain.handle(ev.StopRequested(1)), [])
        self.assertIsInstance(self._fire(1)[0], fx.SetTimer)

    def test_stops_at_drain_limit(self) -> None:
        self.drain.handle(ev.StopRequested(0))
        self.assertEqual(self.requests.stop_at, 10)
        self.assertEqual(
            self._fire(10), [fx.IncrementCounter('refused'), fx.StopProcess()]
        )
