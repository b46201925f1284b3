"""Tables and components of gossip, and the state reported to peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .configuration_copy import ConfigurationCopy
from .dissemination import Disseminator
from .members import MemberTable
from .messages import SenderState
from .outbox import Outbox
from .prober import Prober
from .reconcile import Reconciler
from .reports import ReportTable
from .startup_quorum import StartupQuorum
from .targets import TargetTable
from .withdrawals import WithdrawalSet

if TYPE_CHECKING:
    import random

    from ..configuration.settings import Settings

# Configured peers without any contact by then count as dead.
_SEED_TIMEOUT_S = 5.0


class Tables:
    """All state of the gossip protocol on this VM.

    Holds the tables of members, reports, withdrawals and targets, the copy of
    the configuration, and the components that exchange them with peers.
    """

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        """Start with the settings only."""
        self.outbox = Outbox()
        self.members = MemberTable(settings, self.outbox)
        self.disseminator = Disseminator(self.members, self.outbox, rng)
        self.reports = ReportTable(rng)
        self.configuration_copy = ConfigurationCopy(self.outbox)
        self.withdrawals = WithdrawalSet(self.outbox)
        self.targets = TargetTable(self.members, self.disseminator, self.outbox)
        self.reconciler = Reconciler(self.members, self.targets, self.outbox)
        self.startup_quorum = StartupQuorum()
        self.started_at: float = 0
        self.prober = Prober(
            settings,
            self.members,
            self.disseminator,
            self.reports,
            self.outbox,
            rng,
        )
        self._heartbeat = 0
        self._reported: tuple[int, int] = (0, 0)

    def state(self) -> SenderState:
        """Return the state that this VM reports to peers."""
        return SenderState(
            incarnation=self.members.local_record.incarnation,
            heartbeat=self._heartbeat,
            version=self.configuration_copy.version,
            synced=self.configuration_copy.synced,
            withdrawn=self.withdrawals.digest,
            members=self.members.digest.total,
            targets=self.targets.digest.total,
        )

    def advance_heartbeat(self, minimum: int) -> None:
        """Make the next state newer than all previous ones.

        Parameters
        ----------
        minimum
            Greatest known heartbeat of an earlier run of this VM.

        """
        self._heartbeat = max(self._heartbeat, minimum) + 1

    def update_derived_state(self) -> None:
        """Update after an event what depends on several tables.

        Completes the initial synchronisation when possible, marks withdrawals
        as committed, and advances the heartbeat if the version or the digest of
        withdrawals changed, so that peers record the new state.
        """
        self._check_sync()
        self.withdrawals.update_committed(
            self.configuration_copy.configuration.withdrawn
        )
        reported = (self.configuration_copy.version, self.withdrawals.digest)
        if reported != self._reported:
            self._reported = reported
            self.advance_heartbeat(self._heartbeat)

    def _check_sync(self) -> None:
        if self.configuration_copy.synced:
            return
        newest_version = self.startup_quorum.newest_version()
        if (
            newest_version
            and self._is_sync_complete()
            and self.configuration_copy.version >= newest_version
        ):
            self.configuration_copy.mark_synced()

    def _is_sync_complete(self) -> bool:
        live = [member.vm for member in self.members.live()]
        waited_s = self.outbox.now - self.started_at
        has_uncontacted_seeds = any(
            vm not in self.members.members for vm in self.members.seeds
        )
        return self.startup_quorum.is_reached(
            live,
            peers_pending=has_uncontacted_seeds and waited_s < _SEED_TIMEOUT_S,
        )


__all__ = ('Tables',)
