"""Executable specification of the control log, explored breadth first.

A walk over states needs no solver and prints the actions that lead to a
violation, which is why it is used instead of z3. Messages are never removed,
so each may be lost (never received), late, reordered or repeated. A step
stands for a synced write and the messages that follow it. Pre-vote, timeouts,
batches and snapshots are left out: they don't decide what is safe.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

import attrs

# An entry is (term, value); a membership is a frozenset of disk ids.
Entry = tuple[int, object]
Log = tuple[Entry, ...]


@attrs.frozen(cache_hash=True)
class Vm:
    """State of one VM; ``stands`` and ``leads`` are not on disk."""

    disk: int
    term: int = 0
    voted_for: int = -1
    log: Log = ()
    stands: bool = False
    leads: bool = False


@attrs.frozen(cache_hash=True)
class State:
    """State of the whole model.

    Parameters
    ----------
    requests
        Vote requests: term, candidate disk, last term, length.
    votes
        Term, candidate disk, voter disk.
    appends
        Term and log of its leader.
    acks
        Term, follower disk, length that equals the leader's log.
    committed
        Longest acknowledged log.
    commit_terms
        Term of the leader that acknowledged each of its entries.

    """

    vms: tuple[Vm, ...]
    requests: frozenset = frozenset()
    votes: frozenset = frozenset()
    appends: frozenset = frozenset()
    acks: frozenset = frozenset()
    committed: Log = ()
    commit_terms: tuple[int, ...] = ()
    crashes: int = 0
    lost: int = 0


@attrs.frozen
class Bounds:
    """Limits of the walk, and the rule to break in it."""

    terms: int = 2
    length: int = 2
    crashes: int = 1
    lost: int = 1
    values: bool = True
    fault: str = ''


class ViolationError(Exception):
    """An invariant doesn't hold."""


def voters_of(log: Log, vms: int) -> frozenset[int]:
    """Return the voters in the newest membership of a log."""
    for _, value in reversed(log):
        if isinstance(value, frozenset):
            return value
    return frozenset(range(vms))


def is_quorum(disks: set[int], voters: frozenset[int]) -> bool:
    """Return whether the disks are a majority of the voters."""
    return len(disks & voters) * 2 > len(voters)


def explore(start: State, bounds: Bounds) -> int:
    """Visit every state within the bounds and return their number."""
    seen = {start}
    queue = deque([start])
    while queue:
        state = queue.popleft()
        for following in _step(state, bounds):
            if following not in seen:
                seen.add(following)
                queue.append(following)
    return len(seen)


def _step(state: State, bounds: Bounds) -> Iterator[State]:
    for place, vm in enumerate(state.vms):
        yield from _elect(state, place, vm, bounds)
        yield from _replicate(state, place, vm, bounds)
        yield from _break(state, place, vm, bounds)


def _elect(state: State, place: int, vm: Vm, bounds: Bounds) -> Iterator[State]:
    voters = voters_of(vm.log, len(state.vms))
    # The VMs are alike at first, so the first candidate may be the first VM.
    may_stand = place == 0 or state.requests
    may_stand = may_stand and vm.disk in voters and not vm.leads
    if may_stand and vm.term < bounds.terms:
        term = vm.term + 1
        last = vm.log[-1][0] if vm.log else 0
        yield _put(
            state,
            place,
            attrs.evolve(vm, term=term, voted_for=vm.disk, stands=True),
            requests=state.requests | {(term, vm.disk, last, len(vm.log))},
            votes=state.votes | {(term, vm.disk, vm.disk)},
        )
    for term, candidate, last, length in state.requests:
        yield from _vote(
            state, place, vm, (term, candidate, last, length), bounds
        )
    granted = {
        voter
        for term, candidate, voter in state.votes
        if (term, candidate) == (vm.term, vm.disk)
    }
    if vm.stands and is_quorum(granted, voters):
        earlier = sum(term < vm.term for term in state.commit_terms)
        if vm.log[:earlier] != state.committed[:earlier]:
            raise ViolationError('a leader lacks an acknowledged entry')
        if any(term == vm.term for term, _ in state.appends):
            raise ViolationError('two leaders in one term')
        elected = attrs.evolve(vm, stands=False, leads=True)
        yield _append(state, place, elected, 'first')


def _vote(
    state: State, place: int, vm: Vm, request: tuple, bounds: Bounds
) -> Iterator[State]:
    term, candidate, last, length = request
    if term < vm.term or candidate == vm.disk:
        return
    voted_for = vm.voted_for if term == vm.term else -1
    own = (vm.log[-1][0] if vm.log else 0, len(vm.log))
    if (last, length) < own or voted_for not in {-1, candidate}:
        return
    voter = place if bounds.fault == 'replaced disk votes' else vm.disk
    yield _put(
        state,
        place,
        attrs.evolve(
            vm, term=term, voted_for=candidate, stands=False, leads=False
        ),
        votes=state.votes | {(term, candidate, voter)},
    )


