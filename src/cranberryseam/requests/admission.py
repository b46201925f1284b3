"""Admission checks, made before a request uses a shared resource."""

from __future__ import annotations

from typing import Final, Protocol

from expression import Error, Ok, Result

from ..configuration.model import Configuration, Route
from ..core.events import RequestArrived
from ..core.refusals import Refusal, RefusalReason
from ..types import AccountId
from .state import RequestState

# Bounds the memory held for requests whose caller has probably given up.
MAX_TIMEOUT_S: Final = 300.0
PUBLIC_ACCOUNT: Final = AccountId('(public)')


class Keys(Protocol):
    """Validates API keys."""

    def check(self, key_hash: bytes, at: float) -> Result[AccountId, Refusal]:
        """Return the account of a key, or the refusal if it is not valid."""


def admit_request(
    configuration: Configuration, keys: Keys, event: RequestArrived, at: float
) -> Result[RequestState, Refusal]:
    """Return the state of a new request, or its refusal.

    Parameters
    ----------
    configuration
        The current configuration.
    keys
        Validates the API key of the request.
    event
        The request.
    at
        Time of the decision, at or after the arrival.

    """
    head = event.head
    route = configuration.find_route(head.method, head.path, head.host)
    if route is not None and route.public:
        return _admit_public(route, event, at)
    if route is None and configuration.document is not None:
        return _refuse(RefusalReason.route_unknown)
    if not head.key_hashes:
        return _refuse(RefusalReason.key_missing)
    if len(head.key_hashes) > 1:
        return _refuse(RefusalReason.key_ambiguous)
    account = keys.check(head.key_hashes[0], at)
    if account.is_error():
        return Error(account.error)
    state = _admit_account(configuration, route, account.ok, event)
    return state.bind(lambda admitted: _check_deadline(admitted, at))


def _admit_public(
    route: Route, event: RequestArrived, at: float
) -> Result[RequestState, Refusal]:
    if event.head.idempotency_key and not route.is_retriable(event.head.method):
        # An idempotency key is claimed per account. A public request has no
        # account, so running it would not guarantee at-most-once execution.
        return _refuse(RefusalReason.idempotency_key_invalid)
    state = _build_state(route, PUBLIC_ACCOUNT, 1, event)
    return _check_deadline(state, at)


def _admit_account(
    configuration: Configuration,
    route: Route | None,
    name: AccountId,
    event: RequestArrived,
) -> Result[RequestState, Refusal]:
    account = configuration.accounts.get(name)
    if account is None or account.plan not in configuration.plans:
        return _refuse(RefusalReason.account_unknown)
    plan = configuration.plans[account.plan]
    if route is None:
        return _refuse(RefusalReason.route_unknown)
    if not plan.allows(route.name):
        return _refuse(RefusalReason.route_not_in_plan)
    state = _build_state(route, name, plan.weight, event)
    state.rank = route.rank if plan.rank is None else plan.rank
    state.is_limited = plan.rate > 0
    return Ok(state)


def _build_state(
    route: Route, account: AccountId, weight: int, event: RequestArrived
) -> RequestState:
    head = event.head
    timeout_s = head.timeout_s
    if timeout_s is None:
        timeout_s = route.deadline_at_minute(head.minute_of_day)
    if route.most_wait_s:
        timeout_s = min(timeout_s, route.most_wait_s)
    key_hash = None if route.public else head.key_hashes[0]
    return RequestState(
        request_id=event.request_id,
        head=head,
        route=route,
        account=account,
        weight=weight,
        key_hash=key_hash,
        deadline_at=event.at + min(timeout_s, MAX_TIMEOUT_S),
        retriable=route.is_retriable(head.method),
        arrived_at=event.at,
        service=route.service,
        rank=route.rank,
    )


def _check_deadline(
    state: RequestState, at: float
) -> Result[RequestState, Refusal]:
    if state.deadline_at <= at:
        return _refuse(RefusalReason.deadline_too_short)
    return Ok(state)


def _refuse(reason: RefusalReason) -> Result[RequestState, Refusal]:
    return Error(Refusal(reason))


__all__ = ('MAX_TIMEOUT_S', 'PUBLIC_ACCOUNT', 'Keys', 'admit_request')
