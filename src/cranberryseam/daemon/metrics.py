"""Counters: kept for the administration API and sent by statsd."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import Final

import anyio
from statsd import StatsClient

from ..configuration.settings import StatsdSettings

# One packet per interval costs less than one per request.
FLUSH_INTERVAL_S: Final = 1.0


class Metrics:
    """Counts by name.

    Parameters
    ----------
    settings
        Where statsd packets go; nowhere if the port is zero.

    """

    def __init__(self, settings: StatsdSettings) -> None:
        """Open the UDP socket if a port is set."""
        self._counts: Counter[str] = Counter()
        self._unsent: Counter[str] = Counter()
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

    async def run(self) -> None:
        """Send what was counted, once per interval, until cancelled."""
        while True:
            await anyio.sleep(FLUSH_INTERVAL_S)
            self.flush()

    def flush(self) -> None:
        """Send what was counted since the last call."""
        if self._client is None or not self._unsent:
            return
        with self._client.pipeline() as pipeline:
            for name, count in self._unsent.items():
                pipeline.incr(name, count)
        self._unsent.clear()


__all__ = ('Metrics',)
