"""Tests of configuration replication by gossip."""

from __future__ import annotations

import random
import statistics
from functools import partial

import testtools
from parameterized import parameterized

from cranberryseam.configuration.entries import (
    KeyGranted,
    ListsChanged,
    apply_entry,
)
from cranberryseam.configuration.model import Account, Configuration
from cranberryseam.core.commands import ShowLists
from cranberryseam.core.notices import SnapshotInstalled
from cranberryseam.fleet.configuration_copy import ConfigurationCopy
from cranberryseam.fleet.messages import Entries, PullEntries, PullSnapshot
from cranberryseam.fleet.outbox import Outbox
from cranberryseam.fleet.snapshot import SnapshotSource, SnapshotTransfer
from cranberryseam.fleet.startup_quorum import PeerAnswer, StartupQuorum

from .fleet_fixtures import FIRST_ENTRIES, build_network, commit, have_version
from .fleet_network import Network


def _grant(number: int) -> KeyGranted:
    key = f'{number}'
    return KeyGranted(key, f'id{number}', 'duka', key.encode())


def _build_large_configuration(keys: int) -> Configuration:
    configuration = Configuration()
    for version, entry in enumerate(FIRST_ENTRIES, start=1):
        configuration = apply_entry(configuration, version, entry)
    granted = {}
    for number in range(keys):
        one = apply_entry(Configuration(), 1, _grant(number))
        granted.update(one.keys)
    configuration.keys = {**configuration.keys, **granted}
    configuration.version = 5000
    return configuration


def _applies_in_order(network: Network) -> bool:
    return all(
        [version for _, version in vm.versions]
        == sorted({version for _, version in vm.versions})
        for vm in network.vms.values()
    )


class CopyTest(testtools.TestCase):
    """Guards against versions that decrease or skip an entry."""

    @parameterized.expand([(f'seed_{seed}', seed) for seed in range(5)])
    def test_against_model(self, _name: str, seed: int) -> None:
        # The model is the greatest version with all entries up to it.
        rng = random.Random(seed)
        log = [*FIRST_ENTRIES, *(_grant(number) for number in range(60))]
        states = [Configuration()]
        for version, entry in enumerate(log, start=1):
            states.append(apply_entry(states[-1], version, entry))
        outbox = Outbox()
        source = ConfigurationCopy(Outbox())
        copy = ConfigurationCopy(outbox)
        copy.mark_synced()
        model = 0
        chunks = []
        for _ in range(400):
            outbox.now += 1
            first = rng.randrange(1, len(log))
            batch = tuple(log[first - 1 : first - 1 + rng.randrange(1, 6)])
            if rng.random() < 0.1:
                last_version = rng.randrange(1, len(log))
                source.apply_snapshot(states[last_version])
                source.send_snapshot_chunk('s', PullSnapshot(0, 0))
                chunks.extend(
                    output.message for output in source._outbox.drain()
                )
                copy.receive_chunk('s', rng.choice(chunks))
                model = max(model, copy.version)
            else:
                copy.apply_entries(first, batch)
                if first <= model + 1:
                    model = max(model, first + len(batch) - 1)
            self.assertEqual(copy.version, model)
            self.assertEqual(copy.configuration, states[model])
        versions = [
            output.configuration.version
            for output in outbox.drain()
            if hasattr(output, 'configuration')
        ]
        self.assertEqual(versions, sorted(set(versions)))
        self.assertEqual(versions[-1], model)

    @parameterized.expand([('delta', 40, 'Entries'), ('whole', 400, 'Chunk')])
    def test_answer_to_pull(self, _name: str, behind: int, kind: str) -> None:
        outbox = Outbox()
        copy = ConfigurationCopy(outbox)
        for number in range(1, 501):
            copy.apply_entries(number, (_grant(number),))
        copy.send_entries('peer', PullEntries(500 - behind))
        message = outbox.drain()[0].message
        self.assertIn(kind, type(message).__name__)
        if isinstance(message, Entries):
            self.assertEqual(message.first, 461)

    def test_chunks_out_of_order(self) -> None:
        source = SnapshotSource()
        configuration = _build_large_configuration(3000)
        first, second, third = (
            source.build_chunk(configuration, start)
            for start in (0, 1024, 2048)
        )
        transfer = SnapshotTransfer('s')
        order = (first, third, first, second, second, third, third)
        taken = [transfer.add(chunk) for chunk in order]
        self.assertEqual(taken, [True, False, False, True, False, True, False])
        self.assertEqual(transfer.build(), configuration)

    def test_late_snapshot_does_not_revert(self) -> None:
        source = ConfigurationCopy(Outbox())
        source.apply_entries(1, FIRST_ENTRIES)
        source.send_snapshot_chunk('s', PullSnapshot(0, 0))
        chunk = source._outbox.drain()[0].message
        copy = ConfigurationCopy(Outbox())
        copy.mark_synced()
        copy.apply_snapshot(_build_large_configuration(10))
        copy.receive_chunk('s', chunk)
        self.assertFalse(copy.apply_snapshot(source.configuration))
        self.assertEqual((copy.version, copy.in_force), (5000, 5000))

    def test_nothing_in_force_before_settled(self) -> None:
        outbox = Outbox()
        copy = ConfigurationCopy(outbox)
        copy.apply_entries(1, (FIRST_ENTRIES[0],))
        self.assertEqual((copy.version, copy.in_force), (1, 0))
        copy.mark_synced()
        self.assertEqual(copy.in_force, 1)


