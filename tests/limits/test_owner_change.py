"""Limits while their owner changes (pattern: the control leader is lost)."""

from __future__ import annotations

import random

import attrs
from parameterized import parameterized
from testtools import TestCase

from cranberryseam.configuration.model import Account, Configuration, Plan
from cranberryseam.configuration.settings import (
    Addresses,
    LimitSettings,
    Settings,
    VmSettings,
)
from cranberryseam.core.effects import SendMessage
from cranberryseam.core.notices import TokenDenied, TokenGranted
from cranberryseam.limits.bucket import BLOCK_LEASE_S, OWNER_MARGIN
from cranberryseam.limits.entry import TokenClient
from cranberryseam.limits.messages import TokensAsked, TokensGiven
from cranberryseam.limits.owner import BucketOwner, Verdict
from cranberryseam.limits.spare import SpareTokens
from cranberryseam.limits.waiting import HANDOVER_WAIT_S, MOST_WAIT_S
from cranberryseam.types import AccountId, Output, RequestId, VmId

VMS = 32
RATE = 40.0
WINDOW_S = 5.0
# What the users' platform tolerates in a window.
OVERAGE = 0.1
SLACK = 20
TOLERANCE = LimitSettings(early_share=0.5, early_tokens=4)
SINCE = 100.0
STEP_S = 0.05


class _Owners:
    """This VM has owned all buckets since a moment ago."""

    def group_of(self, region: str, shard_key: str) -> str:
        return 'control'

    def term_of(self, group: str, at: float) -> int | None:
        return 1

    def leads_since(self, group: str) -> float:
        return SINCE

    def share_of_vm(self) -> float:
        return 1 / VMS


def _configure(rate: float = RATE) -> Configuration:
    account = Account(AccountId('asha'), 'large', home='fleet')
    plan = Plan('large', rate, int(rate), 1, ())
    return Configuration(
        version=1, accounts={'asha': account}, plans={'large': plan}
    )


def _settings(limits: LimitSettings) -> Settings:
    settings = Settings(
        VmSettings('c1', 'fleet', 'dc-1'), Addresses(''), ('fleet',)
    )
    return attrs.evolve(settings, limits=limits)


