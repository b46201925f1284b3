"""Tests of the files of a control replica."""

from __future__ import annotations

import contextlib
import errno
import os
import tempfile
from collections.abc import Iterator
from pathlib import Path
from unittest import mock

import testtools
from expression import Result
from parameterized import parameterized

from cranberryseam.configuration.entries import KeyWithdrawn
from cranberryseam.control import (
    FolderInUse,
    StorageDamaged,
    StoredState,
    open_storage,
)
from cranberryseam.control.effects import (
    AppendRecords,
    SaveSnapshot,
    SaveVote,
    StorageEffect,
)
from cranberryseam.control.records import (
    LogBase,
    Member,
    Membership,
    Record,
    Snapshot,
    StoredConfiguration,
)

from .simulation import write_disk

MEMBERSHIP = Membership((Member('a', 'x'),), 'fleet')


def make_records(first: int, last: int, term: int = 1) -> tuple[Record, ...]:
    """Return records with distinct content."""
    return tuple(
        Record(index, term, KeyWithdrawn(f'k{index}', f'id{term}'))
        for index in range(first, last + 1)
    )


def make_snapshot(index: int, term: int = 1) -> Snapshot:
    """Return a snapshot."""
    return Snapshot(index, term, MEMBERSHIP, StoredConfiguration(index))


EFFECTS = (
    SaveSnapshot(1, make_snapshot(0, 0), LogBase(), ()),
    SaveVote(2, 3, 'x'),
    AppendRecords(3, make_records(1, 2), 0),
    AppendRecords(4, make_records(3, 5), 2),
    AppendRecords(5, make_records(4, 4, 2), 2),
    SaveSnapshot(6, make_snapshot(3), LogBase(1, 1), make_records(2, 3)),
    AppendRecords(7, make_records(4, 6, 2), 3),
    SaveSnapshot(8, make_snapshot(9, 3), LogBase(9, 3), ()),
    AppendRecords(9, make_records(10, 12, 3), 9),
)


@contextlib.contextmanager
def _full_disk(call: str, number: int) -> Iterator[None]:
    """Refuse writes after a part of the first one, and other calls.

    Parameters
    ----------
    call
        Call that is refused beside writes.
    number
        Bytes of the first write that reach the disk.

    """
    original_write = os.write

    def write(file_fd: int, content: bytes) -> int:
        original_write(file_fd, content[:number])
        raise OSError(errno.ENOSPC, 'no space left on the disk')

    refused = OSError(errno.ENOSPC, 'no space left on the disk')
    with (
        mock.patch.object(os, 'write', write),
        mock.patch.object(os, call, side_effect=refused),
    ):
        yield


class StorageTest(testtools.TestCase):
    """Guards against lost or invalid records after a crash."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def load(self) -> Result:
        """Open the folder and load its state like a new process."""
        with open_storage(self.folder) as opened:
            return opened.ok.load()

    def execute(self, *effects: StorageEffect) -> None:
        """Open the folder, load its state and execute effects."""
        with open_storage(self.folder) as opened:
            opened.ok.load()
            for effect in effects:
                self.assertEqual(opened.ok.execute(effect), effect.sync_id)

    def test_restart_after_each_effect(self) -> None:
        expected = StoredState(self.load().ok.disk)
        for effect in EFFECTS:
            self.execute(effect)
            expected = write_disk(expected, effect)
            self.assertEqual(self.load().ok, expected)

    def test_torn_at_every_byte(self) -> None:
        self.execute(*EFFECTS[:3])
        before = self.load().ok
        log = self.folder / 'log'
        start = log.stat().st_size
        self.execute(EFFECTS[3])
        whole = log.read_bytes()
        for length in range(start, len(whole)):
            log.write_bytes(whole[:length])
            self.assertEqual(self.load().ok, before)
            self.assertEqual(log.stat().st_size, start)
            log.write_bytes(whole[:length] + bytes(len(whole) - length))
            if whole[length:].strip(b'\0'):
                self.assertEqual(self.load().ok, before)

    def test_damage_at_every_byte_before_the_end(self) -> None:
        self.execute(*EFFECTS[:4])
        log = self.folder / 'log'
        whole = log.read_bytes()
        self.execute(EFFECTS[4])
        full = log.read_bytes()
        for offset in range(len(whole)):
            damaged = bytearray(full)
            damaged[offset] ^= 0x41
            log.write_bytes(damaged)
            self.assertIsInstance(self.load().error, StorageDamaged)

    @parameterized.expand([('disk',), ('vote',), ('snapshot',)])
    def test_damaged_file(self, name: str) -> None:
        self.execute(*EFFECTS)
        path = self.folder / name
        content = bytearray(path.read_bytes())
        content[-1] ^= 1
        path.write_bytes(content)
        self.assertIsInstance(self.load().error, StorageDamaged)

    def test_missing_disk_id(self) -> None:
        """A new disk id with an old vote would create a second replica."""
        self.execute(*EFFECTS)
        (self.folder / 'disk').unlink()
        self.assertIsInstance(self.load().error, StorageDamaged)

    def test_crash_between_snapshot_and_log(self) -> None:
        self.execute(*EFFECTS[:7])
        old_log = (self.folder / 'log').read_bytes()
        self.execute(EFFECTS[7])
        (self.folder / 'log').write_bytes(old_log)
        state = self.load().ok
        self.assertEqual(state.snapshot, make_snapshot(9, 3))
        self.assertEqual((state.base, state.records), (LogBase(9, 3), ()))
        # The base of the log must survive the next append and restart.
        self.execute(EFFECTS[8])
        self.assertEqual(self.load().ok.records, EFFECTS[8].records)

    @parameterized.expand(
        [
            (f'{call} {number}', call, number)
            for call in ('write', 'ftruncate', 'fsync', 'rename')
            for number in range(3)
        ]
    )
    def test_refused_writes(self, _: str, call: str, number: int) -> None:
        """Guards against a part of a refused batch that stays in the log,
        where it hides the records that follow it.
        """
        expected = StoredState(self.load().ok.disk)
        with open_storage(self.folder) as opened:
            opened.ok.load()
            for effect in EFFECTS:
                with (
                    _full_disk(call, number),
                    contextlib.suppress(OSError),
                ):
                    opened.ok.execute(effect)
                opened.ok.execute(effect)
                expected = write_disk(expected, effect)
        self.assertEqual(self.load().ok, expected)

    def test_two_processes(self) -> None:
        with open_storage(self.folder), open_storage(self.folder) as second:
            self.assertIsInstance(second.error, FolderInUse)
