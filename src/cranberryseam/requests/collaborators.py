"""Interfaces of the components that process a request."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import attrs

from ..core.events import StoredAnswer, TargetStatement
from ..core.notices import SlotAssigned
from ..core.refusals import Executed
from ..routing.model import AdmitRequest, AttemptOutcome
from ..types import AccountId, Output, RequestId, ServiceName, TargetId
from .admission import Keys


class Limiter(Protocol):
    """Enforces the rate limits of accounts."""

    def acquire(
        self,
        request_id: RequestId,
        account: AccountId,
        at: float,
        max_wait_s: float,
    ) -> Sequence[Output]:
        """Request one token; wait for it at most ``max_wait_s`` seconds."""

    def cancel(self, request_id: RequestId, at: float) -> Sequence[Output]:
        """Cancel the wait of a request for a token."""


class Claims(Protocol):
    """Ensures that one request per idempotency key runs."""

    def claim(
        self,
        request_id: RequestId,
        account: AccountId,
        key: str,
        fingerprint: bytes,
        at: float,
    ) -> Sequence[Output]:
        """Claim an idempotency key for a request."""

    def complete(
        self,
        request_id: RequestId,
        answer: StoredAnswer | None,
        executed: Executed,
        at: float,
    ) -> Sequence[Output]:
        """Report the outcome, or release the claim with ``Executed.no``."""


class Router(Protocol):
    """Assigns requests to targets."""

    def admit(self, request: AdmitRequest, at: float) -> Sequence[Output]:
        """Request a slot at a target."""

    def assign_now(
        self, request: AdmitRequest, at: float
    ) -> SlotAssigned | None:
        """Assign a free slot at a target not tried yet, without waiting."""

    def max_idle_s(self, service: ServiceName, at: float) -> float:
        """Return the maximum idle time of a connection that is reused."""

    def hedge_delay_s(
        self, service: ServiceName, at: float, objective_s: float = 0
    ) -> float | None:
        """Return the delay of a hedged attempt; None to send none."""

    def release(
        self,
        request_id: RequestId,
        outcome: AttemptOutcome,
        at: float,
        latency_s: float | None = None,
    ) -> Sequence[Output]:
        """Release a slot and report the outcome of its attempt."""

    def cancel(self, request_id: RequestId, at: float) -> Sequence[Output]:
        """Cancel the wait of a request for a slot, or release its slot."""

    def record_statement(
        self,
        service: ServiceName,
        target: TargetId,
        statement: TargetStatement,
        at: float,
    ) -> Sequence[Output]:
        """Apply what a target says of itself in an answer."""

    def acquire_retry(
        self,
        service: ServiceName,
        account: AccountId,
        at: float,
        outcome: AttemptOutcome | None = None,
    ) -> bool:
        """Consume one retry from the budgets; return False if exhausted."""


@attrs.frozen
class Collaborators:
    """The components that the coordinator depends on."""

    keys: Keys
    limiter: Limiter
    claims: Claims
    router: Router


__all__ = ('Claims', 'Collaborators', 'Limiter', 'Router')
