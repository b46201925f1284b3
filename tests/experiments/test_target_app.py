"""Tests of the simulated target, on which the fault tests rely."""

from __future__ import annotations

import asyncio
import random

import httpx
import testtools
from parameterized import parameterized

from cranberryseam.core.events import TargetState
from cranberryseam.experiments.target_app import Faults, TargetApp


class Clock:
    """Clock that a test advances explicitly."""

    now = 0.0

    def __call__(self) -> float:
        return self.now


def send_requests(faults: Faults, count: int = 1, **options: object):
    """Send requests to a target; return it and the response statuses."""
    clock = Clock()
    app = TargetApp(2, 0, random.Random(5), clock, faults, **options)

    async def send() -> list[httpx.Response]:
        transport = httpx.ASGITransport(app)
        async with httpx.AsyncClient(
            transport=transport, base_url='http://target'
        ) as client:
            responses = []
            for number in range(count):
                clock.now = float(number)
                responses.append(
                    await client.post(
                        '/work',
                        content=b'order-1',
                        headers={'x-api-key': 'leaked'},
                    )
                )
            return responses

    return app, [response.status_code for response in asyncio.run(send())]


class TargetAppTest(testtools.TestCase):
    """Guards against wrong faults and wrong counts of executions."""

    @parameterized.expand(
        [
            ('none', Faults(), [200, 200], 2),
            ('fail', Faults(fail_share=1), [500, 500], 0),
            ('shed', Faults(shed_status=429), [429, 429], 0),
            ('flap', Faults(flap_period_s=1), [200, 500], 1),
            ('slow', Faults(latency_s=0.001, slow_factor=2), [200, 200], 2),
        ]
    )
    def test_fault(self, _name, faults, statuses, executions) -> None:
        app, received = send_requests(faults, 2)
        self.assertEqual(received, statuses)
        self.assertEqual(app.executions['order-1'], executions)
        self.assertEqual(app.keys_seen, {'leaked'})

    def test_same_seed_same_failures(self) -> None:
        runs = [send_requests(Faults(fail_share=0.5), 20)[1] for _ in range(2)]
        self.assertEqual(runs[0], runs[1])
        self.assertEqual(set(runs[0]), {200, 500})

    def test_draining(self) -> None:
        app, statuses = send_requests(Faults(), draining=True)
        self.assertEqual(statuses, [503])
        self.assertEqual(app.state, TargetState.draining)

    def test_cold_start(self) -> None:
        clock = Clock()
        app = TargetApp(1, 5, random.Random(1), clock)
        self.assertEqual(app.state, TargetState.cold)
        clock.now = 6
        self.assertEqual(app.state, TargetState.ready)

    def test_control_path(self) -> None:
        async def control() -> tuple[int, int, dict]:
            async with httpx.AsyncClient(
                transport=httpx.ASGITransport(app), base_url='http://target'
            ) as client:
                change = {'probes_fail': True, 'fail_share': 0.5}
                await client.post('/-/faults', json=change)
                bad = await client.post('/-/faults', json={'unknown': 1})
                probe = await client.get('/-/health')
                counts = await client.get('/-/counts')
                return bad.status_code, probe.status_code, counts.json()

        app = TargetApp(1, 0, random.Random(1), Clock())
        bad, probe, counts = asyncio.run(control())
        self.assertEqual((bad, probe), (400, 500))
        self.assertEqual(counts['faults']['fail_share'], 0.5)
        self.assertEqual(counts['executions'], {})
