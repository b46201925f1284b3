"""Test of the simulated target as a separate process."""

from __future__ import annotations

import asyncio
import sys
import time

import testtools

from cranberryseam.configuration.settings import RequestSettings
from cranberryseam.core.effects import AnswerAnnouncement
from cranberryseam.core.events import TargetAnnounced
from cranberryseam.serving import (
    AnnouncementApi,
    hash_key,
    open_socket,
    serve_app,
)

START_TIMEOUT_S = 15.0


class TargetProgramTest(testtools.TestCase):
    """Guards against announcements of the process that reach no VM."""

    def test_announces_its_own_port(self) -> None:
        async def scenario() -> tuple[TargetAnnounced, int, int]:
            arrived = asyncio.get_running_loop().create_future()

            def dispatch(event: TargetAnnounced) -> None:
                api.execute(AnswerAnnouncement(event.reply_id, None))
                if not arrived.done():
                    arrived.set_result(event)

            api = AnnouncementApi(dispatch, time.monotonic)
            listener = open_socket('127.0.0.1:0')
            port = listener.getsockname()[1]
            stop = asyncio.Event()
            server = asyncio.create_task(
                serve_app(api.app, listener, RequestSettings(), stop.wait)
            )
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'cranberryseam.experiments.target',
                f'--announce=127.0.0.1:{port}',
                '--key=target-key',
                stdout=asyncio.subprocess.PIPE,
            )
            try:
                async with asyncio.timeout(START_TIMEOUT_S):
                    event = await arrived
                    line = await process.stdout.readline()
            finally:
                process.terminate()
                code = await process.wait()
            stop.set()
            await server
            return event, int(line.rpartition(b':')[2]), code

        event, port, code = asyncio.run(scenario())
        self.assertEqual(event.announcement.port, port)
        self.assertEqual(event.key_hash, hash_key(b'target-key'))
        self.assertEqual(code, 0)
