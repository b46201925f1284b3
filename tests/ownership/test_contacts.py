"""Tests of the contacts between an owner and the VMs."""

from __future__ import annotations

from parameterized import parameterized
from testtools import TestCase

from cranberryseam.ownership import (
    SILENT_AFTER_S,
    USE_RESERVE_AFTER_S,
    ContactLog,
)
from cranberryseam.types import VmId

VM = VmId('e1')
_POLL_S = 0.35
_PRECISION = 9


def _silent_s(contacts: ContactLog, since: float, until: float) -> float:
    """Return for how long ``VM`` was silent in an interval."""
    return sum(
        silence.overlap(since, until)
        for silence in contacts.list_silences(since, until)
        if silence.vm == VM
    )


class ContactLogTest(TestCase):
    """Silences of VMs, as the owner knows them."""

    @parameterized.expand(
        [
            ('polls arrive', 20, 20, 0),
            ('polls are lost', 10, 10, 10 - SILENT_AFTER_S),
            ('replies are lost', 20, 10, 10 - SILENT_AFTER_S),
        ]
    )
    def test_silence(
        self, _: str, polls_until: float, replies_until: float, silent_s: float
    ) -> None:
        """Guards against a VM without replies that counts as in contact."""
        contacts = ContactLog()
        at = answered_at = 0.0
        while (at := at + _POLL_S) <= polls_until:
            contacts.record(VM, at, answered_at or at)
            if at <= replies_until:
                answered_at = at
        measured = _silent_s(contacts, _POLL_S, 20)
        self.assertAlmostEqual(measured, silent_s, delta=2 * _POLL_S)
        if silent_s:
            used_since = replies_until + USE_RESERVE_AFTER_S
            self.assertAlmostEqual(
                _silent_s(contacts, used_since, 20), 20 - used_since, _PRECISION
            )

    def test_ended_silence(self) -> None:
        """Guards against a silence that is forgotten when it ends."""
        contacts = ContactLog()
        contacts.record(VM, 1, 1)
        contacts.record(VM, 5, 5)
        self.assertAlmostEqual(
            _silent_s(contacts, 0, 5.5), 4 - SILENT_AFTER_S, _PRECISION
        )
        self.assertAlmostEqual(_silent_s(contacts, 3, 4), 1, _PRECISION)

    def test_late_poll(self) -> None:
        """Guards against a poll on its way for long that ends a silence."""
        contacts = ContactLog()
        contacts.record(VM, 1, 1)
        contacts.record(VM, 5, 2)
        self.assertAlmostEqual(
            _silent_s(contacts, 0, 6), 5 - SILENT_AFTER_S, _PRECISION
        )

    @parameterized.expand([('soon', 9.0, 2), ('later', 12.0, 1)])
    def test_lost_vm(self, _: str, at: float, vms: int) -> None:
        """Guards against VMs that left and are counted for ever."""
        contacts = ContactLog()
        contacts.record(VM, 1, 1)
        contacts.record(VmId('e2'), 8, 8)
        contacts.list_silences(0, at)
        contacts.forget_lost(at)
        self.assertEqual(len(contacts), vms)

    def test_vm_without_replies_is_kept(self) -> None:
        """Guards against a silence that begins anew with each poll."""
        contacts = ContactLog()
        contacts.record(VM, 1, 1)
        for second in range(2, 30):
            contacts.record(VM, second, 1)
            contacts.forget_lost(second)
        self.assertEqual(len(contacts.list_silences(0, 30)), 1)
