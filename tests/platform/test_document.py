"""Tests of decoding the platform's configuration."""

from __future__ import annotations

from typing import Any

import msgspec
from adapter.document import decode_configuration
from parameterized import parameterized
from testtools import TestCase

from cranberryseam.serving import hash_key

_ROUTES = (
    'name',
    'host',
    'pathPrefix',
    'routeType',
    'timeout',
    'targetLatency',
    'priority',
    'service',
    'maxAttempts',
    'authExempt',
    'trafficSplit',
)


def _route(**changes: Any) -> dict[str, Any]:
    return {
        'name': 'r-1',
        'host': 'Shop.example',
        'pathPrefix': '/pay/',
        'routeType': 'unsafe',
        'timeout': '2000ms',
        'targetLatency': '1s',
        'priority': 1,
        'service': 'pay',
        'maxAttempts': 2,
        'authExempt': False,
        'trafficSplit': None,
        **changes,
    }


def _tenant(name: str = 'asha', key: str = 'k1') -> list[Any]:
    return [name, [key], 1, 37, 40]


def _encode(
    *routes: dict[str, Any],
    version: str = 'r7',
    tenants: list[list[Any]] | None = None,
) -> bytes:
    columns = ['name', 'apiKeys', 'priority', 'ratePerS', 'burst']
    document = {
        'version': version,
        'routes': {
            'columns': list(_ROUTES),
            'rows': [[route[name] for name in _ROUTES] for route in routes],
        },
        'services': {
            'columns': ['name', 'healthPath'],
            'rows': [['pay', '/health'], ['stock', '/health']],
        },
        'limits': {'maxHeaderBytes': 16_384},
        'tenants': {'columns': columns, 'rows': tenants or [_tenant()]},
    }
    return msgspec.json.encode(document)


def _split(*weights: int) -> list[dict[str, Any]]:
    names = ('pay', 'stock')
    return [
        {'service': name, 'weight': weight}
        for name, weight in zip(names, weights, strict=False)
    ]


class ValidTest(TestCase):
    """Content decoded from a valid configuration."""

    def test_route(self) -> None:
        """Guards against decoding a field as another one."""
        put = decode_configuration(_encode(_route())).ok
        route = put.lists.routes[0]
        self.assertEqual(put.document.version, 7)
        self.assertEqual(route.host, 'shop.example')
        self.assertEqual(route.prefix, '/pay/')
        self.assertEqual((route.most_wait_s, route.objective_s), (2, 1))
        self.assertEqual((route.most_attempts, route.rank), (2, 1))
        self.assertFalse(route.is_retriable('POST'))
        self.assertFalse(route.public)

    def test_account(self) -> None:
        """Guards against assigning a key or limit to another account."""
        put = decode_configuration(_encode(_route())).ok
        plan = put.lists.plans[0]
        self.assertEqual((plan.rate, plan.burst), (37, 40))
        self.assertEqual(put.keys[0].account, 'asha')
        self.assertEqual(put.keys[0].key_hash, hash_key(b'k1'))
        self.assertTrue(plan.allows('r-1'))

    def test_split(self) -> None:
        """Guards against losing the split of a route without a service."""
        raw = _encode(_route(service=None, trafficSplit=_split(90, 10)))
        route = decode_configuration(raw).ok.lists.routes[0]
        self.assertEqual(route.split, (('pay', 90), ('stock', 10)))

    def test_raw_is_kept(self) -> None:
        """Guards against changing the stored bytes of a configuration."""
        raw = _encode(_route())
        put = decode_configuration(raw).ok
        self.assertEqual(put.document.raw, raw)


class InvalidTest(TestCase):
    """Configurations that must never take effect."""

    @parameterized.expand(
        [
            ('unknown service', _encode(_route(service='gone'))),
            ('no service', _encode(_route(service=None))),
            (
                'unknown part',
                _encode(
                    _route(
                        service=None,
                        trafficSplit=[{'service': 'gone', 'weight': 1}],
                    )
                ),
            ),
            ('same place', _encode(_route(), _route(name='r-2'))),
            (
                'no weight',
                _encode(_route(service=None, trafficSplit=_split(0, 0))),
            ),
            ('aim far behind', _encode(_route(targetLatency='62s'))),
            ('no attempts', _encode(_route(maxAttempts=0))),
            ('prefix without slash', _encode(_route(pathPrefix='pay/'))),
            ('no timeout', _encode(_route(timeout='0ms'))),
            ('unreadable time', _encode(_route(timeout='2 minutes'))),
            ('unknown type', _encode(_route(routeType='perhaps'))),
            (
                'shared key',
                _encode(_route(), tenants=[_tenant(), _tenant('juma')]),
            ),
            ('version', _encode(_route(), version='7')),
            ('cut short', _encode(_route())[:-20]),
            ('empty', b''),
            ('no object', b'[]'),
        ]
    )
    def test_refused(self, _: str, raw: bytes) -> None:
        """Guards against acknowledging an invalid configuration."""
        self.assertTrue(decode_configuration(raw).is_error())
