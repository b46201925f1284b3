"""Requests of an entry VM that wait for a token from the owner."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..types import RequestId

# Wait for a token if no owner has answered recently. After the same time,
# fallback tokens are tried, and an unanswered token request is dropped.
MAX_WAIT_S = 0.25
# A lost owner has a successor within 1.5 s, which grants tokens within another
# second.
HANDOVER_WAIT_S = 1.5
# An owner that has not answered for this long is taken to be partitioned, for
# an unknown time.
_PARTITION_AFTER_S = 3.0


@attrs.define
class Waiting:
    """A request waiting for a token.

    Parameters
    ----------
    fallback_at
        Time from which it may use a fallback token.

    """

    account: str
    group: str
    expires_at: float
    fallback_at: float


@attrs.define(eq=False)
class WaitingRequests:
    """Waiting requests, oldest first, and their timeouts.

    Parameters
    ----------
    last_owner_activity_at
        Time of the last answer of an owner or of the last change of leader.

    """

    last_owner_activity_at: float = -math.inf
    _requests: dict[RequestId, Waiting] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._requests)

    def add(
        self,
        request_id: RequestId,
        account: str,
        group: str,
        at: float,
        max_wait_s: float,
    ) -> None:
        """Add a request with a timeout.

        An owner that answered recently will soon have a successor. During a
        partition the next answer may be far away, so the wait stays short.
        """
        wait_s = MAX_WAIT_S
        if at - self.last_owner_activity_at <= _PARTITION_AFTER_S:
            wait_s = max(MAX_WAIT_S, min(HANDOVER_WAIT_S, max_wait_s))
        self._requests[request_id] = Waiting(
            account, group, at + wait_s, at + MAX_WAIT_S
        )

    def pop(self, request_id: RequestId) -> Waiting | None:
        """Remove a request; return None if it isn't waiting."""
        return self._requests.pop(request_id, None)

    def account_of(self, request_id: RequestId) -> str:
        """Return the account of a waiting request."""
        return self._requests[request_id].account

    def list_all(self) -> list[tuple[RequestId, Waiting]]:
        """Return all waiting requests."""
        return list(self._requests.items())

    def groups_by_account(self) -> Mapping[str, str]:
        """Return the group of each account with waiting requests."""
        return {
            waiting.account: waiting.group
            for waiting in self._requests.values()
        }


__all__ = ('HANDOVER_WAIT_S', 'MAX_WAIT_S', 'Waiting', 'WaitingRequests')
