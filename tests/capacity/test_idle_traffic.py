"""Tests of the bytes that a fleet without requests and changes sends."""

from __future__ import annotations

from collections import Counter

import testtools

from .node_network import NodeNetwork, Sizes

# Bound of the requirements for control traffic per node.
LIMIT_BYTES_S = 2048
WARM_UP_S = 20
SECONDS = 10


class IdleTrafficTest(testtools.TestCase):
    """Guards against idle parts that together use up the traffic of a VM."""

    def test_45_nodes(self) -> None:
        network = NodeNetwork(Sizes(nodes=45, targets=36), seed=1)
        network.run(WARM_UP_S)
        network.reset()
        network.run(SECONDS)
        sent: Counter[str] = Counter()
        for (name, _kind), count in network.cost.sent_bytes.items():
            sent[name] += count
        self.assertEqual(len(sent), len(network.nodes))
        for counts in (sent, network.cost.received_bytes):
            self.assertLess(max(counts.values()) / SECONDS, LIMIT_BYTES_S)
