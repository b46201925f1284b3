"""Tests of the caller interface over raw sockets."""

from __future__ import annotations

import asyncio
import contextlib

import testtools
from parameterized import parameterized

from cranberryseam.configuration.settings import RequestSettings
from cranberryseam.core.effects import (
    CutRequest,
    ForwardAnswer,
    RefuseRequest,
    SetReadiness,
)
from cranberryseam.core.events import (
    AnswerReady,
    CallerConnectionClosed,
    RequestArrived,
)
from cranberryseam.core.refusals import Executed, Refusal, RefusalReason
from cranberryseam.serving.arrivals import find_minute_of_day
from cranberryseam.serving.bodies import BodyBudget, read_body
from cranberryseam.serving.framing import check_head

from .harness import (
    GET,
    OK,
    WAIT_TIMEOUT_S,
    CancelAttempt,
    ForwardingReducer,
    read_request,
    respond_once,
    run_gateway,
    run_target,
)

POST = b'POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n'
LARGE_HEADER_BYTES = 40_000


class FramingAttackTest(testtools.TestCase):
    """Guards against request smuggling by ambiguous framing."""

    @parameterized.expand(
        [
            ('lengths', POST + b'Content-Length: 1\r\nContent-Length: 2'),
            (
                'length_and_chunked',
                POST + b'Content-Length: 4\r\nTransfer-Encoding: chunked',
            ),
            (
                'chunked_twice',
                POST + b'Transfer-Encoding: chunked, chunked',
                b'501',
            ),
            (
                'other_coding',
                POST + b'Transfer-Encoding: xchunked',
                b'501',
            ),
            ('space_before_colon', POST + b'Content-Length : 4'),
            ('bare_return', POST + b'A: b\rContent-Length: 4'),
            ('nul', POST + b'A: b\0c'),
            ('negative_length', POST + b'Content-Length: -1'),
            ('two_hosts', POST + b'Host: other'),
            ('no_host', b'GET /a HTTP/1.1\r\nA: b'),
            ('other_host', b'GET http://o/a HTTP/1.1\r\nHost: h'),
            ('connect', b'CONNECT h:80 HTTP/1.1\r\nHost: h'),
            ('asterisk', b'OPTIONS * HTTP/1.1\r\nHost: h'),
            ('upgrade', POST + b'Upgrade: tls'),
            ('dot_segment', b'GET /a/../b HTTP/1.1\r\nHost: h'),
            ('query_key', b'GET /a?api_key=x HTTP/1.1\r\nHost: h'),
            ('old_version', b'GET /a HTTP/1.0\r\nHost: h'),
            ('large_header', POST + b'A: ' + b'b' * LARGE_HEADER_BYTES),
            ('huge_header', POST + b'A: ' + b'b' * 3 * LARGE_HEADER_BYTES),
            ('two_idempotency_keys', POST + 2 * b'Idempotency-Key: a\r\n'),
        ]
    )
    def test_refused(
        self, _name: str, head: bytes, status: bytes = b'400'
    ) -> None:
        async def scenario() -> bytes:
            async with run_gateway(reducer) as fixture:
                rest = b'\r\n\r\n' if not head.endswith(b'\r\n') else b'\r\n'
                return await fixture.send_raw(head + rest)

        reducer = ForwardingReducer()
        reply = asyncio.run(scenario())
        self.assertEqual(reply[9:12], status, reply)
        self.assertEqual(reducer.events, [])

    @parameterized.expand(
        [
            ('websocket', b'websocket', b'HTTP/1.1 403'),
            ('http2', b'h2c', b'HTTP/1.1 101'),
        ]
    )
    def test_upgrade_that_the_server_takes(
        self, _name: str, protocol: bytes, start: bytes
    ) -> None:
        async def scenario() -> bytes:
            async with run_gateway(reducer) as fixture:
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', fixture.port
                )
                writer.write(
                    b'GET /a HTTP/1.1\r\nHost: h\r\nUpgrade: %b\r\n'
                    b'Connection: Upgrade, HTTP2-Settings\r\n'
                    b'HTTP2-Settings: AAMAAABkAAQAAP__\r\n'
                    b'Sec-WebSocket-Version: 13\r\n'
                    b'Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n'
                    % protocol
                )
                reply = await reader.readuntil(b'\r\n\r\n')
                writer.close()
                return reply

        reducer = ForwardingReducer()
        reply = asyncio.run(scenario())
        self.assertTrue(reply.startswith(start), reply)
        self.assertEqual(reducer.events_of(RequestArrived), [])


