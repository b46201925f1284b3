"""Histogram of the recent latencies of one lane of a service."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

_RESOLUTION_S = 0.0001
_MAX_LATENCY_UNITS = 6_000_000
_SIGNIFICANT_DIGITS = 1
_EPOCH_S = 10.0
_CACHE_S = 0.25
_PERCENT = 100


class LatencyWindow:
    """Latencies of the last 10 to 20 seconds.

    Two histograms are rotated, so that old values expire without a list of
    single values.
    """

    def __init__(self) -> None:
        """Create an empty window."""
        self._newer = _create_histogram()
        self._older = _create_histogram()
        self._epoch_at: float = 0
        self._cached: dict[float, tuple[float, float]] = {}

    def record(self, at: float, latency_s: float) -> None:
        """Record one latency."""
        self._rotate(at)
        units = int(latency_s / _RESOLUTION_S)
        self._newer.record_value(max(1, min(units, _MAX_LATENCY_UNITS)))

    def count(self) -> int:
        """Return the number of latencies in the window."""
        older: int = self._older.get_total_count()
        newer: int = self._newer.get_total_count()
        return older + newer

    def quantile_s(self, at: float, quantile: float) -> float | None:
        """Return a quantile, cached for 0.25 s; None without values."""
        cached_at, cached = self._cached.get(quantile, (-1.0, 0))
        if cached_at >= at - _CACHE_S and cached:
            return cached
        self._rotate(at)
        larger = max(
            self._newer, self._older, key=lambda part: part.get_total_count()
        )
        if not larger.get_total_count():
            return None
        units: int = larger.get_value_at_percentile(quantile * _PERCENT)
        fresh = units * _RESOLUTION_S
        self._cached[quantile] = (at, fresh)
        return fresh

    def _rotate(self, at: float) -> None:
        if at < self._epoch_at + _EPOCH_S:
            return
        stale = at >= self._epoch_at + _EPOCH_S * 2
        recycled = self._older
        recycled.reset()
        self._older = self._newer
        self._newer = recycled
        if stale:
            self._older.reset()
        self._epoch_at = at


def _create_histogram() -> HdrHistogram:
    return HdrHistogram(1, _MAX_LATENCY_UNITS, _SIGNIFICANT_DIGITS)


__all__ = ('LatencyWindow',)
