"""Connection settings of the tool and helpers shared by its commands."""

from __future__ import annotations

import os
import uuid
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final, TypeAlias

from .client import AdminClient, ApiResult
from .output import exit_invalid, fail

ClientFactory: TypeAlias = Callable[[], AdminClient]

ADDRESSES_VARIABLE: Final = 'CRANBERRYSEAM_ADDRESSES'
KEY_FILE_VARIABLE: Final = 'CRANBERRYSEAM_KEY_FILE'


def build_client(addresses: str = '', key_file: str = '') -> AdminClient:
    """Return a client for a comma-separated list of addresses.

    The key is read from a file to keep it out of process listings.
    """
    address_list = addresses or os.environ.get(ADDRESSES_VARIABLE, '')
    path = key_file or os.environ.get(KEY_FILE_VARIABLE, '')
    if not address_list or not path:
        exit_invalid(
            f'set --addresses and --key-file, or {ADDRESSES_VARIABLE} and '
            f'{KEY_FILE_VARIABLE}'
        )
    key = read_text(path).strip()
    return AdminClient(tuple(address_list.split(',')), key)


def read_text(path: str) -> str:
    """Return the text of a file, or exit with an error message."""
    try:
        return Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        exit_invalid(f'{path}: {error}')


def unwrap_or_exit(result: ApiResult) -> dict[str, Any]:
    """Return the answer to a command, or exit with the code of its failure."""
    if result.is_error():
        fail(result.error)
    return result.ok


def choose_command_key(given: str) -> str:
    """Return the given command key or a new one."""
    return given or uuid.uuid4().hex


__all__ = (
    'ClientFactory',
    'build_client',
    'choose_command_key',
    'read_text',
    'unwrap_or_exit',
)
