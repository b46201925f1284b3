"""Tests of targets that send invalid or endless responses."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import threading
import time
import tracemalloc
from collections.abc import Iterator

import attrs
import testtools
from parameterized import parameterized

from cranberryseam.core.effects import CancelAttempt, Effect
from cranberryseam.core.events import (
    AnswerEnded,
    AnswerReady,
    AttemptFailed,
    CallerConnectionClosed,
    RequestArrived,
)
from cranberryseam.serving.dialect import DEFAULT_DIALECT

from .harness import (
    GET,
    OK,
    ForwardingReducer,
    GatewayFixture,
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


# Requests to endless targets at the same time.
ENDLESS_REQUESTS = 24
# A VM of 300 MB holds the answers of a few hundred targets.
MAX_HELD_BYTES = 524_288
SMALL_CHUNK = b'1\r\nx\r\n'
# Close to the limit of a head; a line costs the same whatever its length.
MANY_LINES = b'x:y\r\n' * 20_000 + b'\r\n'
ENDS_BY_CLOSE = attrs.evolve(DEFAULT_DIALECT, accept_close_delimited=True)
FAST_ANSWERS = (
    ('chunks_of_1', CHUNKED, SMALL_CHUNK),
    ('chunks_of_64', CHUNKED, b'40\r\n' + b'x' * 64 + b'\r\n'),
    ('chunks_of_256', CHUNKED, b'100\r\n' + b'x' * 256 + b'\r\n'),
    ('long_extensions', CHUNKED, b'1;%b\r\nx\r\n' % (b'e' * 2000)),
    ('large_chunks', CHUNKED, b'1000\r\n' + CHUNK + b'\r\n'),
    ('no_length', HEAD + b'\r\n', CHUNK),
    ('interim_answers', b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    ('header_lines', CHUNKED[:-2] + MANY_LINES, SMALL_CHUNK),
    ('interim_lines', b'', b'HTTP/1.1 103 Early Hints\r\n' + MANY_LINES),
    ('trailer_lines', CHUNKED + SMALL_CHUNK + b'0\r\n' + MANY_LINES, b'x'),
)


@contextlib.contextmanager
def run_endless_threads(prefix: bytes, chunk: bytes) -> Iterator[int]:
    """Serve endless answers outside of the event loop; yield the port."""
    piece = chunk * max(1, 65_536 // len(chunk))

    def send(connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            connection.recv(65_536)
            connection.sendall(prefix)
            while True:
                connection.sendall(piece)

    def accept(listener: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                threading.Thread(
                    target=send, args=(connection,), daemon=True
                ).start()

    with socket.create_server(('127.0.0.1', 0), backlog=512) as listener:
        thread = threading.Thread(target=accept, args=(listener,), daemon=True)
        thread.start()
        yield listener.getsockname()[1]
        listener.shutdown(socket.SHUT_RDWR)
        thread.join()


@attrs.frozen
class Load:
    """Effects of many endless answers on a gateway.

    Parameters
    ----------
    replies, durations_s
        Replies to the requests to another target, and how long they took.
    held_bytes
        Most bytes that the process has allocated; 0 if they weren't traced.

    """

    replies: tuple[bytes, ...]
    durations_s: tuple[float, ...]
    held_bytes: int = 0

    def find_failures(self) -> list[bytes]:
        """Return the replies that aren't answers of the other target."""
        return [
            reply for reply in self.replies if not reply.endswith(b'\r\n\r\nok')
        ]


