"""Measurements of a load run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any, Final

import attrs
import msgspec
from hdrh.histogram import HdrHistogram

from .connections import Response

FLEET: Final = 'fleet'
DIRECT: Final = 'direct'

US_PER_S: Final = 1_000_000
US_PER_MS: Final = 1000
MAX_LATENCY_S: Final = 120
MAX_LATENCY_US: Final = MAX_LATENCY_S * US_PER_S
SIGNIFICANT_DIGITS: Final = 3
PERCENTILES: Final = (50, 90, 99, 99.9, 100)
LATENESS: Final = 'generator lateness'


def build_histogram() -> HdrHistogram:
    """Return an empty histogram of latencies in microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@attrs.define
class Report:
    """Latencies and outcomes by side (fleet or direct) and account.

    Latencies are measured from the scheduled send time. The lateness of the
    generator shows whether it was the bottleneck.
    """

    seed: int
    duration_s: float
    latencies: dict[str, HdrHistogram] = attrs.field(factory=dict)
    outcomes: dict[str, Counter[str]] = attrs.field(factory=dict)

    def record_response(
        self, side: str, account: str, latency_s: float, response: Response
    ) -> None:
        """Record the outcome of a request, and its latency if answered."""
        name = f'{side}/{account}'
        outcome = response.problem_type.decode() or str(response.status)
        self.outcomes.setdefault(name, Counter())[outcome] += 1
        if not response.problem_type and response.status:
            self._record_duration(name, latency_s)
            self._record_duration(side, latency_s)

    def record_lateness(self, late_s: float) -> None:
        """Record the delay of a request after its scheduled send time."""
        self._record_duration(LATENESS, late_s)

    def percentile_ms(self, name: str, percentile: float) -> float:
        """Return a percentile of a histogram in milliseconds."""
        histogram = self.latencies.get(name, build_histogram())
        microseconds: int = histogram.get_value_at_percentile(percentile)
        return microseconds / US_PER_MS

    def added_latency_ms(self, percentile: float) -> float:
        """Return the latency added by the fleet at a percentile."""
        fleet = self.percentile_ms(FLEET, percentile)
        return fleet - self.percentile_ms(DIRECT, percentile)

    def build_latency_rows(self) -> list[Mapping[str, Any]]:
        """Return one table row per histogram."""
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

    def build_outcome_rows(self) -> list[Mapping[str, Any]]:
        """Return one table row per outcome."""
        return [
            {'requests': name, 'outcome': outcome, 'count': counts[outcome]}
            for name, counts in sorted(self.outcomes.items())
            for outcome in sorted(counts)
        ]

    def encode(self) -> bytes:
        """Return the report as JSON, including the histograms."""
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

    def _record_duration(self, name: str, seconds: float) -> None:
        histogram = self.latencies.get(name)
        if histogram is None:
            histogram = build_histogram()
            self.latencies[name] = histogram
        microseconds = max(1, int(seconds * US_PER_S))
        histogram.record_value(min(microseconds, MAX_LATENCY_US))


class _ReportDocument(msgspec.Struct, forbid_unknown_fields=True):
    seed: int
    duration_s: float
    latencies: dict[str, str]
    outcomes: dict[str, dict[str, int]]


def read_report(raw: bytes) -> Report:
    """Decode a report from JSON.

    Raises
    ------
    msgspec.MsgspecError
        If the bytes are not a valid report.

    """
    document = msgspec.json.decode(raw, type=_ReportDocument)
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
    """Merge the reports of several generator processes of one run."""
    reports_to_merge = list(reports)
    merged = Report(
        seed=reports_to_merge[0].seed,
        duration_s=max(report.duration_s for report in reports_to_merge),
    )
    for report in reports_to_merge:
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
