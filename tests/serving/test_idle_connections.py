"""Tests of idle connections that a target has forgotten."""

from __future__ import annotations

import asyncio
import math

import attrs
import testtools
from parameterized import parameterized

from cranberryseam.core.events import (
    AnswerEnded,
    AnswerReady,
    AttemptFailed,
    AttemptFailure,
    RequestArrived,
)

from .harness import (
    GET,
    OK,
    GrantingReducer,
    read_request,
    run_stage,
    run_target,
)

# Longer than a reset that meets an idle connection takes.
WORK_S = 0.15


class IdleConnectionTest(testtools.TestCase):
    """Guards against sound targets that are blamed for a reset, and against
    connections that are used again although they may be dead.
    """

    @parameterized.expand(
        [
            ('forgotten', 0.0, math.inf, [AttemptFailure.closed_idle]),
            ('failing', WORK_S, math.inf, [AttemptFailure.no_answer]),
            ('not used again', 0.0, 0.0, []),
        ]
    )
    def test_second_request(
        self,
        _: str,
        work_s: float,
        most_idle_s: float,
        failures: list[AttemptFailure],
    ) -> None:
        """The target answers the first request of each connection only."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await read_request(reader)
            writer.write(OK)
            await read_request(reader)
            await asyncio.sleep(work_s)
            writer.transport.abort()

        async def scenario() -> None:
            reducer.rules[RequestArrived] = lambda event: [
                attrs.evolve(
                    reducer.start(event.request_id), most_idle_s=most_idle_s
                )
            ]
            async with (
                run_target(serve) as reducer.port,
                run_stage(reducer) as stage,
            ):
                await stage.send_raw(GET)
                await reducer.wait_for(AnswerEnded)
                await asyncio.sleep(0.01)
                await stage.send_raw(GET)

        reducer = GrantingReducer()
        asyncio.run(scenario())
        failed = reducer.of(AttemptFailed)
        self.assertEqual(failures, [event.failure for event in failed])
        self.assertEqual(2 - len(failures), len(reducer.of(AnswerReady)))
