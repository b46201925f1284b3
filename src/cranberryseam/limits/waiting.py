"""Requests of an entry VM that wait for a token of the owner."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..types import RequestId

MOST_WAIT_S = 0.25
# An owner that is lost has a successor within 1.5 s, and that one begins
# within another second.
HANDOVER_WAIT_S = 1.5
# An owner without an answer for this long is behind a partition, and nobody
# knows until when.
_AWAY_S = 3.0


@attrs.define
class Waiting:
    """A request that waits for a token.

    Parameters
    ----------
    spare_at
        When it may try, once, to do without the owner; infinite afterwards.

    """

    account: str
    group: str
    expires_at: float
    spare_at: float


@attrs.define(eq=False)
class WaitingRequests:
    """The requests that wait, oldest first, and how long they may.

    Parameters
    ----------
    answered_at
        Time of the last answer of an owner, or of the news of a new one.

    """

    answered_at: float = -math.inf
    _requests: dict[RequestId, Waiting] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self._requests)

    def add(
        self,
        request_id: RequestId,
        account: str,
        group: str,
        at: float,
        max_wait_s: float,
    ) -> None:
        """Let a request wait from now on.

        An owner that answered lately has a successor soon; behind a partition
        nobody knows when one answers, and a long wait would be for nothing.
        """
        wait_s = MOST_WAIT_S
        if at - self.answered_at <= _AWAY_S:
            wait_s = max(MOST_WAIT_S, min(HANDOVER_WAIT_S, max_wait_s))
        self._requests[request_id] = Waiting(
            account, group, at + wait_s, at + MOST_WAIT_S
        )

    def pop(self, request_id: RequestId) -> Waiting | None:
        """Remove a request; None if it doesn't wait."""
        return self._requests.pop(request_id, None)

    def account_of(self, request_id: RequestId) -> str:
        """Return the account of a request that waits."""
        return self._requests[request_id].account

    def take_spare_try(self, request_id: RequestId) -> bool:
        """Return, once for each request, whether it may try a spare token."""
        waiting = self._requests[request_id]
        untried = waiting.spare_at < math.inf
        waiting.spare_at = math.inf
        return untried

    def list_all(self) -> list[tuple[RequestId, Waiting]]:
        """Return all requests."""
        return list(self._requests.items())

    def map_groups(self) -> Mapping[str, str]:
        """Return the groups of the accounts that have requests here."""
        return {
            waiting.account: waiting.group
            for waiting in self._requests.values()
        }


__all__ = ('HANDOVER_WAIT_S', 'MOST_WAIT_S', 'Waiting', 'WaitingRequests')
