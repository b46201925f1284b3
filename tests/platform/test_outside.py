"""Tests of the platform's interface for upstreams and operators."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs
from adapter import PlatformApi
from parameterized import parameterized
from testtools import TestCase

from cranberryseam.configuration.model import Document
from cranberryseam.core.commands import (
    Command,
    CommandAnswer,
    NotLeader,
    OutcomeUnknown,
)
from cranberryseam.core.documents import (
    DocumentConflict,
    DocumentMissing,
    PutDocument,
)
from cranberryseam.core.errors import Failure
from cranberryseam.core.events import Announcement
from cranberryseam.types import VmId

_EMPTY_CONFIGURATION = (
    b'{"version":"r7","routes":{"columns":[],"rows":[]},'
    b'"services":{"columns":[],"rows":[]}}'
)
_HEARTBEAT = (
    b'{"address":"10.0.0.9:80","info":{"service":"s","zone":"a",'
    b'"maxConcurrency":4},"status":{"state":"ready","sequence":1}}'
)


@attrs.define
class _FakeApi:
    """API that gives the same answer to each command and announcement."""

    answer: Any
    submitted: list[object] = attrs.field(factory=list)

    async def submit(
        self, submission: Command | Announcement, _: object
    ) -> CommandAnswer | Failure | None:
        self.submitted.append(submission)
        return self.answer


def _call(
    method: str, path: str, body: bytes, answer: object
) -> tuple[int, dict[bytes, bytes], bytes, list[object]]:
    api = _FakeApi(answer)
    sent: list[dict[str, Any]] = []

    async def receive() -> dict[str, Any]:
        return {'type': 'http.request', 'body': body, 'more_body': False}

    async def send(message: dict[str, Any]) -> None:
        sent.append(message)

    scope = {
        'type': 'http',
        'method': method,
        'path': f'/cranberryseam/{path}',
        'server': ('10.0.0.1', 8783),
    }
    app = PlatformApi.build(api, api)  # type: ignore[arg-type]
    asyncio.run(app(scope, receive, send))
    start, rest = sent
    headers = dict(start['headers'])
    return start['status'], headers, rest['body'], api.submitted


class ConfigurationTest(TestCase):
    """Writing and reading configurations."""

    @parameterized.expand(
        [
            ('stored', CommandAnswer(7), 200),
            ('other content', DocumentConflict(7), 409),
            ('no leader', NotLeader(None), 503),
            ('unknown', OutcomeUnknown(), 503),
        ]
    )
    def test_put(self, _: str, answer: object, status: int) -> None:
        """Guards against refusing what may have been accepted."""
        actual_status, _headers, _body, submitted = _call(
            'PUT', 'config', _EMPTY_CONFIGURATION, answer
        )
        self.assertEqual(actual_status, status)
        self.assertIsInstance(submitted[0], PutDocument)

    def test_invalid_is_not_submitted(self) -> None:
        """Guards against an invalid configuration in the replicated log."""
        actual_status, _headers, _body, submitted = _call(
            'PUT', 'config', b'{', None
        )
        self.assertEqual((actual_status, submitted), (400, []))

    def test_other_leader(self) -> None:
        """Guards against a client that can't find the leader."""
        leader = NotLeader(VmId('10.0.0.2:7340'))
        actual_status, headers, _body, _submitted = _call(
            'PUT', 'config', _EMPTY_CONFIGURATION, leader
        )
        self.assertEqual(actual_status, 307)
        self.assertEqual(
            headers[b'location'], b'http://10.0.0.2:8783/cranberryseam/config'
        )

    @parameterized.expand(
        [
            ('stored', CommandAnswer(7, Document(7, b'raw')), 200, b'raw'),
            ('none yet', DocumentMissing(), 503, None),
            ('not sure', OutcomeUnknown(), 503, None),
        ]
    )
    def test_read(
        self, _: str, answer: object, status: int, body: bytes | None
    ) -> None:
        """Guards against returning an outdated configuration."""
        actual_status, _headers, read, _submitted = _call(
            'GET', 'config', b'', answer
        )
        self.assertEqual(actual_status, status)
        if body is not None:
            self.assertEqual(read, body)


class InstanceTest(TestCase):
    """Heartbeats and departures of upstreams."""

    @parameterized.expand(
        [
            ('beat', 'PUT', _HEARTBEAT, None, 200),
            ('leave', 'DELETE', b'', None, 200),
            ('unreadable', 'PUT', b'{', None, 400),
            ('no leader', 'PUT', _HEARTBEAT, OutcomeUnknown(), 503),
        ]
    )
    def test_instance(
        self, _: str, method: str, body: bytes, answer: object, status: int
    ) -> None:
        """Guards against acknowledging a message that was not accepted."""
        actual_status, _headers, _body, _submitted = _call(
            method, 'instances/i-1', body, answer
        )
        self.assertEqual(actual_status, status)

    def test_unknown_path(self) -> None:
        """Guards against a crash on a path that the platform may add."""
        actual_status, _headers, _body, _submitted = _call(
            'GET', 'other', b'', None
        )
        self.assertEqual(actual_status, 404)
