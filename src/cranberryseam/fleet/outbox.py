"""Collector of the outputs of one event."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.effects import IncrementCounter, SendMessage, SetTimer

if TYPE_CHECKING:
    from ..core.messages import Message
    from ..types import Output, VmId

COMPONENT = 'fleet'


class Outbox:
    """Collects outputs in order; ``now`` is the time of the event."""

    def __init__(self) -> None:
        """Start empty."""
        self.now: float = 0
        self._outputs: list[Output] = []

    def add(self, output: Output) -> None:
        """Append an effect or a notice."""
        self._outputs.append(output)

    def send(self, to: VmId, message: Message) -> None:
        """Append a message to a VM."""
        self._outputs.append(SendMessage(to, message))

    def set_timer(self, name: str, delay_s: float) -> None:
        """Append a timer of the gossip protocol."""
        self._outputs.append(SetTimer(COMPONENT, name, self.now + delay_s))

    def count(self, name: str) -> None:
        """Append an increment of a gossip counter."""
        self._outputs.append(IncrementCounter(f'{COMPONENT}.{name}'))

    def drain(self) -> list[Output]:
        """Return all outputs and clear the collector."""
        outputs = self._outputs
        self._outputs = []
        return outputs


__all__ = ('COMPONENT', 'Outbox')
