"""Entry VM side of idempotency: claims for the requests it receives."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

import attrs

from ..core.effects import IncrementCounter, SendMessage, SetTimer
from ..core.notices import ClaimGranted, ClaimRefused, ClaimReplayed
from ..core.refusals import Executed, RefusalReason
from .messages import ClaimAnswered, ClaimAsked, ClaimFinished, FinishStored
from .records import State, Verdict, pack_answer, unpack_answer

if TYPE_CHECKING:
    from ..configuration.model import Configuration
    from ..configuration.settings import Settings
    from ..core.events import StoredAnswer
    from ..ownership import Ownership
    from ..types import AccountId, Output, RequestId

COMPONENT = 'idempotency'
CHECK_TIMER = 'entry'
_CHECK_INTERVAL_S = 0.1
_RESEND_S = 0.25
_OWNER_TIMEOUT_S = 1.0
_JOINED_TIMEOUT_S = 3.0
_OUTCOME_RESEND_S = 0.5
_OUTCOME_TIMEOUT_S = 30.0
_MAX_CLAIMS = 2000
_MAX_PENDING_OUTCOMES = 2000
_MAX_WITHDRAWN = 4000
_RETRY_AFTER_S = 1.0

_REFUSALS = MappingProxyType(
    {
        Verdict.ran: (RefusalReason.answer_not_kept, Executed.yes),
        Verdict.unknown: (
            RefusalReason.duplicate_outcome_unknown,
            Executed.unknown,
        ),
        Verdict.key_reused: (RefusalReason.idempotency_key_reused, Executed.no),
        Verdict.table_full: (RefusalReason.claim_table_full, Executed.no),
        Verdict.unavailable: (
            RefusalReason.claim_owner_unreachable,
            Executed.no,
        ),
        Verdict.in_progress: (
            RefusalReason.duplicate_in_progress,
            Executed.unknown,
        ),
    }
)
_RETRYABLE = frozenset(
    (Verdict.table_full, Verdict.unavailable, Verdict.in_progress)
)


@attrs.define
class Claim:
    """Claim of one request to run under its key."""

    request_id: RequestId
    group: str
    request: ClaimAsked
    sent_at: float
    expires_at: float
    joined: bool = False
    granted: bool = False


@attrs.define
class PendingOutcome:
    """Outcome that the owner has not confirmed yet."""

    group: str
    message: ClaimFinished
    sent_at: float
    expires_at: float


class ClaimClient:
    """Claims in progress and unconfirmed outcomes of this VM."""

    def __init__(self, settings: Settings, ownership: Ownership) -> None:
        """Start without claims."""
        self.run = 0
        self.configuration: Configuration | None = None
        self._regions = settings.region_names
        self._ownership = ownership
        self._number = 0
        self._claims: dict[int, Claim] = {}
        self._numbers: dict[RequestId, int] = {}
        self._pending_outcomes: dict[int, PendingOutcome] = {}
        self._withdrawn: dict[int, Claim] = {}
        self._timer_set = False

    def claim(
        self,
        request_id: RequestId,
        account: AccountId,
        key: str,
        fingerprint: bytes,
        at: float,
    ) -> list[Output]:
        """Ask the owner whether a request may run."""
        configuration = self.configuration
        account_row = configuration and configuration.accounts.get(account)
        if configuration is None or not account_row:
            reason = RefusalReason.account_unknown
            return [ClaimRefused(at, request_id, reason, Executed.no)]
        if not key:
            reason = RefusalReason.idempotency_key_invalid
            return [ClaimRefused(at, request_id, reason, Executed.no)]
        region = configuration.home_region(account_row, self._regions)
        group = self._ownership.group_of(region, account)
        if not group or len(self._claims) >= _MAX_CLAIMS:
            return [_refuse(request_id, Verdict.unavailable, at)]
        self._number += 1
        request = ClaimAsked(account, key, fingerprint, self.run, self._number)
        claim = Claim(request_id, group, request, at, at + _OWNER_TIMEOUT_S)
        self._claims[request.number] = claim
        self._numbers[request_id] = request.number
        return [*self._send_ask(claim, at), *self._set_timer(at)]

    def complete(
        self,
        request_id: RequestId,
        answer: StoredAnswer | None,
        executed: Executed,
        at: float,
    ) -> list[Output]:
        """Report the outcome of a granted claim; withdraw one still waiting."""
        number = self._numbers.get(request_id)
        if number is None:
            return []
        claim = self._forget(self._claims[number])
        if not claim.granted:
            return self._withdraw(claim, at)
        match executed:
            case Executed.yes if answer is not None:
                return self._report_outcome(claim, State.answered, at, answer)
            case Executed.yes:
                return self._report_outcome(claim, State.ran, at)
            case Executed.no:
                return self._report_outcome(claim, State.released, at)
        return self._report_outcome(claim, State.unknown, at)

    def receive_answer(
        self, claim_answer: ClaimAnswered, at: float
    ) -> list[Output]:
        """Apply the owner's answer to its claim."""
        if claim_answer.run != self.run:
            return []
        claim = self._claims.get(claim_answer.number)
        if claim is None:
            return self._refuse_late_grant(claim_answer, at)
        if claim.granted:
            return []
        if at >= claim.expires_at:
            return self._expire(claim, at)
        return self._apply_answer(claim, claim_answer, at)

    def receive_confirmation(self, confirmation: FinishStored) -> None:
        """Remove an outcome that a majority has stored."""
        if confirmation.run == self.run:
            self._pending_outcomes.pop(confirmation.number, None)

    def handle_leader_change(self, group: str, at: float) -> list[Output]:
        """Resend unanswered claims and outcomes to a new leader."""
        outputs: list[Output] = []
        for claim in self._claims.values():
            if claim.group == group and not claim.granted:
                outputs.extend(self._send_ask(claim, at))
        for outcome in self._pending_outcomes.values():
            if outcome.group == group:
                outputs.extend(self._send_outcome(outcome, at))
        return outputs

    def check(self, at: float) -> list[Output]:
        """Resend unanswered messages and expire claims and outcomes."""
        self._timer_set = False
        outputs: list[Output] = []
        for claim in tuple(self._claims.values()):
            if not claim.granted:
                outputs.extend(self._check_claim(claim, at))
        for outcome in tuple(self._pending_outcomes.values()):
            outputs.extend(self._check_outcome(outcome, at))
        return [*outputs, *self._set_timer(at)]

    def _check_claim(self, claim: Claim, at: float) -> list[Output]:
        if at >= claim.expires_at:
            return self._expire(claim, at)
        if at < claim.sent_at + _RESEND_S:
            return []
        return [
            *self._send_ask(claim, at),
            *self._ownership.query_leader(claim.group, at),
        ]

    def _check_outcome(
        self, outcome: PendingOutcome, at: float
    ) -> list[Output]:
        if at >= outcome.expires_at:
            self._pending_outcomes.pop(outcome.message.number)
            return [IncrementCounter('claims.outcome_lost')]
        if at < outcome.sent_at + _OUTCOME_RESEND_S:
            return []
        return [
            *self._send_outcome(outcome, at),
            *self._ownership.query_leader(outcome.group, at),
        ]

    def _apply_answer(
        self, claim: Claim, claim_answer: ClaimAnswered, at: float
    ) -> list[Output]:
        verdict = Verdict(claim_answer.verdict)
        if verdict is Verdict.granted:
            claim.granted = True
            return [ClaimGranted(at, claim.request_id)]
        if verdict is Verdict.joined:
            if not claim.joined:
                claim.joined = True
                claim.expires_at += _JOINED_TIMEOUT_S - _OWNER_TIMEOUT_S
            return []
        self._forget(claim)
        self._remember_withdrawn(claim)
        if verdict is Verdict.answered and claim_answer.answer is not None:
            replayed = unpack_answer(claim_answer.answer)
            return [ClaimReplayed(at, claim.request_id, replayed)]
        if verdict is Verdict.unavailable and claim.joined:
            # The first request with this key may have run.
            verdict = Verdict.in_progress
        return [_refuse(claim.request_id, verdict, at)]

    def _expire(self, claim: Claim, at: float) -> list[Output]:
        self._forget(claim)
        verdict = Verdict.unavailable
        if claim.joined:
            verdict = Verdict.in_progress
        return [
            _refuse(claim.request_id, verdict, at),
            *self._withdraw(claim, at),
        ]

    def _withdraw(self, claim: Claim, at: float) -> list[Output]:
        """Release a claim that may still be granted without a waiter."""
        self._remember_withdrawn(claim)
        return self._report_outcome(claim, State.released, at)

    def _remember_withdrawn(self, claim: Claim) -> None:
        self._withdrawn[claim.request.number] = claim
        if len(self._withdrawn) > _MAX_WITHDRAWN:
            self._withdrawn.pop(next(iter(self._withdrawn)))

    def _refuse_late_grant(
        self, claim_answer: ClaimAnswered, at: float
    ) -> list[Output]:
        """Release a key that was granted after its request was refused.

        Only a claim whose request certainly didn't run is released; a
        repeated grant of one that did run must not free its key.
        """
        claim = self._withdrawn.get(claim_answer.number)
        if claim is None or claim_answer.verdict != Verdict.granted:
            return []
        if claim_answer.number in self._pending_outcomes:
            return []
        return self._report_outcome(claim, State.released, at)

    def _forget(self, claim: Claim) -> Claim:
        self._claims.pop(claim.request.number)
        self._numbers.pop(claim.request_id)
        return claim

    def _report_outcome(
        self,
        claim: Claim,
        state: State,
        at: float,
        answer: StoredAnswer | None = None,
    ) -> list[Output]:
        request = claim.request
        message = ClaimFinished(
            request.account,
            request.key,
            request.run,
            request.number,
            int(state),
            pack_answer(answer),
        )
        outcome = PendingOutcome(
            claim.group, message, at, at + _OUTCOME_TIMEOUT_S
        )
        self._pending_outcomes[request.number] = outcome
        if len(self._pending_outcomes) > _MAX_PENDING_OUTCOMES:
            self._pending_outcomes.pop(next(iter(self._pending_outcomes)))
        return [*self._send_outcome(outcome, at), *self._set_timer(at)]

    def _send_ask(self, claim: Claim, at: float) -> list[Output]:
        claim.sent_at = at
        leader = self._ownership.leader_of_group(claim.group)
        if leader is None:
            return self._ownership.query_leader(claim.group, at)
        return [SendMessage(leader, claim.request)]

    def _send_outcome(self, outcome: PendingOutcome, at: float) -> list[Output]:
        outcome.sent_at = at
        leader = self._ownership.leader_of_group(outcome.group)
        if leader is None:
            return self._ownership.query_leader(outcome.group, at)
        return [SendMessage(leader, outcome.message)]

    def _set_timer(self, at: float) -> list[Output]:
        busy = self._pending_outcomes or any(
            not claim.granted for claim in self._claims.values()
        )
        if self._timer_set or not busy:
            return []
        self._timer_set = True
        return [SetTimer(COMPONENT, CHECK_TIMER, at + _CHECK_INTERVAL_S)]


def _refuse(request_id: RequestId, verdict: Verdict, at: float) -> Output:
    reason, executed = _REFUSALS.get(verdict, _REFUSALS[Verdict.unknown])
    retry_after_s = _RETRY_AFTER_S if verdict in _RETRYABLE else None
    return ClaimRefused(at, request_id, reason, executed, retry_after_s)


__all__ = ('CHECK_TIMER', 'COMPONENT', 'ClaimClient')
