"""Seeded simulations of token requests, checked against reference buckets."""

from __future__ import annotations

import random
from collections import Counter, defaultdict

import attrs

from cranberryseam.configuration.model import Account, Plan
from cranberryseam.core import events
from cranberryseam.core.notices import Notice, TokenDenied, TokenGranted
from cranberryseam.types import AccountId
from tests.ownership.fleet import BUCKETS_OPEN_S, Fleet

# Rounding error of a few hundred additions.
_TOLERANCE = 1e-6

ACCOUNTS = (
    Account(AccountId('small'), 'small', 'a'),
    Account(AccountId('large'), 'large', 'a'),
    Account(AccountId('shared'), 'large', 'a', (('a', 0.5), ('b', 0.5))),
    Account(AccountId('remote'), 'medium', 'b'),
)
PLANS = (
    Plan('small', 2, 12, 1, ()),
    Plan('medium', 10, 10, 1, ()),
    Plan('large', 20, 100, 1, ()),
)


@attrs.define
class ReferenceBucket:
    """Reference model: one global token bucket of an account."""

    rate: float
    burst: float
    level: float = 0
    at: float = 0

    def advance(self, at: float) -> None:
        self.level = min(self.burst, self.level + self.rate * (at - self.at))
        self.at = at

    def change(self, at: float, rate: float, burst: float) -> None:
        self.advance(at)
        self.rate = rate
        self.burst = burst
        self.level = min(self.level, burst)

    def use(self, at: float) -> bool:
        """Use a token; return whether one was available."""
        self.advance(at)
        self.level -= 1
        return self.level >= -_TOLERANCE


@attrs.define
class Result:
    """Result of one simulation.

    Parameters
    ----------
    excess_grants
        Grants that one bucket for the whole fleet would have denied.
    unanswered
        Requests without an answer whose process is still running.
    entitled
        Requests that such a bucket admits if it sees all of them.
    denied_in_rate
        Entitled requests that were denied.

    """

    excess_grants: int = 0
    granted: Counter[str] = attrs.field(factory=Counter)
    denied: Counter[str] = attrs.field(factory=Counter)
    denied_in_rate: Counter[str] = attrs.field(factory=Counter)
    entitled: Counter[str] = attrs.field(factory=Counter)
    worst_wait_s: float = 0
    unanswered: int = 0


@attrs.define
class Recorder:
    """Records the answers of all VMs in the order of simulated time."""

    fleet: Fleet
    accounts: dict[int, tuple[str, float]] = attrs.field(factory=dict)
    processes: list[tuple[str, int]] = attrs.field(factory=list)
    log: list[tuple[float, int, Notice]] = attrs.field(factory=list)

    def listen(self, now: float, _vm: str, notice: Notice) -> None:
        if isinstance(notice, TokenGranted | TokenDenied):
            self.log.append((now, int(notice.request_id), notice))

    def acquire(self, vm: str, account: str) -> None:
        request = len(self.accounts)
        self.accounts[request] = (account, self.fleet.now)
        self.processes.append((vm, self.fleet.vms[vm].run))
        self.fleet.acquire(vm, request, account)

    def check_answers(
        self, changes: list[tuple[float, str, float, float]] | None = None
    ) -> Result:
        """Compare the answers with one reference bucket per account.

        Parameters
        ----------
        changes
            Time, account, rate and burst of plan changes. A lowered limit
            applies from the time at which all VMs must obey it.

        """
        result = Result()
        buckets = _make_buckets(self.log[0][0])
        pending = sorted(changes or [])
        answered = set()
        entitled = self._list_entitled(result)
        for now, request, notice in self.log:
            while pending and pending[0][0] <= now:
                at, account, rate, burst = pending.pop(0)
                buckets[account].change(at, rate, burst)
            account, requested_at = self.accounts[request]
            bucket = buckets[account]
            answered.add(request)
            result.worst_wait_s = max(result.worst_wait_s, now - requested_at)
            if isinstance(notice, TokenGranted):
                result.granted[account] += 1
                result.excess_grants += not bucket.use(now)
                continue
            result.denied[notice.reason.value] += 1
            result.denied_in_rate[account] += request in entitled
        result.unanswered = sum(
            self._is_running(request)
            for request in self.accounts
            if request not in answered
        )
        return result

    def _is_running(self, request: int) -> bool:
        """Return whether the process that received a request still runs."""
        name, run = self.processes[request]
        vm = self.fleet.vms[name]
        frozen = self.fleet.now < vm.frozen_until + 1
        return vm.run == run and not (vm.down or frozen)

    def _list_entitled(self, result: Result) -> set[int]:
        """Return the requests that one bucket for the whole fleet admits."""
        buckets = _make_buckets(self.log[0][0])
        entitled = set()
        for request, (account, at) in self.accounts.items():
            bucket = buckets[account]
            bucket.advance(at)
            if bucket.level >= 1:
                bucket.level -= 1
                entitled.add(request)
                result.entitled[account] += 1
        return entitled


def _make_buckets(at: float) -> dict[str, ReferenceBucket]:
    plans = {plan.name: plan for plan in PLANS}
    return {
        account.name: ReferenceBucket(
            plans[account.plan].rate,
            plans[account.plan].burst,
            plans[account.plan].burst,
            at,
        )
        for account in ACCOUNTS
    }


