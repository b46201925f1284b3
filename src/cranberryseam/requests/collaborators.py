"""Interfaces of the parts that a request passes through."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import attrs

from ..core.events import StoredAnswer
from ..core.notices import SlotAssigned
from ..core.refusals import Ran
from ..routing.model import AdmitRequest, AttemptOutcome
from ..types import AccountId, Output, RequestId, ServiceName
from .admission import Keys


class Limiter(Protocol):
    """Decides whether an account is within its rate."""

    def acquire(
        self,
        request_id: RequestId,
        account: AccountId,
        at: float,
        max_wait_s: float,
    ) -> Sequence[Output]:
        """Ask for one token, to be had within a patience if need be."""

    def cancel(self, request_id: RequestId, at: float) -> Sequence[Output]:
        """Forget a request that waits for a token."""


class Claims(Protocol):
    """Decides which copy of an idempotency key runs."""

    def claim(
        self,
        request_id: RequestId,
        account: AccountId,
        key: str,
        fingerprint: bytes,
        at: float,
    ) -> Sequence[Output]:
        """Ask to run under an idempotency key."""

    def complete(
        self,
        request_id: RequestId,
        answer: StoredAnswer | None,
        ran: Ran,
        at: float,
    ) -> Sequence[Output]:
        """Report the outcome, or give the claim back with ``Ran.no``."""


class Router(Protocol):
    """Decides which target a request goes to and when."""

    def admit(self, request: AdmitRequest, at: float) -> Sequence[Output]:
        """Ask for a slot."""

    def assign_now(
        self, request: AdmitRequest, at: float
    ) -> SlotAssigned | None:
        """Assign a slot at a target that wasn't tried, if one is free."""

    def max_idle_s(self, service: ServiceName, at: float) -> float:
        """Return for how long a connection may rest to be used again."""

    def hedge_delay_s(
        self, service: ServiceName, at: float, objective_s: float = 0
    ) -> float | None:
        """Return after how long a second attempt pays; None if never."""

    def release(
        self,
        request_id: RequestId,
        outcome: AttemptOutcome,
        at: float,
        latency_s: float | None = None,
    ) -> Sequence[Output]:
        """Give a slot back with the outcome of the attempt."""

    def cancel(self, request_id: RequestId, at: float) -> Sequence[Output]:
        """Forget a request that waits or has a slot."""

    def acquire_retry(
        self,
        service: ServiceName,
        account: AccountId,
        at: float,
        outcome: AttemptOutcome | None = None,
    ) -> bool:
        """Take one retry from the budgets, if they allow it."""


@attrs.frozen
class Collaborators:
    """The parts that the coordinator asks."""

    keys: Keys
    limiter: Limiter
    claims: Claims
    router: Router


__all__ = ('Claims', 'Collaborators', 'Limiter', 'Router')
