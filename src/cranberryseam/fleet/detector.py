"""Failure detection by pings, retries, indirect pings and suspicion."""

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

PROTOCOL_PERIOD_S = 1.0
# Longer than the 60 ms between regions plus the delay of a busy VM, and short
# enough that the retry and the indirect pings finish within the period.
RETRY_DELAY_S = 0.4
# A probe unanswered for this fraction of RETRY_DELAY_S is retried. It is below
# one, so that a timer that fires slightly early doesn't skip the retry.
_RETRY_TIMER_FRACTION = 0.9
# Shorter than a period, so that an unanswered probe fails in the next one.
_PROBE_TIMEOUT_S = 0.85
# A timer this late shows that this VM was paused, not its peers.
_LATE_TIMER_S = 0.5
_PENDING_PING_TTL_S = 10.0
# A VM is connected if a ping that it sent within this window was answered.
# Otherwise ``Prober`` doesn't disseminate suspicions and deaths found here.
_CONNECTED_WINDOW_S = 2.5
# A VM that isn't connected and has at least this many live peers considers
# itself isolated, and then doesn't detect failures at all.
_MIN_LIVE_PEERS = 3
# Time for a suspect to refute, plus a term for each doubling of the fleet.
_SUSPICION_TIMEOUT_S = 2.0
_SUSPICION_TIMEOUT_PER_DOUBLING_S = 0.25
# Older contacts are left out of acknowledgements.
_MAX_CONTACT_AGE_S = 60.0


@attrs.frozen
class PendingPing:
    """A ping that has not been acknowledged yet.

    Parameters
    ----------
    requester
        VM that requested an indirect ping, if any.

    """

    vm: VmId
    sent_at: float
    requester: VmId | None = None


