"""Entry VM side of rate limits: gets tokens from bucket owners."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.effects import IncrementCounter, SendMessage, SetTimer
from ..core.notices import TokenDenied, TokenGranted, TokenSource
from ..core.refusals import RefusalReason
from ..types import AccountId, RequestId
from .bucket import BLOCK_LEASE_S, SINGLE_LEASE_S
from .cache import CachedAccount, Lease, TokenRequest
from .fallback import FallbackTokens
from .messages import TokensAsked, TokensGiven
from .owner import Verdict
from .rate_shares import SHARE_LIFETIME_S
from .returns import LeaseReturns
from .shares import choose_region
from .waiting import MAX_WAIT_S, Waiting, WaitingRequests

if TYPE_CHECKING:
    import random

    from ..configuration.model import Configuration
    from ..configuration.settings import Settings
    from ..types import Output, Owners

# Name under which this component gets its timers.
COMPONENT = 'limits'
WAIT_TIMER = 'wait'
LEASE_TIMER = 'leases'
# Time between new token requests of an account whose requests still wait.
# Longer than a round trip between regions.
_REQUEST_RETRY_S = 0.1
# Time after which an unanswered token request is sent once more, under the same
# number. Longer than a round trip to another region (60 ms).
_RESEND_S = 0.1
_LEASE_CHECK_S = 0.25
_WAIT_CHECK_S = 0.05
_MAX_WAITING = 1000
_MAX_CACHED = 4096
# A denial is cached at most this long, as another VM may return tokens.
_MAX_DENIAL_S = 0.1
_UNREACHABLE_RETRY_S = 0.5


class TokenClient:
    """Cached leases, token requests and waiting requests of this VM."""

    def __init__(
        self, settings: Settings, ownership: Owners, rng: random.Random
    ) -> None:
        """Start with an empty cache."""
        self._fallback = FallbackTokens(settings, ownership, rng)
        # Identifies this run of the process, so that answers to an earlier run
        # are ignored. Set at the start.
        self.run = 0
        self.configuration: Configuration | None = None
        self._region = settings.vm.region
        self._regions = settings.region_names
        self._ownership = ownership
        self._number = 0
        self._accounts: dict[str, CachedAccount] = {}
        self._waiting = WaitingRequests()
        self._token_requests: dict[int, TokenRequest] = {}
        self._returns = LeaseReturns(ownership)
        self._lease_timer_set = False
        self._wait_timer_set = False
        self._stopping = False

    def acquire(
        self,
        request_id: RequestId,
        account: AccountId,
        at: float,
        max_wait_s: float,
    ) -> list[Output]:
        """Grant or deny a token, or queue the request until the answer.

        Parameters
        ----------
        max_wait_s
            Longest time that the request may wait for a token.

        """
        account_row = self.configuration and self.configuration.accounts.get(
            account
        )
        if self.configuration is None or not account_row:
            return [_deny(request_id, RefusalReason.account_unknown, at)]
        region = choose_region(
            self.configuration, account_row, self._region, self._regions
        )
        # The replica group whose leader owns the bucket of the account.
        group = self._ownership.group_of(region, account)
        if not group or len(self._waiting) >= _MAX_WAITING:
            return [_deny_unreachable(request_id, at)]
        self._evict_idle_accounts(at)
        cached = self._accounts.setdefault(account, CachedAccount())
        cached.record_request(at)
        source = self._use_token(group, account, cached, at)
        if source is not None:
            return [
                *_grant(request_id, source, at),
                *self._request_tokens(account, cached, group, at),
                *self._set_lease_timer(at),
            ]
        if at < cached.denied_until:
            wait_s = cached.denied_until - at
            reason = RefusalReason.rate_exceeded
            return [_deny(request_id, reason, at, wait_s)]
        cached.waiting.append(request_id)
        self._waiting.add(request_id, account, group, at, max_wait_s)
        return [
            *self._request_tokens(account, cached, group, at),
            *self._set_wait_timer(at),
            *self._set_lease_timer(at),
        ]

    def cancel(self, request_id: RequestId) -> None:
        """Remove a waiting request; a token already granted counts as used."""
        waiting = self._waiting.pop(request_id)
        if waiting is not None:
            self._accounts[waiting.account].waiting.remove(request_id)

    def take_tokens(self, answer: TokensGiven, at: float) -> list[Output]:
        """Serve waiting requests with the tokens of the owner's answer."""
        self._waiting.last_owner_activity_at = at
        token_request = self._token_requests.get(answer.number)
        if token_request is None or answer.run != self.run:
            return []
        cached = self._remove_token_request(token_request)
        # Also the verdict of answers that grant tokens.
        if answer.verdict == Verdict.rate:
            self._fallback.record_remaining(
                token_request.account, answer.remaining
            )
        if answer.share is not None:
            self._fallback.receive_share(
                token_request.account,
                answer.share,
                token_request.sent_at + SHARE_LIFETIME_S,
            )
        if at < token_request.expires_at and answer.count:
            lease = Lease(
                token_request.number,
                answer.count,
                token_request.expires_at,
                is_token_block=token_request.prefetch > 0,
            )
            cached.leases.append(lease)
        outputs = self._serve_waiting(token_request, cached, at)
        if answer.count < token_request.needed:
            outputs.extend(self._deny_uncovered(cached, answer, at))
        elif answer.count:
            cached.denied_until = 0
        if cached.leases:
            self._close_leases(token_request.account, token_request.group, at)
        return outputs

    def handle_leader_change(self, group: str, at: float) -> list[Output]:
        """Ask a new leader for the tokens that were not granted yet.

        Unanswered token requests are resent; a new one covers the other
        waiting requests.
        """
        self._waiting.last_owner_activity_at = at
        outputs: list[Output] = []
        for token_request in self._token_requests.values():
            if token_request.group == group:
                outputs.extend(self._send_token_request(token_request, at))
        for account, waiting_group in sorted(
            self._waiting.groups_by_account().items()
        ):
            if waiting_group == group:
                cached = self._accounts[account]
                outputs.extend(self._request_tokens(account, cached, group, at))
        return outputs

    def check_waiting(self, at: float) -> list[Output]:
        """Resend unanswered token requests and expire waiting requests."""
        outputs: list[Output] = []
        self._wait_timer_set = False
        for token_request in tuple(self._token_requests.values()):
            if at >= token_request.sent_at + MAX_WAIT_S:
                # An answer after this is ignored, and a new token request
                # covers the requests that still wait.
                self._remove_token_request(token_request)
            elif (
                not token_request.resent
                and at >= token_request.sent_at + _RESEND_S
            ):
                token_request.resent = True
                outputs.extend(self._send_token_request(token_request, at))
                outputs.extend(
                    self._ownership.query_leader(token_request.group, at)
                )
        for request_id, waiting in self._waiting.list_all():
            outputs.extend(self._check_request(request_id, waiting, at))
        outputs.extend(self._retry_token_requests(at))
        return [*outputs, *self._set_wait_timer(at)]

    def check_leases(self, at: float) -> list[Output]:
        """Return unused tokens and evict idle accounts."""
        self._lease_timer_set = False
        for account, cached in tuple(self._accounts.items()):
            if cached.leases:
                self._close_leases(account, self._group_of(account), at)
            if cached.evictable(at):
                self._accounts.pop(account)
                self._fallback.forget(account)
        return [*self._returns.send(self.run), *self._set_lease_timer(at)]

    def return_all(self) -> list[Output]:
        """Return all unused tokens before the process stops."""
        self._stopping = True
        for account, cached in self._accounts.items():
            for lease in cached.leases:
                self._returns.queue_report(
                    account, self._group_of(account), lease
                )
            cached.leases.clear()
        return self._returns.send(self.run)

    def drop_leases(self) -> None:
        """Drop all leases and token requests, as they may have expired.

        The owner counts the tokens as used until it expires the leases.
        """
        for token_request in tuple(self._token_requests.values()):
            self._remove_token_request(token_request)
        for cached in self._accounts.values():
            cached.leases.clear()
        self._fallback.drop_shares()

    def count_cached(self) -> int:
        """Return the number of cached accounts."""
        return len(self._accounts)

    def _check_request(
        self, request_id: RequestId, waiting: Waiting, at: float
    ) -> list[Output]:
        """Try a fallback token when due; deny the request at its timeout."""
        # Acts now if the next check would come too late.
        next_check_at = at + _WAIT_CHECK_S
        if next_check_at > waiting.fallback_at and self._grant_fallback_token(
            request_id, at
        ):
            return _grant(request_id, TokenSource.fallback, at)
        if next_check_at <= waiting.expires_at:
            return []
        self.cancel(request_id)
        return [_deny_unreachable(request_id, at)]

    def _retry_token_requests(self, at: float) -> list[Output]:
        """Request tokens for waiting requests that aren't covered yet.

        A request is covered if an unanswered token request includes it.
        """
        outputs: list[Output] = []
        for account, group in self._waiting.groups_by_account().items():
            cached = self._accounts[account]
            if at >= cached.next_request_at:
                cached.next_request_at = at + _REQUEST_RETRY_S
                outputs.extend(self._request_tokens(account, cached, group, at))
        return outputs

    def _request_tokens(
        self, account: str, cached: CachedAccount, group: str, at: float
    ) -> list[Output]:
        needed = max(0, len(cached.waiting) - cached.tokens_requested)
        prefetch = 0 if self._stopping else cached.prefetch_size(at)
        if not (needed or prefetch):
            return []
        leader = self._ownership.leader_of_group(group)
        if leader is None:
            return self._ownership.query_leader(group, at)
        self._number += 1
        lease_s = BLOCK_LEASE_S if prefetch else SINGLE_LEASE_S
        token_request = TokenRequest(
            account, group, self._number, needed, prefetch, at, at + lease_s
        )
        self._token_requests[token_request.number] = token_request
        cached.tokens_requested += needed
        cached.token_block_requests += bool(prefetch)
        return [
            *self._send_token_request(token_request, at),
            *self._set_wait_timer(at),
        ]

    def _send_token_request(
        self, token_request: TokenRequest, at: float
    ) -> list[Output]:
        leader = self._ownership.leader_of_group(token_request.group)
        if leader is None:
            return []
        message = TokensAsked(
            token_request.account,
            self.run,
            token_request.number,
            token_request.needed,
            token_request.prefetch,
            self._fallback.remaining_of(token_request.account),
            self._fallback.read_recent_rate(token_request.account, at),
            self._fallback.find_share(token_request.account, at),
            self._fallback.used_without_share(token_request.account),
        )
        return [
            SendMessage(leader, message),
            *self._returns.send(self.run, leader),
        ]

    def _remove_token_request(
        self, token_request: TokenRequest
    ) -> CachedAccount:
        self._token_requests.pop(token_request.number)
        cached = self._accounts[token_request.account]
        cached.tokens_requested -= token_request.needed
        cached.token_block_requests -= bool(token_request.prefetch)
        return cached

    def _use_token(
        self, group: str, account: str, cached: CachedAccount, at: float
    ) -> TokenSource | None:
        """Use a leased token, or a fallback one if no owner is known."""
        if cached.use_token(at):
            self._fallback.record_use(account, at)
            return TokenSource.lease
        if self._ownership.leader_of_group(group) is not None:
            return None
        if self._fallback.take(self.configuration, account, at):
            return TokenSource.fallback
        return None

    def _serve_waiting(
        self, token_request: TokenRequest, cached: CachedAccount, at: float
    ) -> list[Output]:
        outputs: list[Output] = []
        group, account = token_request.group, token_request.account
        while cached.waiting:
            source = self._use_token(group, account, cached, at)
            if source is None:
                break
            request_id = cached.waiting.pop(0)
            self._waiting.pop(request_id)
            outputs.extend(_grant(request_id, source, at))
        return outputs

    def _deny_uncovered(
        self, cached: CachedAccount, answer: TokensGiven, at: float
    ) -> list[Output]:
        """Deny the waiting requests that no other token request covers.

        They keep waiting while the owner isn't ready, or lacks the account
        because its configuration is older.
        """
        if answer.verdict != Verdict.rate:
            cached.next_request_at = at + _REQUEST_RETRY_S
            return self._try_fallback(cached, at)
        reason = RefusalReason.rate_exceeded
        denial_s = min(answer.wait_s, _MAX_DENIAL_S)
        cached.denied_until = at + max(0, denial_s)
        wait_s = None if answer.wait_s < 0 else answer.wait_s
        outputs: list[Output] = []
        while len(cached.waiting) > cached.tokens_requested:
            request_id = cached.waiting.pop(0)
            self._waiting.pop(request_id)
            outputs.append(_deny(request_id, reason, at, wait_s))
        return outputs

    def _try_fallback(self, cached: CachedAccount, at: float) -> list[Output]:
        """Let each uncovered request try a fallback token."""
        outputs: list[Output] = []
        uncovered = len(cached.waiting) - cached.tokens_requested
        for request_id in cached.waiting[: max(0, uncovered)]:
            if self._grant_fallback_token(request_id, at):
                outputs.extend(_grant(request_id, TokenSource.fallback, at))
        return outputs

    def _grant_fallback_token(self, request_id: RequestId, at: float) -> bool:
        """Serve a waiting request without the owner; return whether it was."""
        account = self._waiting.account_of(request_id)
        if not self._fallback.take(self.configuration, account, at):
            return False
        self.cancel(request_id)
        return True

    def _close_leases(self, account: str, group: str, at: float) -> None:
        """Remove leases that are used up, idle or near expiry.

        Their unused tokens are reported to the owner, which takes them back.
        """
        for lease in self._accounts[account].close_leases(at):
            # A used single token expires soon enough without a report.
            if lease.remaining or lease.is_token_block:
                self._returns.queue_report(account, group, lease)

    def _group_of(self, account: str) -> str:
        if self.configuration is None:
            return ''
        account_row = self.configuration.accounts.get(account)
        if account_row is None:
            return ''
        region = choose_region(
            self.configuration, account_row, self._region, self._regions
        )
        return self._ownership.group_of(region, account)

    def _evict_idle_accounts(self, at: float) -> None:
        """Evict accounts that are not in use when the cache is full."""
        if len(self._accounts) < _MAX_CACHED:
            return
        for account, cached in tuple(self._accounts.items()):
            if not cached.in_use and at > cached.last_used_at:
                self._accounts.pop(account)

    def _set_wait_timer(self, at: float) -> list[Output]:
        if self._wait_timer_set or not (self._token_requests or self._waiting):
            return []
        self._wait_timer_set = True
        return [SetTimer(COMPONENT, WAIT_TIMER, at + _WAIT_CHECK_S)]

    def _set_lease_timer(self, at: float) -> list[Output]:
        if self._lease_timer_set or not self._accounts:
            return []
        self._lease_timer_set = True
        return [SetTimer(COMPONENT, LEASE_TIMER, at + _LEASE_CHECK_S)]


def _grant(
    request_id: RequestId, source: TokenSource, at: float
) -> list[Output]:
    return [
        TokenGranted(at, request_id, source),
        IncrementCounter(f'limits.token_{source.value}'),
    ]


def _deny(
    request_id: RequestId,
    reason: RefusalReason,
    at: float,
    wait_s: float | None = None,
) -> Output:
    return TokenDenied(at, request_id, reason, wait_s)


def _deny_unreachable(request_id: RequestId, at: float) -> Output:
    reason = RefusalReason.limit_owner_unreachable
    return _deny(request_id, reason, at, _UNREACHABLE_RETRY_S)


__all__ = ('LEASE_TIMER', 'COMPONENT', 'WAIT_TIMER', 'TokenClient')
