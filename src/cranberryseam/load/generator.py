"""Open-loop load generator: arrivals don't depend on responses."""

from __future__ import annotations

import asyncio
import random
import time
import uuid
from collections.abc import Coroutine
from typing import Any, Final

import attrs

from .connections import ConnectionPool
from .plan import Plan, Stream, get_arrival_rate, get_timeout_s
from .report import DIRECT, FLEET, Report

MS_PER_S: Final = 1000
# Added to the request timeout, so that a refusal sent at the deadline is still
# received.
TIMEOUT_MARGIN_S: Final = 2.0
DIRECT_DELAY_S: Final = 0.05


@attrs.define(eq=False)
class StreamRun:
    """State of a stream during a run."""

    stream: Stream
    pools: tuple[ConnectionPool, ...]
    direct_pools: tuple[ConnectionPool, ...]
    report: Report
    measured_from: float
    sent: int = 0

    def schedule(self, send_at: float) -> list[Coroutine[Any, Any, None]]:
        """Return coroutines that send a request and its direct copy.

        The copy is scheduled independently, so that neither waits for the
        other and both are sent under the same load.
        """
        self.sent += 1
        pool = self.pools[self.sent % len(self.pools)]
        coroutines = [self._send(FLEET, pool, send_at)]
        if self.direct_pools:
            direct_pool = self.direct_pools[self.sent % len(self.direct_pools)]
            coroutines.append(
                self._send(DIRECT, direct_pool, send_at + DIRECT_DELAY_S)
            )
        return coroutines

    def close(self) -> None:
        """Close all connections."""
        for pool in (*self.pools, *self.direct_pools):
            pool.close()

    async def _send(
        self, side: str, pool: ConnectionPool, send_at: float
    ) -> None:
        await asyncio.sleep(max(send_at - time.monotonic(), 0))
        self.report.record_lateness(time.monotonic() - send_at)
        request = encode_request(self.stream)
        timeout_s = get_timeout_s(self.stream) + TIMEOUT_MARGIN_S
        response = await pool.send(request, self.stream.method, timeout_s)
        if send_at >= self.measured_from:
            latency_s = time.monotonic() - send_at
            self.report.record_response(
                side, self.stream.account, latency_s, response
            )


def encode_request(stream: Stream) -> bytes:
    """Return one encoded request of a stream."""
    timeout_ms = int(get_timeout_s(stream) * MS_PER_S)
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
    """Send all streams of a plan and return the measurements."""
    report = Report(seed=plan.seed, duration_s=plan.duration_s)
    started_at = time.monotonic()
    async with asyncio.TaskGroup() as tasks:
        for index, stream in enumerate(plan.streams):
            run = StreamRun(
                stream=stream,
                pools=tuple(
                    ConnectionPool(address) for address in stream.addresses
                ),
                direct_pools=tuple(
                    ConnectionPool(address) for address in stream.direct
                ),
                report=report,
                measured_from=started_at + plan.warm_up_s,
            )
            rng = random.Random(f'{plan.seed}/{index}')
            tasks.create_task(_send_stream(run, plan, rng, started_at))
    return report


async def _send_stream(
    run: StreamRun, plan: Plan, rng: random.Random, started_at: float
) -> None:
    rate = get_arrival_rate(run.stream)
    send_at = started_at
    ends_at = started_at + plan.warm_up_s + plan.duration_s
    async with asyncio.TaskGroup() as requests:
        while True:
            send_at += rng.expovariate(rate)
            if send_at >= ends_at:
                break
            await asyncio.sleep(max(send_at - time.monotonic(), 0))
            for coroutine in run.schedule(send_at):
                requests.create_task(coroutine)
    run.close()


__all__ = ('encode_request', 'run_plan')
