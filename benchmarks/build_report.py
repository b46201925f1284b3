"""Results of checks, and checks that are made of every fleet."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from typing import Any, Final

import attrs
from build_processes import (
    Answer,
    Fleet,
    UnmetError,
    Vm,
    call,
    push_raw,
    show,
)

UNDECODABLE: Final = 'peers.undecodable'
BAD_COUNTERS: Final = (UNDECODABLE, 'peers.unknown_address')
SENT_COUNTER: Final = 'peers.messages_sent'
# Two lines of text, which is no message of any build.
NO_MESSAGE: Final = b'no message\nof any build\n'
# Members of answers that differ between runs of one build, and the title of a
# refusal, which is text for people.
VOLATILE: Final = frozenset(
    ('title', 'incarnation', 'heard_s_ago', 'disk', 'confirmed', 'unconfirmed')
)


@attrs.define
class Report:
    """Prints the result of each check and counts those that failed."""

    failed: int = 0

    def note(self, what: str, builds: str, holds: bool, figure: object) -> None:
        """Print the line of one check."""
        self.failed += not holds
        result = 'ok' if holds else 'FAILED'
        text = figure if isinstance(figure, str) else show(figure)
        print(f'{what} | {builds} | {result} | {text}', flush=True)


def strip(found: Any) -> Any:
    """Return a document without what differs between runs of a build."""
    if isinstance(found, dict):
        return {
            name: strip(part)
            for name, part in found.items()
            if name not in VOLATILE
        }
    return [strip(each) for each in found] if isinstance(found, list) else found


def outline(found: Any) -> Any:
    """Return the names of the members of a document, without their values."""
    if isinstance(found, dict):
        return {name: outline(part) for name, part in found.items()}
    if isinstance(found, list):
        return outline(found[0]) if found else []
    return type(found).__name__ if isinstance(found, str | bool) else 'number'


def tell(answer: Answer) -> list[object]:
    """Return what two builds must have in common in an answer."""
    return [answer.status, strip(answer.document) or answer.text]


def tell_withdrawal(answer: Answer) -> list[object]:
    """Return the same without the version, which is the one at that time."""
    status, document = tell(answer)
    if isinstance(document, dict):
        document.pop('version', None)
    return [status, document]


def summarise(answer: Any) -> str:
    """Return a short text of answers, their statuses if there are several."""
    if isinstance(answer, dict) and len(answer) > 2:
        answers = [each for each in answer.values() if isinstance(each, list)]
        return show(Counter(str(each[0]) for each in answers) or [*answer])
    return show(answer)


def note_end(report: Report, what: str, builds: str, fleet: Fleet) -> None:
    """Stop a fleet and check exit codes and outputs."""
    codes = fleet.stop()
    report.note(
        f'{what}: exit codes after SIGTERM',
        builds,
        not any(codes.values()),
        codes,
    )
    faults = fleet.find_faults()
    report.note(
        f'{what}: exceptions and errors in outputs',
        builds,
        not faults,
        f'{len(faults)} in {len(fleet.ended)} files {faults[:3] or ""}',
    )


def note_counters(report: Report, what: str, builds: str, fleet: Fleet) -> None:
    """Check that no VM got a message that it didn't know."""
    bad: dict[str, int] = {}
    sent: list[int] = []
    for vm in fleet.alive:
        counts = call('GET', f'{vm.admin}/v1/counters').document or {}
        sent.append(counts.get(SENT_COUNTER, 0))
        for name in BAD_COUNTERS:
            if counts.get(name, 0):
                bad[f'{vm.name} {name}'] = counts[name]
    figure = f'{sum(sent)} messages sent by {len(sent)} VMs, bad: {bad}'
    report.note(
        f'{what}: {" and ".join(BAD_COUNTERS)} are 0',
        builds,
        not bad and all(sent),
        figure,
    )


def note_counting(report: Report, builds: str, fleet: Fleet) -> None:
    """Check that the counter of undecodable messages does count."""
    counted: dict[str, int] = {}
    for vm in fleet.alive:
        before = count_undecodable(vm)
        push_raw(vm.peers, NO_MESSAGE)
        give_up_at = time.monotonic() + 2
        while count_undecodable(vm) == before and time.monotonic() < give_up_at:
            time.sleep(0.05)
        counted[vm.name] = count_undecodable(vm) - before
    report.note(
        'an undecodable message on purpose is counted once',
        builds,
        all(count == 1 for count in counted.values()),
        counted,
    )


def count_undecodable(vm: Vm) -> int:
    """Return how many undecodable messages a VM got."""
    counts = call('GET', f'{vm.admin}/v1/counters').document or {}
    return int(counts.get(UNDECODABLE, 0))


def guard(
    report: Report, what: str, label: str, step: Callable[[], None]
) -> None:
    """Run a step; if it breaks off, it has failed and the next one follows."""
    try:
        step()
    except (
        UnmetError,
        LookupError,
        TypeError,
        AttributeError,
        OSError,
    ) as error:
        # Others come from answers of another shape, or a VM that ended.
        report.note(f'{what}: broke off', label, False, repr(error))
