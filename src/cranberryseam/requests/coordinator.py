"""Request state machine: token, claim, slot, attempt, answer."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Any, Final

from ..configuration.model import Configuration
from ..core import effects as fx
from ..core import events as ev
from ..core import notices as nt
from ..core.refusals import Ran, Refusal, RefusalReason
from ..types import Output, ServiceName
from .admission import PUBLIC_ACCOUNT, admit_request
from .attempts import Attempts
from .collaborators import Collaborators
from .endings import (
    Endings,
    count_refusal,
    doubt_refusal,
    render_refusal,
)
from .holding import Holding
from .lines import describe_early_refusal
from .state import RequestState, Stage

PART: Final = 'requests'
# Streams are checked this often for keys that no longer work.
STREAM_CHECK_S: Final = 1.0
# Another VM serves the request at once.
RETRY_AFTER_S: Final = 0.1
# A VM without a configuration gets one as soon as a control leader is there;
# if all VMs have just started, that takes about this long.
NOT_READY_RETRY_S: Final = 0.5
# Part of the time left that a request may wait for the owner of its limit; the
# rest is for the work.
_LIMIT_PATIENCE_SHARE: Final = 0.5
_STREAM_TIMER: Final = 'streams'
_HOLD_TIMER: Final = 'held'
_SAFE_METHODS: Final = frozenset(('GET', 'HEAD', 'OPTIONS'))
# With these the claim owner has looked and found no other copy that ran.
_DECIDED_BY_OWNER: Final = frozenset(
    (RefusalReason.claim_table_full, RefusalReason.idempotency_key_reused)
)

_Outputs = list[Output]


class Coordinator:
    """Drives every request of this VM from arrival to its end.

    Parameters
    ----------
    collaborators
        The parts that decide on keys, tokens, claims and slots.
    rng
        Draws the service of requests on routes with a split.

    """

    def __init__(
        self, collaborators: Collaborators, rng: random.Random
    ) -> None:
        """Start without requests and without a configuration."""
        self._with = collaborators
        self._rng = rng
        self._endings = Endings(collaborators)
        self._attempts = Attempts(self._endings, PART)
        self._configuration = Configuration()
        self._holding = Holding()
        self._draining = False
        self._steps: dict[type, Callable[[Any], _Outputs]] = {
            ev.Started: self._start,
            ev.RequestArrived: self._admit,
            ev.AttemptFailed: self._attempts.fail,
            ev.AnswerReady: self._attempts.take_answer,
            ev.AnswerEnded: self._attempts.end_answer,
            ev.CallerLeft: self._leave,
            ev.TimerFired: self._fire,
            nt.ConfigurationChanged: self._configure,
            nt.KeysWithdrawn: self._check_keys,
            nt.TokenGranted: self._after_token,
            nt.TokenDenied: self._deny,
            nt.ClaimGranted: self._after_claim,
            nt.ClaimReplayed: self._replay,
            nt.ClaimRefused: self._refuse_claim,
            nt.SlotAssigned: self._attempts.start,
            nt.SlotDenied: self._deny,
        }

    @property
    def in_progress(self) -> int:
        """Number of requests that have not ended."""
        return len(self._endings.states) + len(self._holding)

    def refuse_new(self) -> None:
        """Refuse requests from now on because the VM drains."""
        self._draining = True

    def handle(self, event: ev.Event | nt.Notice) -> Sequence[Output]:
        """Apply one event or notice; see ``Part``."""
        step = self._steps.get(type(event))
        return step(event) if step else []

    def _start(self, event: ev.Started) -> _Outputs:
        return [_set_stream_timer(event.at)]

    def _configure(self, notice: nt.ConfigurationChanged) -> _Outputs:
        self._configuration = notice.configuration
        if not len(self._holding):
            return []
        # Later, since the other notices of the same reply bring the targets
        # and the proof that keys need.
        return [fx.SetTimer(PART, _HOLD_TIMER, notice.at)]

    def _admit(self, event: ev.RequestArrived) -> _Outputs:
        refusal = self._find_vm_refusal()
        if refusal is None:
            return self._admit_at(event, event.at)
        if refusal.reason is RefusalReason.not_ready:
            held_until = self._holding.hold(event)
            if held_until is not None:
                return [
                    fx.IncrementCounter('requests.held'),
                    *self._set_hold_timer(),
                ]
        return _refuse_arrival(event, refusal)

    def _admit_at(self, event: ev.RequestArrived, at: float) -> _Outputs:
        """Admit a request, which may have arrived some time ago."""
        admitted = admit_request(
            self._configuration, self._with.keys, event, at
        )
        if admitted.is_error():
            return _refuse_arrival(event, admitted.error)
        state = admitted.ok
        self._endings.states[state.request_id] = state
        if state.route.split:
            state.service = self._draw_service(state.route.split)
        if state.account == PUBLIC_ACCOUNT or not state.is_limited:
            return self._attempts.queue_for_slot(state, at)
        patience_s = (state.deadline_at - at) * _LIMIT_PATIENCE_SHARE
        return list(
            self._with.limiter.acquire(
                state.request_id, state.account, at, patience_s
            )
        )

    def _end_holding(self, at: float) -> _Outputs:
        """Admit the held requests, or refuse those that waited too long."""
        refusal = self._find_vm_refusal()
        if refusal is None:
            return [
                output
                for event in self._holding.take_all()
                for output in self._admit_at(event, at)
            ]
        if refusal.reason is RefusalReason.not_ready:
            ended = self._holding.take_expired(at)
        else:
            ended = self._holding.take_all()
        refused = [
            output
            for event in ended
            for output in _refuse_arrival(event, refusal)
        ]
        return [*refused, *self._set_hold_timer()]

    def _set_hold_timer(self) -> _Outputs:
        next_end = self._holding.find_next_end()
        if next_end is None:
            return []
        return [fx.SetTimer(PART, _HOLD_TIMER, next_end)]

    def _draw_service(self, split: tuple[tuple[str, int], ...]) -> ServiceName:
        names = [name for name, _ in split]
        weights = [weight for _, weight in split]
        return ServiceName(self._rng.choices(names, weights)[0])

    def _find_vm_refusal(self) -> Refusal | None:
        if self._draining:
            return Refusal(RefusalReason.draining, retry_after_s=RETRY_AFTER_S)
        if not self._configuration.version:
            reason = RefusalReason.not_ready
            return Refusal(reason, retry_after_s=NOT_READY_RETRY_S)
        return None

    def _after_token(self, notice: nt.TokenGranted) -> _Outputs:
        state = self._endings.find(notice.request_id, Stage.token)
        if state is None:
            return []
        key = state.head.idempotency_key
        if key is None or state.retriable:
            return self._attempts.queue_for_slot(state, notice.at)
        state.stage = Stage.claim
        return list(
            self._with.claims.claim(
                state.request_id,
                state.account,
                key,
                state.head.fingerprint,
                notice.at,
            )
        )

    def _after_claim(self, notice: nt.ClaimGranted) -> _Outputs:
        state = self._endings.find(notice.request_id, Stage.claim)
        if state is None:
            claims = self._with.claims
            return list(
                claims.complete(notice.request_id, None, Ran.no, notice.at)
            )
        state.claimed = True
        return self._attempts.queue_for_slot(state, notice.at)

    def _deny(self, notice: nt.TokenDenied | nt.SlotDenied) -> _Outputs:
        state = self._endings.states.get(notice.request_id)
        if state is None or state.stage not in {Stage.token, Stage.slot}:
            return []
        ran = Ran.unknown if state.may_have_run else Ran.no
        refusal = Refusal(notice.reason, ran, notice.retry_after_s)
        return self._endings.refuse(state, refusal, notice.at)

    def _refuse_claim(self, notice: nt.ClaimRefused) -> _Outputs:
        state = self._endings.find(notice.request_id, Stage.claim)
        if state is None:
            return []
        refusal = Refusal(notice.reason, notice.ran, notice.retry_after_s)
        state.first_copy = notice.reason in _DECIDED_BY_OWNER
        return self._endings.refuse(state, refusal, notice.at)

    def _replay(self, notice: nt.ClaimReplayed) -> _Outputs:
        state = self._endings.find(notice.request_id, Stage.claim)
        if state is None:
            return []
        self._endings.states.pop(state.request_id)
        return [
            fx.ReplayAnswer(state.request_id, notice.answer),
            fx.IncrementCounter('answers.replayed'),
        ]

    def _leave(self, event: ev.CallerLeft) -> _Outputs:
        counter = count_refusal(RefusalReason.caller_left)
        if self._holding.cancel(event.request_id):
            return [counter]
        state = self._endings.states.get(event.request_id)
        if state is None:
            return []
        if state.stage is Stage.answer and state.claimed:
            # The outcome of claimed work is needed by the next copy of it.
            state.caller_left = True
            return [counter]
        return [counter, *self._endings.abandon(state, event.at)]

    def _fire(self, event: ev.TimerFired) -> _Outputs:
        if event.name == _STREAM_TIMER:
            return self._check_streams(event)
        if event.name == _HOLD_TIMER:
            return self._end_holding(event.at)
        return self._attempts.fire(event.name, event.at)

    def _check_streams(self, event: ev.TimerFired) -> _Outputs:
        return [*self._cut_requests(event.at), _set_stream_timer(event.at)]

    def _check_keys(self, notice: nt.KeysWithdrawn) -> _Outputs:
        return self._cut_requests(notice.at)

    def _cut_requests(self, at: float) -> _Outputs:
        outputs: _Outputs = []
        for state in tuple(self._endings.states.values()):
            refusal = self._find_key_refusal(state, at)
            if refusal is not None:
                outputs += self._endings.cut(state, refusal, at)
        return outputs

    def _find_key_refusal(
        self, state: RequestState, at: float
    ) -> Refusal | None:
        if state.key_hash is None:
            return None
        # Work that must not repeat and has started is left to end, so that
        # its outcome is known; no further work starts under the key.
        if state.stage is Stage.answer and not state.retriable:
            return None
        checked = self._with.keys.check(state.key_hash, at)
        return checked.error if checked.is_error() else None


def _refuse_arrival(event: ev.RequestArrived, refusal: Refusal) -> _Outputs:
    head = event.head
    keyed = head.idempotency_key is not None
    told = doubt_refusal(refusal, keyed and head.method not in _SAFE_METHODS)
    line = describe_early_refusal(event, told)
    return [line, *render_refusal(event.request_id, told)]


def _set_stream_timer(at: float) -> fx.SetTimer:
    return fx.SetTimer(PART, _STREAM_TIMER, at + STREAM_CHECK_S)


__all__ = ('PART', 'Coordinator')
