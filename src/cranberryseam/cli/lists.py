"""Commands for the customer and usage lists."""

from __future__ import annotations

from typing import Any

import attrs

from ..configuration.lists import parse_lists
from ..configuration.model import Lists
from .context import (
    ClientFactory,
    choose_command_key,
    read_text,
    unwrap_or_exit,
)
from .output import fail, print_json, print_table


class ListCommands:
    """Check, show and apply customers' plans and what each plan may use."""

    def __init__(self, connect: ClientFactory, as_json: bool) -> None:
        """Store the client factory; only running a command connects."""
        self._connect = connect
        self._as_json = as_json

    def show(self) -> None:
        """Show the lists in force with their version."""
        answer = unwrap_or_exit(self._connect().request_any('GET', '/v1/lists'))
        if self._as_json:
            print_json(answer)
            return
        version = answer['version']
        print(f'version {version}')  # noqa: WPS421
        body = answer['body']
        print_table(body['plans'], 'name rate burst weight routes')
        print_table(body['accounts'], 'name plan home')
        print_table(body['routes'], 'name service prefix methods deadline_s')
        print_table(body['services'], 'name floor most_targets')

    def apply(
        self, customers: str, usage: str, based_on: int, command_key: str = ''
    ) -> None:
        """Replace the lists if ``based_on`` is still the version in force.

        Parameters
        ----------
        customers
            TOML file with customers' plans.
        usage
            TOML file with what each plan may use.
        based_on
            Version that the files are based on, as printed by ``lists show``.
        command_key
            Key that identifies the command; pass the same one to retry after a
            lost answer. Default: a new key.

        """
        lists = read_lists(customers, usage)
        key = choose_command_key(command_key)
        body = build_lists_body(key, based_on, lists)
        answer = self._connect().request_any('POST', '/v1/lists', body)
        if answer.is_error():
            fail(answer.error)
        if self._as_json:
            print_json({**answer.ok, 'command_key': key})
            return
        version = answer.ok['version']
        print(f'version {version} accepted')  # noqa: WPS421


def build_lists_body(
    command_key: str, based_on: int, lists: Lists
) -> dict[str, Any]:
    """Return the request body of the command that replaces the lists."""
    return {
        'command_key': command_key,
        'based_on': based_on,
        'lists': attrs.asdict(lists),
    }


def read_lists(customers: str, usage: str) -> Lists:
    """Return the validated lists of two files, or exit with all errors."""
    parsed = parse_lists(read_text(customers), read_text(usage))
    if parsed.is_error():
        fail(parsed.error)
    return parsed.ok


__all__ = ('ListCommands', 'build_lists_body', 'read_lists')
