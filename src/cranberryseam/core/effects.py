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
    """Base class of all effects."""


@attrs.frozen
class SetTimer(Effect):
    """Schedule ``TimerFired``; replaces a timer of the same name."""

    component: str
    name: str
    at: float


@attrs.frozen
class CancelTimer(Effect):
    """Cancel a timer; ignored if it isn't set."""

    component: str
    name: str


@attrs.frozen
class SendMessage(Effect):
    """Send a message to a VM; delivery isn't guaranteed."""

    to: VmId
    message: Message


@attrs.frozen
class RegisterPeer(Effect):
    """Record the address (``host:port``) at which a VM receives messages."""

    vm: VmId
    address: str


@attrs.frozen
class PlacePeer(Effect):
    """Record the distance of a VM, for the counters of bytes.

    Parameters
    ----------
    distance
        Name of a ``Distance``.

    """

    vm: VmId
    distance: str


@attrs.frozen
class StartAttempt(Effect):
    """Send a request to a target.

    Parameters
    ----------
    timeout_s
        Seconds until the first part of the answer; also sent to the target.
    keep_answer
        True if ``AnswerReady`` must include the answer when it is complete and
        small.
    account
        Client account of the request; empty on a public route.
    max_idle_s
        Longest idle time in seconds of a connection that may be reused.
    answer_timeout_s
        Seconds until the complete answer; a later one is aborted.

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
    """Abort an attempt and close its connection."""

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
    """Abort the caller's connection after part of the answer was sent."""

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
    """Increment a statsd counter; its name is dot-separated."""

    name: str
    by: int = 1


@attrs.frozen
class ObserveLatency(Effect):
    """Record a duration in a histogram; its name is dot-separated."""

    name: str
    seconds: float


@attrs.frozen
class WriteLog(Effect):
    """Write a structured log line.

    Parameters
    ----------
    level
        Numeric level of the ``logging`` module.

    """

    level: int
    message: str
    fields: Mapping[str, object]


@attrs.frozen
class SetReadiness(Effect):
    """Report to the load balancer whether this VM accepts requests."""

    ready: bool


@attrs.frozen
class StopProcess(Effect):
    """Stop the process after all requests have completed."""


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
    'PlacePeer',
    'RegisterPeer',
    'ReplayAnswer',
    'SendMessage',
    'SetReadiness',
    'SetTimer',
    'StartAttempt',
    'StopProcess',
    'WriteLog',
)
