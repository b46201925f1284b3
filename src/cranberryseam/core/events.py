"""Events that the reducer handles.

Every event carries ``at``, the time in seconds, which never decreases. The
daemon computes it from the larger of the monotonic and the wall clock so that
a suspended process observes the time that passed while it was suspended.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs

from ..types import AttemptId, RequestId, ServiceName, TargetId, VmId

if TYPE_CHECKING:
    from .commands import Command
    from .messages import Message


@attrs.frozen
class Event:
    """Base class of all events.

    Parameters
    ----------
    at
        Seconds since an arbitrary origin.

    """

    at: float


@attrs.frozen
class Started(Event):
    """The process has started; the first event of each run.

    Parameters
    ----------
    wall_s
        Seconds since the Unix epoch.

    """

    wall_s: float


@attrs.frozen
class TimerFired(Event):
    """A timer set by ``SetTimer`` has expired."""

    component: str
    name: str


@attrs.frozen
class MessageReceived(Event):
    """A message from another VM; may be delayed, duplicated or reordered."""

    sender: VmId
    message: Message


@attrs.frozen
class StorageSynced(Event):
    """All storage effects up to ``sync_id`` are on disk."""

    sync_id: int


@attrs.frozen
class PauseSuspected(Event):
    """The wall clock stepped forward, possibly because the VM was paused.

    ``at`` doesn't include the step: it may be a clock correction, and
    guarantees to other VMs must not expire early because of it. Leases, tokens
    and key freshness that this VM holds expire at once, because the VM may
    have been paused for that long.

    Parameters
    ----------
    step_s
        Size of the step in seconds.

    """

    step_s: float


@attrs.frozen
class StopRequested(Event):
    """The process was asked to drain and stop (SIGTERM)."""


@attrs.frozen
class SeedsChanged(Event):
    """The list of VMs used to discover control replicas has changed."""

    seeds: tuple[str, ...]


@attrs.frozen
class CommandReceived(Event):
    """An operator's command from the administration API."""

    command_id: int
    command: Command


@attrs.frozen
class RequestHead:
    """Metadata of a caller's request that the reducer uses.

    Parameters
    ----------
    method, path, query
        From the request line; the path is validated and has no dot segments.
    key_hashes
        Hash of each key in the request, in order of appearance.
    idempotency_key
        Value of ``Idempotency-Key``, if any.
    fingerprint
        Hash of method, path, query and body; empty without idempotency key.
    timeout_s
        The caller's own timeout in seconds, None if it sent none.
    minute_of_day
        Minutes since local midnight, for deadlines that depend on it.
    host
        Value of ``Host`` without the port.
    caller_request_id
        Identifier that the caller assigned to the request, for logs.
    body_bytes
        Length of the body; 0 if it is not stated.

    """

    method: str
    path: str
    query: str = ''
    key_hashes: tuple[bytes, ...] = ()
    idempotency_key: str | None = None
    fingerprint: bytes = b''
    timeout_s: float | None = None
    minute_of_day: int = 0
    host: str = ''
    caller_request_id: str = ''
    body_bytes: int = 0


@attrs.frozen
class RequestArrived(Event):
    """A caller's request passed framing validation."""

    request_id: RequestId
    head: RequestHead


@attrs.frozen
class CallerConnectionClosed(Event):
    """The caller closed its connection before the answer was complete."""

    request_id: RequestId


class AttemptFailure(Enum):
    """How an attempt ended without a usable answer.

    ``closed_idle`` means that the target had closed the idle connection on
    which the request was sent; as with ``no_answer``, the request may or may
    not have been executed.
    """

    not_connected = 'not_connected'
    not_sent = 'not_sent'
    no_answer = 'no_answer'
    timed_out = 'timed_out'
    answer_invalid = 'answer_invalid'
    closed_idle = 'closed_idle'


@attrs.frozen
class AttemptFailed(Event):
    """An attempt failed before an answer was ready.

    Parameters
    ----------
    sent
        True if any byte of the request may have been written.

    """

    request_id: RequestId
    attempt_id: AttemptId
    failure: AttemptFailure
    sent: bool


@attrs.frozen
class StoredAnswer:
    """A complete answer that is small enough to store."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@attrs.frozen
class TargetStatement:
    """What a target says of itself in an answer.

    Parameters
    ----------
    max_rate
        Requests per second that it takes from all VMs together; None without
        a limit.
    leaving
        Whether it is about to leave and takes no more requests.
    pause_s
        Seconds for which it wants no requests of this VM.
    is_valid
        False if a part of the statement couldn't be read and is missing here.

    """

    max_rate: float | None = None
    leaving: bool = False
    pause_s: float = 0
    is_valid: bool = True


@attrs.frozen
class AnswerReady(Event):
    """Status, headers and the beginning of the body have arrived.

    Parameters
    ----------
    complete
        True if the whole body has been received.
    not_run
        True if a header of the target says that it did not execute the
        request.
    answer
        The answer if it is complete and small enough to store.
    statement
        What the target says of itself.
    body_bytes
        Length of the body as far as it has been received.
    is_unconfirmed_refusal
        True if the caller would read the status as a promise that the request
        did not run, which the target does not state.

    """

    request_id: RequestId
    attempt_id: AttemptId
    status: int
    complete: bool
    not_run: bool = False
    retry_after_s: float | None = None
    answer: StoredAnswer | None = None
    statement: TargetStatement = TargetStatement()
    body_bytes: int = 0
    is_unconfirmed_refusal: bool = False


@attrs.frozen
class AnswerEnded(Event):
    """Forwarding an answer to the caller has ended.

    Parameters
    ----------
    complete
        False if the target's answer was truncated.

    """

    request_id: RequestId
    attempt_id: AttemptId
    complete: bool


class TargetState(Enum):
    """State that a target announces."""

    cold = 'cold'
    ready = 'ready'
    draining = 'draining'


@attrs.frozen
class Announcement:
    """State and capacity that a target reports.

    Parameters
    ----------
    slots
        Requests that it processes concurrently.
    connections
        Connections that it accepts from all VMs together.
    sequence
        Increases with each announcement of this target.
    born_ms
        Unix time of its start in milliseconds, 0 if unknown; a target that
        restarts under the same id restarts ``sequence``.

    """

    target: TargetId
    service: ServiceName
    host: str
    port: int
    region: str
    data_centre: str
    slots: int
    connections: int
    state: TargetState
    sequence: int
    born_ms: int = 0


@attrs.frozen
class TargetAnnounced(Event):
    """A target announced itself to this VM with a valid target key."""

    announcement: Announcement
    key_hash: bytes
    reply_id: int


__all__ = (
    'Announcement',
    'AnswerEnded',
    'AnswerReady',
    'AttemptFailed',
    'AttemptFailure',
    'CallerConnectionClosed',
    'CommandReceived',
    'Event',
    'MessageReceived',
    'PauseSuspected',
    'RequestArrived',
    'RequestHead',
    'SeedsChanged',
    'Started',
    'StopRequested',
    'StorageSynced',
    'StoredAnswer',
    'TargetAnnounced',
    'TargetState',
    'TimerFired',
)
