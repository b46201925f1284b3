"""Tests of the weighted fair queue."""

from __future__ import annotations

from collections import Counter

import testtools

from cranberryseam.routing.fair_queue import FairQueue, WaitingRequest

from .routing_support import make_request


def fill(queue: FairQueue, account: str, count: int, weight: int = 1) -> None:
    for _ in range(count):
        number = len(queue) + hash(account) % 1000 * 10_000
        request = make_request(number, account=account, weight=weight)
        queue.push(WaitingRequest(request, 0))


def serve(queue: FairQueue, count: int) -> Counter:
    served: Counter = Counter()
    for _ in range(count):
        served[queue.pop(lambda request: True).request.account] += 1
    return served


class FairQueueTest(testtools.TestCase):
    """Guards small accounts against the backlog of a large account."""

    def test_small_account_passes_a_backlog(self) -> None:
        queue = FairQueue(512)
        fill(queue, 'greedy', 300)
        serve(queue, 50)
        fill(queue, 'small', 2)
        self.assertEqual(2, serve(queue, 4)['small'])

    def test_service_by_weight(self) -> None:
        queue = FairQueue(512)
        fill(queue, 'heavy', 200, weight=3)
        fill(queue, 'light', 200, weight=1)
        served = serve(queue, 100)
        self.assertAlmostEqual(75, served['heavy'], delta=5)

    def test_burst_is_bounded(self) -> None:
        queue = FairQueue(512)
        fill(queue, 'greedy', 200)
        serve(queue, 50)
        fill(queue, 'new', 100)
        self.assertLessEqual(serve(queue, 20)['new'], 13)

    def test_cancelled_requests_don_t_pile_up(self) -> None:
        queue = FairQueue(512)
        for number in range(10_000):
            queue.push(WaitingRequest(make_request(number), 0))
            queue.cancel(number)
        flow = queue._flows['account']
        self.assertLess(len(flow.entries), 100)
        self.assertEqual(0, len(queue))
        self.assertIsNone(queue.pop(lambda request: True))

    def test_refused_head_doesn_t_block_others(self) -> None:
        queue = FairQueue(512)
        fill(queue, 'blocked', 1)
        fill(queue, 'free', 1)
        entry = queue.pop(lambda request: request.account == 'free')
        self.assertEqual('free', entry.request.account)
        self.assertEqual(1, len(queue))
