"""Entry point of ``cranberryseam``, the command-line tool for operators."""

from __future__ import annotations

import sys
from functools import partial
from typing import Final

import fire

from ..configuration.files import load_settings
from .context import build_client, read_text
from .fleet import ControlCommands, FleetCommands, KeyCommands
from .keys import hash_key
from .lists import ListCommands, read_lists
from .load import LoadCommands
from .output import fail

JSON_FLAG: Final = '--json'


class CheckCommands:
    """Check files without a fleet."""

    def settings(self, path: str) -> None:
        """Check the settings file of a daemon."""
        loaded = load_settings(path)
        if loaded.is_error():
            fail(loaded.error)
        print(f'{path}: usable')  # noqa: WPS421

    def lists(self, customers: str, usage: str) -> None:
        """Check the customer and usage lists."""
        read_lists(customers, usage)
        print(f'{customers}, {usage}: usable')  # noqa: WPS421

    def hash(self, path: str) -> None:
        """Print the hash of the key in a file, for settings and lists."""
        key = read_text(path).strip()
        print(hash_key(key).hex())  # noqa: WPS421


class Tool:
    """Operate a cranberryseam fleet.

    Exit codes: 0 done, 1 refused, 2 invalid input, 3 unreachable, 4 conflict
    (another version of the lists applies, or the command key was used for
    another command), 5 done but not confirmed by every VM, 6 outcome unknown
    (send it again with the same command key). A command key identifies a
    command, so that a repeated one is executed only once.

    Parameters
    ----------
    addresses
        Addresses (``ip:port``) of the administration API, separated by
        commas; default ``CRANBERRYSEAM_ADDRESSES``.
    key_file
        File with the operator's key; default ``CRANBERRYSEAM_KEY_FILE``.
    json
        Print JSON.

    """

    def __init__(
        self, addresses: str = '', key_file: str = '', json: bool = False
    ) -> None:
        """Create the command groups."""
        connect = partial(build_client, addresses, key_file)
        self.check = CheckCommands()
        self.lists = ListCommands(connect, json)
        self.keys = KeyCommands(connect, json)
        self.fleet = FleetCommands(connect, json)
        self.control = ControlCommands(connect)
        self.load = LoadCommands(json)


def normalise_json_flag(arguments: list[str]) -> list[str]:
    """Return the arguments with ``--json`` first, as ``--json=True``.

    Fire treats the argument after a flag as its value and accepts options of
    the tool only before the command. With this, ``--json`` may appear anywhere
    without a value.
    """
    if JSON_FLAG not in arguments:
        return arguments
    remaining = [argument for argument in arguments if argument != JSON_FLAG]
    return [f'{JSON_FLAG}=True', *remaining]


def main() -> None:
    """Run the tool with the arguments of the command line."""
    fire.Fire(Tool, normalise_json_flag(sys.argv[1:]), name='cranberryseam')


if __name__ == '__main__':
    main()

__all__ = ('CheckCommands', 'Tool', 'main', 'normalise_json_flag')
