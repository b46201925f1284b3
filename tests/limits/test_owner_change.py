"""Tests of rate limits while their owner, the control leader, changes."""

from __future__ import annotations

import random

import attrs
from parameterized import parameterized
from testtools import TestCase

from cranberryseam.attachment.client import POLL_INTERVAL_S
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
from cranberryseam.limits.fallback import FallbackTokens
from cranberryseam.limits.messages import (
    RateShare,
    TokensAsked,
    TokensGiven,
)
from cranberryseam.limits.owner import BucketOwner, Verdict
from cranberryseam.limits.rate_shares import SHARE_LIFETIME_S, RateShares
from cranberryseam.limits.waiting import HANDOVER_WAIT_S, MAX_WAIT_S
from cranberryseam.ownership import OwnerContact
from cranberryseam.types import AccountId, Output, RequestId, VmId

VMS = 32
RATE = 40.0
WINDOW_S = 5.0
# Excess over the limit that the platform tolerates in a window.
TOLERATED_SHARE = 0.1
TOLERATED_TOKENS = 20
TOLERANCE = LimitSettings(early_share=0.5, early_tokens=4)
ELECTED_AT_S = 100.0
TERM = 1
# Start of an outage.
OUTAGE_AT_S = 10.0
STEP_S = 0.05
_SEEDS = 40


class _OwnersStub:
    """Stub in which this VM has just become the owner of all buckets.

    Parameters
    ----------
    contact_at
        Time of the last contact with the owner.

    """

    def __init__(
        self, contact_at: float = OUTAGE_AT_S - POLL_INTERVAL_S / 2
    ) -> None:
        self._contact = OwnerContact(TERM, contact_at)

    def group_of(self, region: str, shard_key: str) -> str:
        return 'control'

    def term_of(self, group: str, at: float) -> int | None:
        return 1

    def leading_since(self, group: str) -> float:
        return ELECTED_AT_S

    def fallback_share(self) -> float:
        return 1 / VMS

    def last_contact(self) -> OwnerContact:
        return self._contact


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


def _draw_arrivals(
    rate: float, outage_s: float, rng: random.Random
) -> list[float]:
    """Return the times of the requests at one VM during an outage."""
    arrivals = []
    at = OUTAGE_AT_S
    until = OUTAGE_AT_S + outage_s
    while rate and (at := at + rng.expovariate(rate)) < until:
        arrivals.append(at)
    return arrivals