def _replicate(
    state: State, place: int, vm: Vm, bounds: Bounds
) -> Iterator[State]:
    if vm.leads:
        if len(vm.log) < bounds.length:
            if bounds.values:
                yield _append(state, place, vm, f'value of {vm.disk}')
            yield from _change(state, place, vm, bounds)
        return
    for term, log in state.appends:
        if term < vm.term:
            continue
        common = 0
        while common < min(len(log), len(vm.log)):
            if log[common][0] != vm.log[common][0]:
                break
            common += 1
        kept = vm.log if common == len(log) else log
        done = len(state.committed)
        holds = vm.log[:done] == state.committed
        if holds and kept[:done] != state.committed:
            raise ViolationError('an acknowledged entry was removed')
        voted_for = vm.voted_for if term == vm.term else -1
        changed = attrs.evolve(
            vm, term=term, voted_for=voted_for, log=kept, stands=False
        )
        acks = state.acks | {(term, vm.disk, len(log))}
        yield _commit(_put(state, place, changed, acks=acks))


def _change(
    state: State, place: int, vm: Vm, bounds: Bounds
) -> Iterator[State]:
    """Remove a voter whose disk is lost, or promote a disk that caught up."""
    voters = voters_of(vm.log, len(state.vms))
    if vm.log != state.committed and bounds.fault != 'two changes':
        return
    present = {each.disk for each in state.vms}
    gone = voters - present
    for disk in gone:
        yield _append(state, place, vm, voters - {disk})
    caught_up = {
        disk
        for term, disk, length in state.acks
        if term == vm.term and length >= len(state.committed)
    }
    if not gone or bounds.fault == 'two changes':
        for disk in (present & caught_up) - voters:
            yield _append(state, place, vm, voters | {disk})


def _append(state: State, place: int, vm: Vm, value: object) -> State:
    log = (*vm.log, (vm.term, value))
    changed = attrs.evolve(vm, log=log)
    return _commit(
        _put(
            state,
            place,
            changed,
            appends=state.appends | {(vm.term, log)},
            acks=state.acks | {(vm.term, vm.disk, len(log))},
        )
    )


def _commit(state: State) -> State:
    """Acknowledge at once what a leader may count as committed."""
    for vm in state.vms:
        if not vm.leads:
            continue
        voters = voters_of(vm.log, len(state.vms))
        for length in range(len(vm.log), 0, -1):
            holders = {
                disk
                for term, disk, reached in state.acks
                if term == vm.term and reached >= length
            }
            current = vm.log[length - 1][0] == vm.term
            if current and is_quorum(holders, voters):
                state = _acknowledge(state, vm.log[:length], vm.term)
                break
    return state


def _acknowledge(state: State, log: Log, term: int) -> State:
    common = min(len(log), len(state.committed))
    if log[:common] != state.committed[:common]:
        raise ViolationError('two values in one slot')
    new = len(log) - common
    if not new:
        return state
    terms = (*state.commit_terms, *[term] * new)
    return attrs.evolve(state, committed=log, commit_terms=terms)


def _break(state: State, place: int, vm: Vm, bounds: Bounds) -> Iterator[State]:
    if state.crashes < bounds.crashes:
        forgets = bounds.fault == 'vote without sync'
        voted_for = -1 if forgets else vm.voted_for
        crashed = attrs.evolve(
            vm, stands=False, leads=False, voted_for=voted_for
        )
        yield _put(state, place, crashed, crashes=state.crashes + 1)
    if state.lost < bounds.lost:
        empty = Vm(len(state.vms) + state.lost)
        yield _put(state, place, empty, lost=state.lost + 1)


def _put(state: State, place: int, vm: Vm, **changes: object) -> State:
    vms = (*state.vms[:place], vm, *state.vms[place + 1 :])
    return _forget_useless(attrs.evolve(state, vms=vms, **changes))


def _forget_useless(state: State) -> State:
    """Drop messages that no step can read any more.

    A candidate counts votes of its own term only, and a leader acks of its
    own term only; of those the longest is enough.
    """
    candidates = {(vm.term, vm.disk) for vm in state.vms if vm.stands}
    terms = {vm.term for vm in state.vms if vm.leads}
    longest: dict[tuple[int, int], int] = {}
    for term, disk, length in state.acks:
        if term in terms:
            known = longest.get((term, disk), 0)
            longest[term, disk] = max(known, length)
    return attrs.evolve(
        state,
        votes=frozenset(each for each in state.votes if each[:2] in candidates),
        acks=frozenset((*key, longest[key]) for key in longest),
    )
