"""Counters: kept for the administration API and sent by statsd."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Mapping
from typing import Final

import anyio
from statsd import StatsClient

from ..configuration.settings import StatsdSettings

# One packet per interval costs less than one per request.
FLUSH_INTERVAL_S: Final = 1.0
# A line of about 1 KB each time; shorter than most incidents.
LOG_INTERVAL_S: Final = 10.0
# Readers of the text take no dots or dashes in names.
_UNDERSCORES: Final = str.maketrans('.-', '__')

_logger = logging.getLogger(__name__)


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
        self._logged: Counter[str] = Counter()
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

    def render(self) -> str:
        """Return the counters as text, one per line."""
        lines = [
            f'{name.translate(_UNDERSCORES)} {count}'
            for name, count in sorted(self._counts.items())
        ]
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


__all__ = ('Metrics',)
