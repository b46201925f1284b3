"""JSON bodies of requests to the admin and announcement interfaces."""

from __future__ import annotations

import asyncio
from typing import TypeVar

import msgspec
from expression import Error, Ok, Result

from ..core.errors import Failure, InvalidInput
from .asgi import DISCONNECT, Receive
from .failures import BodyNotAccepted

BODY_TIMEOUT_S = 10.0
_SOURCE = 'request body'
_Body = TypeVar('_Body')


async def read_document(
    receive: Receive, max_bytes: int
) -> Result[bytes, Failure]:
    """Read a complete request body of limited size."""
    body = bytearray()
    more = True
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            while more and len(body) <= max_bytes:
                message = await receive()
                if message['type'] == DISCONNECT:
                    return Error(BodyNotAccepted())
                body += message.get('body', b'')
                more = message.get('more_body', False)
    except TimeoutError:
        return Error(BodyNotAccepted())
    if len(body) > max_bytes:
        return Error(BodyNotAccepted())
    return Ok(bytes(body))


class UnusableBodyError(ValueError):
    """A body that can't be decoded, or not be encoded for other VMs."""


def decode_json(raw: bytes, body_type: type[_Body]) -> _Body:
    """Decode a JSON body to a value of a type.

    Raises
    ------
    UnusableBodyError
        If the body is not JSON of this type, or nested too deeply.

    """
    try:
        return msgspec.json.decode(raw, type=body_type)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise UnusableBodyError(str(error)) from error


def check_encodable(decoded: object) -> None:
    """Check that a value can be sent to other VMs and stored.

    Raises
    ------
    UnusableBodyError
        If it contains an integer of more than 64 bits.

    """
    try:
        msgspec.msgpack.encode(decoded)
    except OverflowError as error:
        raise UnusableBodyError(str(error)) from error


def decode_document(
    raw: bytes, body_type: type[_Body]
) -> Result[_Body, Failure]:
    """Decode a JSON body to a value that can be sent to other VMs."""
    try:
        decoded = decode_json(raw, body_type)
        check_encodable(decoded)
    except UnusableBodyError as error:
        return Error(
            InvalidInput(
                _SOURCE, '', str(error), f'JSON of {body_type.__name__}'
            )
        )
    return Ok(decoded)


__all__ = (
    'UnusableBodyError',
    'check_encodable',
    'decode_document',
    'decode_json',
    'read_document',
)
