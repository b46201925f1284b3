"""Deployments and fault scenarios of the routing simulations."""

from __future__ import annotations

from types import MappingProxyType

import attrs

from .policy_targets import Fault

_KILIMO_DELAY_S = 0.0015
_MALINAW_DELAY_S = 0.001
_ALL_TARGETS = 12
# Loads as shares of the capacity of all slots.
_OVERLOAD_LOAD = 1.3
_BUSY_LOAD = 0.8
_PEAK_LOAD = 0.9
_PEAK_DEADLINE_S = 0.25
_FLAPPING_DURATION_S = 90.0
_LOW_RATE = 5.0


@attrs.frozen
class Deployment:
    """Size and network delays of a deployment, from the design page.

    Parameters
    ----------
    vms
        Number of entry VMs in the fleet.
    targets_per_data_centre
        Targets of one service in each of the six data centres.
    attached
        Whether the VMs are attached to a control leader, which leads all
        services; then they form one region for the leaders, and the regions
        are places.

    """

    name: str
    regions: tuple[str, ...]
    data_centre_delay_s: float
    slots: int
    vms: int = 44
    targets_per_data_centre: int = 2
    region_delay_s: float = 0.03
    attached: bool = False


_KILIMO = Deployment(
    'kilimo',
    regions=('aru', 'dar', 'mwz'),
    data_centre_delay_s=_KILIMO_DELAY_S,
    slots=4,
)
_MALINAW = Deployment(
    'malinaw',
    regions=('luzon', 'mindanao', 'visayas'),
    data_centre_delay_s=_MALINAW_DELAY_S,
    slots=6,
)
DEPLOYMENTS = MappingProxyType({'kilimo': _KILIMO, 'malinaw': _MALINAW})


@attrs.frozen
class Scenario:
    """Load and fault of a run.

    Parameters
    ----------
    fault, faulty_targets
        Kind of fault and number of targets that have it.
    load
        Request rate as a share of the capacity of all slots.
    rate
        Requests per second and target; used if ``load`` is 0.
    deadline_s
        Deadline of each request, relative to its start.
    failing_account
        Whether all requests of one small account fail.
    overloading_account
        Whether one account sends five times its rate.
    broken_link
        Whether one VM can't reach one target.

    """

    name: str
    fault: Fault = Fault.none
    faulty_targets: int = 0
    load: float = 0
    rate: float = 20.0
    deadline_s: float = 2.0
    failing_account: bool = False
    overloading_account: bool = False
    broken_link: bool = False
    duration_s: float = 45.0


_SCENARIOS = (
    Scenario('healthy'),
    Scenario('overloaded', load=_OVERLOAD_LOAD),
    Scenario('half_failing', Fault.half_failing, 1),
    Scenario('half_failing_quiet', Fault.half_failing, 1, rate=_LOW_RATE),
    Scenario('all_work_failing', Fault.all_failing, 1),
    Scenario('slow', Fault.slow, 1),
    Scenario('flapping', Fault.flapping, 1, duration_s=_FLAPPING_DURATION_S),
    Scenario('cold_start', Fault.cold, 1),
    Scenario('shedding', Fault.shedding, 1),
    Scenario('every_target_failing', Fault.half_failing, _ALL_TARGETS),
    Scenario('half_of_targets_failing', Fault.half_failing, 6),
    Scenario('one_path_broken', broken_link=True),
    Scenario('bad_account', failing_account=True),
    Scenario('lying_health', Fault.ready_but_unreachable, 1),
    Scenario('greedy_account', load=_BUSY_LOAD, overloading_account=True),
    Scenario('morning_rush', load=_PEAK_LOAD, deadline_s=_PEAK_DEADLINE_S),
)

SCENARIOS = MappingProxyType(
    {scenario.name: scenario for scenario in _SCENARIOS}
)

__all__ = ('DEPLOYMENTS', 'SCENARIOS', 'Deployment', 'Scenario')
