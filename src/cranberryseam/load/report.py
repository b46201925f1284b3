"""What a load run measured."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any, Final

import attrs
import msgspec
from hdrh.histogram import HdrHistogram

from .connections import Answer

FLEET: Final = 'fleet'
DIRECT: Final = 'direct'

US_PER_S: Final = 1_000_000
US_PER_MS: Final = 1000
LONGEST_S: Final = 120
LONGEST_US: Final = LONGEST_S * US_PER_S
SIGNIFICANT_DIGITS: Final = 3
PERCENTILES: Final = (50, 90, 99, 99.9, 100)
LATENESS: Final = 'generator lateness'


def build_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, LONGEST_US, SIGNIFICANT_DIGITS)


@attrs.define
class Report:
    """Latencies and outcomes by side and account.

    Latencies count from the intended time of sending. The lateness of the
    generator itself says whether it was the bottleneck.
    """

    seed: int
    duration_s: float
    latencies: dict[str, HdrHistogram] = attrs.field(factory=dict)
    outcomes: dict[str, Counter[str]] = attrs.field(factory=dict)

    def note(
        self, side: str, account: str, latency_s: float, answer: Answer
    ) -> None:
        """Count one request."""
        name = f'{side}/{account}'
        outcome = answer.problem.decode() or str(answer.status)
        self.outcomes.setdefault(name, Counter())[outcome] += 1
        if not answer.problem and answer.status:
            self._record(name, latency_s)
            self._record(side, latency_s)

    def note_lateness(self, late_s: float) -> None:
        """Count how late the generator sent a request."""
        self._record(LATENESS, late_s)

    def percentile_ms(self, name: str, percentile: float) -> float:
        """Return a percentile of a histogram in milliseconds."""
        histogram = self.latencies.get(name, build_histogram())
        micros: int = histogram.get_value_at_percentile(percentile)
        return micros / US_PER_MS

    def added_latency_ms(self, percentile: float) -> float:
        """Return how much later the fleet answers than a target directly."""
        fleet = self.percentile_ms(FLEET, percentile)
        return fleet - self.percentile_ms(DIRECT, percentile)

    def list_rows(self) -> list[Mapping[str, Any]]:
        """Return one row per histogram, for a table."""
        return [
            {
                'latency': name,
                'count': self.latencies[name].get_total_count(),
                **{
                    f'p{percentile}_ms': self.percentile_ms(name, percentile)
                    for percentile in PERCENTILES
                },
            }
            for name in sorted(self.latencies)
        ]

    def list_outcomes(self) -> list[Mapping[str, Any]]:
        """Return one row per outcome, for a table."""
        return [
            {'requests': name, 'outcome': outcome, 'count': counts[outcome]}
            for name, counts in sorted(self.outcomes.items())
            for outcome in sorted(counts)
        ]

    def encode(self) -> bytes:
        """Return the report as JSON, with the histograms."""
        return msgspec.json.encode(
            {
                'seed': self.seed,
                'duration_s': self.duration_s,
                'latencies': {
                    name: histogram.encode().decode()
                    for name, histogram in self.latencies.items()
                },
                'outcomes': self.outcomes,
            }
        )

    def _record(self, name: str, seconds: float) -> None:
        histogram = self.latencies.get(name)
        if histogram is None:
            histogram = build_histogram()
            self.latencies[name] = histogram
        micros = max(1, int(seconds * US_PER_S))
        histogram.record_value(min(micros, LONGEST_US))


class _Document(msgspec.Struct, forbid_unknown_fields=True):
    seed: int
    duration_s: float
    latencies: dict[str, str]
    outcomes: dict[str, dict[str, int]]


def read_report(raw: bytes) -> Report:
    """Return a report from its JSON.

    Raises
    ------
    msgspec.MsgspecError
        If the bytes are no report.

    """
    document = msgspec.json.decode(raw, type=_Document)
    return Report(
        seed=document.seed,
        duration_s=document.duration_s,
        latencies={
            name: HdrHistogram.decode(encoded)
            for name, encoded in document.latencies.items()
        },
        outcomes={
            name: Counter(counts) for name, counts in document.outcomes.items()
        },
    )


def merge_reports(reports: Iterable[Report]) -> Report:
    """Return one report of several generator processes of the same run."""
    listed = list(reports)
    merged = Report(
        seed=listed[0].seed,
        duration_s=max(report.duration_s for report in listed),
    )
    for report in listed:
        for name, histogram in report.latencies.items():
            merged.latencies.setdefault(name, build_histogram()).add(histogram)
        for name, counts in report.outcomes.items():
            merged.outcomes.setdefault(name, Counter()).update(counts)
    return merged


__all__ = (
    'DIRECT',
    'FLEET',
    'LATENESS',
    'Report',
    'merge_reports',
    'read_report',
)
