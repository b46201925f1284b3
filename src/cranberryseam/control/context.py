"""State shared by all roles of a replica."""

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

COMPONENT = 'control'

# Same value as ``logging.INFO``.
INFO_LEVEL = 20

# A snapshot of 54,000 accounts takes 74 ms to write, as long as 20 records. At
# 440 changes a day, one is written about once a day. The log keeps some records
# from before the snapshot, so that a follower needs no snapshot after a short
# absence.
SNAPSHOT_INTERVAL_RECORDS = 512
RECORDS_KEPT_BEFORE_SNAPSHOT = 128


class Role(Enum):
    """Role of a replica in its term."""

    follower = 'follower'
    pre_candidate = 'pre_candidate'
    candidate = 'candidate'
    leader = 'leader'


class _EffectFactory(Protocol):
    def __call__(self, sync_id: int) -> StorageEffect: ...


class Context:
    """State of one replica that its roles share.

    It holds the term, the vote, the log and the pending outputs, and changes
    the role. ``disk`` is the id of the disk of the replica: a VM that returns
    with an empty disk has another id.

    Parameters
    ----------
    vm
        Name of this VM.
    stored
        State loaded from its disk.

    """

    def __init__(
        self, vm: VmId, stored: StoredState, rng: random.Random
    ) -> None:
        """Start as a follower without a known leader."""
        self.vm = vm
        self.disk = stored.disk
        self.rng = rng
        self.now = float(0)
        self.term = stored.term
        self.voted_for = stored.voted_for
        self.role = Role.follower
        self.leader: Member | None = None
        # Time of the last message from the leader of this term.
        self.leader_heard_at = float('-inf')
        self.stopping = False
        self.log = Log(stored)
        self.snapshot = stored.snapshot
        self.machine = restore_machine(stored.snapshot)
        self.sync = SyncQueue()
        self.outputs: list[Output] = []

    @property
    def commit_index(self) -> int:
        """Index up to which records are committed and applied."""
        return self.machine.index

    @property
    def is_voter(self) -> bool:
        """Whether this disk votes in the membership in force."""
        return self.disk in self.log.membership.voters

    def other_members(self) -> list[Member]:
        """Return all members except this replica."""
        members = self.log.membership.members
        return [member for member in members if member.disk != self.disk]

    def send(self, vm: str, message: Message) -> None:
        """Send a message without delivery guarantee."""
        self.outputs.append(SendMessage(VmId(vm), message))

    def set_timer(self, name: str, at: float) -> None:
        """Set a timer of the control component."""
        self.outputs.append(SetTimer(COMPONENT, name, at))

    def increment_counter(self, name: str) -> None:
        """Add one to a counter."""
        self.outputs.append(IncrementCounter(f'{COMPONENT}.{name}'))

    def log_event(self, message: str, **fields: object) -> None:
        """Write a log line that includes the current term."""
        details = {'term': self.term, **fields}
        self.outputs.append(WriteLog(INFO_LEVEL, message, details))

    def persist(self, make_effect: _EffectFactory) -> None:
        """Emit a storage effect with the next sync id."""
        self.outputs.append(make_effect(sync_id=self.sync.next_sync_id()))

    def run_after_sync(self, action: Callable[[], None]) -> None:
        """Run an action once all storage effects issued so far are synced."""
        self.sync.run_when_synced(action)

    def enter_term(self, term: int, voted_for: str = '') -> None:
        """Enter a term, or vote in it, and persist both."""
        if term > self.term:
            self.leader = None
        self.term = term
        self.voted_for = voted_for
        self.persist(
            lambda sync_id: SaveVote(sync_id, self.term, self.voted_for)
        )

    def become_follower(self, term: int, leader: Member | None = None) -> None:
        """Become a follower in the current or a later term."""
        if term > self.term:
            self.enter_term(term)
        self.role = Role.follower
        if leader is not None:
            self.leader = leader
            self.leader_heard_at = self.now

    def append(self, records: tuple[Record, ...]) -> None:
        """Append records to the log in memory and persist them.

        Existing records from the index of the first one on are replaced.
        """
        self.log.truncate(records[0].index - 1)
        self.log.extend(records)
        self.persist(
            lambda sync_id: AppendRecords(sync_id, records, self.commit_index)
        )

    def commit_up_to(self, index: int) -> None:
        """Apply the records up to a committed index."""
        for record_index in range(self.commit_index + 1, index + 1):
            record = self.log.record_at(record_index)
            self.machine.apply(record)
            self.outputs.append(
                EntryCommitted(self.now, record.index, record.entry)
            )
        last_snapshot_index = (
            0 if self.snapshot is None else self.snapshot.index
        )
        if self.commit_index - last_snapshot_index >= SNAPSHOT_INTERVAL_RECORDS:
            self._take_snapshot()

    def restore_committed(self, index: int) -> None:
        """Apply the records that were committed according to the disk.

        They are reported as one ``SnapshotInstalled`` instead of as
        ``EntryCommitted`` notices. An ``EntryCommitted`` means that a leader
        with a quorum confirmed the commit since this process started; a
        replica that was down for a long time must not present its old state
        as the latest.
        """
        self.commit_up_to(index)
        self.outputs = [
            output
            for output in self.outputs
            if not isinstance(output, EntryCommitted)
        ]
        if self.commit_index:
            self.announce_snapshot()

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the state by a snapshot newer than the commit index."""
        self.log.continue_from(snapshot)
        self.machine = restore_machine(snapshot)
        self.announce_snapshot()
        self.save_snapshot(snapshot)

    def announce_snapshot(self) -> None:
        """Notify other components of the log's initial configuration."""
        self.outputs.append(
            SnapshotInstalled(self.now, self.machine.configuration)
        )

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Persist a snapshot and the records that remain in the log."""
        self.snapshot = snapshot
        log = self.log
        self.persist(
            lambda sync_id: SaveSnapshot(
                sync_id, snapshot, log.base, log.records
            )
        )

    def _take_snapshot(self) -> None:
        membership = self.log.membership_at(self.commit_index)
        self.log.compact(self.commit_index - RECORDS_KEPT_BEFORE_SNAPSHOT)
        self.increment_counter('snapshots')
        self.save_snapshot(self.machine.take_snapshot(membership))


@attrs.define
class SyncQueue:
    """Actions to run once earlier storage effects are synced.

    Parameters
    ----------
    issued
        Last sync id assigned to an effect.
    synced
        Last sync id that is on disk.

    """

    issued: int = 0
    synced: int = 0
    _waiting: deque[tuple[int, Callable[[], None]]] = attrs.field(factory=deque)

    def next_sync_id(self) -> int:
        """Allocate the sync id of the next storage effect."""
        self.issued += 1
        return self.issued

    def run_when_synced(self, action: Callable[[], None]) -> None:
        """Run an action now if all issued effects are synced, else later."""
        if self.synced >= self.issued:
            action()
        else:
            self._waiting.append((self.issued, action))

    def complete(self, sync_id: int) -> None:
        """Run the actions that were waiting for a sync id."""
        self.synced = max(self.synced, sync_id)
        while self._waiting and self._waiting[0][0] <= self.synced:
            self._waiting.popleft()[1]()


__all__ = ('COMPONENT', 'Context', 'Role', 'SyncQueue')
