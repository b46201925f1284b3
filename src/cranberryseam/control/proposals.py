"""Evaluation of commands against the state at the end of the leader's log."""

from __future__ import annotations

from typing import TypeAlias

import attrs
import msgspec
import xxhash

from ..configuration.entries import (
    AnyEntry,
    KeyGranted,
    KeyWithdrawn,
    NoOp,
    diff_lists,
)
from ..core.commands import (
    ApplyLists,
    GrantKey,
    ReplaceReplica,
    WithdrawKey,
)
from .machine import StateMachine
from .records import Accepted, Conflicted, KeyTaken, NameUnknown

KeyedCommand: TypeAlias = ApplyLists | GrantKey | WithdrawKey | ReplaceReplica


@attrs.frozen
class Proposal:
    """Entry to append for a command, with its result.

    A refused command is appended as well, so that a duplicate that arrives
    later can't succeed after the operator has received the refusal.
    """

    entry: AnyEntry
    outcome: Accepted | Conflicted | NameUnknown | KeyTaken


def evaluate_command(
    command: KeyedCommand, tail_state: StateMachine
) -> Proposal:
    """Return the entry and result to append for a command.

    Parameters
    ----------
    tail_state
        State after all records of the leader's log. The new record follows
        them, so the checks still hold when it is committed.

    """
    match command:
        case ApplyLists():
            return _apply_lists(command, tail_state)
        case GrantKey():
            return _grant_key(command, tail_state)
        case WithdrawKey():
            return _withdraw_key(command, tail_state)
    return Proposal(NoOp(), Accepted())


def hash_command(command: KeyedCommand) -> bytes:
    """Return a hash of the command's type and fields."""
    content = msgspec.msgpack.encode((type(command).__name__, command))
    return xxhash.xxh3_128_digest(content)


def _apply_lists(command: ApplyLists, tail_state: StateMachine) -> Proposal:
    in_force = tail_state.configuration.lists_version
    if command.based_on != in_force:
        outcome = Conflicted(command.based_on, in_force)
        return Proposal(NoOp(), outcome)
    entry = diff_lists(
        tail_state.configuration, command.lists, command.command_key
    )
    return Proposal(entry, Accepted())


def _grant_key(command: GrantKey, tail_state: StateMachine) -> Proposal:
    configuration = tail_state.configuration
    known = command.key_id in configuration.keys
    withdrawn = command.key_id in configuration.withdrawn
    if known or withdrawn or command.key_hash in tail_state.key_hashes:
        return Proposal(NoOp(), KeyTaken(command.key_id))
    if command.account not in configuration.accounts:
        unknown = NameUnknown('account', command.account)
        return Proposal(NoOp(), unknown)
    entry = KeyGranted(
        command.command_key, command.key_id, command.account, command.key_hash
    )
    return Proposal(entry, Accepted())


def _withdraw_key(command: WithdrawKey, tail_state: StateMachine) -> Proposal:
    configuration = tail_state.configuration
    if command.key_id in configuration.withdrawn:
        return Proposal(NoOp(), Accepted())
    if command.key_id not in configuration.keys:
        unknown = NameUnknown('key', command.key_id)
        return Proposal(NoOp(), unknown)
    entry = KeyWithdrawn(command.command_key, command.key_id)
    return Proposal(entry, Accepted())


__all__ = ('KeyedCommand', 'Proposal', 'evaluate_command', 'hash_command')
