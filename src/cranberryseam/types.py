"""Identifiers and protocols shared by all parts of the package."""

from __future__ import annotations

from typing import TYPE_CHECKING, NewType, Protocol, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .core.effects import Effect
    from .core.events import Event
    from .core.notices import Notice

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
    """One subsystem of the reducer."""

    def handle(self, event: Event | Notice) -> Sequence[Output]:
        """Apply one event or notice.

        Parameters
        ----------
        event
            The event; its ``at`` never decreases between calls.

        Returns
        -------
        Effects for the daemon and notices for the other parts.

        """


class Owners(Protocol):
    """Who owns the shared state of a shard key, such as an account."""

    def group_of(self, region: str, shard_key: str) -> str:
        """Return the group of a key, empty in a region without groups."""

    def leader_of_group(self, group: str) -> VmId | None:
        """Return the last known leader of a group."""

    def term_of(self, group: str, at: float) -> int | None:
        """Return the term in which this VM leads, None if it doesn't."""

    def leading_since(self, group: str) -> float:
        """Return when this VM began to lead the group that it leads."""

    def fallback_share(self) -> float:
        """Return the part of a limit for this VM while no owner answers."""

    def query_leader(self, group: str, at: float) -> list[Output]:
        """Ask a group for its leader, after its last one was silent."""

    def announce_leader(self, group: str, to: VmId) -> list[Output]:
        """Tell a VM who leads, after it took this one for the leader."""


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