class BodyTest(testtools.TestCase):
    """Guards against bodies that are too large or stall in transit."""

    @parameterized.expand(
        [
            ('length', b'Content-Length: 2000\r\n\r\n'),
            (
                'chunked',
                b'Transfer-Encoding: chunked\r\n\r\n7d0\r\n'
                + b'x' * 2000
                + b'\r\n0\r\n\r\n',
            ),
        ]
    )
    def test_too_large(self, _name: str, rest: bytes) -> None:
        self._check(POST + rest, b'HTTP/1.1 413', b':body_too_large')

    def test_stalls(self) -> None:
        raw = POST + b'Content-Length: 9\r\n\r\nabc'
        self._check(raw, b'HTTP/1.1 408', b':body_timeout')

    def _check(self, raw: bytes, start: bytes, kind: bytes) -> None:
        async def scenario() -> bytes:
            async with run_gateway(
                reducer, most_body_bytes=1000, body_timeout_s=0.05
            ) as fixture:
                reply = await fixture.send_raw(raw)
                self.assertEqual(len(fixture.counter_names), 1)
                return reply

        reducer = ForwardingReducer()
        reply = asyncio.run(scenario())
        self.assertTrue(reply.startswith(start), reply)
        self.assertIn(kind, reply)
        self.assertIn(b'"ran":"no"', reply)
        self.assertEqual(reducer.events, [])

    def test_bodies_beyond_the_budget(self) -> None:
        async def read(size: int) -> tuple:
            head = check_head(scope, limits).ok
            message = {'body': b'x' * size, 'more_body': True}

            async def receive() -> dict:
                return {'type': 'http.request', **message}

            refused = await read_body(receive, head, limits, budget)
            return refused.error.reason, budget.buffered_bytes

        scope = {
            'method': 'POST',
            'http_version': '1.1',
            'raw_path': b'/a',
            'query_string': b'',
            'headers': [
                (b'host', b'h'),
                (b'transfer-encoding', b'chunked'),
                (b'idempotency-key', b'k'),
            ],
        }
        limits = RequestSettings(most_body_bytes=1000)
        budget = BodyBudget(max_bytes=500)
        self.assertEqual(asyncio.run(read(600)), (RefusalReason.not_ready, 0))
        self.assertEqual(
            asyncio.run(read(1001)), (RefusalReason.body_too_large, 0)
        )

    def test_fingerprint_depends_on_body(self) -> None:
        async def scenario() -> None:
            async with run_gateway(reducer) as fixture:
                for body in (b'abc', b'abd', b'abc'):
                    await fixture.send_raw(raw + body)

        raw = POST + b'Idempotency-Key: k\r\nContent-Length: 3\r\n\r\n'
        reducer = ForwardingReducer()
        asyncio.run(scenario())
        first, other, same = (
            event.head.fingerprint
            for event in reducer.events_of(RequestArrived)
        )
        self.assertEqual(first, same)
        self.assertNotEqual(first, other)


