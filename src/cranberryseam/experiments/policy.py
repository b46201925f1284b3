"""Compare routing policies in simulated time.

Run ``python -m cranberryseam.experiments.policy --runs N --seed S``.
"""

from __future__ import annotations

import json
import statistics
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import TYPE_CHECKING

import attrs
import fire

from .policy_baselines import POLICIES
from .policy_metrics import RunResult
from .policy_scenarios import DEPLOYMENTS, SCENARIOS
from .policy_simulation import Simulation

if TYPE_CHECKING:
    from collections.abc import Iterable

_COLUMNS = (
    'policy',
    'scenario',
    'found',
    'median_s',
    'worst_s',
    'diverted_s',
    'false',
    'floor',
    'worst_share',
    'worst_p99_s',
    'answered',
    'refused',
    'bytes_s',
)
_WIDTH = 12
_DIGITS = 3
_PROCESSES = 4


@attrs.frozen
class RunParameters:
    """Parameters of one simulation run.

    Parameters
    ----------
    duration_s
        Simulated seconds; 0 uses the duration of the scenario.

    """

    deployment: str
    scenario: str
    policy: str
    seed: int
    duration_s: float = 0


def run_simulation(case: RunParameters) -> RunResult:
    """Run a simulation and return its results."""
    simulation = Simulation(
        DEPLOYMENTS[case.deployment],
        SCENARIOS[case.scenario],
        case.policy,
        case.seed,
        case.duration_s,
    )
    return simulation.run()


def summarise(
    policy: str, scenario: str, runs: list[RunResult]
) -> dict[str, object]:
    """Return the table row for the runs of a policy in a scenario."""
    detection_delays = [
        seconds for run in runs for seconds in run.detection_delays_s
    ]
    undetected = sum(run.undetected for run in runs)
    diversion_delays = [
        seconds for run in runs for seconds in run.diversion_delays_s
    ]
    refused = sum((Counter(run.refused) for run in runs), Counter[str]())
    return {
        'policy': policy,
        'scenario': scenario,
        'found': '/'.join(
            (
                str(len(detection_delays)),
                str(len(detection_delays) + undetected),
            )
        ),
        'median_s': _round(statistics.median(detection_delays))
        if detection_delays
        else None,
        'worst_s': _round(max(detection_delays)) if detection_delays else None,
        'diverted_s': _round(statistics.median(diversion_delays))
        if diversion_delays
        else None,
        'false': sum(run.false_ejections for run in runs),
        'floor': sum(run.samples_below_floor for run in runs),
        'worst_share': _round(min(run.worst_answered_share for run in runs)),
        'worst_p99_s': _round(max(run.worst_p99_s for run in runs)),
        'answered': _round(
            statistics.fmean(run.answered_share for run in runs)
        ),
        'refused': sum(refused.values()),
        'bytes_s': round(statistics.fmean(run.bytes_per_vm_s for run in runs)),
        'reasons': dict(refused.most_common()),
    }


def measure(
    runs: int = 5,
    seed: int = 1,
    deployment: str = 'kilimo',
    policies: str = '',
    scenarios: str = '',
    output: str = '',
    duration_s: float = 0,
) -> None:
    """Simulate policies in scenarios and print a table of results.

    Parameters
    ----------
    runs
        Runs per policy and scenario, with seeds ``seed``, ``seed + 1``, ...
    policies, scenarios
        Names separated by commas; all by default.
    output
        Path of a JSON file to which the rows are written; none by default.
    duration_s
        Simulated seconds per run; 0 uses the duration of the scenario.

    """
    rows = []
    _print_cells(_COLUMNS)
    with ProcessPoolExecutor(_PROCESSES) as executor:
        for scenario in _split(scenarios) or SCENARIOS:
            for policy in _split(policies) or POLICIES:
                cases = [
                    RunParameters(
                        deployment, scenario, policy, number, duration_s
                    )
                    for number in range(seed, seed + runs)
                ]
                row = summarise(
                    policy, scenario, list(executor.map(run_simulation, cases))
                )
                rows.append(row)
                _print_row(row)
    if output:
        Path(output).write_text(json.dumps(rows, indent=1), encoding='utf-8')


def _split(names: str | tuple[str, ...]) -> list[str]:
    if isinstance(names, str):
        names = tuple(names.split(','))
    return [name for name in names if name]


def _round(number: float) -> float:
    return round(number, _DIGITS)


def _print_row(row: dict[str, object]) -> None:
    _print_cells(str(row[name]) for name in _COLUMNS)


def _print_cells(cells: Iterable[str]) -> None:
    line = ' '.join(cell.rjust(_WIDTH) for cell in cells)
    print(line, flush=True)  # noqa: WPS421 (output of a command)


if __name__ == '__main__':
    fire.Fire(measure)

__all__ = ('RunParameters', 'measure', 'run_simulation', 'summarise')
