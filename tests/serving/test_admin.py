"""Tests of the administration API."""

from __future__ import annotations

import asyncio
import json
import time

import httpx
import testtools
from parameterized import parameterized

from cranberryseam.core import commands
from cranberryseam.core.effects import AnswerCommand, SetReadiness
from cranberryseam.core.errors import Failure
from cranberryseam.core.events import CommandReceived
from cranberryseam.serving import AdminApi, hash_key
from cranberryseam.types import AccountId, KeyId, VmId

from .harness import make_settings

KEY = 'operator-key'
HASH = hash_key(b'caller').hex()
LISTS = {
    'accounts': [{'name': 'duka', 'plan': 'small'}],
    'plans': [
        {
            'name': 'small',
            'rate': 2,
            'burst': 5,
            'weight': 1,
            'routes': ['pay'],
        }
    ],
}
DEFAULT_ANSWER = commands.CommandAnswer(7, {'members': ['vm-1']})


def call(
    method: str,
    path: str,
    document: object = None,
    answer: commands.CommandAnswer | Failure | None = DEFAULT_ANSWER,
    key: str = KEY,
) -> tuple[httpx.Response, list[CommandReceived]]:
    """Send a request to an API whose reducer answers immediately."""
    events: list[CommandReceived] = []

    def dispatch(event: CommandReceived) -> None:
        events.append(event)
        if answer is not None:
            api.execute(AnswerCommand(event.command_id, answer))

    async def send() -> httpx.Response:
        transport = httpx.ASGITransport(api.app)
        async with httpx.AsyncClient(
            transport=transport, base_url='http://admin'
        ) as client:
            headers = {'authorization': f'Bearer {key}'}
            return await client.request(
                method, path, json=document, headers=headers
            )

    settings = make_settings(hash_key(KEY.encode()).hex())
    counters = {'refused.rate_exceeded': 3}
    api = AdminApi(settings, dispatch, time.monotonic, counters, 0.05)
    return asyncio.run(send()), events