async def call_and_discard(port: int) -> None:
    """Send a request and read as fast as possible until the end."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(GET)
    with contextlib.suppress(ConnectionError):
        while await reader.read(65_536):
            await asyncio.sleep(0)
    writer.close()


async def call_repeatedly(fixture: GatewayFixture, duration_s: float) -> Load:
    """Send requests one after another; without an answer a reply is empty."""
    replies: list[bytes] = []
    durations_s: list[float] = []
    ends_at = time.monotonic() + duration_s
    while time.monotonic() < ends_at:
        started_at = time.monotonic()
        reply = b''
        with contextlib.suppress(TimeoutError):
            reply = await fixture.send_raw(GET)
        replies.append(reply)
        durations_s.append(time.monotonic() - started_at)
    return Load(tuple(replies), tuple(durations_s))


async def measure_load(
    prefix: bytes, chunk: bytes, *, traced: bool = False
) -> Load:
    """Call a sound target while many requests get endless answers.

    Parameters
    ----------
    traced
        Whether allocated bytes are counted, which slows the process down.

    """
    reducer = ForwardingReducer(timeout_s=TIMEOUT_S)
    arrivals: list[int] = []

    def choose(event: RequestArrived) -> list:
        arrivals.append(event.request_id)
        is_endless = len(arrivals) <= ENDLESS_REQUESTS
        start = reducer.start(event.request_id, len(arrivals))
        port = endless_port if is_endless else working_port
        timeout_s = 2 * TIMEOUT_S if is_endless else MAX_DURATION_S
        return [attrs.evolve(start, port=port, answer_timeout_s=timeout_s)]

    reducer.rules[RequestArrived] = choose
    with run_endless_threads(prefix, chunk) as endless_port:
        async with (
            run_target(respond_once(OK)) as working_port,
            run_gateway(reducer, ENDS_BY_CLOSE) as fixture,
        ):
            if traced:
                tracemalloc.start()
            endless = [
                asyncio.create_task(call_and_discard(fixture.port))
                for _ in range(ENDLESS_REQUESTS)
            ]
            while len(arrivals) < ENDLESS_REQUESTS:
                await asyncio.sleep(PAUSE_S)
            load = await call_repeatedly(fixture, TIMEOUT_S)
            await asyncio.gather(*endless)
    held_bytes = tracemalloc.get_traced_memory()[1] if traced else 0
    tracemalloc.stop()
    return attrs.evolve(load, held_bytes=held_bytes)


class ManyEndlessAnswersTest(testtools.TestCase):
    """Many requests at once get answers without end, as fast as possible."""

    @parameterized.expand(FAST_ANSWERS)
    def test_other_requests(self, _: str, prefix: bytes, chunk: bytes) -> None:
        """Guards against an event loop that endless answers occupy.

        The requests of other callers timed out.
        """
        load = asyncio.run(measure_load(prefix, chunk))
        self.assertEqual([], load.find_failures())
        self.assertLess(max(load.durations_s), MAX_OTHER_DURATION_S)

    @parameterized.expand(FAST_ANSWERS)
    def test_memory(self, _: str, prefix: bytes, chunk: bytes) -> None:
        """Guards against a process that keeps all that targets send."""
        load = asyncio.run(measure_load(prefix, chunk, traced=True))
        self.assertLess(load.held_bytes / ENDLESS_REQUESTS, MAX_HELD_BYTES)
        self.assertEqual([], load.find_failures())


# A valid answer of more chunks than are parsed in one turn.
SMALL_CHUNKS = CHUNKED + 128 * SMALL_CHUNK + b'0\r\n\r\n'
WAITING_REQUESTS = 100


async def start_endless_answers(
    fixture: GatewayFixture,
) -> list[asyncio.StreamWriter]:
    """Send requests that get endless answers."""
    writers = []
    for _ in range(WAITING_REQUESTS):
        _, writer = await asyncio.open_connection('127.0.0.1', fixture.port)
        writer.write(GET)
        writers.append(writer)
    await fixture.reducer.wait_for(RequestArrived, WAITING_REQUESTS)
    await asyncio.sleep(TIMEOUT_S)
    return writers


async def measure_small_chunks(*, callers_leave: bool) -> Load:
    """Call a target with small chunks after requests for endless answers."""
    reducer = ForwardingReducer()

    def choose(event: RequestArrived) -> list[Effect]:
        number = len(reducer.events_of(RequestArrived))
        port = endless_port if number <= WAITING_REQUESTS else valid_port
        start = reducer.start(event.request_id, number)
        return [attrs.evolve(start, port=port)]

    def cancel(event: CallerConnectionClosed) -> list[Effect]:
        # Requests and attempts have the same numbers.
        return [CancelAttempt(event.request_id, event.request_id)]

    reducer.rules = {RequestArrived: choose, CallerConnectionClosed: cancel}
    with run_endless_threads(CHUNKED, SMALL_CHUNK) as endless_port:
        async with (
            run_target(respond_once(SMALL_CHUNKS)) as valid_port,
            run_gateway(reducer) as fixture,
        ):
            writers = await start_endless_answers(fixture)
            if callers_leave:
                for writer in writers:
                    writer.transport.abort()
                await reducer.wait_for(CallerConnectionClosed, WAITING_REQUESTS)
            started_at = time.monotonic()
            reply = await fixture.send_raw(GET)
            return Load((reply,), (time.monotonic() - started_at,))


class SmallChunksTest(testtools.TestCase):
    """A target sends a valid answer of small chunks, another endless ones."""

    @parameterized.expand([('left', True), ('in_progress', False)])
    def test_valid_answer(self, _: str, callers_leave: bool) -> None:
        """Guards against a valid answer that waits for all endless ones.

        It also waited for those whose callers had left, since their turns
        stayed reserved.
        """
        load = asyncio.run(measure_small_chunks(callers_leave=callers_leave))
        self.assertTrue(load.replies[0].endswith(b'\r\n0\r\n\r\n'))
        self.assertLess(max(load.durations_s), MAX_OTHER_DURATION_S)
