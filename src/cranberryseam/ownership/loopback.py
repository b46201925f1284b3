"""Delivery of messages that a VM addresses to itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.effects import SendMessage

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ..core.messages import Message
    from ..types import Output, VmId


def deliver_to_self(
    vm: VmId,
    outputs: Sequence[Output],
    receive: Callable[[Message], Sequence[Output]],
) -> list[Output]:
    """Replace messages to this VM with the outputs of handling them.

    A VM that leads a group can be the owner of its own requests; messages to
    itself bypass the network and can't be lost.
    """
    pending = list(outputs)
    results: list[Output] = []
    while pending:
        output = pending.pop(0)
        if isinstance(output, SendMessage) and output.to == vm:
            pending = [*receive(output.message), *pending]
        else:
            results.append(output)
    return results


__all__ = ('deliver_to_self',)
