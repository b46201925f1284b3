"""Complete fleets that find each other through seeds, under failures."""

from __future__ import annotations

from parameterized import parameterized
from testtools import TestCase

from cranberryseam.core import events as ev
from cranberryseam.core.commands import CommandAnswer
from cranberryseam.core.documents import DocumentConflict, ReadDocument

from .attached_fleet import (
    CONTROL,
    ENTRIES,
    make_announcement,
    make_document,
    replace_content,
    run_fleet,
)

# A document must be in force on all VMs this long after its acknowledgement.
APPLY_LIMIT_S = 2.5
# A withdrawn key must be refused after this.
WITHDRAWAL_LIMIT_S = 5.0
# A departed target receives no requests after this.
DRAIN_LIMIT_S = 2.5
# A replaced control VM is a voter again after this.
REPLACEMENT_LIMIT_S = 4.0
LEAVING = ev.TargetState.draining


class FormationTest(TestCase):
    """The log forms once and adds voters for fault tolerance."""

    @parameterized.expand([(seed,) for seed in range(5)])
    def test_grows_to_five(self, seed: int) -> None:
        """Guards against a log of the three seeds, which two losses stop."""
        with run_fleet(seed) as fleet:
            self.assertEqual(fleet.count_voters(), 5)

    @parameterized.expand([(name,) for name in CONTROL])
    def test_lost_disk_is_replaced(self, name: str) -> None:
        """Guards against a VM without its disk that stays out, or votes."""
        with run_fleet() as fleet:
            fleet.kill(name)
            fleet.lose_disk(name)
            fleet.restart(name)
            fleet.run(REPLACEMENT_LIMIT_S)
            self.assertEqual(fleet.count_voters(), 5)
            self.assertEqual(fleet.read().version, 1)

    def test_new_address_takes_the_place_of_a_lost_vm(self) -> None:
        """Guards against replacements that must have the previous address."""
        with run_fleet() as fleet:
            lost = next(name for name in CONTROL if name != fleet.leader())
            fleet.kill(lost)
            fleet.restart('c6')
            fleet.run(8)
            replica = fleet.processes[fleet.leader()].node._component_by_name[
                'control'
            ]
            self.assertIn('c6', replica.list_members())
            self.assertNotIn(lost, replica.list_members())


class DocumentTest(TestCase):
    """The document with the highest version is in force; it never reverts."""

    def test_versions(self) -> None:
        """Guards against applying an older or conflicting document."""
        second = make_document(5, ('asha', 'juma'))
        cases = (
            (second, CommandAnswer, 5),
            (second, CommandAnswer, 5),
            (replace_content(second, b'other'), DocumentConflict, 5),
            (make_document(3), CommandAnswer, 5),
            (make_document(9), CommandAnswer, 9),
        )
        with run_fleet() as fleet:
            for document, expected, in_force in cases:
                self.assertIsInstance(fleet.put(document), expected)
                self.assertEqual(fleet.read().version, in_force)

    def test_in_force_everywhere(self) -> None:
        """Guards against a VM that keeps an outdated document."""
        with run_fleet() as fleet:
            fleet.put(make_document(2, ('juma',)))
            fleet.run(APPLY_LIMIT_S)
            for name in ENTRIES:
                self.assertEqual(fleet.reason(name, 'juma'), '')
                self.assertEqual(fleet.reason(name, 'asha'), 'key_unknown')

    @parameterized.expand([(seed,) for seed in range(6)])
    def test_two_disks_lost_beside_a_loss_of_power(self, seed: int) -> None:
        """Guards against the loss of an acknowledged document."""
        with run_fleet(seed) as fleet:
            self.assertIsInstance(fleet.put(make_document(7)), CommandAnswer)
            lost = fleet.rng.sample(CONTROL, 2)
            for name in CONTROL:
                fleet.kill(name)
            for name in lost:
                fleet.lose_disk(name)
            fleet.run(0.5)
            for name in CONTROL:
                fleet.restart(name)
            self.assertEqual(fleet.read().version, 7)
            fleet.run(2 * REPLACEMENT_LIMIT_S)
            self.assertEqual(fleet.count_voters(), 5)

    def test_isolated_leader_reads_nothing(self) -> None:
        """Guards against a stale document read at a partitioned leader."""
        with run_fleet() as fleet:
            old = fleet.leader()
            fleet.block_links([old], fleet.other_vms(old), both=True)
            stale = fleet.command(old, ReadDocument())
            fleet.run(3)
            self.assertNotEqual(fleet.leader(), old)
            fleet.put(make_document(2))
            self.assertNotIsInstance(stale(), CommandAnswer)