class EarlyTokensTest(TestCase):
    """A new owner that doesn't know the leases of the previous one."""

    def _send_requests(
        self, limits: LimitSettings, until_s: float, started_at: float = 0
    ) -> list[int]:
        owner = BucketOwner(_settings(limits), _OwnersStub())
        owner.started_at = started_at
        configuration = _configure()
        owner.change_configuration(configuration, ELECTED_AT_S)
        owner.open_table('control', ELECTED_AT_S)
        granted = []
        steps = int(until_s / 0.01)
        for number in range(steps):
            request = TokensAsked('asha', 1, number, 1, 0)
            at = ELECTED_AT_S + number * 0.01
            (answer,) = owner.answer(VmId('e1'), request, at)
            granted.append(answer.message.count)
        return granted

    def test_some_are_served_at_once(self) -> None:
        """Guards against a second without any grants after a power loss of
        the whole fleet.
        """
        granted = self._send_requests(TOLERANCE, 0.5)
        self.assertGreater(sum(granted), RATE * 0.5 * 0.4)

    def test_without_tolerance_nobody_is(self) -> None:
        """Guards against excess tokens where no excess is tolerated."""
        granted = self._send_requests(LimitSettings(), BLOCK_LEASE_S)
        self.assertEqual(0, sum(granted))

    def test_more_after_a_restart_of_all(self) -> None:
        """Guards against a second at half the rate after a power loss."""
        granted = self._send_requests(TOLERANCE, 1.0, ELECTED_AT_S - 0.5)
        self.assertGreater(sum(granted), RATE * 0.95)

    @parameterized.expand(
        [('long running', 0.0), ('restarted', ELECTED_AT_S - 0.5)]
    )
    def test_the_tolerance_is_kept(self, _: str, started_at: float) -> None:
        """Guards against exceeding the window together with old leases,
        which hold at most one burst.
        """
        granted = self._send_requests(TOLERANCE, WINDOW_S, started_at)
        allowed = (RATE * WINDOW_S + RATE) * (
            1 + TOLERATED_SHARE
        ) + TOLERATED_TOKENS
        self.assertLessEqual(sum(granted) + RATE, allowed)

    def test_verdict(self) -> None:
        """Guards against VMs that take a missing token for an exceeded rate."""
        owner = BucketOwner(_settings(TOLERANCE), _OwnersStub())
        owner.change_configuration(_configure(), ELECTED_AT_S)
        request = TokensAsked('asha', 1, 1, 9, 0)
        (answer,) = owner.answer(VmId('e1'), request, ELECTED_AT_S)
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
        self, _: str, left: int, needed: int, min_count: int, other: int = -1
    ) -> None:
        """Guards against an account that loses its burst when its owner is
        lost, and against one at its limit that gets a second burst.
        """
        owner = BucketOwner(_settings(TOLERANCE), _OwnersStub())
        owner.change_configuration(_configure(), ELECTED_AT_S)
        owner.open_table('control', ELECTED_AT_S)
        for number, known in enumerate((left, other), 1):
            request = TokensAsked('asha', 1, number, 0, 0, known)
            owner.answer(VmId('e1'), request, ELECTED_AT_S)
        at = ELECTED_AT_S + BLOCK_LEASE_S * OWNER_MARGIN
        request = TokensAsked('asha', 1, 9, needed, 0)
        (answer,) = owner.answer(VmId('e1'), request, at)
        self.assertEqual(min_count, answer.message.count)

    def test_without_tolerance_nothing_is_left(self) -> None:
        """Guards against reports of remaining tokens that break a limit."""
        owner = BucketOwner(_settings(LimitSettings()), _OwnersStub())
        owner.change_configuration(_configure(), ELECTED_AT_S)
        owner.open_table('control', ELECTED_AT_S)
        owner.answer(
            VmId('e1'), TokensAsked('asha', 1, 1, 0, 0, 39), ELECTED_AT_S
        )
        at = ELECTED_AT_S + BLOCK_LEASE_S * OWNER_MARGIN
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
        """Guards against denials for an exceeded rate right after opening.

        Buckets open empty while the requests of more than a second wait.
        """
        owner = BucketOwner(_settings(TOLERANCE), _OwnersStub())
        owner.change_configuration(_configure(), ELECTED_AT_S)
        owner.open_table('control', ELECTED_AT_S)
        at = ELECTED_AT_S + BLOCK_LEASE_S * OWNER_MARGIN + opened_s
        request = TokensAsked('asha', 1, 1, 200, 0)
        (answer,) = owner.answer(VmId('e1'), request, at)
        self.assertLess(answer.message.count, 200)
        self.assertEqual(verdict, answer.message.verdict)


