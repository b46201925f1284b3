"""Tests of attempts against failing targets."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import attrs
import testtools
from parameterized import parameterized

from cranberryseam.core.effects import (
    CancelAttempt,
    RefuseRequest,
    ReplayAnswer,
)
from cranberryseam.core.events import (
    AnswerEnded,
    AnswerReady,
    AttemptFailed,
    AttemptFailure,
    CallerConnectionClosed,
    RequestArrived,
    StoredAnswer,
)
from cranberryseam.core.refusals import Refusal, RefusalReason

from .harness import (
    GET,
    OK,
    ForwardingReducer,
    read_request,
    respond_once,
    run_gateway,
    run_target,
)

HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
LARGE_BODY_BYTES = 300_000
NO_ANSWER = AttemptFailure.no_answer
ANSWER_INVALID = AttemptFailure.answer_invalid


async def run_once(reducer: ForwardingReducer, handler, raw: bytes = GET):
    async with (
        run_target(handler) as reducer.port,
        run_gateway(reducer) as fixture,
    ):
        reply = await fixture.send_raw(raw)
        if reducer.events_of(AnswerReady):
            await reducer.wait_for(AnswerEnded)
        return reply, fixture.gateway.in_flight


class FailedAttemptTest(testtools.TestCase):
    """Guards against broken responses and wrong reports of what was sent."""

    @parameterized.expand(
        [
            ('nothing', b'', NO_ANSWER),
            ('half_head', HEAD, NO_ANSWER),
            ('no_http', b'hello\r\n\r\n', NO_ANSWER),
            ('short', HEAD + b'Content-Length: 9\r\n\r\nabc', NO_ANSWER),
            ('no_chunk_end', CHUNKED + b'3\r\nabc\r\n', NO_ANSWER),
            ('half_chunk', CHUNKED + b'9\r\nabc', NO_ANSWER),
            ('bad_chunk', CHUNKED + b'zz\r\nabc', NO_ANSWER),
            ('until_close', HEAD + b'\r\nabc', ANSWER_INVALID),
            (
                'length_and_chunked',
                HEAD + b'Content-Length: 3\r\n' + CHUNKED[len(HEAD) :],
                ANSWER_INVALID,
            ),
            (
                'two_lengths',
                HEAD + b'Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd',
                NO_ANSWER,
            ),
            ('switching', b'HTTP/1.1 101 S\r\nUpgrade: x\r\n\r\n', NO_ANSWER),
        ]
    )
    def test_broken_answer(self, _name: str, answer: bytes, failure) -> None:
        reducer = ForwardingReducer()
        reply, in_flight = asyncio.run(run_once(reducer, respond_once(answer)))
        self.assertTrue(reply.startswith(b'HTTP/1.1 502'), reply)
        self.assertIn(b'"ran":"unknown"', reply)
        (failed,) = reducer.events_of(AttemptFailed)
        self.assertEqual((failed.failure, failed.sent), (failure, True))
        self.assertEqual(in_flight, 0)

    def test_refused_connection(self) -> None:
        async def scenario() -> bytes:
            async with run_target(respond_once(OK)) as reducer.port:
                pass
            async with run_gateway(reducer) as fixture:
                return await fixture.send_raw(GET)

        reducer = ForwardingReducer()
        reply = asyncio.run(scenario())
        self.assertIn(b'"ran":"no"', reply)
        (failed,) = reducer.events_of(AttemptFailed)
        self.assertEqual(
            (failed.failure, failed.sent),
            (AttemptFailure.not_connected, False),
        )

    def test_target_that_accepts_no_connection(self) -> None:
        async def scenario() -> bytes:
            async with run_gateway(reducer) as fixture:
                return await fixture.send_raw(GET)

        with contextlib.ExitStack() as sockets:
            listener = sockets.enter_context(socket.socket())
            listener.bind(('127.0.0.1', 0))
            listener.listen(0)
            for _ in range(4):
                filler = sockets.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
            reducer = ForwardingReducer(listener.getsockname()[1], 0.1)
            reply = asyncio.run(scenario())
        self.assertIn(b'"ran":"no"', reply)
        (failed,) = reducer.events_of(AttemptFailed)
        self.assertEqual(
            (failed.failure, failed.sent), (AttemptFailure.timed_out, False)
        )

    def test_silent_target(self) -> None:
        async def stay_silent(reader, writer) -> None:
            await reader.read()
            writer.close()

        reducer = ForwardingReducer(timeout_s=0.05)
        asyncio.run(run_once(reducer, stay_silent))
        (failed,) = reducer.events_of(AttemptFailed)
        self.assertEqual(
            (failed.failure, failed.sent), (AttemptFailure.timed_out, True)
        )

    @parameterized.expand(
        [
            ('length', HEAD + b'Content-Length: 999999\r\n\r\n'),
            ('chunked', CHUNKED + b'%x\r\n' % LARGE_BODY_BYTES),
        ]
    )
    def test_breaks_while_forwarding(self, _name: str, head: bytes) -> None:
        reducer = ForwardingReducer()
        answer = head + b'x' * LARGE_BODY_BYTES
        reply, in_flight = asyncio.run(run_once(reducer, respond_once(answer)))
        self.assertTrue(reply.startswith(b'HTTP/1.1 200'))
        self.assertFalse(reply.endswith(b'0\r\n\r\n'))
        self.assertLess(len(reply), 999_999)
        self.assertFalse(reducer.events_of(AnswerEnded)[0].complete)
        self.assertEqual(reducer.events_of(AttemptFailed), [])
        self.assertEqual(in_flight, 0)

    def test_unknown_request(self) -> None:
        async def scenario() -> None:
            async with run_gateway(reducer) as fixture:
                fixture.gateway.execute(reducer.start(99))
                await reducer.wait_for(AttemptFailed)

        reducer = ForwardingReducer()
        asyncio.run(scenario())
        self.assertFalse(reducer.events_of(AttemptFailed)[0].sent)


class AnswerTest(testtools.TestCase):
    """Guards the reported properties of a response."""

    @parameterized.expand(
        [
            ('shed', b'503 X', b'Cranberryseam-Not-Run: 1\r\n', True),
            ('limited', b'429 X', b'Cranberryseam-Not-Run: 1\r\n', True),
            ('plain', b'503 X', b'', False),
            ('other_status', b'500 X', b'Cranberryseam-Not-Run: 1\r\n', False),
        ]
    )
    def test_not_run(self, _name, status, header, not_run) -> None:
        reducer = ForwardingReducer()
        answer = (
            b'HTTP/1.1 %b\r\n%bRetry-After: 7\r\nContent-Length: 0\r\n\r\n'
        ) % (status, header)
        asyncio.run(run_once(reducer, respond_once(answer)))
        (ready,) = reducer.events_of(AnswerReady)
        self.assertEqual((ready.not_run, ready.retry_after_s), (not_run, 7))

    @parameterized.expand([('kept', 16_384, True), ('large', 16_385, False)])
    def test_kept_answer(self, _name: str, size: int, kept: bool) -> None:
        reducer = ForwardingReducer(keep_answer=True)
        answer = HEAD + b'Content-Length: %d\r\nTE: x\r\n\r\n' % size
        asyncio.run(run_once(reducer, respond_once(answer + b'x' * size)))
        (ready,) = reducer.events_of(AnswerReady)
        self.assertTrue(ready.complete)
        self.assertEqual(ready.answer is not None, kept)
        if kept:
            length = (b'content-length', b'16384')
            self.assertEqual(ready.answer.headers, (length,))

    @parameterized.expand(
        [
            (
                'length',
                HEAD + b'Content-Length: %d\r\n\r\n' % LARGE_BODY_BYTES,
                b'',
            ),
            (
                'chunked',
                CHUNKED + b'%x\r\n' % LARGE_BODY_BYTES,
                b'\r\n0\r\n\r\n',
            ),
        ]
    )
    def test_large_answer(self, _name: str, head: bytes, end: bytes) -> None:
        reducer = ForwardingReducer()
        answer = head + b'x' * LARGE_BODY_BYTES + end
        reply, _ = asyncio.run(run_once(reducer, respond_once(answer)))
        self.assertEqual(
            reply.partition(b'\r\n\r\n')[2].count(b'x'), LARGE_BODY_BYTES
        )
        self.assertTrue(reply.endswith(end or b'x'))
        self.assertFalse(reducer.events_of(AnswerReady)[0].complete)
        self.assertTrue(reducer.events_of(AnswerEnded)[0].complete)

    def test_head_request(self) -> None:
        reducer = ForwardingReducer()
        answer = HEAD + b'Content-Length: 5\r\n\r\n'
        raw = GET.replace(b'GET', b'HEAD')
        reply, _ = asyncio.run(run_once(reducer, respond_once(answer), raw))
        self.assertIn(b'content-length: 5', reply)
        self.assertTrue(reply.endswith(b'\r\n\r\n'))

    def test_replayed_answer(self) -> None:
        stored = StoredAnswer(201, ((b'x-order', b'7'),), b'paid')
        reducer = ForwardingReducer()
        reducer.rules[RequestArrived] = lambda event: [
            ReplayAnswer(event.request_id, stored)
        ]
        reply, _ = asyncio.run(run_once(reducer, respond_once(OK)))
        self.assertTrue(reply.startswith(b'HTTP/1.1 201'))
        self.assertIn(b'x-order: 7', reply)
        self.assertIn(b'paid', reply)


class ConnectionReuseTest(testtools.TestCase):
    """Guards against a response that reaches another caller."""

    def test_late_answer_of_cancelled_attempt(self) -> None:
        async def answer_late(reader, writer) -> None:
            request = await read_request(reader)
            path = request.split(b' ')[1]
            if path == b'/first':
                first_received.set()
                await released.wait()
            answer = HEAD + b'Content-Length: %d\r\n\r\n%b'
            writer.write(answer % (len(path), path))
            writer.close()

        async def scenario() -> list[bytes]:
            async with (
                run_target(answer_late) as reducer.port,
                run_gateway(reducer) as fixture,
            ):
                first = asyncio.create_task(
                    fixture.send_raw(GET.replace(b'/a', b'/first'))
                )
                await first_received.wait()
                (arrived,) = reducer.events_of(RequestArrived)
                number = arrived.request_id
                fixture.gateway.execute(CancelAttempt(number, 1))
                fixture.gateway.execute(
                    RefuseRequest(
                        number, Refusal(RefusalReason.deadline_expired)
                    )
                )
                released.set()
                second = await fixture.send_raw(GET.replace(b'/a', b'/second'))
                return [await first, second]

        reducer = ForwardingReducer()
        first_received, released = asyncio.Event(), asyncio.Event()
        first, second = asyncio.run(scenario())
        self.assertTrue(first.startswith(b'HTTP/1.1 504'))
        self.assertTrue(second.endswith(b'/second'), second)
        self.assertEqual(len(reducer.events_of(AnswerReady)), 1)

    def test_connection_closed_while_idle(self) -> None:
        async def serve_two(reader, writer) -> None:
            connections.append(writer)
            with contextlib.suppress(asyncio.IncompleteReadError):
                while request := await read_request(reader):
                    seen.append(request)
                    writer.write(OK)

        async def scenario() -> list[bytes]:
            async with (
                run_target(serve_two) as reducer.port,
                run_gateway(reducer) as fixture,
            ):
                replies = [await fixture.send_raw(GET) for _ in range(2)]
                connections[0].close()
                await connections[0].wait_closed()
                replies.append(await fixture.send_raw(GET))
                return replies

        reducer = ForwardingReducer()
        connections: list[asyncio.StreamWriter] = []
        seen: list[bytes] = []
        for reply in asyncio.run(scenario()):
            self.assertTrue(reply.startswith(b'HTTP/1.1 200'), reply)
        self.assertEqual((len(connections), len(seen)), (2, 3))

    def test_cancelled_before_it_began(self) -> None:
        reducer = ForwardingReducer()
        reducer.rules[RequestArrived] = lambda event: [
            reducer.start(event.request_id),
            CancelAttempt(event.request_id, 1),
            RefuseRequest(
                event.request_id, Refusal(RefusalReason.queue_timeout)
            ),
        ]
        reply, in_flight = asyncio.run(run_once(reducer, respond_once(OK)))
        self.assertTrue(reply.startswith(b'HTTP/1.1 503'))
        self.assertEqual(in_flight, 0)


class StreamedBodyTest(testtools.TestCase):
    """Guards bodies that are streamed without complete buffering."""

    def test_second_attempt_of_a_sent_body(self) -> None:
        def retry_once(event: AttemptFailed) -> list:
            if event.attempt_id == 1:
                return [reducer.start(event.request_id, 2)]
            return reducer.decide(event)

        reducer = ForwardingReducer()
        reducer.rules[AttemptFailed] = retry_once
        raw = GET.replace(b'GET', b'POST')[:-2] + b'Content-Length: %d\r\n\r\n'
        body = b'x' * 200_000
        asyncio.run(
            run_once(reducer, respond_once(b''), raw % len(body) + body)
        )
        first, second = reducer.events_of(AttemptFailed)
        self.assertEqual((first.failure, first.sent), (NO_ANSWER, True))
        self.assertEqual(
            (second.failure, second.sent), (AttemptFailure.not_sent, True)
        )

    def test_second_attempt_of_an_unsent_body(self) -> None:
        async def scenario() -> bytes:
            async with run_target(respond_once(OK)) as reducer.port:
                pass
            async with (
                run_target(respond_once(OK, seen)) as port,
                run_gateway(reducer) as fixture,
            ):
                reducer.rules[AttemptFailed] = lambda event: [
                    attrs.evolve(reducer.start(event.request_id, 2), port=port)
                ]
                return await fixture.send_raw(raw % len(body) + body)

        seen: list[bytes] = []
        body = b'x' * 200_000
        reducer = ForwardingReducer()
        raw = GET.replace(b'GET', b'POST')[:-2] + b'Content-Length: %d\r\n\r\n'
        reply = asyncio.run(scenario())
        self.assertTrue(reply.endswith(b'ok'), reply)
        self.assertTrue(seen[0].endswith(body))
        self.assertFalse(reducer.events_of(AttemptFailed)[0].sent)

    @parameterized.expand(
        [
            ('length', b'Content-Length: 200000\r\n\r\n', b'x' * 200_000),
            (
                'chunked',
                b'Transfer-Encoding: chunked\r\n\r\n',
                (b'c350\r\n' + b'x' * 50_000 + b'\r\n') * 4 + b'0\r\n\r\n',
            ),
        ]
    )
    def test_whole(self, _name: str, framing: bytes, body: bytes) -> None:
        async def count(reader, writer) -> None:
            await reader.readuntil(b'\r\n\r\n')
            sizes = 0
            while sizes < 200_000:
                sizes += (await reader.read(65_536)).count(b'x')
            writer.write(OK)
            writer.close()

        reducer = ForwardingReducer()
        head = b'POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n'
        reply, _ = asyncio.run(run_once(reducer, count, head + framing + body))
        self.assertTrue(reply.endswith(b'ok'), reply)

    @parameterized.expand(
        [
            ('length', b'Content-Length: 100000\r\n\r\n'),
            ('chunked', b'Transfer-Encoding: chunked\r\n\r\n186a0\r\n'),
        ]
    )
    def test_caller_leaves(self, _name: str, framing: bytes) -> None:
        async def read_until_closed(reader, writer) -> None:
            arrived.put_nowait(await reader.read())
            writer.close()

        async def scenario() -> bytes:
            async with (
                run_target(read_until_closed) as reducer.port,
                run_gateway(reducer) as fixture,
            ):
                _, writer = await asyncio.open_connection(
                    '127.0.0.1', fixture.port
                )
                writer.write(
                    b'POST /a HTTP/1.1\r\nHost: h\r\n%b%b'
                    % (framing, b'x' * 70_000)
                )
                await reducer.wait_for(RequestArrived)
                writer.close()
                await reducer.wait_for(AttemptFailed)
                return await arrived.get()

        arrived: asyncio.Queue[bytes] = asyncio.Queue()
        reducer = ForwardingReducer()
        request = asyncio.run(scenario())
        self.assertLess(request.count(b'x'), 100_000)
        self.assertFalse(request.endswith(b'0\r\n\r\n'))
        self.assertEqual(len(reducer.events_of(CallerConnectionClosed)), 1)
        self.assertTrue(reducer.events_of(AttemptFailed)[0].sent)
