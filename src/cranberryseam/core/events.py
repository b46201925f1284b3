"""Events that the reducer handles.

Every event carries ``at``, the time in seconds, which never decreases. The
daemon computes it from the largest of the monotonic and the wall clock so that
a frozen process sees the time that passed without it.
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
    """Base of all events.

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
    """A timer set by ``SetTimer`` is due."""

    component: str
    name: str


@attrs.frozen
class MessageReceived(Event):
    """A message from another VM; may be late, repeated or reordered."""

    sender: VmId
    message: Message


@attrs.frozen
class StorageSynced(Event):
    """All storage effects up to ``sync_id`` are on disk."""

    sync_id: int


@attrs.frozen
class PauseSuspected(Event):
    """The wall clock stepped forward, perhaps because the VM was paused.

    ``at`` doesn't contain the step, because it may be a correction of the
    clock, and promises to others must not end early by it. Rights that this
    VM holds for a time (leases, tokens, key freshness) end at once, because
    the time may really have passed.

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
    """The settings name other VMs at which control replicas may be found."""

    seeds: tuple[str, ...]


@attrs.frozen
class CommandReceived(Event):
    """An operator's command from the administration API."""

    command_id: int
    command: Command


@attrs.frozen
class RequestHead:
    """What the reducer needs to know of a caller's request.

    Parameters
    ----------
    method, path, query
        From the request line; the path is checked and has no dot segments.
    key_hashes
        Hash of each key the request carried, in order of appearance.
    idempotency_key
        Value of ``Idempotency-Key``, if any.
    fingerprint
        Hash of method, path, query and body; empty without idempotency key.
    timeout_s
        The caller's own patience in seconds, if it said so.
    minute_of_day
        Minutes since local midnight, for deadlines by time of day.
    host
        Value of ``Host`` without its port.
    caller_request_id
        Identifier that the caller gave to this request, for logs.

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


@attrs.frozen
class RequestArrived(Event):
    """A caller's request passed the framing checks."""

    request_id: RequestId
    head: RequestHead


@attrs.frozen
class CallerConnectionClosed(Event):
    """The caller closed its connection before the answer was complete."""

    request_id: RequestId


class AttemptFailure(Enum):
    """How an attempt ended without a usable answer.

    ``closed_idle`` is a connection that the target had closed while it was
    idle; like ``no_answer`` it doesn't tell whether the request ran.
    """

    not_connected = 'not_connected'
    not_sent = 'not_sent'
    no_answer = 'no_answer'
    timed_out = 'timed_out'
    answer_invalid = 'answer_invalid'
    closed_idle = 'closed_idle'


@attrs.frozen
class AttemptFailed(Event):
    """An attempt ended before an answer was ready.

    Parameters
    ----------
    sent
        True once one byte of the request may have been written.

    """

    request_id: RequestId
    attempt_id: AttemptId
    failure: AttemptFailure
    sent: bool


@attrs.frozen
class StoredAnswer:
    """A whole answer that is small enough to be kept."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@attrs.frozen
class AnswerReady(Event):
    """Status, headers and the first part of an answer have arrived.

    Parameters
    ----------
    complete
        True if the whole body is in the buffer.
    not_run
        The target said with its own header that it did not run the request.
    answer
        The whole answer if it is complete and small enough to keep.

    """

    request_id: RequestId
    attempt_id: AttemptId
    status: int
    complete: bool
    not_run: bool = False
    retry_after_s: float | None = None
    answer: StoredAnswer | None = None


@attrs.frozen
class AnswerEnded(Event):
    """Forwarding an answer to the caller has ended.

    Parameters
    ----------
    complete
        False if the target's answer broke off.

    """

    request_id: RequestId
    attempt_id: AttemptId
    complete: bool


class TargetState(Enum):
    """State that a target announces for itself."""

    cold = 'cold'
    ready = 'ready'
    draining = 'draining'


@attrs.frozen
class Announcement:
    """What a target says of itself.

    Parameters
    ----------
    slots
        Requests it works on at once.
    connections
        Connections it accepts, over all VMs.
    sequence
        Increases with each announcement of this target.
    born_ms
        Unix time of its start in milliseconds, 0 if it doesn't say so; a
        target that starts again under its id counts anew.

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
