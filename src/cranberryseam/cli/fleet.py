"""Commands on keys, VMs, control replicas and targets."""

from __future__ import annotations

import sys
import time
from typing import Any, Final

from .client import ApiResult
from .context import Connect, choose_command_key, take
from .keys import generate_key, hash_key
from .output import (
    EXIT_UNCONFIRMED,
    describe_failure,
    print_json,
    print_table,
)

POLL_S: Final = 0.5


class KeyCommands:
    """Grant and withdraw keys of client accounts."""

    def __init__(self, connect: Connect, as_json: bool) -> None:
        """Connect only when a command is run, not for its help."""
        self._connect = connect
        self._as_json = as_json

    def grant(self, account: str, key_id: str, command_key: str = '') -> None:
        """Grant a new key; it is printed once and stored only as a hash.

        Parameters
        ----------
        account
            Name of the client account.
        key_id
            Name of the key, by which it can be withdrawn.
        command_key
            Same key for a command sent again after a lost answer.

        """
        key = generate_key()
        body = {
            'command_key': choose_command_key(command_key),
            'key_id': key_id,
            'account': account,
            'key_hash': hash_key(key).hex(),
        }
        answer = take(self._connect().request_any('POST', '/v1/keys', body))
        if self._as_json:
            print_json({**answer, 'key_id': key_id, 'key': key})
            return
        print(f'key {key_id}: {key}')  # noqa: WPS421

    def withdraw(
        self, key_id: str, command_key: str = '', wait_s: float = 5
    ) -> None:
        """Withdraw a key at every address and wait for confirmations.

        Exits with 5 if a VM has not confirmed by then; ``fleet show`` tells
        later whether it has.

        Parameters
        ----------
        key_id
            Name of the key.
        command_key
            Same key for a command sent again after a lost answer.
        wait_s
            Longest time to wait for confirmations, in seconds.

        """
        body = {'command_key': choose_command_key(command_key)}
        results = self._withdraw_until(
            f'/v1/keys/{key_id}/withdraw', body, time.monotonic() + wait_s
        )
        rows = [
            {
                'address': address,
                'result': 'accepted'
                if result.is_ok()
                else describe_failure(result.error),
            }
            for address, result in results.items()
        ]
        accepted = [result.ok for result in results.values() if result.is_ok()]
        if self._as_json:
            print_json({'addresses': rows, 'answers': accepted})
        else:
            print_table(rows, 'address result')
            _print_unconfirmed(accepted)
        if len(accepted) < len(rows) or _list_unconfirmed(accepted):
            sys.exit(EXIT_UNCONFIRMED)

    def _withdraw_until(
        self, path: str, body: dict[str, str], give_up_at: float
    ) -> dict[str, ApiResult]:
        client = self._connect()
        while True:
            results = client.request_all('POST', path, body)
            accepted = [each.ok for each in results.values() if each.is_ok()]
            confirmed = accepted and not _list_unconfirmed(accepted)
            if confirmed or time.monotonic() >= give_up_at:
                return results
            # The command is repeatable, and its answer says who confirmed.
            time.sleep(POLL_S)


class FleetCommands:
    """Form the fleet and show its VMs."""

    def __init__(self, connect: Connect, as_json: bool) -> None:
        """Connect only when a command is run, not for its help."""
        self._connect = connect
        self._as_json = as_json

    def init(self) -> None:
        """Form the first control group; needed once in the fleet's life."""
        print_json(
            take(self._connect().request_any('POST', '/v1/fleet/initialise'))
        )

    def show(self) -> None:
        """Show each VM with its version and its confirmed withdrawals."""
        answer = take(self._connect().request_any('GET', '/v1/fleet'))
        if self._as_json:
            print_json(answer)
            return
        body = answer['body']
        members = body['members'] if isinstance(body, dict) else body
        print_table(members, ' '.join(members[0]) if members else 'name')

    def targets(self) -> None:
        """List targets with their state and the reason for it."""
        answer = take(self._connect().request_any('GET', '/v1/targets'))
        if self._as_json:
            print_json(answer)
            return
        body = answer['body']
        rows = body['targets'] if isinstance(body, dict) else body
        print_table(rows, ' '.join(rows[0]) if rows else 'target')

    def refusals(self) -> None:
        """Show refusals and retries by reason, summed over the addresses."""
        totals: dict[str, int] = {}
        results = self._connect().request_all('GET', '/v1/counters')
        for result in results.values():
            for counter, count in take(result).items():
                totals[counter] = totals.get(counter, 0) + count
        rows = [
            {'counter': name, 'count': totals[name]}
            for name in sorted(totals)
            if name.startswith(('refusals.', 'retries.'))
        ]
        if self._as_json:
            print_json(rows)
            return
        print_table(rows, 'counter count')

    def drain(self, address: str) -> None:
        """Drain the VM at an address; requests in progress end first."""
        answer = self._connect().request(address, 'POST', '/v1/drain')
        print_json(take(answer))


class ControlCommands:
    """Show and replace control replicas."""

    def __init__(self, connect: Connect) -> None:
        """Connect only when a command is run, not for its help."""
        self._connect = connect

    def show(self) -> None:
        """Show the state of the control replica at each address."""
        results = self._connect().request_all('GET', '/v1/control')
        print_json(
            {
                address: result.ok
                if result.is_ok()
                else describe_failure(result.error)
                for address, result in results.items()
            }
        )

    def replace(self, lost: str, added: str, command_key: str = '') -> None:
        """Replace a lost control replica, or one whose disk was lost.

        Parameters
        ----------
        lost
            Name of the VM to remove.
        added
            Name of the VM to add; the same name after a lost disk.
        command_key
            Same key for a command sent again after a lost answer.

        """
        body = {
            'command_key': choose_command_key(command_key),
            'lost': lost,
            'added': added,
        }
        answer = self._connect().request_any(
            'POST', '/v1/control/replace', body
        )
        print_json(take(answer))


def _list_unconfirmed(answers: list[dict[str, Any]]) -> set[str]:
    """Return the VMs that no answer names as confirmed."""
    confirmed: set[str] = set()
    named: set[str] = set()
    for answer in answers:
        body = answer.get('body') or {}
        confirmed.update(body.get('confirmed', ()))
        named.update(body.get('unconfirmed', ()))
    return named - confirmed


def _print_unconfirmed(answers: list[dict[str, Any]]) -> None:
    waiting = ', '.join(sorted(_list_unconfirmed(answers)))
    if waiting:
        print(f'not confirmed yet: {waiting}')  # noqa: WPS421


__all__ = ('ControlCommands', 'FleetCommands', 'KeyCommands')
