"""Whom to ping, and what pings and acknowledgements carry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..types import VmId
from .detector import PERIOD_S, RETRY_S, Detector
from .members import ALIVE, SUSPECT
from .messages import Ack, News, Ping, PingRequest, Vouch

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from ..configuration.settings import Settings
    from .members import MemberTable
    from .messages import MemberRecord, SenderState
    from .outbox import Outbox
    from .reports import ReportTable
    from .spread import Spreader

_HELPERS = 3
# A VM asks suspects itself before it takes them as dead; a refutation that it
# missed comes with the answer.
_MOST_SUSPECTS = 4
# Every so many periods a VM that seems gone is tried, so that both sides of a
# healed partition find each other again.
_GONE_EVERY = 5
# A VM that is no relay pings another region itself if nothing came from it
# for this long; about this many VMs of a region do so per period.
_RELAYS_LOST_S = 10.0
_STAND_INS = 4
# With ``keys.isolation = "region"`` evidence must stay below 5 s on every VM.
_ISOLATION_EVIDENCE_S = 2.0
# Until it is settled, a VM asks several peers at shorter intervals.
JOIN_PERIOD_S = 0.25
_JOIN_PINGS = 3


class Prober:
    """Sends pings and answers them.

    Parameters
    ----------
    settings
        Names the regions and the isolation rule of keys.

    """

    def __init__(
        self,
        settings: Settings,
        members: MemberTable,
        spreader: Spreader,
        reports: ReportTable,
        outbox: Outbox,
        rng: random.Random,
    ) -> None:
        """Start with nothing in flight."""
        self._regions = settings.region_names
        self._watches_regions = settings.keys.isolation == 'region'
        self._members = members
        self._spreader = spreader
        self._reports = reports
        self._outbox = outbox
        self._rng = rng
        self._order: list[VmId] = []
        self._periods = 0
        self.detector = Detector(members, outbox)

    def run_period(self, state: SenderState) -> None:
        """Judge what was not answered, then ping."""
        self._periods += 1
        for vm in self.detector.start_period():
            self._spread_member(vm)
        chosen = [*self._choose_near(), *self._choose_far()]
        chosen += self._sample(self.detector.suspects(), _MOST_SUSPECTS)
        if self._periods % _GONE_EVERY == 0 or not chosen:
            chosen += self._choose_gone()
        for vm in dict.fromkeys(chosen):
            self.ping(vm, state)
        self._outbox.set_timer('period', PERIOD_S)
        self._outbox.set_timer('retry', RETRY_S)

    def retry(self, state: SenderState) -> None:
        """Ping again, also through others, whoever did not answer."""
        if self.detector.is_late():
            return
        for vm in self.detector.unanswered():
            self._outbox.count('ping_retried')
            self.ping(vm, state)
            for helper in self._choose_helpers(vm):
                number = self.detector.add_ping(helper)
                self._outbox.send(helper, PingRequest(number, state, vm))

    def join(self, state: SenderState) -> None:
        """Ask some peers while this VM is not settled."""
        candidates = [member.vm for member in self._members.live()]
        candidates += self._unheard_seeds(None)
        for vm in self._sample(candidates, _JOIN_PINGS):
            self.ping(vm, state)

    def ping(
        self,
        vm: VmId,
        state: SenderState,
        *,
        asker: VmId | None = None,
        withdrawn: tuple[str, ...] = (),
    ) -> None:
        """Ping a VM, for another one or with withdrawals if given."""
        number = self.detector.add_ping(vm, asker=asker)
        member = self._members.members.get(vm)
        if member and member.is_live and not (asker or withdrawn):
            self.detector.add_probe(vm)
        records: list[MemberRecord] = []
        if member is None or not member.knows_me:
            records.append(self._members.me)
        if member and member.record.status != ALIVE:
            records.append(member.record)
        recent = self._spreader.choose_news(
            members=True, targets=False, withdrawn=False
        )
        news = News((*records, *recent.members[:2]), (), withdrawn)
        reports = self._reports.choose()
        self._outbox.send(vm, Ping(number, state, news, reports))

    def answer_ping(
        self, sender: VmId, number: int, state: SenderState, news: News
    ) -> None:
        """Acknowledge a ping."""
        member = self._members.members.get(sender)
        records = news.members
        if member is None or member.record.status != ALIVE:
            # The sender must learn of it to refute it, or that it has to
            # introduce itself.
            known = member.record if member else self._members.me
            records = (known, *records)
        ack = Ack(
            number,
            state,
            News(records, news.targets, news.withdrawn),
            self._reports.choose(),
            self.detector.region_ages(),
        )
        self._outbox.send(sender, ack)

    def take_ack(self, sender: VmId, ack: Ack) -> bool:
        """Match an acknowledgement; return whether it belongs to a ping."""
        member = self._members.members.get(sender)
        if member is None:
            return False
        ping = self.detector.take_ack(sender, member.record.region, ack)
        if ping is None:
            return False
        member.knows_me = True
        if ping.asker is not None:
            vouch = Vouch(sender, ack.state.incarnation)
            self._outbox.send(ping.asker, vouch)
        return True

    def take_vouch(self, vouch: Vouch) -> None:
        """Take the news that a VM answered a helper."""
        member = self._members.members.get(VmId(vouch.vm))
        if member and vouch.incarnation >= member.record.incarnation:
            self.detector.clear_probe(member.vm)

    def _spread_member(self, vm: VmId) -> None:
        record = self._members.members[vm].record
        if not self.detector.is_connected():
            return
        self._outbox.count(
            'suspected' if record.status == SUSPECT else 'declared_dead'
        )
        self._spreader.add_member(record)
        self._spreader.accuse(record)

    def _choose_near(self) -> list[VmId]:
        region = self._members.me.region
        # Suspects are pinged anyway, and may waste this period.
        near = set(self._members.live_in(region))
        near.difference_update(self.detector.suspects())
        near.update(self._unheard_seeds(region))
        self._order = [vm for vm in self._order if vm in near]
        if not self._order:
            # Shuffled rounds bound the time until each VM is pinged.
            self._order = sorted(near)
            self._rng.shuffle(self._order)
        return [self._order.pop()] if self._order else []

    def _choose_far(self) -> list[VmId]:
        chosen: list[VmId] = []
        is_relay = self._members.is_relay()
        for region in self._regions:
            if region == self._members.me.region:
                continue
            if is_relay or self._stands_in(region):
                chosen += self._sample(self._candidates(region), 1)
        if is_relay:
            controls = [
                member.vm
                for member in self._members.live()
                if 'control' in member.record.roles
            ]
            chosen += self._sample(controls, 1)
        return chosen

    def _stands_in(self, region: str) -> bool:
        age_s = self.detector.evidence_age(region)
        if self._watches_regions and age_s > _ISOLATION_EVIDENCE_S:
            return True
        size = len(self._members.live_in(self._members.me.region)) + 1
        is_drawn = self._rng.random() * size < _STAND_INS
        return age_s > _RELAYS_LOST_S and is_drawn

    def _candidates(self, region: str) -> list[VmId]:
        live = self._members.live_in(region)
        if live:
            return live
        return [*self._gone(region), *self._unheard_seeds(region)]

    def _choose_gone(self) -> list[VmId]:
        region = None if self._members.is_relay() else self._members.me.region
        gone = [*self._gone(region), *self._unheard_seeds(region)]
        return self._sample(gone, 1)

    def _choose_helpers(self, vm: VmId) -> list[VmId]:
        near = self._members.live_in(self._members.me.region)
        return self._sample([name for name in near if name != vm], _HELPERS)

    def _gone(self, region: str | None) -> list[VmId]:
        return [
            vm
            for vm, member in self._members.members.items()
            if not member.is_live and region in {None, member.record.region}
        ]

    def _unheard_seeds(self, region: str | None) -> list[VmId]:
        return [
            vm
            for vm, seed in self._members.seeds.items()
            if vm not in self._members.members and region in {None, seed.region}
        ]

    def _sample(self, vms: Iterable[VmId], most: int) -> list[VmId]:
        ordered = sorted(vms)
        return self._rng.sample(ordered, min(most, len(ordered)))


__all__ = ('JOIN_PERIOD_S', 'Prober')
