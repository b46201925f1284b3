"""Ownership of shard keys by the leaders of replica groups."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeGuard

from ..core.effects import SendMessage, SetTimer
from ..core.events import (
    Event,
    MessageReceived,
    PauseSuspected,
    Started,
    StopRequested,
    TimerFired,
)
from ..core.notices import LeadershipChanged
from ..types import VmId
from .contacts import OwnerContact
from .directory import LeaderDirectory
from .groups import GroupIndex
from .loopback import deliver_to_self
from .member import COMPONENT, Member
from .messages import MESSAGES, LeaderAsked, LeaderTold

if TYPE_CHECKING:
    import random

    from ..configuration.settings import Settings
    from ..core.messages import Message
    from ..core.notices import Notice
    from ..types import Output


class Ownership:
    """Replica groups of three VMs and their leaders.

    Parameters
    ----------
    rng
        Source of the jitter and of probe identifiers.

    """

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        """Index the groups; ``Started`` creates the members."""
        self._vm = settings.vm_id
        self._rng = rng
        self._groups = GroupIndex(settings)
        self._members: dict[str, Member] = {}
        self._reported_leaders: dict[str, str] = {}
        self._directory = LeaderDirectory()

    def handle(self, event: Event | Notice) -> list[Output]:
        """Apply one event.

        Events of other components, the majority, are skipped for speed;
        ``is_leader`` and ``term_of`` check the expiry of leases themselves.
        """
        if not _concerns_ownership(event):
            return []
        outputs: list[Output] = []
        for member in self._members.values():
            outputs.extend(member.refresh(event.at))
        outputs.extend(self._apply(event))
        outputs.extend(self._report_changes(event.at))
        return outputs

    def group_of(self, region: str, shard_key: str) -> str:
        """Return the group of a key, empty in a region without groups."""
        return self._groups.group_of(region, shard_key)

    def leader_of(self, region: str, shard_key: str) -> VmId | None:
        """Return the last known leader of the group of a key."""
        return self.leader_of_group(self.group_of(region, shard_key))

    def leader_of_group(self, group: str) -> VmId | None:
        """Return the last known leader of a group."""
        member = self._members.get(group)
        if member is None:
            return self._directory.find_leader(group)
        return VmId(member.known_leader) if member.known_leader else None

    def is_leader(self, region: str, shard_key: str, at: float) -> bool:
        """Return whether this VM holds the lease of the group of a key."""
        return self.term_of(self.group_of(region, shard_key), at) is not None

    def term_of(self, group: str, at: float) -> int | None:
        """Return the term in which this VM leads, None if it doesn't."""
        member = self._members.get(group)
        if member is None or not member.leads(at):
            return None
        return member.leader_term.term

    def leading_since(self, group: str) -> float:
        """Return when this VM won the lease it holds."""
        return self._members[group].leader_term.elected_at

    def members_of(self, group: str) -> tuple[VmId, ...]:
        """Return the three members of a group in their preferred order."""
        group_settings = self._groups.find_group(group)
        return (
            tuple(VmId(vm) for vm in group_settings.vms)
            if group_settings
            else ()
        )

    def list_own_groups(self) -> tuple[str, ...]:
        """Return the groups that this VM is a member of."""
        return tuple(
            group.name for group in self._groups.list_groups_with(self._vm)
        )

    def fallback_share(self) -> float:
        """Return 0: without an owner the use of a limit can't be counted."""
        return 0

    def last_contact(self) -> OwnerContact:
        """Return no contact: without an owner nothing may be used."""
        return OwnerContact()

    def query_leader(self, group: str, at: float) -> list[Output]:
        """Query a group for its leader.

        Components call this when an owner is unknown or doesn't answer; a
        changed leader arrives as ``LeadershipChanged``.
        """
        group_settings = self._groups.find_group(group)
        if group_settings is None or group in self._members:
            return []
        return self._directory.query(group_settings, at)

    def announce_leader(self, group: str, to: VmId) -> list[Output]:
        """Tell a VM who leads, after it addressed this VM as the leader."""
        member = self._members.get(group)
        if member is None or to == self._vm:
            return []
        answer = LeaderTold(group, member.known_term, member.known_leader)
        return [SendMessage(to, answer)]

    def _apply(self, event: Event) -> list[Output]:
        match event:
            case Started():
                return self._start(event)
            case TimerFired(component=component, name=name) if (
                component == COMPONENT
            ):
                member = self._members.get(name)
                return member.tick(event.at) if member else []
            case MessageReceived(sender=sender, message=message):
                return self._receive(sender, message, event.at)
            case PauseSuspected():
                return [
                    output
                    for member in self._members.values()
                    for output in member.resume(event.at)
                ]
            case StopRequested():
                return [
                    output
                    for member in self._members.values()
                    for output in member.stop(event.at)
                ]
        return []

    def _start(self, event: Started) -> list[Output]:
        timers: list[Output] = []
        for group in self._groups.list_groups_with(self._vm):
            self._members[group.name] = Member(
                group, self._vm, self._rng, event.at, event.wall_s
            )
            timers.append(SetTimer(COMPONENT, group.name, event.at))
        return timers

    def _receive(
        self, sender: VmId, message: Message, at: float
    ) -> list[Output]:
        match message:
            case LeaderTold(group=group):
                if group in self._members or not self._directory.update(
                    message
                ):
                    return []
                return [LeadershipChanged(at, group, VmId(message.leader))]
            case LeaderAsked(group=group):
                return self.announce_leader(group, sender)
        group_name = getattr(message, 'group', '')
        member = self._members.get(group_name)
        if member is None or sender not in member.group.vms:
            return []
        return deliver_to_self(
            self._vm, member.receive(sender, message, at), lambda _: ()
        )

    def _report_changes(self, at: float) -> list[Output]:
        notices: list[Output] = []
        for name, member in self._members.items():
            member.refresh(at)
            if self._reported_leaders.get(name, '') != member.known_leader:
                self._reported_leaders[name] = member.known_leader
                leader = (
                    VmId(member.known_leader) if member.known_leader else None
                )
                notices.append(LeadershipChanged(at, name, leader))
        return notices


def _concerns_ownership(event: Event | Notice) -> TypeGuard[Event]:
    match event:
        case MessageReceived(message=message):
            return isinstance(message, MESSAGES)
        case TimerFired(component=component):
            return component == COMPONENT
    return isinstance(event, Started | StopRequested | PauseSuspected)


__all__ = ('Ownership',)
