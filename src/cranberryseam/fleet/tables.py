"""The tables of the fleet part, and the state that it reports of itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .copy import ConfigurationCopy
from .members import MemberTable
from .messages import SenderState
from .outbox import Outbox
from .prober import Prober
from .reconcile import Reconciler
from .reports import ReportTable
from .spread import Spreader
from .start import StartRule
from .targets import TargetTable
from .withdrawals import WithdrawalSet

if TYPE_CHECKING:
    import random

    from ..configuration.settings import Settings

# Peers of the settings that were not heard of by then count as gone.
_JOIN_WAIT_S = 5.0


class Tables:
    """Everything that the fleet part remembers."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        """Start without any knowledge but the settings."""
        self.outbox = Outbox()
        self.members = MemberTable(settings, self.outbox)
        self.spreader = Spreader(self.members, self.outbox, rng)
        self.reports = ReportTable(rng)
        self.copy = ConfigurationCopy(self.outbox)
        self.withdrawals = WithdrawalSet(self.outbox)
        self.targets = TargetTable(self.members, self.spreader, self.outbox)
        self.reconciler = Reconciler(self.members, self.targets, self.outbox)
        self.start = StartRule()
        self.started_at: float = 0
        self.prober = Prober(
            settings,
            self.members,
            self.spreader,
            self.reports,
            self.outbox,
            rng,
        )
        self._beat = 0
        self._reported: tuple[int, int] = (0, 0)

    def state(self) -> SenderState:
        """Return what this VM tells others of itself."""
        return SenderState(
            incarnation=self.members.me.incarnation,
            beat=self._beat,
            version=self.copy.version,
            settled=self.copy.settled,
            withdrawn=self.withdrawals.digest,
            members=self.members.digest.total,
            targets=self.targets.digest.total,
        )

    def raise_beat(self, least: int) -> None:
        """Make the next state newer than all before.

        Parameters
        ----------
        least
            Greatest beat that was seen of an earlier run of this VM.

        """
        self._beat = max(self._beat, least) + 1

    def finish(self) -> None:
        """Bring the tables in line after an event."""
        self._advance_start()
        self.withdrawals.take_committed(self.copy.configuration.withdrawn)
        reported = (self.copy.version, self.withdrawals.digest)
        if reported != self._reported:
            self._reported = reported
            self.raise_beat(self._beat)

    def _advance_start(self) -> None:
        if self.copy.settled:
            return
        newest = self.start.newest()
        if newest and self._may_settle() and self.copy.version >= newest:
            self.copy.settle()

    def _may_settle(self) -> bool:
        live = [member.vm for member in self.members.live()]
        waited_s = self.outbox.at - self.started_at
        unheard = any(
            vm not in self.members.members for vm in self.members.seeds
        )
        return self.start.is_met(
            live, may_be_more=unheard and waited_s < _JOIN_WAIT_S
        )


__all__ = ('Tables',)
