"""Check seeded schedules of token requests against a reference token bucket.

Usage: ``PYTHONPATH=. python benchmarks/limits_schedules.py 3000 4``
(number of schedules, number of processes). The seeds start at 0.
"""

from __future__ import annotations

import sys
from multiprocessing import Pool

from tests.limits.schedules import run_faulty, run_healthy, sum_results

_REQUEST_RATES = {'small': 1.5, 'large': 14.0, 'shared': 12.0, 'remote': 7.0}
_HEALTHY_SCHEDULES = 20


def _run_within_rate(seed: int) -> object:
    return run_healthy(seed, _REQUEST_RATES, 30)


def _run_overload(seed: int) -> object:
    return run_healthy(seed, {**_REQUEST_RATES, 'large': 100.0}, 30)


def main() -> None:
    schedules, processes = (int(word) for word in sys.argv[1:3])
    with Pool(processes) as pool:
        for name, run, number in (
            (
                'all accounts within their rate',
                _run_within_rate,
                _HEALTHY_SCHEDULES,
            ),
            (
                'one account at five times its rate',
                _run_overload,
                _HEALTHY_SCHEDULES,
            ),
            ('faults', run_faulty, schedules),
        ):
            results = pool.map(run, range(number), chunksize=5)
            failed = [
                seed
                for seed, result in enumerate(results)
                if result.excess_grants
            ]
            print(name, number, sum_results(results), 'failed seeds:', failed)


if __name__ == '__main__':
    main()
