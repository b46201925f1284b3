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
    """Replace messages to this VM by the outputs of handling them.

    A VM that leads a group is its own owner; its messages to itself take no
    network and can't be lost.
    """
    remaining = list(outputs)
    done: list[Output] = []
    while remaining:
        output = remaining.pop(0)
        if isinstance(output, SendMessage) and output.to == vm:
            remaining = [*receive(output.message), *remaining]
        else:
            done.append(output)
    return done


__all__ = ('deliver_to_self',)
