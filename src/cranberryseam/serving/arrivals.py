"""Construction of the event for a received request."""

from __future__ import annotations

import time

from ..core.events import RequestArrived, RequestHead
from .bodies import fingerprint_request
from .pending_requests import PendingRequest

_S_PER_MINUTE = 60
_MINUTES_PER_DAY = 1440


def build_arrival(
    request: PendingRequest, at: float, utc_offset_minutes: int
) -> RequestArrived:
    """Return the event for a request that passed the head checks.

    Parameters
    ----------
    utc_offset_minutes
        UTC offset of the local time to which deadline windows refer.

    """
    head = request.head
    keyed = head.idempotency_key is not None
    return RequestArrived(
        at,
        request.request_id,
        RequestHead(
            method=head.method,
            path=head.target.path,
            query=head.target.query,
            key_hashes=head.key_hashes,
            idempotency_key=head.idempotency_key,
            fingerprint=fingerprint_request(head, request.body)
            if keyed
            else b'',
            timeout_s=head.timeout_s,
            minute_of_day=find_minute_of_day(time.time(), utc_offset_minutes),
            host=head.host.decode('latin-1').partition(':')[0].lower(),
            caller_request_id=head.caller_request_id.decode('latin-1'),
            body_bytes=head.content_length or 0,
        ),
    )


def find_minute_of_day(wall_s: float, utc_offset_minutes: int) -> int:
    """Return the minutes since local midnight."""
    minutes = int(wall_s // _S_PER_MINUTE) + utc_offset_minutes
    return minutes % _MINUTES_PER_DAY


__all__ = ('build_arrival', 'find_minute_of_day')
