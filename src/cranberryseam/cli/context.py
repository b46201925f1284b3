"""Where the tool finds the fleet and the operator's key."""

from __future__ import annotations

import os
import uuid
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final, TypeAlias

from .client import AdminClient, ApiResult
from .output import exit_invalid, fail

Connect: TypeAlias = Callable[[], AdminClient]

ADDRESSES_VARIABLE: Final = 'CRANBERRYSEAM_ADDRESSES'
KEY_FILE_VARIABLE: Final = 'CRANBERRYSEAM_KEY_FILE'


def build_client(addresses: str = '', key_file: str = '') -> AdminClient:
    """Return a client for addresses separated by commas.

    The key is read from a file, so that it shows in no list of processes.
    """
    listed = addresses or os.environ.get(ADDRESSES_VARIABLE, '')
    path = key_file or os.environ.get(KEY_FILE_VARIABLE, '')
    if not listed or not path:
        exit_invalid(
            f'set --addresses and --key-file, or {ADDRESSES_VARIABLE} and '
            f'{KEY_FILE_VARIABLE}'
        )
    key = read_text(path).strip()
    return AdminClient(tuple(listed.split(',')), key)


def read_text(path: str) -> str:
    """Return the text of a file, or exit with one clear line."""
    try:
        return Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        exit_invalid(f'{path}: {error}')


def take(result: ApiResult) -> dict[str, Any]:
    """Return the answer of a command, or exit with the code of its failure."""
    if result.is_error():
        fail(result.error)
    return result.ok


def choose_command_key(given: str) -> str:
    """Return the given command key or a new one."""
    return given or uuid.uuid4().hex


__all__ = ('Connect', 'build_client', 'choose_command_key', 'read_text', 'take')
