"""Tests of what an account uses in one window over all sources of tokens."""

from __future__ import annotations

from parameterized import parameterized
from testtools import TestCase

from .limit_use import (
    ALLOWED,
    BURST_LOAD,
    find_most_used,
    run_drawn_faults,
    run_limited_fleet,
)

_VMS = 16


class LimitUseTest(TestCase):
    """All tokens of an account in any window, whatever their source."""

    @parameterized.expand(
        [
            (share, hot_s, ways)
            for share in (0.3, 0.5, 0.9, 1.0)
            for hot_s in (0.3, 1.0, 3.0)
            for ways in ('both', 'requests', 'replies')
        ]
    )
    def test_partial_cut(self, share: float, hot_s: float, ways: str) -> None:
        """Guards against VMs without the owner that use tokens which the
        owner grants to the other VMs as well.
        """
        with run_limited_fleet(1, _VMS) as fleet:
            fleet.send_load(BURST_LOAD, hot_s + 6)
            fleet.run(hot_s)
            fleet.cut(fleet.entries[: round(share * _VMS)], 6, ways)
            fleet.run(6)
            use = find_most_used(fleet.tokens)
        self.assertLessEqual(use.most, ALLOWED, use)

    @parameterized.expand([(seed,) for seed in range(12)])
    def test_drawn_faults(self, seed: int) -> None:
        """Guards against sources of tokens that exceed the limit together,
        with VMs cut off and restarted and the owner lost.
        """
        use = run_drawn_faults(seed, _VMS)
        self.assertLessEqual(use.most, ALLOWED, use)
