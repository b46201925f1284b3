"""Failure detection: ping, retry, indirect ping, suspicion."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from ..core.notices import RegionContactUpdated, RoundTripCompleted
from ..types import VmId
from .members import DEAD, SUSPECT

if TYPE_CHECKING:
    from .members import Member, MemberTable
    from .messages import Ack
    from .outbox import Outbox

PERIOD_S = 1.0
# Above the 60 ms between regions with room for a busy VM, and early enough
# that retry and indirect ping finish within the period.
RETRY_S = 0.4
# Rounding of timers must not skip a retry.
_TIMER_SLACK = 0.9
# An unanswered probe is judged at the next period.
_JUDGE_S = 0.85
# A timer this late means that this VM stood still, not the others.
_LATE_S = 0.5
_FORGET_PING_S = 10.0
# Without a round trip for this long a VM keeps its conclusions to itself, and
# draws none if at least so many others are live.
_CONNECTED_S = 2.5
_COMPANY = 3
# A suspect has this long to refute, plus a term for the size of the fleet.
_SUSPICION_S = 2.0
_SUSPICION_STEP_S = 0.25
# Ages in acknowledgements beyond this are left out.
_OLD_EVIDENCE_S = 60.0


@attrs.frozen
class PendingPing:
    """A ping without an answer so far.

    Parameters
    ----------
    asker
        VM that asked for it, if any.

    """

    vm: VmId
    sent_at: float
    asker: VmId | None = None


class Detector:
    """Keeps pings in flight, suspicions, and the evidence per region."""

    def __init__(self, members: MemberTable, outbox: Outbox) -> None:
        """Start with nothing in flight."""
        self._members = members
        self._outbox = outbox
        self._number = 0
        self._pending: dict[int, PendingPing] = {}
        self._probes: dict[VmId, float] = {}
        self._evidence: dict[str, float] = {}
        self._due = math.inf
        self._round_trip_at = -math.inf

    def add_ping(self, vm: VmId, *, asker: VmId | None = None) -> int:
        """Return the number of a new ping."""
        self._number += 1
        ping = PendingPing(vm, self._outbox.at, asker)
        self._pending[self._number] = ping
        return self._number

    def add_probe(self, vm: VmId) -> None:
        """Expect an answer of a VM within this period."""
        self._probes.setdefault(vm, self._outbox.at)

    def unanswered(self) -> list[VmId]:
        """Return the VMs whose probe needs a retry."""
        latest = self._outbox.at - RETRY_S * _TIMER_SLACK
        return [vm for vm, sent in self._probes.items() if sent <= latest]

    def is_late(self) -> bool:
        """Return whether this period's timer came much too late."""
        return self._outbox.at > self._due + _LATE_S

    def start_period(self) -> list[VmId]:
        """Judge old probes and suspicions; return the VMs that changed."""
        late = self.is_late()
        self._due = self._outbox.at + PERIOD_S
        self._forget_pings()
        if late:
            # Answers may be in the queue behind this timer.
            self._probes.clear()
            self._restart_suspicions()
            return []
        if not self.is_connected() and self._has_company():
            # This VM is cut off: it can't tell who else is.
            self._probes.clear()
            self._restart_suspicions()
            return []
        return [*self._judge_probes(), *self._judge_suspects()]

    def is_connected(self) -> bool:
        """Return whether a recent ping was answered by anyone."""
        return self._outbox.at - self._round_trip_at < _CONNECTED_S

    def take_ack(
        self, sender: VmId, region: str, ack: Ack
    ) -> PendingPing | None:
        """Match an acknowledgement with its ping; None if there is none."""
        ping = self._pending.get(ack.number)
        if ping is None or ping.vm != sender:
            return None
        self._pending.pop(ack.number)
        self.clear_probe(sender)
        self._round_trip_at = max(self._round_trip_at, ping.sent_at)
        self._take_evidence(ping.sent_at, region, ack)
        at = self._outbox.at
        self._outbox.add(RoundTripCompleted(at, sender, region, ping.sent_at))
        self._outbox.add(
            RegionContactUpdated(at, tuple(self._evidence.items()))
        )
        return ping

    def clear_probe(self, vm: VmId) -> None:
        """Take evidence that a VM is alive."""
        self._probes.pop(vm, None)

    def evidence_age(self, region: str) -> float:
        """Return seconds since the newest evidence from a region."""
        return self._outbox.at - self._evidence.get(region, -math.inf)

    def suspects(self) -> list[VmId]:
        """Return the VMs that are suspected now."""
        return [member.vm for member in self._suspects()]

    def region_ages(self) -> tuple[tuple[str, float], ...]:
        """Return the ages that go into an acknowledgement."""
        ages = {name: self.evidence_age(name) for name in self._evidence}
        # Rounded up, so that evidence never looks newer than it is.
        return tuple(
            (name, math.ceil(age * 10) / 10)
            for name, age in ages.items()
            if age < _OLD_EVIDENCE_S
        )

    def _take_evidence(self, sent_at: float, region: str, ack: Ack) -> None:
        # The peer's clock isn't known, but it answered after ``sent_at``:
        # evidence that was ``age`` old then is no older than this.
        heard = {name: sent_at - age for name, age in ack.regions}
        heard[region] = sent_at
        for name, at in heard.items():
            known = self._evidence.get(name, -math.inf)
            self._evidence[name] = max(known, at)

    def _has_company(self) -> bool:
        return len(self._members.live()) >= _COMPANY

    def _forget_pings(self) -> None:
        oldest = self._outbox.at - _FORGET_PING_S
        self._pending = {
            number: ping
            for number, ping in self._pending.items()
            if ping.sent_at >= oldest
        }

    def _judge_probes(self) -> list[VmId]:
        latest = self._outbox.at - _JUDGE_S
        failed = [vm for vm, sent in self._probes.items() if sent <= latest]
        for name in failed:
            self._probes.pop(name)
        return [vm for vm in failed if self._members.judge(vm, SUSPECT)]

    def _judge_suspects(self) -> list[VmId]:
        oldest = self._outbox.at - self._suspicion_s()
        failed = [
            member.vm
            for member in self._suspects()
            if member.changed_at <= oldest
        ]
        return [vm for vm in failed if self._members.judge(vm, DEAD)]

    def _restart_suspicions(self) -> None:
        for member in self._suspects():
            member.changed_at = self._outbox.at

    def _suspects(self) -> list[Member]:
        return [
            member
            for member in self._members.members.values()
            if member.record.status == SUSPECT
        ]

    def _suspicion_s(self) -> float:
        size = len(self._members.members) + 1
        return _SUSPICION_S + _SUSPICION_STEP_S * math.log2(size)


__all__ = ('PERIOD_S', 'RETRY_S', 'Detector', 'PendingPing')
