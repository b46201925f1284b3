"""State that all roles of a replica share."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Protocol

import attrs

from ..core.effects import IncrementCounter, SendMessage, SetTimer, WriteLog
from ..core.messages import Message
from ..core.notices import EntryCommitted, SnapshotInstalled
from ..types import Output, VmId
from .effects import AppendRecords, SaveSnapshot, SaveVote, StorageEffect
from .log import Log
from .machine import restore_machine
from .records import Member, Record, Snapshot, StoredState

PART = 'control'

# Log level numbers of ``logging``.
LOG_LEVEL = 20

# Writing a snapshot of 54,000 accounts was measured at 74 ms, as much as 20
# records; at 440 changes a day it's written about once a day. Records behind it
# are kept so that a short absence needs no snapshot.
SNAPSHOT_EVERY = 512
KEPT_BEHIND = 128


class Role(Enum):
    """Role of a replica in its term."""

    follower = 'follower'
    pre_candidate = 'pre_candidate'
    candidate = 'candidate'
    leader = 'leader'


class _MakeEffect(Protocol):
    def __call__(self, sync_id: int) -> StorageEffect: ...


class Context:
    """Term, vote, log and outputs of one replica.

    Parameters
    ----------
    vm
        Name of this VM.
    stored
        What its disk holds.

    """

    def __init__(
        self, vm: VmId, stored: StoredState, rng: random.Random
    ) -> None:
        """Start as a follower that knows no leader."""
        self.vm = vm
        self.disk = stored.disk
        self.rng = rng
        self.at = float(0)
        self.term = stored.term
        self.voted_for = stored.voted_for
        self.role = Role.follower
        self.leader: Member | None = None
        # Time of the last message from the leader of this term.
        self.heard_at = float('-inf')
        self.stopping = False
        self.log = Log(stored)
        self.snapshot = stored.snapshot
        self.machine = restore_machine(stored.snapshot)
        self.sync = SyncGate()
        self.outputs: list[Output] = []

    @property
    def commit_index(self) -> int:
        """Index up to which records are committed and applied."""
        return self.machine.index

    @property
    def is_voter(self) -> bool:
        """Whether this disk votes in the membership in force."""
        return self.disk in self.log.membership.voters

    def others(self) -> list[Member]:
        """Return all members but this one."""
        members = self.log.membership.members
        return [member for member in members if member.disk != self.disk]

    def send(self, vm: str, message: Message) -> None:
        """Send a message; it may be lost."""
        self.outputs.append(SendMessage(VmId(vm), message))

    def set_timer(self, name: str, at: float) -> None:
        """Set a timer of this part."""
        self.outputs.append(SetTimer(PART, name, at))

    def count(self, name: str) -> None:
        """Add one to a counter."""
        self.outputs.append(IncrementCounter(f'{PART}.{name}'))

    def log_event(self, message: str, **fields: object) -> None:
        """Write a log line with the term."""
        details = {'term': self.term, **fields}
        self.outputs.append(WriteLog(LOG_LEVEL, message, details))

    def persist(self, make: _MakeEffect) -> None:
        """Emit a storage effect."""
        self.outputs.append(make(sync_id=self.sync.issue()))

    def after_sync(self, action: Callable[[], None]) -> None:
        """Run an action once all storage effects so far are on disk."""
        self.sync.wait(action)

    def enter_term(self, term: int, voted_for: str = '') -> None:
        """Enter a term or vote in it."""
        if term > self.term:
            self.leader = None
        self.term = term
        self.voted_for = voted_for
        self.persist(
            lambda sync_id: SaveVote(sync_id, self.term, self.voted_for)
        )

    def follow(self, term: int, leader: Member | None = None) -> None:
        """Become a follower of a term that is at least the own one."""
        if term > self.term:
            self.enter_term(term)
        self.role = Role.follower
        if leader is not None:
            self.leader = leader
            self.heard_at = self.at

    def append(self, records: tuple[Record, ...]) -> None:
        """Append records to the log in memory and on disk."""
        self.log.truncate(records[0].index - 1)
        self.log.extend(records)
        self.persist(
            lambda sync_id: AppendRecords(sync_id, records, self.commit_index)
        )

    def commit_to(self, index: int) -> None:
        """Apply the records up to a committed index."""
        for position in range(self.commit_index + 1, index + 1):
            record = self.log.record_at(position)
            self.machine.apply(record)
            self.outputs.append(
                EntryCommitted(self.at, record.index, record.entry)
            )
        saved = 0 if self.snapshot is None else self.snapshot.index
        if self.commit_index - saved >= SNAPSHOT_EVERY:
            self._take_snapshot()

    def restore(self, index: int) -> None:
        """Apply the records that the disk says are committed.

        They are told as one snapshot: each ``EntryCommitted`` means that a
        leader with a quorum confirmed the commit in this run, and a replica
        that was away for long must not pass its old state as the newest.
        """
        self.commit_to(index)
        self.outputs = [
            output
            for output in self.outputs
            if not isinstance(output, EntryCommitted)
        ]
        if self.commit_index:
            self.announce_snapshot()

    def install(self, snapshot: Snapshot) -> None:
        """Continue after a snapshot that is newer than the commit index."""
        self.log.restart(snapshot)
        self.machine = restore_machine(snapshot)
        self.announce_snapshot()
        self.save_snapshot(snapshot)

    def announce_snapshot(self) -> None:
        """Tell the other parts which configuration the log continues from."""
        self.outputs.append(
            SnapshotInstalled(self.at, self.machine.configuration)
        )

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Write a snapshot and the records kept."""
        self.snapshot = snapshot
        log = self.log
        self.persist(
            lambda sync_id: SaveSnapshot(
                sync_id, snapshot, log.base, log.records
            )
        )

    def _take_snapshot(self) -> None:
        membership = self.log.membership_at(self.commit_index)
        self.log.compact(self.commit_index - KEPT_BEHIND)
        self.count('snapshots')
        self.save_snapshot(self.machine.take_snapshot(membership))


@attrs.define
class SyncGate:
    """Actions that wait for storage.

    Parameters
    ----------
    issued
        Last sync id given to an effect.
    synced
        Last sync id that is on disk.

    """

    issued: int = 0
    synced: int = 0
    _waiting: deque[tuple[int, Callable[[], None]]] = attrs.field(factory=deque)

    def issue(self) -> int:
        """Return the id of the next storage effect."""
        self.issued += 1
        return self.issued

    def wait(self, action: Callable[[], None]) -> None:
        """Run an action now, or once everything issued is on disk."""
        if self.synced >= self.issued:
            action()
        else:
            self._waiting.append((self.issued, action))

    def release(self, sync_id: int) -> None:
        """Run the actions that waited for a sync id."""
        self.synced = max(self.synced, sync_id)
        while self._waiting and self._waiting[0][0] <= self.synced:
            self._waiting.popleft()[1]()


__all__ = ('PART', 'Context', 'Role', 'SyncGate')
