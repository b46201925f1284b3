"""Several whole reducers in one process, in virtual time.

Only what the failure tests need: an event queue, links that lose or delay
messages, disks that keep what was synced, targets and callers.
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

Make = Callable[[float], ev.Event]
SAME_REGION_S: Final = 0.0015
OTHER_REGION_S: Final = 0.03
TO_TARGET_S: Final = 0.001
SYNC_S: Final = 0.002
WALL_S: Final = 1_700_000_000.0
TARGET_KEY: Final = b'target-key'
_NO_WORK: Final = {'refuse', 'before', 'shed', 'reject'}


@attrs.define(eq=False)
class Call:
    """A caller's request, its executions and the first final effect."""

    vm: str
    at: float
    account: str
    order: str
    head: ev.RequestHead
    number: int
    run: Run | None
    admitted_at: float | None = None
    worked: int = 0
    final: Any = None
    final_at: float = 0
    finals: int = 0
    body: str = ''
    cut_at: float | None = None
    ended: bool | None = None

    @property
    def refusal(self) -> Any:
        """The refusal, None if the caller got an answer or nothing."""
        return getattr(self.final, 'refusal', None)

    @property
    def reason(self) -> str:
        """Reason of the refusal, else empty."""
        return self.refusal.reason.value if self.refusal else ''


@attrs.define(eq=False)
class Target:
    """A back end; ``started`` has the time of each attempt.

    ``behave`` returns how a call ends: ``ok``, ``fail`` (500), ``reject``
    (400), ``shed``, ``refuse`` (no connection), ``before``, ``during`` or
    ``after`` (connection lost around the work), ``stream``,
    ``broken`` (the answer breaks off), or ``late`` (the answer comes after the
    loss of the connection, if the fleet has ``late_answers``).
    """

    name: str
    service: str
    region: str = 'dar'
    work_s: Callable[[], float] = lambda: 0.02
    stream_s: float = 3.0
    behave: Callable[[Call], str] = lambda _: 'ok'
    state: ev.TargetState = ev.TargetState.ready
    silent: bool = False
    sequence: int = 0
    worked: Counter[str] = attrs.field(factory=Counter)
    started: list[float] = attrs.field(factory=list)


@attrs.define(eq=False)
class Run:
    """One process from its start to its end."""

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
    closed: set[int] = attrs.field(factory=set)
    answered: set[int] = attrs.field(factory=set)
    answers: dict[int, Any] = attrs.field(factory=dict)
    announced: dict[int, Any] = attrs.field(factory=dict)
    lines: list[fx.WriteLog] = attrs.field(factory=list)