class EarlyTokensTest(TestCase):
    """A new owner that doesn't know the leases of the one before."""

    def _ask(
        self, limits: LimitSettings, until_s: float, started_at: float = 0
    ) -> list[int]:
        owner = BucketOwner(_settings(limits), _Owners())
        owner.started_at = started_at
        configuration = _configure()
        owner.change_configuration(configuration, SINCE)
        owner.open_table('control', SINCE)
        given = []
        steps = int(until_s / 0.01)
        for number in range(steps):
            asked = TokensAsked('asha', 1, number, 1, 0)
            at = SINCE + number * 0.01
            (answer,) = owner.answer(VmId('e1'), asked, at)
            given.append(answer.message.count)
        return given

    def test_some_are_served_at_once(self) -> None:
        """Guards against a second in which nobody is served after the whole
        fleet lost power.
        """
        given = self._ask(TOLERANCE, 0.5)
        self.assertGreater(sum(given), RATE * 0.5 * 0.4)

    def test_without_tolerance_nobody_is(self) -> None:
        """Guards against tokens beyond the limits where none are tolerated."""
        given = self._ask(LimitSettings(), BLOCK_LEASE_S)
        self.assertEqual(0, sum(given))

    def test_more_after_a_restart_of_all(self) -> None:
        """Guards against a second of half the rate after a loss of power."""
        given = self._ask(TOLERANCE, 1.0, SINCE - 0.5)
        self.assertGreater(sum(given), RATE * 0.95)

    @parameterized.expand([('long running', 0.0), ('restarted', SINCE - 0.5)])
    def test_the_tolerance_is_kept(self, _: str, started_at: float) -> None:
        """Guards against more than the window allows beside old leases, which
        hold a burst at most.
        """
        given = self._ask(TOLERANCE, WINDOW_S, started_at)
        allowed = (RATE * WINDOW_S + RATE) * (1 + OVERAGE) + SLACK
        self.assertLessEqual(sum(given) + RATE, allowed)

    def test_verdict(self) -> None:
        """Guards against VMs that take a missing token for a full account."""
        owner = BucketOwner(_settings(TOLERANCE), _Owners())
        owner.change_configuration(_configure(), SINCE)
        asked = TokensAsked('asha', 1, 1, 9, 0)
        (answer,) = owner.answer(VmId('e1'), asked, SINCE)
        self.assertEqual(Verdict.not_ready, answer.message.verdict)
        self.assertLessEqual(
            answer.message.wait_s, BLOCK_LEASE_S * OWNER_MARGIN
        )

    @parameterized.expand(
        [
            ('little used', 39, 20, 20),
            ('at its limit', 0, 20, 0),
            ('one VM knows better', 39, 20, 2, 2),
            ('nobody knows', -1, 20, 0),
        ]
    )
    def test_opening_level(
        self, _: str, left: int, needed: int, least: int, other: int = -1
    ) -> None:
        """Guards against an account that loses its burst with its owner, and
        against one at its limit that gets another burst.
        """
        owner = BucketOwner(_settings(TOLERANCE), _Owners())
        owner.change_configuration(_configure(), SINCE)
        owner.open_table('control', SINCE)
        for number, known in enumerate((left, other), 1):
            asked = TokensAsked('asha', 1, number, 0, 0, known)
            owner.answer(VmId('e1'), asked, SINCE)
        at = SINCE + BLOCK_LEASE_S * OWNER_MARGIN
        asked = TokensAsked('asha', 1, 9, needed, 0)
        (answer,) = owner.answer(VmId('e1'), asked, at)
        self.assertEqual(least, answer.message.count)

    def test_without_tolerance_nothing_is_left(self) -> None:
        """Guards against reports that would break a strict limit."""
        owner = BucketOwner(_settings(LimitSettings()), _Owners())
        owner.change_configuration(_configure(), SINCE)
        owner.open_table('control', SINCE)
        owner.answer(VmId('e1'), TokensAsked('asha', 1, 1, 0, 0, 39), SINCE)
        at = SINCE + BLOCK_LEASE_S * OWNER_MARGIN
        (answer,) = owner.answer(
            VmId('e1'), TokensAsked('asha', 1, 2, 9, 0), at
        )
        self.assertEqual(0, answer.message.count)

    @parameterized.expand(
        [
            ('just opened', 0.5, Verdict.not_ready),
            ('recovered', 4.0, Verdict.rate),
        ]
    )
    def test_verdict_of_an_empty_bucket(
        self, _: str, opened_s: float, verdict: Verdict
    ) -> None:
        """Guards against refusals as beyond the rate of what had to wait.

        Buckets open empty while requests of more than a second wait for them.
        """
        owner = BucketOwner(_settings(TOLERANCE), _Owners())
        owner.change_configuration(_configure(), SINCE)
        owner.open_table('control', SINCE)
        at = SINCE + BLOCK_LEASE_S * OWNER_MARGIN + opened_s
        asked = TokensAsked('asha', 1, 1, 200, 0)
        (answer,) = owner.answer(VmId('e1'), asked, at)
        self.assertLess(answer.message.count, 200)
        self.assertEqual(verdict, answer.message.verdict)


class SpareTokensTest(TestCase):
    """VMs that can't reach any owner for a while."""

    def _serve(self, per_vm: list[float], away_s: float) -> int:
        """Return the requests that are served without an owner."""
        configuration = _configure()
        rng = random.Random(len(per_vm))
        served = 0
        for rate in per_vm:
            spare = SpareTokens(_settings(TOLERANCE), _Owners(), rng)
            at = 0.0
            while rate and at < 10:
                at += rng.expovariate(rate)
                spare.note_use('asha', at)
            at = 10.0
            while rate:
                at += rng.expovariate(rate)
                if at > 10 + away_s:
                    break
                served += spare.take(configuration, 'asha', at)
        return served

    @parameterized.expand(
        [
            ('evenly', [RATE * 0.8 / VMS] * VMS),
            ('on a few VMs', [RATE * 0.2] * 4 + [0.0] * 28),
        ]
    )
    def test_use_goes_on(self, _: str, per_vm: list[float]) -> None:
        """Guards against equal parts, which refuse most requests of an account
        whose callers are on a few VMs.
        """
        away_s = 2.0
        served = self._serve(per_vm, away_s)
        self.assertGreater(served, 0.75 * sum(per_vm) * away_s)

    @parameterized.expand([('empty', 0, 0.2), ('full', 13, 0.7)])
    def test_small_accounts(self, _: str, left: int, least: float) -> None:
        """Guards against small accounts that lose half of their requests: a VM
        sees one in several seconds, and its part is less than a token.
        """
        configuration = _configure(rate=8)
        rng = random.Random(left)
        asked = served = 0
        for _vm in range(VMS):
            spare = SpareTokens(_settings(TOLERANCE), _Owners(), rng)
            spare.note_left('asha', left)
            if rng.random() < 0.5:
                asked += 1
                served += spare.take(configuration, 'asha', 10.0)
        self.assertGreaterEqual(served, least * asked)
        self.assertLessEqual(served, left + SLACK)

    @parameterized.expand([('evenly', VMS), ('on a few VMs', 4)])
    def test_the_tolerance_is_kept(self, _: str, vms: int) -> None:
        """Guards against an account that gets more while nobody counts: it
        was at its limit before and asks for five times as much.
        """
        configuration = _configure()
        rng = random.Random(vms)
        served = 0
        for _vm in range(vms):
            spare = SpareTokens(_settings(TOLERANCE), _Owners(), rng)
            own = RATE / vms
            at = rng.random() / own
            while at < 10:
                spare.note_use('asha', at)
                at += 1 / own
            at = 10.0
            while at < 10 + WINDOW_S:
                at += rng.expovariate(own * 5)
                served += spare.take(configuration, 'asha', at)
        allowed = (RATE * WINDOW_S + RATE) * (1 + OVERAGE) + SLACK
        self.assertLessEqual(served, allowed)


