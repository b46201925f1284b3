"""Files of a control replica.

The folder contains ``disk`` (disk id), ``vote`` (term and vote), ``snapshot``,
``log`` (records after a base index) and ``lock``. The disk id, vote and
snapshot are replaced as whole files; the log is appended to, and replaced after
a snapshot.
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
# Keys and plans are readable only by the user that runs the daemon.
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
    """Content of one frame; the first one in a file contains only the base."""

    commit: int
    base: LogBase | None = None
    records: tuple[Record, ...] = ()


class _Vote(msgspec.Struct, frozen=True, array_like=True):
    term: int = 0
    voted_for: str = ''


class _Disk(msgspec.Struct, frozen=True, array_like=True):
    disk: str


class Storage:
    """Reads and writes the files of a data folder.

    Parameters
    ----------
    folder
        Existing folder that this process has locked.

    """

    def __init__(self, folder: Path) -> None:
        """Open the folder so that renames in it can be synced."""
        self._folder = folder
        self._folder_fd = os.open(folder, os.O_RDONLY)
        self._log_fd = -1
        # Length of the log without a batch that was refused halfway.
        self._log_bytes = 0

    def close(self) -> None:
        """Close the files."""
        os.close(self._folder_fd)
        if self._log_fd >= 0:
            os.close(self._log_fd)
            self._log_fd = -1

    def load(self) -> Result[StoredState, Failure]:
        """Return the stored state, after removing an incomplete last batch."""
        try:
            return Ok(self._load())
        except _StorageDamagedError as error:
            return Error(error.failure)

    def execute(self, effect: Effect) -> int | None:
        """Write the effect to disk.

        Returns
        -------
        The sync id once the effect is synced; None for other effects.

        """
        match effect:
            case AppendRecords(records=records, commit=commit):
                self._append(_Batch(commit, None, records))
            case SaveVote(term=term, voted_for=voted_for):
                self._replace_file('vote', _encode(_Vote(term, voted_for)))
            case SaveSnapshot():
                self._save_snapshot(effect)
        if isinstance(effect, StorageEffect):
            return effect.sync_id
        return None

    def _load(self) -> StoredState:
        disk = self._read_file('disk', _Disk)
        if disk is None:
            disk = self._create_disk()
        vote = self._read_file('vote', _Vote) or _Vote()
        snapshot = self._read_file('snapshot', Snapshot)
        batches = self._read_log()
        base, records = _join_batches(batches)
        snapshot_index = snapshot.index if snapshot else 0
        if base.index > snapshot_index:
            raise _StorageDamagedError(
                StorageDamaged(
                    str(self._folder / _LOG),
                    0,
                    f'log starts after index {base.index}, '
                    f'but the snapshot ends at index {snapshot_index}',
                )
            )
        if (
            snapshot
            and _term_at(base, records, snapshot_index) != snapshot.term
        ):
            # The process crashed after writing a received snapshot and before
            # replacing the log.
            base = LogBase(snapshot.index, snapshot.term)
            records = ()
            self._replace_file(_LOG, _encode(_Batch(snapshot_index, base)))
            self._open_log()
        commit = max((batch.commit for batch in batches), default=0)
        return StoredState(
            disk.disk,
            vote.term,
            vote.voted_for,
            max(commit, snapshot_index),
            snapshot,
            base,
            records,
        )

    def _create_disk(self) -> _Disk:
        dependent_files = [
            self._folder / name for name in ('vote', 'snapshot', _LOG)
        ]
        for path in dependent_files:
            if path.exists():
                raise _StorageDamagedError(
                    StorageDamaged(
                        str(path),
                        0,
                        'file exists without a disk id in its folder',
                    )
                )
        disk = _Disk(secrets.token_hex(_DISK_ID_BYTES))
        self._replace_file('disk', _encode(disk))
        return disk

    def _read_log(self) -> list[_Batch]:
        path = self._folder / _LOG
        if not path.exists():
            self._replace_file(_LOG, _encode(_Batch(0, LogBase())))
        frames = read_frames(path.read_bytes())
        if frames.damaged_at is not None or not frames.payloads:
            raise _StorageDamagedError(
                StorageDamaged(
                    str(path),
                    frames.damaged_at or 0,
                    'invalid batch, expected a matching checksum',
                )
            )
        self._open_log()
        os.ftruncate(self._log_fd, frames.valid_bytes)
        os.fsync(self._log_fd)
        self._log_bytes = frames.valid_bytes
        return [_decode(content, _Batch, path) for content in frames.payloads]

    def _open_log(self) -> None:
        if self._log_fd >= 0:
            os.close(self._log_fd)
        self._log_fd = os.open(self._folder / _LOG, os.O_WRONLY | os.O_APPEND)
        self._log_bytes = os.fstat(self._log_fd).st_size

    def _append(self, batch: _Batch) -> None:
        content = _encode(batch)
        if os.fstat(self._log_fd).st_size != self._log_bytes:
            # A part of a batch that was refused; the next one would follow it.
            os.ftruncate(self._log_fd, self._log_bytes)
        _write_all(self._log_fd, content)
        os.fsync(self._log_fd)
        self._log_bytes += len(content)

    def _save_snapshot(self, effect: SaveSnapshot) -> None:
        self._replace_file('snapshot', _encode(effect.snapshot))
        commit = effect.snapshot.index
        frames = _encode(_Batch(commit, effect.base))
        if effect.records:
            frames += _encode(_Batch(commit, None, effect.records))
        self._replace_file(_LOG, frames)
        self._open_log()

    def _read_file(
        self, name: str, struct_type: type[_Content]
    ) -> _Content | None:
        path = self._folder / name
        if not path.exists():
            return None
        frames = read_frames(path.read_bytes())
        if len(frames.payloads) != 1:
            raise _StorageDamagedError(
                StorageDamaged(str(path), 0, 'expected exactly one valid frame')
            )
        return _decode(frames.payloads[0], struct_type, path)

    def _replace_file(self, name: str, content: bytes) -> None:
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

    The folder is created if it doesn't exist.

    Yields
    ------
    The storage, or ``FolderInUse``.

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


class _StorageDamagedError(Exception):
    """Raised in this module to return a ``StorageDamaged`` failure."""

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


def _decode(
    content: bytes, struct_type: type[_Content], path: Path
) -> _Content:
    try:
        return msgspec.msgpack.decode(content, type=struct_type)
    except msgspec.MsgspecError as error:
        raise _StorageDamagedError(
            StorageDamaged(str(path), 0, str(error))
        ) from error


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
            kept_count = batch.records[0].index - base.index - 1
            records = records[:kept_count]
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
