"""Keys of callers: whose they are, and whether they may be used."""

from __future__ import annotations

import math
from itertools import islice
from typing import TYPE_CHECKING, Any

from expression import Error, Ok, Result

from ..core.effects import SetReadiness, SetTimer
from ..core.events import (
    Event,
    PauseSuspected,
    StopRequested,
    TimerFired,
)
from ..core.notices import (
    ConfigurationChanged,
    KeysWithdrawn,
    Notice,
    RegionsHeard,
    RoundTripCompleted,
)
from ..core.refusals import Refusal, RefusalReason
from ..types import AccountId
from .freshness import Freshness

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..configuration.model import Configuration, Key
    from ..configuration.settings import Settings
    from ..types import KeyId, Output

PART = 'keys'
_EXPIRY = 'expiry'
# Another VM serves the request at once; this one is usually back after one
# round trip.
_RETRY_AFTER_S = 0.1


class KeyTable:
    """Looks up keys by hash, and owns the readiness of this VM.

    The VM is ready while it has a configuration, its keys are fresh, and it
    was not asked to stop. Besides, only the planned stop withdraws it.

    Parameters
    ----------
    settings
        Freshness limit, isolation rule and peers.

    """

    def __init__(self, settings: Settings) -> None:
        """Start without a configuration: not ready."""
        self._freshness = Freshness(settings)
        self._by_hash: dict[bytes, Key] = {}
        self._withdrawn: set[KeyId] = set()
        self._configuration: Configuration | None = None
        self._stopping = False
        self._ready = False
        # Looked up by type: this is on the path of each request.
        self._handlers: dict[type, Callable[[Any], None]] = {
            StopRequested: self._stop,
            ConfigurationChanged: self._configure,
            KeysWithdrawn: self._withdraw,
            RoundTripCompleted: self._complete,
            RegionsHeard: self._hear_regions,
            TimerFired: self._expire,
            PauseSuspected: self._resume,
        }

    def check(self, key_hash: bytes, at: float) -> Result[AccountId, Refusal]:
        """Return the account of a key that may be used now."""
        configuration = self._configuration
        if configuration is None:
            return _refuse(RefusalReason.not_ready, _RETRY_AFTER_S)
        if at >= self._freshness.ends_at():
            return _refuse(RefusalReason.keys_stale, _RETRY_AFTER_S)
        key = self._by_hash.get(key_hash)
        if key is None:
            return _refuse(RefusalReason.key_unknown)
        if self._is_withdrawn(key.key_id, configuration):
            return _refuse(RefusalReason.key_withdrawn)
        return Ok(key.account)

    def handle(self, event: Event | Notice) -> list[Output]:
        """Apply one event or notice."""
        apply = self._handlers.get(type(event))
        if apply is None:
            return []
        outputs: list[Output] = []
        apply(event)
        if isinstance(event, RoundTripCompleted | RegionsHeard):
            outputs.extend(self._watch_expiry())
        ready = self._is_ready(event.at)
        if ready != self._ready:
            self._ready = ready
            outputs.append(SetReadiness(ready))
        return outputs

    def _stop(self, event: StopRequested) -> None:
        self._stopping = True

    def _configure(self, notice: ConfigurationChanged) -> None:
        configuration = notice.configuration
        before = self._configuration
        self._configuration = configuration
        if before is None or before.document == configuration.document:
            self._index(configuration)
        else:
            self._rebuild(configuration)
        self._withdrawn -= configuration.withdrawn

    def _withdraw(self, notice: KeysWithdrawn) -> None:
        self._withdrawn.update(notice.key_ids)

    def _complete(self, notice: RoundTripCompleted) -> None:
        self._freshness.take_round_trip(notice)

    def _hear_regions(self, notice: RegionsHeard) -> None:
        self._freshness.take_regions(notice)

    def _expire(self, event: TimerFired) -> None:
        """Let ``handle`` look at the freshness again."""

    def _resume(self, event: PauseSuspected) -> None:
        self._freshness.restart(event.at)

    def _watch_expiry(self) -> list[Output]:
        ends_at = self._freshness.ends_at()
        if not math.isfinite(ends_at):
            return []
        return [SetTimer(PART, _EXPIRY, ends_at)]

    def _is_ready(self, at: float) -> bool:
        return (
            self._configuration is not None
            and not self._stopping
            and at < self._freshness.ends_at()
        )

    def _is_withdrawn(
        self, key_id: KeyId, configuration: Configuration
    ) -> bool:
        return key_id in self._withdrawn or key_id in configuration.withdrawn

    def _index(self, configuration: Configuration) -> None:
        # Keys are never removed, and new ones are appended to the mapping, so
        # that a grant costs one step instead of 54,000.
        keys = configuration.keys
        missing = max(len(keys) - len(self._by_hash), 0)
        newest = islice(reversed(list(keys.values())), missing)
        self._by_hash.update((key.key_hash, key) for key in newest)
        if len(self._by_hash) != len(keys):
            self._rebuild(configuration)

    def _rebuild(self, configuration: Configuration) -> None:
        # A document replaces all keys, with as many others perhaps.
        keys = configuration.keys.values()
        self._by_hash = {key.key_hash: key for key in keys}


def _refuse(
    reason: RefusalReason, retry_after_s: float | None = None
) -> Result[AccountId, Refusal]:
    return Error(Refusal(reason, retry_after_s=retry_after_s))


__all__ = ('KeyTable',)
