"""Fake collaborators of the request coordinator."""

from __future__ import annotations

import math
import random

import attrs
from expression import Error, Ok, Result

from cranberryseam.configuration.entries import apply_entry, diff_lists
from cranberryseam.configuration.model import (
    Account,
    Configuration,
    Lists,
    Plan,
    Route,
    Service,
)
from cranberryseam.core.events import (
    RequestHead,
    StoredAnswer,
    TargetStatement,
)
from cranberryseam.core.notices import (
    ClaimGranted,
    ClaimRefused,
    ConfigurationChanged,
    SlotAssigned,
    TokenGranted,
)
from cranberryseam.core.refusals import Executed, Refusal, RefusalReason
from cranberryseam.requests.collaborators import Collaborators
from cranberryseam.requests.coordinator import Coordinator
from cranberryseam.routing.model import AdmitRequest, AttemptOutcome
from cranberryseam.types import (
    AccountId,
    Output,
    RequestId,
    ServiceName,
    TargetId,
)

KEY_HASH = b'asha-key'
LISTS = Lists(
    accounts=(Account(AccountId('asha'), 'small'),),
    plans=(Plan('small', 1, 1, 1, ('pay',)),),
    routes=(
        Route('pay', ServiceName('malipo'), '/pay', ('GET', 'POST')),
        Route('open', ServiceName('malipo'), '/open', ('GET',), public=True),
        Route('other', ServiceName('malipo'), '/other', ('GET',)),
        Route(
            'brief',
            ServiceName('malipo'),
            '/brief',
            ('GET',),
            public=True,
            most_wait_s=2.0,
        ),
    ),
    services=(Service(ServiceName('malipo')),),
)


@attrs.define(slots=False)
class FakeCollaborators:
    """Grants all requests immediately and records releases and outcomes."""

    withdrawn: bool = False
    retries: int = 10
    withhold_slots: bool = False
    claim_refusal: RefusalReason | None = None
    completed: list[tuple[RequestId, Executed]] = attrs.field(factory=list)
    released: list[AttemptOutcome] = attrs.field(factory=list)
    cancelled: list[RequestId] = attrs.field(factory=list)
    admitted: list[AdmitRequest] = attrs.field(factory=list)
    statements: list[tuple[TargetId, TargetStatement]] = attrs.field(
        factory=list
    )

    def check(self, key_hash: bytes, at: float) -> Result[AccountId, Refusal]:
        """Accept one key until it is withdrawn."""
        if self.withdrawn:
            return Error(Refusal(RefusalReason.key_withdrawn))
        if key_hash != KEY_HASH:
            return Error(Refusal(RefusalReason.key_unknown))
        return Ok(AccountId('asha'))

    def acquire(
        self,
        request_id: RequestId,
        account: AccountId,
        at: float,
        max_wait_s: float,
    ) -> list[Output]:
        """Grant a token."""
        return [TokenGranted(at, request_id)]

    def claim(
        self,
        request_id: RequestId,
        account: AccountId,
        key: str,
        fingerprint: bytes,
        at: float,
    ) -> list[Output]:
        """Grant a claim unless a refusal is configured."""
        if self.claim_refusal:
            return [
                ClaimRefused(at, request_id, self.claim_refusal, Executed.no)
            ]
        return [ClaimGranted(at, request_id)]

    def complete(
        self,
        request_id: RequestId,
        answer: StoredAnswer | None,
        executed: Executed,
        at: float,
    ) -> list[Output]:
        """Record an outcome."""
        self.completed.append((request_id, executed))
        return []

    def admit(self, request: AdmitRequest, at: float) -> list[Output]:
        """Assign a slot at a target not tried yet."""
        self.admitted.append(request)
        if self.withhold_slots:
            return []
        target = TargetId(f't{len(request.excluded)}')
        return [SlotAssigned(at, request.request_id, target, '127.0.0.1', 1)]

    def assign_now(
        self, request: AdmitRequest, at: float
    ) -> SlotAssigned | None:
        """Assign a slot at a target not tried yet."""
        self.admitted.append(request)
        if self.withhold_slots:
            return None
        (assigned,) = self.admit(request, at)
        return assigned

    def max_idle_s(self, service: str, at: float) -> float:
        """Return an unlimited idle time."""
        return math.inf

    def hedge_delay_s(
        self, service: str, at: float, objective_s: float = 0
    ) -> float | None:
        """Return half of the latency objective."""
        return objective_s / 2

    def release(
        self,
        request_id: RequestId,
        outcome: AttemptOutcome,
        at: float,
        latency_s: float | None = None,
    ) -> list[Output]:
        """Record the outcome of an attempt."""
        self.released.append(outcome)
        return []

    def cancel(self, request_id: RequestId, at: float) -> list[Output]:
        """Record a cancelled wait."""
        self.cancelled.append(request_id)
        return []

    def record_statement(
        self,
        service: ServiceName,
        target: TargetId,
        statement: TargetStatement,
        at: float,
    ) -> list[Output]:
        """Record what a target says of itself."""
        self.statements.append((target, statement))
        return []

    def acquire_retry(
        self,
        service: ServiceName,
        account: AccountId,
        at: float,
        outcome: AttemptOutcome | None = None,
    ) -> bool:
        """Consume one of the remaining retries."""
        self.retries -= 1
        return self.retries >= 0


def build_coordinator(fakes: FakeCollaborators) -> Coordinator:
    """Return a coordinator with a configuration."""
    coordinator = Coordinator(
        Collaborators(fakes, fakes, fakes, fakes), random.Random(1)
    )
    entry = diff_lists(Configuration(), LISTS, '')
    configuration = apply_entry(Configuration(), 1, entry)
    coordinator.handle(ConfigurationChanged(0, configuration))
    return coordinator


def build_head(
    method: str = 'POST', path: str = '/pay', key: str | None = None
) -> RequestHead:
    """Return the head of a request with a valid API key."""
    return RequestHead(
        method, path, key_hashes=(KEY_HASH,), idempotency_key=key
    )
