"""Ownership of shared state by the control leader."""

from __future__ import annotations

from typing import Final, Protocol

from ..control.replica import LeaderStatus
from ..types import Output, VmId
from .client import GROUP, AttachmentClient

# A leader that a quorum has not followed for this long may have a successor;
# a replica stands for election after 0.5 s without its leader.
UNPROVEN_S: Final = 1.0


class AuthoritySource(Protocol):
    """The control replica of this VM."""

    def find_leader_status(self) -> LeaderStatus | None:
        """Return what it may say as the leader."""


class ControlOwners:
    """One group for the whole fleet, led by the control leader.

    Buckets, ejections and the table of targets follow the leadership of the
    control log, so no list of VMs is needed to know who owns them.

    Parameters
    ----------
    attachment
        Knows the leader.
    replica
        The control replica of this VM; None on a VM without one.

    """

    def __init__(
        self, attachment: AttachmentClient, replica: AuthoritySource | None
    ) -> None:
        """Lead nothing yet."""
        self._attachment = attachment
        self._replica = replica
        self._term = 0
        self._last_term = 0
        self._since = float('-inf')

    def group_of(self, region: str, shard_key: str) -> str:
        """Return the only group."""
        return GROUP

    def leader_of(self, region: str, shard_key: str) -> VmId | None:
        """Return the last known leader."""
        return self._attachment.leader

    def leader_of_group(self, group: str) -> VmId | None:
        """Return the last known leader."""
        return self._attachment.leader

    def is_leader(self, region: str, shard_key: str, at: float) -> bool:
        """Return whether this VM leads, with recent proof."""
        return self.term_of(GROUP, at) is not None

    def term_of(self, group: str, at: float) -> int | None:
        """Return the term in which this VM leads, None if it doesn't."""
        authority = self._replica and self._replica.find_leader_status()
        if not authority or at - authority.confirmed_at > UNPROVEN_S:
            self._term = 0
            return None
        if authority.term != self._term:
            # After a gap in the proof another VM may have led meanwhile.
            first = authority.term != self._last_term
            self._term = authority.term
            self._last_term = authority.term
            self._since = authority.elected_at if first else at
        return authority.term

    def leads_since(self, group: str) -> float:
        """Return when this VM first led in the term it leads."""
        return self._since

    def share_of_vm(self) -> float:
        """Return an equal part of the whole for each attached VM."""
        count = self._attachment.vm_count
        return 1 / count if count else 0

    def ask_leader(self, group: str, at: float) -> list[Output]:
        """Ask nothing: the attachment looks for the leader all the time."""
        return []

    def tell_leader(self, group: str, to: VmId) -> list[Output]:
        """Tell nothing: each VM learns the leader by its own polls."""
        return []


__all__ = ('AuthoritySource', 'ControlOwners')
