"""Numbers of replies."""

from __future__ import annotations

import asyncio

from testtools import TestCase

from cranberryseam.serving.replies import PendingReplies


class NumberTest(TestCase):
    """Replies of the leader may arrive after a restart of the asking VM."""

    def test_reply_to_the_process_before(self) -> None:
        """Guards against an acknowledgement of another announcement.

        A late reply to the process before a restart must not settle what the
        new process has asked, such as a departure that is in no log yet.
        """

        async def run() -> bool:
            before: PendingReplies[str] = PendingReplies()
            after: PendingReplies[str] = PendingReplies()
            late = [before.create()[0] for _ in range(100)]
            waiters = [after.create()[1] for _ in range(100)]
            for reply_id in late:
                after.resolve(reply_id, 'late')
            return any(waiter.done() for waiter in waiters)

        self.assertFalse(asyncio.run(run()))
