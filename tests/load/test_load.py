"""Tests of the load generator."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import testtools
from parameterized import parameterized

from cranberryseam.load.connections import ConnectionPool, Response
from cranberryseam.load.generator import encode_request, run_plan
from cranberryseam.load.plan import Stream, read_plan
from cranberryseam.load.report import (
    DIRECT,
    FLEET,
    LATENESS,
    Report,
    merge_reports,
    read_report,
)

PLAN = """
duration = "400ms"
warm_up = "100ms"

[[streams]]
account = "asha"
path = "/catalogue"
rate = "100/s"
addresses = ["{address}"]
direct = ["{address}"]
"""
OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
REFUSED = (
    b'HTTP/1.1 429 X\r\nContent-Length: 44\r\n\r\n'
    b'{"type":"urn:cranberryseam:refusal:rate_ex"}'
)


async def _with_server(
    response: bytes, use: Callable[[str], Awaitable[object]]
) -> object:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while await reader.readuntil(b'\r\n\r\n'):
            writer.write(response)
            if not response.endswith((b'ok', b'}')):
                writer.close()
                return

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    async with server:
        return await use(f'127.0.0.1:{port}')


class PoolTest(testtools.TestCase):
    """Guards against counting an invalid response as a success."""

    @parameterized.expand(
        [
            ('whole', OK, Response(200)),
            ('refused', REFUSED, Response(429, b'rate_ex')),
            ('short', OK[:-1], Response(0)),
            ('none', b'', Response(0)),
            ('no_http', b'hello\r\n\r\n', Response(0)),
        ]
    )
    def test_response(self, _name: str, raw: bytes, expected: Response) -> None:
        async def use(address: str) -> Response:
            pool = ConnectionPool(address)
            got = await pool.send(b'GET / HTTP/1.1\r\n\r\n', 'GET', 2)
            pool.close()
            return got

        self.assertEqual(asyncio.run(_with_server(raw, use)), expected)

    def test_connection_refused(self) -> None:
        got = asyncio.run(ConnectionPool('127.0.0.1:1').send(b'', 'GET', 2))
        self.assertEqual(got, Response(0))


class PlanTest(testtools.TestCase):
    """Guards against requests that differ from their plan."""

    @parameterized.expand(
        [
            ('rate', '"100/s"', '"100"', 'streams.0.rate'),
            ('duration', '"400ms"', '"4"', 'duration'),
            ('addresses', '["{address}"]', '[]', 'streams.0.addresses'),
            ('unknown', 'account', 'customer', 'streams.0.customer'),
        ]
    )
    def test_invalid_plan(
        self, _name: str, good: str, bad: str, key: str
    ) -> None:
        problems = read_plan('p', PLAN.replace(good, bad)).error.problems
        self.assertIn(key, [problem.key for problem in problems])

    def test_request(self) -> None:
        stream = Stream('a', '/x', '1/s', ('b:1',), key='k', body='é')
        lines = encode_request(stream).split(b'\r\n')
        self.assertIn(b'Authorization: Bearer k', lines)
        self.assertIn(b'Content-Length: 2', lines)
        self.assertIn(b'Request-Timeout-Ms: 10000', lines)


class ReportTest(testtools.TestCase):
    """Guards against measurements lost in a report."""

    def test_run_measures_both_sides(self) -> None:
        async def use(address: str) -> Report:
            plan = read_plan('p', PLAN.replace('{address}', address)).ok
            return await run_plan(plan)

        report = asyncio.run(_with_server(OK, use))
        fleet = report.latencies[FLEET].get_total_count()
        self.assertEqual(report.outcomes['fleet/asha']['200'], fleet)
        self.assertTrue(10 < fleet < 100)
        self.assertIn(DIRECT, report.latencies)
        self.assertIn(LATENESS, report.latencies)

    def test_refusals_have_no_latency(self) -> None:
        report = Report(1, 1)
        report.record_response(FLEET, 'a', 1, Response(429, b'rate_exceeded'))
        self.assertEqual(report.latencies, {})
        self.assertEqual(report.outcomes['fleet/a']['rate_exceeded'], 1)

    def test_merge_after_decoding(self) -> None:
        report = Report(1, 1)
        report.record_response(FLEET, 'a', 0.010, Response(200))
        copy = read_report(report.encode())
        merged = merge_reports([report, copy])
        self.assertEqual(merged.outcomes['fleet/a']['200'], 2)
        self.assertAlmostEqual(merged.percentile_ms(FLEET, 50), 10, delta=0.1)
