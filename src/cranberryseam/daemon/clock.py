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
    """A clock that never goes back and notices pauses of the VM.

    Time that the system was suspended counts. The clock of a guest may also
    stand still while the hypervisor pauses the VM; afterwards the wall clock
    is corrected. Such a step can't be told from a correction of a wrong wall
    clock, so it isn't added to the time but reported.

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
        self._latest = read_boot()
        self._offset = read_wall() - self._latest
        self._paused_s: float = 0

    def read(self) -> float:
        """Return the time in seconds; it never decreases."""
        boot = self._read_boot()
        offset = self._read_wall() - boot
        step = offset - self._offset
        self._offset = offset
        if step > PAUSE_S:
            self._paused_s += step
        self._latest = max(self._latest, boot)
        return self._latest

    def take_pause(self) -> float:
        """Return the forward steps of the wall clock since the last call."""
        paused_s = self._paused_s
        self._paused_s = 0
        return paused_s


__all__ = ('Clock',)
