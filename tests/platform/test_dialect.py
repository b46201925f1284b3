"""Headers and statuses of the platform."""

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

_PROMISES = frozenset((408, 421, 429, 503))
_SEAL = (b'Response-Seal', b'3e1b')
_LENGTH = (b'Content-Length', b'2')
_ID = (b'Request-Id', b'9c41')
_OTHER_ID = (b'Request-Id', b'77')
_Came = tuple[int, *tuple[tuple[bytes, bytes], ...]]


def _check(*headers: tuple[bytes, bytes]):  # noqa: ANN202
    scope = {
        'method': 'POST',
        'http_version': '1.1',
        'raw_path': b'/pay/1',
        'query_string': b'',
        'headers': [(b'host', b'shop.example'), *headers],
    }
    return check_head(scope, RequestSettings(), DIALECT)


def _open(status: int, *headers: tuple[bytes, bytes]):  # noqa: ANN202
    response = httpx.Response(
        status, headers=list(headers), stream=httpx.ByteStream(b'ok')
    )
    return open_response(response, 'GET', DIALECT, b'9c41')


class RequestTest(TestCase):
    """What is read from a client's request, and what its upstream gets."""

    def test_controls(self) -> None:
        """Guards against a key or a forged account that reaches a target."""
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


class AnswerTest(TestCase):
    """Which answers of upstreams are taken."""

    @parameterized.expand(
        [
            ('whole', (200, _SEAL, _LENGTH, _ID), True),
            ('no seal', (200, _LENGTH, _ID), False),
            ('of another request', (200, _SEAL, _LENGTH, _OTHER_ID), False),
            (
                'encoded',
                (200, _SEAL, _LENGTH, _ID, (b'Content-Encoding', b'gzip')),
                False,
            ),
            ('ends with its connection', (200, _SEAL, _ID), True),
            ('failure without seal', (500, _LENGTH, _ID), True),
        ]
    )
    def test_taken(self, _: str, came: _Came, taken: bool) -> None:
        """Guards against bytes of another request given to a client."""
        self.assertEqual(_open(*came) is not None, taken)

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
        self, _: str, status: int, says_so: bool, expected: bool
    ) -> None:
        """Guards against a second run of what may have run."""
        said = ((b'Not-Executed', b'1'),) if says_so else ()
        answer = _open(status, _LENGTH, *said)
        self.assertEqual(answer.not_run, expected)


class RefusalTest(TestCase):
    """Statuses that promise that a request never runs."""

    @parameterized.expand([(reason.value, reason) for reason in RefusalReason])
    def test_promise_is_true(self, _: str, reason: RefusalReason) -> None:
        """Guards against "not run" for what may have run."""
        status = DIALECT.find_status(Refusal(reason, Executed.unknown))
        told = status or PROBLEM_TYPES[reason].status
        self.assertNotIn(told, _PROMISES)

    @parameterized.expand(
        [
            (RefusalReason.deadline_too_short,),
            (RefusalReason.target_unreachable,),
            (RefusalReason.queue_timeout,),
            (RefusalReason.draining,),
            (RefusalReason.keys_stale,),
        ]
    )
    def test_client_may_come_back(self, reason: RefusalReason) -> None:
        """Guards against a client that gives up what never ran."""
        status = DIALECT.find_status(Refusal(reason, Executed.no))
        self.assertEqual(status or PROBLEM_TYPES[reason].status, 503)
