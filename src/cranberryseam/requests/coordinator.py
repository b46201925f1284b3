"""Request state machine: token, claim, slot, attempt and answer."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from typing import Any, Final

from ..configuration.model import Configuration
from ..core import effects as fx
from ..core import events as ev
from ..core import notices as nt
from ..core.refusals import Executed, Refusal, RefusalReason
from ..types import Output, ServiceName
from .active_requests import (
    ActiveRequests,
    count_refusal,
    qualify_refusal,
    render_refusal,
)
from .admission import PUBLIC_ACCOUNT, admit_request
from .attempts import AttemptHandler
from .collaborators import Collaborators
from .log_lines import describe_early_refusal
from .startup_queue import StartupQueue
from .state import RequestState, Stage

COMPONENT: Final = 'requests'
# Interval at which streams are checked for withdrawn or stale keys.
STREAM_CHECK_S: Final = 1.0
# Another VM can serve the request immediately.
RETRY_AFTER_S: Final = 0.1
# A VM receives its configuration as soon as a control leader is elected. After
# a restart of all VMs this takes about 0.5 s.
NOT_READY_RETRY_S: Final = 0.5
# Share of the remaining time that a request may wait for the owner of its rate
# limit; the rest is left for the attempts.
_LIMIT_WAIT_SHARE: Final = 0.5
_STREAM_TIMER: Final = 'streams'
_STARTUP_TIMER: Final = 'held'
_SAFE_METHODS: Final = frozenset(('GET', 'HEAD', 'OPTIONS'))
# Reasons given by the claim owner after it found no other executed copy.
_NO_DUPLICATE_REASONS: Final = frozenset(
    (RefusalReason.claim_table_full, RefusalReason.idempotency_key_reused)
)
_DRAINING: Final = Refusal(RefusalReason.draining, retry_after_s=RETRY_AFTER_S)
_STOPPED: Final = Refusal(RefusalReason.outcome_unknown, Executed.unknown)

_Outputs = list[Output]


class Coordinator:
    """Processes every request of this VM from arrival to completion.

    Parameters
    ----------
    collaborators
        The components that manage keys, tokens, claims and slots.
    rng
        Selects the service of requests on routes with a traffic split.

    """

    def __init__(
        self, collaborators: Collaborators, rng: random.Random
    ) -> None:
        """Create a coordinator without requests or configuration."""
        self._collaborators = collaborators
        self._rng = rng
        self._requests = ActiveRequests(collaborators)
        self._attempts = AttemptHandler(self._requests, COMPONENT)
        self._configuration = Configuration()
        self._startup_queue = StartupQueue()
        self._draining = False
        self._stop_at: float = math.inf
        self._handlers: dict[type, Callable[[Any], _Outputs]] = {
            ev.Started: self._start,
            ev.RequestArrived: self._admit,
            ev.AttemptFailed: self._attempts.handle_failure,
            ev.AnswerReady: self._attempts.handle_answer,
            ev.AnswerEnded: self._attempts.handle_answer_end,
            ev.CallerConnectionClosed: self._handle_caller_left,
            ev.TimerFired: self._handle_timer,
            nt.ConfigurationChanged: self._configure,
            nt.KeysWithdrawn: self._check_keys,
            nt.TokenGranted: self._handle_token_granted,
            nt.TokenDenied: self._deny,
            nt.ClaimGranted: self._handle_claim_granted,
            nt.ClaimReplayed: self._replay,
            nt.ClaimRefused: self._refuse_claim,
            nt.SlotAssigned: self._attempts.start,
            nt.SlotDenied: self._deny,
        }

    @property
    def in_progress(self) -> int:
        """Number of requests that have not completed."""
        return len(self._requests.states) + len(self._startup_queue)

    def limit_new(self, stop_at: float) -> None:
        """Accept new requests only if they will end before the process."""
        self._stop_at = stop_at

    def refuse_new(self) -> None:
        """Refuse new requests because the VM is draining."""
        self._draining = True

    def refuse_all(self, at: float) -> Sequence[Output]:
        """Refuse the requests in progress, because the process ends.

        Answers that are being forwarded may still end in time.
        """
        outputs: _Outputs = [
            output
            for event in self._startup_queue.take_all()
            for output in _refuse_arrival(event, _DRAINING)
        ]
        for state in tuple(self._requests.states.values()):
            if state.stage is Stage.forwarding:
                continue
            may_have_run = state.may_have_run or state.stage is Stage.answer
            refusal = _STOPPED if may_have_run else _DRAINING
            outputs += self._requests.abort(state, refusal, at)
        return outputs

    def handle(self, event: ev.Event | nt.Notice) -> Sequence[Output]:
        """Apply one event or notice; see ``Component``."""
        handler = self._handlers.get(type(event))
        return handler(event) if handler else []

    def _start(self, event: ev.Started) -> _Outputs:
        return [_set_stream_timer(event.at)]

    def _configure(self, notice: nt.ConfigurationChanged) -> _Outputs:
        self._configuration = notice.configuration
        if not len(self._startup_queue):
            return []
        # Processed by a timer, after the remaining notices of the same reply,
        # which bring the targets and the freshness evidence for keys.
        return [fx.SetTimer(COMPONENT, _STARTUP_TIMER, notice.at)]

    def _admit(self, event: ev.RequestArrived) -> _Outputs:
        refusal = self._find_vm_refusal()
        if refusal is None:
            return self._admit_at(event, event.at)
        if refusal.reason is RefusalReason.not_ready:
            queued_until = self._startup_queue.add(event)
            if queued_until is not None:
                return [
                    fx.IncrementCounter('requests.held'),
                    *self._set_startup_timer(),
                ]
        return _refuse_arrival(event, refusal)

    def _admit_at(self, event: ev.RequestArrived, at: float) -> _Outputs:
        """Admit a request that may have been queued since its arrival."""
        admitted = admit_request(
            self._configuration, self._collaborators.keys, event, at
        )
        if admitted.is_error():
            return _refuse_arrival(event, admitted.error)
        state = admitted.ok
        if state.deadline_at > self._stop_at:
            state.deadline_at = self._stop_at
            state.limited_by_stop = True
        self._requests.states[state.request_id] = state
        if state.route.split:
            state.service = self._draw_service(state.route.split)
        if state.account == PUBLIC_ACCOUNT or not state.is_limited:
            return self._attempts.request_slot(state, at)
        max_wait_s = (state.deadline_at - at) * _LIMIT_WAIT_SHARE
        return list(
            self._collaborators.limiter.acquire(
                state.request_id, state.account, at, max_wait_s
            )
        )

    def _process_startup_queue(self, at: float) -> _Outputs:
        """Admit the queued requests, or refuse those that waited too long."""
        refusal = self._find_vm_refusal()
        if refusal is None:
            return [
                output
                for event in self._startup_queue.take_all()
                for output in self._admit_at(event, at)
            ]
        if refusal.reason is RefusalReason.not_ready:
            ended = self._startup_queue.take_expired(at)
        else:
            ended = self._startup_queue.take_all()
        refused = [
            output
            for event in ended
            for output in _refuse_arrival(event, refusal)
        ]
        return [*refused, *self._set_startup_timer()]

    def _set_startup_timer(self) -> _Outputs:
        next_expiry = self._startup_queue.find_next_expiry()
        if next_expiry is None:
            return []
        return [fx.SetTimer(COMPONENT, _STARTUP_TIMER, next_expiry)]

    def _draw_service(self, split: tuple[tuple[str, int], ...]) -> ServiceName:
        names = [name for name, _ in split]
        weights = [weight for _, weight in split]
        return ServiceName(self._rng.choices(names, weights)[0])

    def _find_vm_refusal(self) -> Refusal | None:
        if self._draining:
            return _DRAINING
        if not self._configuration.version:
            reason = RefusalReason.not_ready
            return Refusal(reason, retry_after_s=NOT_READY_RETRY_S)
        return None

    def _handle_token_granted(self, notice: nt.TokenGranted) -> _Outputs:
        state = self._requests.find(notice.request_id, Stage.token)
        if state is None:
            return []
        state.token_source = notice.source
        key = state.head.idempotency_key
        if key is None or state.retriable:
            return self._attempts.request_slot(state, notice.at)
        state.stage = Stage.claim
        return list(
            self._collaborators.claims.claim(
                state.request_id,
                state.account,
                key,
                state.head.fingerprint,
                notice.at,
            )
        )

    def _handle_claim_granted(self, notice: nt.ClaimGranted) -> _Outputs:
        state = self._requests.find(notice.request_id, Stage.claim)
        if state is None:
            claims = self._collaborators.claims
            return list(
                claims.complete(notice.request_id, None, Executed.no, notice.at)
            )
        state.claimed = True
        return self._attempts.request_slot(state, notice.at)

    def _deny(self, notice: nt.TokenDenied | nt.SlotDenied) -> _Outputs:
        state = self._requests.states.get(notice.request_id)
        if state is None or state.stage not in {Stage.token, Stage.slot}:
            return []
        executed = Executed.unknown if state.may_have_run else Executed.no
        refusal = Refusal(notice.reason, executed, notice.retry_after_s)
        too_short = notice.reason is RefusalReason.deadline_too_short
        if state.limited_by_stop and too_short and executed is Executed.no:
            # Another VM has more time.
            refusal = _DRAINING
        return self._requests.refuse(state, refusal, notice.at)

    def _refuse_claim(self, notice: nt.ClaimRefused) -> _Outputs:
        state = self._requests.find(notice.request_id, Stage.claim)
        if state is None:
            return []
        refusal = Refusal(notice.reason, notice.ran, notice.retry_after_s)
        state.confirmed_unique = notice.reason in _NO_DUPLICATE_REASONS
        return self._requests.refuse(state, refusal, notice.at)

    def _replay(self, notice: nt.ClaimReplayed) -> _Outputs:
        state = self._requests.find(notice.request_id, Stage.claim)
        if state is None:
            return []
        self._requests.states.pop(state.request_id)
        return [
            fx.ReplayAnswer(state.request_id, notice.answer),
            fx.IncrementCounter('answers.replayed'),
        ]

    def _handle_caller_left(self, event: ev.CallerConnectionClosed) -> _Outputs:
        counter = count_refusal(RefusalReason.caller_left)
        if self._startup_queue.cancel(event.request_id):
            return [counter]
        state = self._requests.states.get(event.request_id)
        if state is None:
            return []
        if state.stage is Stage.answer and state.claimed:
            # A later request with the same idempotency key needs the outcome.
            state.caller_left = True
            return [counter]
        return [counter, *self._requests.abandon(state, event.at)]

    def _handle_timer(self, event: ev.TimerFired) -> _Outputs:
        if event.name == _STREAM_TIMER:
            return self._check_streams(event)
        if event.name == _STARTUP_TIMER:
            return self._process_startup_queue(event.at)
        return self._attempts.handle_timer(event.name, event.at)

    def _check_streams(self, event: ev.TimerFired) -> _Outputs:
        return [
            *self._abort_unauthorized(event.at),
            _set_stream_timer(event.at),
        ]

    def _check_keys(self, notice: nt.KeysWithdrawn) -> _Outputs:
        return self._abort_unauthorized(notice.at)

    def _abort_unauthorized(self, at: float) -> _Outputs:
        outputs: _Outputs = []
        for state in tuple(self._requests.states.values()):
            refusal = self._find_key_refusal(state, at)
            if refusal is not None:
                outputs += self._requests.abort(state, refusal, at)
        return outputs

    def _find_key_refusal(
        self, state: RequestState, at: float
    ) -> Refusal | None:
        # A running attempt that must not be repeated is left to complete, so
        # that its outcome is known. No new attempt starts under the key.
        if state.stage is Stage.answer and not state.retriable:
            return None
        return self._requests.find_key_refusal(state, at)


def _refuse_arrival(event: ev.RequestArrived, refusal: Refusal) -> _Outputs:
    head = event.head
    has_idempotency_key = head.idempotency_key is not None
    reported = qualify_refusal(
        refusal, has_idempotency_key and head.method not in _SAFE_METHODS
    )
    line = describe_early_refusal(event, reported)
    return [line, *render_refusal(event.request_id, reported)]


def _set_stream_timer(at: float) -> fx.SetTimer:
    return fx.SetTimer(COMPONENT, _STREAM_TIMER, at + STREAM_CHECK_S)


__all__ = ('COMPONENT', 'Coordinator')
