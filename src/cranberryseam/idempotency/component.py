"""Idempotency: claims, outcomes and the replication of records."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.effects import SetTimer
from ..core.events import Event, MessageReceived, Started, TimerFired
from ..core.notices import ConfigurationChanged, LeadershipChanged
from ..ownership import deliver_to_self
from .entry import CHECK_TIMER, COMPONENT, ClaimClient
from .messages import (
    ClaimAnswered,
    ClaimAsked,
    ClaimFinished,
    FinishStored,
    PushConfirmed,
    RecordConfirmed,
    RecordsAsked,
    RecordsPushed,
    RecordsRead,
    RecordStored,
)
from .moves import mark_moved_accounts
from .owner import ClaimOwner
from .replica import Replica

if TYPE_CHECKING:
    import random

    from ..configuration.model import Configuration
    from ..configuration.settings import Settings
    from ..core.events import StoredAnswer
    from ..core.messages import Message
    from ..core.notices import Notice
    from ..core.refusals import Executed
    from ..ownership import Ownership
    from ..types import AccountId, Output, RequestId, VmId

_OWNER_TIMER = 'owner'
_OWNER_CHECK_INTERVAL_S = 0.1
_MICROSECONDS_PER_S = 1_000_000
_RUN_RANDOM_BITS = 12


class Claims:
    """Ensures at most one execution per idempotency key.

    Parameters
    ----------
    ownership
        Locates the leaders of the groups.
    rng
        Source of the identifier of this process run.

    """

    def __init__(
        self, settings: Settings, ownership: Ownership, rng: random.Random
    ) -> None:
        """Start without records; replicas are blank until synchronized."""
        self._settings = settings
        self._vm = settings.vm_id
        self._ownership = ownership
        self._rng = rng
        self._client = ClaimClient(settings, ownership)
        self._replicas: dict[str, Replica] = {}
        self._owners: dict[str, ClaimOwner] = {}
        self._configuration: Configuration | None = None

    def handle(self, event: Event | Notice) -> list[Output]:
        """Apply one event or notice."""
        at = event.at
        match event:
            case Started():
                return self._start(event)
            case ConfigurationChanged(configuration=configuration):
                self._change_configuration(configuration, at)
            case LeadershipChanged(group=group):
                return self._deliver_local(self._change_leader(group, at), at)
            case MessageReceived(sender=sender, message=message):
                return self._deliver_local(
                    self._receive(sender, message, at), at
                )
            case TimerFired(component=component, name=name) if (
                component == COMPONENT
            ):
                if name == CHECK_TIMER:
                    return self._deliver_local(self._client.check(at), at)
                return self._check_owners(at)
        return []

    def claim(
        self,
        request_id: RequestId,
        account: AccountId,
        key: str,
        fingerprint: bytes,
        at: float,
    ) -> list[Output]:
        """Claim a key for a request.

        Returns
        -------
        ``ClaimGranted``, ``ClaimReplayed`` or ``ClaimRefused``, now or
        later, and effects.

        """
        outputs = self._client.claim(request_id, account, key, fingerprint, at)
        return self._deliver_local(outputs, at)

    def complete(
        self,
        request_id: RequestId,
        answer: StoredAnswer | None,
        executed: Executed,
        at: float,
    ) -> list[Output]:
        """Report the outcome of a granted claim; withdraw one still waiting."""
        outputs = self._client.complete(request_id, answer, executed, at)
        return self._deliver_local(outputs, at)

    def is_blank(self, group: str, at: float) -> bool:
        """Return whether this member may lack records of a group."""
        replica = self._replicas.get(group)
        return replica is None or replica.is_blank(at)

    def count_records(self) -> tuple[int, int]:
        """Return the number of records on this VM and their size in bytes."""
        tables = [replica.table for replica in self._replicas.values()]
        return sum(map(len, tables)), sum(table.size_bytes for table in tables)

    def _start(self, event: Started) -> list[Output]:
        run = int(event.wall_s * _MICROSECONDS_PER_S) << _RUN_RANDOM_BITS
        run += self._rng.getrandbits(_RUN_RANDOM_BITS)
        self._client.run = run
        for group in self._ownership.list_own_groups():
            self._replicas[group] = Replica(group, run, event.at, event.wall_s)
        if not self._replicas:
            return []
        return [self._set_owner_timer(event.at)]

    def _set_owner_timer(self, at: float) -> Output:
        return SetTimer(COMPONENT, _OWNER_TIMER, at + _OWNER_CHECK_INTERVAL_S)

    def _change_configuration(
        self, configuration: Configuration, at: float
    ) -> None:
        previous = self._configuration
        self._configuration = configuration
        self._client.configuration = configuration
        for replica in self._replicas.values():
            replica.check_initialised(configuration.initialised_wall_s)
        if (
            previous is not None
            and previous.accounts is not configuration.accounts
        ):
            mark_moved_accounts(
                previous,
                configuration,
                self._settings,
                self._find_replica,
                at,
            )

    def _find_replica(self, account: str) -> Replica | None:
        region = self._settings.vm.region
        return self._replicas.get(self._ownership.group_of(region, account))

    def _change_leader(self, group: str, at: float) -> list[Output]:
        outputs = self._client.handle_leader_change(group, at)
        owner = self._find_owner(group, at)
        if owner is not None:
            outputs.extend(owner.check(at))
        return outputs

    def _find_owner(self, group: str, at: float) -> ClaimOwner | None:
        """Return the owner of a group's claims if this VM leads the group."""
        term = self._ownership.term_of(group, at)
        replica = self._replicas.get(group)
        if term is None or replica is None:
            self._owners.pop(group, None)
            return None
        owner = self._owners.get(group)
        if owner is None or owner.term != term:
            members = self._ownership.members_of(group)
            others = [vm for vm in members if vm != self._vm]
            owner = ClaimOwner(group, term, replica, others, at)
            self._owners[group] = owner
        return owner

    def _check_owners(self, at: float) -> list[Output]:
        outputs: list[Output] = [self._set_owner_timer(at)]
        for group, replica in self._replicas.items():
            replica.table.expire(at)
            owner = self._find_owner(group, at)
            if owner is not None:
                outputs.extend(owner.check(at))
        return outputs

    def _receive(
        self, sender: VmId, message: Message, at: float
    ) -> list[Output]:
        match message:
            case ClaimAsked() | ClaimFinished():
                return self._receive_claim(sender, message, at)
            case ClaimAnswered():
                return self._client.receive_answer(message, at)
            case FinishStored():
                self._client.receive_confirmation(message)
            case RecordsAsked() | RecordStored() | RecordsPushed():
                replica = self._replicas.get(message.group)
                if replica is not None and self._is_member(sender, message):
                    return replica.receive(sender, message, at)
            case RecordsRead() | RecordConfirmed() | PushConfirmed():
                return self._receive_confirmation(sender, message, at)
        return []

    def _is_member(
        self, sender: VmId, message: RecordsAsked | RecordStored | RecordsPushed
    ) -> bool:
        return sender in self._ownership.members_of(message.group)

    def _receive_claim(
        self, sender: VmId, message: ClaimAsked | ClaimFinished, at: float
    ) -> list[Output]:
        region = self._settings.vm.region
        group = self._ownership.group_of(region, message.account)
        owner = self._find_owner(group, at)
        if owner is None:
            return self._ownership.announce_leader(group, sender)
        if isinstance(message, ClaimFinished):
            return owner.finish_claim(sender, message, at)
        if not self._is_home(message.account):
            return owner.refuse_claim(sender, message)
        return owner.answer_claim(sender, message, at)

    def _is_home(self, account: str) -> bool:
        """Return whether this region is the home of an account."""
        if self._configuration is None:
            return False
        account_row = self._configuration.accounts.get(account)
        if account_row is None:
            return False
        regions = self._settings.region_names
        home = self._configuration.home_region(account_row, regions)
        return home == self._settings.vm.region

    def _receive_confirmation(
        self,
        sender: VmId,
        message: RecordsRead | RecordConfirmed | PushConfirmed,
        at: float,
    ) -> list[Output]:
        owner = self._find_owner(message.group, at)
        if sender not in self._ownership.members_of(message.group):
            return []
        if owner is None or owner.term != message.term:
            return []
        match message:
            case RecordsRead():
                return owner.reader.receive_page(sender, message, at)
            case RecordConfirmed():
                return owner.receive_confirmation(message, at)
        return owner.pusher.receive_confirmation(sender, message, at)

    def _deliver_local(self, outputs: list[Output], at: float) -> list[Output]:
        return deliver_to_self(
            self._vm,
            outputs,
            lambda message: self._receive(self._vm, message, at),
        )


__all__ = ('Claims',)
