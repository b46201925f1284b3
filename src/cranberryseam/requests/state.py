"""State of the requests in progress on this VM."""

from __future__ import annotations

from enum import Enum

import attrs

from ..configuration.model import Route
from ..configuration.places import Distance
from ..core.events import RequestHead
from ..core.notices import TokenSource
from ..routing.model import AttemptOutcome
from ..types import AccountId, AttemptId, RequestId, ServiceName, TargetId


class Stage(Enum):
    """What a request is waiting for.

    ``answer`` means that an attempt is in progress without an answer,
    ``forwarding`` that an answer is being sent to the caller.
    """

    token = 'token'
    claim = 'claim'
    slot = 'slot'
    answer = 'answer'
    forwarding = 'forwarding'


@attrs.define(eq=False)
class ActiveAttempt:
    """An attempt in progress at a target.

    Parameters
    ----------
    slot_id
        Identifies the slot of the attempt to the router.
    released
        True once the slot was released.

    """

    attempt_id: AttemptId
    target: TargetId
    slot_id: RequestId
    started_at: float
    distance: Distance = Distance.own_data_centre
    released: bool = False


@attrs.define
class RequestState:
    """One request in progress.

    Parameters
    ----------
    key_hash
        Hash of its API key; None on a public route.
    retriable
        True if the request may be executed more than once.
    primary
        The attempt whose outcome determines that of the request.
    hedge
        A second attempt in parallel to the primary one.
    counted_retries
        Retries and hedged attempts that count toward the limit on attempts,
        without retries after a target shed the request.
    may_have_run
        True once a target may have received a byte of an attempt, unless it
        reported that it did not run the request.
    claimed
        True from the grant of the claim until its owner knows the outcome.
    confirmed_unique
        True if the claim owner knows that no other copy has run.
    outcome
        Outcome of the attempt whose answer is being forwarded.
    caller_left
        True if the attempt continues only to learn the outcome of the claim.
    service
        The service of the route, or the one selected from its traffic split.
    rank
        Priority; 0 is the highest.
    targets_run
        Attempts after which a target may have run the request.
    arrived_at
        Arrival time at this VM.
    token_source
        Source of its token; None before one is granted.
    undelivered_attempts
        Attempts that did not reach a target.
    is_limited
        False if the plan of the account has no rate limit.
    limited_by_stop
        True if the deadline is the end of this process.

    """

    request_id: RequestId
    head: RequestHead
    route: Route
    account: AccountId
    weight: int
    key_hash: bytes | None
    deadline_at: float
    retriable: bool
    stage: Stage = Stage.token
    attempt_count: int = 0
    counted_retries: int = 0
    primary: ActiveAttempt | None = None
    hedge: ActiveAttempt | None = None
    excluded: frozenset[TargetId] = frozenset()
    may_have_run: bool = False
    claimed: bool = False
    confirmed_unique: bool = False
    caller_left: bool = False
    outcome: AttemptOutcome = AttemptOutcome.succeeded
    service: ServiceName = ServiceName('')
    rank: int = 0
    targets_run: int = 0
    is_limited: bool = True
    limited_by_stop: bool = False
    undelivered_attempts: int = 0
    arrived_at: float = 0
    token_source: TokenSource | None = None

    @property
    def target(self) -> TargetId | None:
        """Target of the primary attempt."""
        return self.primary.target if self.primary else None


__all__ = ('ActiveAttempt', 'RequestState', 'Stage')
