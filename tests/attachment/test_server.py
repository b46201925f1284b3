"""Tests of the replies of the control leader to polls (pattern: all start)."""

from __future__ import annotations

import random

from parameterized import parameterized
from testtools import TestCase

from cranberryseam.assembly import build_codec
from cranberryseam.attachment.client import AttachmentClient
from cranberryseam.attachment.messages import Departure, Poll, PollReply
from cranberryseam.attachment.server import AttachmentServer
from cranberryseam.attachment.table import TargetTable
from cranberryseam.configuration.model import Configuration
from cranberryseam.control.replica import LeaderStatus
from cranberryseam.core.effects import SendMessage
from cranberryseam.core.events import (
    MessageReceived,
    Started,
    TargetState,
    TimerFired,
)
from cranberryseam.ownership import ContactLog
from cranberryseam.types import TargetId, VmId

from .attached_fleet import make_announcement, make_settings

VMS = 300
TARGETS = 150
ROUND_TRIP_S = 0.06
FAST_POLL_S = 0.1


class _Leader:
    """Replica that leads, with a configuration that tests may replace."""

    leader_vm = VmId('c1')
    members_index = 1
    now = 0.0
    configuration = Configuration(version=7, content_version=7)

    def find_leader_status(self) -> LeaderStatus:
        return LeaderStatus(3, 0, self.now, self.configuration)

    def list_members(self) -> tuple[VmId, ...]:
        return (self.leader_vm,)


class _Follower:
    """Table with targets that a follower had received."""

    rows = {}


class _Server:
    """Server that gets polls from VMs without a configuration."""

    def __init__(self) -> None:
        self._leader = _Leader()
        self._server = AttachmentServer(
            make_settings('c1'), self._leader, _Follower(), ContactLog()
        )
        self._server.handle(Started(0, 0))
        self._server._find_leader_status(0)
        for number in range(TARGETS):
            announcement = make_announcement(f't{number}', port=number + 1)
            self._server._table.update(announcement, 0)

    def announce(self, name: str, at: float) -> None:
        """Add a target."""
        announcement = make_announcement(name, port=TARGETS + 1)
        self._server._table.update(announcement, at)

    def depart(self, name: str, at: float) -> None:
        """Record that a target leaves."""
        departure = Departure(TargetId(name), born_ms=1)
        self._server._table.depart(departure, at)

    def replace_configuration(self, version: int) -> None:
        """Put a configuration in force."""
        self._leader.configuration = Configuration(
            version=version, content_version=version
        )

    def poll(self, vm: str, at: float, poll: Poll) -> PollReply:
        """Return the reply to a poll."""
        self._leader.now = at
        outputs = self._server.handle(MessageReceived(at, VmId(vm), poll))
        (sent,) = [out for out in outputs if isinstance(out, SendMessage)]
        return sent.message


class StartTest(TestCase):
    """VMs poll fast until they have a configuration."""

    def test_bytes_at_the_start_of_all(self) -> None:
        """Guards against copies of the table for polls sent meanwhile.

        A busy leader answers late, and each further poll made it later.
        """
        server = _Server()
        codec = build_codec()
        sizes = [0, 0, 0]
        for number in range(VMS):
            for step in range(3):
                at = number / 1000 + step * FAST_POLL_S
                reply = server.poll(f'e{number}', at, Poll(at, 0, 0, 0, 0))
                sizes[step] += len(codec.encode(VmId('c1'), reply))
        self.assertLess(sum(sizes[1:]), sizes[0] / 2)

    def test_lost_reply(self) -> None:
        """Guards against a VM that never gets its first configuration."""
        server = _Server()
        full = [
            server.poll('e1', at, Poll(at, 0, 0, 0, 0)).is_full
            for at in (0, 0.1, 0.2, 0.35)
        ]
        self.assertEqual([True, False, False, True], full)

    def test_first_configuration(self) -> None:
        """Guards against copies of the first configuration of a new fleet.

        All VMs know the table by then and poll fast. On 294 VMs the leader sent
        23 MB in the first ten seconds, most of it copies.
        """
        server = _Server()
        known = Poll(1, 0, 3, TARGETS, 1)
        sent = [
            server.poll('e1', at, known).content is not None
            for at in (1, 1.1, 1.2, 1.35)
        ]
        self.assertEqual([True, False, False, True], sent)

    def test_configured_vm(self) -> None:
        """Guards against changes that wait for a later poll."""
        server = _Server()
        known = Poll(1, 7, 2, 5, 1)
        self.assertTrue(server.poll('e1', 1, known).is_full)
        self.assertTrue(server.poll('e1', 1.1, known).is_full)


