"""Measurements of a routing simulation."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ..types import TargetId

_DIVERTED_SHARE = 0.2
_BIN_S = 1.0
_P99 = 0.99


@attrs.define(eq=False)
class AccountCounts:
    """Request counts and latencies of one account."""

    sent: int = 0
    answered: int = 0
    latencies_s: list[float] = attrs.field(factory=list)


@attrs.define(eq=False)
class Recorder:
    """Collects the measurements of one run.

    Parameters
    ----------
    fault_at
        Start time of the fault; earlier requests aren't counted.
    counted_until
        Requests sent from this time on aren't counted, because the run may
        end before their deadline.

    """

    fault_at: float
    counted_until: float
    accounts: dict[str, AccountCounts] = attrs.field(
        factory=lambda: defaultdict(AccountCounts)
    )
    refused: Counter[str] = attrs.field(factory=Counter)
    excluded_at: dict[TargetId, float] = attrs.field(factory=dict)
    excluded_before_fault: set[TargetId] = attrs.field(factory=set)
    samples_below_floor: int = 0
    messages: int = 0
    message_bytes: int = 0
    attempts_per_bin: dict[TargetId, Counter[int]] = attrs.field(
        factory=lambda: defaultdict(Counter)
    )

    def count_sent(self, account: str, at: float) -> None:
        """Count a request sent by a caller."""
        if self._is_counted(at):
            self.accounts[account].sent += 1

    def count_answer(self, account: str, sent_at: float, at: float) -> None:
        """Count an answer that arrived before the deadline."""
        if self._is_counted(sent_at):
            counts = self.accounts[account]
            counts.answered += 1
            counts.latencies_s.append(at - sent_at)

    def count_refusal(self, reason: str, sent_at: float) -> None:
        """Count a refused or failed request."""
        if self._is_counted(sent_at):
            self.refused[reason] += 1

    def count_start(self, target: TargetId, at: float) -> None:
        """Count an attempt that reached a target."""
        self.attempts_per_bin[target][int(at / _BIN_S)] += 1

    def record_exclusion(self, target: TargetId, at: float) -> None:
        """Record the first exclusion of a target.

        An exclusion before the start of the fault counts as a false ejection,
        even if the target fails later.
        """
        if at < self.fault_at:
            self.excluded_before_fault.add(target)
        elif target not in self.excluded_at:
            self.excluded_at[target] = at

    def find_diversion_delay_s(self, target: TargetId) -> float | None:
        """Return the seconds until a faulty target lost most of its requests.

        None if it kept more than ``_DIVERTED_SHARE`` of its earlier rate.
        """
        bins = self.attempts_per_bin[target]
        first = int(self.fault_at / _BIN_S)
        before = sum(bins[index] for index in range(first - 5, first)) / 5
        last = max(bins, default=first)
        for index in range(first + 1, last + 1):
            if bins[index] <= before * _DIVERTED_SHARE:
                return index * _BIN_S + _BIN_S - self.fault_at
        return None

    def _is_counted(self, sent_at: float) -> bool:
        return self.fault_at <= sent_at < self.counted_until


@attrs.frozen
class RunResult:
    """Results of one run; the fields are JSON-compatible.

    Parameters
    ----------
    detection_delays_s, diversion_delays_s
        Seconds from the fault to the first exclusion of each faulty target,
        and until it received at most a fifth of its earlier requests.
    false_ejections
        Number of healthy targets that at least one VM excluded.
    samples_below_floor
        Number of samples, one per region every 0.25 s, in which the targets
        that no VM excluded had fewer slots than the floor.
    worst_answered_share, worst_p99_s
        Lowest share of answered requests and highest p99 latency of the
        accounts that kept to their rate.

    """

    detection_delays_s: tuple[float, ...]
    undetected: int
    diversion_delays_s: tuple[float, ...]
    false_ejections: int
    samples_below_floor: int
    worst_answered_share: float
    worst_p99_s: float
    answered_share: float
    refused: dict[str, int]
    messages_per_vm_s: float
    bytes_per_vm_s: float


def p99(latencies_s: list[float]) -> float:
    """Return the 99th percentile, or 0 for an empty list."""
    if not latencies_s:
        return 0
    ordered = sorted(latencies_s)
    return ordered[min(len(ordered) - 1, int(len(ordered) * _P99))]


__all__ = ('AccountCounts', 'Recorder', 'RunResult', 'p99')
