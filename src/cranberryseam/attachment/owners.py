"""Ownership of shared state by the control leader."""

from __future__ import annotations

from typing import Final, Protocol

from ..control.replica import LeaderStatus
from ..ownership import OwnerContact
from ..types import Output, VmId
from .client import CONTROL_GROUP, AttachmentClient

# A leader not confirmed by a quorum for this long may have been replaced: a
# replica starts an election after 0.5 s without contact to its leader.
LEADER_STATUS_TIMEOUT_S: Final = 1.0


class LeaderStatusSource(Protocol):
    """Interface of the control replica of this VM."""

    def find_leader_status(self) -> LeaderStatus | None:
        """Return the status of the replica as leader, None if it isn't."""


class ControlOwners:
    """A single group for the fleet, led by the control leader.

    Rate limit buckets, ejections and the table of targets are owned by the
    leader of the control log, so VMs need no member list to find the owner.

    Parameters
    ----------
    attachment
        Provides the current leader and the number of VMs.
    replica
        The control replica of this VM; None on a VM without one.

    """

    def __init__(
        self, attachment: AttachmentClient, replica: LeaderStatusSource | None
    ) -> None:
        """Start without leadership."""
        self._attachment = attachment
        self._replica = replica
        self._term = 0
        self._last_term = 0
        self._since = float('-inf')

    def group_of(self, region: str, shard_key: str) -> str:
        """Return the single group."""
        return CONTROL_GROUP

    def leader_of(self, region: str, shard_key: str) -> VmId | None:
        """Return the last known leader."""
        return self._attachment.leader

    def leader_of_group(self, group: str) -> VmId | None:
        """Return the last known leader."""
        return self._attachment.leader

    def is_leader(self, region: str, shard_key: str, at: float) -> bool:
        """Return whether this VM leads, as recently confirmed by a quorum."""
        return self.term_of(CONTROL_GROUP, at) is not None

    def term_of(self, group: str, at: float) -> int | None:
        """Return the term in which this VM leads, None if it doesn't."""
        leader_status = self._replica and self._replica.find_leader_status()
        if (
            not leader_status
            or at - leader_status.confirmed_at > LEADER_STATUS_TIMEOUT_S
        ):
            self._term = 0
            return None
        if leader_status.term != self._term:
            # Another VM may have led while the leadership was unconfirmed.
            first = leader_status.term != self._last_term
            self._term = leader_status.term
            self._last_term = leader_status.term
            self._since = leader_status.elected_at if first else at
        return leader_status.term

    def leading_since(self, group: str) -> float:
        """Return since when this VM leads in the current term."""
        return self._since

    def fallback_share(self) -> float:
        """Return an equal share of a limit for each attached VM."""
        count = self._attachment.vm_count
        return 1 / count if count else 0

    def last_contact(self) -> OwnerContact:
        """Return the last contact of this VM with the leader."""
        return self._attachment.last_contact

    def query_leader(self, group: str, at: float) -> list[Output]:
        """Do nothing: the attachment client searches for the leader itself."""
        return []

    def announce_leader(self, group: str, to: VmId) -> list[Output]:
        """Do nothing: each VM finds the leader by its own polls."""
        return []


__all__ = ('ControlOwners', 'LeaderStatusSource')
