"""Configuration and helper functions of the fleet tests."""

from __future__ import annotations

import hashlib

from cranberryseam.configuration.entries import (
    Entry,
    FleetInitialised,
    KeyGranted,
    ListsChanged,
)
from cranberryseam.configuration.model import Account, Service
from cranberryseam.core.events import (
    Announcement,
    TargetAnnounced,
    TargetState,
)
from cranberryseam.core.notices import EntryCommitted

from .fleet_network import Network

TARGET_KEY = hashlib.sha256(b'target').digest()
CALLER_KEY = hashlib.sha256(b'caller').digest()
FIRST_ENTRIES = (
    FleetInitialised(1.0),
    ListsChanged(
        'first',
        accounts=(Account('duka', 'small'),),
        services=(Service('malipo', target_key_hashes=(TARGET_KEY.hex(),)),),
    ),
    KeyGranted('grant', 'k1', 'duka', CALLER_KEY),
)


def commit(network: Network, version: int, entry: Entry, count: int = 3):
    """Commit an entry on the first control VMs."""
    for name in network.names[:count]:
        network.deliver(name, EntryCommitted(network.now, version, entry))


def build_network(size: int, seed: int, **options: object) -> Network:
    """Return a network in which all VMs are ready."""
    network = Network(size, seed, **options)
    for version, entry in enumerate(FIRST_ENTRIES, start=1):
        commit(network, version, entry)
    network.run(10)
    return network


def have_version(network: Network, version: int) -> bool:
    """Return whether a version is in force on all VMs."""
    return all(
        vm.versions and vm.versions[-1][1] >= version
        for vm in network.vms.values()
    )


def announce(
    network: Network,
    name: str,
    sequence: int,
    state: TargetState = TargetState.ready,
    **fields: object,
) -> object:
    """Announce a target through a VM and return the failure, if any."""
    values: dict[str, object] = {
        'target': 't1',
        'service': 'malipo',
        'host': '10.1.0.1',
        'port': 8080,
        'region': 'dar',
        'data_centre': 'dc1',
        'slots': 4,
        'connections': 330,
        'state': state,
        'sequence': sequence,
        **fields,
    }
    key_hash = values.pop('key_hash', TARGET_KEY)
    event = TargetAnnounced(
        network.now, Announcement(**values), key_hash, 999_999_999
    )
    network.deliver(name, event)
    return network.answers.pop(999_999_999)


def keep_announcing(
    network: Network, seconds: int, name: str, sequence: int, **fields: object
) -> int:
    """Announce once a second and return the last sequence number."""
    for _ in range(seconds):
        if name in network.vms:
            announce(network, name, sequence, **fields)
        sequence += 1
        network.run(1)
    return sequence
