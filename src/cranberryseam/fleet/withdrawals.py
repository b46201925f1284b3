"""Grow-only set of withdrawn keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.notices import KeysWithdrawn
from ..types import KeyId
from .digest import hash_values
from .messages import PullWithdrawn, Withdrawn

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..types import VmId
    from .outbox import Outbox

# About 8 KB, at 40 bytes per id.
IDS_PER_PAGE = 200


class WithdrawalSet:
    """Union of committed withdrawals and those not yet committed.

    Only uncommitted ids are stored here, so the set stays small unless the
    control log is unreachable. The digest covers the union, so it doesn't
    depend on how an id arrived.
    """

    def __init__(self, outbox: Outbox) -> None:
        """Start empty."""
        self._outbox = outbox
        self._committed: frozenset[KeyId] = frozenset()
        self._uncommitted: set[KeyId] = set()
        self.digest = 0

    def __contains__(self, key_id: object) -> bool:
        """Return whether a key is withdrawn."""
        return key_id in self._committed or key_id in self._uncommitted

    def add(self, key_ids: Iterable[str]) -> tuple[KeyId, ...]:
        """Add ids, emit a notice of the new ones and return them."""
        added = tuple(
            KeyId(key_id)
            for key_id in dict.fromkeys(key_ids)
            if key_id not in self
        )
        if added:
            self._uncommitted.update(added)
            self._toggle_in_digest(added)
            self._outbox.add(KeysWithdrawn(self._outbox.now, added))
        return added

    def update_committed(self, committed: frozenset[KeyId]) -> None:
        """Set the withdrawals of a newer configuration.

        Ids missing there are kept, because a withdrawal is permanent.
        """
        if committed is self._committed:
            return
        missing = self._committed - committed
        self._toggle_in_digest(committed - self._committed - self._uncommitted)
        self._uncommitted = (self._uncommitted | missing) - committed
        self._committed = committed

    def send_page(self, sender: VmId, request: PullWithdrawn) -> None:
        """Send the next ids, which the sender's configuration may lack."""
        ids = sorted(key for key in self._uncommitted if key > request.after)
        message = Withdrawn(
            tuple(ids[:IDS_PER_PAGE]), more=len(ids) > IDS_PER_PAGE
        )
        self._outbox.send(sender, message)

    def receive_page(self, sender: VmId, page: Withdrawn) -> tuple[KeyId, ...]:
        """Add the ids of a page and request the next page."""
        if page.more and page.key_ids:
            self._outbox.send(sender, PullWithdrawn(page.key_ids[-1]))
        return self.add(page.key_ids)

    def _toggle_in_digest(self, key_ids: Iterable[KeyId]) -> None:
        for key_id in key_ids:
            self.digest ^= hash_values(key_id)


__all__ = ('WithdrawalSet',)
