"""Effects that the daemon executes for the reducer."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from ..types import AttemptId, RequestId, TargetId, VmId
from .refusals import Refusal

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .commands import CommandAnswer
    from .errors import Failure
    from .events import StoredAnswer
    from .messages import Message


@attrs.frozen
class Effect:
    """Base of all effects."""


@attrs.frozen
class SetTimer(Effect):
    """Fire ``TimerFired`` at a time; replaces a timer of the same name."""

    component: str
    name: str
    at: float


@attrs.frozen
class CancelTimer(Effect):
    """Forget a timer; unknown ones are ignored."""

    component: str
    name: str


@attrs.frozen
class SendMessage(Effect):
    """Send a message to a VM; it may be lost."""

    to: VmId
    message: Message


@attrs.frozen
class RegisterPeer(Effect):
    """Remember the address (``host:port``) at which a VM takes messages."""

    vm: VmId
    address: str


@attrs.frozen
class StartAttempt(Effect):
    """Send a request to a target.

    Parameters
    ----------
    timeout_s
        Seconds until the attempt is given up; also sent to the target.
    keep_answer
        True if a small whole answer must be reported in ``AnswerReady``.
    account
        Client account whose request it is, empty on a public route.
    max_idle_s
        Seconds for which a connection may have been idle to be used again.
    answer_timeout_s
        Seconds until the end of the answer; a later one is broken off.

    """

    request_id: RequestId
    attempt_id: AttemptId
    target: TargetId
    host: str
    port: int
    timeout_s: float
    keep_answer: bool = False
    account: str = ''
    max_idle_s: float = math.inf
    answer_timeout_s: float = math.inf


@attrs.frozen
class CancelAttempt(Effect):
    """Give up an attempt and close its connection."""

    request_id: RequestId
    attempt_id: AttemptId


@attrs.frozen
class ForwardAnswer(Effect):
    """Send the answer of an attempt to the caller."""

    request_id: RequestId
    attempt_id: AttemptId


@attrs.frozen
class ReplayAnswer(Effect):
    """Send a stored answer to the caller."""

    request_id: RequestId
    answer: StoredAnswer


@attrs.frozen
class RefuseRequest(Effect):
    """Send a problem document to the caller."""

    request_id: RequestId
    refusal: Refusal


@attrs.frozen
class CutRequest(Effect):
    """Break the caller's connection; part of the answer was already sent."""

    request_id: RequestId
    refusal: Refusal


@attrs.frozen
class AnswerCommand(Effect):
    """Answer an operator's command."""

    command_id: int
    answer: CommandAnswer | Failure


@attrs.frozen
class AnswerAnnouncement(Effect):
    """Answer a target's announcement; None accepts it."""

    reply_id: int
    failure: Failure | None


@attrs.frozen
class IncrementCounter(Effect):
    """Add to a statsd counter, named with dots."""

    name: str
    by: int = 1


@attrs.frozen
class ObserveLatency(Effect):
    """Add a duration in seconds to a histogram, named with dots."""

    name: str
    seconds: float


@attrs.frozen
class WriteLog(Effect):
    """Write a structured log line.

    Parameters
    ----------
    level
        A ``logging`` level number.

    """

    level: int
    message: str
    fields: Mapping[str, object]


@attrs.frozen
class SetReadiness(Effect):
    """Tell the balancer whether this VM takes requests."""

    ready: bool


@attrs.frozen
class StopProcess(Effect):
    """Stop the process; nothing is in flight any more."""


__all__ = (
    'AnswerAnnouncement',
    'AnswerCommand',
    'CancelAttempt',
    'CancelTimer',
    'CutRequest',
    'Effect',
    'ForwardAnswer',
    'IncrementCounter',
    'ObserveLatency',
    'RefuseRequest',
    'RegisterPeer',
    'ReplayAnswer',
    'SendMessage',
    'SetReadiness',
    'SetTimer',
    'StartAttempt',
    'StopProcess',
    'WriteLog',
)