class FailureDetector:
    """Tracks pings, probes, suspicions and the last contact with each region.

    A ping is a single message, pending until its acknowledgement arrives. A
    probe is the check of one VM in a period; an answer to any of its pings,
    direct or indirect, completes it. The last contact with a region is the
    send time of the newest ping that a VM there answered, sent by this VM or
    by a peer that reports it in an acknowledgement.
    """

    def __init__(self, members: MemberTable, outbox: Outbox) -> None:
        """Start without pending pings."""
        self._members = members
        self._outbox = outbox
        self._last_number = 0
        self._pending_pings: dict[int, PendingPing] = {}
        self._probes: dict[VmId, float] = {}
        self._contact_times: dict[str, float] = {}
        self._next_period_at = math.inf
        self._last_answered_sent_at = -math.inf

    def add_ping(self, vm: VmId, *, requester: VmId | None = None) -> int:
        """Return the number of a new ping."""
        self._last_number += 1
        ping = PendingPing(vm, self._outbox.now, requester)
        self._pending_pings[self._last_number] = ping
        return self._last_number

    def add_probe(self, vm: VmId) -> None:
        """Expect an answer from a VM within this period."""
        self._probes.setdefault(vm, self._outbox.now)

    def unanswered_probes(self) -> list[VmId]:
        """Return the VMs whose probe needs a retry."""
        cutoff = self._outbox.now - RETRY_DELAY_S * _RETRY_TIMER_FRACTION
        return [vm for vm, sent in self._probes.items() if sent <= cutoff]

    def is_timer_late(self) -> bool:
        """Return whether the timer of this period fired much too late."""
        return self._outbox.now > self._next_period_at + _LATE_TIMER_S

    def start_period(self) -> list[VmId]:
        """Expire probes and suspicions; return the VMs whose status changed."""
        is_late_period = self.is_timer_late()
        self._next_period_at = self._outbox.now + PROTOCOL_PERIOD_S
        self._discard_old_pings()
        if is_late_period:
            # Answers may be queued behind this timer.
            self._probes.clear()
            self._restart_suspicion_timeouts()
            return []
        if not self.is_connected() and self._has_enough_live_peers():
            # This VM is isolated, so it can't detect failures of others.
            self._probes.clear()
            self._restart_suspicion_timeouts()
            return []
        return [*self._suspect_unanswered(), *self._expire_suspects()]

    def is_connected(self) -> bool:
        """Return whether any recent ping was answered."""
        return (
            self._outbox.now - self._last_answered_sent_at < _CONNECTED_WINDOW_S
        )

    def match_ack(
        self, sender: VmId, region: str, ack: Ack
    ) -> PendingPing | None:
        """Return the pending ping of an acknowledgement, if any."""
        ping = self._pending_pings.get(ack.number)
        if ping is None or ping.vm != sender:
            return None
        self._pending_pings.pop(ack.number)
        self.clear_probe(sender)
        self._last_answered_sent_at = max(
            self._last_answered_sent_at, ping.sent_at
        )
        self._update_contact_times(ping.sent_at, region, ack)
        now = self._outbox.now
        self._outbox.add(RoundTripCompleted(now, sender, region, ping.sent_at))
        self._outbox.add(
            RegionContactUpdated(now, tuple(self._contact_times.items()))
        )
        return ping

    def clear_probe(self, vm: VmId) -> None:
        """Discard the probe of a VM that is known to be alive."""
        self._probes.pop(vm, None)

    def contact_age_s(self, region: str) -> float:
        """Return the time since the last contact with a region."""
        return self._outbox.now - self._contact_times.get(region, -math.inf)

    def suspects(self) -> list[VmId]:
        """Return the VMs that are currently suspect."""
        return [member.vm for member in self._suspects()]

    def region_contact_ages(self) -> tuple[tuple[str, float], ...]:
        """Return the time since the last contact with each region.

        These ages are sent in acknowledgements.
        """
        ages = {name: self.contact_age_s(name) for name in self._contact_times}
        # Rounded up, so that a contact never appears newer than it is.
        return tuple(
            (name, math.ceil(age * 10) / 10)
            for name, age in ages.items()
            if age < _MAX_CONTACT_AGE_S
        )

    def _update_contact_times(
        self, sent_at: float, region: str, ack: Ack
    ) -> None:
        # The clock of the peer is unknown, but it answered after ``sent_at``.
        # A contact of a given age was thus after ``sent_at - age``, and the
        # time stored here is never later than the contact.
        peer_contact_times = {
            name: sent_at - age for name, age in ack.region_ages
        }
        peer_contact_times[region] = sent_at
        for name, at in peer_contact_times.items():
            known = self._contact_times.get(name, -math.inf)
            self._contact_times[name] = max(known, at)

    def _has_enough_live_peers(self) -> bool:
        return len(self._members.live()) >= _MIN_LIVE_PEERS

    def _discard_old_pings(self) -> None:
        cutoff = self._outbox.now - _PENDING_PING_TTL_S
        self._pending_pings = {
            number: ping
            for number, ping in self._pending_pings.items()
            if ping.sent_at >= cutoff
        }

    def _suspect_unanswered(self) -> list[VmId]:
        cutoff = self._outbox.now - _PROBE_TIMEOUT_S
        failed = [vm for vm, sent in self._probes.items() if sent <= cutoff]
        for name in failed:
            self._probes.pop(name)
        return [vm for vm in failed if self._members.raise_status(vm, SUSPECT)]

    def _expire_suspects(self) -> list[VmId]:
        cutoff = self._outbox.now - self._suspicion_timeout_s()
        failed = [
            member.vm
            for member in self._suspects()
            if member.changed_at <= cutoff
        ]
        return [vm for vm in failed if self._members.raise_status(vm, DEAD)]

    def _restart_suspicion_timeouts(self) -> None:
        for member in self._suspects():
            member.changed_at = self._outbox.now

    def _suspects(self) -> list[Member]:
        return [
            member
            for member in self._members.members.values()
            if member.record.status == SUSPECT
        ]

    def _suspicion_timeout_s(self) -> float:
        size = len(self._members.members) + 1
        return (
            _SUSPICION_TIMEOUT_S
            + _SUSPICION_TIMEOUT_PER_DOUBLING_S * math.log2(size)
        )


__all__ = (
    'PROTOCOL_PERIOD_S',
    'RETRY_DELAY_S',
    'FailureDetector',
    'PendingPing',
)
