"""Assembly of the reducer of one VM from its components."""

from __future__ import annotations

from random import Random

import attrs

from . import (
    attachment,
    control,
    fleet,
    idempotency,
    limits,
    ownership,
    routing,
)
from .configuration.settings import Settings
from .core import commands as cmd
from .core import documents as docs
from .core import events as ev
from .core import notices as nt
from .core.codec import Codec
from .core.drain import COMPONENT as DRAIN_COMPONENT
from .core.drain import Drain
from .core.messages import Message
from .core.node import Node, Registration
from .keys import KeyTable
from .requests.collaborators import Collaborators
from .requests.coordinator import COMPONENT as REQUESTS_COMPONENT
from .requests.coordinator import Coordinator

_LIFECYCLE_EVENTS = (ev.Started, ev.StopRequested, ev.PauseSuspected)
_CHANGE_NOTICES = (nt.ConfigurationChanged, nt.MemberChanged)

MESSAGES: tuple[type[Message], ...] = (
    *control.MESSAGES,
    *fleet.MESSAGES,
    *ownership.MESSAGES,
    *limits.MESSAGES,
    *idempotency.MESSAGES,
    *routing.MESSAGES,
    *attachment.MESSAGES,
)


@attrs.frozen
class RandomStreams:
    """Derives one random generator per component.

    The generators are independent, so that draws of one component don't
    change the sequence of another.
    """

    seed: int

    def derive(self, name: str) -> Random:
        """Return the generator of a component; equal for equal seeds."""
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
        Validated settings.
    stored
        State loaded from the data folder; None without the control role.
    seed
        Seed of all random generators of the VM.

    """
    random_streams = RandomStreams(seed)
    if settings.control.seeds:
        return _build_attached_node(settings, stored, random_streams)
    owners = ownership.Ownership(settings, random_streams.derive('ownership'))
    keys = KeyTable(settings)
    limiter = limits.Limiter(settings, owners, random_streams.derive('limits'))
    claims = idempotency.Claims(
        settings, owners, random_streams.derive('idempotency')
    )
    router = routing.Router(settings, owners, random_streams.derive('routing'))
    coordinator = Coordinator(
        Collaborators(keys, limiter, claims, router),
        random_streams.derive('requests'),
    )
    registrations = [
        _register_fleet(settings, random_streams),
        _register_keys(keys),
        _register_ownership(owners),
        _register_limits(limiter),
        Registration(
            'idempotency',
            claims,
            messages=idempotency.MESSAGES,
            inputs=(*_LIFECYCLE_EVENTS, *_CHANGE_NOTICES, nt.LeadershipChanged),
        ),
        _register_router(router),
        _register_coordinator(coordinator),
        _register_drain(settings, coordinator),
    ]
    if stored is not None:
        replica = control.Replica(
            settings, stored, random_streams.derive('control')
        )
        registrations.insert(0, _register_control(replica))
    return Node(settings.vm_id, registrations)


def _build_attached_node(
    settings: Settings,
    stored: control.StoredState | None,
    random_streams: RandomStreams,
) -> Node:
    """Return the reducer of a VM that is attached to the control leader."""
    attachment_client = attachment.AttachmentClient(
        settings, random_streams.derive('attachment')
    )
    replica = None
    contacts = ownership.ContactLog()
    registrations: list[Registration] = []
    if stored is not None:
        replica = control.Replica(
            settings, stored, random_streams.derive('control')
        )
        attachment_server = attachment.AttachmentServer(
            settings, replica, attachment_client, contacts
        )
        registrations += [
            _register_control(replica),
            _register_attachment_server(attachment_server),
        ]
    owners = attachment.ControlOwners(attachment_client, replica)
    keys = KeyTable(settings)
    limiter = limits.Limiter(
        settings, owners, random_streams.derive('limits'), contacts
    )
    router = routing.Router(
        settings,
        owners,
        random_streams.derive('routing'),
        routing.ATTACHED_TUNING,
    )
    coordinator = Coordinator(
        Collaborators(keys, limiter, idempotency.DisabledClaims(), router),
        random_streams.derive('requests'),
    )
    registrations += [
        Registration(
            attachment.CLIENT_COMPONENT,
            attachment_client,
            messages=attachment.MESSAGES,
            inputs=(*_LIFECYCLE_EVENTS, ev.SeedsChanged),
        ),
        _register_keys(keys),
        _register_limits(limiter),
        _register_router(router),
        _register_coordinator(coordinator),
        _register_drain(settings, coordinator),
    ]
    return Node(settings.vm_id, registrations)


def _register_keys(keys: KeyTable) -> Registration:
    return Registration(
        'keys',
        keys,
        inputs=(
            *_LIFECYCLE_EVENTS,
            nt.ConfigurationChanged,
            nt.KeysWithdrawn,
            nt.RoundTripCompleted,
            nt.RegionContactUpdated,
        ),
    )


def _register_limits(limiter: limits.Limiter) -> Registration:
    return Registration(
        'limits',
        limiter,
        messages=limits.MESSAGES,
        inputs=(*_LIFECYCLE_EVENTS, *_CHANGE_NOTICES, nt.LeadershipChanged),
    )


def _register_drain(
    settings: Settings, coordinator: Coordinator
) -> Registration:
    return Registration(
        DRAIN_COMPONENT,
        Drain(settings.requests, coordinator),
        inputs=(ev.StopRequested,),
    )


def _register_attachment_server(
    attachment_server: attachment.AttachmentServer,
) -> Registration:
    return Registration(
        attachment.SERVER_COMPONENT,
        attachment_server,
        messages=attachment.MESSAGES,
        inputs=(
            ev.Started,
            ev.TargetAnnounced,
            nt.EntryCommitted,
        ),
    )


def _register_control(replica: control.Replica) -> Registration:
    return Registration(
        'control',
        replica,
        messages=control.MESSAGES,
        commands=(
            cmd.InitialiseFleet,
            cmd.ApplyLists,
            cmd.GrantKey,
            docs.PutDocument,
            docs.ReadDocument,
            cmd.ReplaceReplica,
            cmd.ShowControl,
        ),
        inputs=(
            *_LIFECYCLE_EVENTS,
            ev.SeedsChanged,
            ev.StorageSynced,
            nt.KeysWithdrawn,
            nt.DepartureReported,
        ),
    )


def _register_fleet(
    settings: Settings, random_streams: RandomStreams
) -> Registration:
    return Registration(
        'fleet',
        fleet.Gossip(settings, random_streams.derive('fleet')),
        messages=fleet.MESSAGES,
        commands=(cmd.WithdrawKey, cmd.ShowFleet, cmd.ShowLists),
        inputs=(
            *_LIFECYCLE_EVENTS,
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
        inputs=(*_LIFECYCLE_EVENTS, nt.MemberChanged),
    )


def _register_router(router: routing.Router) -> Registration:
    return Registration(
        'routing',
        router,
        messages=routing.MESSAGES,
        commands=(cmd.ShowTargets,),
        inputs=(
            *_LIFECYCLE_EVENTS,
            *_CHANGE_NOTICES,
            nt.TargetChanged,
            nt.LeadershipChanged,
            nt.FleetSizeChanged,
        ),
    )


def _register_coordinator(coordinator: Coordinator) -> Registration:
    return Registration(
        REQUESTS_COMPONENT,
        coordinator,
        inputs=(
            *_LIFECYCLE_EVENTS,
            ev.RequestArrived,
            ev.AttemptFailed,
            ev.AnswerReady,
            ev.AnswerEnded,
            ev.CallerConnectionClosed,
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


__all__ = ('MESSAGES', 'RandomStreams', 'build_codec', 'build_node')
