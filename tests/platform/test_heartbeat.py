"""Tests of decoding heartbeats and departures of upstreams."""

from __future__ import annotations

from typing import Any

import msgspec
from adapter.heartbeat import decode_departure, decode_heartbeat
from parameterized import parameterized
from testtools import TestCase

from cranberryseam.core.events import TargetState


def _encode(**changes: Any) -> bytes:
    info = {'service': 'pay', 'version': 'v1', 'zone': 'a', 'maxConcurrency': 4}
    status = {'state': 'ready', 'sequence': 4, 'warmupLeft': '0ms'}
    body: dict[str, Any] = {'address': '10.0.0.9:8080', 'born': 1700}
    for name, field in changes.items():
        if name in info:
            info[name] = field
        elif name in status:
            status[name] = field
        else:
            body[name] = field
    return msgspec.json.encode({**body, 'info': info, 'status': status})


class HeartbeatTest(TestCase):
    """Valid and invalid heartbeats and departures."""

    @parameterized.expand(
        [
            ('ready', {}, TargetState.ready),
            ('warming up', {'warmupLeft': '1500ms'}, TargetState.cold),
            ('draining', {'state': 'draining'}, TargetState.draining),
        ]
    )
    def test_state(
        self, _: str, changes: dict[str, Any], expected: TargetState
    ) -> None:
        """Guards against decoding a state as another one."""
        announcement = decode_heartbeat('i-1', _encode(**changes)).ok
        self.assertEqual(announcement.state, expected)
        self.assertEqual(
            (announcement.host, announcement.port), ('10.0.0.9', 8080)
        )
        self.assertEqual((announcement.slots, announcement.sequence), (4, 4))
        self.assertEqual(announcement.born_ms, 1700)

    @parameterized.expand(
        [
            ('unknown state', {'state': 'resting'}),
            ('sequence of text', {'sequence': '4'}),
            ('no port', {'address': '10.0.0.9'}),
            ('port of text', {'address': '10.0.0.9:http'}),
            ('no slots', {'maxConcurrency': 0}),
            ('slots of text', {'maxConcurrency': 'four'}),
            ('no service', {'service': ''}),
            ('service of a number', {'service': 7}),
            ('start with a fraction', {'born': 17.5}),
            ('unreadable time', {'warmupLeft': 'soon'}),
        ]
    )
    def test_refused(self, _: str, changes: dict[str, Any]) -> None:
        """Guards against registering a target from an invalid heartbeat."""
        announcement = decode_heartbeat('i-1', _encode(**changes))
        self.assertTrue(announcement.is_error())

    @parameterized.expand([('none', b'', 0), ('start', b'{"born":17}', 17)])
    def test_departure(self, _: str, raw: bytes, born_ms: int) -> None:
        """Guards against a refused departure or one that ends a later start."""
        announcement = decode_departure('i-1', raw).ok
        self.assertEqual(announcement.state, TargetState.draining)
        self.assertEqual(announcement.born_ms, born_ms)
