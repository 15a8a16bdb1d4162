"""Clocks: monotonic seconds, and hybrid logical time for events."""

from __future__ import annotations

import dataclasses
import functools
import time

# Returns monotonic seconds, including the time that the VM was suspended:
# leases and deadlines must expire during a suspension too.
monotonic = functools.partial(time.clock_gettime, time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Returns the VM's time of day in milliseconds, which may be set back."""
    return time.time_ns() // 1_000_000


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class HybridTime:
    """A hybrid logical time stamp (Kulkarni et al., 2014).

    Attributes:
      physical_ms: Wall-clock milliseconds, never behind an observed stamp.
      logical: Orders stamps with equal milliseconds.
    """

    physical_ms: int = 0
    logical: int = 0


class HybridClock:
    """Issues time stamps that respect causality between processes."""

    def __init__(self) -> None:
        self._last = HybridTime()

    @property
    def last(self) -> HybridTime:
        """The last stamp issued or observed."""
        return self._last

    def now(self) -> HybridTime:
        """Returns a stamp after every stamp issued or observed so far."""
        return self._advance(HybridTime())

    def observe(self, remote: HybridTime) -> None:
        """Advances the clock past a stamp received with a message."""
        self._advance(remote)

    def _advance(self, remote: HybridTime) -> HybridTime:
        wall = wall_ms()
        latest = max(self._last, remote)
        if wall > latest.physical_ms:
            self._last = HybridTime(physical_ms=wall)
        else:
            self._last = HybridTime(
                physical_ms=latest.physical_ms, logical=latest.logical + 1
            )
        return self._last
