"""Tests of the turns of connections."""

from __future__ import annotations

import asyncio

import testtools
from parameterized import parameterized

from cranberryseam.serving.turns import TurnQueue

INTERVAL_S = 0.05


async def collect_turns(addresses: str, cancelled: str) -> list[str]:
    """Return the address that gets a turn in each iteration of the loop."""
    queue = TurnQueue()
    granted: list[str] = []

    async def wait(address: str) -> None:
        await queue.wait(address)
        granted.append(address)

    tasks = [asyncio.create_task(wait(address)) for address in addresses]
    await asyncio.sleep(0)
    for task, address in zip(tasks, addresses, strict=True):
        if address in cancelled:
            task.cancel()
    turns: list[str] = []
    for _ in range(3 * len(addresses)):
        count = len(granted)
        await asyncio.sleep(0)
        turns.append(''.join(granted[count:]))
    return [turn for turn in turns if turn]


class TurnQueueTest(testtools.TestCase):
    """Guards against an address that delays all others."""

    @parameterized.expand(
        [
            ('one_address', 'aaa', '', ['a', 'a', 'a']),
            ('addresses_in_turn', 'aaab', '', ['a', 'b', 'a', 'a']),
            ('three_addresses', 'aabbc', '', ['a', 'b', 'c', 'a', 'b']),
            ('left', 'aabb', 'a', ['b', 'b']),
            ('all_left', 'aa', 'a', []),
        ]
    )
    def test_order(
        self, _: str, addresses: str, cancelled: str, turns: list[str]
    ) -> None:
        found = asyncio.run(collect_turns(addresses, cancelled))
        self.assertEqual(turns, found)

    def test_waits_again(self) -> None:
        """Turns go on after a time without waiting connections."""

        async def scenario() -> None:
            queue = TurnQueue()
            for _ in range(3):
                async with asyncio.timeout(1):
                    await queue.wait('a')
                await asyncio.sleep(0)

        asyncio.run(scenario())

    def test_interval(self) -> None:
        """Turns are apart, but members that left cause no pause."""

        async def scenario() -> float:
            queue = TurnQueue(interval_s=INTERVAL_S)
            await queue.wait('a')
            started_at = asyncio.get_running_loop().time()
            left = [asyncio.create_task(queue.wait('a')) for _ in range(100)]
            await asyncio.sleep(0)
            for task in left:
                task.cancel()
            await queue.wait('a')
            return asyncio.get_running_loop().time() - started_at

        duration_s = asyncio.run(scenario())
        self.assertGreater(duration_s, INTERVAL_S / 2)
        self.assertLess(duration_s, 10 * INTERVAL_S)
