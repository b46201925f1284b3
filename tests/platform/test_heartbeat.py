"""Decoding of what upstreams say of themselves."""

from __future__ import annotations

from typing import Any

import msgspec
from adapter.heartbeat import decode_heartbeat, decode_leave
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
    """Heartbeats, readable or not."""

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
        """Guards against a state that is taken for another one."""
        came = decode_heartbeat('i-1', _encode(**changes)).ok
        self.assertEqual(came.state, expected)
        self.assertEqual((came.host, came.port), ('10.0.0.9', 8080))
        self.assertEqual((came.slots, came.sequence), (4, 4))
        self.assertEqual(came.born_ms, 1700)

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
        """Guards against a target made of a foreign writer's entry."""
        came = decode_heartbeat('i-1', _encode(**changes))
        self.assertTrue(came.is_error())

    @parameterized.expand([('none', b'', 0), ('start', b'{"born":17}', 17)])
    def test_leave(self, _: str, raw: bytes, born_ms: int) -> None:
        """Guards against a departure that is refused or ends a later start."""
        came = decode_leave('i-1', raw).ok
        self.assertEqual(came.state, TargetState.draining)
        self.assertEqual(came.born_ms, born_ms)
