"""Claims of a fleet without replica groups, all of which are refused."""

from __future__ import annotations

from ..core.events import StoredAnswer
from ..core.notices import ClaimRefused
from ..core.refusals import Executed, RefusalReason
from ..types import AccountId, Output, RequestId


class DisabledClaims:
    """Refuses idempotency keys, as no VM keeps records of them."""

    def claim(
        self,
        request_id: RequestId,
        account: AccountId,
        key: str,
        fingerprint: bytes,
        at: float,
    ) -> list[Output]:
        """Refuse the claim; without a record a retry could run twice."""
        reason = RefusalReason.claim_owner_unreachable
        return [ClaimRefused(at, request_id, reason, Executed.no)]

    def complete(
        self,
        request_id: RequestId,
        answer: StoredAnswer | None,
        executed: Executed,
        at: float,
    ) -> list[Output]:
        """Ignore the outcome, as no claim was granted."""
        return []


__all__ = ('DisabledClaims',)
