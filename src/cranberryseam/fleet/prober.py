"""Selection of ping targets and contents of pings and acknowledgements."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..types import VmId
from .detector import PROTOCOL_PERIOD_S, RETRY_DELAY_S, FailureDetector
from .members import ALIVE, SUSPECT
from .messages import Ack, Ping, PingRequest, Updates, Vouch

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from ..configuration.settings import Settings
    from .dissemination import Disseminator
    from .members import MemberTable
    from .messages import MemberRecord, SenderState
    from .outbox import Outbox
    from .reports import ReportTable

_INDIRECT_PINGS = 3
# Suspects are pinged directly before they count as dead. The answer contains a
# refutation that this VM may have missed.
_MAX_SUSPECT_PINGS = 4
# Number of periods between pings of dead or departed VMs, by which both sides
# of a healed partition find each other again.
_GONE_PING_PERIODS = 5
# After this time without contact with another region, VMs that are no relays
# ping it as well: about _SUBSTITUTE_RELAYS VMs of the region per period.
_RELAY_TIMEOUT_S = 10.0
_SUBSTITUTE_RELAYS = 4
# With ``keys.isolation = "region"``, every VM needs contact with a majority
# of the regions within the last 5 s.
_ISOLATION_MAX_CONTACT_AGE_S = 2.0
# Before the initial synchronisation, several peers are pinged more often.
JOIN_PERIOD_S = 0.25
_JOIN_PINGS = 3


class Prober:
    """Sends pings and answers them.

    Parameters
    ----------
    settings
        Settings with the regions and the isolation mode of keys.

    """

    def __init__(
        self,
        settings: Settings,
        members: MemberTable,
        disseminator: Disseminator,
        reports: ReportTable,
        outbox: Outbox,
        rng: random.Random,
    ) -> None:
        """Start without pending pings."""
        self._regions = settings.region_names
        self._isolates_by_region = settings.keys.isolation == 'region'
        self._members = members
        self._disseminator = disseminator
        self._reports = reports
        self._outbox = outbox
        self._rng = rng
        self._ping_order: list[VmId] = []
        self._period_count = 0
        self.detector = FailureDetector(members, outbox)

    def run_period(self, state: SenderState) -> None:
        """Expire unanswered probes, then send the pings of this period."""
        self._period_count += 1
        for vm in self.detector.start_period():
            self._disseminate_member(vm)
        chosen = [*self._select_local(), *self._select_remote()]
        chosen += self._sample(self.detector.suspects(), _MAX_SUSPECT_PINGS)
        if self._period_count % _GONE_PING_PERIODS == 0 or not chosen:
            chosen += self._select_gone()
        for vm in dict.fromkeys(chosen):
            self.ping(vm, state)
        self._outbox.set_timer('period', PROTOCOL_PERIOD_S)
        self._outbox.set_timer('retry', RETRY_DELAY_S)

    def retry_probes(self, state: SenderState) -> None:
        """Repeat unanswered pings, directly and through helpers."""
        if self.detector.is_timer_late():
            return
        for vm in self.detector.unanswered_probes():
            self._outbox.count('ping_retried')
            self.ping(vm, state)
            for helper in self._select_helpers(vm):
                number = self.detector.add_ping(helper)
                self._outbox.send(helper, PingRequest(number, state, vm))

    def join(self, state: SenderState) -> None:
        """Ping some peers during the initial synchronisation."""
        candidates = [member.vm for member in self._members.live()]
        candidates += self._uncontacted_seeds(None)
        for vm in self._sample(candidates, _JOIN_PINGS):
            self.ping(vm, state)

    def ping(
        self,
        vm: VmId,
        state: SenderState,
        *,
        requester: VmId | None = None,
        withdrawn: tuple[str, ...] = (),
    ) -> None:
        """Ping a VM, optionally for a requester or with withdrawals."""
        number = self.detector.add_ping(vm, requester=requester)
        member = self._members.members.get(vm)
        if member and member.is_live and not (requester or withdrawn):
            self.detector.add_probe(vm)
        records: list[MemberRecord] = []
        if member is None or not member.has_local_address:
            records.append(self._members.local_record)
        if member and member.record.status != ALIVE:
            records.append(member.record)
        recent = self._disseminator.select_updates(
            members=True, targets=False, withdrawn=False
        )
        updates = Updates((*records, *recent.members[:2]), (), withdrawn)
        reports = self._reports.select()
        self._outbox.send(vm, Ping(number, state, updates, reports))

    def answer_ping(
        self, sender: VmId, number: int, state: SenderState, updates: Updates
    ) -> None:
        """Acknowledge a ping."""
        member = self._members.members.get(sender)
        records = updates.members
        if member is None or member.record.status != ALIVE:
            # The sender needs its status here to refute it. An unknown sender
            # gets the record of this VM and then sends its own.
            known = member.record if member else self._members.local_record
            records = (known, *records)
        ack = Ack(
            number,
            state,
            Updates(records, updates.targets, updates.withdrawn),
            self._reports.select(),
            self.detector.region_contact_ages(),
        )
        self._outbox.send(sender, ack)

    def handle_ack(self, sender: VmId, ack: Ack) -> bool:
        """Process an acknowledgement; return whether its ping was pending."""
        member = self._members.members.get(sender)
        if member is None:
            return False
        ping = self.detector.match_ack(sender, member.record.region, ack)
        if ping is None:
            return False
        member.has_local_address = True
        if ping.requester is not None:
            vouch = Vouch(sender, ack.state.incarnation)
            self._outbox.send(ping.requester, vouch)
        return True

    def handle_vouch(self, vouch: Vouch) -> None:
        """Clear the probe of a VM that answered an indirect ping."""
        member = self._members.members.get(VmId(vouch.vm))
        if member and vouch.incarnation >= member.record.incarnation:
            self.detector.clear_probe(member.vm)

    def _disseminate_member(self, vm: VmId) -> None:
        record = self._members.members[vm].record
        if not self.detector.is_connected():
            return
        self._outbox.count(
            'suspected' if record.status == SUSPECT else 'declared_dead'
        )
        self._disseminator.add_member(record)
        self._disseminator.notify_suspect(record)

    def _select_local(self) -> list[VmId]:
        region = self._members.local_record.region
        # Suspects are pinged separately and often don't answer.
        local_vms = set(self._members.live_in_region(region))
        local_vms.difference_update(self.detector.suspects())
        local_vms.update(self._uncontacted_seeds(region))
        self._ping_order = [vm for vm in self._ping_order if vm in local_vms]
        if not self._ping_order:
            # Shuffled rounds bound the time between two pings of a VM.
            self._ping_order = sorted(local_vms)
            self._rng.shuffle(self._ping_order)
        return [self._ping_order.pop()] if self._ping_order else []

    def _select_remote(self) -> list[VmId]:
        chosen: list[VmId] = []
        is_relay = self._members.is_relay()
        for region in self._regions:
            if region == self._members.local_record.region:
                continue
            if is_relay or self._is_substitute_relay(region):
                chosen += self._sample(self._ping_candidates(region), 1)
        if is_relay:
            controls = [
                member.vm
                for member in self._members.live()
                if 'control' in member.record.roles
            ]
            chosen += self._sample(controls, 1)
        return chosen

    def _is_substitute_relay(self, region: str) -> bool:
        age_s = self.detector.contact_age_s(region)
        if self._isolates_by_region and age_s > _ISOLATION_MAX_CONTACT_AGE_S:
            return True
        region_size = (
            len(self._members.live_in_region(self._members.local_record.region))
            + 1
        )
        is_drawn = self._rng.random() * region_size < _SUBSTITUTE_RELAYS
        return age_s > _RELAY_TIMEOUT_S and is_drawn

    def _ping_candidates(self, region: str) -> list[VmId]:
        live = self._members.live_in_region(region)
        if live:
            return live
        return [*self._gone_members(region), *self._uncontacted_seeds(region)]

    def _select_gone(self) -> list[VmId]:
        region = (
            None
            if self._members.is_relay()
            else self._members.local_record.region
        )
        gone = [*self._gone_members(region), *self._uncontacted_seeds(region)]
        return self._sample(gone, 1)

    def _select_helpers(self, vm: VmId) -> list[VmId]:
        local_vms = self._members.live_in_region(
            self._members.local_record.region
        )
        return self._sample(
            [name for name in local_vms if name != vm], _INDIRECT_PINGS
        )

    def _gone_members(self, region: str | None) -> list[VmId]:
        return [
            vm
            for vm, member in self._members.members.items()
            if not member.is_live and region in {None, member.record.region}
        ]

    def _uncontacted_seeds(self, region: str | None) -> list[VmId]:
        return [
            vm
            for vm, seed in self._members.seeds.items()
            if vm not in self._members.members and region in {None, seed.region}
        ]

    def _sample(self, vms: Iterable[VmId], limit: int) -> list[VmId]:
        ordered = sorted(vms)
        return self._rng.sample(ordered, min(limit, len(ordered)))


__all__ = ('JOIN_PERIOD_S', 'Prober')
