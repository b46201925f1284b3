"""Entry VM's side: claims of the requests it has received."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

import attrs

from ..core.effects import IncrementCounter, SendMessage, SetTimer
from ..core.notices import ClaimGranted, ClaimRefused, ClaimReplayed
from ..core.refusals import Ran, RefusalReason
from .messages import ClaimAnswered, ClaimAsked, ClaimFinished, FinishStored
from .records import State, Verdict, pack_answer, unpack_answer

if TYPE_CHECKING:
    from ..configuration.model import Configuration
    from ..configuration.settings import Settings
    from ..core.events import StoredAnswer
    from ..ownership import Ownership
    from ..types import AccountId, Output, RequestId

PART = 'idempotency'
CHECK_TIMER = 'entry'
_CHECK_S = 0.1
_RESEND_S = 0.25
_OWNER_WAIT_S = 1.0
_JOINED_WAIT_S = 3.0
_FINISH_RESEND_S = 0.5
_FINISH_LIMIT_S = 30.0
_MOST_CLAIMS = 2000
_MOST_FINISHES = 2000
_MOST_WITHDRAWN = 4000
_RETRY_S = 1.0

_REFUSALS = MappingProxyType(
    {
        Verdict.ran: (RefusalReason.answer_not_kept, Ran.yes),
        Verdict.unknown: (RefusalReason.duplicate_outcome_unknown, Ran.unknown),
        Verdict.key_reused: (RefusalReason.idempotency_key_reused, Ran.no),
        Verdict.table_full: (RefusalReason.claim_table_full, Ran.no),
        Verdict.unavailable: (RefusalReason.claim_owner_unreachable, Ran.no),
        Verdict.in_progress: (RefusalReason.duplicate_in_progress, Ran.unknown),
    }
)
_RETRY_HELPS = frozenset(
    (Verdict.table_full, Verdict.unavailable, Verdict.in_progress)
)


@attrs.define
class Claim:
    """A claim of one request."""

    request_id: RequestId
    group: str
    asked: ClaimAsked
    sent_at: float
    expires_at: float
    joined: bool = False
    granted: bool = False


@attrs.define
class Finish:
    """An outcome that the owner hasn't confirmed."""

    group: str
    message: ClaimFinished
    sent_at: float
    expires_at: float


