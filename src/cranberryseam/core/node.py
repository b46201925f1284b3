"""Reducer of one VM; dispatches events to its components."""

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
    """A component and the types of messages, commands and events it handles.

    Parameters
    ----------
    name
        Name under which its timers are set.
    component
        The component itself.
    messages
        Types of the messages it receives.
    commands
        Types of the commands it executes.
    inputs
        Types of the notices and other events that it handles.

    """

    name: str
    component: Component
    messages: tuple[type[Message], ...] = ()
    commands: tuple[type[Command], ...] = ()
    inputs: tuple[type[Event | Notice], ...] = ()


class Node:
    """Deterministic state machine of one VM.

    Parameters
    ----------
    vm
        Name of this VM; a message to itself is handled in the same call.
    registrations
        Components, in the order in which they handle the same message or event.

    """

    def __init__(self, vm: VmId, registrations: Sequence[Registration]) -> None:
        """Index the components by the types that they handle."""
        self._vm = vm
        self._component_by_name = {
            registration.name: registration.component
            for registration in registrations
        }
        self._components_by_message = _index(registrations, 'messages')
        self._components_by_command = _index(registrations, 'commands')
        self._components_by_input = _index(registrations, 'inputs')

    def handle(self, event: Event) -> list[Effect]:
        """Apply one event and all notices that result from it.

        Parameters
        ----------
        event
            The event; ``at`` never decreases between calls.

        Returns
        -------
        Effects, in the order of execution.

        """
        effects: list[Effect] = []
        queue: deque[Event | Notice] = deque((event,))
        while queue:
            current = queue.popleft()
            for output in self._apply(current):
                if isinstance(output, Notice):
                    queue.append(output)
                elif _is_message_to(output, self._vm):
                    queue.append(_loop_back(output, self._vm, current.at))
                else:
                    effects.append(output)
        return effects

    def _apply(self, current: Event | Notice) -> list[Output]:
        match current:
            case TimerFired(component=name):
                components: tuple[Component, ...] = (
                    self._component_by_name[name],
                )
            case MessageReceived(message=message):
                components = self._components_by_message.get(type(message), ())
            case CommandReceived(command=DrainVm()):
                return self._drain(current)
            case CommandReceived(command=command):
                components = self._components_by_command.get(type(command), ())
                if not components:
                    return [_reject_unsupported_command(current)]
            case _:
                components = self._components_by_input.get(type(current), ())
        outputs: list[Output] = []
        for component in components:
            outputs.extend(component.handle(current))
        return outputs

    def _drain(self, current: CommandReceived) -> list[Output]:
        # The command is answered at once. The components then drain, and the
        # process stops as on SIGTERM.
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


def _is_message_to(output: Any, vm: VmId) -> bool:
    return isinstance(output, SendMessage) and output.to == vm


def _loop_back(output: Any, vm: VmId, at: float) -> MessageReceived:
    return MessageReceived(at, vm, output.message)


def _reject_unsupported_command(event: CommandReceived) -> AnswerCommand:
    return AnswerCommand(event.command_id, CommandUnsupported('control'))


__all__ = ('Node', 'Registration')