class FallbackTokensTest(TestCase):
    """VMs that temporarily can't reach any owner."""

    def _assign(
        self, fallbacks: list[FallbackTokens], configuration: Configuration
    ) -> None:
        """Assign shares of the rate for what the VMs used."""
        rate = configuration.plans['large'].rate
        shares = RateShares()
        expires_at = OUTAGE_AT_S + SHARE_LIFETIME_S
        # VMs ask again and again; their first shares depend on the order.
        for number, fallback in list(enumerate(fallbacks)) * 3:
            claim = fallback.read_recent_rate('asha', OUTAGE_AT_S)
            assigned = shares.assign(
                VmId(f'e{number}'), claim, 0, rate, expires_at
            )
            unassigned = shares.count_unassigned(rate)
            share = RateShare(TERM, assigned, unassigned)
            fallback.receive_share('asha', share, expires_at)

    def _build_fallbacks(
        self, vm_rates: list[float], owners: _OwnersStub, rng: random.Random
    ) -> list[FallbackTokens]:
        """Return the VMs of an account that they served before an outage."""
        fallbacks = []
        for rate in vm_rates:
            fallback = FallbackTokens(_settings(TOLERANCE), owners, rng)
            fallbacks.append(fallback)
            at = 0.0
            while rate and (at := at + rng.expovariate(rate)) < OUTAGE_AT_S:
                fallback.record_use('asha', at)
        self._assign(fallbacks, _configure())
        return fallbacks

    def _serve_at_once(self, vm_rates: list[float], outage_s: float) -> int:
        """Return the number of requests served without an owner or a wait."""
        rng = random.Random(len(vm_rates))
        owners = _OwnersStub(OUTAGE_AT_S)
        fallbacks = self._build_fallbacks(vm_rates, owners, rng)
        return sum(
            fallback.take(_configure(), 'asha', at)
            for rate, fallback in zip(vm_rates, fallbacks, strict=True)
            for at in _draw_arrivals(rate, outage_s, rng)
        )

    def _serve(self, vm_rates: list[float], outage_s: float, seed: int) -> int:
        """Return the number of requests served without an owner."""
        rng = random.Random(seed)
        fallbacks = self._build_fallbacks(vm_rates, _OwnersStub(), rng)
        return sum(
            self._serve_waiting(
                fallback, _configure(), _draw_arrivals(rate, outage_s, rng)
            )
            for rate, fallback in zip(vm_rates, fallbacks, strict=True)
        )

    def _serve_waiting(
        self,
        fallback: FallbackTokens,
        configuration: Configuration,
        arrivals: list[float],
    ) -> int:
        """Serve requests that wait for a token as long as a VM lets them."""
        served = 0
        waiting: list[float] = []
        until = arrivals[-1] + HANDOVER_WAIT_S if arrivals else OUTAGE_AT_S
        for step in range(int((until - OUTAGE_AT_S) / STEP_S)):
            at = OUTAGE_AT_S + step * STEP_S
            while arrivals and arrivals[0] <= at:
                waiting.append(arrivals.pop(0))
            waiting = [
                since for since in waiting if at < since + HANDOVER_WAIT_S
            ]
            while waiting and fallback.take(configuration, 'asha', at):
                waiting.pop(0)
                served += 1
        return served

    @parameterized.expand(
        [
            ('evenly', [RATE * 0.8 / VMS] * VMS),
            ('on a few VMs', [RATE * 0.2] * 4 + [0.0] * 28),
        ]
    )
    def test_use_goes_on(self, _: str, vm_rates: list[float]) -> None:
        """Guards against equal shares, which deny most requests of an
        account whose callers use only a few VMs.
        """
        outage_s = 2.0
        served = self._serve_at_once(vm_rates, outage_s)
        self.assertGreater(served, 0.75 * sum(vm_rates) * outage_s)

    @parameterized.expand(
        [
            ('evenly', [RATE * 0.8 / VMS] * VMS),
            ('on a few VMs', [RATE * 0.2] * 4 + [0.0] * 28),
        ]
    )
    def test_waiting_requests(self, _: str, vm_rates: list[float]) -> None:
        """Guards against requests that wait in vain for a share, with the
        last contact half a polling interval before the outage.
        """
        outage_s = 2.0
        served = sum(
            self._serve(vm_rates, outage_s, seed) for seed in range(_SEEDS)
        )
        expected = sum(vm_rates) * outage_s * _SEEDS
        self.assertGreater(served, 0.75 * expected)

    @parameterized.expand([('empty', 0, 0.2), ('full', 13, 0.7)])
    def test_small_accounts(self, _: str, left: int, min_share: float) -> None:
        """Guards against small accounts that lose half of their requests: a
        VM sees one in several seconds and has a share of less than a token.
        """
        configuration = _configure(rate=8)
        rng = random.Random(left)
        requests = served = 0
        for _vm in range(VMS):
            fallback = FallbackTokens(_settings(TOLERANCE), _OwnersStub(), rng)
            fallback.record_remaining('asha', left)
            if rng.random() < 0.5:
                requests += 1
                served += fallback.take(configuration, 'asha', 10.0)
        self.assertGreaterEqual(served, min_share * requests)
        self.assertLessEqual(served, left + TOLERATED_TOKENS)

    @parameterized.expand([('evenly', VMS), ('on a few VMs', 4)])
    def test_the_tolerance_is_kept(self, _: str, vms: int) -> None:
        """Guards against excess grants during an outage to an account that
        was at its limit before and sends five times as many requests.
        """
        configuration = _configure()
        rng = random.Random(vms)
        served = 0
        own = RATE / vms
        fallbacks = []
        for _vm in range(vms):
            fallback = FallbackTokens(_settings(TOLERANCE), _OwnersStub(), rng)
            fallbacks.append(fallback)
            at = rng.random() / own
            while at < OUTAGE_AT_S:
                fallback.record_use('asha', at)
                at += 1 / own
        self._assign(fallbacks, configuration)
        for fallback in fallbacks:
            at = OUTAGE_AT_S
            while at < OUTAGE_AT_S + WINDOW_S:
                at += rng.expovariate(own * 5)
                served += fallback.take(configuration, 'asha', at)
        allowed = (RATE * WINDOW_S + RATE) * (
            1 + TOLERATED_SHARE
        ) + TOLERATED_TOKENS
        self.assertLessEqual(served, allowed)


