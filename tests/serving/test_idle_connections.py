"""Tests of idle connections that a target has closed."""

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
    ForwardingReducer,
    read_request,
    run_gateway,
    run_target,
)

# Longer than the time within which a reset counts as a closed idle connection.
PROCESSING_S = 0.15


class IdleConnectionTest(testtools.TestCase):
    """Guards against working targets that are blamed for a closed idle
    connection, and against the reuse of connections that may be dead.
    """

    @parameterized.expand(
        [
            ('forgotten', 0.0, math.inf, [AttemptFailure.closed_idle]),
            ('failing', PROCESSING_S, math.inf, [AttemptFailure.no_answer]),
            ('not used again', 0.0, 0.0, []),
        ]
    )
    def test_second_request(
        self,
        _: str,
        processing_s: float,
        max_idle_s: float,
        failures: list[AttemptFailure],
    ) -> None:
        """The target responds only to the first request of a connection."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await read_request(reader)
            writer.write(OK)
            await read_request(reader)
            await asyncio.sleep(processing_s)
            writer.transport.abort()

        async def scenario() -> None:
            reducer.rules[RequestArrived] = lambda event: [
                attrs.evolve(
                    reducer.start(event.request_id), max_idle_s=max_idle_s
                )
            ]
            async with (
                run_target(serve) as reducer.port,
                run_gateway(reducer) as fixture,
            ):
                await fixture.send_raw(GET)
                await reducer.wait_for(AnswerEnded)
                await asyncio.sleep(0.01)
                await fixture.send_raw(GET)

        reducer = ForwardingReducer()
        asyncio.run(scenario())
        failed = reducer.events_of(AttemptFailed)
        self.assertEqual(failures, [event.failure for event in failed])
        self.assertEqual(2 - len(failures), len(reducer.events_of(AnswerReady)))