def make_fleet(seed: int, drift: float = 0) -> tuple[Fleet, Recorder]:
    fleet = Fleet(seed, {'a': 4, 'b': 3}, ACCOUNTS, PLANS, drift)
    recorder = Recorder(fleet)
    fleet.listeners.append(recorder.listen)
    return fleet, recorder


def send_load(
    fleet: Fleet,
    recorder: Recorder,
    loads: dict[str, float],
    until: float,
    idle_s: float = 0,
) -> None:
    """Send requests of each account at random times to random VMs.

    Parameters
    ----------
    idle_s
        Length of the pause after each second of load.

    """
    rng = random.Random(fleet.rng.random())
    for account, rate in loads.items():
        at = fleet.now
        while (at := at + rng.expovariate(rate)) < until:
            vm = rng.choice(list(fleet.vms))
            if at % (1 + idle_s) >= 1:
                continue
            fleet.schedule(
                at,
                lambda vm=vm, account=account: recorder.acquire(vm, account),
            )


def inject_faults(fleet: Fleet, until: float) -> None:
    """Inject random faults until a time."""
    if fleet.now >= until:
        return
    vm = fleet.rng.choice(list(fleet.vms))
    other = fleet.rng.choice(list(fleet.vms))
    match fleet.rng.randrange(6):
        case 0:
            fleet.restart(vm, fleet.rng.random() * 0.5)
        case 1:
            fleet.freeze(vm, fleet.rng.random() * 4)
        case 2:
            fleet.isolate(vm, receives=False, sends=True)
        case 3:
            fleet.isolate(vm, receives=True, sends=False)
        case 4:
            fleet.cut(vm, other)
        case _:
            fleet.heal()
    fleet.schedule(
        fleet.now + fleet.rng.random() * 2, lambda: inject_faults(fleet, until)
    )


def hand_over(fleet: Fleet, until: float) -> None:
    """Restart each leader, repeatedly, once its members may vote again."""
    if fleet.now >= until:
        return
    for group in fleet.groups:
        for leader in fleet.leaders(group.name):
            fleet.handle(leader, events.StopRequested)
            fleet.restart(leader, 0.1)
    fleet.schedule(fleet.now + 6.5, lambda: hand_over(fleet, until))


def freeze_repeatedly(recorder: Recorder, until: float) -> None:
    """Freeze entry VMs while answers with tokens are in flight."""
    fleet = recorder.fleet
    if fleet.now >= until:
        return
    vm = fleet.rng.choice(['a3', 'a1', 'a2'])
    for account in ('small', 'remote', 'large'):
        recorder.acquire(vm, account)
    fleet.freeze(vm, 0.4 + fleet.rng.random() * 2)
    fleet.schedule(fleet.now + 0.5, lambda: freeze_repeatedly(recorder, until))


def run_stale_answer() -> Result:
    """Resume a frozen VM with old tokens after others used the burst."""
    fleet, recorder = make_fleet(3)
    fleet.run_until(BUCKETS_OPEN_S + 8)
    # Makes the VM look up the leader.
    recorder.acquire('a3', 'small')
    fleet.run_until(fleet.now + 3)
    for _ in range(6):
        recorder.acquire('a3', 'small')
    fleet.freeze('a3', 6)
    fleet.run_until(fleet.now + 5.9)
    for _ in range(12):
        recorder.acquire('a1', 'small')
    fleet.run_until(fleet.now + 1)
    return recorder.check_answers()


def run_faulty(seed: int, seconds: float = 10) -> Result:
    """Run one simulation with faults; their kind depends on the seed."""
    fleet, recorder = make_fleet(seed)
    start = BUCKETS_OPEN_S + 2 * (seed % 4)
    fleet.run_until(start)
    fleet.network.loss = 0.04 * (seed % 4)
    fleet.network.duplication = 0.1
    fleet.network.long_delay = 0.05
    fleet.network.max_delay_s = 2.5
    until = start + seconds
    loads = {'small': 10.0, 'large': 110.0, 'shared': 20.0, 'remote': 20.0}
    send_load(fleet, recorder, loads, until, idle_s=seed % 3)
    match seed % 3:
        case 0:
            inject_faults(fleet, until)
        case 1:
            first = start + 2 + fleet.rng.random() * 2
            fleet.schedule(first, lambda: hand_over(fleet, until))
        case _:
            freeze_repeatedly(recorder, until)
    fleet.run_until(until + 1)
    return recorder.check_answers()


def run_healthy(seed: int, loads: dict[str, float], seconds: float) -> Result:
    """Run one simulation without faults."""
    fleet, recorder = make_fleet(seed)
    fleet.run_until(BUCKETS_OPEN_S + 5)
    send_load(fleet, recorder, loads, BUCKETS_OPEN_S + 5 + seconds)
    fleet.run_until(BUCKETS_OPEN_S + 6 + seconds)
    return recorder.check_answers()


def sum_results(results: list[Result]) -> dict[str, object]:
    """Return the totals of several simulations."""
    counters: dict[str, Counter[str]] = defaultdict(Counter)
    for result in results:
        for field in ('granted', 'entitled', 'denied', 'denied_in_rate'):
            counters[field] += getattr(result, field)
    served = [
        counters['granted'][account] / entitled
        for account, entitled in counters['entitled'].items()
    ]
    return {
        'worst_served': min(served),
        'excess': sum(result.excess_grants for result in results),
        'unanswered': sum(result.unanswered for result in results),
        'worst_wait_s': max(result.worst_wait_s for result in results),
        **{name: dict(counter) for name, counter in counters.items()},
    }
