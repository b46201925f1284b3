"""Rule for putting the first configuration in force after a start."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..types import VmId

_MIN_ANSWERS = 3


@attrs.frozen
class PeerAnswer:
    """Answer of a peer to a ping sent after the start.

    Parameters
    ----------
    synced
        True if the peer completed its own initial synchronisation. A peer
        that has just started may have an old version.

    """

    version: int
    synced: bool
    is_control: bool


class StartupQuorum:
    """Collects answers until they suffice to know the newest configuration.

    The answers of three synced peers, of one synced control VM, or of all
    live members suffice. The last case applies when the whole fleet starts and
    fewer peers are synced.
    """

    def __init__(self) -> None:
        """Start without answers."""
        self._answers: dict[VmId, PeerAnswer] = {}

    def record_answer(self, vm: VmId, answer: PeerAnswer) -> None:
        """Store the latest answer of a peer."""
        self._answers[vm] = answer

    def discard_answer(self, vm: VmId) -> None:
        """Drop the answer of a dead peer, whose version can't be pulled."""
        self._answers.pop(vm, None)

    def newest_version(self) -> int:
        """Return the newest version among the answers."""
        return max(
            (answer.version for answer in self._answers.values()), default=0
        )

    def is_reached(
        self, live: Collection[VmId], *, peers_pending: bool
    ) -> bool:
        """Return whether the answers suffice.

        Parameters
        ----------
        live
            All live members.
        peers_pending
            True while configured peers may still make their first contact.

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
