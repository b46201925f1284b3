"""State machine of the control log: configuration and command results."""

from __future__ import annotations

from ..configuration.entries import KeyGranted, apply_entry
from ..configuration.model import Configuration
from .records import (
    CommandResult,
    Membership,
    Record,
    Snapshot,
    StoredConfiguration,
)

# Covers two days at 440 changes a day; an operator's tool repeats a command
# within minutes.
MAX_COMMAND_RESULTS = 1024


class StateMachine:
    """State after applying the records up to an index.

    Parameters
    ----------
    configuration
        The configuration at that index.
    results
        First result per recent command key, oldest first.

    """

    def __init__(
        self,
        configuration: Configuration,
        results: dict[str, CommandResult],
        term: int = 0,
    ) -> None:
        """Collect the hashes of all keys; withdrawn ones are still listed."""
        self.configuration = configuration
        self.results = results
        self.term = term
        self.key_hashes = {key.key_hash for key in configuration.keys.values()}

    @property
    def index(self) -> int:
        """Index of the last record applied, the configuration's version."""
        return self.configuration.version

    def copy(self) -> StateMachine:
        """Return an independent copy."""
        return StateMachine(self.configuration, dict(self.results), self.term)

    def apply(self, record: Record) -> None:
        """Apply the next record."""
        self.configuration = apply_entry(
            self.configuration, record.index, record.entry
        )
        self.term = record.term
        if isinstance(record.entry, KeyGranted):
            self.key_hashes.add(record.entry.key_hash)
        if record.result is not None:
            self.results[record.result.command_key] = record.result
        if len(self.results) > MAX_COMMAND_RESULTS:
            self.results.pop(next(iter(self.results)))

    def take_snapshot(self, membership: Membership) -> Snapshot:
        """Return the state as a snapshot."""
        return Snapshot(
            index=self.index,
            term=self.term,
            membership=membership,
            configuration=serialise_configuration(self.configuration),
            results=tuple(self.results.values()),
        )


def restore_machine(snapshot: Snapshot | None) -> StateMachine:
    """Return the state machine in a snapshot, or an empty one."""
    if snapshot is None:
        return StateMachine(Configuration(), {})
    return StateMachine(
        deserialise_configuration(snapshot.configuration),
        {result.command_key: result for result in snapshot.results},
        snapshot.term,
    )


def serialise_configuration(
    configuration: Configuration,
) -> StoredConfiguration:
    """Return a configuration as rows, to be stored or sent to another VM."""
    return StoredConfiguration(
        version=configuration.version,
        lists_version=configuration.lists_version,
        initialised_wall_s=configuration.initialised_wall_s,
        accounts=tuple(configuration.accounts.values()),
        plans=tuple(configuration.plans.values()),
        routes=tuple(configuration.routes.values()),
        services=tuple(configuration.services.values()),
        keys=tuple(configuration.keys.values()),
        withdrawn=tuple(sorted(configuration.withdrawn)),
        content_version=configuration.content_version,
        document=configuration.document,
        departed=configuration.departed,
    )


def deserialise_configuration(stored: StoredConfiguration) -> Configuration:
    """Return the configuration from its stored rows."""
    return Configuration(
        version=stored.version,
        lists_version=stored.lists_version,
        initialised_wall_s=stored.initialised_wall_s,
        accounts={str(row.name): row for row in stored.accounts},
        plans={row.name: row for row in stored.plans},
        routes={row.name: row for row in stored.routes},
        services={str(row.name): row for row in stored.services},
        keys={key.key_id: key for key in stored.keys},
        withdrawn=frozenset(stored.withdrawn),
        content_version=stored.content_version,
        document=stored.document,
        departed=stored.departed,
    )


__all__ = (
    'StateMachine',
    'deserialise_configuration',
    'restore_machine',
    'serialise_configuration',
)