class CommandTest(testtools.TestCase):
    """Guards against a path or body that becomes another command."""

    @parameterized.expand(
        [
            ('lists', 'GET', '/v1/lists', None, commands.ShowLists()),
            ('fleet', 'GET', '/v1/fleet', None, commands.ShowFleet()),
            ('targets', 'GET', '/v1/targets', None, commands.ShowTargets()),
            ('control', 'GET', '/v1/control', None, commands.ShowControl()),
            ('drain', 'POST', '/v1/drain', None, commands.DrainVm()),
            (
                'grant',
                'POST',
                '/v1/keys',
                {
                    'command_key': 'c',
                    'key_id': 'k',
                    'account': 'duka',
                    'key_hash': HASH,
                },
                commands.GrantKey(
                    'c', KeyId('k'), AccountId('duka'), bytes.fromhex(HASH)
                ),
            ),
            (
                'withdraw',
                'POST',
                '/v1/keys/k-1/withdraw',
                {'command_key': 'c'},
                commands.WithdrawKey('c', KeyId('k-1')),
            ),
            (
                'replace',
                'POST',
                '/v1/control/replace',
                {'command_key': 'c', 'lost': 'a', 'added': 'b'},
                commands.ReplaceReplica('c', VmId('a'), VmId('b')),
            ),
        ]
    )
    def test_command(self, _name, method, path, document, expected) -> None:
        response, events = call(method, path, document)
        self.assertEqual(events[0].command, expected)
        self.assertEqual(response.status_code, 200)
        self.assertEqual(
            response.json(), {'version': 7, 'body': {'members': ['vm-1']}}
        )

    def test_apply_lists(self) -> None:
        document = {'command_key': 'c', 'based_on': 4, 'lists': LISTS}
        _, events = call('POST', '/v1/lists', document)
        command = events[0].command
        self.assertEqual((command.command_key, command.based_on), ('c', 4))
        self.assertEqual(command.lists.accounts[0].plan, 'small')
        self.assertEqual(command.lists.plans[0].routes, ('pay',))

    @parameterized.expand(
        [
            ('list', {'plan': []}, 'lists.plan'),
            ('row', {'accounts': [{'plna': 'x'}]}, 'lists.accounts[0].plna'),
            (
                'window',
                {'routes': [{'windows': [{'stop': 1}]}]},
                'lists.routes[0].windows[0].stop',
            ),
        ]
    )
    def test_misspelt_member(self, _name, change, path) -> None:
        rows = {
            'accounts': {'name': 'a', 'plan': 'p'},
            'routes': {
                'name': 'r',
                'service': 's',
                'prefix': '/',
                'methods': [],
            },
        }
        lists = {
            name: [{**rows[name], **row} for row in changed]
            for name, changed in change.items()
        }
        for route in lists.get('routes', ()):
            route['windows'][0].update(
                start_minute=0, end_minute=1, deadline_s=1
            )
        document = {'command_key': 'c', 'based_on': 4, 'lists': lists}
        response, events = call('POST', '/v1/lists', document)
        self.assertEqual((response.status_code, events), (400, []))
        self.assertEqual(response.json()['key'], path)

    def test_initialise(self) -> None:
        _, events = call('POST', '/v1/fleet/initialise')
        self.assertLess(abs(events[0].command.wall_s - time.time()), 5)

    def test_counters(self) -> None:
        response, events = call('GET', '/v1/counters')
        self.assertEqual(response.json(), {'refused.rate_exceeded': 3})
        self.assertEqual(events, [])

    @parameterized.expand(
        [
            ('no_path', 'GET', '/v1/other', None, 404),
            ('other_method', 'POST', '/v1/fleet', None, 404),
            ('no_body', 'POST', '/v1/keys', None, 400),
            ('other_member', 'POST', '/v1/keys/k/withdraw', {'x': 1}, 400),
            (
                'key_for_hash',
                'POST',
                '/v1/keys',
                {
                    'command_key': 'c',
                    'key_id': 'k',
                    'account': 'a',
                    'key_hash': 'plain-secret',
                },
                400,
            ),
        ]
    )
    def test_bad_request(self, _name, method, path, document, status) -> None:
        response, events = call(method, path, document)
        self.assertEqual(response.status_code, status)
        self.assertNotIn('plain-secret', response.text)
        self.assertEqual(events, [])

    def test_other_key(self) -> None:
        for key in ('other', ''):
            response, events = call('GET', '/v1/fleet', key=key)
            self.assertEqual((response.status_code, events), (401, []))

    def test_other_effect_is_not_taken(self) -> None:
        api = AdminApi(make_settings(), id, time.monotonic, {})
        self.assertFalse(api.execute(SetReadiness(ready=True)))


class FailureTest(testtools.TestCase):
    """Guards the failure documents that operators' tools parse."""

    @parameterized.expand(
        [
            (
                'leader',
                commands.NotLeader(VmId('vm-2')),
                421,
                {'leader': 'vm-2'},
            ),
            (
                'conflict',
                commands.VersionConflict(3, 4),
                409,
                {'based_on': 3, 'in_force': 4},
            ),
            ('exists', commands.KeyExists(KeyId('k')), 409, {'key_id': 'k'}),
            ('begun', commands.AlreadyInitialised(), 409, {}),
            ('unknown', commands.UnknownName('key', 'k'), 404, {'name': 'k'}),
            ('role', commands.CommandUnsupported('control'), 421, {}),
        ]
    )
    def test_failure(self, _name, failure, status, members) -> None:
        response, _ = call('GET', '/v1/lists', answer=failure)
        self.assertEqual(response.status_code, status)
        self.assertEqual(
            response.headers['content-type'], 'application/problem+json'
        )
        document = json.loads(response.text)
        name = type(failure).__name__
        self.assertEqual(document['type'], f'urn:cranberryseam:failure:{name}')
        for member, expected in members.items():
            self.assertEqual(document[member], expected)

    def test_no_answer_in_time(self) -> None:
        response, _ = call('GET', '/v1/lists', answer=None)
        self.assertEqual(response.status_code, 504)
        self.assertIn('OutcomeUnknown', response.text)
