"""Files of a control replica.

The folder holds ``disk`` (id), ``vote`` (term and vote), ``snapshot``,
``log`` (records after a base) and ``lock``. All but the log are replaced
whole; the log is appended to, and replaced after a snapshot.
"""

from __future__ import annotations

import fcntl
import os
import secrets
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TypeVar

import attrs
import msgspec
from expression import Error, Ok, Result

from ..core.effects import Effect
from ..core.errors import Failure
from .effects import AppendRecords, SaveSnapshot, SaveVote, StorageEffect
from .frames import encode_frame, read_frames
from .records import LogBase, Record, Snapshot, StoredState

_Content = TypeVar('_Content')
_LOG = 'log'
_DISK_ID_BYTES = 8
# Only the account of the daemon reads keys and plans.
_FILE_MODE = 0o600


@attrs.frozen
class StorageDamaged(Failure):
    """A file can't be used; the replica must not start from it."""

    path: str
    offset: int
    detail: str


@attrs.frozen
class FolderInUse(Failure):
    """Another process has the data folder open."""

    folder: str


class _Batch(msgspec.Struct, frozen=True, array_like=True):
    """Content of one frame; the first one of a file only has the base."""

    commit: int
    base: LogBase | None = None
    records: tuple[Record, ...] = ()


class _Vote(msgspec.Struct, frozen=True, array_like=True):
    term: int = 0
    voted_for: str = ''


class _Disk(msgspec.Struct, frozen=True, array_like=True):
    disk: str


class Storage:
    """Reads and writes the files of one folder.

    Parameters
    ----------
    folder
        Exists and is locked by this process.

    """

    def __init__(self, folder: Path) -> None:
        """Open the folder so that renames in it can be synced."""
        self._folder = folder
        self._folder_fd = os.open(folder, os.O_RDONLY)
        self._log_fd = -1

    def close(self) -> None:
        """Close the files."""
        os.close(self._folder_fd)
        if self._log_fd >= 0:
            os.close(self._log_fd)
            self._log_fd = -1

    def load(self) -> Result[StoredState, Failure]:
        """Return what the disk holds, after cutting off a torn batch."""
        try:
            return Ok(self._load())
        except _DamagedError as error:
            return Error(error.failure)

    def execute(self, effect: Effect) -> int | None:
        """Write the effect to disk.

        Returns
        -------
        The sync id once it's synced; None if it is no storage effect.

        """
        match effect:
            case AppendRecords(records=records, commit=commit):
                self._append(_Batch(commit, None, records))
            case SaveVote(term=term, voted_for=voted_for):
                self._replace('vote', _encode(_Vote(term, voted_for)))
            case SaveSnapshot():
                self._save_snapshot(effect)
        if isinstance(effect, StorageEffect):
            return effect.sync_id
        return None

    def _load(self) -> StoredState:
        disk = self._read('disk', _Disk)
        if disk is None:
            disk = self._create_disk()
        vote = self._read('vote', _Vote) or _Vote()
        snapshot = self._read('snapshot', Snapshot)
        batches = self._read_log()
        base, records = _join_batches(batches)
        last = snapshot.index if snapshot else 0
        if base.index > last:
            raise _DamagedError(
                StorageDamaged(
                    str(self._folder / _LOG),
                    0,
                    f'starts after {base.index}, snapshot ends at {last}',
                )
            )
        if snapshot and _term_at(base, records, last) != snapshot.term:
            # The crash came between writing a received snapshot and its log.
            base = LogBase(snapshot.index, snapshot.term)
            records = ()
            self._replace(_LOG, _encode(_Batch(last, base)))
            self._open_log()
        commit = max((batch.commit for batch in batches), default=0)
        return StoredState(
            disk.disk,
            vote.term,
            vote.voted_for,
            max(commit, last),
            snapshot,
            base,
            records,
        )

    def _create_disk(self) -> _Disk:
        others = [self._folder / name for name in ('vote', 'snapshot', _LOG)]
        for path in others:
            if path.exists():
                raise _DamagedError(
                    StorageDamaged(str(path), 0, 'has no disk id beside it')
                )
        disk = _Disk(secrets.token_hex(_DISK_ID_BYTES))
        self._replace('disk', _encode(disk))
        return disk

    def _read_log(self) -> list[_Batch]:
        path = self._folder / _LOG
        if not path.exists():
            self._replace(_LOG, _encode(_Batch(0, LogBase())))
        frames = read_frames(path.read_bytes())
        if frames.damaged_at is not None or not frames.payloads:
            raise _DamagedError(
                StorageDamaged(
                    str(path),
                    frames.damaged_at or 0,
                    'broken batch, expected a checksum that matches',
                )
            )
        self._open_log()
        os.ftruncate(self._log_fd, frames.whole_bytes)
        os.fsync(self._log_fd)
        return [_decode(content, _Batch, path) for content in frames.payloads]

    def _open_log(self) -> None:
        if self._log_fd >= 0:
            os.close(self._log_fd)
        self._log_fd = os.open(self._folder / _LOG, os.O_WRONLY | os.O_APPEND)

    def _append(self, batch: _Batch) -> None:
        whole_bytes = os.fstat(self._log_fd).st_size
        try:
            _write_all(self._log_fd, _encode(batch))
            os.fsync(self._log_fd)
        except OSError:
            # A part of the batch would stand before its next try.
            os.ftruncate(self._log_fd, whole_bytes)
            raise

    def _save_snapshot(self, effect: SaveSnapshot) -> None:
        self._replace('snapshot', _encode(effect.snapshot))
        commit = effect.snapshot.index
        frames = _encode(_Batch(commit, effect.base))
        if effect.records:
            frames += _encode(_Batch(commit, None, effect.records))
        self._replace(_LOG, frames)
        self._open_log()

    def _read(self, name: str, kind: type[_Content]) -> _Content | None:
        path = self._folder / name
        if not path.exists():
            return None
        frames = read_frames(path.read_bytes())
        if len(frames.payloads) != 1:
            raise _DamagedError(
                StorageDamaged(str(path), 0, 'expected one whole frame')
            )
        return _decode(frames.payloads[0], kind, path)

    def _replace(self, name: str, content: bytes) -> None:
        temporary = self._folder / f'{name}.new'
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
        with _open_file(temporary, flags) as temporary_fd:
            _write_all(temporary_fd, content)
            os.fsync(temporary_fd)
        temporary.rename(self._folder / name)
        os.fsync(self._folder_fd)


