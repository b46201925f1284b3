"""Deployments and faults that the policy driver runs."""

from __future__ import annotations

from types import MappingProxyType

import attrs

from .policy_targets import Fault

_KILIMO_DELAY_S = 0.0015
_MALINAW_DELAY_S = 0.001
_ALL_TARGETS = 12
# Shares of what all slots can serve.
_OVERLOAD = 1.3
_BUSY = 0.8
_RUSH = 0.9
_RUSH_DEADLINE_S = 0.25
_FLAPPING_S = 90.0
_QUIET_RATE = 5.0


@attrs.frozen
class Deployment:
    """Figures of a deployment, from the design page.

    Parameters
    ----------
    vms
        Entry VMs of the fleet.
    targets_per_centre
        Targets of one service in each of the six data centres.

    """

    name: str
    regions: tuple[str, ...]
    centre_delay_s: float
    slots: int
    vms: int = 44
    targets_per_centre: int = 2
    region_delay_s: float = 0.03


_KILIMO = Deployment(
    'kilimo',
    regions=('aru', 'dar', 'mwz'),
    centre_delay_s=_KILIMO_DELAY_S,
    slots=4,
)
_MALINAW = Deployment(
    'malinaw',
    regions=('luzon', 'mindanao', 'visayas'),
    centre_delay_s=_MALINAW_DELAY_S,
    slots=6,
)
DEPLOYMENTS = MappingProxyType({'kilimo': _KILIMO, 'malinaw': _MALINAW})


@attrs.frozen
class Scenario:
    """Load and fault of a run.

    Parameters
    ----------
    fault, faulty
        Fault and number of targets that have it.
    load
        Requests per second over what all slots can serve.
    rate
        Requests per second and target, instead of ``load``.
    deadline_s
        Patience of the callers.
    bad_account
        Whether all requests of one small account fail.
    greedy
        Whether one account sends five times its rate.
    broken_path
        Whether one VM can't reach one target.

    """

    name: str
    fault: Fault = Fault.none
    faulty: int = 0
    load: float = 0
    rate: float = 20.0
    deadline_s: float = 2.0
    bad_account: bool = False
    greedy: bool = False
    broken_path: bool = False
    duration_s: float = 45.0


_SCENARIOS = (
    Scenario('healthy'),
    Scenario('overloaded', load=_OVERLOAD),
    Scenario('half_failing', Fault.half_failing, 1),
    Scenario('half_failing_quiet', Fault.half_failing, 1, rate=_QUIET_RATE),
    Scenario('all_work_failing', Fault.all_failing, 1),
    Scenario('slow', Fault.slow, 1),
    Scenario('flapping', Fault.flapping, 1, duration_s=_FLAPPING_S),
    Scenario('cold_start', Fault.cold, 1),
    Scenario('shedding', Fault.shedding, 1),
    Scenario('every_target_failing', Fault.half_failing, _ALL_TARGETS),
    Scenario('half_of_targets_failing', Fault.half_failing, 6),
    Scenario('one_path_broken', broken_path=True),
    Scenario('bad_account', bad_account=True),
    Scenario('lying_health', Fault.lying, 1),
    Scenario('greedy_account', load=_BUSY, greedy=True),
    Scenario('morning_rush', load=_RUSH, deadline_s=_RUSH_DEADLINE_S),
)

SCENARIOS = MappingProxyType(
    {scenario.name: scenario for scenario in _SCENARIOS}
)

__all__ = ('DEPLOYMENTS', 'SCENARIOS', 'Deployment', 'Scenario')
