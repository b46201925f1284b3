"""Tests of the gateway over real sockets."""

from __future__ import annotations

import asyncio

import testtools

from cranberryseam.core.events import AnswerEnded, RequestArrived

from .harness import (
    GET,
    OK,
    ForwardingReducer,
    respond_once,
    run_gateway,
    run_target,
)


class ForwardingTest(testtools.TestCase):
    """Guards the forwarding of requests and responses."""

    def test_whole_way(self) -> None:
        seen: list[bytes] = []

        async def scenario() -> bytes:
            async with run_target(respond_once(OK, seen)) as port:
                reducer = ForwardingReducer(port)
                async with run_gateway(reducer) as fixture:
                    reply = await fixture.send_raw(
                        b'POST /a?b=%7e&c HTTP/1.1\r\nHost: h\r\n'
                        b'Authorization: Bearer secret-key\r\n'
                        b'Connection: close, X-Hop\r\nX-Hop: 1\r\n'
                        b'Via: forged\r\nX-Forwarded-For: forged\r\n'
                        b'Content-Length: 3\r\n\r\nabc'
                    )
                    await reducer.wait_for(AnswerEnded)
                    self.assertTrue(reducer.events_of(AnswerEnded)[0].complete)
                    self.assertEqual(len(reducer.events_of(RequestArrived)), 1)
                    self.assertEqual(fixture.gateway.in_flight, 0)
                    return reply

        with self.assertLogs(level='DEBUG') as logs:
            reply = asyncio.run(scenario())
        self.assertNotIn('secret', '\n'.join(logs.output))
        self.assertTrue(reply.startswith(b'HTTP/1.1 200'), reply)
        self.assertTrue(reply.endswith(b'\r\n\r\nok'), reply)
        request = seen[0]
        self.assertTrue(request.startswith(b'POST /a?b=%7e&c HTTP/1.1\r\n'))
        for absent in (b'secret', b'X-Hop', b'x-hop', b'forged'):
            self.assertNotIn(absent, request)
        self.assertTrue(request.endswith(b'\r\n\r\nabc'), request)
        self.assertIn(b'cranberryseam-deadline-ms: 5000', request)

    def test_folded_line_stays_one_value(self) -> None:
        seen: list[bytes] = []

        async def scenario() -> bytes:
            async with (
                run_target(respond_once(OK, seen)) as reducer.port,
                run_gateway(reducer) as fixture,
            ):
                return await fixture.send_raw(
                    GET[:-2] + b'A: b\r\n Content-Length: 4\r\n\r\n'
                )

        reducer = ForwardingReducer()

        self.assertTrue(asyncio.run(scenario()).endswith(b'ok'))
        self.assertIn(b'\r\na: b Content-Length: 4\r\n', seen[0])
