"""When a VM that has just started may trust its configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..types import VmId

# Distinct peers whose answers are enough.
_MIN_ANSWERS = 3


@attrs.frozen
class PeerAnswer:
    """What a peer answered to a ping sent after the start.

    Parameters
    ----------
    settled
        True if the peer itself has taken its configuration by this rule;
        the answer of one that has just started proves nothing.

    """

    version: int
    synced: bool
    is_control: bool


class StartupQuorum:
    """Collects answers until the newest configuration among them is known.

    The rule holds with the answers of three settled peers, or of one settled
    control VM, or of all live members if there are fewer settled ones (a
    fleet that starts as a whole).
    """

    def __init__(self) -> None:
        """Start with no answer."""
        self._answers: dict[VmId, PeerAnswer] = {}

    def record_answer(self, vm: VmId, answer: PeerAnswer) -> None:
        """Take the latest answer of a peer."""
        self._answers[vm] = answer

    def forget(self, vm: VmId) -> None:
        """Drop the answer of a peer that is gone: nobody can pull from it."""
        self._answers.pop(vm, None)

    def newest_version(self) -> int:
        """Return the newest version that was answered."""
        return max(
            (answer.version for answer in self._answers.values()), default=0
        )

    def is_reached(
        self, live: Collection[VmId], *, peers_pending: bool
    ) -> bool:
        """Return whether the answers are enough.

        Parameters
        ----------
        live
            All members that are not known to be gone.
        may_be_more
            True while peers of the settings may still be heard of.

        """
        synced = [answer for answer in self._answers.values() if answer.synced]
        if len(synced) >= _MIN_ANSWERS:
            return True
        if any(answer.is_control for answer in synced):
            return True
        if peers_pending or not self._answers:
            return False
        return all(vm in self._answers for vm in live)


__all__ = ('PeerAnswer', 'StartupQuorum')
