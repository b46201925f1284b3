"""Tests of targets that send invalid or endless responses."""

from __future__ import annotations

import asyncio
import contextlib
import time

import attrs
import testtools
from parameterized import parameterized

from cranberryseam.core.events import (
    AnswerEnded,
    AnswerReady,
    AttemptFailed,
    RequestArrived,
)

from .harness import (
    GET,
    OK,
    ForwardingReducer,
    read_request,
    respond_once,
    run_gateway,
    run_target,
)

TIMEOUT_S = 0.5
# A request must end within half a second after its timeout.
MAX_DURATION_S = TIMEOUT_S + 0.5
# Limit of what is read from a target before the attempt is abandoned.
MAX_READ_BYTES = 4_000_000
MAX_OTHER_DURATION_S = 0.25
PAUSE_S = 0.02
HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
CHUNK = b'x' * 4096
LINE = b'x: ' + b'y' * 1000 + b'\r\n'
# Larger than the part of a response that is buffered before forwarding.
LARGE_CHUNK = b'20000\r\n' + b'x' * 0x20000 + b'\r\n'
NO_ANSWER = (
    ('noise', b'', CHUNK),
    ('noise_slowly', b'', b'x'),
    ('lines', b'', b'x\r\n'),
    ('empty_lines', b'', b'\r\n'),
    ('status_line', b'HTTP/1.1 200 ', CHUNK),
    ('header', HEAD + b'x: ', CHUNK),
    ('headers', HEAD, LINE),
    ('headers_slowly', HEAD, b'x: y\r\n'),
    ('interim_answers', b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
    ('chunk_size', CHUNKED, b'0' * 4096),
    ('chunk_size_slowly', CHUNKED, b'0'),
    ('chunk_extension', CHUNKED + b'1;', CHUNK),
    ('trailers', CHUNKED + b'0\r\n', LINE),
)
NO_END = (
    ('chunks', CHUNKED, b'1000\r\n' + CHUNK + b'\r\n'),
    ('chunks_slowly', CHUNKED, b'1\r\nx\r\n'),
    ('chunks_then_slowly', CHUNKED + LARGE_CHUNK, b'1\r\nx\r\n'),
    ('length', HEAD + b'Content-Length: 900000000000\r\n\r\n', CHUNK),
    ('length_slowly', HEAD + b'Content-Length: 900000000\r\n\r\n', b'x'),
)


@attrs.define(eq=False)
class EndlessTarget:
    """A target that never stops sending.

    Parameters
    ----------
    pause_s
        Pause between two chunks; 0 sends them as fast as they are read.
    sent
        Number of bytes written to the socket.
    closed
        Set once the peer has closed the connection.

    """

    prefix: bytes
    chunk: bytes
    pause_s: float = 0
    sent: int = 0
    closed: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Respond to one request without an end."""
        await read_request(reader)
        with contextlib.suppress(ConnectionError):
            writer.write(self.prefix)
            while not writer.is_closing():
                writer.write(self.chunk)
                await writer.drain()
                self.sent += len(self.chunk)
                await asyncio.sleep(self.pause_s)
        self.closed.set()
        writer.close()


@attrs.frozen
class Observation:
    """Results of the caller of an endless target and of another caller."""

    reply: bytes
    duration_s: float
    other_reply: bytes
    other_duration_s: float
    in_flight: int


def make_endless_target(
    name: str, prefix: bytes, chunk: bytes
) -> EndlessTarget:
    """Return a target; slow ones pause after each chunk."""
    return EndlessTarget(
        prefix, chunk, PAUSE_S if name.endswith('slowly') else 0
    )


async def read_reply(reader: asyncio.StreamReader) -> bytes:
    """Return the start and end of a reply, with a time limit."""
    reply = b''
    with contextlib.suppress(ConnectionError, TimeoutError):
        async with asyncio.timeout(2 * MAX_DURATION_S):
            while chunk := await reader.read(len(CHUNK)):
                reply = reply[: len(CHUNK)] + chunk
    return reply


async def call_endless_target(
    reducer: ForwardingReducer, endless_target: EndlessTarget
) -> Observation:
    """Send a request to an endless target and one to a working target."""
    arrivals: list[int] = []

    def choose(event: RequestArrived) -> list:
        arrivals.append(event.request_id)
        port = endless_port if len(arrivals) == 1 else working_port
        start = reducer.start(event.request_id, len(arrivals))
        return [attrs.evolve(start, port=port, answer_timeout_s=TIMEOUT_S)]

    reducer.rules[RequestArrived] = choose
    async with (
        run_target(endless_target.serve) as endless_port,
        run_target(respond_once(OK)) as working_port,
        run_gateway(reducer) as fixture,
    ):
        started_at = time.monotonic()
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', fixture.port
        )
        writer.write(GET)
        await asyncio.sleep(TIMEOUT_S / 2)
        other_started_at = time.monotonic()
        other_reply = await fixture.send_raw(GET)
        other_duration_s = time.monotonic() - other_started_at
        reply = await read_reply(reader)
        duration_s = time.monotonic() - started_at
        async with asyncio.timeout(1):
            await endless_target.closed.wait()
        writer.close()
        return Observation(
            reply,
            duration_s,
            other_reply,
            other_duration_s,
            fixture.gateway.in_flight,
        )


class EndlessAnswerTest(testtools.TestCase):
    """Guards against targets whose data blocks or slows down requests."""

    @parameterized.expand(NO_ANSWER)
    def test_no_answer(self, name: str, prefix: bytes, chunk: bytes) -> None:
        """The caller gets a refusal, because no response arrived."""
        reducer = ForwardingReducer(timeout_s=TIMEOUT_S)
        endless_target = make_endless_target(name, prefix, chunk)
        observation = asyncio.run(call_endless_target(reducer, endless_target))
        self.assertTrue(
            observation.reply.startswith(b'HTTP/1.1 502'), observation.reply
        )
        self.assertIn(b'"ran":"unknown"', observation.reply)
        (failed,) = reducer.events_of(AttemptFailed)
        self.assertTrue(failed.sent)
        self.check_observation(observation, endless_target)

    @parameterized.expand(NO_END)
    def test_no_end(self, name: str, prefix: bytes, chunk: bytes) -> None:
        """The caller's connection closes before the response looks complete."""
        reducer = ForwardingReducer(timeout_s=TIMEOUT_S)
        endless_target = make_endless_target(name, prefix, chunk)
        observation = asyncio.run(call_endless_target(reducer, endless_target))
        self.assertNotIn(b'\r\n0\r\n\r\n', observation.reply)
        ended = {
            event.attempt_id: event for event in reducer.events_of(AnswerEnded)
        }
        failed = {
            event.attempt_id for event in reducer.events_of(AttemptFailed)
        }
        self.assertTrue(1 in failed or not ended[1].complete)
        self.check_observation(observation, endless_target, max_read_bytes=None)

    def test_bytes_after_an_answer(self) -> None:
        """Data after a complete response is not assigned to any request."""
        reducer = ForwardingReducer(timeout_s=TIMEOUT_S)
        endless_target = EndlessTarget(OK, CHUNK)
        observation = asyncio.run(call_endless_target(reducer, endless_target))
        self.assertTrue(
            observation.reply.endswith(b'\r\n\r\nok'), observation.reply
        )
        self.assertEqual(len(reducer.events_of(AnswerReady)), 2)
        self.check_observation(observation, endless_target)

    def check_observation(
        self,
        observation: Observation,
        endless_target: EndlessTarget,
        max_read_bytes: int | None = MAX_READ_BYTES,
    ) -> None:
        """Check the duration and the effect on the other caller."""
        self.assertLess(observation.duration_s, MAX_DURATION_S)
        self.assertTrue(
            observation.other_reply.endswith(b'\r\n\r\nok'),
            observation.other_reply,
        )
        self.assertLess(observation.other_duration_s, MAX_OTHER_DURATION_S)
        self.assertEqual(observation.in_flight, 0)
        if max_read_bytes is not None:
            self.assertLess(endless_target.sent, max_read_bytes)