class _Client:
    """VM without a configuration that polls the server."""

    def __init__(self, server: _Server) -> None:
        self._server = server
        self._client = AttachmentClient(make_settings('e1'), random.Random(3))
        self._client.leader = VmId('c1')
        self._client.handle(Started(0, 0))

    def poll(self, at: float) -> PollReply:
        """Return the reply to a poll, which has not arrived yet."""
        self._client._replied_at = at
        outputs = self._client.handle(TimerFired(at, '', ''))
        (poll,) = [
            out.message for out in outputs if isinstance(out, SendMessage)
        ]
        return self._server.poll('e1', at, poll)

    def receive(self, reply: PollReply, at: float) -> None:
        """Apply a reply."""
        self._client.handle(MessageReceived(at, VmId('c1'), reply))

    def find_state(self, name: str) -> TargetState | None:
        """Return the known state of a target."""
        row = self._client.rows.get(TargetId(name))
        return row.announcement.state if row else None


class ChangesAtTheStartTest(TestCase):
    """Targets change while a starting VM gets its first replies.

    The leader sends the whole table and the first configuration only once in
    a while to such a VM.
    """

    def check(self, server: _Server, client: _Client, at: float) -> None:
        """Check what the VM knows after a further reply."""
        client.receive(client.poll(at), at + ROUND_TRIP_S)
        self.assertEqual(TargetState.ready, client.find_state('new'))
        self.assertEqual(TargetState.draining, client.find_state('t0'))

    def test_after_the_whole_table(self) -> None:
        """Guards against changes that the next reply skips.

        The next poll is sent before the whole table arrives.
        """
        server = _Server()
        client = _Client(server)
        replies = [client.poll(0)]
        server.announce('new', 0.05)
        server.depart('t0', 0.05)
        replies.append(client.poll(0.1))
        for reply in replies:
            client.receive(reply, 0.15)
        self.check(server, client, 0.4)

    @parameterized.expand([('at_once', 0.1), ('later', 0.4)])
    def test_beside_the_first_configuration(self, _: str, at: float) -> None:
        """Guards against targets that stay unknown after the first start.

        They announce themselves as soon as the first configuration is in
        force.
        """
        server = _Server()
        server.replace_configuration(0)
        client = _Client(server)
        client.receive(client.poll(0), 0.05)
        server.replace_configuration(7)
        replies = [client.poll(at)]
        server.announce('new', at)
        server.depart('t0', at)
        replies.append(client.poll(at + 0.1))
        for reply in replies:
            client.receive(reply, at + 0.15)
        self.check(server, client, at + 0.5)

    def test_first_configuration_after_the_table(self) -> None:
        """Guards against a first configuration that waits for the table."""
        server = _Server()
        server.replace_configuration(0)
        client = _Client(server)
        client.receive(client.poll(0), 0.05)
        server.replace_configuration(7)
        self.assertIsNotNone(client.poll(0.1).content)

    def test_lost_replies(self) -> None:
        """Guards against changes that are lost with a reply."""
        server = _Server()
        server.replace_configuration(0)
        client = _Client(server)
        client.poll(0)
        server.announce('new', 0.05)
        client.receive(client.poll(0.1), 0.15)
        client.poll(0.35)
        server.replace_configuration(7)
        server.depart('t0', 0.4)
        client.receive(client.poll(0.45), 0.5)
        self.check(server, client, 0.8)


class AddressTest(TestCase):
    """An address belongs to the target that started last at it."""

    def test_successors(self) -> None:
        """Guards against an address that is lost to an earlier target."""
        table = TargetTable()
        for name, born_ms, taken in (
            ('old', 10, True),
            ('new', 20, True),
            ('old', 10, False),
            ('newest', 30, True),
        ):
            announcement = make_announcement(name, born_ms=born_ms)
            self.assertEqual(taken, table.claim_address(announcement))
            if taken:
                table.update(announcement, 1)
        silent = {
            row.announcement.target: row.silent for row in table.list_rows(0)
        }
        self.assertEqual({'old': True, 'new': True, 'newest': False}, silent)

    def test_moved_target(self) -> None:
        """Guards against an address that stays with a target that moved."""
        table = TargetTable()
        table.update(make_announcement('t1', port=1), 1)
        table.update(make_announcement('t1', port=2, sequence=2), 2)
        other = make_announcement('t2', port=1, born_ms=0)
        self.assertTrue(table.claim_address(other))
        self.assertFalse(
            table.claim_address(make_announcement('t3', port=2, born_ms=0))
        )

    def test_restored_table(self) -> None:
        """Guards against a new leader that forgets who has an address."""
        before = TargetTable()
        before.update(make_announcement('t1', born_ms=20), 1)
        rows = {TargetId('t1'): before.list_rows(0)[0]}
        table = TargetTable()
        table.restore(rows, (), 2)
        self.assertFalse(
            table.claim_address(make_announcement('t2', born_ms=10))
        )
