"""Types in the interface of the router, and its tuning constants."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

import attrs

from ..configuration.settings import TransferSettings
from ..types import AccountId, RequestId, ServiceName, TargetId, VmId
from .transfer_costs import TransferCosts

COMPONENT = 'routing'
# Each service queues requests of its long routes in a lane of their own, so
# that they can't delay the others.
LONG_LANE = 'long'
INTERACTIVE_LANE = 'interactive'


class AttemptOutcome(Enum):
    """Outcome of an attempt, as evidence about its target.

    ``rejected`` is a response that reports an invalid request (4xx), ``shed``
    a response that reports an overloaded target, ``cancelled`` an attempt that
    the caller abandoned, ``superseded`` one whose request was answered by a
    second attempt, ``closed_idle`` one on a connection that the target had
    closed while it was idle.
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
        Weight of its account in fair queueing, from the plan.
    lane
        ``interactive`` or ``long``.
    deadline_at
        Time at which the caller gives up.
    retriable
        True if the request may run more than once.
    excluded
        Targets tried before, which are avoided while others are eligible.
    attempt
        1 for the first attempt.
    rank
        Urgency, 0 is the most urgent.
    limited_by_stop
        True if the deadline is the end of this process, after which the
        request could not be answered.
    objective_s
        Latency objective of the route; 0 if there is none.
    body_bytes
        Expected size of the bodies of the request and its response.

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
    limited_by_stop: bool = False
    body_bytes: float = 2000


class LeaderLookup(Protocol):
    """Lookup of the leader of the replica group of a shard key."""

    def leader_of(self, region: str, shard_key: str) -> VmId | None:
        """Return the leader known to this VM, if any."""

    def is_leader(self, region: str, shard_key: str, at: float) -> bool:
        """Return whether this VM holds the leader lease at a time."""


@attrs.frozen
class Tuning:
    """Constants of the router; see ``docs/POLICY.md`` for their choice.

    Parameters
    ----------
    lease_s
        Validity of a view, from the sending of the report it answers.
    lease_margin_s
        Added by the leader for clock drift between VMs.
    tick_s
        Interval of reports.
    threshold
        Log likelihood ratio that ejects a target; the chance of one false
        ejection per excursion of the test is at most ``exp(-threshold)``.
    min_remaining_share
        Fraction of the threshold that the score must still reach without the
        VM (and without the account) that contributes most.
    grace_s
        Time after a cold start during which a target is not tested.
    base_ejection_s, max_ejection_s
        Duration of the first ejection of a target, and the longest one.
    queue_limit
        Largest number of queued requests per lane of a service on one VM.
    sampled_targets
        Targets sampled and compared per request.
    reports_per_tick
        Largest number of reports (one per service and region) per tick;
        services with failures or ejections take precedence.
    health_sharing_enabled
        Whether VMs share failure estimates of targets and select by them.
    load_report_threshold
        Fraction of a target's slots from which the leader reports its load.
    regions
        Number of regions of the fleet, assumed to have equal load until their
        demand is known.
    transfer_costs
        Cost of requests that leave the data centre of their VM.
    discovery_s
        Time after its first configuration within which a VM may not yet know
        all existing targets; 0 if it learns of all at once.
    ejection_enabled, suspicion_enabled
        False disables ejections by the leader, or the avoidance of targets
        on the evidence of a single VM; used to compare policies.

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
    transfer_costs: TransferCosts = TransferCosts.build(TransferSettings())
    discovery_s: float = 0


# A target is slow for about this time after it starts.
_COLD_START_S = 3.0
# Targets announce themselves about every 1.5 s. After a power loss of all VMs
# the table of targets at the control leader is empty until then.
_DISCOVERY_S = 1.5
ATTACHED_TUNING = Tuning(
    ejection_enabled=False,
    suspicion_enabled=False,
    health_sharing_enabled=True,
    # Load planning keeps the load of a target below its slots; a higher load
    # means that the plan doesn't match the real load.
    load_report_threshold=1.0,
    grace_s=_COLD_START_S,
    discovery_s=_DISCOVERY_S,
)

__all__ = (
    'ATTACHED_TUNING',
    'INTERACTIVE_LANE',
    'LONG_LANE',
    'COMPONENT',
    'AdmitRequest',
    'AttemptOutcome',
    'LeaderLookup',
    'Tuning',
)
