"""Commands for keys, VMs, control replicas and targets."""

from __future__ import annotations

import sys
import time
from collections import Counter
from typing import Any, Final

from .client import ApiResult
from .context import ClientFactory, choose_command_key, unwrap_or_exit
from .keys import generate_key, hash_key
from .output import (
    EXIT_UNCONFIRMED,
    describe_failure,
    print_json,
    print_table,
)
from .traffic import summarise_traffic

POLL_INTERVAL_S: Final = 0.5


class KeyCommands:
    """Grant and withdraw keys of client accounts."""

    def __init__(self, connect: ClientFactory, as_json: bool) -> None:
        """Store the client factory; only running a command connects."""
        self._connect = connect
        self._as_json = as_json

    def grant(self, account: str, key_id: str, command_key: str = '') -> None:
        """Grant a new key; it is printed once and stored only as a hash.

        Parameters
        ----------
        account
            Name of the client account.
        key_id
            Name of the key, used to withdraw it.
        command_key
            Key that identifies the command; pass the same one to retry after a
            lost answer. Default: a new key.

        """
        key = generate_key()
        body = {
            'command_key': choose_command_key(command_key),
            'key_id': key_id,
            'account': account,
            'key_hash': hash_key(key).hex(),
        }
        answer = unwrap_or_exit(
            self._connect().request_any('POST', '/v1/keys', body)
        )
        if self._as_json:
            print_json({**answer, 'key_id': key_id, 'key': key})
            return
        print(f'key {key_id}: {key}')  # noqa: WPS421

    def withdraw(
        self, key_id: str, command_key: str = '', wait_s: float = 5
    ) -> None:
        """Withdraw a key at every address and wait for confirmations.

        Exits with 5 if a VM has not confirmed in time; ``fleet show`` lists
        the confirmed withdrawals of each VM.

        Parameters
        ----------
        key_id
            Name of the key.
        command_key
            Key that identifies the command; pass the same one to retry after a
            lost answer. Default: a new key.
        wait_s
            Longest time to wait for confirmations, in seconds.

        """
        body = {'command_key': choose_command_key(command_key)}
        results = self._withdraw_everywhere(
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

    def _withdraw_everywhere(
        self, path: str, body: dict[str, str], deadline: float
    ) -> dict[str, ApiResult]:
        client = self._connect()
        while True:
            results = client.request_all('POST', path, body)
            accepted = [
                result.ok for result in results.values() if result.is_ok()
            ]
            confirmed = accepted and not _list_unconfirmed(accepted)
            if confirmed or time.monotonic() >= deadline:
                return results
            # The command is idempotent, and its answer lists the VMs that have
            # confirmed it.
            time.sleep(POLL_INTERVAL_S)


class FleetCommands:
    """Form the fleet and show its VMs."""

    def __init__(self, connect: ClientFactory, as_json: bool) -> None:
        """Store the client factory; only running a command connects."""
        self._connect = connect
        self._as_json = as_json

    def init(self) -> None:
        """Form the first control group; run once when a fleet is created."""
        print_json(
            unwrap_or_exit(
                self._connect().request_any('POST', '/v1/fleet/initialise')
            )
        )

    def show(self) -> None:
        """Show each VM with its version and its confirmed withdrawals."""
        answer = unwrap_or_exit(self._connect().request_any('GET', '/v1/fleet'))
        if self._as_json:
            print_json(answer)
            return
        body = answer['body']
        members = body['members'] if isinstance(body, dict) else body
        print_table(members, ' '.join(members[0]) if members else 'name')

    def targets(self) -> None:
        """List targets with their state and the reason for it."""
        answer = unwrap_or_exit(
            self._connect().request_any('GET', '/v1/targets')
        )
        if self._as_json:
            print_json(answer)
            return
        body = answer['body']
        rows = body['targets'] if isinstance(body, dict) else body
        print_table(rows, ' '.join(rows[0]) if rows else 'target')

    def refusals(self) -> None:
        """Show refusals and retries by reason, summed over the addresses."""
        totals = self._sum_counters()
        rows = [
            {'counter': name, 'count': totals[name]}
            for name in sorted(totals)
            if name.startswith(('refusals.', 'retries.'))
        ]
        if self._as_json:
            print_json(rows)
            return
        print_table(rows, 'counter count')

    def traffic(self) -> None:
        """Show bytes by purpose and distance, summed over the addresses.

        Bytes between VMs are counted where they are sent, before the overhead
        of the connection.
        """
        rows = summarise_traffic(self._sum_counters())
        if self._as_json:
            print_json(rows)
            return
        print_table(rows, 'purpose distance bytes')

    def drain(self, address: str) -> None:
        """Drain the VM at an address; requests in progress end first."""
        answer = self._connect().request(address, 'POST', '/v1/drain')
        print_json(unwrap_or_exit(answer))

    def _sum_counters(self) -> Counter[str]:
        totals: Counter[str] = Counter()
        results = self._connect().request_all('GET', '/v1/counters')
        for result in results.values():
            totals.update(unwrap_or_exit(result))
        return totals


class ControlCommands:
    """Show and replace control replicas."""

    def __init__(self, connect: ClientFactory) -> None:
        """Store the client factory; only running a command connects."""
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
            Name of the VM to add; equal to ``lost`` after a lost disk.
        command_key
            Key that identifies the command; pass the same one to retry after a
            lost answer. Default: a new key.

        """
        body = {
            'command_key': choose_command_key(command_key),
            'lost': lost,
            'added': added,
        }
        answer = self._connect().request_any(
            'POST', '/v1/control/replace', body
        )
        print_json(unwrap_or_exit(answer))


def _list_unconfirmed(answers: list[dict[str, Any]]) -> set[str]:
    """Return the VMs that are unconfirmed in all answers."""
    confirmed: set[str] = set()
    reported: set[str] = set()
    for answer in answers:
        body = answer.get('body') or {}
        confirmed.update(body.get('confirmed', ()))
        reported.update(body.get('unconfirmed', ()))
    return reported - confirmed


def _print_unconfirmed(answers: list[dict[str, Any]]) -> None:
    unconfirmed = ', '.join(sorted(_list_unconfirmed(answers)))
    if unconfirmed:
        print(f'not confirmed yet: {unconfirmed}')  # noqa: WPS421


__all__ = ('ControlCommands', 'FleetCommands', 'KeyCommands')
