"""The reducer of one VM: passes events to its parts."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from typing import Any

import attrs

from ..types import Component, Output, VmId
from .commands import Command, CommandAnswer, CommandUnsupported, DrainVm
from .effects import AnswerCommand, Effect, SendMessage
from .events import (
    CommandReceived,
    Event,
    MessageReceived,
    StopRequested,
    TimerFired,
)
from .messages import Message
from .notices import Notice


@attrs.frozen
class Registration:
    """One part with what it handles.

    Parameters
    ----------
    name
        Name of its timers.
    component
        The part itself.
    messages
        Types of the messages it receives.
    commands
        Types of the commands it answers.
    inputs
        Types of other events, and of notices, that it handles.

    """

    name: str
    component: Component
    messages: tuple[type[Message], ...] = ()
    commands: tuple[type[Command], ...] = ()
    inputs: tuple[type[Event | Notice], ...] = ()


class Node:
    """All decisions of one VM.

    Parameters
    ----------
    vm
        Name of this VM; messages to itself are handled at once.
    registrations
        The parts, in the order in which they see a common input.

    """

    def __init__(self, vm: VmId, registrations: Sequence[Registration]) -> None:
        """Index the parts by what they handle."""
        self._vm = vm
        self._by_timer = {each.name: each.component for each in registrations}
        self._by_message = _index(registrations, 'messages')
        self._by_command = _index(registrations, 'commands')
        self._by_input = _index(registrations, 'inputs')

    def handle(self, event: Event) -> list[Effect]:
        """Apply one event and everything that follows from it at once.

        Parameters
        ----------
        event
            The event; ``at`` never decreases between calls.

        Returns
        -------
        The effects, in the order in which they are to be executed.

        """
        effects: list[Effect] = []
        inputs: deque[Event | Notice] = deque((event,))
        while inputs:
            current = inputs.popleft()
            for output in self._apply(current):
                if isinstance(output, Notice):
                    inputs.append(output)
                elif _is_to(output, self._vm):
                    inputs.append(_loop_back(output, self._vm, current.at))
                else:
                    effects.append(output)
        return effects

    def _apply(self, current: Event | Notice) -> list[Output]:
        match current:
            case TimerFired(component=name):
                parts: tuple[Component, ...] = (self._by_timer[name],)
            case MessageReceived(message=message):
                parts = self._by_message.get(type(message), ())
            case CommandReceived(command=DrainVm()):
                return self._drain(current)
            case CommandReceived(command=command):
                parts = self._by_command.get(type(command), ())
                if not parts:
                    return [_reject_command(current)]
            case _:
                parts = self._by_input.get(type(current), ())
        outputs: list[Output] = []
        for part in parts:
            outputs.extend(part.handle(current))
        return outputs

    def _drain(self, current: CommandReceived) -> list[Output]:
        answer = AnswerCommand(current.command_id, CommandAnswer(0))
        return [answer, *self._apply(StopRequested(current.at))]


def _index(
    registrations: Sequence[Registration], field: str
) -> Mapping[type, tuple[Component, ...]]:
    index: dict[type, tuple[Component, ...]] = {}
    for registration in registrations:
        for kind in getattr(registration, field):
            index[kind] = (*index.get(kind, ()), registration.component)
    return index


def _is_to(output: Any, vm: VmId) -> bool:
    return isinstance(output, SendMessage) and output.to == vm


def _loop_back(output: Any, vm: VmId, at: float) -> MessageReceived:
    return MessageReceived(at, vm, output.message)


def _reject_command(event: CommandReceived) -> AnswerCommand:
    return AnswerCommand(event.command_id, CommandUnsupported('control'))


__all__ = ('Node', 'Registration')
