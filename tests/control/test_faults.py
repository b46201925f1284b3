"""Tests that the checks of the simulation detect faulty replicas."""

from __future__ import annotations

from collections.abc import Callable

import testtools
from parameterized import parameterized

from cranberryseam.control import Replica
from cranberryseam.control.context import SyncQueue
from cranberryseam.control.messages import PeerMessage
from cranberryseam.core.commands import WithdrawKey

from .simulation import Simulation

SEEDS = range(12)


class _ImmediateSyncQueue(SyncQueue):
    def run_when_synced(self, action: Callable[[], None]) -> None:
        action()


class VotesWithoutSync(Replica):
    """Fault: replies before its vote or acknowledgement is on disk."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)
        self._context.sync = _ImmediateSyncQueue()


class ReplacedDiskVotes(Replica):
    """Fault: an empty disk votes in place of the one that it replaces."""

    def _is_addressed(self, message: PeerMessage) -> bool:
        self._context.disk = message.to_disk
        return True


def crash_after_vote(seed: int, replica_type: type[Replica]) -> None:
    """Crash a voter before its vote is synced, then isolate the winner.

    The two remaining replicas elect a leader. If the voter has replied before
    the sync, it votes again in the same term, which gives two leaders.
    """
    simulation = Simulation(seed, 'abc', replica_type)
    simulation.initialise()
    first = simulation.leader()
    simulation.crash(first)
    simulation.sync_s = (1, 1)
    simulation.run_until(lambda: simulation.leader() is not None, 3)
    others = [name for name in 'abc' if name != first]
    winner = simulation.leader() or others[0]
    others.remove(winner)
    simulation.crash(others[0])
    simulation.network.cut_links = {
        link for name in 'abc' for link in ((name, winner), (winner, name))
    }
    simulation.sync_s = (0.001, 0.01)
    # Messages still in flight would tell the restarted voter about the term.
    simulation.run(0.1)
    simulation.start(first)
    simulation.start(others[0])
    simulation.run(3)


def lose_acknowledging_disk(seed: int, replica_type: type[Replica]) -> None:
    """Lose one of the two disks that contain an acknowledged record.

    If the replacing empty disk may vote, it can elect the replica that lacks
    the record.
    """
    simulation = Simulation(seed, 'abc', replica_type)
    simulation.initialise()
    leader = simulation.leader()
    holder, absent = [name for name in 'abc' if name != leader]
    simulation.crash(absent)
    answer = simulation.execute(leader, WithdrawKey('k', 'unknown'))
    assert answer == answer.__class__('key', 'unknown'), answer
    simulation.crash(leader)
    simulation.lose_disk(holder)
    simulation.start(holder)
    simulation.start(absent)
    simulation.run(3)
    simulation.start(leader)
    simulation.run(3)
    assert simulation.leader() is not None, 'no leader'
    results = simulation.vms[leader].context.machine.results
    assert 'k' in results, 'acknowledged record lost'


class SeededFaultTest(testtools.TestCase):
    """Guards against checks that pass even for faulty replicas."""

    @parameterized.expand(
        [
            ('vote_without_sync', crash_after_vote, VotesWithoutSync),
            ('replaced_disk', lose_acknowledging_disk, ReplacedDiskVotes),
        ]
    )
    def test_found(self, _name: str, scenario, faulty) -> None:
        failures = [
            seed for seed in SEEDS if not _passes(scenario, seed, faulty)
        ]
        self.assertNotEqual(failures, [])
        for seed in SEEDS:
            scenario(seed, Replica)


def _passes(scenario, seed: int, replica_type: type[Replica]) -> bool:
    try:
        scenario(seed, replica_type)
    except AssertionError:
        return False
    return True
