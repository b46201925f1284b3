"""Messages between entry VMs and the leader of a service in a region."""

from __future__ import annotations

import msgspec

from ..core.messages import Message


class OutcomeRow(msgspec.Struct, frozen=True, array_like=True):
    """Outcomes that one VM had at one target since its last report.

    Parameters
    ----------
    target
        32-bit hash of the target's name; names would double the size.
    slow
        Attempts that took several times the usual latency.
    busy_ms
        Sum over attempts of the milliseconds spent in the period.
    account
        32-bit hash of the account with most failures; 0 if there are none.
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
    """Outcomes of one VM at the targets of a service in a region.

    Parameters
    ----------
    region
        Region of the targets and of the leader.
    sent_at
        Time on the sender's clock; the leader returns it, and the sender
        starts the lease of ejections at this time.

    """

    service: str
    region: str
    sent_at: float
    rows: tuple[OutcomeRow, ...]

    @property
    def attempts(self) -> int:
        """Number of finished attempts without rejected requests."""
        return sum(row.succeeded + row.failed + row.shed for row in self.rows)


class EjectedRow(msgspec.Struct, frozen=True, array_like=True):
    """One ejected target.

    Parameters
    ----------
    score
        Log likelihood ratio of a faulty to a healthy target.
    trial
        True if the receiver may send it one retriable request at a time.

    """

    target: str
    reason: str
    score: float
    trial: bool


class ServiceView(Message, frozen=True, array_like=True, tag=601):  # noqa: WPS432 (tag)
    """Answer of the leader to a report.

    Parameters
    ----------
    sequence
        Increases with each view of this leader.
    report_sent_at
        ``sent_at`` of the newest report of the receiver.
    loads
        Pairs of target hash and mean slots in use by all VMs (hundredths).
    demand
        Sum of the slots in use at all targets (hundredths).
    idle
        Hashes of ready targets without recent requests of any VM; the next
        requests of the receiver go there.
    idle_permille
        Share of the requests of the receiver that may go there. Builds that
        get all idle targets divide it among the VMs.
    proof_age_ms
        All ready targets that don't fail have succeeded within this time,
        except ``unproven``; 0 if the leader doesn't know.
    demands
        Slots in use (hundredths) by the VMs of each data centre, in the order
        of their names.
    unproven
        Hashes of targets without a recent success that aren't known to fail.

    """

    service: str
    region: str
    sequence: int
    report_sent_at: float
    ejected: tuple[EjectedRow, ...]
    loads: tuple[tuple[int, int], ...]
    demand: int = 0
    idle: tuple[int, ...] = ()
    idle_permille: int = 1000
    proof_age_ms: int = 0
    demands: tuple[int, ...] = ()
    unproven: tuple[int, ...] = ()


class HealthSeen(Message, frozen=True, array_like=True, tag=602):  # noqa: WPS432 (tag)
    """Outcome that may change the failure estimate of a target.

    Parameters
    ----------
    target
        32-bit hash of its name.
    evidence
        Value of an ``Evidence``.

    """

    service: str
    target: int
    evidence: int


class HealthTold(Message, frozen=True, array_like=True, tag=603):  # noqa: WPS432 (tag)
    """Failure estimates of the leader.

    Parameters
    ----------
    rows
        Pairs of target hash and failure probability (percent).
    receivers
        VMs that the receiver passes the rows on to.

    """

    rows: tuple[tuple[int, int], ...]
    receivers: tuple[str, ...] = ()


class BudgetAsked(Message, frozen=True, array_like=True, tag=604):  # noqa: WPS432 (tag)
    """Request of a VM for units of the retry budget of a service."""

    service: str
    units: int


class BudgetGiven(Message, frozen=True, array_like=True, tag=605):  # noqa: WPS432 (tag)
    """Units of the retry budget of a service granted to a VM."""

    service: str
    units: int


class IdleClosed(Message, frozen=True, array_like=True, tag=606):  # noqa: WPS432 (tag)
    """Targets of a service close idle connections sooner than announced.

    Sent by a VM to the leader, and by the leader to all VMs.
    """

    service: str


class TargetStated(Message, frozen=True, array_like=True, tag=607):  # noqa: WPS432 (tag)
    """What a target says of itself in its answers.

    Sent by a VM to the leader, and by the leader to all VMs.

    Parameters
    ----------
    max_rate
        Requests per second that it takes from all VMs together; None without
        a limit.
    leaving
        Whether it is about to leave.
    born_ms
        Start of the target that says so; 0 if unknown.

    """

    service: str
    target: str
    max_rate: float | None
    leaving: bool = False
    born_ms: int = 0


MESSAGES: tuple[type[Message], ...] = (
    OutcomeReport,
    ServiceView,
    HealthSeen,
    HealthTold,
    BudgetAsked,
    BudgetGiven,
    IdleClosed,
    TargetStated,
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
    'TargetStated',
)
