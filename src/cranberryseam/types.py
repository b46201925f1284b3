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


class Part(Protocol):
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


__all__ = (
    'AccountId',
    'AttemptId',
    'KeyId',
    'Output',
    'Part',
    'RegionName',
    'RequestId',
    'ServiceName',
    'TargetId',
    'VmId',
)
