"""Classification of answers and failures of attempts."""

from __future__ import annotations

from typing import Final

from ..core.events import AnswerReady, AttemptFailure
from ..core.refusals import Executed, Refusal, RefusalReason
from ..routing.model import AttemptOutcome
from .state import RequestState

MIN_CLIENT_ERROR: Final = 400
MIN_SERVER_ERROR: Final = 500
TOO_MANY_REQUESTS: Final = 429
SERVICE_UNAVAILABLE: Final = 503
MISDIRECTED: Final = 421
_MAY_SUCCEED_ELSEWHERE: Final = frozenset(
    (
        AttemptOutcome.failed,
        AttemptOutcome.shed,
        AttemptOutcome.not_connected,
    )
)
# Time after which the caller may retry. The retry may arrive at another VM,
# which may be able to reach the targets.
UNREACHABLE_RETRY_S: Final = 0.3


def classify_answer(event: AnswerReady) -> AttemptOutcome:
    """Return the outcome of an attempt with an answer."""
    if event.status == MISDIRECTED and event.not_run:
        # The address now belongs to another target.
        return AttemptOutcome.not_connected
    if event.not_run:
        return AttemptOutcome.shed
    if event.status in {TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE}:
        return AttemptOutcome.shed
    if event.status >= MIN_SERVER_ERROR:
        return AttemptOutcome.failed
    if event.status >= MIN_CLIENT_ERROR:
        return AttemptOutcome.rejected
    return AttemptOutcome.succeeded


def may_succeed_elsewhere(outcome: AttemptOutcome) -> bool:
    """Return whether a retry at another target may succeed."""
    return outcome in _MAY_SUCCEED_ELSEWHERE


def classify_failure(failure: AttemptFailure) -> AttemptOutcome:
    """Return the outcome of an attempt without an answer."""
    if failure in {AttemptFailure.not_connected, AttemptFailure.not_sent}:
        return AttemptOutcome.not_connected
    if failure is AttemptFailure.timed_out:
        return AttemptOutcome.timed_out
    if failure is AttemptFailure.closed_idle:
        return AttemptOutcome.closed_idle
    return AttemptOutcome.failed


def build_failure_refusal(
    state: RequestState, failure: AttemptFailure
) -> Refusal:
    """Return the refusal of a request whose last attempt failed."""
    if state.may_have_run:
        reason = RefusalReason.outcome_unknown
        if state.retriable and failure is AttemptFailure.timed_out:
            reason = RefusalReason.deadline_expired
        return Refusal(reason, Executed.unknown)
    if failure is AttemptFailure.timed_out:
        return Refusal(RefusalReason.deadline_expired)
    return Refusal(
        RefusalReason.target_unreachable, retry_after_s=UNREACHABLE_RETRY_S
    )


__all__ = (
    'build_failure_refusal',
    'classify_answer',
    'classify_failure',
    'may_succeed_elsewhere',
)
