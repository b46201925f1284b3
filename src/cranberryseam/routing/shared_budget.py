"""This VM's part of a budget of retries that the whole fleet shares."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

if TYPE_CHECKING:
    from ..configuration.settings import RetrySettings

# Requests are counted where they arrive and VMs come and go, so a part of the
# budget stays unused.
_USED: Final = 0.85
# Assumed until the leader has told the number of VMs.
_ASSUMED_VMS: Final = 60
# Part of the slack that may be used at once; the rest comes with time.
_AT_ONCE: Final = 0.6


@attrs.define
class _Part:
    """Units for one service; below one, nothing may be repeated."""

    units: float
    at: float


class SharedBudget:
    """Parts of the budget of each service.

    In any window the VMs together take at most what they had saved, what
    came with time, and the share of their requests: no more than the slack
    and the share that the fleet has.

    Parameters
    ----------
    settings
        The budget of the fleet.

    """

    def __init__(self, settings: RetrySettings) -> None:
        """Start with what may be used at once."""
        self.vm_count = 0
        self._settings = settings
        self._parts: dict[str, _Part] = {}

    def credit(self, service: str, at: float) -> None:
        """Count a request that was sent for the first time."""
        part = self._find(service, at)
        share = self._settings.share * _USED
        part.units = min(self._most(), part.units + share)

    def take(self, service: str, at: float) -> bool:
        """Take one unit if there is one."""
        part = self._find(service, at)
        if part.units < 1:
            return False
        part.units -= 1
        return True

    def _slack(self) -> float:
        vms = self.vm_count or _ASSUMED_VMS
        return self._settings.slack * _USED / vms

    def _most(self) -> float:
        return max(1, self._slack() * _AT_ONCE)

    def _find(self, service: str, at: float) -> _Part:
        part = self._parts.get(service)
        if part is None:
            part = _Part(self._most(), at)
            self._parts[service] = part
        rest = max(0, self._slack() - self._most())
        gained = rest / self._settings.window_s * (at - part.at)
        part.units = min(self._most(), part.units + gained)
        part.at = at
        return part


__all__ = ('SharedBudget',)
