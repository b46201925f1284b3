"""Rate limits: token leases on entry VMs, buckets on group leaders."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.effects import SetTimer
from ..core.events import (
    Event,
    MessageReceived,
    PauseSuspected,
    Started,
    StopRequested,
    TimerFired,
)
from ..core.notices import ConfigurationChanged, LeadershipChanged
from ..ownership import deliver_to_self
from .changes import ACCOUNTS_PER_BATCH
from .entry import COMPONENT, LEASE_TIMER, WAIT_TIMER, TokenClient
from .messages import TokensAsked, TokensGiven, TokensReported
from .owner import BucketOwner

if TYPE_CHECKING:
    import random

    from ..configuration.settings import Settings
    from ..core.messages import Message
    from ..core.notices import Notice
    from ..ownership import ContactLog
    from ..types import AccountId, Output, Owners, RequestId, VmId

_SWEEP_TIMER = 'sweep'
_SWEEP_S = 5.0
_CHANGES_TIMER = 'changes'
_BATCH_INTERVAL_S = 0.05
_MICROSECONDS_PER_S = 1_000_000
_RUN_RANDOM_BITS = 12


class Limiter:
    """Rate limits of all accounts over the whole fleet.

    Parameters
    ----------
    ownership
        Locates the owner of a bucket.
    rng
        Source of the run identifier and of fallback decisions.
    contacts
        Contacts of this VM, as an owner, with the other VMs.

    """

    def __init__(
        self,
        settings: Settings,
        ownership: Owners,
        rng: random.Random,
        contacts: ContactLog | None = None,
    ) -> None:
        """Start without tokens or buckets."""
        self._vm = settings.vm_id
        self._ownership = ownership
        self._rng = rng
        self._client = TokenClient(settings, ownership, rng)
        self._owner = BucketOwner(settings, ownership, contacts)

    def handle(self, event: Event | Notice) -> list[Output]:
        """Apply one event or notice."""
        at = event.at
        match event:
            case Started(wall_s=wall_s):
                run = int(wall_s * _MICROSECONDS_PER_S) << _RUN_RANDOM_BITS
                self._client.run = run + self._rng.getrandbits(_RUN_RANDOM_BITS)
                self._owner.started_at = at
                return [SetTimer(COMPONENT, _SWEEP_TIMER, at + _SWEEP_S)]
            case ConfigurationChanged(configuration=configuration):
                self._client.configuration = configuration
                self._owner.change_configuration(configuration, at)
                return self._apply_changes(at)
            case LeadershipChanged(group=group, leader=leader):
                return self._change_leader(group, leader, at)
            case MessageReceived(sender=sender, message=message):
                return self._deliver_local(
                    self._receive(sender, message, at), at
                )
            case TimerFired(component=component, name=name) if (
                component == COMPONENT
            ):
                return self._deliver_local(self._handle_timer(name, at), at)
            case PauseSuspected():
                self._client.drop_leases()
            case StopRequested():
                return self._deliver_local(self._client.return_all(), at)
        return []

    def acquire(
        self,
        request_id: RequestId,
        account: AccountId,
        at: float,
        max_wait_s: float = 0,
    ) -> list[Output]:
        """Acquire a token of an account for a request.

        Parameters
        ----------
        max_wait_s
            Seconds that the request may wait while the owner changes; at
            least 250 ms are allowed.

        Returns
        -------
        ``TokenGranted`` or ``TokenDenied``, now or after the wait, and
        effects.

        """
        return self._deliver_local(
            self._client.acquire(request_id, account, at, max_wait_s), at
        )

    def cancel(self, request_id: RequestId, at: float) -> list[Output]:
        """Remove a request that no longer waits for a token."""
        self._client.cancel(request_id)
        return []

    def count_state(self) -> tuple[int, int]:
        """Return the numbers of buckets and of cached accounts."""
        return self._owner.count_buckets(), self._client.count_cached()

    def _apply_changes(self, at: float) -> list[Output]:
        if self._owner.apply_changes(ACCOUNTS_PER_BATCH):
            return [SetTimer(COMPONENT, _CHANGES_TIMER, at + _BATCH_INTERVAL_S)]
        return []

    def _handle_timer(self, name: str, at: float) -> list[Output]:
        match name:
            case name if name == WAIT_TIMER:
                return self._client.check_waiting(at)
            case name if name == LEASE_TIMER:
                return self._client.check_leases(at)
            case name if name == _CHANGES_TIMER:
                return self._apply_changes(at)
        sweep = SetTimer(COMPONENT, _SWEEP_TIMER, at + _SWEEP_S)
        return [sweep, *self._owner.sweep(at)]

    def _change_leader(
        self, group: str, leader: VmId | None, at: float
    ) -> list[Output]:
        if leader is None:
            return []
        if leader == self._vm:
            self._owner.open_table(group, at)
        return self._deliver_local(
            self._client.handle_leader_change(group, at), at
        )

    def _receive(
        self, sender: VmId, message: Message, at: float
    ) -> list[Output]:
        match message:
            case TokensAsked():
                return self._owner.answer(sender, message, at)
            case TokensGiven():
                return self._client.take_tokens(message, at)
            case TokensReported():
                self._owner.receive_reports(sender, message, at)
        return []

    def _deliver_local(self, outputs: list[Output], at: float) -> list[Output]:
        return deliver_to_self(
            self._vm,
            outputs,
            lambda message: self._receive(self._vm, message, at),
        )


__all__ = ('Limiter',)
