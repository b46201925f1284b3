"""Validation of target announcements."""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING

import attrs
from expression import Error, Ok, Result

from ..core.errors import Failure, InvalidInput

if TYPE_CHECKING:
    from ..configuration.model import Configuration
    from ..core.events import Announcement, TargetAnnounced

_SOURCE = 'announcement'
_MAX_PORT = 65_535
_MAX_SLOTS = 100_000
_MAX_NAME_BYTES = 128


@attrs.frozen
class ConfigurationMissing(Failure):
    """This VM has no configuration yet; announce again later."""


@attrs.frozen
class ServiceUnknown(Failure):
    """The configuration has no such service."""

    service: str


@attrs.frozen
class TargetKeyRefused(Failure):
    """The key may not announce targets of this service."""

    service: str


@attrs.frozen
class AnnouncementOutdated(Failure):
    """A later announcement of the target is known.

    Parameters
    ----------
    newest
        Sequence number that the next announcement must exceed.

    """

    came: int
    newest: int


def check_announcement(
    event: TargetAnnounced, configuration: Configuration | None
) -> Result[Announcement, Failure]:
    """Return the announcement, or the failure that rejects it.

    Parameters
    ----------
    configuration
        Configuration in force; None before the first one.

    """
    if configuration is None:
        return Error(ConfigurationMissing())
    announcement = event.announcement
    service = configuration.services.get(announcement.service)
    if service is None:
        return Error(ServiceUnknown(announcement.service))
    if event.key_hash.hex() not in service.target_key_hashes:
        return Error(TargetKeyRefused(service.name))
    failure = _find_invalid_value(announcement)
    return Error(failure) if failure else Ok(announcement)


def _find_invalid_value(announcement: Announcement) -> Failure | None:
    checks = (
        ('target', announcement.target, _is_name(announcement.target)),
        ('region', announcement.region, _is_name(announcement.region)),
        ('host', announcement.host, _is_address(announcement.host)),
        ('port', announcement.port, 0 < announcement.port <= _MAX_PORT),
        ('slots', announcement.slots, 0 < announcement.slots <= _MAX_SLOTS),
        (
            'connections',
            announcement.connections,
            0 < announcement.connections <= _MAX_SLOTS,
        ),
        ('sequence', announcement.sequence, announcement.sequence >= 0),
    )
    expected = {
        'target': f'1 to {_MAX_NAME_BYTES} bytes',
        'region': f'1 to {_MAX_NAME_BYTES} bytes',
        'host': 'an IP address that is neither unspecified nor multicast',
        'port': f'1 to {_MAX_PORT}',
        'slots': f'1 to {_MAX_SLOTS}',
        'connections': f'1 to {_MAX_SLOTS}',
        'sequence': 'an integer from 0',
    }
    for key, came, is_valid in checks:
        if not is_valid:
            return InvalidInput(_SOURCE, key, repr(came), expected[key])
    return None


def _is_name(text: str) -> bool:
    return 0 < len(text.encode()) <= _MAX_NAME_BYTES


def _is_address(host: str) -> bool:
    try:
        address = ipaddress.ip_address(host)
    except ValueError:
        return False
    return not (address.is_unspecified or address.is_multicast)


__all__ = (
    'AnnouncementOutdated',
    'ConfigurationMissing',
    'ServiceUnknown',
    'TargetKeyRefused',
    'check_announcement',
)
