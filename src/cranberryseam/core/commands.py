"""Operators' commands and their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..types import AccountId, KeyId, VmId
from .errors import Failure

if TYPE_CHECKING:
    from ..configuration.model import Lists


@attrs.frozen
class Command:
    """Base class of all commands."""


@attrs.frozen
class InitialiseFleet(Command):
    """Create the first control group from the replicas in the settings."""

    wall_s: float


@attrs.frozen
class ApplyLists(Command):
    """Replace the two lists.

    Parameters
    ----------
    command_key
        Idempotency key; a retry after a lost answer carries the same one.
    based_on
        ``lists_version`` that the operator edited; the command conflicts if
        another version is in force.

    """

    command_key: str
    based_on: int
    lists: Lists


@attrs.frozen
class GrantKey(Command):
    """Grant a key; only its hash is stored."""

    command_key: str
    key_id: KeyId
    account: AccountId
    key_hash: bytes


@attrs.frozen
class WithdrawKey(Command):
    """Withdraw a key permanently; any VM accepts this command."""

    command_key: str
    key_id: KeyId


@attrs.frozen
class ReplaceReplica(Command):
    """Replace a lost control replica; the new one joins as learner, then votes.

    Parameters
    ----------
    lost
        Replica to remove; may equal ``added`` if only its disk was lost.

    """

    command_key: str
    lost: VmId
    added: VmId


@attrs.frozen
class ShowLists(Command):
    """Return the lists in force and their version."""


@attrs.frozen
class ShowFleet(Command):
    """Return members, their versions and unconfirmed withdrawals."""


@attrs.frozen
class ShowTargets(Command):
    """Return all targets, their states and the reasons for them."""


@attrs.frozen
class ShowControl(Command):
    """Return the state of this control replica."""


@attrs.frozen
class DrainVm(Command):
    """Drain this VM, as on SIGTERM."""


@attrs.frozen
class CommandAnswer:
    """Answer to a successful command.

    Parameters
    ----------
    version
        Configuration version to which the answer refers.
    body
        JSON-compatible result.

    """

    version: int
    body: object = None


@attrs.frozen
class NotLeader(Failure):
    """The command must go to another VM.

    Parameters
    ----------
    leader
        The control leader, None while there is none.

    """

    leader: VmId | None


@attrs.frozen
class VersionConflict(Failure):
    """The lists were based on a version that is not in force."""

    based_on: int
    in_force: int


@attrs.frozen
class NotInitialised(Failure):
    """The fleet has no configuration log yet."""


@attrs.frozen
class AlreadyInitialised(Failure):
    """The configuration log exists already."""


@attrs.frozen
class UnknownName(Failure):
    """A command names something that doesn't exist."""

    kind: str
    name: str


@attrs.frozen
class CommandKeyReused(Failure):
    """Another command was sent under the same command key."""

    command_key: str


@attrs.frozen
class KeyExists(Failure):
    """The key id or hash was granted before; a new grant needs a new key."""

    key_id: KeyId


@attrs.frozen
class OutcomeUnknown(Failure):
    """The command may or may not be committed; send it again."""


@attrs.frozen
class ReplicaUnusable(Failure):
    """A control replica can't be used for what the command asks.

    Parameters
    ----------
    vm
        The replica.
    reason
        Actual and expected state of the replica.

    """

    vm: VmId
    reason: str


@attrs.frozen
class ReplacementInProgress(Failure):
    """Another replica is being replaced; only one change runs at a time."""

    added: VmId


@attrs.frozen
class CommandUnsupported(Failure):
    """This VM doesn't have the role that the command needs."""

    needs_role: str


__all__ = (
    'AlreadyInitialised',
    'ApplyLists',
    'Command',
    'CommandAnswer',
    'CommandKeyReused',
    'CommandUnsupported',
    'DrainVm',
    'GrantKey',
    'InitialiseFleet',
    'KeyExists',
    'NotInitialised',
    'NotLeader',
    'OutcomeUnknown',
    'ReplaceReplica',
    'ReplacementInProgress',
    'ReplicaUnusable',
    'ShowControl',
    'ShowFleet',
    'ShowLists',
    'ShowTargets',
    'UnknownName',
    'VersionConflict',
    'WithdrawKey',
)
