"""HTTP clients that act as callers of a local fleet."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import AsyncIterator, Iterable
from typing import Final

import anyio
import attrs
import httpx

# Longer than the deadline of every route, so that the fleet decides first.
CLIENT_TIMEOUT_S: Final = 20.0
SUCCESS: Final = 200
_PROBLEM_PREFIX: Final = 'urn:cranberryseam:refusal:'


@attrs.frozen
class SentRequest:
    """A completed request and its result as the caller received it.

    Parameters
    ----------
    work_id
        Identifies the work; duplicates of an order share it.
    status
        HTTP status; 0 if the connection failed.
    reason
        Refusal reason, or the name of the connection error; empty for an
        answer of a target.
    ran
        Whether the request was executed, as the refusal states it: ``no``,
        ``unknown`` or ``yes``.
    sent_at, ended_at
        Seconds of the monotonic clock.

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
    """Sends requests of one account to one entry VM, over one HTTP client.

    Parameters
    ----------
    address
        ``ip:port`` of the entry VM.
    sent_requests
        List to which each completed request is appended.

    """

    account: str
    vm: str
    address: str
    key: str
    sent_requests: list[SentRequest]
    client: httpx.AsyncClient = attrs.field(
        factory=lambda: httpx.AsyncClient(
            timeout=CLIENT_TIMEOUT_S, trust_env=False
        )
    )

    async def send_lookup(self, path: str, work_id: str) -> SentRequest:
        """Send a GET request, which may be retried."""
        return await self._send('GET', path, work_id, {})

    async def send_order(self, path: str, work_id: str) -> SentRequest:
        """Send a POST request with an idempotency key, to run at most once."""
        return await self._send(
            'POST', path, work_id, {'Idempotency-Key': work_id}
        )

    async def _send(
        self, method: str, path: str, work_id: str, headers: dict[str, str]
    ) -> SentRequest:
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
            return self._record_result(
                work_id, 0, type(error).__name__, 'unknown', sent_at
            )
        reason, ran = _read_refusal(response)
        return self._record_result(
            work_id, response.status_code, reason, ran, sent_at
        )

    def _record_result(
        self, work_id: str, status: int, reason: str, ran: str, sent_at: float
    ) -> SentRequest:
        sent = SentRequest(
            account=self.account,
            vm=self.vm,
            work_id=work_id,
            status=status,
            reason=reason,
            ran=ran,
            sent_at=sent_at,
            ended_at=time.monotonic(),
        )
        self.sent_requests.append(sent)
        return sent


async def send_lookups(
    callers: Iterable[Caller], path: str, interval_s: float, duration_s: float
) -> None:
    """Send look-ups at a fixed rate, independently of the answers."""
    callers_in_turn = tuple(callers)
    async with anyio.create_task_group() as tasks:
        async for number in _iterate_at_rate(interval_s, duration_s):
            caller = callers_in_turn[number % len(callers_in_turn)]
            work_id = f'{caller.account}-look-up-{number}'
            tasks.start_soon(caller.send_lookup, path, work_id)


async def send_duplicate_orders(
    callers: Iterable[Caller], path: str, interval_s: float, duration_s: float
) -> None:
    """Send each order twice at the same time, through two entry VMs."""
    callers_in_turn = tuple(callers)
    async with anyio.create_task_group() as tasks:
        async for number in _iterate_at_rate(interval_s, duration_s):
            work_id = f'{callers_in_turn[0].account}-order-{number}'
            for copy in range(2):
                caller = callers_in_turn[(number + copy) % len(callers_in_turn)]
                tasks.start_soon(caller.send_order, path, work_id)


def count_reasons(sent_requests: Iterable[SentRequest]) -> Counter[str]:
    """Return the number of refusals by reason."""
    return Counter(sent.reason for sent in sent_requests if sent.reason)


async def _iterate_at_rate(
    interval_s: float, duration_s: float
) -> AsyncIterator[int]:
    """Yield numbers at a fixed rate that doesn't depend on the consumer."""
    started_at = time.monotonic()
    for number in range(int(duration_s / interval_s)):
        due_at = started_at + number * interval_s
        await anyio.sleep(max(due_at - time.monotonic(), 0))  # noqa: WPS476
        yield number


def _read_refusal(response: httpx.Response) -> tuple[str, str]:
    if 'problem+json' not in response.headers.get('content-type', ''):
        return '', ''
    document = response.json()
    reason = str(document['type']).removeprefix(_PROBLEM_PREFIX)
    return reason, str(document['ran'])


__all__ = (
    'Caller',
    'SentRequest',
    'count_reasons',
    'send_duplicate_orders',
    'send_lookups',
)
