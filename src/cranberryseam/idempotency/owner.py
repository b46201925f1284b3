"""Owner side of idempotency: claims of the groups that this VM leads."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

import attrs
import msgspec

from ..core.effects import SendMessage
from .messages import (
    ClaimAnswered,
    ClaimAsked,
    ClaimFinished,
    FinishStored,
    RecordConfirmed,
    RecordStored,
)
from .pushing import RecordPusher
from .reading import MajorityReader
from .records import (
    RECORD_OVERHEAD_BYTES,
    Record,
    State,
    Verdict,
    WireAnswer,
    count_answer_bytes,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..types import Output, VmId
    from .replica import Replica
    from .table import Entry

# After this time a granted claim without an outcome counts as unknown.
PENDING_LIMIT_S = 60.0
_MAX_PENDING_WRITES = 2000
_MAX_WAITING_PER_KEY = 32
_MAX_WAITED_KEYS = 2000
_READ_TIMEOUT_S = 1.0
_RESEND_S = 0.2

RecordKey = tuple[str, str]

_FINAL_VERDICTS = MappingProxyType(
    {
        State.answered: Verdict.answered,
        State.ran: Verdict.ran,
        State.unknown: Verdict.unknown,
    }
)


@attrs.frozen
class Claimant:
    """Identity of a claim of an entry VM."""

    vm: VmId
    run: int
    number: int


@attrs.define
class PendingWrite:
    """A record that a majority has not confirmed yet."""

    record: Record
    holder: Claimant
    sent_at: float


class ClaimOwner:
    """Claims of one group during one term of this VM as its leader."""

    def __init__(
        self,
        group: str,
        term: int,
        replica: Replica,
        others: Sequence[VmId],
        leading_since: float,
    ) -> None:
        """Start without records; a majority must be read first."""
        self._leading_since = leading_since
        self.term = term
        self.reader = MajorityReader(group, term, replica, others)
        self.pusher = RecordPusher(group, term, replica.table, others)
        self._group = group
        self._replica = replica
        self._others = others
        self._change = 0
        self._pending_writes: dict[RecordKey, PendingWrite] = {}
        self._waiting: dict[RecordKey, list[Claimant]] = {}

    def answer_claim(
        self, sender: VmId, request: ClaimAsked, at: float
    ) -> list[Output]:
        """Grant, refuse or join a claim."""
        claimant = Claimant(sender, request.run, request.number)
        if not self.reader.ready:
            # A new leader is normally ready after one round trip, and the
            # entry VM resends the claim. It is refused only if reading takes
            # much longer.
            timed_out = at >= self._leading_since + _READ_TIMEOUT_S
            return [_answer(claimant, Verdict.unavailable)] if timed_out else []
        if len(self._pending_writes) >= _MAX_PENDING_WRITES:
            return [_answer(claimant, Verdict.unavailable)]
        table = self._replica.table
        if table.find(request.account, '', at) is not None:
            # The recent records of the account are in another region.
            return [_answer(claimant, Verdict.unavailable)]
        entry = table.find(request.account, request.key, at)
        if entry is not None and entry.record.state != State.released:
            return self._answer_known(entry, claimant, request, at)
        if not self._has_room(entry, request):
            return [_answer(claimant, Verdict.table_full)]
        record = self._with_next_version(
            Record(
                request.account,
                request.key,
                request.fingerprint,
                sender,
                request.run,
                request.number,
                int(State.pending),
                0,
                0,
            )
        )
        return self._store(record, claimant, at)

    def refuse_claim(self, sender: VmId, request: ClaimAsked) -> list[Output]:
        """Refuse a claim of an account whose home is another region."""
        claimant = Claimant(sender, request.run, request.number)
        return [_answer(claimant, Verdict.unavailable)]

    def finish_claim(
        self, sender: VmId, outcome: ClaimFinished, at: float
    ) -> list[Output]:
        """Store the outcome of a claim."""
        if not self.reader.ready:
            return []
        claimant = Claimant(sender, outcome.run, outcome.number)
        outcome_stored = FinishStored(outcome.run, outcome.number)
        record_key = (outcome.account, outcome.key)
        entry = self._replica.table.find(outcome.account, outcome.key, at)
        if entry is None or not entry.record.held_by(
            sender, outcome.run, outcome.number
        ):
            self._remove_waiting(record_key, claimant)
            return [SendMessage(sender, outcome_stored)]
        open_states = {State.pending, State.unknown} - {outcome.state}
        if entry.record.state not in open_states:
            is_confirmed = record_key not in self._pending_writes
            return [SendMessage(sender, outcome_stored)] if is_confirmed else []
        record = self._with_next_version(
            self._apply_outcome(entry.record, outcome.state, outcome.answer)
        )
        return self._store(record, claimant, at)

    def receive_confirmation(
        self, confirmation: RecordConfirmed, at: float
    ) -> list[Output]:
        """Answer the claims that waited for a record to be stored."""
        for record_key, write in self._pending_writes.items():
            if write.record.change == confirmation.change:
                self._pending_writes.pop(record_key)
                return self._report_stored(record_key, write, at)
        return []

    def check(self, at: float) -> list[Output]:
        """Resend unconfirmed records; continue reading or pushing."""
        if not self.reader.ready:
            return self.reader.request_pages()
        outputs = self.pusher.push_due(at)
        for write in self._pending_writes.values():
            if at >= write.sent_at + _RESEND_S:
                write.sent_at = at
                outputs.extend(self._replicate(write.record))
        return outputs

    def _answer_known(
        self, entry: Entry, claimant: Claimant, request: ClaimAsked, at: float
    ) -> list[Output]:
        record = entry.record
        record_key = (record.account, record.key)
        if record.fingerprint != request.fingerprint:
            return [_answer(claimant, Verdict.key_reused)]
        state = State(record.state)
        held = record.held_by(claimant.vm, claimant.run, claimant.number)
        if record_key in self._pending_writes:
            return [] if held else self._join(record_key, claimant)
        verdict = _FINAL_VERDICTS.get(state)
        if verdict is not None:
            return [_answer(claimant, verdict, record.answer)]
        if held:
            return [_answer(claimant, Verdict.granted)]
        if at >= entry.changed_at + PENDING_LIMIT_S:
            return [_answer(claimant, Verdict.unknown)]
        return self._join(record_key, claimant)

    def _join(self, record_key: RecordKey, claimant: Claimant) -> list[Output]:
        waiting = self._waiting.get(record_key, [])
        if claimant not in waiting:
            is_full = len(self._waiting) >= _MAX_WAITED_KEYS
            if is_full or len(waiting) >= _MAX_WAITING_PER_KEY:
                return [_answer(claimant, Verdict.in_progress)]
            self._waiting[record_key] = [*waiting, claimant]
        return [_answer(claimant, Verdict.joined)]

    def _remove_waiting(
        self, record_key: RecordKey, claimant: Claimant
    ) -> None:
        """Remove a waiting claim that its entry VM has withdrawn."""
        waiting = self._waiting.pop(record_key, [])
        remaining = [other for other in waiting if other != claimant]
        if remaining:
            self._waiting[record_key] = remaining

    def _apply_outcome(
        self, record: Record, state: int, answer: WireAnswer | None
    ) -> Record:
        """Return the record with an outcome, without an answer too large."""
        size_bytes = count_answer_bytes(answer)
        if answer is not None and not self._replica.table.has_room(
            record.account, size_bytes
        ):
            state, answer = int(State.ran), None
        return msgspec.structs.replace(record, state=state, answer=answer)

    def _has_room(self, entry: Entry | None, request: ClaimAsked) -> bool:
        if entry is not None:
            return True
        size_bytes = RECORD_OVERHEAD_BYTES + len(request.key)
        return self._replica.table.has_room(request.account, size_bytes)

    def _with_next_version(self, record: Record) -> Record:
        self._change += 1
        return msgspec.structs.replace(
            record, term=self.term, change=self._change
        )

    def _store(
        self, record: Record, holder: Claimant, at: float
    ) -> list[Output]:
        """Store a record here and send it to the other members."""
        if not self._replica.table.merge(record, at):
            # A later version is stored, which requires a clock that went
            # backwards while all three members restarted.
            return [_answer(holder, Verdict.unavailable)]
        record_key = (record.account, record.key)
        self._pending_writes[record_key] = PendingWrite(record, holder, at)
        return self._replicate(record)

    def _replicate(self, record: Record) -> list[Output]:
        message = RecordStored(self._group, self.term, record)
        return [SendMessage(vm, message) for vm in self._others]

    def _report_stored(
        self, record_key: RecordKey, write: PendingWrite, at: float
    ) -> list[Output]:
        """Answer the holder and, after an outcome, the waiting claims."""
        holder = write.holder
        if write.record.state == State.pending:
            return [_answer(holder, Verdict.granted)]
        outcome_stored = FinishStored(holder.run, holder.number)
        outputs: list[Output] = [SendMessage(holder.vm, outcome_stored)]
        waiting = self._waiting.pop(record_key, [])
        if write.record.state == State.released:
            return [*outputs, *self._grant_to_next(write.record, waiting, at)]
        verdict = _FINAL_VERDICTS[State(write.record.state)]
        outputs.extend(
            _answer(claimant, verdict, write.record.answer)
            for claimant in waiting
        )
        return outputs

    def _grant_to_next(
        self, released: Record, waiting: list[Claimant], at: float
    ) -> list[Output]:
        """Grant a released key to the first waiting claim."""
        if not waiting:
            return []
        first, *rest = waiting
        if rest:
            self._waiting[released.account, released.key] = rest
        record = self._with_next_version(
            msgspec.structs.replace(
                released,
                vm=first.vm,
                run=first.run,
                number=first.number,
                state=int(State.pending),
            )
        )
        return self._store(record, first, at)


def _answer(
    claimant: Claimant, verdict: Verdict, answer: WireAnswer | None = None
) -> Output:
    return SendMessage(
        claimant.vm,
        ClaimAnswered(claimant.run, claimant.number, int(verdict), answer),
    )


__all__ = ('ClaimOwner',)
