"""API keys of callers: their accounts and validity."""

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
    RegionContactUpdated,
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

COMPONENT = 'keys'
_EXPIRY_TIMER = 'expiry'
# Another VM can serve the request immediately. This VM usually recovers after
# one round trip.
_RETRY_AFTER_S = 0.1


class KeyTable:
    """Looks up keys by hash, and determines the readiness of this VM.

    The VM is ready while it has a configuration, its keys are fresh, and no
    stop was requested. No other condition affects its readiness.

    Parameters
    ----------
    settings
        Freshness limit, isolation mode, peers and control seeds.

    """

    def __init__(self, settings: Settings) -> None:
        """Create a table without keys; the VM is not ready."""
        self._freshness = Freshness(settings)
        self._by_hash: dict[bytes, Key] = {}
        self._withdrawn: set[KeyId] = set()
        self._configuration: Configuration | None = None
        self._stopping = False
        self._ready = False
        # Dispatched by type, because this runs for each request.
        self._handlers: dict[type, Callable[[Any], None]] = {
            StopRequested: self._handle_stop,
            ConfigurationChanged: self._configure,
            KeysWithdrawn: self._withdraw_keys,
            RoundTripCompleted: self._record_round_trip,
            RegionContactUpdated: self._record_regions,
            TimerFired: self._handle_timer,
            PauseSuspected: self._handle_pause,
        }

    def check(self, key_hash: bytes, at: float) -> Result[AccountId, Refusal]:
        """Return the account of a valid key, or a refusal."""
        configuration = self._configuration
        if configuration is None:
            return _refuse(RefusalReason.not_ready, _RETRY_AFTER_S)
        if at >= self._freshness.expires_at():
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
        if isinstance(event, RoundTripCompleted | RegionContactUpdated):
            outputs.extend(self._set_expiry_timer())
        ready = self._is_ready(event.at)
        if ready != self._ready:
            self._ready = ready
            outputs.append(SetReadiness(ready))
        return outputs

    def _handle_stop(self, event: StopRequested) -> None:
        self._stopping = True

    def _configure(self, notice: ConfigurationChanged) -> None:
        configuration = notice.configuration
        before = self._configuration
        self._configuration = configuration
        if before is None or before.document == configuration.document:
            self._add_keys(configuration)
        else:
            self._replace_keys(configuration)
        self._withdrawn -= configuration.withdrawn

    def _withdraw_keys(self, notice: KeysWithdrawn) -> None:
        self._withdrawn.update(notice.key_ids)

    def _record_round_trip(self, notice: RoundTripCompleted) -> None:
        self._freshness.record_round_trip(notice)

    def _record_regions(self, notice: RegionContactUpdated) -> None:
        self._freshness.record_regions(notice)

    def _handle_timer(self, event: TimerFired) -> None:
        """Do nothing; ``handle`` updates the readiness after each event."""

    def _handle_pause(self, event: PauseSuspected) -> None:
        self._freshness.restart(event.at)

    def _set_expiry_timer(self) -> list[Output]:
        expires_at = self._freshness.expires_at()
        if not math.isfinite(expires_at):
            return []
        return [SetTimer(COMPONENT, _EXPIRY_TIMER, expires_at)]

    def _is_ready(self, at: float) -> bool:
        return (
            self._configuration is not None
            and not self._stopping
            and at < self._freshness.expires_at()
        )

    def _is_withdrawn(
        self, key_id: KeyId, configuration: Configuration
    ) -> bool:
        return key_id in self._withdrawn or key_id in configuration.withdrawn

    def _add_keys(self, configuration: Configuration) -> None:
        # Without a new document, keys are only appended to the mapping, so that
        # a grant adds one key instead of indexing all 54,000 again.
        keys = configuration.keys
        missing = max(len(keys) - len(self._by_hash), 0)
        newest = islice(reversed(list(keys.values())), missing)
        self._by_hash.update((key.key_hash, key) for key in newest)
        if len(self._by_hash) != len(keys):
            self._replace_keys(configuration)

    def _replace_keys(self, configuration: Configuration) -> None:
        # A document replaces all keys, possibly by the same number of others.
        keys = configuration.keys.values()
        self._by_hash = {key.key_hash: key for key in keys}


def _refuse(
    reason: RefusalReason, retry_after_s: float | None = None
) -> Result[AccountId, Refusal]:
    return Error(Refusal(reason, retry_after_s=retry_after_s))


__all__ = ('KeyTable',)
