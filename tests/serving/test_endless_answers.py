"""Targets whose bytes are no answer, or an answer without an end."""

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
    GrantingReducer,
    answer_once,
    read_request,
    run_stage,
    run_target,
)

TIMEOUT_S = 0.5
# Half a second after its time a request must have ended.
ENDED_S = TIMEOUT_S + 0.5
# What a target may make this process read before it is given up.
MOST_READ = 4_000_000
OTHER_S = 0.25
PAUSE_S = 0.02
HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
PART = b'x' * 4096
LINE = b'x: ' + b'y' * 1000 + b'\r\n'
# More than what is read before the answer is passed on.
LARGE_CHUNK = b'20000\r\n' + b'x' * 0x20000 + b'\r\n'
NO_ANSWER = (
    ('noise', b'', PART),
    ('noise_slowly', b'', b'x'),
    ('lines', b'', b'x\r\n'),
    ('empty_lines', b'', b'\r\n'),
    ('status_line', b'HTTP/1.1 200 ', PART),
    ('header', HEAD + b'x: ', PART),
    ('headers', HEAD, LINE),
    ('headers_slowly', HEAD, b'x: y\r\n'),
    ('interim_answers', b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
    ('chunk_size', CHUNKED, b'0' * 4096),
    ('chunk_size_slowly', CHUNKED, b'0'),
    ('chunk_extension', CHUNKED + b'1;', PART),
    ('trailers', CHUNKED + b'0\r\n', LINE),
)
NO_END = (
    ('chunks', CHUNKED, b'1000\r\n' + PART + b'\r\n'),
    ('chunks_slowly', CHUNKED, b'1\r\nx\r\n'),
    ('chunks_then_slowly', CHUNKED + LARGE_CHUNK, b'1\r\nx\r\n'),
    ('length', HEAD + b'Content-Length: 900000000000\r\n\r\n', PART),
    ('length_slowly', HEAD + b'Content-Length: 900000000\r\n\r\n', b'x'),
)


@attrs.define(eq=False)
class Flood:
    """A target that never stops to send.

    Parameters
    ----------
    pause_s
        Pause between two parts, 0 for as fast as they are read.
    sent
        Bytes given to the network.
    closed
        Set once the connection was closed by the other side.

    """

    first: bytes
    part: bytes
    pause_s: float = 0
    sent: int = 0
    closed: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request without an end."""
        await read_request(reader)
        with contextlib.suppress(ConnectionError):
            writer.write(self.first)
            while not writer.is_closing():
                writer.write(self.part)
                await writer.drain()
                self.sent += len(self.part)
                await asyncio.sleep(self.pause_s)
        self.closed.set()
        writer.close()


@attrs.frozen
class Seen:
    """What the caller of the flood and another caller saw."""

    reply: bytes
    took_s: float
    other: bytes
    other_s: float
    in_flight: int


def make_flood(name: str, first: bytes, part: bytes) -> Flood:
    """Return a target; slow ones send one part at a time."""
    return Flood(first, part, PAUSE_S if name.endswith('slowly') else 0)


async def read_reply(reader: asyncio.StreamReader) -> bytes:
    """Return begin and end of a reply, given up after a while."""
    first = b''
    with contextlib.suppress(ConnectionError, TimeoutError):
        async with asyncio.timeout(2 * ENDED_S):
            while part := await reader.read(len(PART)):
                first = first[: len(PART)] + part
    return first


async def call_flood(reducer: GrantingReducer, flood: Flood) -> Seen:
    """Send a request to a flood, and one to a sound target meanwhile."""
    arrivals: list[int] = []

    def choose(event: RequestArrived) -> list:
        arrivals.append(event.request_id)
        port = floods if len(arrivals) == 1 else sound
        start = reducer.start(event.request_id, len(arrivals))
        return [attrs.evolve(start, port=port, ends_within_s=TIMEOUT_S)]

    reducer.rules[RequestArrived] = choose
    async with (
        run_target(flood.serve) as floods,
        run_target(answer_once(OK)) as sound,
        run_stage(reducer) as stage,
    ):
        begun = time.monotonic()
        reader, writer = await asyncio.open_connection('127.0.0.1', stage.port)
        writer.write(GET)
        await asyncio.sleep(TIMEOUT_S / 2)
        other_begun = time.monotonic()
        other = await stage.send_raw(GET)
        other_s = time.monotonic() - other_begun
        reply = await read_reply(reader)
        took_s = time.monotonic() - begun
        async with asyncio.timeout(1):
            await flood.closed.wait()
        writer.close()
        return Seen(reply, took_s, other, other_s, stage.gateway.in_flight)


class EndlessAnswerTest(testtools.TestCase):
    """Guards against requests that a target's bytes keep open or slow."""

    @parameterized.expand(NO_ANSWER)
    def test_no_answer(self, name: str, first: bytes, part: bytes) -> None:
        """The caller is told that no answer came."""
        reducer = GrantingReducer(timeout_s=TIMEOUT_S)
        flood = make_flood(name, first, part)
        seen = asyncio.run(call_flood(reducer, flood))
        self.assertTrue(seen.reply.startswith(b'HTTP/1.1 502'), seen.reply)
        self.assertIn(b'"ran":"unknown"', seen.reply)
        (failed,) = reducer.of(AttemptFailed)
        self.assertTrue(failed.sent)
        self.check_others(seen, flood)

    @parameterized.expand(NO_END)
    def test_no_end(self, name: str, first: bytes, part: bytes) -> None:
        """The caller's connection ends before the answer looks complete."""
        reducer = GrantingReducer(timeout_s=TIMEOUT_S)
        flood = make_flood(name, first, part)
        seen = asyncio.run(call_flood(reducer, flood))
        self.assertNotIn(b'\r\n0\r\n\r\n', seen.reply)
        ended = {event.attempt_id: event for event in reducer.of(AnswerEnded)}
        failed = {event.attempt_id for event in reducer.of(AttemptFailed)}
        self.assertTrue(1 in failed or not ended[1].whole)
        self.check_others(seen, flood, most_read=None)

    def test_bytes_after_an_answer(self) -> None:
        """Bytes behind a complete answer belong to no request."""
        reducer = GrantingReducer(timeout_s=TIMEOUT_S)
        flood = Flood(OK, PART)
        seen = asyncio.run(call_flood(reducer, flood))
        self.assertTrue(seen.reply.endswith(b'\r\n\r\nok'), seen.reply)
        self.assertEqual(len(reducer.of(AnswerReady)), 2)
        self.check_others(seen, flood)

    def check_others(
        self, seen: Seen, flood: Flood, most_read: int | None = MOST_READ
    ) -> None:
        """Check the time, and what the other caller noticed."""
        self.assertLess(seen.took_s, ENDED_S)
        self.assertTrue(seen.other.endswith(b'\r\n\r\nok'), seen.other)
        self.assertLess(seen.other_s, OTHER_S)
        self.assertEqual(seen.in_flight, 0)
        if most_read is not None:
            self.assertLess(flood.sent, most_read)
