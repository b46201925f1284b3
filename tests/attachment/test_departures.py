"""Departures of targets that are not in the table of the leader."""

from __future__ import annotations

import random

from parameterized import parameterized
from testtools import TestCase

from cranberryseam.attachment.client import AttachmentClient
from cranberryseam.attachment.messages import PollReply, TargetRow
from cranberryseam.core import events as ev
from cranberryseam.core.notices import TargetChanged
from cranberryseam.types import ServiceName, TargetId, VmId

from .attached_fleet import (
    CONTROL,
    ENTRIES,
    AttachedFleet,
    make_announcement,
    make_settings,
    run_fleet,
)

# A departed target receives no requests this long after the acknowledgement.
DRAIN_LIMIT_S = 2.5
ACKNOWLEDGE_LIMIT_S = 2.0
LEAVING = ev.TargetState.draining
# A departure with only the name of the target.
NAME_ONLY = ev.Announcement(
    TargetId('t1'), ServiceName(''), '', 0, 'fleet', '', 1, 1, LEAVING, 0
)
FULL = make_announcement(state=LEAVING, sequence=2)


def restart_control(fleet: AttachedFleet) -> None:
    """Restart all control VMs, so that they lose their in-memory state."""
    for name in CONTROL:
        fleet.kill(name)
    fleet.run(0.3)
    for name in CONTROL:
        fleet.restart(name)
    fleet.run_until(fleet.leader, 5)


def depart(fleet: AttachedFleet, announcement: ev.Announcement) -> None:
    """Announce a departure and wait for its acknowledgement."""
    accepted = fleet.announce('c1', announcement)
    fleet.run_until(accepted, ACKNOWLEDGE_LIMIT_S)


class UnknownTargetTest(TestCase):
    """A departure applies to all VMs, whatever the table of the leader has."""

    @parameterized.expand([('full', FULL), ('bare', NAME_ONLY)])
    def test_departure_after_restart_of_control(
        self, _: str, announcement: ev.Announcement
    ) -> None:
        """Guards against requests to a target unknown to a new leader."""
        with run_fleet() as fleet:
            restart_control(fleet)
            depart(fleet, announcement)
            fleet.run(DRAIN_LIMIT_S)
            for name in ENTRIES:
                self.assertEqual(fleet.reason(name), 'no_target')

    def test_departure_before_restart_of_control(self) -> None:
        """Guards against VMs that miss a departure in the log."""
        with run_fleet() as fleet:
            fleet.block_links(CONTROL, ENTRIES, both=True)
            depart(fleet, FULL)
            restart_control(fleet)
            fleet.blocked_links.clear()
            fleet.run(DRAIN_LIMIT_S)
            for name in ENTRIES:
                self.assertEqual(fleet.reason(name), 'no_target')

    def test_late_heartbeat_after_bare_departure(self) -> None:
        """Guards against a delayed heartbeat that restores a target."""
        with run_fleet() as fleet:
            restart_control(fleet)
            depart(fleet, NAME_ONLY)
            fleet.announce('c2', make_announcement(sequence=3))
            fleet.run(DRAIN_LIMIT_S)
            for name in ENTRIES:
                self.assertEqual(fleet.reason(name), 'no_target')

    def test_new_start_after_bare_departure(self) -> None:
        """Guards against a departure that also applies to the next start."""
        with run_fleet() as fleet:
            restart_control(fleet)
            depart(fleet, NAME_ONLY)
            fleet.run(DRAIN_LIMIT_S)
            born_ms = fleet.wall_ms()
            again = make_announcement(born_ms=born_ms)
            fleet.run_until(fleet.announce('c2', again), 1)
            fleet.run(1)
            for name in ENTRIES:
                self.assertEqual(fleet.reason(name), '')


class StartsTest(TestCase):
    """A target that restarts under the same name."""

    def test_departure_of_a_start_that_was_not_announced(self) -> None:
        """Guards against requests to a start that announces only a departure.

        VMs know the previous start, which had the same address.
        """
        with run_fleet() as fleet:
            again = make_announcement(state=LEAVING, born_ms=5)
            depart(fleet, again)
            fleet.run(DRAIN_LIMIT_S)
            for name in ENTRIES:
                self.assertEqual(fleet.reason(name), 'no_target')

    def test_late_departure_of_the_start_before(self) -> None:
        """Guards against a delayed departure that ends a later start."""
        with run_fleet() as fleet:
            fleet.run_until(
                fleet.announce('c2', make_announcement(born_ms=5)), 1
            )
            depart(fleet, FULL)
            fleet.run(1)
            for name in ENTRIES:
                self.assertEqual(fleet.reason(name), '')


class ForeignAnnouncementTest(TestCase):
    """Announcements under the name of a target, sent by another process."""

    def test_announcement_for_another_service(self) -> None:
        """Guards against removal of a target by another process."""
        with run_fleet() as fleet:
            foreign = make_announcement(sequence=2, service='other')
            fleet.run_until(fleet.announce('c1', foreign), 1)
            fleet.run(1)
            for name in ENTRIES:
                self.assertEqual(fleet.reason(name), '')

    def test_departure_after_an_announcement_for_another_service(self) -> None:
        """Guards against a row that VMs keep under two services."""
        with run_fleet() as fleet:
            foreign = make_announcement(sequence=2, service='other')
            fleet.run_until(fleet.announce('c1', foreign), 1)
            fleet.run(1)
            depart(fleet, make_announcement(state=LEAVING, sequence=3))
            fleet.run(DRAIN_LIMIT_S)
            for name in ENTRIES:
                self.assertEqual(fleet.reason(name), 'no_target')


class RowsTest(TestCase):
    """Rows that a VM receives from its leader."""

    def test_start_for_another_service(self) -> None:
        """Guards against a target that remains in its previous service."""
        attachment = AttachmentClient(make_settings('e1'), random.Random(1))
        changes = []
        for position, service in enumerate(('katalogi', 'malipo'), 1):
            announcement = make_announcement(born_ms=position, service=service)
            reply = PollReply(
                sent_at=position,
                age_s=0,
                term=1,
                position=position,
                members_index=1,
                vm_count=1,
                rows=(TargetRow(announcement),),
                is_full=position == 1,
            )
            event = ev.MessageReceived(position, VmId('c1'), reply)
            changes += [
                (output.announcement.service, output.silent)
                for output in attachment.handle(event)
                if isinstance(output, TargetChanged)
            ]
        self.assertEqual(
            changes,
            [('katalogi', False), ('katalogi', True), ('malipo', False)],
        )
