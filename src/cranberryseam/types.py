"""Identifiers and protocols shared by the whole package."""

from __future__ import annotations

from typing import TYPE_CHECKING, NewType, Protocol, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .core.effects import Effect
    from .core.events import Event
    from .core.notices import Notice
    from .ownership.contacts import OwnerContact

VmId = NewType('VmId', str)
AccountId = NewType('AccountId', str)
TargetId = NewType('TargetId', str)
ServiceName = NewType('ServiceName', str)
RegionName = NewType('RegionName', str)
Output: TypeAlias = 'Effect | Notice'

KeyId = NewType('KeyId', str)
RequestId = NewType('RequestId', int)
AttemptId = NewType('AttemptId', int)


class Component(Protocol):
    """A component of the reducer, with its own state and timers."""

    def handle(self, event: Event | Notice) -> Sequence[Output]:
        """Apply one event or notice.

        Parameters
        ----------
        event
            The event; its ``at`` never decreases between calls.

        Returns
        -------
        Effects for the daemon and notices for the other components.

        """


class Owners(Protocol):
    """Lookup of the VMs that own shared state, by shard key.

    A shard key is, for example, the name of an account.
    """

    def group_of(self, region: str, shard_key: str) -> str:
        """Return the replica group of a key; empty if the region has none."""

    def leader_of_group(self, group: str) -> VmId | None:
        """Return the last known leader of a group."""

    def term_of(self, group: str, at: float) -> int | None:
        """Return the term in which this VM leads a group, or None."""

    def leading_since(self, group: str) -> float:
        """Return when this VM became the leader of a group."""

    def fallback_share(self) -> float:
        """Return this VM's share of a limit while no owner answers."""

    def last_contact(self) -> OwnerContact:
        """Return the last contact of this VM with the owner."""

    def query_leader(self, group: str, at: float) -> list[Output]:
        """Ask a group for its leader after the known one did not answer."""

    def announce_leader(self, group: str, to: VmId) -> list[Output]:
        """Send the known leader to a VM that addressed this one as leader."""


__all__ = (
    'AccountId',
    'AttemptId',
    'KeyId',
    'Output',
    'Owners',
    'Component',
    'RegionName',
    'RequestId',
    'ServiceName',
    'TargetId',
    'VmId',
)