class ClaimClient:
    """Claims in progress and outcomes that aren't confirmed."""

    def __init__(self, settings: Settings, ownership: Ownership) -> None:
        """Start without claims."""
        self.run = 0
        self.configuration: Configuration | None = None
        self._regions = settings.region_names
        self._ownership = ownership
        self._number = 0
        self._claims: dict[int, Claim] = {}
        self._numbers: dict[RequestId, int] = {}
        self._finishes: dict[int, Finish] = {}
        self._withdrawn: dict[int, Claim] = {}
        self._checks = False

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
        known = configuration and configuration.accounts.get(account)
        if configuration is None or not known:
            reason = RefusalReason.account_unknown
            return [ClaimRefused(at, request_id, reason, Ran.no)]
        if not key:
            reason = RefusalReason.idempotency_key_invalid
            return [ClaimRefused(at, request_id, reason, Ran.no)]
        region = configuration.home_of(known, self._regions)
        group = self._ownership.group_of(region, account)
        if not group or len(self._claims) >= _MOST_CLAIMS:
            return [_refuse(request_id, Verdict.unavailable, at)]
        self._number += 1
        asked = ClaimAsked(account, key, fingerprint, self.run, self._number)
        claim = Claim(request_id, group, asked, at, at + _OWNER_WAIT_S)
        self._claims[asked.number] = claim
        self._numbers[request_id] = asked.number
        return [*self._send_ask(claim, at), *self._set_timer(at)]

    def complete(
        self,
        request_id: RequestId,
        answer: StoredAnswer | None,
        ran: Ran,
        at: float,
    ) -> list[Output]:
        """Report how a granted request ended; withdraw one that waits."""
        number = self._numbers.get(request_id)
        if number is None:
            return []
        claim = self._forget(self._claims[number])
        if not claim.granted:
            return self._withdraw(claim, at)
        match ran:
            case Ran.yes if answer is not None:
                return self._finish(claim, State.answered, at, answer)
            case Ran.yes:
                return self._finish(claim, State.ran, at)
            case Ran.no:
                return self._finish(claim, State.released, at)
        return self._finish(claim, State.unknown, at)

    def take_answer(self, answered: ClaimAnswered, at: float) -> list[Output]:
        """Pass the owner's answer on to the request."""
        if answered.run != self.run:
            return []
        claim = self._claims.get(answered.number)
        if claim is None:
            return self._refuse_late_grant(answered, at)
        if claim.granted:
            return []
        if at >= claim.expires_at:
            return self._expire(claim, at)
        return self._apply_answer(claim, answered, at)

    def take_confirmation(self, stored: FinishStored) -> None:
        """Forget an outcome that is stored on a majority."""
        if stored.run == self.run:
            self._finishes.pop(stored.number, None)

    def follow_leader(self, group: str, at: float) -> list[Output]:
        """Repeat what the leader before hasn't answered."""
        outputs: list[Output] = []
        for claim in self._claims.values():
            if claim.group == group and not claim.granted:
                outputs.extend(self._send_ask(claim, at))
        for finish in self._finishes.values():
            if finish.group == group:
                outputs.extend(self._send_finish(finish, at))
        return outputs

    def check(self, at: float) -> list[Output]:
        """Repeat what wasn't answered; refuse what waited too long."""
        self._checks = False
        outputs: list[Output] = []
        for claim in tuple(self._claims.values()):
            if not claim.granted:
                outputs.extend(self._check_claim(claim, at))
        for finish in tuple(self._finishes.values()):
            outputs.extend(self._check_finish(finish, at))
        return [*outputs, *self._set_timer(at)]

    def _check_claim(self, claim: Claim, at: float) -> list[Output]:
        if at >= claim.expires_at:
            return self._expire(claim, at)
        if at < claim.sent_at + _RESEND_S:
            return []
        return [
            *self._send_ask(claim, at),
            *self._ownership.ask_leader(claim.group, at),
        ]

    def _check_finish(self, finish: Finish, at: float) -> list[Output]:
        if at >= finish.expires_at:
            self._finishes.pop(finish.message.number)
            return [IncrementCounter('claims.outcome_lost')]
        if at < finish.sent_at + _FINISH_RESEND_S:
            return []
        return [
            *self._send_finish(finish, at),
            *self._ownership.ask_leader(finish.group, at),
        ]

    def _apply_answer(
        self, claim: Claim, answered: ClaimAnswered, at: float
    ) -> list[Output]:
        verdict = Verdict(answered.verdict)
        if verdict is Verdict.granted:
            claim.granted = True
            return [ClaimGranted(at, claim.request_id)]
        if verdict is Verdict.joined:
            if not claim.joined:
                claim.joined = True
                claim.expires_at += _JOINED_WAIT_S - _OWNER_WAIT_S
            return []
        self._forget(claim)
        self._remember_withdrawn(claim)
        if verdict is Verdict.answered and answered.answer is not None:
            replayed = unpack_answer(answered.answer)
            return [ClaimReplayed(at, claim.request_id, replayed)]
        if verdict is Verdict.unavailable and claim.joined:
            # The first request of the key may have run.
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
        """Release a claim that may be granted although nobody waits."""
        self._remember_withdrawn(claim)
        return self._finish(claim, State.released, at)

    def _remember_withdrawn(self, claim: Claim) -> None:
        self._withdrawn[claim.asked.number] = claim
        if len(self._withdrawn) > _MOST_WITHDRAWN:
            self._withdrawn.pop(next(iter(self._withdrawn)))

    def _refuse_late_grant(
        self, answered: ClaimAnswered, at: float
    ) -> list[Output]:
        """Release a key that was granted after its request was refused.

        Only a claim that is known not to have run is released; a repeated
        grant of one that did run must not free its key.
        """
        claim = self._withdrawn.get(answered.number)
        if claim is None or answered.verdict != Verdict.granted:
            return []
        if answered.number in self._finishes:
            return []
        return self._finish(claim, State.released, at)

    def _forget(self, claim: Claim) -> Claim:
        self._claims.pop(claim.asked.number)
        self._numbers.pop(claim.request_id)
        return claim

    def _finish(
        self,
        claim: Claim,
        state: State,
        at: float,
        answer: StoredAnswer | None = None,
    ) -> list[Output]:
        asked = claim.asked
        message = ClaimFinished(
            asked.account,
            asked.key,
            asked.run,
            asked.number,
            int(state),
            pack_answer(answer),
        )
        finish = Finish(claim.group, message, at, at + _FINISH_LIMIT_S)
        self._finishes[asked.number] = finish
        if len(self._finishes) > _MOST_FINISHES:
            self._finishes.pop(next(iter(self._finishes)))
        return [*self._send_finish(finish, at), *self._set_timer(at)]

    def _send_ask(self, claim: Claim, at: float) -> list[Output]:
        claim.sent_at = at
        leader = self._ownership.leader_of_group(claim.group)
        if leader is None:
            return self._ownership.ask_leader(claim.group, at)
        return [SendMessage(leader, claim.asked)]

    def _send_finish(self, finish: Finish, at: float) -> list[Output]:
        finish.sent_at = at
        leader = self._ownership.leader_of_group(finish.group)
        if leader is None:
            return self._ownership.ask_leader(finish.group, at)
        return [SendMessage(leader, finish.message)]

    def _set_timer(self, at: float) -> list[Output]:
        busy = self._finishes or any(
            not claim.granted for claim in self._claims.values()
        )
        if self._checks or not busy:
            return []
        self._checks = True
        return [SetTimer(PART, CHECK_TIMER, at + _CHECK_S)]


def _refuse(request_id: RequestId, verdict: Verdict, at: float) -> Output:
    reason, ran = _REFUSALS.get(verdict, _REFUSALS[Verdict.unknown])
    retry_after_s = _RETRY_S if verdict in _RETRY_HELPS else None
    return ClaimRefused(at, request_id, reason, ran, retry_after_s)


__all__ = ('CHECK_TIMER', 'PART', 'ClaimClient')