class Fleet:
    """All processes, links, targets and callers of one test."""

    def __init__(
        self, folder: Path, seed: int, settings: dict[str, Settings]
    ) -> None:
        """Plan the VMs; ``start`` runs each of them."""
        self.now = 100.0
        self.rng = random.Random(seed)
        self.loss = 0.0
        self.duplicates = 0.0
        self.jitter_s = 0.0005
        self.late_answers = False
        self.cuts: set[tuple[str, str]] = set()
        self.settings = settings
        self.runs: dict[str, Run] = {}
        self.stopped: dict[str, float] = {}
        self.leaders: dict[str, str] = {}
        self.targets: dict[str, Target] = {}
        self.calls: list[Call] = []
        self._folder = folder
        self._codec = build_codec()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count(1)

    def later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        item = (self.now + delay_s, next(self._order), action)
        heapq.heappush(self._queue, item)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until

    def run_until(self, check: Callable[[], Any], limit_s: float) -> float:
        """Let time pass until the check holds; return the seconds taken."""
        begun = self.now
        while not check():
            if self.now - begun >= limit_s:
                raise AssertionError(f'not reached within {limit_s} s')
            self.run(0.1)
        return self.now - begun

    def start(self, name: str) -> None:
        """Start a process without memory; disks keep what was synced."""
        settings, stack = self.settings[name], ExitStack()
        stored = storage = None
        if 'control' in settings.vm.roles:
            storage = stack.enter_context(open_storage(self.folder(name))).ok
            stored = storage.load().ok
        node = build_node(settings, stored, self.rng.getrandbits(60))
        run = self.runs[name] = Run(name, node, storage, stack)
        self._feed(run, lambda at: ev.Started(at, WALL_S + at))

    def kill(self, name: str) -> None:
        """End a process at once; what it had not synced is lost."""
        self.runs.pop(name).stack.close()

    def folder(self, name: str) -> Path:
        """Return the data folder of a control VM."""
        return self._folder / name

    def freeze(self, name: str, seconds: float) -> None:
        """Stop a process for a time; its queue is handled afterwards."""
        run = self.runs[name]
        run.frozen = True

        def thaw() -> None:
            run.frozen = False
            backlog, run.backlog = run.backlog, []
            for action in backlog:
                action()

        self.later(seconds, thaw)

    def cut(self, sources: Any, destinations: Any, *, both: bool) -> None:
        """Cut the links from some VMs to others, or both ways."""
        pairs = set(itertools.product(sources, destinations))
        self.cuts |= pairs | ({pair[::-1] for pair in pairs} if both else set())

    def names(self, role: str = 'entry', region: str = '') -> list[str]:
        """Return the VMs with a role, of one region or of all."""
        return [
            name
            for name, settings in self.settings.items()
            if role in settings.vm.roles and region in {'', settings.vm.region}
        ]

    def others(self, *names: str) -> list[str]:
        """Return all VMs but the given ones."""
        return [name for name in self.settings if name not in names]

    def command(self, name: str, command: cmd.Command) -> Callable[[], Any]:
        """Send a command to a live VM; the result returns its answer."""
        run, number = self.runs[name], next(self._order)
        self._feed(run, lambda at: ev.CommandReceived(at, number, command))
        return lambda: run.answers.get(number)

    def call(self, name: str, account: str, **options: Any) -> Call:
        """Send a request of an account to a VM."""
        run = self.runs.get(name)
        order = options.pop('order', f'{account}/{next(self._order)}')
        options = {'method': 'GET', 'path': '/catalogue', **options}
        head = ev.RequestHead(
            key_hashes=(account.encode(),),
            fingerprint=order.encode(),
            **options,
        )
        # Request numbers start again with each process, as in the gateway.
        number: Any = len(run.calls) + 1 if run else 0
        call = Call(name, self.now, account, order, head, number, run)
        self.calls.append(call)
        if run is not None:
            run.calls[number] = call
            self._feed(run, lambda at: ev.RequestArrived(at, number, head))
        return call

    def announce(
        self, name: str, announcement: ev.Announcement
    ) -> Callable[[], bool]:
        """Announce a target at a VM; the result tells if that was accepted."""
        run, number = self.runs[name], next(self._order)
        self._feed(
            run,
            lambda at: ev.TargetAnnounced(at, announcement, b'', number),
        )
        return lambda: run.announced.get(number, False) is None

    def stop(self, name: str) -> None:
        """Ask a process to drain and stop."""
        self._feed(self.runs[name], ev.StopRequested)

    def add_target(self, target: Target) -> Target:
        """Let a target announce itself each second."""
        self.targets[target.name] = target
        self.later(self.rng.random(), lambda: self._announce(target))
        return target

    def _announce(self, target: Target) -> None:
        self.later(1.0, lambda: self._announce(target))
        names = self.names('entry', target.region)
        live = [name for name in names if name in self.runs]
        if target.silent or not live:
            return
        target.sequence += 1
        # Host, port, region, data centre, slots, connections.
        place: Any = ('127.0.0.1', 1000, target.region, 'a', 8, 400)
        name_pair: Any = (target.name, target.service)
        announcement = ev.Announcement(
            *name_pair, *place, target.state, target.sequence
        )
        self._feed(
            self.runs[self.rng.choice(live)],
            lambda at: ev.TargetAnnounced(at, announcement, TARGET_KEY, 1),
        )

    def _do(self, run: Run | None, action: Callable[[], None]) -> None:
        if run is None or self.runs.get(run.name) is not run:
            return
        if run.frozen:
            run.backlog.append(lambda: self._do(run, action))
        else:
            action()

    def _feed(self, run: Run | None, make: Make) -> None:
        self._do(run, lambda: run and self._handle(run, make(self.now)))

    def _handle(self, run: Run, event: ev.Event) -> None:
        for effect in run.node.handle(event):
            self._execute(run, effect)

    def _execute(self, run: Run, effect: Any) -> None:
        match effect:
            case fx.SendMessage(to=to, message=message):
                raw = self._codec.encode(self.settings[run.name].vm_id, message)
                self._send(run.name, to, raw)
            case fx.SetTimer():
                self._set_timer(run, (effect.component, effect.name), effect.at)
            case fx.CancelTimer():
                run.timers.pop((effect.component, effect.name), None)
            case fx.StartAttempt():
                self._attempt(run, effect)
            case fx.CancelAttempt(attempt_id=attempt_id):
                run.closed.add(attempt_id)
            case fx.ForwardAnswer(attempt_id=attempt_id):
                ready = attempt_id in run.answered - run.closed
                body = run.attempts[attempt_id].order if ready else 'none'
                self._finish(run, effect, body)
            case fx.ReplayAnswer(answer=answer):
                self._finish(run, effect, answer.body.decode())
            case fx.RefuseRequest() | fx.CutRequest():
                self._finish(run, effect, '')
            case fx.AnswerCommand(command_id=number, answer=answer):
                run.answers[number] = answer
            case fx.AnswerAnnouncement(reply_id=number, failure=failure):
                run.announced[number] = failure
            case fx.SetReadiness(ready=ready):
                run.ready = ready
            case fx.WriteLog():
                run.lines.append(effect)
            case fx.IncrementCounter(name='ownership.lease_won'):
                self.leaders[self.settings[run.name].vm.region] = run.name
            case fx.StopProcess():
                self.stopped[run.name] = self.now
                self.kill(run.name)
            case StorageEffect():
                self.later(SYNC_S, lambda: self._sync(run, effect))

    def _sync(self, run: Run, effect: StorageEffect) -> None:
        if self.runs.get(run.name) is run and run.storage is not None:
            run.storage.execute(effect)
            self._feed(run, lambda at: ev.StorageSynced(at, effect.sync_id))

    def _set_timer(self, run: Run, key: tuple[str, str], at: float) -> None:
        number = run.timers[key] = next(self._order)

        def fire() -> None:
            if run.timers.get(key) == number:
                run.timers.pop(key)
                self._handle(run, ev.TimerFired(self.now, *key))

        self.later(max(0, at - self.now), lambda: self._do(run, fire))

    def _send(self, source: str, destination: str, raw: bytes) -> None:
        link = (source, destination)
        if destination not in self.settings:
            return
        regions = {self.settings[name].vm.region for name in link}
        base_s = SAME_REGION_S if len(regions) == 1 else OTHER_REGION_S
        for _ in range(1 + (self.rng.random() < self.duplicates)):
            delay_s = base_s + self.rng.random() * self.jitter_s
            if link not in self.cuts and self.rng.random() >= self.loss:
                self.later(delay_s, lambda: self._deliver(link, raw))

    def _deliver(self, link: tuple[str, str], raw: bytes) -> None:
        if link not in self.cuts:
            came = self._codec.decode(raw).ok
            self._feed(
                self.runs.get(link[1]),
                lambda at: ev.MessageReceived(at, came.sender, came.message),
            )

    def _finish(self, run: Run, effect: Any, body: str) -> None:
        call = run.calls[effect.request_id]
        if isinstance(effect, fx.CutRequest):
            call.cut_at = self.now
        else:
            call.finals += 1
        if call.final is None:
            call.final, call.final_at, call.body = effect, self.now, body

    def _attempt(self, run: Run, effect: fx.StartAttempt) -> None:
        call = run.attempts[effect.attempt_id] = run.calls[effect.request_id]
        call.admitted_at = call.admitted_at or self.now
        target = self.targets[effect.target]
        target.started.append(self.now)
        same = target.region == self.settings[run.name].vm.region
        way_s = TO_TARGET_S if same else OTHER_REGION_S
        kind = target.behave(call)
        if target.state is ev.TargetState.draining:
            kind = 'shed'
        if kind not in _NO_WORK:
            self.later(way_s, lambda: _work(call, target))
        for delay_s, make in _plan_exchange(effect, call, kind, way_s, target):
            self.later(delay_s, lambda make=make: self._report(run, make))

    def _report(self, run: Run, make: Make) -> None:
        event: Any = make(self.now)
        number = event.attempt_id
        is_answer = isinstance(event, ev.AnswerReady)
        late = self.late_answers and is_answer
        if (number in run.closed and not late) or (
            isinstance(event, ev.AttemptFailed) and number in run.answered
        ):
            return
        (run.answered if is_answer else run.closed).add(number)
        if isinstance(event, ev.AnswerEnded):
            run.attempts[number].ended = event.complete
        self._feed(run, make)


