"""Simulation of several nodes in one process, in simulated time.

Consists of an event queue, links that lose, duplicate or delay messages, disks
that keep synced data, simulated targets and callers.
"""

from __future__ import annotations

import heapq
import itertools
import random
import tempfile
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any, Final

import attrs

from cranberryseam.assembly import build_codec, build_node
from cranberryseam.configuration.settings import Settings
from cranberryseam.control import Storage, open_storage
from cranberryseam.control.effects import StorageEffect
from cranberryseam.core import commands as cmd
from cranberryseam.core import effects as fx
from cranberryseam.core import events as ev
from cranberryseam.core.node import Node

EventFactory = Callable[[float], ev.Event]
SAME_REGION_DELAY_S: Final = 0.0015
OTHER_REGION_DELAY_S: Final = 0.03
TARGET_DELAY_S: Final = 0.001
SYNC_DELAY_S: Final = 0.002
WALL_S: Final = 1_700_000_000.0
TARGET_KEY: Final = b'target-key'
_NOT_EXECUTED: Final = {'refuse', 'before', 'shed', 'reject'}


@attrs.define(eq=False)
class Call:
    """A request of a caller, its executions and its first final effect."""

    vm: str
    at: float
    account: str
    order: str
    head: ev.RequestHead
    number: int
    process: Process | None
    admitted_at: float | None = None
    executions: int = 0
    final_effect: Any = None
    final_at: float = 0
    final_count: int = 0
    body: str = ''
    cut_at: float | None = None
    answer_complete: bool | None = None

    @property
    def refusal(self) -> Any:
        """Refusal of the request, or None if it was not refused."""
        return getattr(self.final_effect, 'refusal', None)

    @property
    def reason(self) -> str:
        """Reason of the refusal, or empty if the request was not refused."""
        return self.refusal.reason.value if self.refusal else ''


@attrs.define(eq=False)
class Target:
    """A simulated target.

    Parameters
    ----------
    choose_outcome
        Returns the outcome of a request: ``ok``, ``fail`` (500), ``reject``
        (400), ``shed``, ``refuse`` (no connection), ``before``, ``during`` or
        ``after`` (the connection fails before, during or after execution),
        ``stream``, ``broken`` (the answer is truncated), or ``late`` (the
        answer arrives after the connection failed, if the fleet has
        ``late_answers``).
    attempt_times
        Time of each attempt.
    statement
        What its answers say of it.

    """

    name: str
    service: str
    region: str = 'dar'
    work_duration_s: Callable[[], float] = lambda: 0.02
    stream_duration_s: float = 3.0
    choose_outcome: Callable[[Call], str] = lambda _: 'ok'
    state: ev.TargetState = ev.TargetState.ready
    silent: bool = False
    sequence: int = 0
    executions: Counter[str] = attrs.field(factory=Counter)
    attempt_times: list[float] = attrs.field(factory=list)
    statement: ev.TargetStatement = ev.TargetStatement()


@attrs.define(eq=False)
class Process:
    """One run of a process, from its start to its end."""

    name: str
    node: Node
    storage: Storage | None
    stack: ExitStack
    frozen: bool = False
    ready: bool = False
    backlog: list[Callable[[], None]] = attrs.field(factory=list)
    timers: dict[tuple[str, str], int] = attrs.field(factory=dict)
    calls: dict[int, Call] = attrs.field(factory=dict)
    attempts: dict[int, Call] = attrs.field(factory=dict)
    closed_attempts: set[int] = attrs.field(factory=set)
    answered_attempts: set[int] = attrs.field(factory=set)
    command_answers: dict[int, Any] = attrs.field(factory=dict)
    announcement_results: dict[int, Any] = attrs.field(factory=dict)
    log_entries: list[fx.WriteLog] = attrs.field(factory=list)


