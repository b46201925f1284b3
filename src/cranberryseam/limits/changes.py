"""Accounts whose changed limit has not been applied yet."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

from .shares import list_changed_accounts

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..configuration.model import Configuration

# A batch takes about 3 ms; all 18,000 accounts of a plan would block for 0.2 s.
ACCOUNTS_PER_BATCH = 200


class PendingChanges:
    """Changes between two configurations, applied in batches.

    Parameters
    ----------
    previous
        Configuration before the change.
    at
        Time of the change.

    """

    def __init__(
        self, previous: Configuration, current: Configuration, at: float
    ) -> None:
        """List the changed accounts without applying the changes."""
        self.previous = previous
        self.at = at
        self._accounts = dict.fromkeys(list_changed_accounts(previous, current))

    def __len__(self) -> int:
        """Return the number of pending accounts."""
        return len(self._accounts)

    def __contains__(self, account: object) -> bool:
        """Return whether an account is pending."""
        return account in self._accounts

    def take(self, account: str) -> bool:
        """Remove an account; return whether it was pending."""
        if account not in self._accounts:
            return False
        self._accounts.pop(account)
        return True

    def pop_batch(self, max_accounts: int) -> Iterable[str]:
        """Remove and return the next pending accounts."""
        batch = tuple(islice(self._accounts, max_accounts))
        for account in batch:
            self._accounts.pop(account)
        return batch


__all__ = ('ACCOUNTS_PER_BATCH', 'PendingChanges')
