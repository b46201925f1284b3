"""Time of the reducer's events."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Final

# A step of the wall clock beyond this is taken for a pause of the VM; smaller
# ones are corrections of the clock.
PAUSE_S: Final = 0.5


def read_boot_clock() -> float:
    """Return seconds since boot, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Clock:
    """A clock that never goes back and also counts pauses of the VM.

    The clock of a guest may stand still while the hypervisor pauses the VM; the
    wall clock is corrected afterwards. Its forward steps are therefore added.
    A wrong step only ends leases early, which is safe.

    Parameters
    ----------
    read_boot, read_wall
        The two clocks, in seconds.

    """

    def __init__(
        self,
        read_boot: Callable[[], float] = read_boot_clock,
        read_wall: Callable[[], float] = time.time,
    ) -> None:
        """Start at the time since boot."""
        self._read_boot = read_boot
        self._read_wall = read_wall
        self._paused_s: float = 0
        self._latest = read_boot()
        self._offset = read_wall() - self._latest

    def read(self) -> float:
        """Return the time in seconds; it never decreases."""
        boot = self._read_boot()
        offset = self._read_wall() - boot
        step = offset - self._offset
        self._offset = offset
        if step > PAUSE_S:
            self._paused_s += step
        self._latest = max(self._latest, boot + self._paused_s)
        return self._latest


__all__ = ('Clock',)
