"""Tests of the identifiers of replies."""

from __future__ import annotations

import asyncio

from testtools import TestCase

from cranberryseam.serving.replies import PendingReplies


class NumberTest(TestCase):
    """Replies of the leader may arrive after a restart of the VM."""

    def test_reply_to_the_process_before(self) -> None:
        """Guards against a reply that is assigned to another announcement.

        A late reply to the process before a restart must not resolve a
        request of the new process, such as a departure that is not yet in a
        log.
        """

        async def run() -> bool:
            previous: PendingReplies[str] = PendingReplies()
            current: PendingReplies[str] = PendingReplies()
            late_ids = [previous.create()[0] for _ in range(100)]
            waiters = [current.create()[1] for _ in range(100)]
            for reply_id in late_ids:
                current.resolve(reply_id, 'late')
            return any(waiter.done() for waiter in waiters)

        self.assertFalse(asyncio.run(run()))