class _ChangingOwnersStub:
    """Stub whose leader is set by the test."""

    def __init__(self) -> None:
        self.leader: VmId | None = VmId('c1')

    def group_of(self, region: str, shard_key: str) -> str:
        return 'control'

    def leader_of_group(self, group: str) -> VmId | None:
        return self.leader

    def fallback_share(self) -> float:
        return 0

    def query_leader(self, group: str, at: float) -> list[Output]:
        return []


class WaitTest(TestCase):
    """Requests that arrive while the owner is being replaced."""

    def _make_client(self) -> tuple[TokenClient, _ChangingOwnersStub]:
        owners = _ChangingOwnersStub()
        client = TokenClient(_settings(TOLERANCE), owners, random.Random(1))
        client.configuration = _configure()
        client.handle_leader_change('control', 100.0)
        return client, owners

    def _run(
        self, client: TokenClient, since: float, until: float
    ) -> list[tuple[float, type]]:
        """Run the wait timer; return the time and kind of each answer."""
        answers: list[tuple[float, type]] = []
        for step in range(int((until - since) / STEP_S)):
            at = since + (step + 1) * STEP_S
            answers += [
                (at, type(output))
                for output in client.check_waiting(at)
                if isinstance(output, (TokenGranted, TokenDenied))
            ]
        return answers

    def test_served_by_the_next_owner(self) -> None:
        """Guards against denials of requests that the next owner can serve."""
        client, owners = self._make_client()
        owners.leader = None
        asha = AccountId('asha')
        client.acquire(RequestId(1), asha, 101.0, max_wait_s=1.5)
        self.assertEqual([], self._run(client, 101.0, 102.0))
        owners.leader = VmId('c2')
        sent = client.handle_leader_change('control', 102.0)
        requests = [
            output.message for output in sent if isinstance(output, SendMessage)
        ]
        answer = TokensGiven(
            client.run, requests[-1].number, 1, Verdict.rate, 0, 9
        )
        (granted,) = (
            output
            for output in client.take_tokens(answer, 102.1)
            if isinstance(output, TokenGranted)
        )
        self.assertEqual(RequestId(1), granted.request_id)

    def test_asked_again_until_the_owner_is_ready(self) -> None:
        """Guards against an early answer that ends the wait."""
        client, _ = self._make_client()
        asha = AccountId('asha')
        (request, *_) = (
            output.message
            for output in client.acquire(RequestId(1), asha, 101.0, 1.5)
            if isinstance(output, SendMessage)
        )
        early = TokensGiven(
            client.run, request.number, 0, Verdict.not_ready, 1, 0
        )
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
            ('owner long away', 110.0, 9.0, MAX_WAIT_S),
        ]
    )
    def test_refused_in_time(
        self, _: str, at: float, max_wait_s: float, waited_s: float
    ) -> None:
        """Guards against waiting too long for an unreachable owner."""
        client, owners = self._make_client()
        owners.leader = None
        client.acquire(RequestId(1), AccountId('asha'), at, max_wait_s)
        ((ended_at, kind),) = self._run(client, at, at + 3)
        self.assertIs(TokenDenied, kind)
        self.assertLessEqual(ended_at - at, waited_s + STEP_S / 2)
        self.assertGreaterEqual(ended_at - at, waited_s - 2 * STEP_S)