@contextmanager
def open_storage(folder: str | Path) -> Iterator[Result[Storage, Failure]]:
    """Lock a data folder and yield its storage.

    Yields
    ------
    The storage, or ``FolderInUse``; the folder is created if it's missing.

    """
    path = Path(folder)
    path.mkdir(parents=True, exist_ok=True)
    flags = os.O_RDWR | os.O_CREAT
    with _open_file(path / 'lock', flags) as lock_fd:
        if not _lock(lock_fd):
            yield Error(FolderInUse(str(path)))
            return
        storage = Storage(path)
        try:  # noqa: WPS501 - a generator context manager needs finally
            yield Ok(storage)
        finally:
            storage.close()


def _lock(lock_fd: int) -> bool:
    try:
        fcntl.flock(lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    return True


class _DamagedError(Exception):
    """Carries a failure out of the reading functions of this module."""

    def __init__(self, failure: StorageDamaged) -> None:
        super().__init__(failure)
        self.failure = failure


@contextmanager
def _open_file(path: Path, flags: int) -> Iterator[int]:
    file_fd = os.open(path, flags, _FILE_MODE)
    try:  # noqa: WPS501 - a generator context manager needs finally
        yield file_fd
    finally:
        os.close(file_fd)


def _encode(content: msgspec.Struct) -> bytes:
    return encode_frame(msgspec.msgpack.encode(content))


def _decode(content: bytes, kind: type[_Content], path: Path) -> _Content:
    try:
        return msgspec.msgpack.decode(content, type=kind)
    except msgspec.MsgspecError as error:
        raise _DamagedError(StorageDamaged(str(path), 0, str(error))) from error


def _write_all(file_fd: int, content: bytes) -> None:
    written = 0
    while written < len(content):
        written += os.write(file_fd, content[written:])


def _join_batches(
    batches: list[_Batch],
) -> tuple[LogBase, tuple[Record, ...]]:
    base = batches[0].base or LogBase()
    records: list[Record] = []
    for batch in batches[1:]:
        if batch.records:
            kept = batch.records[0].index - base.index - 1
            records = records[:kept]
            records.extend(batch.records)
    return base, tuple(records)


def _term_at(
    base: LogBase, records: tuple[Record, ...], index: int
) -> int | None:
    if index == base.index:
        return base.term
    if base.index < index <= base.index + len(records):
        return records[index - base.index - 1].term
    return None


__all__ = ('FolderInUse', 'Storage', 'StorageDamaged', 'open_storage')
