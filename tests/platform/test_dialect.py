"""Tests of the headers and statuses of the platform."""

from __future__ import annotations

import httpx
from adapter import DIALECT
from parameterized import parameterized
from testtools import TestCase

from cranberryseam.configuration.settings import RequestSettings
from cranberryseam.core.refusals import Executed, Refusal, RefusalReason
from cranberryseam.serving import hash_key
from cranberryseam.serving.framing import check_head
from cranberryseam.serving.problems import PROBLEM_TYPES
from cranberryseam.serving.responses import open_response

_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_SEAL = (b'Response-Seal', b'3e1b')
_LENGTH = (b'Content-Length', b'2')
_REQUEST_ID = (b'Request-Id', b'9c41')
_NOT_EXECUTED = (b'Not-Executed', b'1')
_OTHER_REQUEST_ID = (b'Request-Id', b'77')
_ReceivedResponse = tuple[int, *tuple[tuple[bytes, bytes], ...]]


def _check(*headers: tuple[bytes, bytes]):  # noqa: ANN202
    scope = {
        'method': 'POST',
        'http_version': '1.1',
        'raw_path': b'/pay/1',
        'query_string': b'',
        'headers': [(b'host', b'shop.example'), *headers],
    }
    return check_head(scope, RequestSettings(), DIALECT)


def _open(  # noqa: ANN202
    status: int,
    *headers: tuple[bytes, bytes],
    request_id: bytes = _REQUEST_ID[1],
):
    response = httpx.Response(
        status, headers=list(headers), stream=httpx.ByteStream(b'ok')
    )
    return open_response(response, 'GET', DIALECT, request_id)


class RequestTest(TestCase):
    """Headers read from a client's request and headers sent to the upstream."""

    def test_control_headers(self) -> None:
        """Guards against passing a key or a forged account to a target."""
        head = _check(
            (b'authorization', b'Token k1'),
            (b'deadline-ms', b'2500'),
            (b'request-id', b'9c41'),
            (b'tenant', b'another'),
            (b'expect-instance', b'i-9'),
            (b'x-trace', b'7'),
        ).ok
        self.assertEqual(head.key_hashes, (hash_key(b'k1'),))
        self.assertEqual(head.timeout_s, 2.5)
        self.assertEqual(head.caller_request_id, b'9c41')
        names = [name for name, _ in head.headers]
        self.assertEqual(names, [b'request-id', b'x-trace'])


class ResponseTest(TestCase):
    """Acceptance of responses from upstreams."""

    @parameterized.expand(
        [
            ('whole', (200, _SEAL, _LENGTH, _REQUEST_ID), True),
            ('no seal', (200, _LENGTH, _REQUEST_ID), False),
            (
                'of another request',
                (200, _SEAL, _LENGTH, _OTHER_REQUEST_ID),
                False,
            ),
            (
                'encoded',
                (
                    200,
                    _SEAL,
                    _LENGTH,
                    _REQUEST_ID,
                    (b'Content-Encoding', b'gzip'),
                ),
                False,
            ),
            ('without an id', (200, _SEAL, _LENGTH), False),
            (
                'with two ids',
                (200, _SEAL, _LENGTH, _OTHER_REQUEST_ID, _REQUEST_ID),
                False,
            ),
            ('failure without an id', (500, _LENGTH), False),
            ('refusal without an id', (503, _LENGTH, _NOT_EXECUTED), False),
            ('refusal', (503, _LENGTH, _NOT_EXECUTED, _REQUEST_ID), True),
            ('ends with its connection', (200, _SEAL, _REQUEST_ID), True),
            ('failure without seal', (500, _LENGTH, _REQUEST_ID), True),
        ]
    )
    def test_acceptance(
        self, _: str, received: _ReceivedResponse, accepted: bool
    ) -> None:
        """Guards against sending a client the response of another request."""
        self.assertEqual(_open(*received).is_ok(), accepted)

    def test_request_without_id(self) -> None:
        """Guards against refusing what targets answer without an id to echo."""
        answer = _open(400, _LENGTH, _NOT_EXECUTED, request_id=b'')
        self.assertTrue(answer.ok.not_run)

    @parameterized.expand(
        [
            ('full', 503, True, True),
            ('other target', 421, False, True),
            ('no id', 400, True, True),
            ('own failure', 500, False, False),
            ('own 503', 503, False, False),
        ]
    )
    def test_not_run(
        self, _: str, status: int, has_header: bool, expected: bool
    ) -> None:
        """Guards against retrying a request that may have run."""
        not_run_header = (_NOT_EXECUTED,) if has_header else ()
        answer = _open(status, _LENGTH, _REQUEST_ID, *not_run_header)
        self.assertEqual(answer.ok.not_run, expected)

    @parameterized.expand(
        [
            (f'{status}_{"stated" if stated else "bare"}', status, stated, bare)
            for status, bare in (
                (408, True),
                (429, True),
                (503, True),
                # Stated by the status itself.
                (421, False),
                (500, False),
                (200, False),
            )
            for stated in (True, False)
        ]
    )
    def test_unconfirmed_refusal(
        self, _: str, status: int, stated: bool, bare: bool
    ) -> None:
        """Guards against promises to clients that no upstream has given."""
        stated_header = (_NOT_EXECUTED,) if stated else ()
        answer = _open(status, _SEAL, _LENGTH, _REQUEST_ID, *stated_header)
        self.assertEqual(bare and not stated, answer.ok.is_unconfirmed_refusal)


class RefusalTest(TestCase):
    """Statuses that guarantee that a request never runs."""

    @parameterized.expand([(reason.value, reason) for reason in RefusalReason])
    def test_unknown_execution(self, _: str, reason: RefusalReason) -> None:
        """Guards against reporting "not run" for what may have run."""
        status = DIALECT.find_status(Refusal(reason, Executed.unknown))
        actual_status = status or PROBLEM_TYPES[reason].status
        self.assertNotIn(actual_status, _NOT_RUN_STATUSES)

    @parameterized.expand(
        [
            (RefusalReason.deadline_too_short,),
            (RefusalReason.target_unreachable,),
            (RefusalReason.queue_timeout,),
            (RefusalReason.draining,),
            (RefusalReason.keys_stale,),
        ]
    )
    def test_client_may_retry(self, reason: RefusalReason) -> None:
        """Guards against statuses that keep a client from a safe retry."""
        status = DIALECT.find_status(Refusal(reason, Executed.no))
        self.assertEqual(status or PROBLEM_TYPES[reason].status, 503)