class FreshnessTest(TestCase):
    """A VM without contact to the control quorum refuses API keys."""

    @parameterized.expand(
        [
            ('both ways', True, True),
            ('replies lost', True, False),
            ('polls lost', False, True),
        ]
    )
    def test_cut_off_entry(self, _: str, to_vm: bool, from_vm: bool) -> None:
        """Guards against a withdrawn key accepted by a partitioned VM."""
        with run_fleet() as fleet:
            if to_vm:
                fleet.block_links(CONTROL, ['e1'], both=False)
            if from_vm:
                fleet.block_links(['e1'], CONTROL, both=False)
            fleet.put(make_document(2, ('juma',)))
            fleet.run(WITHDRAWAL_LIMIT_S - 0.3)
            self.assertEqual(fleet.reason('e1', 'asha'), 'keys_stale')
            self.assertFalse(fleet.processes['e1'].ready)
            fleet.blocked_links.clear()
            fleet.run(2)
            self.assertEqual(fleet.reason('e1', 'juma'), '')

    def test_leader_without_quorum_proves_nothing(self) -> None:
        """Guards against freshness evidence from a leader without a quorum."""
        with run_fleet() as fleet:
            old = fleet.leader()
            rest = [name for name in CONTROL if name != old]
            fleet.block_links([old], rest, both=True)
            fleet.block_links(rest, ENTRIES, both=True)
            fleet.run(WITHDRAWAL_LIMIT_S)
            self.assertEqual(fleet.reason('e2'), 'keys_stale')

    def test_frozen_entry(self) -> None:
        """Guards against a VM that trusts its keys after a process pause."""
        with run_fleet() as fleet:
            fleet.freeze('e1', 6)
            fleet.put(make_document(2, ('juma',)))
            fleet.run(5.9)
            call = fleet.call('e1', 'asha')
            fleet.run(1)
            self.assertIn(call.reason, {'keys_stale', 'key_unknown'})


class PowerLossTest(TestCase):
    """All VMs lose power, and callers reconnect as the VMs restart."""

    @parameterized.expand([(seed,) for seed in range(3)])
    def test_first_requests_are_served(self, seed: int) -> None:
        """Guards against refusals before the first configuration arrives."""
        with run_fleet(seed) as fleet:
            for name in (*CONTROL, *ENTRIES):
                fleet.kill(name)
            fleet.run(0.7)
            for name in (*CONTROL, *ENTRIES):
                fleet.restart(name)
            calls = []
            for number in range(8):
                for control in CONTROL:
                    again = make_announcement(sequence=number + 2)
                    fleet.announce(control, again)
                calls += [fleet.call(name, 'asha') for name in ENTRIES]
                fleet.run(0.1)
            fleet.run(2)
            refused = [call.reason for call in calls if call.reason]
            self.assertLessEqual(len(refused), len(calls) // 8, refused)


class TargetTest(TestCase):
    """The table of targets follows announcements and the log."""

    def test_departure_outlives_the_leader(self) -> None:
        """Guards against a departure lost with the leader that accepted it."""
        with run_fleet() as fleet:
            self.assertEqual(fleet.reason('e1'), '')
            leaving = make_announcement(state=LEAVING, sequence=2)
            accepted = fleet.announce(fleet.leader(), leaving)
            fleet.run_until(accepted, 1)
            fleet.kill(fleet.leader())
            fleet.run(DRAIN_LIMIT_S)
            for name in ENTRIES:
                self.assertEqual(fleet.reason(name), 'no_target')

    def test_isolated_control_vm_accepts_no_departure(self) -> None:
        """Guards against an acknowledgement by a VM without a quorum."""
        with run_fleet() as fleet:
            alone = next(name for name in CONTROL if name != fleet.leader())
            fleet.block_links([alone], fleet.other_vms(alone), both=True)
            leaving = make_announcement(state=LEAVING, sequence=2)
            accepted = fleet.announce(alone, leaving)
            fleet.run(2)
            self.assertFalse(accepted())

    @parameterized.expand(
        [
            ('late announcement', 1, 3, 'no_target'),
            ('new start', 2, 1, ''),
        ]
    )
    def test_after_departure(
        self, _: str, born_ms: int, sequence: int, expected: str
    ) -> None:
        """Guards against delayed announcements that restore a target."""
        with run_fleet() as fleet:
            leaving = make_announcement(state=LEAVING, sequence=2)
            fleet.run_until(fleet.announce('c1', leaving), 1)
            again = make_announcement(born_ms=born_ms, sequence=sequence)
            fleet.run_until(fleet.announce('c3', again), 1)
            fleet.run(1)
            self.assertEqual(fleet.reason('e1'), expected)

    def test_address_goes_to_the_later_start(self) -> None:
        """Guards against a crashed target that reclaims its address."""
        with run_fleet() as fleet:
            for name, born_ms in (('t2', 9), ('t1', 1)):
                announcement = make_announcement(
                    name, born_ms=born_ms, sequence=5
                )
                fleet.run_until(fleet.announce('c1', announcement), 1)
            fleet.run(1)
            call = fleet.call('e1', 'asha')
            fleet.run(0.5)
            self.assertEqual(call.reason, '')
            entry = fleet.processes['e1'].node._component_by_name['attachment']
            self.assertEqual(set(entry.rows), {'t2'})

    def test_departure_leaves_a_line(self) -> None:
        """Guards against an acknowledged departure without a log line."""
        with run_fleet() as fleet:
            leaving = make_announcement(state=LEAVING, sequence=2)
            fleet.run_until(fleet.announce('c1', leaving), 1)
            lines = [
                line.fields
                for line in fleet.processes[fleet.leader()].log_entries
                if line.message == 'departure accepted'
            ]
            (fields,) = lines
            self.assertEqual(fields['target'], 't1')
            self.assertEqual(fields['known_born_ms'], 1)
            self.assertEqual(fields['known_state'], 'ready')
