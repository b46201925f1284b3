"""Typed failures as RFC 9457 problem documents."""

from __future__ import annotations

from types import MappingProxyType

import attrs
import msgspec

from ..core import commands, documents
from ..core.errors import Failure, InvalidInput
from ..core.refusals import Refusal
from ..fleet import announcements
from .asgi import Send, send_response
from .problems import PROBLEM_CONTENT_TYPE, send_refusal


@attrs.frozen
class KeyRefused(Failure):
    """The key of this interface is missing or another one."""


@attrs.frozen
class NoSuchResource(Failure):
    """No resource of this interface has that path and method."""


@attrs.frozen
class BodyNotAccepted(Failure):
    """The body is too large or didn't arrive in time."""


_INTERNAL_ERROR = 500
# 421 tells the client to send the command to another VM. After 504 it may send
# the command again with the same command key.
_STATUSES = MappingProxyType(
    {
        InvalidInput: 400,
        KeyRefused: 401,
        NoSuchResource: 404,
        BodyNotAccepted: 413,
        announcements.TargetKeyRefused: 403,
        announcements.ServiceUnknown: 404,
        announcements.AnnouncementOutdated: 409,
        announcements.ConfigurationMissing: 503,
        commands.ReplacementInProgress: 409,
        commands.ReplicaUnusable: 409,
        commands.UnknownName: 404,
        commands.AlreadyInitialised: 409,
        commands.CommandKeyReused: 409,
        commands.KeyExists: 409,
        commands.NotInitialised: 409,
        commands.VersionConflict: 409,
        documents.DocumentConflict: 409,
        documents.DocumentMissing: 404,
        commands.CommandUnsupported: 421,
        commands.NotLeader: 421,
        commands.OutcomeUnknown: 504,
    }
)


def find_status(failure: Failure) -> int:
    """Return the HTTP status of a failure."""
    return _STATUSES.get(type(failure), _INTERNAL_ERROR)


async def send_failure(send: Send, failure: Failure) -> None:
    """Send a problem document; the fields of the failure are its members."""
    if isinstance(failure, Refusal):
        await send_refusal(send, failure)
        return
    status = find_status(failure)
    name = type(failure).__name__
    document = {
        'type': f'urn:cranberryseam:failure:{name}',
        'title': (type(failure).__doc__ or name).splitlines()[0],
        'status': status,
        **attrs.asdict(failure),
    }
    await send_json(send, status, document, PROBLEM_CONTENT_TYPE)


async def send_json(
    send: Send,
    status: int,
    document: object,
    content_type: tuple[bytes, bytes] = (b'content-type', b'application/json'),
) -> None:
    """Send a JSON document."""
    body = msgspec.json.encode(document, enc_hook=str)
    length = (b'content-length', b'%d' % len(body))
    await send_response(send, status, (content_type, length), body)


__all__ = (
    'BodyNotAccepted',
    'KeyRefused',
    'NoSuchResource',
    'find_status',
    'send_failure',
    'send_json',
)
