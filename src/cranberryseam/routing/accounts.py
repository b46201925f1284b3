"""Tell failures of an account's requests from failures of targets."""

from __future__ import annotations

import attrs

_LEAST_FAILURES = 4.0
_LEAST_TARGETS = 3
_FAULTY_SHARE = 0.3
_TIMES_OTHERS = 3.0
_LEAST_OTHERS = 8.0
_MOST_ACCOUNTS = 2048
_BITS = 64
_HALVED = 0.5


@attrs.define(eq=False)
class _Record:
    seen: float = 0
    failed: float = 0
    targets: int = 0


class AccountEvidence:
    """Recent outcomes of each account at one service.

    An account whose requests fail at several targets while the requests of
    others succeed there points at itself; its outcomes are then no evidence
    about targets.
    """

    def __init__(self) -> None:
        """Start without evidence."""
        self._records: dict[str, _Record] = {}
        self._seen: float = 0
        self._failed: float = 0

    def count(self, account: str, key: int, failed: bool) -> bool:
        """Count an outcome; return whether it is evidence on the target."""
        record = self._records.get(account)
        if record is None:
            if len(self._records) >= _MOST_ACCOUNTS:
                self._records.clear()
            record = _Record()
            self._records[account] = record
        record.seen += 1
        self._seen += 1
        if failed:
            record.failed += 1
            self._failed += 1
            record.targets |= 1 << key % _BITS
        return not self._is_at_fault(record)

    def decay(self) -> None:
        """Halve everything; called at a fixed period."""
        self._seen *= _HALVED
        self._failed *= _HALVED
        for name in tuple(self._records):
            record = self._records[name]
            record.seen *= _HALVED
            record.failed *= _HALVED
            if record.failed < 1:
                record.targets = 0
            if record.seen < _HALVED:
                self._records.pop(name)

    def _is_at_fault(self, record: _Record) -> bool:
        if record.failed < _LEAST_FAILURES:
            return False
        if record.targets.bit_count() < _LEAST_TARGETS:
            return False
        share = record.failed / record.seen
        if share < _FAULTY_SHARE:
            return False
        others = self._seen - record.seen
        if others < _LEAST_OTHERS:
            return True
        others_share = (self._failed - record.failed) / others
        return share > _TIMES_OTHERS * others_share


__all__ = ('AccountEvidence',)
