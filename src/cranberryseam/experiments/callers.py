"""Callers of a local fleet: real requests over HTTP."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import AsyncIterator, Iterable
from typing import Final

import anyio
import attrs
import httpx

# Longer than any deadline that the callers' routes have.
TIMEOUT_S: Final = 20.0
SUCCESS: Final = 200
_PROBLEM_PREFIX: Final = 'urn:cranberryseam:refusal:'


@attrs.frozen
class Sent:
    """One request with what the caller was told.

    Parameters
    ----------
    work_id
        Names the work; copies of an order share it.
    status
        HTTP status; 0 if the connection broke.
    reason
        Refusal reason; empty for an answer of a target.
    ran
        ``no``, ``unknown`` or ``yes`` as the refusal says.
    sent_at, ended_at
        Seconds on the monotonic clock.

    """

    account: str
    vm: str
    work_id: str
    status: int
    reason: str
    ran: str
    sent_at: float
    ended_at: float


@attrs.define
class Caller:
    """Sends requests of one account to one entry VM, on one connection.

    Parameters
    ----------
    address
        ``ip:port`` of the entry VM.
    journal
        Takes each request when it has ended.

    """

    account: str
    vm: str
    address: str
    key: str
    journal: list[Sent]
    client: httpx.AsyncClient = attrs.field(
        factory=lambda: httpx.AsyncClient(timeout=TIMEOUT_S, trust_env=False)
    )

    async def look_up(self, path: str, work_id: str) -> Sent:
        """Send a request that may be repeated."""
        return await self._send('GET', path, work_id, {})

    async def order(self, path: str, work_id: str) -> Sent:
        """Send a request that must not be repeated."""
        return await self._send(
            'POST', path, work_id, {'Idempotency-Key': work_id}
        )

    async def _send(
        self, method: str, path: str, work_id: str, headers: dict[str, str]
    ) -> Sent:
        sent_at = time.monotonic()
        try:
            response = await self.client.request(
                method,
                f'http://{self.address}{path}',
                headers={
                    'Authorization': f'Bearer {self.key}',
                    'X-Work-Id': work_id,
                    **headers,
                },
                content=work_id.encode() if method == 'POST' else None,
            )
        except httpx.HTTPError as error:
            return self._note(
                work_id, 0, type(error).__name__, 'unknown', sent_at
            )
        reason, ran = _read_refusal(response)
        return self._note(work_id, response.status_code, reason, ran, sent_at)

    def _note(
        self, work_id: str, status: int, reason: str, ran: str, sent_at: float
    ) -> Sent:
        sent = Sent(
            account=self.account,
            vm=self.vm,
            work_id=work_id,
            status=status,
            reason=reason,
            ran=ran,
            sent_at=sent_at,
            ended_at=time.monotonic(),
        )
        self.journal.append(sent)
        return sent


async def repeat(
    callers: Iterable[Caller], path: str, interval_s: float, duration_s: float
) -> None:
    """Send look-ups at a fixed pace, whether or not answers came."""
    ready = tuple(callers)
    async with anyio.create_task_group() as tasks:
        async for number in _pace(interval_s, duration_s):
            caller = ready[number % len(ready)]
            work_id = f'{caller.account}-look-up-{number}'
            tasks.start_soon(caller.look_up, path, work_id)


async def repeat_orders(
    callers: Iterable[Caller], path: str, interval_s: float, duration_s: float
) -> None:
    """Send each order twice at once, through two entry VMs."""
    ready = tuple(callers)
    async with anyio.create_task_group() as tasks:
        async for number in _pace(interval_s, duration_s):
            work_id = f'{ready[0].account}-order-{number}'
            for copy in range(2):
                caller = ready[(number + copy) % len(ready)]
                tasks.start_soon(caller.order, path, work_id)


def count_reasons(journal: Iterable[Sent]) -> Counter[str]:
    """Return how often each refusal reason was told."""
    return Counter(sent.reason for sent in journal if sent.reason)


async def _pace(interval_s: float, duration_s: float) -> AsyncIterator[int]:
    """Yield numbers at a fixed pace that doesn't depend on the consumer."""
    started_at = time.monotonic()
    for number in range(int(duration_s / interval_s)):
        due = started_at + number * interval_s
        await anyio.sleep(max(due - time.monotonic(), 0))  # noqa: WPS476
        yield number


def _read_refusal(response: httpx.Response) -> tuple[str, str]:
    if 'problem+json' not in response.headers.get('content-type', ''):
        return '', ''
    document = response.json()
    reason = str(document['type']).removeprefix(_PROBLEM_PREFIX)
    return reason, str(document['ran'])


__all__ = ('Caller', 'Sent', 'count_reasons', 'repeat', 'repeat_orders')
