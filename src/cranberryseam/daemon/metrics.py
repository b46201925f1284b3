"""Counters and histograms: served as text, counters also sent by statsd."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Final

import anyio
from hdrh.histogram import HdrHistogram
from statsd import StatsClient

from ..configuration.settings import StatsdSettings

# One packet per interval costs less than one per request.
FLUSH_INTERVAL_S: Final = 1.0
# A line of about 1 KB each time; shorter than most incidents.
LOG_INTERVAL_S: Final = 10.0
# Readers of the text take no dots or dashes in names.
_UNDERSCORES: Final = str.maketrans('.-', '__')

# Durations are kept in milliseconds, up to the longest that a caller may
# wait, with two digits.
_MS: Final = 1000
_MOST_MS: Final = 300_000
_DIGITS: Final = 2
_PERCENTILES: Final = (
    ('p50', 50.0),
    ('p90', 90.0),
    ('p99', 99.0),
    ('p99_9', 99.9),
)

_logger = logging.getLogger(__name__)


class Metrics:
    """Counts and durations by name.

    Parameters
    ----------
    settings
        Where statsd packets go; nowhere if the port is zero.

    """

    def __init__(self, settings: StatsdSettings) -> None:
        """Open the UDP socket if a port is set."""
        self._counts: Counter[str] = Counter()
        self._unsent: Counter[str] = Counter()
        self._logged: Counter[str] = Counter()
        self._histograms: dict[str, HdrHistogram] = {}
        self._client: StatsClient | None = None
        if settings.port:
            self._client = StatsClient(
                settings.host, settings.port, prefix=settings.prefix
            )

    @property
    def counts(self) -> Mapping[str, int]:
        """All counters since the start of the process."""
        return self._counts

    def increment(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self._counts[name] += by
        if self._client is not None:
            self._unsent[name] += by

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(1, _MOST_MS, _DIGITS)
            self._histograms[name] = histogram
        milliseconds = int(seconds * _MS)
        histogram.record_value(max(1, min(milliseconds, _MOST_MS)))

    def render(self) -> str:
        """Return counters and percentiles of durations, one per line."""
        lines = [
            f'{name.translate(_UNDERSCORES)} {count}'
            for name, count in sorted(self._counts.items())
        ]
        for name, histogram in sorted(self._histograms.items()):
            lines.extend(_render_histogram(name, histogram))
        return '\n'.join((*lines, ''))

    async def run(self) -> None:
        """Send what was counted, once per interval, until cancelled."""
        logged_at = anyio.current_time()
        while True:
            await anyio.sleep(FLUSH_INTERVAL_S)
            self.flush()
            if anyio.current_time() - logged_at >= LOG_INTERVAL_S:
                logged_at = anyio.current_time()
                self.log()

    def log(self) -> None:
        """Write what was counted since the last call as one log line."""
        counted = {
            name: count - self._logged[name]
            for name, count in self._counts.items()
            if count != self._logged[name]
        }
        self._logged = self._counts.copy()
        _logger.info('counters', extra={'fields': counted})

    def flush(self) -> None:
        """Send what was counted since the last call."""
        if self._client is None or not self._unsent:
            return
        with self._client.pipeline() as pipeline:
            for name, count in self._unsent.items():
                pipeline.incr(name, count)
        self._unsent.clear()


def _render_histogram(name: str, histogram: HdrHistogram) -> Iterator[str]:
    """Yield the number of durations and their percentiles."""
    prefix = name.translate(_UNDERSCORES)
    yield f'{prefix}_ms_count {histogram.get_total_count()}'
    for label, percentile in _PERCENTILES:
        milliseconds = histogram.get_value_at_percentile(percentile)
        yield f'{prefix}_ms_{label} {milliseconds}'


__all__ = ('Metrics',)
