"""Paths of the admin interface and the command that each stands for."""

from __future__ import annotations

import re
import time
from collections.abc import Callable
from typing import TypeAlias

import attrs
import msgspec
from expression import Error, Ok, Result

from ..configuration.model import Lists
from ..core import commands
from ..core.errors import Failure, InvalidInput
from ..types import AccountId, KeyId, VmId
from .credentials import KEY_HASH_BYTES
from .documents import decode_document
from .failures import NoSuchResource
from .list_members import find_unknown_member

_Built: TypeAlias = Result[commands.Command, Failure]
_GET = 'GET'
_POST = 'POST'


class ListsBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/lists``."""

    command_key: str
    based_on: int
    lists: Lists


class KeyBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/keys``; the hash is in hexadecimal."""

    command_key: str
    key_id: KeyId
    account: AccountId
    key_hash: str


class WithdrawalBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/keys/{id}/withdraw``."""

    command_key: str


class ReplacementBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/control/replace``."""

    command_key: str
    lost: VmId
    added: VmId


@attrs.frozen
class _AdminRoute:
    method: str
    pattern: re.Pattern[str]
    build: Callable[[bytes, str], _Built]


def build_command(method: str, path: str, body: bytes) -> _Built:
    """Return the command that a request stands for."""
    for route in _ROUTES:
        found = route.pattern.fullmatch(path)
        if found and route.method == method:
            return route.build(body, found[1] if found.groups() else '')
    return Error(NoSuchResource())


def _apply_lists(raw: bytes, _name: str) -> _Built:
    return decode_document(raw, ListsBody).bind(
        lambda body: _build_lists(raw, body)
    )


def _build_lists(raw: bytes, body: ListsBody) -> _Built:
    unknown = find_unknown_member(raw)
    if unknown is not None:
        return Error(
            InvalidInput(
                'request body', unknown, 'an unknown member', 'a known one'
            )
        )
    return Ok(commands.ApplyLists(body.command_key, body.based_on, body.lists))


def _grant_key(raw: bytes, _name: str) -> _Built:
    return decode_document(raw, KeyBody).bind(_build_grant)


def _build_grant(body: KeyBody) -> _Built:
    expected = f'{KEY_HASH_BYTES} bytes in hexadecimal'
    try:
        key_hash = bytes.fromhex(body.key_hash)
    except ValueError:
        key_hash = b''
    if len(key_hash) != KEY_HASH_BYTES:
        # The text is left out, since it may be a key that was mistaken for
        # its hash.
        came = f'{len(body.key_hash)} characters'
        return Error(InvalidInput('request body', 'key_hash', came, expected))
    return Ok(
        commands.GrantKey(body.command_key, body.key_id, body.account, key_hash)
    )


def _withdraw_key(raw: bytes, name: str) -> _Built:
    return decode_document(raw, WithdrawalBody).map(
        lambda body: commands.WithdrawKey(body.command_key, KeyId(name))
    )


def _replace_replica(raw: bytes, _name: str) -> _Built:
    return decode_document(raw, ReplacementBody).map(
        lambda body: commands.ReplaceReplica(
            body.command_key, body.lost, body.added
        )
    )


def _initialise(_raw: bytes, _name: str) -> _Built:
    return Ok(commands.InitialiseFleet(time.time()))


def _without_body(
    command: type[commands.Command],
) -> Callable[[bytes, str], _Built]:
    return lambda _raw, _name: Ok(command())


def _route(
    method: str, pattern: str, build: Callable[[bytes, str], _Built]
) -> _AdminRoute:
    return _AdminRoute(method, re.compile(f'/v1/{pattern}'), build)


_ROUTES = (
    _route(_GET, 'lists', _without_body(commands.ShowLists)),
    _route(_GET, 'fleet', _without_body(commands.ShowFleet)),
    _route(_GET, 'targets', _without_body(commands.ShowTargets)),
    _route(_GET, 'control', _without_body(commands.ShowControl)),
    _route(_POST, 'lists', _apply_lists),
    _route(_POST, 'keys', _grant_key),
    _route(_POST, 'keys/([^/]{1,128})/withdraw', _withdraw_key),
    _route(_POST, 'fleet/initialise', _initialise),
    _route(_POST, 'control/replace', _replace_replica),
    _route(_POST, 'drain', _without_body(commands.DrainVm)),
)

__all__ = ('build_command',)
