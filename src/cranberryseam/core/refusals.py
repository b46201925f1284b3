"""Refusals of requests and their reasons."""

from __future__ import annotations

from enum import Enum

import attrs

from .errors import Failure


class Executed(Enum):
    """Whether a target executed a request."""

    no = 'no'
    unknown = 'unknown'
    yes = 'yes'


class RefusalReason(Enum):
    """Reason for a refusal; the value is the name of its counter."""

    malformed_request = 'malformed_request'
    body_too_large = 'body_too_large'
    body_timeout = 'body_timeout'
    key_missing = 'key_missing'
    key_ambiguous = 'key_ambiguous'
    key_unknown = 'key_unknown'
    key_withdrawn = 'key_withdrawn'
    keys_stale = 'keys_stale'
    account_unknown = 'account_unknown'
    route_unknown = 'route_unknown'
    route_not_in_plan = 'route_not_in_plan'
    deadline_too_short = 'deadline_too_short'
    deadline_expired = 'deadline_expired'
    rate_exceeded = 'rate_exceeded'
    limit_owner_unreachable = 'limit_owner_unreachable'
    idempotency_key_invalid = 'idempotency_key_invalid'
    idempotency_key_reused = 'idempotency_key_reused'
    claim_owner_unreachable = 'claim_owner_unreachable'
    claim_table_full = 'claim_table_full'
    duplicate_in_progress = 'duplicate_in_progress'
    duplicate_outcome_unknown = 'duplicate_outcome_unknown'
    answer_not_kept = 'answer_not_kept'
    no_target = 'no_target'
    queue_full = 'queue_full'
    queue_timeout = 'queue_timeout'
    retry_budget_exhausted = 'retry_budget_exhausted'
    target_unreachable = 'target_unreachable'
    target_overloaded = 'target_overloaded'
    outcome_unknown = 'outcome_unknown'
    answer_incomplete = 'answer_incomplete'
    caller_left = 'caller_left'
    not_ready = 'not_ready'
    draining = 'draining'


@attrs.frozen
class Refusal(Failure):
    """A request that gets no answer from a target.

    Parameters
    ----------
    reason
        Why it was refused.
    ran
        Whether a target executed the request; ``no`` is a guarantee to the
        caller.
    retry_after_s
        Seconds after which a retry may succeed; None if a retry is useless.

    """

    reason: RefusalReason
    ran: Executed = Executed.no
    retry_after_s: float | None = None


__all__ = ('Executed', 'Refusal', 'RefusalReason')
