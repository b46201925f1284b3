"""Results of checks, and checks that apply to every fleet."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from typing import Any, Final

import attrs
from build_processes import (
    Answer,
    Fleet,
    PreconditionError,
    Vm,
    format_json,
    send_raw_message,
    send_request,
)

UNDECODABLE_COUNTER: Final = 'peers.undecodable'
REJECTED_COUNTERS: Final = (UNDECODABLE_COUNTER, 'peers.unknown_address')
SENT_COUNTER: Final = 'peers.messages_sent'
# Not a valid message in any build.
UNDECODABLE_BYTES: Final = b'no message\nof any build\n'
# Members of answers that differ between runs of one build, and the title of a
# refusal, which is text that may be reworded.
VOLATILE_MEMBERS: Final = frozenset(
    ('title', 'incarnation', 'heard_s_ago', 'disk', 'confirmed', 'unconfirmed')
)


@attrs.define
class Report:
    """Prints the result of each check and counts those that failed."""

    failed: int = 0

    def record(
        self, check: str, builds: str, passed: bool, details: object
    ) -> None:
        """Print the result of one check and count it if it failed."""
        self.failed += not passed
        result = 'ok' if passed else 'FAILED'
        text = details if isinstance(details, str) else format_json(details)
        print(f'{check} | {builds} | {result} | {text}', flush=True)


def remove_volatile(document: Any) -> Any:
    """Return a document without the volatile members."""
    if isinstance(document, dict):
        return {
            name: remove_volatile(part)
            for name, part in document.items()
            if name not in VOLATILE_MEMBERS
        }
    return (
        [remove_volatile(each) for each in document]
        if isinstance(document, list)
        else document
    )


def describe_structure(document: Any) -> Any:
    """Return the member names and value types of a document."""
    if isinstance(document, dict):
        return {
            name: describe_structure(part) for name, part in document.items()
        }
    if isinstance(document, list):
        return describe_structure(document[0]) if document else []
    return (
        type(document).__name__
        if isinstance(document, str | bool)
        else 'number'
    )


def extract_comparable(answer: Answer) -> list[object]:
    """Return the parts of an answer that two builds must agree on."""
    return [answer.status, remove_volatile(answer.document) or answer.text]


def extract_comparable_withdrawal(answer: Answer) -> list[object]:
    """Return the same without the version, which depends on the time."""
    status, document = extract_comparable(answer)
    if isinstance(document, dict):
        document.pop('version', None)
    return [status, document]


def format_statuses(answer: Any) -> str:
    """Return an answer as JSON; if several, the count of each status."""
    if isinstance(answer, dict) and len(answer) > 2:
        answers = [each for each in answer.values() if isinstance(each, list)]
        return format_json(
            Counter(str(each[0]) for each in answers) or [*answer]
        )
    return format_json(answer)


def check_shutdown(
    report: Report, phase: str, builds: str, fleet: Fleet
) -> None:
    """Stop a fleet; check its exit codes and outputs."""
    codes = fleet.stop()
    report.record(
        f'{phase}: exit codes after SIGTERM',
        builds,
        not any(codes.values()),
        codes,
    )
    error_lines = fleet.find_error_lines()
    report.record(
        f'{phase}: exceptions and errors in outputs',
        builds,
        not error_lines,
        f'{len(error_lines)} in {len(fleet.ended)} files '
        f'{error_lines[:3] or ""}',
    )


def check_message_counters(
    report: Report, phase: str, builds: str, fleet: Fleet
) -> None:
    """Check that no VM rejected a message from a peer."""
    rejected: dict[str, int] = {}
    sent: list[int] = []
    for vm in fleet.alive:
        counts = send_request('GET', f'{vm.admin}/v1/counters').document or {}
        sent.append(counts.get(SENT_COUNTER, 0))
        for name in REJECTED_COUNTERS:
            if counts.get(name, 0):
                rejected[f'{vm.name} {name}'] = counts[name]
    details = (
        f'{sum(sent)} messages sent by {len(sent)} VMs, rejected: {rejected}'
    )
    report.record(
        f'{phase}: {" and ".join(REJECTED_COUNTERS)} are 0',
        builds,
        not rejected and all(sent),
        details,
    )


def check_undecodable_counting(
    report: Report, builds: str, fleet: Fleet
) -> None:
    """Check that an undecodable message increments its counter."""
    counted: dict[str, int] = {}
    for vm in fleet.alive:
        before = count_undecodable(vm)
        send_raw_message(vm.peers, UNDECODABLE_BYTES)
        give_up_at = time.monotonic() + 2
        while count_undecodable(vm) == before and time.monotonic() < give_up_at:
            time.sleep(0.05)
        counted[vm.name] = count_undecodable(vm) - before
    report.record(
        'an undecodable message sent on purpose is counted once',
        builds,
        all(count == 1 for count in counted.values()),
        counted,
    )


def count_undecodable(vm: Vm) -> int:
    """Return the number of undecodable messages received by a VM."""
    counts = send_request('GET', f'{vm.admin}/v1/counters').document or {}
    return int(counts.get(UNDECODABLE_COUNTER, 0))


def run_step(
    report: Report, step_name: str, label: str, step: Callable[[], None]
) -> None:
    """Run a step; an expected exception is recorded as a failed check."""
    try:
        step()
    except (
        PreconditionError,
        LookupError,
        TypeError,
        AttributeError,
        OSError,
    ) as error:
        # Errors other than PreconditionError come from answers with another
        # structure, or from a VM that has ended.
        report.record(
            f'{step_name}: stopped by an error', label, False, repr(error)
        )
