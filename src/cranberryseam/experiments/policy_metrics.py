"""What a run of the policy driver measures."""

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
class AccountTally:
    """Requests of one account."""

    sent: int = 0
    answered: int = 0
    latencies_s: list[float] = attrs.field(factory=list)


@attrs.define(eq=False)
class Recorder:
    """Collects the facts of one run.

    Parameters
    ----------
    fault_at
        Time at which the fault starts; earlier requests aren't counted.
    last_at
        Time after which requests aren't counted, because the run may end
        before their deadline.

    """

    fault_at: float
    last_at: float
    accounts: dict[str, AccountTally] = attrs.field(
        factory=lambda: defaultdict(AccountTally)
    )
    refused: Counter[str] = attrs.field(factory=Counter)
    excluded_at: dict[TargetId, float] = attrs.field(factory=dict)
    excluded_early: set[TargetId] = attrs.field(factory=set)
    samples_below_floor: int = 0
    messages: int = 0
    message_bytes: int = 0
    starts: dict[TargetId, Counter[int]] = attrs.field(
        factory=lambda: defaultdict(Counter)
    )

    def count_sent(self, account: str, at: float) -> None:
        """Count a caller's request."""
        if self._counts(at):
            self.accounts[account].sent += 1

    def count_answer(self, account: str, sent_at: float, at: float) -> None:
        """Count an answer in time."""
        if self._counts(sent_at):
            tally = self.accounts[account]
            tally.answered += 1
            tally.latencies_s.append(at - sent_at)

    def count_refusal(self, reason: str, sent_at: float) -> None:
        """Count a request without a usable answer."""
        if self._counts(sent_at):
            self.refused[reason] += 1

    def count_start(self, target: TargetId, at: float) -> None:
        """Count an attempt that reached a target."""
        self.starts[target][int(at / _BIN_S)] += 1

    def note_excluded(self, target: TargetId, at: float) -> None:
        """Note the first exclusion of a target.

        One before the fault started is false whatever the target does later.
        """
        if at < self.fault_at:
            self.excluded_early.add(target)
        elif target not in self.excluded_at:
            self.excluded_at[target] = at

    def diverted_s(self, target: TargetId) -> float | None:
        """Return when a faulty target lost most of its work, if ever."""
        bins = self.starts[target]
        first = int(self.fault_at / _BIN_S)
        before = sum(bins[index] for index in range(first - 5, first)) / 5
        last = max(bins, default=first)
        for index in range(first + 1, last + 1):
            if bins[index] <= before * _DIVERTED_SHARE:
                return index * _BIN_S + _BIN_S - self.fault_at
        return None

    def _counts(self, sent_at: float) -> bool:
        return self.fault_at <= sent_at < self.last_at


@attrs.frozen
class RunResult:
    """Figures of one run; the fields are JSON-compatible.

    Parameters
    ----------
    detection_delays_s, diverted_s
        Seconds from the fault to the first exclusion of a faulty target, and
        until it received at most a fifth of its work.
    false_ejections
        Healthy targets that some VM excluded.
    samples_below_floor
        Half-second samples in which the targets that no VM excluded had
        fewer slots than the floor.
    worst_answered_share, worst_p99_s
        Answers in time over requests, and p99, of the worst-served account
        that kept to its rate.

    """

    detection_delays_s: tuple[float, ...]
    missed: int
    diverted_s: tuple[float, ...]
    false_ejections: int
    samples_below_floor: int
    worst_answered_share: float
    worst_p99_s: float
    answered_share: float
    refused: dict[str, int]
    messages_per_vm_s: float
    bytes_per_vm_s: float


def p99(latencies_s: list[float]) -> float:
    """Return the 99th percentile, 0 without values."""
    if not latencies_s:
        return 0
    ordered = sorted(latencies_s)
    return ordered[min(len(ordered) - 1, int(len(ordered) * _P99))]


__all__ = ('AccountTally', 'Recorder', 'RunResult', 'p99')
