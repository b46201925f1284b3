"""Tests of the wire codec."""

from __future__ import annotations

import testtools
from parameterized import parameterized

from cranberryseam.core.codec import Codec, UndecodableMessage
from cranberryseam.core.messages import Message
from cranberryseam.types import VmId


class Ping(Message, frozen=True, array_like=True, tag=1):
    """Message type for these tests."""

    number: int


class CodecTest(testtools.TestCase):
    """Guards against bytes from a peer that are not a valid message."""

    def test_round_trip(self) -> None:
        codec = Codec((Ping,))
        envelope = codec.decode(codec.encode(VmId('a'), Ping(3))).ok
        self.assertEqual((envelope.sender, envelope.message), ('a', Ping(3)))

    @parameterized.expand(
        [
            ('empty', b''),
            ('not_messagepack', b'\xc1'),
            ('unknown_tag', b'\x92\xa1a\x92\x63\x01'),
            ('wrong_field', b'\x92\xa1a\x92\x01\xa1x'),
        ]
    )
    def test_bad_bytes(self, _name: str, raw: bytes) -> None:
        failure = Codec((Ping,)).decode(raw).error
        self.assertIsInstance(failure, UndecodableMessage)
