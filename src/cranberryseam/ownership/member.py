"""One member of a replica group: voter, candidate and leader."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs

from ..core.effects import IncrementCounter, SendMessage, SetTimer
from ..types import VmId
from .messages import (
    LeaderProbed,
    LeaseAsked,
    LeaseGiven,
    LeaseReleased,
    ProbeAnswered,
)
from .voter import LEASE_MARGIN_S, LEASE_S, Voter

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from ..configuration.settings import GroupSettings
    from ..core.messages import Message
    from ..types import Output

RENEWAL_INTERVAL_S = 1.0
# Delay between the attempts of consecutive members in the preferred order;
# longer than two round trips within a region.
_STAGGER_S = 0.4
_JITTER_S = 0.1
_ATTEMPT_TIMEOUT_S = 0.6
_MILLISECONDS_PER_S = 1000
_PROBE_BITS = 32
COMPONENT = 'ownership'


class Role(Enum):
    """Current role of a member."""

    follower = 'follower'
    candidate = 'candidate'
    leader = 'leader'


@attrs.define
class LeaderTerm:
    """Candidacy or leadership of one term."""

    term: int
    requested_at: float
    expires_at: float = 0
    elected_at: float = 0


class Member:
    """State of this VM in one group.

    Parameters
    ----------
    started_at, wall_s
        The same instant on the reducer's clock and in Unix time. Terms are
        at least the Unix time in milliseconds, so that they also increase
        when all three members have restarted and forgot the last term.

    """

    def __init__(
        self,
        group: GroupSettings,
        vm: VmId,
        rng: random.Random,
        started_at: float,
        wall_s: float,
    ) -> None:
        """Start as a follower that grants no vote for one lease."""
        self.group = group
        self.role = Role.follower
        self.leader_term = LeaderTerm(0, 0)
        self.voter = Voter(started_at + LEASE_S + LEASE_MARGIN_S)
        self.known_leader = ''
        self.known_term = 0
        self._vm = vm
        self._rank = group.vms.index(vm)
        self._others = tuple(VmId(name) for name in group.vms if name != vm)
        self._rng = rng
        self._wall_offset_s = wall_s - started_at
        self._probe_id = 0
        self._known_leader_until = started_at
        self._stopping = False

    def leads(self, at: float) -> bool:
        """Return whether this VM holds the group's lease."""
        return self.role is Role.leader and at < self.leader_term.expires_at

    def refresh(self, at: float) -> list[Output]:
        """Step down if the lease has expired; update the known leader."""
        outputs: list[Output] = []
        if self.role is Role.leader and at >= self.leader_term.expires_at:
            outputs = [
                IncrementCounter('ownership.lease_lost'),
                *self._step_down(at),
            ]
        if self.role is Role.leader:
            self.known_leader = self._vm
            self.known_term = self.leader_term.term
        elif self.voter.holder_at(at) not in {'', self._vm}:
            self.known_leader = self.voter.holder
            self.known_term = self.voter.granted_term
        elif at >= self._known_leader_until:
            self.known_leader = ''
        return outputs

    def tick(self, at: float) -> list[Output]:
        """Renew the lease, retry or start a candidacy, whichever is due."""
        match self.role:
            case Role.leader:
                return self._request_votes(at)
            case Role.candidate if (
                at < self.leader_term.requested_at + _ATTEMPT_TIMEOUT_S
            ):
                return [
                    self._set_timer(
                        self.leader_term.requested_at + _ATTEMPT_TIMEOUT_S
                    )
                ]
            case Role.candidate:
                return self._step_down(at)
        wait_s = self.voter.seconds_until_free(self._vm, at)
        if self._stopping:
            return []
        if wait_s or at < self._known_leader_until:
            return [
                self._schedule_attempt(
                    max(at + wait_s, self._known_leader_until)
                )
            ]
        self._probe_id = self._rng.getrandbits(_PROBE_BITS)
        return [
            self._set_timer(at + _ATTEMPT_TIMEOUT_S + self._draw_jitter()),
            *self._broadcast(LeaderProbed(self.group.name, self._probe_id)),
        ]

    def stop(self, at: float) -> list[Output]:
        """Step down; this member won't lead again."""
        self._stopping = True
        return [] if self.role is Role.follower else self._step_down(at)

    def resume(self, at: float) -> list[Output]:
        """Step down after a pause, as the lease may have expired.

        A vote granted to another member stays valid; the pause can only make
        it last longer.
        """
        self._probe_id = 0
        return [] if self.role is Role.follower else self._step_down(at)

    def receive(
        self, sender: VmId, message: Message, at: float
    ) -> list[Output]:
        """Apply a message of another member."""
        match message:
            case LeaderProbed():
                return [self._answer_probe(sender, message, at)]
            case ProbeAnswered():
                return self._receive_probe_answer(message, at)
            case LeaseAsked():
                return self._vote(sender, message, at)
            case LeaseGiven():
                return self._take_vote(message, at)
            case LeaseReleased():
                return self._receive_release(sender, message, at)
        return []

    def _answer_probe(
        self, sender: VmId, message: LeaderProbed, at: float
    ) -> Output:
        wait_s = self.voter.seconds_until_free(sender, at)
        if self._yields_to(sender):
            wait_s = 0
        return SendMessage(
            sender,
            ProbeAnswered(
                self.group.name,
                message.probe_id,
                max(self.voter.term, self.leader_term.term),
                self.voter.holder_at(at),
                self.voter.granted_term,
                wait_s,
            ),
        )

    def _receive_probe_answer(
        self, message: ProbeAnswered, at: float
    ) -> list[Output]:
        if message.probe_id != self._probe_id or self.role is not Role.follower:
            return []
        self.voter.term = max(self.voter.term, message.term)
        if message.wait_s > 0:
            if message.leader:
                self.known_leader = message.leader
                self.known_term = message.leader_term
                self._known_leader_until = at + message.wait_s
            return [self._schedule_attempt(at + message.wait_s)]
        self._probe_id = 0
        wall_ms = int((at + self._wall_offset_s) * _MILLISECONDS_PER_S)
        term = max(self.voter.term + 1, wall_ms)
        if self._stopping or not self.voter.grant(self._vm, term, at):
            return []
        self.role = Role.candidate
        self.leader_term = LeaderTerm(term, at)
        return self._request_votes(at)

    def _request_votes(self, at: float) -> list[Output]:
        self.voter.grant(self._vm, self.leader_term.term, at)
        due = at + _ATTEMPT_TIMEOUT_S
        if self.role is Role.leader:
            due = min(at + RENEWAL_INTERVAL_S, self.leader_term.expires_at)
        return [
            self._set_timer(due),
            *self._broadcast(
                LeaseAsked(self.group.name, self.leader_term.term, at)
            ),
        ]

    def _vote(
        self, sender: VmId, message: LeaseAsked, at: float
    ) -> list[Output]:
        outputs: list[Output] = []
        if self._yields_to(sender) and message.term > self.leader_term.term:
            outputs = self._step_down(at)
        if not self.voter.grant(sender, message.term, at):
            return outputs
        self._known_leader_until = 0
        return [
            *outputs,
            SendMessage(
                sender,
                LeaseGiven(self.group.name, message.term, message.sent_at),
            ),
            self._schedule_attempt(self.voter.expires_at),
        ]

    def _take_vote(self, message: LeaseGiven, at: float) -> list[Output]:
        is_active = self.role is not Role.follower
        if not is_active or message.term != self.leader_term.term:
            return []
        if message.sent_at > at:
            return []
        # The own vote and one other are a majority of three. The own vote was
        # also granted at the time of sending and lasts longer by the margin.
        self.leader_term.expires_at = max(
            self.leader_term.expires_at, message.sent_at + LEASE_S
        )
        if self.role is Role.leader or at >= self.leader_term.expires_at:
            return []
        self.role = Role.leader
        self.leader_term.elected_at = at
        due = min(
            self.leader_term.requested_at + RENEWAL_INTERVAL_S,
            self.leader_term.expires_at,
        )
        return [
            IncrementCounter('ownership.lease_won'),
            self._set_timer(due),
        ]

    def _receive_release(
        self, sender: VmId, message: LeaseReleased, at: float
    ) -> list[Output]:
        if not self.voter.release(sender, message.term):
            return []
        self._known_leader_until = 0
        self.known_leader = ''
        return [self._schedule_attempt(at)]

    def _step_down(self, at: float) -> list[Output]:
        """End the candidacy or leadership of this term permanently."""
        self.role = Role.follower
        self.voter.release(self._vm, self.leader_term.term)
        self.known_leader = ''
        released = LeaseReleased(self.group.name, self.leader_term.term)
        # Other members try first, as this one may be partly disconnected.
        due = at + RENEWAL_INTERVAL_S + self._draw_jitter()
        return [*self._broadcast(released), self._schedule_attempt(due)]

    def _yields_to(self, other: str) -> bool:
        """Return whether a candidacy ends in favour of a preferred member."""
        if self.role is not Role.candidate:
            return False
        return self.group.vms.index(other) < self._rank

    def _schedule_attempt(self, at: float) -> Output:
        return self._set_timer(
            at + self._rank * _STAGGER_S + self._draw_jitter()
        )

    def _draw_jitter(self) -> float:
        return self._rng.random() * _JITTER_S

    def _set_timer(self, at: float) -> Output:
        return SetTimer(COMPONENT, self.group.name, at)

    def _broadcast(self, message: Message) -> Sequence[Output]:
        return [SendMessage(vm, message) for vm in self._others]


__all__ = ('COMPONENT', 'RENEWAL_INTERVAL_S', 'Member', 'Role')
