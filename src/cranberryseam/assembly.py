"""Assembly of the reducer of one VM from its parts."""

from __future__ import annotations

from random import Random

import attrs

from . import control, fleet, idempotency, limits, ownership, routing
from .configuration.settings import Settings
from .core import commands as cmd
from .core import events as ev
from .core import notices as nt
from .core.codec import Codec
from .core.drain import PART as DRAIN_PART
from .core.drain import Drain
from .core.messages import Message
from .core.node import Node, Registration
from .keys import KeyTable
from .requests.collaborators import Collaborators
from .requests.coordinator import PART as REQUESTS_PART
from .requests.coordinator import Coordinator

_LIFECYCLE = (ev.Started, ev.StopRequested, ev.PauseSuspected)
_CHANGES = (nt.ConfigurationChanged, nt.MemberChanged)

MESSAGES: tuple[type[Message], ...] = (
    *control.MESSAGES,
    *fleet.MESSAGES,
    *ownership.MESSAGES,
    *limits.MESSAGES,
    *idempotency.MESSAGES,
    *routing.MESSAGES,
)


@attrs.frozen
class Seeds:
    """Independent random generators, so that parts don't disturb each other."""

    seed: int

    def derive(self, name: str) -> Random:
        """Return the generator of a part; the same for the same seed."""
        return Random(f'{self.seed}/{name}')


def build_codec() -> Codec:
    """Return the codec of all messages between VMs."""
    return Codec(MESSAGES)


def build_node(
    settings: Settings, stored: control.StoredState | None, seed: int
) -> Node:
    """Return the reducer of one VM.

    Parameters
    ----------
    settings
        Checked settings.
    stored
        What the data folder holds; None on a VM without the control role.
    seed
        Seed of all random numbers of the VM.

    """
    seeds = Seeds(seed)
    owners = ownership.Ownership(settings, seeds.derive('ownership'))
    keys = KeyTable(settings)
    limiter = limits.Limiter(settings, owners, seeds.derive('limits'))
    claims = idempotency.Claims(settings, owners, seeds.derive('idempotency'))
    router = routing.Router(settings, owners, seeds.derive('routing'))
    coordinator = Coordinator(Collaborators(keys, limiter, claims, router))
    registrations = [
        _register_fleet(settings, seeds),
        Registration(
            'keys',
            keys,
            inputs=(
                *_LIFECYCLE,
                nt.ConfigurationChanged,
                nt.KeysWithdrawn,
                nt.RoundTripCompleted,
                nt.RegionsHeard,
            ),
        ),
        _register_ownership(owners),
        Registration(
            'limits',
            limiter,
            messages=limits.MESSAGES,
            inputs=(*_LIFECYCLE, *_CHANGES, nt.LeadershipChanged),
        ),
        Registration(
            'idempotency',
            claims,
            messages=idempotency.MESSAGES,
            inputs=(*_LIFECYCLE, *_CHANGES, nt.LeadershipChanged),
        ),
        _register_router(router),
        _register_coordinator(coordinator),
        Registration(
            DRAIN_PART,
            Drain(settings.requests, coordinator),
            inputs=(ev.StopRequested,),
        ),
    ]
    if stored is not None:
        registrations.insert(0, _register_control(settings, stored, seeds))
    return Node(settings.vm_id, registrations)


def _register_control(
    settings: Settings, stored: control.StoredState, seeds: Seeds
) -> Registration:
    return Registration(
        'control',
        control.Replica(settings, stored, seeds.derive('control')),
        messages=control.MESSAGES,
        commands=(
            cmd.InitialiseFleet,
            cmd.ApplyLists,
            cmd.GrantKey,
            cmd.ReplaceReplica,
            cmd.ShowControl,
        ),
        inputs=(*_LIFECYCLE, ev.StorageSynced, nt.KeysWithdrawn),
    )


def _register_fleet(settings: Settings, seeds: Seeds) -> Registration:
    return Registration(
        'fleet',
        fleet.Gossip(settings, seeds.derive('fleet')),
        messages=fleet.MESSAGES,
        commands=(cmd.WithdrawKey, cmd.ShowFleet, cmd.ShowLists),
        inputs=(
            *_LIFECYCLE,
            ev.TargetAnnounced,
            nt.EntryCommitted,
            nt.SnapshotInstalled,
        ),
    )


def _register_ownership(owners: ownership.Ownership) -> Registration:
    return Registration(
        'ownership',
        owners,
        messages=ownership.MESSAGES,
        inputs=(*_LIFECYCLE, nt.MemberChanged),
    )


def _register_router(router: routing.Router) -> Registration:
    return Registration(
        'routing',
        router,
        messages=routing.MESSAGES,
        commands=(cmd.ShowTargets,),
        inputs=(
            *_LIFECYCLE,
            *_CHANGES,
            nt.TargetChanged,
            nt.LeadershipChanged,
        ),
    )


def _register_coordinator(coordinator: Coordinator) -> Registration:
    return Registration(
        REQUESTS_PART,
        coordinator,
        inputs=(
            *_LIFECYCLE,
            ev.RequestArrived,
            ev.AttemptFailed,
            ev.AnswerReady,
            ev.AnswerEnded,
            ev.CallerLeft,
            nt.ConfigurationChanged,
            nt.KeysWithdrawn,
            nt.TokenGranted,
            nt.TokenDenied,
            nt.ClaimGranted,
            nt.ClaimReplayed,
            nt.ClaimRefused,
            nt.SlotAssigned,
            nt.SlotDenied,
        ),
    )


__all__ = ('MESSAGES', 'Seeds', 'build_codec', 'build_node')
