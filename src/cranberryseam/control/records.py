"""Records of the control log, its membership, and the stored state."""

from __future__ import annotations

import msgspec

from ..configuration.entries import AnyEntry
from ..configuration.model import (
    Account,
    Document,
    Key,
    Plan,
    Route,
    Service,
)
from ..core.commands import (
    CommandAnswer,
    KeyExists,
    UnknownName,
    VersionConflict,
)
from ..core.errors import Failure
from ..types import KeyId


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Disk that replicates the log; a learner has no vote."""

    vm: str
    disk: str
    voter: bool = True


class Replacement(msgspec.Struct, frozen=True, array_like=True):
    """Replacement in progress.

    Parameters
    ----------
    lost
        Disk id of the voter to remove; empty once it's removed.
    added
        Disk id of the learner to promote to a voter.
    command_key
        Key of the operator's command; empty for an automatic admission.

    """

    lost: str
    added: str
    command_key: str


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """Members of the log from a record on.

    Parameters
    ----------
    fleet
        Identifier of the log; a hash of its first members.
    replacing
        Replacement in progress, if any.

    """

    members: tuple[Member, ...] = ()
    fleet: str = ''
    replacing: Replacement | None = None

    @property
    def voters(self) -> frozenset[str]:
        """Disk ids of the voters, which form quorums."""
        return frozenset(member.disk for member in self.members if member.voter)

    def find(self, disk: str) -> Member | None:
        """Return the member with a disk id."""
        for member in self.members:
            if member.disk == disk:
                return member
        return None

    def is_quorum(self, disks: set[str]) -> bool:
        """Return whether the disks include a majority of the voters."""
        voters = self.voters
        return len(voters & disks) * 2 > len(voters)


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """Base class of the outcomes stored per command key."""

    def answer(self, index: int) -> CommandAnswer | Failure:
        """Return the answer for the operator."""
        return CommandAnswer(index)


class Accepted(Outcome, frozen=True, array_like=True, tag=1):
    """The command took effect."""


class Conflicted(Outcome, frozen=True, array_like=True, tag=2):
    """The lists were based on another version."""

    based_on: int
    in_force: int

    def answer(self, index: int) -> CommandAnswer | Failure:
        """Return the version conflict."""
        return VersionConflict(self.based_on, self.in_force)


class NameUnknown(Outcome, frozen=True, array_like=True, tag=3):
    """The command contained a name that didn't exist."""

    kind: str
    name: str

    def answer(self, index: int) -> CommandAnswer | Failure:
        """Return the unknown name."""
        return UnknownName(self.kind, self.name)


class KeyTaken(Outcome, frozen=True, array_like=True, tag=4):
    """The key id or hash had been granted before."""

    key_id: KeyId

    def answer(self, index: int) -> CommandAnswer | Failure:
        """Return that the key exists."""
        return KeyExists(self.key_id)


class CommandResult(msgspec.Struct, frozen=True, array_like=True):
    """First result of a command key.

    Parameters
    ----------
    fingerprint
        Hash of the command.
    index
        Index of the record with the result.

    """

    command_key: str
    fingerprint: bytes
    outcome: Accepted | Conflicted | NameUnknown | KeyTaken
    index: int


class Record(msgspec.Struct, frozen=True, array_like=True):
    """Record of the log."""

    index: int
    term: int
    entry: AnyEntry
    result: CommandResult | None = None
    membership: Membership | None = None


class StoredConfiguration(msgspec.Struct, frozen=True, array_like=True):
    """Configuration as stored in a snapshot.

    Parameters
    ----------
    version
        Index of the last record applied.
    lists_version
        Index of the last record that changed the two lists.
    withdrawn
        Ids of the keys that were withdrawn.
    content_version
        Index of the last record that changed what VMs act on.
    document
        The operator's document in force, if documents are used.
    departed
        Departed targets, with the time (Unix milliseconds) up to which their
        starts have departed.

    """

    version: int = 0
    lists_version: int = 0
    initialised_wall_s: float = 0
    accounts: tuple[Account, ...] = ()
    plans: tuple[Plan, ...] = ()
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    keys: tuple[Key, ...] = ()
    withdrawn: tuple[KeyId, ...] = ()
    content_version: int = 0
    document: Document | None = None
    departed: tuple[tuple[str, int], ...] = ()


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State after all records up to an index."""

    index: int
    term: int
    membership: Membership
    configuration: StoredConfiguration
    results: tuple[CommandResult, ...] = ()


class LogBase(msgspec.Struct, frozen=True, array_like=True):
    """Index and term of the record before the first one in the log."""

    index: int = 0
    term: int = 0


class StoredState(msgspec.Struct, frozen=True):
    """State stored on one disk.

    Parameters
    ----------
    disk
        Random id, generated when the disk was first used.
    voted_for
        Disk id that received the vote in ``term``; empty if none.
    commit
        Commit index when the last records were written.

    """

    disk: str
    term: int = 0
    voted_for: str = ''
    commit: int = 0
    snapshot: Snapshot | None = None
    base: LogBase = LogBase()
    records: tuple[Record, ...] = ()


__all__ = (
    'Accepted',
    'CommandResult',
    'Conflicted',
    'KeyTaken',
    'LogBase',
    'Member',
    'Membership',
    'NameUnknown',
    'Outcome',
    'Record',
    'Replacement',
    'Snapshot',
    'StoredConfiguration',
    'StoredState',
)
