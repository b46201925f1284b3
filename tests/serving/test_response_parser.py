"""Tests of the parser of responses."""

from __future__ import annotations

from collections.abc import Callable

import h11
import httpx
import testtools
from parameterized import parameterized

from cranberryseam.serving.response_parser import ResponseParser

HEAD = b'HTTP/1.1 200 OK\r\n'
LINES = b'a\n' * 20_000
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
# Below, and above, the limit on the lines of a head.
FEW_LINES = b'x:y\r\n' * 250
MANY_LINES = b'x:y\r\n' * 300


def add_chunks(size: int) -> bytes:
    """Return a chunked response with chunks of a size."""
    chunks = (LINES[at : at + size] for at in range(0, len(LINES), size))
    return CHUNKED + b''.join(
        b'%x\r\n%b\r\n' % (len(chunk), chunk) for chunk in chunks
    )


def start_request() -> ResponseParser:
    """Return a parser that expects the response to a request."""
    parser = ResponseParser()
    parser.encode(
        h11.Request(method=b'GET', target=b'/', headers=[(b'Host', b'h')])
    )
    parser.encode(h11.EndOfMessage())
    return parser


def read_all(parser: ResponseParser, raw: bytes, part_bytes: int) -> bytes:
    """Return the body of a response that arrives in parts."""
    body = bytearray()
    for at in range(0, len(raw), part_bytes):
        parser.receive(raw[at : at + part_bytes])
        body += read_received(parser)
    parser.receive_end()
    return bytes(body + read_received(parser))


def read_received(parser: ResponseParser) -> bytes:
    """Return what is received of the body."""
    body = bytearray()
    event = parser.next_event()
    while event is not None and not parser.has_ended:
        if isinstance(event, h11.Data):
            body += event.data
        event = parser.next_event()
    return bytes(body)


class ShortLinesTest(testtools.TestCase):
    """Guards against bodies of short lines that count as long heads."""

    @parameterized.expand(
        [
            ('one_chunk', add_chunks(len(LINES)) + b'0\r\n\r\n'),
            ('small_chunks', add_chunks(3) + b'0\r\n\r\n'),
            ('length', HEAD + b'Content-Length: 40000\r\n\r\n' + LINES),
            ('closed', HEAD + b'\r\n' + LINES),
            ('interim', b'HTTP/1.1 103 E\r\n%b\r\n' % FEW_LINES + CHUNKED[:-2]
             + FEW_LINES + b'\r\n' + add_chunks(999)[len(CHUNKED):]
             + b'0\r\n' + FEW_LINES + b'\r\n'),
        ]
    )  # fmt: skip
    def test_body(self, _name: str, raw: bytes) -> None:
        for part_bytes in (7, 1000, 16_384, len(raw)):
            parser = start_request()
            self.assertEqual(LINES, read_all(parser, raw, part_bytes))
            self.assertTrue(parser.has_ended)


class ManyLinesTest(testtools.TestCase):
    """Guards against heads whose lines take long to parse."""

    @parameterized.expand(
        [
            ('head', lambda lines: HEAD + lines),
            ('interim', lambda lines: b'HTTP/1.1 103 Early\r\n' + lines),
            ('trailers', lambda lines: CHUNKED + b'1\r\nx\r\n0\r\n' + lines),
        ]
    )
    def test_refused(self, _name: str, build: Callable[[bytes], bytes]) -> None:
        raw = build(MANY_LINES * 100) + b'\r\n'
        for part_bytes in (100, 16_384, len(raw)):
            self.assertRaises(
                httpx.RemoteProtocolError,
                read_all,
                start_request(),
                raw,
                part_bytes,
            )
