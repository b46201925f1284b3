"""Tests of the shares of an account's rate that VMs use without the owner."""

from __future__ import annotations

import random

from parameterized import parameterized
from testtools import TestCase

from cranberryseam.limits.bucket import Bucket, HeldElsewhere
from cranberryseam.limits.rate_shares import InheritedShares, RateShares
from cranberryseam.limits.shares import Limit
from cranberryseam.ownership import SILENT_AFTER_S, ContactLog
from cranberryseam.types import VmId

RATE = 40.0
_VMS = tuple(VmId(f'e{number}') for number in range(8))
_PRECISION = 6


class RateSharesTest(TestCase):
    """Shares of all VMs together."""

    @parameterized.expand([(seed,) for seed in range(5)])
    def test_sum(self, seed: int) -> None:
        """Guards against shares of a burst that exceed the rate together."""
        draws = random.Random(seed)
        shares = RateShares()
        held = dict.fromkeys(_VMS, 0.0)
        for step in range(500):
            at = step * 0.05
            vm = draws.choice(_VMS)
            shares.expire(at)
            share = shares.assign(
                vm, draws.uniform(0, RATE), held[vm], RATE, at + 5
            )
            if draws.random() < 0.7:
                # The other answers are lost.
                held[vm] = share
            self.assertLessEqual(sum(held.values()), RATE + 1e-6)

    def test_inherited(self) -> None:
        """Guards against a new owner that grants what others still hold."""
        inherited = InheritedShares(10)
        inherited.report(_VMS[0], 5, 10)
        inherited.report(_VMS[1], 15, 8)
        inherited.report(_VMS[1], 30, 8)
        self.assertAlmostEqual(inherited.count_held(RATE), 12, _PRECISION)


class ReservationTest(TestCase):
    """Buckets while VMs that hold shares are silent."""

    @parameterized.expand(
        [
            ('none', 0, RATE),
            ('some', 2, RATE * 0.75),
            ('all', len(_VMS), 0),
        ]
    )
    def test_refill(self, _: str, silent: int, expected_rate: float) -> None:
        """Guards against an owner that grants the shares of silent VMs."""
        contacts = ContactLog()
        bucket = Bucket(Limit(RATE, 1000), 0, 10, contacts=contacts)
        for vm in _VMS:
            contacts.record(vm, 10, 10)
            bucket.shares.assign(vm, RATE / len(_VMS), 0, RATE, 15)
        for vm in _VMS[silent:]:
            contacts.record(vm, 12, 12)
        bucket.advance(10 + SILENT_AFTER_S)
        before = bucket.level
        bucket.advance(12)
        gained = bucket.level - before
        elapsed_s = 2 - SILENT_AFTER_S
        # The others were silent as well until their poll.
        late_s = 12 - 10 - SILENT_AFTER_S
        reserved = (len(_VMS) - silent) / len(_VMS) * RATE * late_s
        self.assertAlmostEqual(
            gained + reserved, expected_rate * elapsed_s, _PRECISION
        )

    def test_expired_shares(self) -> None:
        """Guards against a lost VM whose share is reserved for ever."""
        contacts = ContactLog()
        contacts.record(_VMS[0], 10, 10)
        bucket = Bucket(Limit(RATE, 1000), 0, 10, contacts=contacts)
        bucket.shares.assign(_VMS[0], RATE, 0, RATE, 15)
        bucket.advance(15)
        before = bucket.level
        bucket.advance(17)
        self.assertAlmostEqual(bucket.level - before, 2 * RATE, _PRECISION)

    def test_held_elsewhere(self) -> None:
        """Guards against shares of an earlier owner that are granted twice."""
        held = HeldElsewhere(RATE / 2, 12)
        bucket = Bucket(Limit(RATE, 1000), 0, 10, held_elsewhere=held)
        bucket.advance(14)
        self.assertAlmostEqual(bucket.level, 3 * RATE, _PRECISION)

    def test_part_of_the_level(self) -> None:
        """Guards against a full bucket that is used by the VMs cut off and by
        the others.
        """
        contacts = ContactLog()
        for vm in _VMS:
            contacts.record(vm, 10, 10)
        bucket = Bucket(Limit(0, RATE), RATE, 10, contacts=contacts)
        bucket.advance(11)
        self.assertLess(bucket.level, RATE / 2)
