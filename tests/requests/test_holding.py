"""Requests that arrive before the first configuration.

Pattern: all VMs lost power, and callers come back before the control VMs do.
"""

from __future__ import annotations

import random

import testtools
from parameterized import parameterized

from cranberryseam.configuration.entries import apply_entry, diff_lists
from cranberryseam.configuration.model import Configuration
from cranberryseam.core import effects as fx
from cranberryseam.core import events as ev
from cranberryseam.core.notices import ConfigurationChanged
from cranberryseam.core.refusals import Ran, RefusalReason
from cranberryseam.requests.collaborators import Collaborators
from cranberryseam.requests.coordinator import PART, Coordinator
from cranberryseam.requests.holding import HOLD_S, MOST_HELD
from cranberryseam.types import Output, RequestId

from .fakes import LISTS, FakeCollaborators, build_head

ARRIVED = 10.0
CONFIGURATION = apply_entry(
    Configuration(), 1, diff_lists(Configuration(), LISTS, '')
)


def build_starting(parts: FakeCollaborators) -> Coordinator:
    """Return a coordinator without a configuration."""
    collaborators = Collaborators(parts, parts, parts, parts)
    return Coordinator(collaborators, random.Random(1))


def arrive(
    coordinator: Coordinator, number: int = 1, timeout_s: float | None = None
) -> list[Output]:
    """Let a request arrive."""
    head = build_head('GET', '/open')
    head = ev.RequestHead(head.method, head.path, timeout_s=timeout_s)
    return list(
        coordinator.handle(ev.RequestArrived(ARRIVED, RequestId(number), head))
    )


def fire_timers(
    coordinator: Coordinator, outputs: list[Output]
) -> list[Output]:
    """Fire the timers that were set, at their time."""
    fired: list[Output] = []
    for output in outputs:
        if isinstance(output, fx.SetTimer):
            event = ev.TimerFired(output.at, PART, output.name)
            fired.extend(coordinator.handle(event))
    return fired


def list_refusals(outputs: list[Output]) -> list[tuple[RefusalReason, Ran]]:
    """Return why requests were refused."""
    return [
        (output.refusal.reason, output.refusal.ran)
        for output in outputs
        if isinstance(output, fx.RefuseRequest)
    ]


NOT_READY = (RefusalReason.not_ready, Ran.no)


class HoldingTest(testtools.TestCase):
    """Guards against refusals of what can be served a moment later."""

    def test_admitted_with_the_configuration(self) -> None:
        """A request that waited is admitted like one that arrives now."""
        parts = FakeCollaborators(delay_slots=True)
        coordinator = build_starting(parts)
        self.assertEqual(list_refusals(arrive(coordinator)), [])
        self.assertEqual(coordinator.in_progress, 1)
        changed = ConfigurationChanged(ARRIVED + 0.5, CONFIGURATION)
        outputs = fire_timers(coordinator, list(coordinator.handle(changed)))
        self.assertEqual(list_refusals(outputs), [])
        self.assertEqual(len(parts.admitted), 1)
        # Its time runs from its arrival.
        self.assertEqual(parts.admitted[0].deadline_at, ARRIVED + 10)

    @parameterized.expand(
        [('no patience told', None, HOLD_S), ('impatient', 0.6, 0.3)]
    )
    def test_refused_after_a_while(
        self, _: str, timeout_s: float | None, held_s: float
    ) -> None:
        """A VM that stays without a configuration says so in time."""
        coordinator = build_starting(FakeCollaborators())
        outputs = arrive(coordinator, timeout_s=timeout_s)
        (timer,) = (each for each in outputs if isinstance(each, fx.SetTimer))
        self.assertAlmostEqual(timer.at, ARRIVED + held_s)
        refused = fire_timers(coordinator, outputs)
        self.assertEqual(list_refusals(refused), [NOT_READY])
        self.assertEqual(coordinator.in_progress, 0)

    def test_caller_left(self) -> None:
        """Work for callers who left is never started."""
        parts = FakeCollaborators(delay_slots=True)
        coordinator = build_starting(parts)
        arrive(coordinator)
        coordinator.handle(ev.CallerLeft(ARRIVED + 0.1, RequestId(1)))
        changed = ConfigurationChanged(ARRIVED + 0.5, CONFIGURATION)
        coordinator.handle(changed)
        self.assertEqual(parts.admitted, [])

    def test_bounded(self) -> None:
        """Callers can't fill the memory of a VM that has just started."""
        coordinator = build_starting(FakeCollaborators())
        for number in range(MOST_HELD):
            arrive(coordinator, number + 1)
        refused = arrive(coordinator, MOST_HELD + 1)
        self.assertEqual(list_refusals(refused), [NOT_READY])

    def test_stop(self) -> None:
        """A VM that stops before its configuration came refuses all."""
        coordinator = build_starting(FakeCollaborators())
        outputs = arrive(coordinator)
        coordinator.refuse_new()
        refused = fire_timers(coordinator, outputs)
        self.assertEqual(
            list_refusals(refused), [(RefusalReason.draining, Ran.no)]
        )