class CutConnectionTest(testtools.TestCase):
    """Guards against requests that outlive the caller or use a partial body."""

    @parameterized.expand(
        [
            ('before_the_request', b''),
            ('in_the_head', POST),
            ('after_the_head', POST + b'Content-Length: 3\r\n\r\n'),
            ('in_the_body', POST + b'Content-Length: 3\r\n\r\nab'),
        ]
    )
    def test_before_arrival(self, _name: str, raw: bytes) -> None:
        async def scenario() -> None:
            async with run_gateway(reducer) as fixture:
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', fixture.port
                )
                writer.write(raw)
                if raw:
                    writer.write_eof()
                    await reader.read()
                writer.close()
                self.assertEqual(fixture.gateway.in_flight, 0)

        reducer = ForwardingReducer()
        asyncio.run(scenario())
        self.assertEqual(reducer.events, [])

    @parameterized.expand(
        [
            ('before_the_answer', b''),
            (
                'in_the_answer',
                b'HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n'
                + b'x' * 100_000,
            ),
        ]
    )
    def test_after_arrival(self, _name: str, answer: bytes) -> None:
        async def wait_for_close(reader, writer) -> None:
            await read_request(reader)
            writer.write(answer)
            request_read.set()
            await reader.read()
            writer.close()
            closed.set()

        async def scenario() -> None:
            async with (
                run_target(wait_for_close) as reducer.port,
                run_gateway(reducer) as fixture,
            ):
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', fixture.port
                )
                writer.write(GET)
                await request_read.wait()
                if answer:
                    await reader.readexactly(1000)
                writer.close()
                await reducer.wait_for(CallerConnectionClosed)
                await fixture.gateway.close()
                await asyncio.wait_for(closed.wait(), 5)
                self.assertEqual(fixture.gateway.in_flight, 0)

        request_read, closed = asyncio.Event(), asyncio.Event()
        reducer = ForwardingReducer()
        asyncio.run(scenario())
        self.assertEqual(len(reducer.events_of(CallerConnectionClosed)), 1)

    def test_cut_request(self) -> None:
        def forward_and_cut(event: AnswerReady) -> list:
            refusal = Refusal(RefusalReason.key_withdrawn, Executed.unknown)
            loop = asyncio.get_running_loop()
            loop.call_later(
                0.02, reducer.execute, CutRequest(event.request_id, refusal)
            )
            return [ForwardAnswer(event.request_id, event.attempt_id)]

        async def stream(reader, writer) -> None:
            await read_request(reader)
            writer.write(b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n')
            writer.write(b'\r\n11170\r\n' + b'x' * 70_000 + b'\r\n')
            await reader.read()
            writer.close()

        async def scenario() -> bytes:
            async with (
                run_target(stream) as reducer.port,
                run_gateway(reducer) as fixture,
            ):
                return await fixture.send_raw(GET)

        reducer = ForwardingReducer()
        reducer.rules[AnswerReady] = forward_and_cut
        reply = asyncio.run(scenario())
        self.assertTrue(reply.startswith(b'HTTP/1.1 200'))
        self.assertFalse(reply.endswith(b'0\r\n\r\n'))

    def test_cut_before_any_byte_is_a_refusal(self) -> None:
        reducer = ForwardingReducer()
        reducer.rules[RequestArrived] = lambda event: [
            CutRequest(event.request_id, Refusal(RefusalReason.key_withdrawn))
        ]

        async def scenario() -> bytes:
            async with run_gateway(reducer) as fixture:
                return await fixture.send_raw(GET)

        reply = asyncio.run(scenario())
        self.assertTrue(reply.startswith(b'HTTP/1.1 401'), reply)

    def test_stalled_caller_stops_reading_from_the_target(self) -> None:
        async def send_without_pause(reader, writer) -> None:
            await read_request(reader)
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n')
            with contextlib.suppress(ConnectionError, TimeoutError):
                for _ in range(99):
                    writer.write(b'x' * 1_000_000)
                    async with asyncio.timeout(0.3):
                        await writer.drain()
                    written.append(1)
            done.set()
            writer.close()

        async def scenario() -> None:
            async with (
                run_target(send_without_pause) as reducer.port,
                run_gateway(reducer) as fixture,
            ):
                _, writer = await asyncio.open_connection(
                    '127.0.0.1', fixture.port
                )
                writer.write(GET)
                await done.wait()
                writer.close()
                await reducer.wait_for(CallerConnectionClosed)

        done = asyncio.Event()
        written: list[int] = []
        reducer = ForwardingReducer()
        asyncio.run(scenario())
        self.assertLess(len(written), 50)


class RefusalTest(testtools.TestCase):
    """Guards the problem document that a refused caller receives."""

    def test_document(self) -> None:
        refusal = Refusal(RefusalReason.rate_exceeded, Executed.no, 0.2)
        reducer = ForwardingReducer()
        reducer.rules[RequestArrived] = lambda event: [
            RefuseRequest(event.request_id, refusal)
        ]

        async def scenario() -> bytes:
            async with run_gateway(reducer) as fixture:
                return await fixture.send_raw(GET)

        head, _, body = asyncio.run(scenario()).partition(b'\r\n\r\n')
        self.assertTrue(head.startswith(b'HTTP/1.1 429'))
        self.assertIn(b'retry-after: 1', head)
        self.assertIn(b'application/problem+json', head)
        self.assertEqual(
            body,
            b'{"type":"urn:cranberryseam:refusal:rate_exceeded",'
            b'"title":"Rate exceeded","status":429,"ran":"no"}',
        )


class ReadinessTest(testtools.TestCase):
    """Guards the signals of a planned stop to load balancer and callers."""

    def test_health_path(self) -> None:
        async def scenario() -> list[bytes]:
            ready = GET.replace(b'/a', b'/-/ready')
            other = GET.replace(b'/a', b'/-/other')
            async with run_gateway() as fixture:
                replies = [await fixture.send_raw(ready)]
                fixture.gateway.execute(SetReadiness(ready=False))
                replies.append(await fixture.send_raw(ready))
                replies.append(await fixture.send_raw(other))
                return replies

        replies = asyncio.run(scenario())
        self.assertEqual(
            [reply[9:12] for reply in replies], [b'200', b'503', b'404']
        )

    def test_stop_finishes_requests(self) -> None:
        async def respond_when_released(reader, writer) -> None:
            await read_request(reader)
            request_read.set()
            await released.wait()
            writer.write(OK)
            writer.close()

        async def scenario() -> bytes:
            async with (
                run_target(respond_when_released) as reducer.port,
                run_gateway(reducer) as fixture,
            ):
                call = asyncio.create_task(
                    fixture.send_raw(b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n')
                )
                await request_read.wait()
                fixture.gateway.execute(SetReadiness(ready=False))
                fixture.stop.set()
                await asyncio.sleep(0.05)
                self.assertEqual(fixture.gateway.in_flight, 1)
                released.set()
                return await call

        request_read, released = asyncio.Event(), asyncio.Event()
        reducer = ForwardingReducer()
        reply = asyncio.run(scenario())
        self.assertTrue(reply.endswith(b'ok'), reply)
        self.assertIn(b'connection: close', reply.lower())

    def test_request_refused_at_the_end(self) -> None:
        """Guards against a refusal that is lost because the process ends."""

        async def never_respond(reader, writer) -> None:
            await read_request(reader)
            request_read.set()
            await asyncio.sleep(WAIT_TIMEOUT_S)
            writer.close()

        async def scenario() -> bytes:
            async with (
                run_target(never_respond) as reducer.port,
                run_gateway(reducer) as fixture,
            ):
                call = asyncio.create_task(
                    fixture.send_raw(b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n')
                )
                await request_read.wait()
                (arrived,) = reducer.events_of(RequestArrived)
                refusal = Refusal(
                    RefusalReason.outcome_unknown, Executed.unknown
                )
                for effect in (
                    CancelAttempt(arrived.request_id, 1),
                    RefuseRequest(arrived.request_id, refusal),
                ):
                    fixture.gateway.execute(effect)
                fixture.stop.set()
                return await call

        request_read = asyncio.Event()
        reducer = ForwardingReducer()
        reply = asyncio.run(scenario())
        self.assertTrue(reply.startswith(b'HTTP/1.1 502'), reply)
        self.assertIn(b'"ran":"unknown"', reply)

    def test_idle_connection_is_told_to_close(self) -> None:
        async def scenario() -> bytes:
            async with (
                run_target(respond_once(OK)) as reducer.port,
                run_gateway(reducer) as fixture,
            ):
                fixture.gateway.execute(SetReadiness(ready=False))
                return await fixture.send_raw(
                    b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
                )

        reducer = ForwardingReducer()
        self.assertIn(b'connection: close', asyncio.run(scenario()).lower())

    @parameterized.expand(
        [('east', 480, 600), ('west', -180, 1380), ('utc', 0, 120)]
    )
    def test_minute_of_day(self, _name: str, offset: int, minute) -> None:
        self.assertEqual(find_minute_of_day(7200 + 59, offset), minute)
