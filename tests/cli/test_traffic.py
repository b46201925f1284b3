"""Tests of the summary of bytes (pattern: nobody can say what crosses)."""

from __future__ import annotations

from parameterized import parameterized
from testtools import TestCase

from cranberryseam.cli.traffic import summarise_traffic


class SummaryTest(TestCase):
    """Counters are added up by purpose and distance."""

    @parameterized.expand(
        [
            (
                'polls',
                {
                    'peers.bytes_sent.Poll.other_region': 60,
                    'peers.bytes_sent.PollReply.other_region': 73,
                    'peers.bytes_sent.PollReply.own_region': 7,
                },
                [('polls and replies', 'other_region', 133)]
                + [('polls and replies', 'own_region', 7)],
            ),
            (
                'bodies',
                {'bodies.bytes.own_data_centre': 9},
                [('bodies of callers', 'own_data_centre', 9)],
            ),
            (
                'unknown_kind',
                {'peers.bytes_sent.Later.own_region': 5},
                [('other', 'own_region', 5)],
            ),
            (
                'other_counters',
                {'peers.bytes_sent': 8, 'refusals.draining': 2},
                [],
            ),
            (
                'received',
                {'peers.bytes_received.Poll.own_region': 5},
                [],
            ),
        ]
    )
    def test_rows(
        self,
        _: str,
        counters: dict[str, int],
        expected: list[tuple[str, str, int]],
    ) -> None:
        """Guards against bytes that are counted twice or left out."""
        rows = summarise_traffic(counters)
        self.assertEqual(expected, [tuple(row.values()) for row in rows])
