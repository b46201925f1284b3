"""Requests that arrive before the first configuration.

After a power loss of all VMs, callers reconnect before the control VMs run.
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
from cranberryseam.core.refusals import Executed, RefusalReason
from cranberryseam.requests.collaborators import Collaborators
from cranberryseam.requests.coordinator import COMPONENT, Coordinator
from cranberryseam.requests.startup_queue import (
    MAX_QUEUED_REQUESTS,
    MAX_STARTUP_WAIT_S,
)
from cranberryseam.types import Output, RequestId

from .fakes import LISTS, FakeCollaborators, build_head

ARRIVED = 10.0
CONFIGURATION = apply_entry(
    Configuration(), 1, diff_lists(Configuration(), LISTS, '')
)


def build_without_configuration(fakes: FakeCollaborators) -> Coordinator:
    """Return a coordinator without a configuration."""
    collaborators = Collaborators(fakes, fakes, fakes, fakes)
    return Coordinator(collaborators, random.Random(1))


def arrive(
    coordinator: Coordinator, number: int = 1, timeout_s: float | None = None
) -> list[Output]:
    """Deliver the arrival of a request."""
    head = build_head('GET', '/open')
    head = ev.RequestHead(head.method, head.path, timeout_s=timeout_s)
    return list(
        coordinator.handle(ev.RequestArrived(ARRIVED, RequestId(number), head))
    )


def fire_timers(
    coordinator: Coordinator, outputs: list[Output]
) -> list[Output]:
    """Fire each timer that was set, at its due time."""
    fired: list[Output] = []
    for output in outputs:
        if isinstance(output, fx.SetTimer):
            event = ev.TimerFired(output.at, COMPONENT, output.name)
            fired.extend(coordinator.handle(event))
    return fired


def list_refusals(
    outputs: list[Output],
) -> list[tuple[RefusalReason, Executed]]:
    """Return the reason of each refusal and its ``ran``."""
    return [
        (output.refusal.reason, output.refusal.ran)
        for output in outputs
        if isinstance(output, fx.RefuseRequest)
    ]


NOT_READY = (RefusalReason.not_ready, Executed.no)


class StartupQueueTest(testtools.TestCase):
    """Guards against refusing requests that can be served shortly after."""

    def test_admitted_with_the_configuration(self) -> None:
        """A queued request is admitted once the configuration arrives."""
        fakes = FakeCollaborators(withhold_slots=True)
        coordinator = build_without_configuration(fakes)
        self.assertEqual(list_refusals(arrive(coordinator)), [])
        self.assertEqual(coordinator.in_progress, 1)
        changed = ConfigurationChanged(ARRIVED + 0.5, CONFIGURATION)
        outputs = fire_timers(coordinator, list(coordinator.handle(changed)))
        self.assertEqual(list_refusals(outputs), [])
        self.assertEqual(len(fakes.admitted), 1)
        # The deadline counts from the arrival.
        self.assertEqual(fakes.admitted[0].deadline_at, ARRIVED + 10)

    @parameterized.expand(
        [
            ('no timeout', None, MAX_STARTUP_WAIT_S),
            ('impatient', 0.6, 0.3),
        ]
    )
    def test_refused_after_a_while(
        self, _: str, timeout_s: float | None, held_s: float
    ) -> None:
        """A VM that gets no configuration refuses the request in time."""
        coordinator = build_without_configuration(FakeCollaborators())
        outputs = arrive(coordinator, timeout_s=timeout_s)
        (timer,) = (each for each in outputs if isinstance(each, fx.SetTimer))
        self.assertAlmostEqual(timer.at, ARRIVED + held_s)
        refused = fire_timers(coordinator, outputs)
        self.assertEqual(list_refusals(refused), [NOT_READY])
        self.assertEqual(coordinator.in_progress, 0)

    def test_caller_left(self) -> None:
        """A queued request is dropped when its caller leaves."""
        fakes = FakeCollaborators(withhold_slots=True)
        coordinator = build_without_configuration(fakes)
        arrive(coordinator)
        coordinator.handle(
            ev.CallerConnectionClosed(ARRIVED + 0.1, RequestId(1))
        )
        changed = ConfigurationChanged(ARRIVED + 0.5, CONFIGURATION)
        coordinator.handle(changed)
        self.assertEqual(fakes.admitted, [])

    def test_bounded(self) -> None:
        """Queued requests can't exhaust the memory of a VM after its start."""
        coordinator = build_without_configuration(FakeCollaborators())
        for number in range(MAX_QUEUED_REQUESTS):
            arrive(coordinator, number + 1)
        refused = arrive(coordinator, MAX_QUEUED_REQUESTS + 1)
        self.assertEqual(list_refusals(refused), [NOT_READY])

    def test_stop(self) -> None:
        """A VM stopped before its first configuration refuses all requests."""
        coordinator = build_without_configuration(FakeCollaborators())
        outputs = arrive(coordinator)
        coordinator.refuse_new()
        refused = fire_timers(coordinator, outputs)
        self.assertEqual(
            list_refusals(refused), [(RefusalReason.draining, Executed.no)]
        )
