"""Routes of the administration API and the commands they map to."""

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

_CommandResult: TypeAlias = Result[commands.Command, Failure]
_GET = 'GET'
_POST = 'POST'


class ListsBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/lists``."""

    command_key: str
    based_on: int
    lists: Lists


class KeyBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/keys``; ``key_hash`` is in hexadecimal."""

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
    build: Callable[[bytes, str], _CommandResult]


def build_command(method: str, path: str, body: bytes) -> _CommandResult:
    """Return the command for a method, path and body."""
    for route in _ROUTES:
        matched = route.pattern.fullmatch(path)
        if matched and route.method == method:
            return route.build(body, matched[1] if matched.groups() else '')
    return Error(NoSuchResource())


def _build_apply_lists(raw: bytes, _name: str) -> _CommandResult:
    return decode_document(raw, ListsBody).bind(
        lambda body: _convert_lists_body(raw, body)
    )


def _convert_lists_body(raw: bytes, body: ListsBody) -> _CommandResult:
    unknown = find_unknown_member(raw)
    if unknown is not None:
        return Error(
            InvalidInput(
                'request body', unknown, 'an unknown member', 'a known one'
            )
        )
    return Ok(commands.ApplyLists(body.command_key, body.based_on, body.lists))


def _build_grant_key(raw: bytes, _name: str) -> _CommandResult:
    return decode_document(raw, KeyBody).bind(_convert_key_body)


def _convert_key_body(body: KeyBody) -> _CommandResult:
    expected = f'{KEY_HASH_BYTES} bytes in hexadecimal'
    try:
        key_hash = bytes.fromhex(body.key_hash)
    except ValueError:
        key_hash = b''
    if len(key_hash) != KEY_HASH_BYTES:
        # The value is not quoted, since it may be a key that was sent in place
        # of its hash.
        received = f'{len(body.key_hash)} characters'
        return Error(
            InvalidInput('request body', 'key_hash', received, expected)
        )
    return Ok(
        commands.GrantKey(body.command_key, body.key_id, body.account, key_hash)
    )


def _build_withdraw_key(raw: bytes, name: str) -> _CommandResult:
    return decode_document(raw, WithdrawalBody).map(
        lambda body: commands.WithdrawKey(body.command_key, KeyId(name))
    )


def _build_replace_replica(raw: bytes, _name: str) -> _CommandResult:
    return decode_document(raw, ReplacementBody).map(
        lambda body: commands.ReplaceReplica(
            body.command_key, body.lost, body.added
        )
    )


def _build_initialise(_raw: bytes, _name: str) -> _CommandResult:
    return Ok(commands.InitialiseFleet(time.time()))


def _without_body(
    command: type[commands.Command],
) -> Callable[[bytes, str], _CommandResult]:
    return lambda _raw, _name: Ok(command())


def _route(
    method: str, pattern: str, build: Callable[[bytes, str], _CommandResult]
) -> _AdminRoute:
    return _AdminRoute(method, re.compile(f'/v1/{pattern}'), build)


_ROUTES = (
    _route(_GET, 'lists', _without_body(commands.ShowLists)),
    _route(_GET, 'fleet', _without_body(commands.ShowFleet)),
    _route(_GET, 'targets', _without_body(commands.ShowTargets)),
    _route(_GET, 'control', _without_body(commands.ShowControl)),
    _route(_POST, 'lists', _build_apply_lists),
    _route(_POST, 'keys', _build_grant_key),
    _route(_POST, 'keys/([^/]{1,128})/withdraw', _build_withdraw_key),
    _route(_POST, 'fleet/initialise', _build_initialise),
    _route(_POST, 'control/replace', _build_replace_replica),
    _route(_POST, 'drain', _without_body(commands.DrainVm)),
)

__all__ = ('build_command',)
