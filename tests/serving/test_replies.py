"""Numbers of replies."""

from __future__ import annotations

import asyncio

from testtools import TestCase

from cranberryseam.serving.replies import Replies


class NumberTest(TestCase):
    """Replies of the leader may arrive after a restart of the asking VM."""

    def test_reply_to_the_process_before(self) -> None:
        """Guards against an acknowledgement of another announcement.

        A late reply to the process before a restart must not settle what the
        new process has asked, such as a departure that is in no log yet.
        """

        async def run() -> bool:
            before: Replies[str] = Replies()
            after: Replies[str] = Replies()
            late = [before.open()[0] for _ in range(100)]
            waiters = [after.open()[1] for _ in range(100)]
            for reply_id in late:
                after.settle(reply_id, 'late')
            return any(waiter.done() for waiter in waiters)

        self.assertFalse(asyncio.run(run()))
