"""Check seeded schedules of idempotent requests against a reference model.

Usage: ``PYTHONPATH=. python benchmarks/claim_schedules.py 1500 4``
(number of schedules, number of processes). The seeds start at 0.
"""

from __future__ import annotations

import sys
from collections import Counter
from multiprocessing import Pool

from tests.idempotency.schedules import run_faulty


def _run(seed: int) -> tuple[int, int, int, Counter[str], float]:
    callers = run_faulty(seed)
    return (
        callers.duplicate_grants,
        callers.duplicate_runs,
        callers.wrong_answers,
        callers.verdicts,
        callers.worst_wait_s,
    )


def main() -> None:
    schedules, processes = (int(word) for word in sys.argv[1:3])
    with Pool(processes) as pool:
        results = pool.map(_run, range(schedules), chunksize=5)
    names = ('duplicate grants', 'duplicate executions', 'wrong answers')
    for column, name in enumerate(names):
        seeds = [seed for seed, row in enumerate(results) if row[column]]
        print(name, sum(row[column] for row in results), 'seeds', seeds)
    print(dict(sum((row[3] for row in results), Counter())))
    print('longest wait', max(row[4] for row in results), 's')


if __name__ == '__main__':
    main()
