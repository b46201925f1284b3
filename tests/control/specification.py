"""Executable specification of the control log with a breadth-first search.

An explicit search over states is used instead of z3, because it needs no solver
and shows the actions that lead to a violation. Messages are never removed, so
each one may be lost (never received), delayed, reordered or duplicated. A step
consists of a synced write and the messages sent after it. Pre-votes, timeouts,
batches and snapshots are not modelled, since they don't affect safety.
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
    """State of one VM; ``is_candidate`` and ``is_leader`` aren't on disk."""

    disk: int
    term: int = 0
    voted_for: int = -1
    log: Log = ()
    is_candidate: bool = False
    is_leader: bool = False


@attrs.frozen(cache_hash=True)
class State:
    """State of the whole model.

    Parameters
    ----------
    requests
        Vote requests as (term, candidate disk, last term, log length).
    votes
        Votes as (term, candidate disk, voter disk).
    appends
        Append requests as (term, log of the leader).
    acks
        Acknowledgements as (term, follower disk, length of the log prefix
        that matches the leader's log).
    committed
        Longest acknowledged log.
    commit_terms
        For each entry in ``committed``, the term of the leader that
        acknowledged it.

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
    """Limits of the search, and the rule that is violated on purpose.

    Parameters
    ----------
    lost
        Number of disks that may be lost.
    values
        Whether leaders append values in addition to membership changes.
    fault
        Rule to violate; empty for none.

    """

    terms: int = 2
    length: int = 2
    crashes: int = 1
    lost: int = 1
    values: bool = True
    fault: str = ''


class ViolationError(Exception):
    """An invariant is violated."""


def voters_of(log: Log, vms: int) -> frozenset[int]:
    """Return the voters in the latest membership of a log."""
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
        for successor in _step(state, bounds):
            if successor not in seen:
                seen.add(successor)
                queue.append(successor)
    return len(seen)


def _step(state: State, bounds: Bounds) -> Iterator[State]:
    for position, vm in enumerate(state.vms):
        yield from _elect(state, position, vm, bounds)
        yield from _replicate(state, position, vm, bounds)
        yield from _fail(state, position, vm, bounds)


def _elect(
    state: State, position: int, vm: Vm, bounds: Bounds
) -> Iterator[State]:
    voters = voters_of(vm.log, len(state.vms))
    # The VMs are symmetric initially, so without loss of generality the first
    # candidate is the first VM.
    may_start_election = position == 0 or state.requests
    may_start_election = (
        may_start_election and vm.disk in voters and not vm.is_leader
    )
    if may_start_election and vm.term < bounds.terms:
        term = vm.term + 1
        last = vm.log[-1][0] if vm.log else 0
        yield _replace_vm(
            state,
            position,
            attrs.evolve(vm, term=term, voted_for=vm.disk, is_candidate=True),
            requests=state.requests | {(term, vm.disk, last, len(vm.log))},
            votes=state.votes | {(term, vm.disk, vm.disk)},
        )
    for term, candidate, last, length in state.requests:
        yield from _vote(
            state, position, vm, (term, candidate, last, length), bounds
        )
    granted = {
        voter
        for term, candidate, voter in state.votes
        if (term, candidate) == (vm.term, vm.disk)
    }
    if vm.is_candidate and is_quorum(granted, voters):
        earlier = sum(term < vm.term for term in state.commit_terms)
        if vm.log[:earlier] != state.committed[:earlier]:
            raise ViolationError('a leader lacks an acknowledged entry')
        if any(term == vm.term for term, _ in state.appends):
            raise ViolationError('two leaders in one term')
        elected = attrs.evolve(vm, is_candidate=False, is_leader=True)
        yield _append(state, position, elected, 'first')


def _vote(
    state: State, position: int, vm: Vm, request: tuple, bounds: Bounds
) -> Iterator[State]:
    term, candidate, last, length = request
    if term < vm.term or candidate == vm.disk:
        return
    voted_for = vm.voted_for if term == vm.term else -1
    own = (vm.log[-1][0] if vm.log else 0, len(vm.log))
    if (last, length) < own or voted_for not in {-1, candidate}:
        return
    voter = position if bounds.fault == 'replaced disk votes' else vm.disk
    yield _replace_vm(
        state,
        position,
        attrs.evolve(
            vm,
            term=term,
            voted_for=candidate,
            is_candidate=False,
            is_leader=False,
        ),
        votes=state.votes | {(term, candidate, voter)},
    )


def _replicate(
    state: State, position: int, vm: Vm, bounds: Bounds
) -> Iterator[State]:
    if vm.is_leader:
        if len(vm.log) < bounds.length:
            if bounds.values:
                yield _append(state, position, vm, f'value of {vm.disk}')
            yield from _change(state, position, vm, bounds)
        return
    for term, log in state.appends:
        if term < vm.term:
            continue
        common = 0
        while common < min(len(log), len(vm.log)):
            if log[common][0] != vm.log[common][0]:
                break
            common += 1
        new_log = vm.log if common == len(log) else log
        committed_length = len(state.committed)
        had_committed = vm.log[:committed_length] == state.committed
        if had_committed and new_log[:committed_length] != state.committed:
            raise ViolationError('an acknowledged entry was removed')
        voted_for = vm.voted_for if term == vm.term else -1
        changed = attrs.evolve(
            vm, term=term, voted_for=voted_for, log=new_log, is_candidate=False
        )
        acks = state.acks | {(term, vm.disk, len(log))}
        yield _commit(_replace_vm(state, position, changed, acks=acks))


def _change(
    state: State, position: int, vm: Vm, bounds: Bounds
) -> Iterator[State]:
    """Remove a voter whose disk is lost, or add a disk that has caught up."""
    voters = voters_of(vm.log, len(state.vms))
    if vm.log != state.committed and bounds.fault != 'two changes':
        return
    live_disks = {each.disk for each in state.vms}
    lost_disks = voters - live_disks
    for disk in lost_disks:
        yield _append(state, position, vm, voters - {disk})
    caught_up = {
        disk
        for term, disk, length in state.acks
        if term == vm.term and length >= len(state.committed)
    }
    if not lost_disks or bounds.fault == 'two changes':
        for disk in (live_disks & caught_up) - voters:
            yield _append(state, position, vm, voters | {disk})


def _append(state: State, position: int, vm: Vm, value: object) -> State:
    log = (*vm.log, (vm.term, value))
    changed = attrs.evolve(vm, log=log)
    return _commit(
        _replace_vm(
            state,
            position,
            changed,
            appends=state.appends | {(vm.term, log)},
            acks=state.acks | {(vm.term, vm.disk, len(log))},
        )
    )


def _commit(state: State) -> State:
    """Acknowledge immediately what a leader may consider committed."""
    for vm in state.vms:
        if not vm.is_leader:
            continue
        voters = voters_of(vm.log, len(state.vms))
        for length in range(len(vm.log), 0, -1):
            holders = {
                disk
                for term, disk, acked_length in state.acks
                if term == vm.term and acked_length >= length
            }
            current = vm.log[length - 1][0] == vm.term
            if current and is_quorum(holders, voters):
                state = _acknowledge(state, vm.log[:length], vm.term)
                break
    return state


def _acknowledge(state: State, log: Log, term: int) -> State:
    common = min(len(log), len(state.committed))
    if log[:common] != state.committed[:common]:
        raise ViolationError('two different entries at one index')
    added_count = len(log) - common
    if not added_count:
        return state
    terms = (*state.commit_terms, *[term] * added_count)
    return attrs.evolve(state, committed=log, commit_terms=terms)


def _fail(
    state: State, position: int, vm: Vm, bounds: Bounds
) -> Iterator[State]:
    if state.crashes < bounds.crashes:
        forgets_vote = bounds.fault == 'vote without sync'
        voted_for = -1 if forgets_vote else vm.voted_for
        crashed = attrs.evolve(
            vm, is_candidate=False, is_leader=False, voted_for=voted_for
        )
        yield _replace_vm(state, position, crashed, crashes=state.crashes + 1)
    if state.lost < bounds.lost:
        empty = Vm(len(state.vms) + state.lost)
        yield _replace_vm(state, position, empty, lost=state.lost + 1)


def _replace_vm(
    state: State, position: int, vm: Vm, **changes: object
) -> State:
    vms = (*state.vms[:position], vm, *state.vms[position + 1 :])
    return _drop_unreadable_messages(attrs.evolve(state, vms=vms, **changes))


def _drop_unreadable_messages(state: State) -> State:
    """Remove messages that no later step can read, to merge equal states.

    A candidate counts only the votes of its own term, and a leader only the
    acknowledgements of its own term, of which the longest per disk suffices.
    """
    candidates = {(vm.term, vm.disk) for vm in state.vms if vm.is_candidate}
    terms = {vm.term for vm in state.vms if vm.is_leader}
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
