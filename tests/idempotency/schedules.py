"""Seeded simulations of idempotent requests, checked by counting runs."""

from __future__ import annotations

from collections import Counter, defaultdict

import attrs

from cranberryseam.configuration.model import Account, Plan
from cranberryseam.core import events
from cranberryseam.core.notices import (
    ClaimGranted,
    ClaimRefused,
    ClaimReplayed,
    Notice,
)
from cranberryseam.core.refusals import Executed
from cranberryseam.types import AccountId, RequestId
from tests.ownership.fleet import BUCKETS_OPEN_S, Fleet

ACCOUNTS = (
    Account(AccountId('one'), 'plan', 'a'),
    Account(AccountId('two'), 'plan', 'b'),
)
PLANS = (Plan('plan', 10, 10, 1, ()),)
_LEADER_FAULT = 7


@attrs.define
class Key:
    """Executions under one idempotency key.

    Parameters
    ----------
    runs
        Number of executions by targets; more than one breaks the guarantee.
    running
        Requests that were granted and may still be running.

    """

    runs: int = 0
    running: set[int] = attrs.field(factory=set)


@attrs.define
class Request:
    """A request and its answers as seen by the caller."""

    vm: str
    run: int
    account: str
    key: str
    sent_at: float
    answers: list[Notice] = attrs.field(factory=list)


@attrs.define
class Callers:
    """Sends requests, runs granted ones and counts executions.

    Parameters
    ----------
    runs_requests
        False if the test itself reports the outcomes of requests.

    """

    fleet: Fleet
    runs_requests: bool = True
    keys: dict[tuple[str, str], Key] = attrs.field(
        factory=lambda: defaultdict(Key)
    )
    requests: dict[int, Request] = attrs.field(factory=dict)
    duplicate_runs: int = 0
    duplicate_grants: int = 0
    wrong_answers: int = 0
    worst_wait_s: float = 0
    verdicts: Counter[str] = attrs.field(factory=Counter)

    def send(self, vm: str, account: str, key: str) -> int:
        number = len(self.requests)
        self.requests[number] = Request(
            vm, self.fleet.vms[vm].run, account, key, self.fleet.now
        )
        self.fleet.claim(vm, number, account, key)
        return number

    def listen(self, now: float, vm: str, notice: Notice) -> None:
        if not isinstance(notice, ClaimGranted | ClaimReplayed | ClaimRefused):
            return
        request = self.requests[int(notice.request_id)]
        request.answers.append(notice)
        self.worst_wait_s = max(self.worst_wait_s, now - request.sent_at)
        key = self.keys[request.account, request.key]
        match notice:
            case ClaimGranted():
                self.verdicts['granted'] += 1
                self._run(int(notice.request_id), request, key)
            case ClaimReplayed():
                self.verdicts['replayed'] += 1
                self.wrong_answers += not key.runs
            case ClaimRefused():
                self.verdicts[notice.reason.value] += 1
                # Each granted request either runs or reports that it
                # didn't, so "yes" requires an execution.
                self.wrong_answers += (
                    notice.ran is Executed.yes and not key.runs
                )

    def _run(self, number: int, request: Request, key: Key) -> None:
        """Simulate a target, which may not run or may not answer."""
        if not self.runs_requests:
            return
        self.duplicate_grants += bool(key.running or key.runs)
        if len(request.answers) > 1:
            self.wrong_answers += 1
        key.running.add(number)
        rng = self.fleet.rng
        outcome_draw = rng.random()
        delay = rng.choice([0.01, 0.05, 0.5, 2.0])

        def finish() -> None:
            vm = self.fleet.vms[request.vm]
            if vm.down or vm.run != request.run:
                # The request is lost with its VM, possibly after a run.
                key.runs += outcome_draw < 0.5
                return
            if outcome_draw < 0.3:
                key.running.discard(number)
                self._complete(request, number, None, Executed.no)
                return
            key.runs += 1
            self.duplicate_runs += key.runs > 1
            if outcome_draw < 0.8:
                answer = events.StoredAnswer(200, (), b'%d' % number)
                self._complete(request, number, answer, Executed.yes)
            elif outcome_draw < 0.9:
                self._complete(request, number, None, Executed.unknown)
            else:
                self._complete(request, number, None, Executed.yes)

        self.fleet.schedule(self.fleet.now + delay, finish)

    def _complete(
        self,
        request: Request,
        number: int,
        answer: events.StoredAnswer | None,
        executed: Executed,
    ) -> None:
        fleet = self.fleet
        fleet.call(
            request.vm,
            lambda vm: vm.components[2].complete(
                RequestId(number), answer, executed, vm.local_time(fleet.now)
            ),
        )