class Fleet:
    """Processes, links, targets and callers of one test."""

    def __init__(
        self, folder: Path, seed: int, settings: dict[str, Settings]
    ) -> None:
        """Store the settings of the VMs; ``start`` starts a process."""
        self.now = 100.0
        self.rng = random.Random(seed)
        self.loss_rate = 0.0
        self.duplicate_rate = 0.0
        self.jitter_s = 0.0005
        self.late_answers = False
        self.blocked_links: set[tuple[str, str]] = set()
        self.settings = settings
        self.processes: dict[str, Process] = {}
        self.stop_times: dict[str, float] = {}
        self.group_leaders: dict[str, str] = {}
        self.targets: dict[str, Target] = {}
        self.calls: list[Call] = []
        self._folder = folder
        self._codec = build_codec()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count(1)

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        item = (self.now + delay_s, next(self._sequence_numbers), action)
        heapq.heappush(self._queue, item)

    def run(self, seconds: float) -> None:
        """Advance time and run all actions that are due."""
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until

    def run_until(self, check: Callable[[], Any], limit_s: float) -> float:
        """Advance time until a check passes; return the elapsed seconds."""
        started_at = self.now
        while not check():
            if self.now - started_at >= limit_s:
                raise AssertionError(f'not reached within {limit_s} s')
            self.run(0.1)
        return self.now - started_at

    def start(self, name: str) -> None:
        """Start a process with empty memory and the synced data of its disk."""
        settings, stack = self.settings[name], ExitStack()
        stored = storage = None
        if 'control' in settings.vm.roles:
            storage = stack.enter_context(
                open_storage(self.data_folder(name))
            ).ok
            stored = storage.load().ok
        node = build_node(settings, stored, self.rng.getrandbits(60))
        process = self.processes[name] = Process(name, node, storage, stack)
        self._deliver_event(process, lambda at: ev.Started(at, WALL_S + at))

    def kill(self, name: str) -> None:
        """Kill a process; data that was not synced is lost."""
        self.processes.pop(name).stack.close()

    def data_folder(self, name: str) -> Path:
        """Return the data folder of a control VM."""
        return self._folder / name

    def freeze(self, name: str, seconds: float) -> None:
        """Suspend a process; its queued events are handled afterwards."""
        process = self.processes[name]
        process.frozen = True

        def resume() -> None:
            process.frozen = False
            backlog, process.backlog = process.backlog, []
            for action in backlog:
                action()

        self.schedule(seconds, resume)

    def block_links(
        self, sources: Any, destinations: Any, *, both: bool
    ) -> None:
        """Block the links from some VMs to others, or in both directions."""
        pairs = set(itertools.product(sources, destinations))
        self.blocked_links |= pairs | (
            {pair[::-1] for pair in pairs} if both else set()
        )

    def vm_names(self, role: str = 'entry', region: str = '') -> list[str]:
        """Return the names of the VMs with a role, in one or all regions."""
        return [
            name
            for name, settings in self.settings.items()
            if role in settings.vm.roles and region in {'', settings.vm.region}
        ]

    def other_vms(self, *names: str) -> list[str]:
        """Return the names of all VMs except the given ones."""
        return [name for name in self.settings if name not in names]

    def command(self, name: str, command: cmd.Command) -> Callable[[], Any]:
        """Send a command to a running VM; return a getter of the answer."""
        process, number = self.processes[name], next(self._sequence_numbers)
        self._deliver_event(
            process, lambda at: ev.CommandReceived(at, number, command)
        )
        return lambda: process.command_answers.get(number)

    def call(self, name: str, account: str, **options: Any) -> Call:
        """Send a request of an account to a VM."""
        process = self.processes.get(name)
        order = options.pop(
            'order', f'{account}/{next(self._sequence_numbers)}'
        )
        options = {'method': 'GET', 'path': '/catalogue', **options}
        head = ev.RequestHead(
            key_hashes=(account.encode(),),
            fingerprint=order.encode(),
            **options,
        )
        # Request numbers restart with each process, as in the gateway.
        number: Any = len(process.calls) + 1 if process else 0
        call = Call(name, self.now, account, order, head, number, process)
        self.calls.append(call)
        if process is not None:
            process.calls[number] = call
            self._deliver_event(
                process, lambda at: ev.RequestArrived(at, number, head)
            )
        return call

    def announce(
        self, name: str, announcement: ev.Announcement
    ) -> Callable[[], bool]:
        """Announce a target at a VM; return a check for its acceptance."""
        process, number = self.processes[name], next(self._sequence_numbers)
        self._deliver_event(
            process,
            lambda at: ev.TargetAnnounced(at, announcement, b'', number),
        )
        return lambda: process.announcement_results.get(number, False) is None

    def stop(self, name: str) -> None:
        """Request that a process drains and stops."""
        self._deliver_event(self.processes[name], ev.StopRequested)

    def add_target(self, target: Target) -> Target:
        """Add a target, which announces itself every second."""
        self.targets[target.name] = target
        self.schedule(self.rng.random(), lambda: self._announce(target))
        return target

    def _announce(self, target: Target) -> None:
        self.schedule(1.0, lambda: self._announce(target))
        names = self.vm_names('entry', target.region)
        running = [name for name in names if name in self.processes]
        if target.silent or not running:
            return
        target.sequence += 1
        # Host, port, region, data centre, slots and connections.
        place: Any = ('127.0.0.1', 1000, target.region, 'a', 8, 400)
        name_pair: Any = (target.name, target.service)
        announcement = ev.Announcement(
            *name_pair, *place, target.state, target.sequence
        )
        self._deliver_event(
            self.processes[self.rng.choice(running)],
            lambda at: ev.TargetAnnounced(at, announcement, TARGET_KEY, 1),
        )

    def _run_unless_frozen(
        self, process: Process | None, action: Callable[[], None]
    ) -> None:
        if process is None or self.processes.get(process.name) is not process:
            return
        if process.frozen:
            process.backlog.append(
                lambda: self._run_unless_frozen(process, action)
            )
        else:
            action()

    def _deliver_event(
        self, process: Process | None, build_event: EventFactory
    ) -> None:
        self._run_unless_frozen(
            process,
            lambda: process and self._handle(process, build_event(self.now)),
        )

    def _handle(self, process: Process, event: ev.Event) -> None:
        for effect in process.node.handle(event):
            self._execute(process, effect)

    def _execute(self, process: Process, effect: Any) -> None:
        match effect:
            case fx.SendMessage(to=to, message=message):
                raw = self._codec.encode(
                    self.settings[process.name].vm_id, message
                )
                self._send(process.name, to, raw)
            case fx.SetTimer():
                self._set_timer(
                    process, (effect.component, effect.name), effect.at
                )
            case fx.CancelTimer():
                process.timers.pop((effect.component, effect.name), None)
            case fx.StartAttempt():
                self._start_attempt(process, effect)
            case fx.CancelAttempt(attempt_id=attempt_id):
                process.closed_attempts.add(attempt_id)
            case fx.ForwardAnswer(attempt_id=attempt_id):
                ready = (
                    attempt_id
                    in process.answered_attempts - process.closed_attempts
                )
                body = process.attempts[attempt_id].order if ready else 'none'
                self._record_final_effect(process, effect, body)
            case fx.ReplayAnswer(answer=answer):
                self._record_final_effect(process, effect, answer.body.decode())
            case fx.RefuseRequest() | fx.CutRequest():
                self._record_final_effect(process, effect, '')
            case fx.AnswerCommand(command_id=number, answer=answer):
                process.command_answers[number] = answer
            case fx.AnswerAnnouncement(reply_id=number, failure=failure):
                process.announcement_results[number] = failure
            case fx.SetReadiness(ready=ready):
                process.ready = ready
            case fx.WriteLog():
                process.log_entries.append(effect)
            case fx.IncrementCounter(name='ownership.lease_won'):
                self.group_leaders[self.settings[process.name].vm.region] = (
                    process.name
                )
            case fx.StopProcess():
                self.stop_times[process.name] = self.now
                self.kill(process.name)
            case StorageEffect():
                self.schedule(
                    SYNC_DELAY_S, lambda: self._complete_sync(process, effect)
                )

    def _complete_sync(self, process: Process, effect: StorageEffect) -> None:
        if (
            self.processes.get(process.name) is process
            and process.storage is not None
        ):
            process.storage.execute(effect)
            self._deliver_event(
                process, lambda at: ev.StorageSynced(at, effect.sync_id)
            )

    def _set_timer(
        self, process: Process, key: tuple[str, str], at: float
    ) -> None:
        number = process.timers[key] = next(self._sequence_numbers)

        def fire() -> None:
            if process.timers.get(key) == number:
                process.timers.pop(key)
                self._handle(process, ev.TimerFired(self.now, *key))

        self.schedule(
            max(0, at - self.now),
            lambda: self._run_unless_frozen(process, fire),
        )

    def _send(self, source: str, destination: str, raw: bytes) -> None:
        link = (source, destination)
        if destination not in self.settings:
            return
        regions = {self.settings[name].vm.region for name in link}
        base_delay_s = (
            SAME_REGION_DELAY_S if len(regions) == 1 else OTHER_REGION_DELAY_S
        )
        for _ in range(1 + (self.rng.random() < self.duplicate_rate)):
            delay_s = base_delay_s + self.rng.random() * self.jitter_s
            if (
                link not in self.blocked_links
                and self.rng.random() >= self.loss_rate
            ):
                self.schedule(delay_s, lambda: self._deliver(link, raw))

    def _deliver(self, link: tuple[str, str], raw: bytes) -> None:
        if link not in self.blocked_links:
            envelope = self._codec.decode(raw).ok
            self._deliver_event(
                self.processes.get(link[1]),
                lambda at: ev.MessageReceived(
                    at, envelope.sender, envelope.message
                ),
            )

    def _record_final_effect(
        self, process: Process, effect: Any, body: str
    ) -> None:
        call = process.calls[effect.request_id]
        if isinstance(effect, fx.CutRequest):
            call.cut_at = self.now
        else:
            call.final_count += 1
        if call.final_effect is None:
            call.final_effect, call.final_at, call.body = effect, self.now, body

    def _start_attempt(self, process: Process, effect: fx.StartAttempt) -> None:
        call = process.attempts[effect.attempt_id] = process.calls[
            effect.request_id
        ]
        call.admitted_at = call.admitted_at or self.now
        target = self.targets[effect.target]
        target.attempt_times.append(self.now)
        same_region = target.region == self.settings[process.name].vm.region
        one_way_delay_s = (
            TARGET_DELAY_S if same_region else OTHER_REGION_DELAY_S
        )
        kind = target.choose_outcome(call)
        if target.state is ev.TargetState.draining:
            kind = 'shed'
        if kind not in _NOT_EXECUTED:
            self.schedule(
                one_way_delay_s, lambda: _count_execution(call, target)
            )
        for delay_s, build_event in _plan_attempt_events(
            effect, call, kind, one_way_delay_s, target
        ):
            self.schedule(
                delay_s,
                lambda build_event=build_event: self._report_attempt_event(
                    process, build_event
                ),
            )

    def _report_attempt_event(
        self, process: Process, build_event: EventFactory
    ) -> None:
        event: Any = build_event(self.now)
        number = event.attempt_id
        is_answer = isinstance(event, ev.AnswerReady)
        late = self.late_answers and is_answer
        if (number in process.closed_attempts and not late) or (
            isinstance(event, ev.AttemptFailed)
            and number in process.answered_attempts
        ):
            return
        (
            process.answered_attempts if is_answer else process.closed_attempts
        ).add(number)
        if isinstance(event, ev.AnswerEnded):
            process.attempts[number].answer_complete = event.complete
        self._deliver_event(process, build_event)