class StartRuleTest(testtools.TestCase):
    """Guards against a restarted VM that puts an old version in force."""

    @parameterized.expand(
        [
            ('three_settled', 3, False, True, 9, True),
            ('two_settled_of_many', 2, False, True, 9, False),
            ('one_control', 1, True, True, 9, True),
            ('all_of_two', 2, False, True, 2, True),
            ('three_that_just_started', 3, False, False, 9, False),
            ('nobody', 0, False, True, 0, False),
        ]
    )
    def test_rule(self, _name, answers, control, settled, live, met) -> None:
        quorum = StartupQuorum()
        for number in range(answers):
            answer = PeerAnswer(5 + number, settled, control)
            quorum.record_answer(f'vm{number}', answer)
        names = [f'vm{number}' for number in range(live)]
        self.assertEqual(quorum.is_reached(names, peers_pending=False), met)


class DistributionTest(testtools.TestCase):
    """Guards against changes that are late, lost or reverted."""

    @parameterized.expand([('8', 8, 4), ('44', 44, 2)])
    def test_time_in_force(self, _name: str, size: int, seeds: int) -> None:
        times = []
        for seed in range(seeds):
            network = build_network(size, seed, loss=0.02)
            for version in range(4, 9):
                start = network.now
                commit(network, version, _grant(version))
                seen_at = network.run(
                    11, partial(have_version, network, version)
                )
                self.assertIsNotNone(seen_at)
                times.append(seen_at - start)
            self.assertTrue(_applies_in_order(network))
        self.assertLess(statistics.median(times), 2)
        self.assertLess(max(times), 5)

    def test_reordered_messages(self) -> None:
        # Round trips take up to 2 s, longer than the probe timeout.
        network = build_network(8, 14, loss=0.1, spread_s=1.0)
        for version in range(4, 24):
            commit(network, version, _grant(version))
            network.run(0.3)
        seen_at = network.run(15, partial(have_version, network, 23))
        self.assertIsNotNone(seen_at)
        self.assertTrue(_applies_in_order(network))

    def test_large_entry_is_pulled_in_chunks(self) -> None:
        network = build_network(8, 15)
        accounts = tuple(
            Account(f'account{number:06d}', 'small') for number in range(5000)
        )
        commit(network, 4, ListsChanged('large', accounts=accounts))
        seen_at = network.run(11, partial(have_version, network, 4))
        self.assertIsNotNone(seen_at)
        self.assertLess(network.max_message_bytes, 140_000)

    def test_returning_and_restarted_vms(self) -> None:
        network = build_network(44, 11)
        network.isolate('vm0020')
        for version in range(4, 8):
            commit(network, version, _grant(version))
            network.run(2)
        self.assertEqual(network.vms['vm0020'].versions[-1][1], 3)
        network.blocked_links.clear()
        # Control VMs are unreachable, so entry VMs must serve the pulls.
        for name in network.names[:3]:
            network.isolate(name)
        network.start('vm0030')
        recovered_at = network.run(8, lambda: have_version(network, 7))
        self.assertIsNotNone(recovered_at)
        self.assertEqual(network.vms['vm0030'].versions[0][1], 7)

    def test_restart_takes_the_newest_at_once(self) -> None:
        # One peer has an old version; three answers are needed to detect it.
        for seed in range(3):
            network = build_network(8, seed)
            network.isolate('vm0003')
            commit(network, 4, _grant(4))
            network.run(5)
            network.blocked_links.clear()
            network.start('vm0007')
            network.run(6)
            first = network.vms['vm0007'].versions[0][1]
            self.assertEqual(first, 4)

    def test_whole_configuration_in_chunks(self) -> None:
        network = build_network(8, 12, loss=0.05)
        configuration = _build_large_configuration(3000)
        for name in network.names[:3]:
            network.deliver(name, SnapshotInstalled(network.now, configuration))
        seen_at = network.run(20, lambda: have_version(network, 5000))
        self.assertIsNotNone(seen_at)
        keys = {len(vm.configuration.keys) for vm in network.vms.values()}
        self.assertEqual(keys, {3001})
        self.assertTrue(_applies_in_order(network))

    def test_lists_answer_has_no_hash(self) -> None:
        network = build_network(8, 13)
        answer = network.command('vm0005', ShowLists())
        self.assertEqual(answer.version, 2)
        self.assertEqual(
            answer.body['keys'],
            [{'id': 'k1', 'account': 'duka', 'withdrawn': False}],
        )
        self.assertNotIn('hash', repr(answer.body))
