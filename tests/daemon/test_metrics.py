"""Tests of the metrics in text format."""

from __future__ import annotations

from testtools import TestCase

from cranberryseam.configuration.settings import StatsdSettings
from cranberryseam.daemon.metrics import Metrics


class MetricsTest(TestCase):
    """Guards against counters or latencies missing from the metrics output."""

    def test_text(self) -> None:
        metrics = Metrics(StatsdSettings())
        metrics.increment('refusals.rate_exceeded', 3)
        for hundredths in range(1, 101):
            metrics.observe('requests.answered', hundredths / 100)
        lines = metrics.render().splitlines()
        self.assertIn('refusals_rate_exceeded 3', lines)
        self.assertIn('requests_answered_ms_count 100', lines)
        self.assertIn('requests_answered_ms_p50 501', lines)

    def test_extreme_durations(self) -> None:
        """Guards against a crash on extreme durations after a clock step."""
        metrics = Metrics(StatsdSettings())
        for seconds in (-1.0, 0.0, 1e9):
            metrics.observe('attempts.failed', seconds)
        self.assertIn('attempts_failed_ms_count 3', metrics.render())
