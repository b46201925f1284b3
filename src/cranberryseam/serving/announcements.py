"""HTTP interface for the announcements of targets."""

from __future__ import annotations

import asyncio
import ipaddress
from collections.abc import Callable
from http import HTTPStatus
from typing import Annotated, TypeAlias

import msgspec
from expression import Error, Ok, Result

from ..core.commands import OutcomeUnknown
from ..core.effects import AnswerAnnouncement, Effect
from ..core.errors import Failure, InvalidInput
from ..core.events import Announcement, Event, TargetAnnounced, TargetState
from ..core.messages import MAX_INTEGER
from ..types import ServiceName, TargetId
from .asgi import (
    LIFESPAN,
    Receive,
    Scope,
    Send,
    send_response,
    serve_lifespan,
)
from .credentials import KEY_HEADERS, read_keys
from .documents import decode_document, read_document
from .failures import KeyRefused, NoSuchResource, send_failure
from .replies import PendingReplies

ANNOUNCEMENTS_PATH = '/v1/announcements'
_MAX_BODY_BYTES = 4096
# Targets announce themselves every second. A shorter timeout ends a request
# without a reply before the next one arrives.
_REPLY_TIMEOUT_S = 0.9
_MAX_PORT = 65_535
_MAX_COUNT = 1_000_000
_Name: TypeAlias = Annotated[
    str, msgspec.Meta(pattern='^[A-Za-z0-9._:-]{1,128}$')
]
_Port: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=_MAX_PORT)]
_Count: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=_MAX_COUNT)]
_Sequence: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]


class AnnouncementBody(msgspec.Struct, forbid_unknown_fields=True):
    """Request body of an announcement; see ``core.events.Announcement``."""

    target: _Name
    service: _Name
    host: str
    port: _Port
    region: _Name
    data_centre: _Name
    slots: _Count
    connections: _Count
    state: TargetState
    sequence: _Sequence
    born_ms: _Sequence = 0


class AnnouncementApi:
    """Passes announcements to the reducer and returns its replies."""

    def __init__(
        self, dispatch: Callable[[Event], None], clock: Callable[[], float]
    ) -> None:
        """Start without pending replies."""
        self._dispatch = dispatch
        self._clock = clock
        self._replies: PendingReplies[Failure | None] = PendingReplies()

    def execute(self, effect: Effect) -> bool:
        """Execute an ``AnswerAnnouncement``; return False for others."""
        if not isinstance(effect, AnswerAnnouncement):
            return False
        self._replies.resolve(effect.reply_id, effect.failure)
        return True

    async def app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve a request of a target (ASGI application)."""
        if scope['type'] == LIFESPAN:
            await serve_lifespan(receive, send)
        elif scope['type'] == 'http':
            failure = await self._serve(scope, receive)
            if failure is None:
                await send_response(send, HTTPStatus.NO_CONTENT, (), b'')
            else:
                await send_failure(send, failure)

    async def submit(
        self, announcement: Announcement, key_hash: bytes
    ) -> Failure | None:
        """Submit an announcement; return None if it is accepted."""
        reply_id, waiter = self._replies.create()
        self._dispatch(
            TargetAnnounced(self._clock(), announcement, key_hash, reply_id)
        )
        try:
            return await asyncio.wait_for(waiter, _REPLY_TIMEOUT_S)
        except TimeoutError:
            return OutcomeUnknown()

    async def _serve(self, scope: Scope, receive: Receive) -> Failure | None:
        if (scope['method'], scope['path']) != ('POST', ANNOUNCEMENTS_PATH):
            return NoSuchResource()
        headers = scope['headers']
        keys = read_keys(pair for pair in headers if pair[0] in KEY_HEADERS)
        key_hashes = keys.default_value(())
        if len(key_hashes) != 1:
            return KeyRefused()
        document = await read_document(receive, _MAX_BODY_BYTES)
        match document.bind(decode_announcement):
            case Result(tag='ok', ok=announcement):
                return await self.submit(announcement, key_hashes[0])
            case failed:
                return failed.error


def decode_announcement(raw: bytes) -> Result[Announcement, Failure]:
    """Decode an announcement from a request body."""
    return decode_document(raw, AnnouncementBody).bind(_build_announcement)


def _build_announcement(
    body: AnnouncementBody,
) -> Result[Announcement, Failure]:
    try:
        ipaddress.ip_address(body.host)
    except ValueError:
        return Error(
            InvalidInput(
                'announcement', 'host', repr(body.host), 'an IP address'
            )
        )
    return Ok(
        Announcement(
            target=TargetId(body.target),
            service=ServiceName(body.service),
            host=body.host,
            port=body.port,
            region=body.region,
            data_centre=body.data_centre,
            slots=body.slots,
            connections=body.connections,
            state=body.state,
            sequence=body.sequence,
            born_ms=body.born_ms,
        )
    )


__all__ = ('ANNOUNCEMENTS_PATH', 'AnnouncementApi', 'decode_announcement')
