"""Tests of the validation of request heads."""

from __future__ import annotations

import testtools
from parameterized import parameterized

from cranberryseam.configuration.settings import RequestSettings
from cranberryseam.core.refusals import RefusalReason
from cranberryseam.serving.credentials import hash_key
from cranberryseam.serving.framing import check_head

LIMITS = RequestSettings(most_header_bytes=2000)
HOST = (b'host', b'api.example')
MALFORMED = RefusalReason.malformed_request
INVALID_KEY = RefusalReason.idempotency_key_invalid


def check(
    *headers: tuple[bytes, bytes],
    target: bytes = b'/a',
    method: str = 'POST',
    host: bool = True,
    version: str = '1.1',
):
    path, _, query = target.partition(b'?')
    scope = {
        'method': method,
        'raw_path': path,
        'query_string': query,
        'http_version': version,
        'headers': [HOST, *headers] if host else list(headers),
    }
    return check_head(scope, LIMITS)


class RefusedHeadTest(testtools.TestCase):
    """Guards against heads that a target could interpret differently."""

    @parameterized.expand(
        [
            ('two_lengths', MALFORMED, [('content-length', '1')] * 2),
            ('length_list', MALFORMED, [('content-length', '1, 1')]),
            ('signed_length', MALFORMED, [('content-length', '+1')]),
            (
                'length_and_chunked',
                MALFORMED,
                [('content-length', '1'), ('transfer-encoding', 'chunked')],
            ),
            ('gzip_coding', MALFORMED, [('transfer-encoding', 'gzip')]),
            (
                'two_codings',
                MALFORMED,
                [('transfer-encoding', 'gzip, chunked')],
            ),
            ('second_host', MALFORMED, [('host', 'api.example')]),
            ('upgrade', MALFORMED, [('upgrade', 'h2c')]),
            ('expect', MALFORMED, [('expect', 'magic')]),
            ('bad_name', MALFORMED, [('a b', 'c')]),
            ('underscore', MALFORMED, [('x_forwarded_for', 'c')]),
            ('line_end', MALFORMED, [('a', 'b\r\nc: d')]),
            ('nul', MALFORMED, [('a', 'b\0')]),
            ('too_large', MALFORMED, [('a', 'b' * 2000)]),
            ('timeout_text', MALFORMED, [('request-timeout-ms', '1s')]),
            ('timeout_zero', MALFORMED, [('request-timeout-ms', '0')]),
            ('timeout_twice', MALFORMED, [('request-timeout-ms', '1')] * 2),
            ('basic', MALFORMED, [('authorization', 'Basic abc')]),
            ('empty_key', MALFORMED, [('x-api-key', '')]),
            ('long_idempotency', INVALID_KEY, [('idempotency-key', 'a' * 129)]),
            ('empty_idempotency', INVALID_KEY, [('idempotency-key', '')]),
            ('space_idempotency', INVALID_KEY, [('idempotency-key', 'a b')]),
            ('two_idempotency', INVALID_KEY, [('idempotency-key', 'a')] * 2),
        ]
    )
    def test_headers(self, _name: str, reason, headers) -> None:
        pairs = [(name.encode(), field.encode()) for name, field in headers]
        self.assertEqual(check(*pairs).error.reason, reason)

    @parameterized.expand(
        [
            ('dot', b'/a/./b'),
            ('dot_dot', b'/a/../b'),
            ('last_dot_dot', b'/a/..'),
            ('escaped_dots', b'/a/%2e%2E/b'),
            ('dots_with_parameter', b'/a/..;x/b'),
            ('escaped_slash', b'/a%2Fb'),
            ('escaped_backslash', b'/a%5cb'),
            ('backslash', b'/a\\b'),
            ('nul', b'/a%00'),
            ('control', b'/a%0d%0a'),
            ('raw_control', b'/a\x01'),
            ('not_ascii', b'/\xc3\xa9'),
            ('broken_escape', b'/a%4'),
            ('empty_segment', b'//a'),
            ('fragment', b'/a#b'),
            ('asterisk', b'*'),
            ('authority', b'api.example:80'),
            ('other_host', b'http://other.example/a'),
            ('user_in_authority', b'http://u@api.example/a'),
            ('https', b'https://api.example/a'),
            ('api_key', b'/a?api_key=1'),
            ('key', b'/a?b=1&KEY=1'),
            ('access_token', b'/a?access%5Ftoken'),
            ('semicolon', b'/a?b;key=1'),
        ]
    )
    def test_targets(self, _name: str, target: bytes) -> None:
        self.assertEqual(check(target=target).error.reason, MALFORMED)

    @parameterized.expand(
        [
            ('connect', {'method': 'CONNECT'}),
            ('trace', {'method': 'TRACE'}),
            ('lower_case', {'method': 'post'}),
            ('old_version', {'version': '1.0'}),
            ('http2', {'version': '2'}),
            ('no_host', {'host': False}),
        ]
    )
    def test_start(self, _name: str, start: dict) -> None:
        self.assertEqual(check(**start).error.reason, MALFORMED)


class AcceptedHeadTest(testtools.TestCase):
    """Guards what the reducer and the target receive of a valid head."""

    def test_two_keys_give_two_hashes(self) -> None:
        head = check(
            (b'authorization', b'bearer one'), (b'x-api-key', b'two')
        ).ok
        self.assertEqual(head.key_hashes, (hash_key(b'one'), hash_key(b'two')))
        self.assertEqual(head.headers, [])

    def test_dropped_headers(self) -> None:
        head = check(
            (b'connection', b'close, X-One'),
            (b'connection', b'x-two'),
            *((name, b'1') for name in (b'x-one', b'x-two', b'te')),
            *((name, b'1') for name in (b'via', b'forwarded', b'trailer')),
            (b'x-forwarded-for', b'1.2.3.4'),
            (b'cranberryseam-deadline-ms', b'1'),
            (b'x-three', b'3'),
        ).ok
        self.assertEqual(head.headers, [(b'x-three', b'3')])

    @parameterized.expand(
        [
            ('plain', b'/a/b?c=%20', '/a/b', 'c=%20', b'/a/b?c=%20'),
            ('unreserved', b'/%61%7e', '/a~', '', b'/%61%7e'),
            ('other_escape', b'/%c3%a9', '/%C3%A9', '', b'/%c3%a9'),
            ('absolute', b'http://API.example:80/a?b', '/a', 'b', b'/a?b'),
            ('absolute_root', b'http://api.example', '/', '', b'/'),
        ]
    )
    def test_path(
        self, _name: str, raw: bytes, path: str, query: str, sent: bytes
    ) -> None:
        target = check(target=raw).ok.target
        self.assertEqual(
            (target.path, target.query, target.raw), (path, query, sent)
        )

    def test_controls(self) -> None:
        head = check(
            (b'request-timeout-ms', b'1500'),
            (b'idempotency-key', b'k-1'),
            (b'content-length', b'7'),
        ).ok
        self.assertEqual(
            (head.timeout_s, head.idempotency_key, head.content_length),
            (1.5, 'k-1', 7),
        )
