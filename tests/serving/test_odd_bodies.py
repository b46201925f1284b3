"""Tests of bodies that no program of ours would send, on both interfaces."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from adapter.document import decode_configuration
from adapter.heartbeat import decode_departure, decode_heartbeat
from expression import Result
from parameterized import parameterized
from testtools import TestCase

from cranberryseam.assembly import build_codec
from cranberryseam.attachment.messages import PassedAnnouncement
from cranberryseam.core.errors import InvalidInput
from cranberryseam.core.events import Announcement
from cranberryseam.serving.admin_routes import build_command
from cranberryseam.serving.announcements import decode_announcement
from cranberryseam.types import VmId

_DEPTH = 100_000
_NESTED = b'[' * _DEPTH + b']' * _DEPTH
_HUGE = 2**64
_OWN = {
    'target': 't1',
    'service': 'pay',
    'host': '10.0.0.9',
    'port': 8080,
    'region': 'dar',
    'data_centre': 'dar-a',
    'slots': 4,
    'connections': 400,
    'state': 'ready',
    'sequence': 4,
}
_CAPACITY = {'service': 'pay', 'zone': 'a', 'maxConcurrency': 4}
_STATUS = {'state': 'ready', 'sequence': 4, 'warmupLeft': '0ms'}
_PLAN = {'name': 'small', 'rate': 2, 'burst': 5, 'weight': 1, 'routes': []}
_ROUTE = {
    'name': 'r1',
    'host': 'h',
    'pathPrefix': '/a/',
    'routeType': 'safe',
    'timeout': '5s',
    'targetLatency': '1s',
    'priority': 1,
    'service': 's1',
    'maxAttempts': 2,
    'trafficSplit': None,
}
_TENANT = {
    'name': 't1',
    'apiKeys': ['k'],
    'priority': 1,
    'ratePerS': 2,
    'burst': 2,
}


def _encode_own(**changes: Any) -> bytes:
    return msgspec.json.encode({**_OWN, **changes})


def _encode_heartbeat(**changes: Any) -> bytes:
    parts = [
        {name: changes.pop(name, field) for name, field in part.items()}
        for part in (_CAPACITY, _STATUS)
    ]
    return msgspec.json.encode(
        {
            'address': '10.0.0.9:8080',
            **changes,
            'info': parts[0],
            'status': parts[1],
        }
    )


def _encode_configuration(**changes: Any) -> bytes:
    tables = {}
    for name, row in (
        ('routes', _ROUTE),
        ('services', {'name': 's1'}),
        ('tenants', _TENANT),
    ):
        changed = {key: changes.get(key, field) for key, field in row.items()}
        tables[name] = {
            'columns': list(changed),
            'rows': [list(changed.values())],
        }
    return msgspec.json.encode(
        {'version': changes.get('version', 'r1'), **tables}
    )


def _encode_lists(**changes: Any) -> bytes:
    lists = {'accounts': [], 'plans': [{**_PLAN, **changes}]}
    body = {
        'command_key': 'k',
        'based_on': changes.get('based_on', 0),
        'lists': {**lists, 'routes': [], 'services': []},
    }
    return msgspec.json.encode(body)


def _read_heartbeat(raw: bytes) -> Result[Announcement, InvalidInput]:
    return decode_heartbeat('i-1', raw)


def _read_departure(raw: bytes) -> Result[Announcement, InvalidInput]:
    return decode_departure('i-1', raw)


def _read_lists(raw: bytes) -> Result[Any, Any]:
    return build_command('POST', '/v1/lists', raw)


_READERS: dict[str, Callable[[bytes], Result[Any, Any]]] = {
    'own target': decode_announcement,
    'heartbeat': _read_heartbeat,
    'departure': _read_departure,
    'configuration': decode_configuration,
    'own lists': _read_lists,
}


class OddBodyTest(TestCase):
    """Bodies of another writer."""

    @parameterized.expand(
        [
            ('own target', _encode_own()),
            ('heartbeat', _encode_heartbeat()),
            ('departure', b'{"born":17}'),
            ('configuration', _encode_configuration()),
        ]
    )
    def test_usual_body(self, reader: str, raw: bytes) -> None:
        """Checks that the bodies below fail only for what is odd in them."""
        decoded = _READERS[reader](raw)
        self.assertTrue(decoded.is_ok(), decoded)

    @parameterized.expand(
        [
            (reader, body)
            for reader in _READERS
            for body in (
                _NESTED,
                b'{"x":%s}' % _NESTED,
                b'{"tenants":%s}' % _NESTED,
                b'{"info":%s}' % _NESTED,
                b'\xff\xfe',
                b'{',
            )
        ]
    )
    def test_unreadable(self, reader: str, raw: bytes) -> None:
        """Guards against a body that ends its handler with an exception."""
        decoded = _READERS[reader](raw)
        # A departure needs no content, and skips what it doesn't know.
        if decoded.is_ok():
            self.assertEqual(reader, 'departure')

    @parameterized.expand(
        [
            ('own target', _encode_own(sequence=_HUGE)),
            ('own target', _encode_own(born_ms=_HUGE)),
            ('own target', _encode_own(port=70_000)),
            ('own target', _encode_own(slots=_HUGE)),
            ('heartbeat', _encode_heartbeat(sequence=_HUGE)),
            ('heartbeat', _encode_heartbeat(sequence=-1)),
            ('heartbeat', _encode_heartbeat(born=_HUGE)),
            ('heartbeat', _encode_heartbeat(born=-1)),
            ('heartbeat', _encode_heartbeat(maxConcurrency=_HUGE)),
            ('heartbeat', _encode_heartbeat(maxConcurrency=10_000_000)),
            ('heartbeat', _encode_heartbeat(address='10.0.0.9:70000')),
            ('heartbeat', _encode_heartbeat(address='10.0.0.9:0')),
            ('heartbeat', _encode_heartbeat(address='a b:80')),
            ('heartbeat', _encode_heartbeat(warmupLeft='9' * 400 + 's')),
            ('departure', b'{"born":%d}' % _HUGE),
            ('departure', b'{"born":-1}'),
            ('configuration', _encode_configuration(maxAttempts=_HUGE)),
            ('configuration', _encode_configuration(priority=-_HUGE)),
            ('configuration', _encode_configuration(ratePerS=1e300)),
            ('configuration', _encode_configuration(burst=1e300)),
            (
                'configuration',
                _encode_configuration(
                    trafficSplit=[{'service': 's1', 'weight': _HUGE}]
                ),
            ),
            ('configuration', _encode_configuration(timeout='9' * 400 + 's')),
            ('own lists', _encode_lists(burst=_HUGE)),
            ('own lists', _encode_lists(weight=_HUGE)),
            ('own lists', _encode_lists(based_on=_HUGE)),
        ]
    )
    def test_out_of_range(self, reader: str, raw: bytes) -> None:
        """Guards against a number that passes and ends the process when it
        is sent to another VM.
        """
        decoded = _READERS[reader](raw)
        self.assertTrue(decoded.is_error(), decoded)
        self.assertIsInstance(decoded.error, InvalidInput)

    @parameterized.expand(
        [
            (reader, encode(**{name: number}))
            for reader, encode, names in (
                ('own target', _encode_own, ('sequence', 'born_ms', 'slots')),
                (
                    'heartbeat',
                    _encode_heartbeat,
                    ('sequence', 'born', 'maxConcurrency'),
                ),
            )
            for name in names
            for number in (0, 1, 2**31, 2**53, 2**63 - 1, 2**63, 2**65)
        ]
    )
    def test_accepted_is_encodable(self, reader: str, raw: bytes) -> None:
        """Guards against an accepted announcement that can't be forwarded."""
        decoded = _READERS[reader](raw)
        if decoded.is_ok():
            message = PassedAnnouncement(1, decoded.ok)
            encoded = build_codec().encode(VmId('c1'), message)
            self.assertTrue(build_codec().decode(encoded).is_ok())
