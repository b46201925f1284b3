"""Tests of the announcement API for targets."""

from __future__ import annotations

import asyncio
import time

import httpx
import testtools
from parameterized import parameterized

from cranberryseam.core.effects import AnswerAnnouncement
from cranberryseam.core.errors import Failure
from cranberryseam.core.events import TargetAnnounced, TargetState
from cranberryseam.core.refusals import Refusal, RefusalReason
from cranberryseam.serving import AnnouncementApi, hash_key

GOOD = {
    'target': 'malipo-1',
    'service': 'malipo',
    'host': '127.0.0.1',
    'port': 9000,
    'region': 'dar',
    'data_centre': 'dar-1',
    'slots': 4,
    'connections': 330,
    'state': 'cold',
    'sequence': 1,
}


def announce(
    document: object, failure: Failure | None = None, key: str = 'target-key'
) -> tuple[int, list[TargetAnnounced]]:
    events: list[TargetAnnounced] = []

    def dispatch(event: TargetAnnounced) -> None:
        events.append(event)
        api.execute(AnswerAnnouncement(event.reply_id, failure))

    async def send() -> httpx.Response:
        transport = httpx.ASGITransport(api.app)
        async with httpx.AsyncClient(
            transport=transport, base_url='http://vm'
        ) as client:
            headers = {'authorization': f'Bearer {key}'}
            return await client.post(
                '/v1/announcements', json=document, headers=headers
            )

    api = AnnouncementApi(dispatch, time.monotonic)
    return asyncio.run(send()).status_code, events


class AnnouncementTest(testtools.TestCase):
    """Guards against invalid announcements that reach routing."""

    def test_accepted(self) -> None:
        status, (event,) = announce(GOOD)
        self.assertEqual(status, 204)
        self.assertEqual(event.key_hash, hash_key(b'target-key'))
        self.assertEqual(event.announcement.state, TargetState.cold)
        self.assertEqual(event.announcement.port, 9000)

    def test_refused_by_the_reducer(self) -> None:
        status, _ = announce(GOOD, Refusal(RefusalReason.key_unknown))
        self.assertEqual(status, 401)

    def test_without_key(self) -> None:
        self.assertEqual(announce(GOOD, key=''), (401, []))

    @parameterized.expand(
        [
            ('port', {'port': 0}),
            ('large_port', {'port': 65_536}),
            ('name_for_address', {'host': 'localhost'}),
            ('no_slots', {'slots': 0}),
            ('state', {'state': 'busy'}),
            ('empty_name', {'target': ''}),
            ('line_end', {'service': 'a\nb'}),
            ('unknown_member', {'weight': 3}),
            ('text_for_number', {'sequence': '1'}),
        ]
    )
    def test_refused(self, _name: str, change: dict) -> None:
        self.assertEqual(announce({**GOOD, **change}), (400, []))

    def test_too_large(self) -> None:
        change = {'target': 'a' * 5000}
        self.assertEqual(announce({**GOOD, **change}), (413, []))
