"""Tests of the network traffic of gossip."""

from __future__ import annotations

import testtools
from parameterized import parameterized

from .fleet_fixtures import build_network

_LIMIT_BYTES_S = 2048
_SECONDS = 20


class TrafficTest(testtools.TestCase):
    """Guards against traffic per VM that grows with the fleet."""

    @parameterized.expand([('8', 8), ('44', 44)])
    def test_steady(self, _name: str, size: int) -> None:
        network = build_network(size, 1)
        network.run(15)
        network.sent.clear()
        network.received.clear()
        network.run(_SECONDS)
        for counter in (network.sent, network.received):
            max_bytes_s = max(counter.values()) / _SECONDS
            self.assertLess(max_bytes_s, _LIMIT_BYTES_S)
