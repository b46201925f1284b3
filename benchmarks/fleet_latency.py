"""Measure the latency that a running fleet adds to direct requests.

``python benchmarks/fleet_latency.py --rate 140 --seconds 20 --runs 3``

Starts the demonstration fleet (three control VMs, three entry VMs, six
simulated targets) as processes and sends requests to one entry VM with the load
tool, which runs in a separate process. Prints, for each run, the latency
percentiles of fleet and target, their difference, the CPU time of the entry VM
per request, and the load average of the machine, because other load on it
affects the results.
"""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
from contextlib import ExitStack
from pathlib import Path

import fire
import httpx
import tomli_w

from cranberryseam.cli.output import print_table
from cranberryseam.experiments import demo as demonstration
from cranberryseam.experiments.local import LOOPBACK, plan_layout
from cranberryseam.load import read_report
from cranberryseam.load.report import DIRECT, FLEET, LATENESS

FIRST_PORT = 23000
FIRST_TARGET_PORT = 23800
WARM_UP = '5s'
GOAL_MS = 2.8
TARGET_LATENCY_S = 0.01


def measure(
    rate: int = 140, seconds: int = 20, runs: int = 3, seed: int = 1
) -> None:
    """Measure several runs at one rate and print a table.

    Parameters
    ----------
    rate
        Requests per second to the entry VM, and again directly to the targets.

    """
    demonstration.FIRST_TARGET_PORT = FIRST_TARGET_PORT
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        layout = plan_layout(folder, ('dar',), 3, 3, FIRST_PORT)
        demo = demonstration.start_fleet(layout, stack)
        _set_target_latency()
        rows = [
            _measure_run(demo, folder, rate, seconds, seed + number)
            for number in range(runs)
        ]
    print_table(rows, ' '.join(rows[0]))


def _set_target_latency() -> None:
    for number in range(demonstration.TARGETS_PER_SERVICE):
        httpx.post(
            f'http://{LOOPBACK}:{FIRST_TARGET_PORT + number}/-/faults',
            json={'latency_s': TARGET_LATENCY_S},
            trust_env=False,
        )


def _measure_run(
    demo: demonstration.Demo, folder: Path, rate: int, seconds: int, seed: int
) -> dict[str, object]:
    vm = demo.layout.entry[0]
    plan = {
        'duration': f'{seconds}s',
        'warm_up': WARM_UP,
        'seed': seed,
        'streams': [
            {
                'account': 'asha',
                'key': demo.keys['asha'],
                'path': '/catalogue/1',
                'rate': f'{rate}/s',
                'addresses': [vm.callers],
                'direct': [
                    f'{LOOPBACK}:{FIRST_TARGET_PORT + number}'
                    for number in range(demonstration.TARGETS_PER_SERVICE)
                ],
            }
        ],
    }
    plan_path = folder / 'plan.toml'
    plan_path.write_text(tomli_w.dumps(plan))
    out_path = folder / 'report.json'
    process_id = demo.vms[vm.name].pid
    cpu_before_s = _read_cpu_time_s(process_id)
    subprocess.run(
        [
            sys.executable,
            '-m',
            'cranberryseam.cli.main',
            'load',
            'run',
            str(plan_path),
            f'--out={out_path}',
        ],
        check=True,
        stdout=subprocess.DEVNULL,
    )
    cpu_s = _read_cpu_time_s(process_id) - cpu_before_s
    report = read_report(out_path.read_bytes())
    answered = report.outcomes['fleet/asha']
    sent = rate * (seconds + float(WARM_UP.rstrip('s')))
    return {
        'seed': seed,
        'rate': rate,
        'answered': answered['200'],
        'refused': answered.total() - answered['200'],
        'direct_p50': report.percentile_ms(DIRECT, 50),
        'fleet_p50': report.percentile_ms(FLEET, 50),
        'added_p50': report.added_latency_ms(50),
        'direct_p99': report.percentile_ms(DIRECT, 99),
        'fleet_p99': report.percentile_ms(FLEET, 99),
        'added_p99': report.added_latency_ms(99),
        'goal': GOAL_MS,
        'late_p99': report.percentile_ms(LATENESS, 99),
        'cpu_ms': cpu_s * 1000 / sent,
        'machine_load': os.getloadavg()[0],
    }


def _read_cpu_time_s(process_id: int) -> float:
    fields = Path(f'/proc/{process_id}/stat').read_text().split()
    return (int(fields[13]) + int(fields[14])) / os.sysconf('SC_CLK_TCK')


if __name__ == '__main__':
    fire.Fire(measure)
