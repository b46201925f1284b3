"""Tests of the problem types and of response headers."""

from __future__ import annotations

import time
from email.utils import formatdate

import testtools
from parameterized import parameterized

from cranberryseam.core.refusals import RefusalReason
from cranberryseam.serving.headers import (
    build_forwarding_headers,
    select_response_headers,
)
from cranberryseam.serving.problems import PROBLEM_TYPES
from cranberryseam.serving.statements import parse_retry_after


class RenderingTest(testtools.TestCase):
    """Guards against a refusal reason without a problem document."""

    def test_table_covers_all_reasons(self) -> None:
        self.assertEqual(set(PROBLEM_TYPES), set(RefusalReason))

    def test_statuses_are_errors(self) -> None:
        for problem_type in PROBLEM_TYPES.values():
            self.assertIn(problem_type.status // 100, (4, 5))
            self.assertTrue(problem_type.title)


class AnswerHeaderTest(testtools.TestCase):
    """Guards against framing headers of targets that reach callers."""

    def test_hop_by_hop(self) -> None:
        kept = select_response_headers(
            [
                (b'Connection', b'X-One, close'),
                (b'Keep-Alive', b'timeout=5'),
                (b'Transfer-Encoding', b'chunked'),
                (b'X-One', b'1'),
                (b'Set-Cookie', b'a'),
                (b'Set-Cookie', b'b'),
            ]
        )
        cookies = [(b'set-cookie', b'a'), (b'set-cookie', b'b')]
        self.assertEqual(kept, cookies)

    @parameterized.expand(
        [
            ('seconds', b'120', 120),
            ('past', b'Wed, 21 Oct 2015 07:28:00 GMT', 0),
            ('text', b'soon', None),
            ('negative', b'-1', None),
            ('huge', b'9' * 40, None),
        ]
    )
    def test_retry_after(self, _name: str, field: bytes, seconds) -> None:
        self.assertEqual(parse_retry_after(field), seconds)

    def test_retry_after_date(self) -> None:
        field = formatdate(time.time() + 60, usegmt=True).encode()
        self.assertLess(abs(parse_retry_after(field) - 60), 5)

    def test_forwarded_address_with_colons(self) -> None:
        headers = dict(
            build_forwarding_headers('::1', 'http', b'h:80', b'1.1 v')
        )
        self.assertEqual(
            headers[b'forwarded'], b'for="[::1]";host="h:80";proto=http'
        )
