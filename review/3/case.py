"""Upstreams announce themselves just after the first configuration."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'common'))

import harness as h

UPSTREAMS = 8
LATER = 2
WORK_S = 0.25
PER_S = 50
DURATION_S = 8.0
TOUCH_S = 4.0
FLOOR_SHARE = 0.7


async def wait_attached(fleet: h.Fleet) -> None:
    """Wait until both edge nodes have found the leader of the core."""
    while not all('attached to' in n.log.read_text() for n in fleet.edge):
        await asyncio.sleep(0.005)


STARTS = 3


async def main(record: h.Record) -> None:
    """Start the system up to three times, until the rule is broken."""
    for _ in range(STARTS):
        await start_and_check(record)
        if record.broken:
            return


async def start_and_check(record: h.Record) -> None:
    fleet = h.Fleet(record, cores=3, edges=2)
    ups = [h.Upstream(fleet, 'katalogi', n) for n in range(UPSTREAMS)]
    for upstream in ups:
        upstream.work_s = WORK_S
    configuration = h.make_configuration(
        1,
        [h.make_route('read', '/read/', 'safe', 'katalogi', 1500, 1000)],
        ['katalogi'],
    )
    try:
        fleet.start()
        async with asyncio.timeout(20):
            await wait_attached(fleet)
        operator = h.Operator(fleet)
        answer = await operator.put(configuration)
        if answer.status != 200:
            raise h.Unusable('first configuration refused')
        first = ups[: UPSTREAMS - LATER]
        if not h.TROUBLE:
            await asyncio.sleep(1)
        await asyncio.gather(*(upstream.start() for upstream in first))
        await asyncio.sleep(1)
        for upstream in ups[UPSTREAMS - LATER :]:
            await upstream.start()
        await fleet.wait_ready()
        # Upstreams are sound after twice ``contact`` without a disruption.
        await asyncio.sleep(2 * TOUCH_S + 1)
        client = h.Client(fleet)
        sent: list[tuple[float, bool, str]] = []

        async def one(number: int) -> None:
            at = record.now()
            request_id, answer, _ = await client.send(
                fleet.edge[number % 2], 'GET', '/read/1', 3000
            )
            sent.append((at, answer is not None and answer.status == 200, request_id))

        tasks = []
        for number in range(int(DURATION_S * PER_S)):
            tasks.append(asyncio.create_task(one(number)))
            await asyncio.sleep(1 / PER_S)
        await asyncio.gather(*tasks)
        check(record, ups, sent)
    finally:
        for upstream in ups:
            upstream.stop()
        fleet.end()


def check(record, ups, sent) -> None:
    """Check FLOOR in windows of 2 s, by the time of sending."""
    runs = {r.id: u.id for u in ups for r in u.runs}
    begin = sent[0][0]
    breaches = 0
    while begin + 2 <= sent[-1][0]:
        part = [each for each in sent if begin <= each[0] < begin + 2]
        lost = sum(not served for _, served, _ in part) / len(part)
        used = {runs[each[2]] for each in part if each[2] in runs}
        share = len(used) / len(ups)
        record.line(
            'case',
            f'window at {begin:.1f} s: {len(used)} of {len(ups)} sound '
            f'upstreams get requests, {lost:.2f} of {len(part)} not served',
        )
        if 0 < share < FLOOR_SHARE and 0.1 < lost < 0.5:
            breaches += 1
            record.breach(
                f'FLOOR: for 2 s {len(used)} of {len(ups)} sound upstreams get '
                f'requests while {lost:.2f} of the requests are not served'
            )
        begin += 2
    print(breaches, 'windows; used in all', len(set(runs.values())))


h.run_case(main, Path(sys.argv[1]))