def count_unanswered(callers: Callers) -> int:
    """Return the number of unanswered requests of running processes."""
    fleet = callers.fleet
    return sum(
        fleet.vms[sent.vm].run == sent.run
        and not fleet.vms[sent.vm].down
        and fleet.now > fleet.vms[sent.vm].frozen_until + 4
        for sent in callers.requests.values()
        if not sent.answers
    )


def make_fleet(
    seed: int, *, initialised: bool = True, drift: float = 0.01
) -> tuple[Fleet, Callers]:
    """Return a fleet whose members aren't blank if newly initialised."""
    fleet = Fleet(seed, {'a': 4, 'b': 3}, ACCOUNTS, PLANS, drift)
    if initialised:
        wall_s = fleet.configuration.initialised_wall_s + 1005
        fleet.change(
            attrs.evolve(fleet.configuration, initialised_wall_s=wall_s)
        )
    callers = Callers(fleet)
    fleet.listeners.append(callers.listen)
    return fleet, callers


def inject_faults(fleet: Fleet, until: float) -> None:
    """Inject random faults, often at a leader, until a time."""
    if fleet.now >= until:
        return
    vm = fleet.rng.choice(list(fleet.vms))
    leaders = fleet.leaders('a-g')
    if leaders and fleet.rng.random() < 0.6:
        vm = leaders[0]
    other = fleet.rng.choice(list(fleet.vms))
    match fleet.rng.randrange(8):
        case 0 | 1:
            fleet.restart(vm, fleet.rng.random() * 0.5)
        case 2:
            fleet.freeze(vm, fleet.rng.random() * 6)
        case 3:
            fleet.isolate(vm, receives=False, sends=True)
        case 4:
            fleet.isolate(vm, receives=True, sends=False)
        case 5:
            fleet.handle(vm, events.StopRequested)
            fleet.restart(vm, 0.3)
        case 6:
            fleet.cut(vm, other)
        case _:
            fleet.heal()
    fleet.schedule(
        fleet.now + fleet.rng.random() * 4, lambda: inject_faults(fleet, until)
    )


def send_load(callers: Callers, until: float, keys: int, rate: float) -> None:
    """Send requests with few distinct keys, so that most are duplicates."""
    fleet = callers.fleet
    at = fleet.now
    while (at := at + fleet.rng.expovariate(rate)) < until:
        vm = fleet.rng.choice(list(fleet.vms))
        account = fleet.rng.choice(['one', 'one', 'two'])
        # Duplicates are close in time, like retries.
        key = str(int(at) + fleet.rng.randrange(keys))
        fleet.schedule(
            at,
            lambda vm=vm, account=account, key=key: callers.send(
                vm, account, key
            ),
        )


def run_faulty(seed: int, seconds: float = 25) -> Callers:
    """Run one simulation with faults of all kinds."""
    fleet, callers = make_fleet(seed)
    fleet.run_until(BUCKETS_OPEN_S)
    fleet.network.loss = 0.05 * (seed % 3)
    fleet.network.duplication = 0.15
    fleet.network.long_delay = 0.1
    fleet.network.max_delay_s = 4
    send_load(callers, BUCKETS_OPEN_S + seconds, 4, 12)
    inject_faults(fleet, BUCKETS_OPEN_S + seconds)
    fleet.run_until(BUCKETS_OPEN_S + seconds + 4)
    return callers


def run_healthy(seed: int, seconds: float = 20) -> Callers:
    """Run one simulation without faults."""
    fleet, callers = make_fleet(seed)
    fleet.run_until(BUCKETS_OPEN_S)
    send_load(callers, BUCKETS_OPEN_S + seconds, 4, 12)
    fleet.run_until(BUCKETS_OPEN_S + seconds + 4)
    return callers
