"""Messages between entry VMs and the leader of a service in a region."""

from __future__ import annotations

import msgspec

from ..core.messages import Message


class OutcomeRow(msgspec.Struct, frozen=True, array_like=True):
    """What one VM saw of one target since its last report.

    Parameters
    ----------
    target
        32-bit hash of the target's name; names would double the bytes.
    slow
        Attempts that took several times the usual latency.
    busy_ms
        Sum over attempts of the milliseconds spent in the period.
    account
        32-bit hash of the account with most failures, 0 without failures.
    account_failed
        Failures of that account, included in ``failed``.
    account_succeeded
        Successes of that account, included in ``succeeded``.

    """

    target: int
    succeeded: int
    failed: int
    slow: int
    shed: int
    busy_ms: int
    account: int = 0
    account_failed: int = 0
    account_succeeded: int = 0


class OutcomeReport(Message, frozen=True, array_like=True, tag=600):  # noqa: WPS432 (tag)
    """Deltas of one VM for the targets of a service in a region.

    Parameters
    ----------
    region
        Region of the targets and of the leader.
    sent_at
        Time on the sender's clock; the leader returns it, and the sender
        counts the validity of ejections from it.

    """

    service: str
    region: str
    sent_at: float
    rows: tuple[OutcomeRow, ...]

    @property
    def attempts(self) -> int:
        """Attempts that ended, rejected requests left out."""
        return sum(row.succeeded + row.failed + row.shed for row in self.rows)


class EjectedRow(msgspec.Struct, frozen=True, array_like=True):
    """One ejected target.

    Parameters
    ----------
    score
        Log likelihood ratio of being faulty against being healthy.
    trial
        True if the receiver may send it one retriable request at a time.

    """

    target: str
    reason: str
    score: float
    trial: bool


class ServiceView(Message, frozen=True, array_like=True, tag=601):  # noqa: WPS432 (tag)
    """The leader's answer to a report.

    Parameters
    ----------
    sequence
        Increases with each view of this leader.
    echo
        ``sent_at`` of the newest report of the receiver.
    loads
        Pairs of target hash and slots in use (hundredths, mean over all
        VMs).
    demand
        Slots in use at all targets together (hundredths).

    """

    service: str
    region: str
    sequence: int
    report_sent_at: float
    ejected: tuple[EjectedRow, ...]
    loads: tuple[tuple[int, int], ...]
    demand: int = 0


class HealthSeen(Message, frozen=True, array_like=True, tag=602):  # noqa: WPS432 (tag)
    """One outcome that may change what VMs believe of a target.

    Parameters
    ----------
    target
        32-bit hash of its name.
    evidence
        Number of an ``Evidence``.

    """

    service: str
    target: int
    evidence: int


class HealthTold(Message, frozen=True, array_like=True, tag=603):  # noqa: WPS432 (tag)
    """Pairs of target hash and probability (percent) that it fails now."""

    rows: tuple[tuple[int, int], ...]


class BudgetAsked(Message, frozen=True, array_like=True, tag=604):  # noqa: WPS432 (tag)
    """A VM has used units of a service's retry budget."""

    service: str
    units: int


class BudgetGiven(Message, frozen=True, array_like=True, tag=605):  # noqa: WPS432 (tag)
    """Units of a service's retry budget that a VM may use."""

    service: str
    units: int


class IdleClosed(Message, frozen=True, array_like=True, tag=606):  # noqa: WPS432 (tag)
    """Targets of a service close idle connections sooner than they say.

    A VM tells the leader, and the leader all VMs.
    """

    service: str


MESSAGES: tuple[type[Message], ...] = (
    OutcomeReport,
    ServiceView,
    HealthSeen,
    HealthTold,
    BudgetAsked,
    BudgetGiven,
    IdleClosed,
)

__all__ = (
    'MESSAGES',
    'BudgetAsked',
    'BudgetGiven',
    'EjectedRow',
    'HealthSeen',
    'HealthTold',
    'IdleClosed',
    'OutcomeReport',
    'OutcomeRow',
    'ServiceView',
)
