"""Answers without a length whose connection is reset on the way."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'common'))

import harness as h

# Dose of the site's days: share 0.5 of the upstreams (default), x = 0.05 of
# their answers, for 5 s.
FAULTY_SHARE = 0.5
EVERY = 20
DURATION_S = 5.0


class Faults:
    """Faulty upstreams, and what each answer's whole body is."""

    def __init__(self) -> None:
        self.active = False
        self.count = 0

    async def respond(self, upstream, request, writer) -> bool:
        self.count += 1
        if not self.active or self.count % EVERY:
            return await h.respond_well(upstream, request, writer)
        # No length: the answer ends with its connection.
        body = upstream.make_body(request)
        seal = upstream.seal(request)
        await h.send_head(writer, 200, request, upstream, None, seal)
        if not h.TROUBLE:
            writer.write(body)
            await writer.drain()
            upstream.record.line(upstream.id, f'answers {request.id} to the end')
            return False
        writer.write(body[: len(body) // 2])
        await writer.drain()
        await asyncio.sleep(0.05)
        h.reset(writer)
        upstream.record.line(
            upstream.id,
            f'resets {request.id} after {len(body) // 2} of {len(body)} B',
        )
        return False


async def main(record: h.Record) -> None:
    fleet = h.Fleet(record, cores=3, edges=2)
    ups = [h.Upstream(fleet, 'malipo', n) for n in range(6)]
    faults = Faults()
    for upstream in ups[: int(len(ups) * FAULTY_SHARE)]:
        upstream.respond = faults.respond
    configuration = h.make_configuration(
        1,
        [
            h.make_route('pay', '/pay/', 'unsafe', 'malipo'),
            h.make_route('read', '/read/', 'safe', 'malipo'),
        ],
        ['malipo'],
    )
    try:
        await h.set_up(fleet, configuration, ups)
        client = h.Client(fleet)
        whole = {}

        async def one(number: int) -> None:
            method, path = (
                ('POST', '/pay/1') if number % 2 else ('GET', '/read/1')
            )
            request_id, answer, _ = await client.send(
                fleet.edge[number % 2], method, path
            )
            if answer is None or not 200 <= answer.status < 300:
                return
            runs = [u for u in ups if any(r.id == request_id for r in u.runs)]
            whole[request_id] = answer
            bodies = [
                u.make_body(h.Request(method, path, {'request-id': request_id}, b''))
                for u in runs
            ]
            if answer.body not in bodies:
                record.breach(
                    f'MIXED: {request_id} got {answer.status} with '
                    f'{len(answer.body)} B as a whole answer, the upstream '
                    f'had {len(bodies[0]) if bodies else 0} B'
                )

        faults.active = True
        tasks = []
        for number in range(int(DURATION_S * 80)):
            tasks.append(asyncio.create_task(one(number)))
            await asyncio.sleep(1 / 80)
        await asyncio.gather(*tasks)
        faults.active = False
        record.line('case', f'{len(whole)} successes of {len(tasks)} requests')
        if len(whole) < len(tasks) * 0.7:
            raise h.Unusable('too few successes')
    finally:
        for upstream in ups:
            upstream.stop()
        fleet.end()


h.run_case(main, Path(sys.argv[1]))