def _work(call: Call, target: Target) -> None:
    call.worked += 1
    target.worked[call.order] += 1


def _plan_exchange(
    effect: fx.StartAttempt,
    call: Call,
    kind: str,
    way_s: float,
    target: Target,
) -> list[tuple[float, Make]]:
    """Return what an attempt reports, with delays."""
    ids = (effect.request_id, effect.attempt_id)
    failures = ev.AttemptFailure
    done_s = 2 * way_s + target.work_s()

    def fail(
        delay_s: float, failure: ev.AttemptFailure, sent: bool = True
    ) -> tuple[float, Make]:
        return delay_s, lambda at: ev.AttemptFailed(at, *ids, failure, sent)

    def answer(status: int) -> list[tuple[float, Make]]:
        kept = ev.StoredAnswer(status, (), call.order.encode())
        stored = kept if effect.keep_answer else None
        ready = lambda at: ev.AnswerReady(  # noqa: E731
            at, *ids, status, True, answer=stored
        )
        return [(done_s, ready), end(TO_TARGET_S, whole=True)]

    def end(delay_s: float, *, whole: bool) -> tuple[float, Make]:
        return done_s + delay_s, lambda at: ev.AnswerEnded(at, *ids, whole)

    begin = (done_s, lambda at: ev.AnswerReady(at, *ids, 200, False))
    shed = (2 * way_s, lambda at: ev.AnswerReady(at, *ids, 503, True, True))
    plans: dict[str, list[tuple[float, Make]]] = {
        'refuse': [fail(way_s, failures.not_connected, sent=False)],
        'before': [fail(2 * way_s, failures.no_answer)],
        'during': [fail(2 * way_s, failures.no_answer)],
        'after': [fail(done_s, failures.no_answer)],
        'late': [fail(2 * way_s, failures.no_answer), *answer(200)],
        'shed': [shed],
        'stream': [begin, end(target.stream_s, whole=True)],
        'broken': [begin, end(target.stream_s, whole=False)],
    }
    status = {'ok': 200, 'fail': 500, 'reject': 400}.get(kind, 0)
    steps = answer(status) if status else plans[kind]
    return [fail(effect.timeout_s, failures.timed_out), *steps]


@contextmanager
def open_fleet(seed: int, settings: dict[str, Settings]) -> Iterator[Fleet]:
    """Yield a fleet whose processes have started."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), seed, settings)
        for name in fleet.settings:
            fleet.start(name)
        try:
            yield fleet
        finally:
            for name in tuple(fleet.runs):
                fleet.kill(name)
