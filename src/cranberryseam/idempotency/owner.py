"""Claims of the groups that this VM leads."""

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

# A claim that was granted longer ago without an outcome counts as unknown.
PENDING_LIMIT_S = 60.0
_MOST_FLIGHTS = 2000
_MOST_WAITING = 32
_MOST_WAITED_KEYS = 2000
_READING_S = 1.0
_RESEND_S = 0.2

Name = tuple[str, str]

_FINAL_VERDICTS = MappingProxyType(
    {
        State.answered: Verdict.answered,
        State.ran: Verdict.ran,
        State.unknown: Verdict.unknown,
    }
)


@attrs.frozen
class Claimant:
    """One claim of one entry VM."""

    vm: VmId
    run: int
    number: int


@attrs.define
class Flight:
    """A change that a majority hasn't confirmed yet."""

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
        since: float,
    ) -> None:
        """Start by reading the records of a majority."""
        self._since = since
        self.term = term
        self.reader = MajorityReader(group, term, replica, others)
        self.pusher = RecordPusher(group, term, replica.table, others)
        self._group = group
        self._replica = replica
        self._others = others
        self._change = 0
        self._flights: dict[Name, Flight] = {}
        self._waiting: dict[Name, list[Claimant]] = {}

    def answer_claim(
        self, sender: VmId, asked: ClaimAsked, at: float
    ) -> list[Output]:
        """Grant, refuse or join a claim."""
        claimant = Claimant(sender, asked.run, asked.number)
        if not self.reader.ready:
            # A new leader is ready after one round trip; the entry VM asks
            # again. Only a lasting lack of records is worth an answer.
            lasting = at >= self._since + _READING_S
            return [_answer(claimant, Verdict.unavailable)] if lasting else []
        if len(self._flights) >= _MOST_FLIGHTS:
            return [_answer(claimant, Verdict.unavailable)]
        table = self._replica.table
        if table.find(asked.account, '', at) is not None:
            # Its records of the last minutes are in another region.
            return [_answer(claimant, Verdict.unavailable)]
        entry = table.find(asked.account, asked.key, at)
        if entry is not None and entry.record.state != State.released:
            return self._answer_known(entry, claimant, asked, at)
        if not self._has_room(entry, asked):
            return [_answer(claimant, Verdict.table_full)]
        record = self._version(
            Record(
                asked.account,
                asked.key,
                asked.fingerprint,
                sender,
                asked.run,
                asked.number,
                int(State.pending),
                0,
                0,
            )
        )
        return self._store(record, claimant, at)

    def refuse_claim(self, sender: VmId, asked: ClaimAsked) -> list[Output]:
        """Refuse a claim of an account that has another home."""
        claimant = Claimant(sender, asked.run, asked.number)
        return [_answer(claimant, Verdict.unavailable)]

    def finish_claim(
        self, sender: VmId, finished: ClaimFinished, at: float
    ) -> list[Output]:
        """Store the outcome of a claim."""
        if not self.reader.ready:
            return []
        claimant = Claimant(sender, finished.run, finished.number)
        stored = FinishStored(finished.run, finished.number)
        name = (finished.account, finished.key)
        entry = self._replica.table.find(finished.account, finished.key, at)
        if entry is None or not entry.record.held_by(
            sender, finished.run, finished.number
        ):
            self._leave(name, claimant)
            return [SendMessage(sender, stored)]
        open_states = {State.pending, State.unknown} - {finished.state}
        if entry.record.state not in open_states:
            confirmed = name not in self._flights
            return [SendMessage(sender, stored)] if confirmed else []
        record = self._version(
            self._apply_outcome(entry.record, finished.state, finished.answer)
        )
        return self._store(record, claimant, at)

    def take_confirmation(
        self, confirmed: RecordConfirmed, at: float
    ) -> list[Output]:
        """Answer the claims that waited for this change to be stored."""
        for name, flight in self._flights.items():
            if flight.record.change == confirmed.change:
                self._flights.pop(name)
                return self._announce(name, flight, at)
        return []

    def check(self, at: float) -> list[Output]:
        """Repeat what wasn't confirmed; go on reading or pushing."""
        if not self.reader.ready:
            return self.reader.ask_all()
        outputs = self.pusher.push_due(at)
        for flight in self._flights.values():
            if at >= flight.sent_at + _RESEND_S:
                flight.sent_at = at
                outputs.extend(self._replicate(flight.record))
        return outputs

    def _answer_known(
        self, entry: Entry, claimant: Claimant, asked: ClaimAsked, at: float
    ) -> list[Output]:
        record = entry.record
        name = (record.account, record.key)
        if record.fingerprint != asked.fingerprint:
            return [_answer(claimant, Verdict.key_reused)]
        state = State(record.state)
        held = record.held_by(claimant.vm, claimant.run, claimant.number)
        if name in self._flights:
            return [] if held else self._join(name, claimant)
        verdict = _FINAL_VERDICTS.get(state)
        if verdict is not None:
            return [_answer(claimant, verdict, record.answer)]
        if held:
            return [_answer(claimant, Verdict.granted)]
        if at >= entry.changed_at + PENDING_LIMIT_S:
            return [_answer(claimant, Verdict.unknown)]
        return self._join(name, claimant)

    def _join(self, name: Name, claimant: Claimant) -> list[Output]:
        waiting = self._waiting.get(name, [])
        if claimant not in waiting:
            crowded = len(self._waiting) >= _MOST_WAITED_KEYS
            if crowded or len(waiting) >= _MOST_WAITING:
                return [_answer(claimant, Verdict.in_progress)]
            self._waiting[name] = [*waiting, claimant]
        return [_answer(claimant, Verdict.joined)]

    def _leave(self, name: Name, claimant: Claimant) -> None:
        """Forget a claim that its entry VM has withdrawn."""
        waiting = self._waiting.pop(name, [])
        remaining = [other for other in waiting if other != claimant]
        if remaining:
            self._waiting[name] = remaining

    def _apply_outcome(
        self, record: Record, state: int, answer: WireAnswer | None
    ) -> Record:
        """Return the record with an outcome; large answers aren't kept."""
        size_bytes = count_answer_bytes(answer)
        if answer is not None and not self._replica.table.has_room(
            record.account, size_bytes
        ):
            state, answer = int(State.ran), None
        return msgspec.structs.replace(record, state=state, answer=answer)

    def _has_room(self, entry: Entry | None, asked: ClaimAsked) -> bool:
        if entry is not None:
            return True
        size_bytes = RECORD_OVERHEAD_BYTES + len(asked.key)
        return self._replica.table.has_room(asked.account, size_bytes)

    def _version(self, record: Record) -> Record:
        self._change += 1
        return msgspec.structs.replace(
            record, term=self.term, change=self._change
        )

    def _store(
        self, record: Record, holder: Claimant, at: float
    ) -> list[Output]:
        """Store a change here and send it to the other members."""
        if not self._replica.table.merge(record, at):
            # A later version is here; only a clock that went backwards while
            # all three members restarted leads to that.
            return [_answer(holder, Verdict.unavailable)]
        name = (record.account, record.key)
        self._flights[name] = Flight(record, holder, at)
        return self._replicate(record)

    def _replicate(self, record: Record) -> list[Output]:
        message = RecordStored(self._group, self.term, record)
        return [SendMessage(vm, message) for vm in self._others]

    def _announce(self, name: Name, flight: Flight, at: float) -> list[Output]:
        """Tell the holder, and on an outcome all who wait for it."""
        holder = flight.holder
        if flight.record.state == State.pending:
            return [_answer(holder, Verdict.granted)]
        stored = FinishStored(holder.run, holder.number)
        outputs: list[Output] = [SendMessage(holder.vm, stored)]
        waiting = self._waiting.pop(name, [])
        if flight.record.state == State.released:
            return [*outputs, *self._grant_next(flight.record, waiting, at)]
        verdict = _FINAL_VERDICTS[State(flight.record.state)]
        outputs.extend(
            _answer(claimant, verdict, flight.record.answer)
            for claimant in waiting
        )
        return outputs

    def _grant_next(
        self, released: Record, waiting: list[Claimant], at: float
    ) -> list[Output]:
        """Grant a released key to the first that waits for it."""
        if not waiting:
            return []
        first, *rest = waiting
        if rest:
            self._waiting[released.account, released.key] = rest
        record = self._version(
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
