"""Tests of account rate limits while VMs fail."""

from __future__ import annotations

from parameterized import parameterized

from tests.integration.fleets import (
    LARGE_BURST,
    LARGE_RATE,
    REGIONS,
    SMALL_BURST,
    SMALL_RATE,
    FleetTestCase,
    print_measurement,
    run_fleet,
    send_regularly,
)
from tests.integration.harness import (
    Fleet,
)


def find_lowest_level(
    admitted: list[float], rate: float, burst: int
) -> tuple[float, float]:
    """Return the lowest level of a reference token bucket and its time."""
    level = float(burst)
    lowest = (level, 0.0)
    previous_at = admitted[0]
    for at in admitted:
        level = min(burst, level + (at - previous_at) * rate) - 1
        previous_at = at
        lowest = min(lowest, (level, at))
    return lowest


class RateTest(FleetTestCase):
    """Guards against admitting more requests than rate and burst allow."""

    @parameterized.expand([(seed,) for seed in (1, 2, 3)])
    def test_five_times_rate(self, seed: int) -> None:
        """Overload at all entry VMs, restarts, then a region is isolated."""
        with run_fleet(seed, regions=REGIONS, controls=1) as fleet:
            fleet.loss_rate = fleet.duplicate_rate = 0.01
            entries = fleet.vm_names()
            end = fleet.now + 36
            send_regularly(fleet, 'kubwa', LARGE_RATE * 5, end)
            send_regularly(fleet, 'bahari', SMALL_RATE * 0.75, end)
            fleet.run(8)
            phase_ends = {'flood': fleet.now}
            for position, name in enumerate(entries):
                self._restart(fleet, name, position + 0.5)
            fleet.run(16)
            phase_ends['restarts'] = fleet.now
            region = fleet.vm_names('entry', 'dar')
            fleet.block_links(region, fleet.other_vms(*region), both=True)
            fleet.run(12)
            phase_ends['cut'] = fleet.now
            fleet.blocked_links.clear()
            fleet.run(2)
            self._check_account(fleet, 'kubwa', LARGE_RATE, LARGE_BURST)
            self._check_account(fleet, 'bahari', SMALL_RATE, SMALL_BURST)
            self._report_small(fleet, phase_ends, seed)

    def _restart(self, fleet: Fleet, name: str, delay_s: float) -> None:
        fleet.schedule(delay_s * 1.5, lambda: fleet.kill(name))
        fleet.schedule(delay_s * 1.5 + 0.5, lambda: fleet.start(name))

    def _check_account(
        self, fleet: Fleet, account: str, rate: float, burst: int
    ) -> None:
        calls = [call for call in fleet.calls if call.account == account]
        admitted = sorted(c.admitted_at for c in calls if c.admitted_at)
        lowest, at = find_lowest_level(admitted, rate, burst)
        self.assertGreaterEqual(lowest, -1e-6, f'{account} at {at}')
        self.assertGreater(len(admitted), burst)

    def _report_small(
        self, fleet: Fleet, phase_ends: dict[str, float], seed: int
    ) -> None:
        started_at = 0.0
        for phase, end in phase_ends.items():
            sent = [
                call
                for call in fleet.calls
                if call.account == 'bahari' and started_at <= call.at < end
            ]
            reasons = sorted(call.reason for call in sent if call.refusal)
            lost = sum(call.final_effect is None for call in sent)
            counts = {reason: reasons.count(reason) for reason in set(reasons)}
            print_measurement(
                f'small account within its rate, seed {seed}, {phase}: '
                f'{len(sent)} sent, {lost} lost, refused {counts}'
            )
            started_at = end
