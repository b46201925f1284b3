"""Open-loop generator: arrivals don't wait for answers."""

from __future__ import annotations

import asyncio
import random
import time
import uuid
from collections.abc import Coroutine
from typing import Any, Final

import attrs

from .connections import Pool
from .plan import Plan, Stream, rate_of, timeout_of
from .report import DIRECT, FLEET, Report

MS_PER_S: Final = 1000
# The tool waits a little longer than the caller's own patience, so that a
# truthful refusal at the deadline is still seen.
EXTRA_TIMEOUT_S: Final = 2.0
# Delay of the direct copy of a request, in seconds.
DIRECT_OFFSET_S: Final = 0.05


@attrs.define(eq=False)
class StreamRun:
    """One stream while it is sent."""

    stream: Stream
    pools: tuple[Pool, ...]
    direct: tuple[Pool, ...]
    report: Report
    counted_from: float
    sent: int = 0

    def schedule(self, due: float) -> list[Coroutine[Any, Any, None]]:
        """Return the sending of one request and of its direct copy.

        The copy has its own intended time, so that neither waits for the
        other and both meet the same load.
        """
        self.sent += 1
        pool = self.pools[self.sent % len(self.pools)]
        sends = [self._send(FLEET, pool, due)]
        if self.direct:
            copy = self.direct[self.sent % len(self.direct)]
            sends.append(self._send(DIRECT, copy, due + DIRECT_OFFSET_S))
        return sends

    def close(self) -> None:
        """Close all connections."""
        for pool in (*self.pools, *self.direct):
            pool.close()

    async def _send(self, side: str, pool: Pool, due: float) -> None:
        await asyncio.sleep(max(due - time.monotonic(), 0))
        self.report.note_lateness(time.monotonic() - due)
        request = encode_request(self.stream)
        timeout_s = timeout_of(self.stream) + EXTRA_TIMEOUT_S
        answer = await pool.send(request, self.stream.method, timeout_s)
        if due >= self.counted_from:
            latency_s = time.monotonic() - due
            self.report.note(side, self.stream.account, latency_s, answer)


def encode_request(stream: Stream) -> bytes:
    """Return the bytes of one request of a stream."""
    timeout_ms = int(timeout_of(stream) * MS_PER_S)
    lines = [
        ' '.join((stream.method, stream.path, 'HTTP/1.1')),
        'Host: fleet.example',
        f'Request-Timeout-Ms: {timeout_ms}',
    ]
    if stream.key:
        lines.append(f'Authorization: Bearer {stream.key}')
    if stream.once:
        key = uuid.uuid4().hex
        lines.append(f'Idempotency-Key: {key}')
    if stream.body:
        length = len(stream.body.encode())
        lines.append(f'Content-Length: {length}')
    lines += [f'{name}: {field}' for name, field in stream.headers.items()]
    return '\r\n'.join((*lines, '', stream.body)).encode()


async def run_plan(plan: Plan) -> Report:
    """Send all streams of a plan and return what was measured."""
    report = Report(seed=plan.seed, duration_s=plan.duration_s)
    started_at = time.monotonic()
    async with asyncio.TaskGroup() as tasks:
        for position, stream in enumerate(plan.streams):
            run = StreamRun(
                stream=stream,
                pools=tuple(Pool(address) for address in stream.addresses),
                direct=tuple(Pool(address) for address in stream.direct),
                report=report,
                counted_from=started_at + plan.warm_up_s,
            )
            chance = random.Random(f'{plan.seed}/{position}')
            tasks.create_task(_send_stream(run, plan, chance, started_at))
    return report


async def _send_stream(
    run: StreamRun, plan: Plan, chance: random.Random, started_at: float
) -> None:
    rate = rate_of(run.stream)
    due = started_at
    ends_at = started_at + plan.warm_up_s + plan.duration_s
    async with asyncio.TaskGroup() as requests:
        while True:
            due += chance.expovariate(rate)
            if due >= ends_at:
                break
            await asyncio.sleep(max(due - time.monotonic(), 0))
            for send in run.schedule(due):
                requests.create_task(send)
    run.close()


__all__ = ('encode_request', 'run_plan')
