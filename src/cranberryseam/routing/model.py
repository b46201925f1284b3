"""What callers of the router pass to it, and its constants."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

import attrs

from ..types import AccountId, RequestId, ServiceName, TargetId, VmId

PART = 'routing'
LONG_LANE = 'long'
INTERACTIVE_LANE = 'interactive'


class AttemptOutcome(Enum):
    """How an attempt at a target ended, as evidence about the target.

    ``rejected`` is a response that blames the request (4xx), ``shed`` a
    response that says the target is overloaded, ``cancelled`` an attempt that
    the caller did not wait for, ``superseded`` one whose request was answered
    by a second attempt, ``closed_idle`` one that used a connection which the
    target had closed while it was idle.
    """

    succeeded = 'succeeded'
    failed = 'failed'
    rejected = 'rejected'
    shed = 'shed'
    not_connected = 'not_connected'
    timed_out = 'timed_out'
    cancelled = 'cancelled'
    superseded = 'outrun'
    closed_idle = 'closed_idle'


@attrs.frozen
class AdmitRequest:
    """A request that needs a slot at a target.

    Parameters
    ----------
    weight
        Share of scarce slots of its account, from the plan.
    lane
        ``interactive`` or ``long``.
    deadline_at
        Time at which the caller gives up.
    retriable
        True if the request may run more than once.
    excluded
        Targets that were tried before and are avoided if others exist.
    attempt
        1 for the first attempt.
    rank
        Urgency, 0 is the most urgent.
    objective_s
        Time within which an answer is of full use; 0 if unknown.

    """

    request_id: RequestId
    service: ServiceName
    account: AccountId
    weight: int
    lane: str
    deadline_at: float
    retriable: bool
    excluded: frozenset[TargetId] = frozenset()
    attempt: int = 1
    rank: int = 0
    objective_s: float = 0


class LeaderLookup(Protocol):
    """Who leads the replica group of a shard key."""

    def leader_of(self, region: str, shard_key: str) -> VmId | None:
        """Return the leader as far as this VM knows."""

    def is_leader(self, region: str, shard_key: str, at: float) -> bool:
        """Return whether this VM holds the leader lease at a time."""


@attrs.frozen
class Tuning:
    """Constants of the router; ``docs/POLICY.md`` says how to set them.

    Parameters
    ----------
    lease_s
        Time for which an ejection is valid, from the report it answers.
    lease_margin_s
        Added by the leader for clock drift between VMs.
    tick_s
        Period of reports and of the leader's decisions.
    threshold
        Log likelihood ratio that ejects a target; the chance of one false
        ejection per excursion of the test is at most ``exp(-threshold)``.
    rest_share
        Share of the threshold that must remain without the VM (and without
        the account) that contributes most.
    grace_s
        Time after a cold start during which a target is not tested.
    base_ejection_s, max_ejection_s
        First and longest time out of an ejected target.
    queue_limit
        Most requests that wait for one service on one VM.
    sampled_targets
        Targets that are compared per request.
    reports_per_tick
        Most reports (one per service and region) per tick; services with
        failures or ejections come first.
    beliefs
        Whether VMs share beliefs about targets and choose by them.
    told_load
        Share of a target's slots from which on the leader tells its load.
    regions
        Regions of the fleet, each with about the same load.
    announced_s
        So long after its first configuration a VM may not have heard of
        targets that are there; 0 if it hears of all at once.
    ejection_enabled, suspicion_enabled
        False switches the leader's ejections, or the preferences of each VM
        on its own evidence, off; for comparisons.

    """

    lease_s: float = 5.0
    lease_margin_s: float = 0.5
    tick_s: float = 1.0
    threshold: float = 20.0
    min_remaining_share: float = 0.3
    grace_s: float = 10.0
    base_ejection_s: float = 8.0
    max_ejection_s: float = 300.0
    queue_limit: int = 512
    sampled_targets: int = 2
    reports_per_tick: int = 6
    ejection_enabled: bool = True
    suspicion_enabled: bool = True
    health_sharing_enabled: bool = False
    load_report_threshold: float = 0
    regions: int = 1
    discovery_s: float = 0


# A target that was just started is slow for about this long.
_COLD_START_S = 3.0
# Targets announce themselves about every 1.5 s. After a loss of power of all
# VMs the control leader's table is empty until then.
_DISCOVERY_S = 1.5
ATTACHED_TUNING = Tuning(
    ejection_enabled=False,
    suspicion_enabled=False,
    health_sharing_enabled=True,
    # Plans keep the load of a target below this; more is a sign that the
    # plans don't fit, whatever the cause.
    load_report_threshold=1.0,
    grace_s=_COLD_START_S,
    discovery_s=_DISCOVERY_S,
)

__all__ = (
    'ATTACHED_TUNING',
    'INTERACTIVE_LANE',
    'LONG_LANE',
    'PART',
    'AdmitRequest',
    'AttemptOutcome',
    'LeaderLookup',
    'Tuning',
)