class _Changing:
    """Owners whose leader the test sets."""

    def __init__(self) -> None:
        self.leader: VmId | None = VmId('c1')

    def group_of(self, region: str, shard_key: str) -> str:
        return 'control'

    def leader_of_group(self, group: str) -> VmId | None:
        return self.leader

    def share_of_vm(self) -> float:
        return 0

    def ask_leader(self, group: str, at: float) -> list[Output]:
        return []


class WaitTest(TestCase):
    """Requests that arrive while the owner is away and soon replaced."""

    def _open(self) -> tuple[TokenClient, _Changing]:
        owners = _Changing()
        client = TokenClient(_settings(TOLERANCE), owners, random.Random(1))
        client.configuration = _configure()
        client.follow_leader('control', 100.0)
        return client, owners

    def _run(
        self, client: TokenClient, since: float, until: float
    ) -> list[tuple[float, type]]:
        """Fire the timer of the waiting requests; return their ends."""
        ends: list[tuple[float, type]] = []
        for step in range(int((until - since) / STEP_S)):
            at = since + (step + 1) * STEP_S
            ends += [
                (at, type(output))
                for output in client.check_waiting(at)
                if isinstance(output, (TokenGranted, TokenDenied))
            ]
        return ends

    def test_served_by_the_next_owner(self) -> None:
        """Guards against refusals of what the next owner grants in time."""
        client, owners = self._open()
        owners.leader = None
        asha = AccountId('asha')
        client.acquire(RequestId(1), asha, 101.0, max_wait_s=1.5)
        self.assertEqual([], self._run(client, 101.0, 102.0))
        owners.leader = VmId('c2')
        sent = client.follow_leader('control', 102.0)
        asks = [
            output.message for output in sent if isinstance(output, SendMessage)
        ]
        given = TokensGiven(client.run, asks[-1].number, 1, Verdict.rate, 0, 9)
        (granted,) = (
            output
            for output in client.take_tokens(given, 102.1)
            if isinstance(output, TokenGranted)
        )
        self.assertEqual(RequestId(1), granted.request_id)

    def test_asked_again_until_the_owner_is_ready(self) -> None:
        """Guards against one early answer that ends the waiting."""
        client, _ = self._open()
        asha = AccountId('asha')
        (ask, *_) = (
            output.message
            for output in client.acquire(RequestId(1), asha, 101.0, 1.5)
            if isinstance(output, SendMessage)
        )
        early = TokensGiven(client.run, ask.number, 0, Verdict.not_ready, 1, 0)
        self.assertEqual([], client.take_tokens(early, 101.06))
        again = [
            output
            for step in range(4)
            for output in client.check_waiting(101.1 + step * STEP_S)
            if isinstance(output, SendMessage)
        ]
        self.assertGreaterEqual(len(again), 1)

    @parameterized.expand(
        [
            ('impatient', 101.0, 0.5, 0.5),
            ('patient', 101.0, 9.0, HANDOVER_WAIT_S),
            ('owner long away', 110.0, 9.0, MOST_WAIT_S),
        ]
    )
    def test_refused_in_time(
        self, _: str, at: float, max_wait_s: float, waited_s: float
    ) -> None:
        """Guards against requests that wait for an owner behind a cut."""
        client, owners = self._open()
        owners.leader = None
        client.acquire(RequestId(1), AccountId('asha'), at, max_wait_s)
        ((ended_at, kind),) = self._run(client, at, at + 3)
        self.assertIs(TokenDenied, kind)
        self.assertLessEqual(ended_at - at, waited_s + STEP_S / 2)
        self.assertGreaterEqual(ended_at - at, waited_s - 2 * STEP_S)
