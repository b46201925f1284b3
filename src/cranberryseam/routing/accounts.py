"""Detection of accounts whose own requests cause failures at targets."""

from __future__ import annotations

import attrs

_MIN_FAILURES = 4.0
_MIN_TARGETS = 3
_MIN_FAILURE_RATE = 0.3
_MIN_RATE_RATIO = 3.0
_MIN_OTHER_ATTEMPTS = 8.0
_MAX_ACCOUNTS = 2048
_TARGET_BITS = 64
_DECAY_FACTOR = 0.5


@attrs.define(eq=False)
class _AccountRecord:
    attempts: float = 0
    failed: float = 0
    target_bits: int = 0


class AccountEvidence:
    """Recent outcomes of each account at one service.

    If the requests of one account fail at several targets while requests of
    other accounts succeed there, the account is the cause, and its outcomes
    are not counted as evidence about targets.
    """

    def __init__(self) -> None:
        """Create an empty record."""
        self._records: dict[str, _AccountRecord] = {}
        self._attempts: float = 0
        self._failed: float = 0

    def add_outcome(self, account: str, target_hash: int, failed: bool) -> bool:
        """Count an outcome; return whether it is evidence about the target."""
        record = self._records.get(account)
        if record is None:
            if len(self._records) >= _MAX_ACCOUNTS:
                self._records.clear()
            record = _AccountRecord()
            self._records[account] = record
        record.attempts += 1
        self._attempts += 1
        if failed:
            record.failed += 1
            self._failed += 1
            record.target_bits |= 1 << target_hash % _TARGET_BITS
        return not self._is_faulty(record)

    def decay(self) -> None:
        """Halve all counts; called at a fixed interval."""
        self._attempts *= _DECAY_FACTOR
        self._failed *= _DECAY_FACTOR
        for name in tuple(self._records):
            record = self._records[name]
            record.attempts *= _DECAY_FACTOR
            record.failed *= _DECAY_FACTOR
            if record.failed < 1:
                record.target_bits = 0
            if record.attempts < _DECAY_FACTOR:
                self._records.pop(name)

    def _is_faulty(self, record: _AccountRecord) -> bool:
        if record.failed < _MIN_FAILURES:
            return False
        if record.target_bits.bit_count() < _MIN_TARGETS:
            return False
        failure_rate = record.failed / record.attempts
        if failure_rate < _MIN_FAILURE_RATE:
            return False
        other_attempts = self._attempts - record.attempts
        if other_attempts < _MIN_OTHER_ATTEMPTS:
            return True
        others_failure_rate = (self._failed - record.failed) / other_attempts
        return failure_rate > _MIN_RATE_RATIO * others_failure_rate


__all__ = ('AccountEvidence',)
