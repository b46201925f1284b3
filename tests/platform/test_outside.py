"""The platform's interface for upstreams and the operator."""

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

_EMPTY = (
    b'{"version":"r7","routes":{"columns":[],"rows":[]},'
    b'"services":{"columns":[],"rows":[]}}'
)
_BEAT = (
    b'{"address":"10.0.0.9:80","info":{"service":"s","zone":"a",'
    b'"maxConcurrency":4},"status":{"state":"ready","sequence":1}}'
)


@attrs.define
class _Product:
    """Answers every command and announcement in the same way."""

    answer: Any
    taken: list[object] = attrs.field(factory=list)

    async def submit(
        self, came: Command | Announcement, _: object
    ) -> CommandAnswer | Failure | None:
        self.taken.append(came)
        return self.answer


def _call(
    method: str, path: str, body: bytes, answer: object
) -> tuple[int, dict[bytes, bytes], bytes, list[object]]:
    product = _Product(answer)
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
    app = PlatformApi.build(product, product)  # type: ignore[arg-type]
    asyncio.run(app(scope, receive, send))
    start, rest = sent
    headers = dict(start['headers'])
    return start['status'], headers, rest['body'], product.taken


class ConfigurationTest(TestCase):
    """Configurations that an operator sends and reads."""

    @parameterized.expand(
        [
            ('stored', CommandAnswer(7), 200),
            ('other content', DocumentConflict(7), 409),
            ('no leader', NotLeader(None), 503),
            ('unknown', OutcomeUnknown(), 503),
        ]
    )
    def test_put(self, _: str, answer: object, status: int) -> None:
        """Guards against a refusal of what may have been accepted."""
        told, _headers, _body, taken = _call('PUT', 'config', _EMPTY, answer)
        self.assertEqual(told, status)
        self.assertIsInstance(taken[0], PutDocument)

    def test_invalid_isn_t_passed_on(self) -> None:
        """Guards against an invalid configuration in the log."""
        told, _headers, _body, taken = _call('PUT', 'config', b'{', None)
        self.assertEqual((told, taken), (400, []))

    def test_other_leader(self) -> None:
        """Guards against an operator that never finds the leader."""
        leader = NotLeader(VmId('10.0.0.2:7340'))
        told, headers, _body, _taken = _call('PUT', 'config', _EMPTY, leader)
        self.assertEqual(told, 307)
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
        """Guards against an old configuration in place of no answer."""
        told, _headers, read, _taken = _call('GET', 'config', b'', answer)
        self.assertEqual(told, status)
        if body is not None:
            self.assertEqual(read, body)


class InstanceTest(TestCase):
    """Heartbeats and departures of upstreams."""

    @parameterized.expand(
        [
            ('beat', 'PUT', _BEAT, None, 200),
            ('leave', 'DELETE', b'', None, 200),
            ('unreadable', 'PUT', b'{', None, 400),
            ('no leader', 'PUT', _BEAT, OutcomeUnknown(), 503),
        ]
    )
    def test_instance(
        self, _: str, method: str, body: bytes, answer: object, status: int
    ) -> None:
        """Guards against an acknowledgement that binds nobody."""
        told, _headers, _body, _taken = _call(
            method, 'instances/i-1', body, answer
        )
        self.assertEqual(told, status)

    def test_unknown_call(self) -> None:
        """Guards against a crash on a call that the platform may add."""
        told, _headers, _body, _taken = _call('GET', 'other', b'', None)
        self.assertEqual(told, 404)
