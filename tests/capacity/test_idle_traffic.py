"""Tests of the traffic of a fleet without requests and changes."""

from __future__ import annotations

from collections import Counter

import testtools

from .node_network import NodeNetwork, Sizes

# Required upper bound of control traffic per node.
MAX_BYTES_PER_S = 2048
WARM_UP_S = 20
MEASURED_S = 10


class IdleTrafficTest(testtools.TestCase):
    """Guards against idle traffic of all components above the bound of a VM."""

    def test_45_nodes(self) -> None:
        network = NodeNetwork(Sizes(nodes=45, targets=36), seed=1)
        network.run(WARM_UP_S)
        network.start_interval()
        network.run(MEASURED_S)
        sent: Counter[str] = Counter()
        for (name, _kind), count in network.cost.sent_bytes.items():
            sent[name] += count
        self.assertEqual(len(sent), len(network.nodes))
        for counts in (sent, network.cost.received_bytes):
            self.assertLess(max(counts.values()) / MEASURED_S, MAX_BYTES_PER_S)
