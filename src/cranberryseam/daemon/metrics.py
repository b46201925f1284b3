"""Counters and latency histograms as text; counters also go to statsd."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Final

import anyio
from hdrh.histogram import HdrHistogram
from statsd import StatsClient

from ..configuration.settings import StatsdSettings

# Batching costs less than one packet per request.
FLUSH_INTERVAL_S: Final = 1.0
# Each line has about 1 KB; the interval is shorter than most incidents.
LOG_INTERVAL_S: Final = 10.0
# The text format allows no dots or dashes in metric names.
_TO_UNDERSCORES: Final = str.maketrans('.-', '__')

# Durations are recorded in milliseconds, up to the longest request timeout.
_MS_PER_S: Final = 1000
_MAX_DURATION_MS: Final = 300_000
_SIGNIFICANT_DIGITS: Final = 2
_PERCENTILES: Final = (
    ('p50', 50.0),
    ('p90', 90.0),
    ('p99', 99.0),
    ('p99_9', 99.9),
)

_logger = logging.getLogger(__name__)


class Metrics:
    """Counters and duration histograms by name.

    Parameters
    ----------
    settings
        Address of the statsd server; port 0 disables sending.

    """

    def __init__(self, settings: StatsdSettings) -> None:
        """Open the statsd socket if a port is set."""
        self._counts: Counter[str] = Counter()
        self._unsent: Counter[str] = Counter()
        self._last_logged: Counter[str] = Counter()
        self._histograms: dict[str, HdrHistogram] = {}
        self._client: StatsClient | None = None
        if settings.port:
            self._client = StatsClient(
                settings.host, settings.port, prefix=settings.prefix
            )

    @property
    def counts(self) -> Mapping[str, int]:
        """Counters accumulated since the start of the process."""
        return self._counts

    def increment(self, name: str, by: int = 1) -> None:
        """Increment a counter."""
        self._counts[name] += by
        if self._client is not None:
            self._unsent[name] += by

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration in the histogram of the name."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(1, _MAX_DURATION_MS, _SIGNIFICANT_DIGITS)
            self._histograms[name] = histogram
        milliseconds = int(seconds * _MS_PER_S)
        histogram.record_value(max(1, min(milliseconds, _MAX_DURATION_MS)))

    def render(self) -> str:
        """Return counters and duration percentiles as text, one per line."""
        lines = [
            f'{name.translate(_TO_UNDERSCORES)} {count}'
            for name, count in sorted(self._counts.items())
        ]
        for name, histogram in sorted(self._histograms.items()):
            lines.extend(_render_histogram(name, histogram))
        return '\n'.join((*lines, ''))

    async def run(self) -> None:
        """Flush and log counters periodically until cancelled."""
        logged_at = anyio.current_time()
        while True:
            await anyio.sleep(FLUSH_INTERVAL_S)
            self.flush()
            if anyio.current_time() - logged_at >= LOG_INTERVAL_S:
                logged_at = anyio.current_time()
                self.log_counters()

    def log_counters(self) -> None:
        """Log the counter increments since the last call as one line."""
        increments = {
            name: count - self._last_logged[name]
            for name, count in self._counts.items()
            if count != self._last_logged[name]
        }
        self._last_logged = self._counts.copy()
        _logger.info('counters', extra={'fields': increments})

    def flush(self) -> None:
        """Send the counter increments since the last call to statsd."""
        if self._client is None or not self._unsent:
            return
        with self._client.pipeline() as pipeline:
            for name, count in self._unsent.items():
                pipeline.incr(name, count)
        self._unsent.clear()


def _render_histogram(name: str, histogram: HdrHistogram) -> Iterator[str]:
    """Yield the lines of a histogram: its count and percentiles."""
    prefix = name.translate(_TO_UNDERSCORES)
    yield f'{prefix}_ms_count {histogram.get_total_count()}'
    for label, percentile in _PERCENTILES:
        milliseconds = histogram.get_value_at_percentile(percentile)
        yield f'{prefix}_ms_{label} {milliseconds}'


__all__ = ('Metrics',)
