"""Entry VM's side: gets tokens for requests from the owners."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.effects import SendMessage, SetTimer
from ..core.notices import TokenDenied, TokenGranted
from ..core.refusals import RefusalReason
from ..types import AccountId, RequestId
from .bucket import BLOCK_LEASE_S, SINGLE_LEASE_S
from .cache import Ask, CachedAccount, Lease
from .messages import TokensAsked, TokensGiven
from .owner import Verdict
from .returns import LeaseReturns
from .shares import choose_region
from .spare import SpareTokens
from .waiting import MOST_WAIT_S, Waiting, WaitingRequests

if TYPE_CHECKING:
    import random

    from ..configuration.model import Configuration
    from ..configuration.settings import Settings
    from ..types import Output, Owners

PART = 'limits'
WAIT_TIMER = 'wait'
LEASE_TIMER = 'leases'
# Longer than a round trip between regions.
_ASK_AGAIN_S = 0.1
# Longer than a round trip to another region (60 ms).
_RESEND_S = 0.1
_LEASE_CHECK_S = 0.25
_WAIT_CHECK_S = 0.05
_MOST_WAITING = 1000
_MOST_CACHED = 4096
# A denial is remembered at most this long, as another VM may return tokens.
_MOST_DENIED_S = 0.1
_RETRY_S = 0.5


class TokenClient:
    """Tokens of this VM: cached leases, asks and waiting requests."""

    def __init__(
        self, settings: Settings, ownership: Owners, rng: random.Random
    ) -> None:
        """Start without tokens."""
        self._spare = SpareTokens(settings, ownership, rng)
        self.run = 0
        self.configuration: Configuration | None = None
        self._region = settings.vm.region
        self._regions = settings.region_names
        self._ownership = ownership
        self._number = 0
        self._accounts: dict[str, CachedAccount] = {}
        self._waiting = WaitingRequests()
        self._asks: dict[int, Ask] = {}
        self._returns = LeaseReturns(ownership)
        self._checks_leases = False
        self._checks_waiting = False
        self._stopping = False

    def acquire(
        self,
        request_id: RequestId,
        account: AccountId,
        at: float,
        max_wait_s: float,
    ) -> list[Output]:
        """Grant a token, deny it, or let the request wait for an answer."""
        known = self.configuration and self.configuration.accounts.get(account)
        if self.configuration is None or not known:
            return [_deny(request_id, RefusalReason.account_unknown, at)]
        region = choose_region(
            self.configuration, known, self._region, self._regions
        )
        group = self._ownership.group_of(region, account)
        if not group or len(self._waiting) >= _MOST_WAITING:
            return [_deny_unreachable(request_id, at)]
        self._make_room(at)
        cached = self._accounts.setdefault(account, CachedAccount())
        cached.count_use(at)
        if self._use_token(group, account, cached, at):
            return [
                TokenGranted(at, request_id),
                *self._ask(account, cached, group, at),
                *self._set_lease_timer(at),
            ]
        if at < cached.denied_until:
            wait_s = cached.denied_until - at
            reason = RefusalReason.rate_exceeded
            return [_deny(request_id, reason, at, wait_s)]
        cached.waiting.append(request_id)
        self._waiting.add(request_id, account, group, at, max_wait_s)
        return [
            *self._ask(account, cached, group, at),
            *self._set_wait_timer(at),
            *self._set_lease_timer(at),
        ]

    def cancel(self, request_id: RequestId) -> None:
        """Forget a request that waits; a token granted before is used."""
        waiting = self._waiting.pop(request_id)
        if waiting is not None:
            self._accounts[waiting.account].waiting.remove(request_id)

    def take_tokens(self, given: TokensGiven, at: float) -> list[Output]:
        """Serve waiting requests with the tokens of an answer."""
        self._waiting.answered_at = at
        ask = self._asks.get(given.number)
        if ask is None or given.run != self.run:
            return []
        cached = self._forget_ask(ask)
        if given.verdict == Verdict.rate:
            self._spare.note_left(ask.account, given.remaining)
        if at < ask.expires_at and given.count:
            lease = Lease(
                ask.number, given.count, ask.expires_at, is_block=ask.ahead > 0
            )
            cached.leases.append(lease)
        outputs = self._serve_waiting(ask, cached, at)
        if given.count < ask.needed:
            outputs.extend(self._deny_uncovered(cached, given, at))
        elif given.count:
            cached.denied_until = 0
        if cached.leases:
            self._close_leases(ask.account, ask.group, at)
        return outputs

    def follow_leader(self, group: str, at: float) -> list[Output]:
        """Ask a new leader for what is still missing."""
        self._waiting.answered_at = at
        outputs: list[Output] = []
        for ask in self._asks.values():
            if ask.group == group:
                outputs.extend(self._send_ask(ask))
        for account, waits_for in sorted(self._waiting.map_groups().items()):
            if waits_for == group:
                cached = self._accounts[account]
                outputs.extend(self._ask(account, cached, group, at))
        return outputs

    def check_waiting(self, at: float) -> list[Output]:
        """Repeat asks without answer and end the waiting of requests."""
        outputs: list[Output] = []
        self._checks_waiting = False
        for ask in tuple(self._asks.values()):
            if at >= ask.sent_at + MOST_WAIT_S:
                self._forget_ask(ask)
            elif not ask.resent and at >= ask.sent_at + _RESEND_S:
                ask.resent = True
                outputs.extend(self._send_ask(ask))
                outputs.extend(self._ownership.ask_leader(ask.group, at))
        for request_id, waiting in self._waiting.list_all():
            outputs.extend(self._check_request(request_id, waiting, at))
        outputs.extend(self._ask_again(at))
        return [*outputs, *self._set_wait_timer(at)]

    def check_leases(self, at: float) -> list[Output]:
        """Return unused tokens and forget accounts that aren't in use."""
        self._checks_leases = False
        for account, cached in tuple(self._accounts.items()):
            if cached.leases:
                self._close_leases(account, self._group_of(account), at)
            if cached.disposable(at):
                self._accounts.pop(account)
                self._spare.forget(account)
        return [*self._returns.send(self.run), *self._set_lease_timer(at)]

    def return_all(self) -> list[Output]:
        """Return all unused tokens before the process stops."""
        self._stopping = True
        for account, cached in self._accounts.items():
            for lease in cached.leases:
                self._returns.note(account, self._group_of(account), lease)
            cached.leases.clear()
        return self._returns.send(self.run)

    def drop_leases(self) -> None:
        """Drop all tokens and asks, as their leases may be over.

        The owner counts them as used until it ends their leases itself.
        """
        for ask in tuple(self._asks.values()):
            self._forget_ask(ask)
        for cached in self._accounts.values():
            cached.leases.clear()

    def count_cached(self) -> int:
        """Return the number of accounts in memory."""
        return len(self._accounts)

    def _check_request(
        self, request_id: RequestId, waiting: Waiting, at: float
    ) -> list[Output]:
        """Try a spare token at its time, and end the waiting at its end."""
        # The next check would be too late.
        soon = at + _WAIT_CHECK_S
        if soon > waiting.spare_at and self._take_spare(request_id, at):
            return [TokenGranted(at, request_id)]
        if soon <= waiting.expires_at:
            return []
        self.cancel(request_id)
        return [_deny_unreachable(request_id, at)]

    def _ask_again(self, at: float) -> list[Output]:
        """Ask for the requests that no ask covers any longer."""
        outputs: list[Output] = []
        for account, group in self._waiting.map_groups().items():
            cached = self._accounts[account]
            if at >= cached.ask_again_at:
                cached.ask_again_at = at + _ASK_AGAIN_S
                outputs.extend(self._ask(account, cached, group, at))
        return outputs

    def _ask(
        self, account: str, cached: CachedAccount, group: str, at: float
    ) -> list[Output]:
        needed = max(0, len(cached.waiting) - cached.asked)
        ahead = 0 if self._stopping else cached.count_ahead(at)
        if not (needed or ahead):
            return []
        leader = self._ownership.leader_of_group(group)
        if leader is None:
            return self._ownership.ask_leader(group, at)
        self._number += 1
        lease_s = BLOCK_LEASE_S if ahead else SINGLE_LEASE_S
        ask = Ask(account, group, self._number, needed, ahead, at, at + lease_s)
        self._asks[ask.number] = ask
        cached.asked += needed
        cached.asks_ahead += bool(ahead)
        return [*self._send_ask(ask), *self._set_wait_timer(at)]

    def _send_ask(self, ask: Ask) -> list[Output]:
        leader = self._ownership.leader_of_group(ask.group)
        if leader is None:
            return []
        message = TokensAsked(
            ask.account,
            self.run,
            ask.number,
            ask.needed,
            ask.ahead,
            self._spare.left_of(ask.account),
        )
        return [
            SendMessage(leader, message),
            *self._returns.send(self.run, leader),
        ]

    def _forget_ask(self, ask: Ask) -> CachedAccount:
        self._asks.pop(ask.number)
        cached = self._accounts[ask.account]
        cached.asked -= ask.needed
        cached.asks_ahead -= bool(ask.ahead)
        return cached

    def _use_token(
        self, group: str, account: str, cached: CachedAccount, at: float
    ) -> bool:
        """Use a token of the owner, or a spare one if there is no owner."""
        if cached.use_token(at):
            self._spare.note_use(account, at)
            return True
        if self._ownership.leader_of_group(group) is not None:
            return False
        return self._spare.take(self.configuration, account, at)

    def _serve_waiting(
        self, ask: Ask, cached: CachedAccount, at: float
    ) -> list[Output]:
        outputs: list[Output] = []
        group, account = ask.group, ask.account
        while cached.waiting and self._use_token(group, account, cached, at):
            request_id = cached.waiting.pop(0)
            self._waiting.pop(request_id)
            outputs.append(TokenGranted(at, request_id))
        return outputs

    def _deny_uncovered(
        self, cached: CachedAccount, given: TokensGiven, at: float
    ) -> list[Output]:
        """Deny the waiting requests that no other ask covers.

        While the owner isn't ready, or lacks the account because it has an
        older configuration, they go on waiting for it.
        """
        if given.verdict != Verdict.rate:
            cached.ask_again_at = at + _ASK_AGAIN_S
            return self._try_spare(cached, at)
        reason = RefusalReason.rate_exceeded
        remembered_s = min(given.wait_s, _MOST_DENIED_S)
        cached.denied_until = at + max(0, remembered_s)
        wait_s = None if given.wait_s < 0 else given.wait_s
        outputs: list[Output] = []
        while len(cached.waiting) > cached.asked:
            request_id = cached.waiting.pop(0)
            self._waiting.pop(request_id)
            outputs.append(_deny(request_id, reason, at, wait_s))
        return outputs

    def _try_spare(self, cached: CachedAccount, at: float) -> list[Output]:
        """Let the uncovered requests try to do without the owner, once."""
        outputs: list[Output] = []
        uncovered = len(cached.waiting) - cached.asked
        for request_id in cached.waiting[: max(0, uncovered)]:
            if self._take_spare(request_id, at):
                outputs.append(TokenGranted(at, request_id))
        return outputs

    def _take_spare(self, request_id: RequestId, at: float) -> bool:
        """Serve a waiting request without the owner, if that is possible."""
        account = self._waiting.account_of(request_id)
        if not self._waiting.take_spare_try(request_id):
            return False
        if not self._spare.take(self.configuration, account, at):
            return False
        self.cancel(request_id)
        return True

    def _close_leases(self, account: str, group: str, at: float) -> None:
        for lease in self._accounts[account].close_leases(at):
            # A used single token expires soon enough without a message.
            if lease.remaining or lease.is_block:
                self._returns.note(account, group, lease)

    def _group_of(self, account: str) -> str:
        if self.configuration is None:
            return ''
        known = self.configuration.accounts.get(account)
        if known is None:
            return ''
        region = choose_region(
            self.configuration, known, self._region, self._regions
        )
        return self._ownership.group_of(region, account)

    def _make_room(self, at: float) -> None:
        """Forget idle accounts early if there are too many."""
        if len(self._accounts) < _MOST_CACHED:
            return
        for account, cached in tuple(self._accounts.items()):
            if not cached.busy and at > cached.last_used_at:
                self._accounts.pop(account)

    def _set_wait_timer(self, at: float) -> list[Output]:
        if self._checks_waiting or not (self._asks or self._waiting):
            return []
        self._checks_waiting = True
        return [SetTimer(PART, WAIT_TIMER, at + _WAIT_CHECK_S)]

    def _set_lease_timer(self, at: float) -> list[Output]:
        if self._checks_leases or not self._accounts:
            return []
        self._checks_leases = True
        return [SetTimer(PART, LEASE_TIMER, at + _LEASE_CHECK_S)]


def _deny(
    request_id: RequestId,
    reason: RefusalReason,
    at: float,
    wait_s: float | None = None,
) -> Output:
    return TokenDenied(at, request_id, reason, wait_s)


def _deny_unreachable(request_id: RequestId, at: float) -> Output:
    reason = RefusalReason.limit_owner_unreachable
    return _deny(request_id, reason, at, _RETRY_S)


__all__ = ('LEASE_TIMER', 'PART', 'WAIT_TIMER', 'TokenClient')
