"""State of the requests in progress on this VM."""

from __future__ import annotations

from enum import Enum

import attrs

from ..configuration.model import Route
from ..core.events import RequestHead
from ..routing.model import AttemptOutcome
from ..types import AccountId, AttemptId, RequestId, ServiceName, TargetId


class Stage(Enum):
    """What a request waits for."""

    token = 'token'
    claim = 'claim'
    slot = 'slot'
    answer = 'answer'
    forwarding = 'forwarding'


@attrs.define(eq=False)
class Flight:
    """An attempt that is under way at a target.

    Parameters
    ----------
    slot_id
        Under which the router knows the slot that the attempt holds.
    released
        True once the slot was given back.

    """

    attempt_id: AttemptId
    target: TargetId
    slot_id: RequestId
    started_at: float
    released: bool = False


@attrs.define
class RequestState:
    """One request in progress.

    Parameters
    ----------
    key_hash
        Hash of the key it carried; None on a public route.
    retriable
        True if its method may run more than once on this route.
    flight
        The attempt whose outcome decides on the request.
    hedge
        A second attempt, which may answer before the first.
    failures
        Attempts that failed or got a hedge, without those that a target
        shed.
    may_have_run
        True once a byte of an attempt may have reached a target that
        didn't refuse it.
    claimed
        True while this VM owes the claim owner an outcome.
    first_copy
        True if the claim owner knows that no other copy has run.
    outcome
        What the answer that is being forwarded says about the target.
    caller_left
        True if the attempt goes on only to learn the outcome of the claim.
    service
        The route's service, or the one drawn from its split.
    rank
        Urgency, 0 is the most urgent.
    targets_run
        Attempts after which a target may have run the request.
    arrived_at
        Time at which it arrived at this VM.
    unreached
        Attempts that never reached a target.
    is_limited
        False if the plan of the account has no rate.

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
    attempt: int = 0
    failures: int = 0
    flight: Flight | None = None
    hedge: Flight | None = None
    excluded: frozenset[TargetId] = frozenset()
    may_have_run: bool = False
    claimed: bool = False
    first_copy: bool = False
    caller_left: bool = False
    outcome: AttemptOutcome = AttemptOutcome.succeeded
    service: ServiceName = ServiceName('')
    rank: int = 0
    targets_run: int = 0
    is_limited: bool = True
    unreached: int = 0
    arrived_at: float = 0

    @property
    def target(self) -> TargetId | None:
        """Target of the newest attempt that decides on the request."""
        return self.flight.target if self.flight else None


__all__ = ('Flight', 'RequestState', 'Stage')
