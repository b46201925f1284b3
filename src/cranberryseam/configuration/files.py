"""Loading and validation of the settings file."""

from __future__ import annotations

import math
from collections.abc import Iterator
from ipaddress import ip_address
from pathlib import Path
from typing import Final

import attrs
from expression import Error, Ok, Result

from ..core.errors import InvalidInput
from .documents import InvalidDocument, read_document
from .settings import Settings

ROLES: Final = ('entry', 'control')
ISOLATION_SCOPES: Final = ('vm', 'region')
GROUP_SIZE: Final = 3
MAX_PORT: Final = 65535

_Problems = Iterator[tuple[str, str, str]]


def load_settings(path: str) -> Result[Settings, InvalidDocument]:
    """Return the validated settings of a file."""
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        problem = InvalidInput(path, '(file)', str(error), 'a readable file')
        return Error(InvalidDocument((problem,)))
    return parse_settings(path, text)


def parse_settings(source: str, text: str) -> Result[Settings, InvalidDocument]:
    """Return validated settings, or all problems found."""
    parsed = read_document(source, text, Settings)
    if parsed.is_error():
        return Error(parsed.error)
    problems = tuple(
        InvalidInput(source, key, actual, expected)
        for key, actual, expected in _check_settings(parsed.ok)
    )
    if problems:
        return Error(InvalidDocument(problems))
    return Ok(parsed.ok)


def _check_settings(settings: Settings) -> _Problems:
    yield from _check_vm(settings)
    yield from _check_addresses(settings)
    yield from _check_control(settings)
    yield from _check_groups(settings)
    if settings.keys.isolation not in ISOLATION_SCOPES:
        actual = repr(settings.keys.isolation)
        yield 'keys.isolation', actual, _one_of(ISOLATION_SCOPES)
    if settings.keys.freshness_s <= 0:
        yield 'keys.freshness_s', str(settings.keys.freshness_s), 'above 0'
    for key, cost in attrs.asdict(settings.transfer).items():
        if not 0 <= cost < math.inf:
            yield f'transfer.{key}', str(cost), 'a finite cost of 0 or more'


def _check_vm(settings: Settings) -> _Problems:
    for role in settings.vm.roles:
        if role not in ROLES:
            yield 'vm.roles', repr(role), _one_of(ROLES)
    if not settings.vm.roles:
        yield 'vm.roles', 'none', _one_of(ROLES)
    if settings.vm.region not in settings.regions:
        yield 'vm.region', repr(settings.vm.region), _one_of(settings.regions)
    names = [peer.name for peer in settings.peers]
    if len(set(names)) != len(names) or settings.vm.name in names:
        yield 'peers', 'a duplicate VM name', 'unique names, without this VM'
    for peer in settings.peers:
        if peer.region not in settings.regions:
            yield 'peers', repr(peer.region), _one_of(settings.regions)


def _check_addresses(settings: Settings) -> _Problems:
    addresses = settings.addresses
    addresses_by_key = [
        ('addresses.peers', addresses.peers),
        ('addresses.callers', addresses.callers),
        ('addresses.targets', addresses.targets),
        ('addresses.admin', addresses.admin),
    ]
    addresses_by_key += [
        (f'peers.{peer.name}', peer.address) for peer in settings.peers
    ]
    for key, address in addresses_by_key:
        required = key != 'addresses.targets' and key != 'addresses.admin'
        applies_to_role = (
            'entry' in settings.vm.roles or key != 'addresses.callers'
        )
        if address or (required and applies_to_role):
            yield from _check_address(key, address)


def _check_address(key: str, address: str) -> _Problems:
    host, _colon, port = address.rpartition(':')
    try:
        ip_address(host.strip('[]'))
    except ValueError:
        yield (
            key,
            repr(address),
            'an IP address and port such as "127.0.0.1:80"',
        )
        return
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        yield key, repr(address), f'a port from 1 to {MAX_PORT}'


def _check_control(settings: Settings) -> _Problems:
    control = settings.control
    known = {settings.vm.name, *(peer.name for peer in settings.peers)}
    for name in control.replicas:
        if name not in known:
            yield 'control.replicas', repr(name), 'this VM or one of its peers'
    if 'control' not in settings.vm.roles:
        return
    if not control.data_folder:
        yield 'control.data_folder', 'nothing', 'a folder on a disk'
    if settings.vm.name not in control.replicas:
        yield (
            'control.replicas',
            str(control.replicas),
            'a list that includes this VM',
        )


def _check_groups(settings: Settings) -> _Problems:
    names = [group.name for group in settings.groups]
    if len(set(names)) != len(names):
        yield 'groups', 'a duplicate name', 'unique names'
    for group in settings.groups:
        if len(set(group.vms)) != GROUP_SIZE:
            key = f'groups.{group.name}.vms'
            yield key, str(group.vms), f'{GROUP_SIZE} different VMs'


def _one_of(names: tuple[str, ...]) -> str:
    listed = ', '.join(names)
    return f'one of {listed}'


__all__ = ('load_settings', 'parse_settings')
