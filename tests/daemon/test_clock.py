"""Tests of the event clock."""

from __future__ import annotations

import testtools
from parameterized import parameterized

from cranberryseam.daemon.clock import Clock


class ClockTest(testtools.TestCase):
    """Guards against leases that are still held after a pause of the VM."""

    @parameterized.expand(
        [
            ('runs', 1, 1, 1, 0),
            ('vm_paused', 0, 60, 0, 60),
            ('suspended', 60, 60, 60, 0),
            ('wall_set_back', 1, -3600, 1, 0),
            ('wall_corrected', 1, 1.4, 1, 0),
        ]
    )
    def test_elapsed(
        self,
        _name: str,
        boot_s: float,
        wall_s: float,
        elapsed_s: float,
        paused_s: float,
    ) -> None:
        now = {'boot': 100.0, 'wall': 5000.0}
        clock = Clock(lambda: now['boot'], lambda: now['wall'])
        start = clock.read()
        now['boot'] += boot_s
        now['wall'] += wall_s
        self.assertEqual(clock.read() - start, elapsed_s)
        self.assertEqual(clock.pop_pause_s(), paused_s)
        self.assertEqual(clock.pop_pause_s(), 0)
