"""Monotonic clock for the events of the reducer."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Final

# Larger forward steps of the wall clock are treated as a pause of the VM,
# smaller ones as clock corrections.
PAUSE_THRESHOLD_S: Final = 0.5


def read_boot_clock() -> float:
    """Return the seconds since boot, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Clock:
    """Monotonic clock that detects pauses of the VM.

    The time includes system suspension. The boot clock of a guest may also
    stop while the hypervisor pauses the VM; the wall clock is corrected
    afterwards. Such a step is indistinguishable from the correction of a wrong
    wall clock, so it is reported separately instead of being added to the time.

    Parameters
    ----------
    read_boot, read_wall
        Functions that return the boot clock and the wall clock, in seconds.

    """

    def __init__(
        self,
        read_boot: Callable[[], float] = read_boot_clock,
        read_wall: Callable[[], float] = time.time,
    ) -> None:
        """Initialise from the current clocks."""
        self._read_boot = read_boot
        self._read_wall = read_wall
        self._latest = read_boot()
        self._wall_offset = read_wall() - self._latest
        self._paused_s: float = 0

    def read(self) -> float:
        """Return the time in seconds, which never decreases."""
        boot = self._read_boot()
        offset = self._read_wall() - boot
        step = offset - self._wall_offset
        self._wall_offset = offset
        if step > PAUSE_THRESHOLD_S:
            self._paused_s += step
        self._latest = max(self._latest, boot)
        return self._latest

    def pop_pause_s(self) -> float:
        """Return and reset the detected pause time in seconds."""
        paused_s = self._paused_s
        self._paused_s = 0
        return paused_s


__all__ = ('Clock',)