def _count_execution(call: Call, target: Target) -> None:
    call.executions += 1
    target.executions[call.order] += 1


def _plan_attempt_events(
    effect: fx.StartAttempt,
    call: Call,
    kind: str,
    one_way_delay_s: float,
    target: Target,
) -> list[tuple[float, EventFactory]]:
    """Return the events of an attempt with their delays."""
    ids = (effect.request_id, effect.attempt_id)
    failures = ev.AttemptFailure
    answer_delay_s = 2 * one_way_delay_s + target.work_duration_s()

    def fail(
        delay_s: float, failure: ev.AttemptFailure, sent: bool = True
    ) -> tuple[float, EventFactory]:
        return delay_s, lambda at: ev.AttemptFailed(at, *ids, failure, sent)

    def answer(status: int) -> list[tuple[float, EventFactory]]:
        kept = ev.StoredAnswer(status, (), call.order.encode())
        stored = kept if effect.keep_answer else None
        ready = lambda at: ev.AnswerReady(  # noqa: E731
            at,
            *ids,
            status,
            True,
            answer=stored,
            statement=target.statement,
        )
        return [(answer_delay_s, ready), end(TARGET_DELAY_S, whole=True)]

    def end(delay_s: float, *, whole: bool) -> tuple[float, EventFactory]:
        return answer_delay_s + delay_s, lambda at: ev.AnswerEnded(
            at, *ids, whole
        )

    begin = (answer_delay_s, lambda at: ev.AnswerReady(at, *ids, 200, False))
    shed = (
        2 * one_way_delay_s,
        lambda at: ev.AnswerReady(at, *ids, 503, True, True),
    )
    plans: dict[str, list[tuple[float, EventFactory]]] = {
        'refuse': [fail(one_way_delay_s, failures.not_connected, sent=False)],
        'before': [fail(2 * one_way_delay_s, failures.no_answer)],
        'during': [fail(2 * one_way_delay_s, failures.no_answer)],
        'after': [fail(answer_delay_s, failures.no_answer)],
        'late': [fail(2 * one_way_delay_s, failures.no_answer), *answer(200)],
        'shed': [shed],
        'stream': [begin, end(target.stream_duration_s, whole=True)],
        'broken': [begin, end(target.stream_duration_s, whole=False)],
    }
    status = {'ok': 200, 'fail': 500, 'reject': 400}.get(kind, 0)
    steps = answer(status) if status else plans[kind]
    return [fail(effect.timeout_s, failures.timed_out), *steps]


@contextmanager
def open_fleet(seed: int, settings: dict[str, Settings]) -> Iterator[Fleet]:
    """Yield a fleet with all processes started; kill them on exit."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), seed, settings)
        for name in fleet.settings:
            fleet.start(name)
        try:
            yield fleet
        finally:
            for name in tuple(fleet.processes):
                fleet.kill(name)
