"""Log lines that explain failed requests."""

from __future__ import annotations

import attrs
from parameterized import parameterized
from testtools import TestCase

from cranberryseam.core import effects as fx
from cranberryseam.core import events as ev
from cranberryseam.core.refusals import RefusalReason
from cranberryseam.types import AttemptId, RequestId

from .fakes import FakeCollaborators, build_coordinator, build_head

REQUEST_ID = RequestId(1)


class LogLineTest(TestCase):
    """Each refusal and attempt writes one line with the id of the caller."""

    def _apply(self, path: str, *events: ev.Event) -> list[fx.WriteLog]:
        coordinator = build_coordinator(FakeCollaborators())
        head = attrs.evolve(build_head(path=path), caller_request_id='9c41')
        lines: list[fx.WriteLog] = []
        inputs: list[object] = [ev.RequestArrived(1, REQUEST_ID, head), *events]
        while inputs:
            for output in coordinator.handle(inputs.pop(0)):
                if isinstance(output, fx.WriteLog):
                    lines.append(output)
                elif not isinstance(output, fx.Effect):
                    inputs.insert(0, output)
        return lines

    def test_refused_on_arrival(self) -> None:
        """Guards against a refusal without a log line."""
        (line,) = self._apply('/nowhere')
        self.assertEqual(line.message, 'request refused')
        self.assertEqual(line.fields['request'], '9c41')
        self.assertEqual(
            line.fields['reason'], RefusalReason.route_unknown.value
        )

    @parameterized.expand(
        [
            (
                'answer',
                ev.AnswerReady(2, REQUEST_ID, AttemptId(1), 500, True),
                ('attempt ended',),
            ),
            (
                'failure',
                ev.AttemptFailed(
                    2,
                    REQUEST_ID,
                    AttemptId(1),
                    ev.AttemptFailure.no_answer,
                    sent=True,
                ),
                ('attempt ended', 'request refused'),
            ),
        ]
    )
    def test_attempt(
        self, _: str, event: ev.Event, messages: tuple[str, ...]
    ) -> None:
        """Guards against an attempt whose target is not logged."""
        lines = self._apply('/pay', event)
        self.assertEqual(tuple(line.message for line in lines), messages)
        self.assertEqual(lines[0].fields['target'], 't0')
        self.assertEqual({line.fields['request'] for line in lines}, {'9c41'})
