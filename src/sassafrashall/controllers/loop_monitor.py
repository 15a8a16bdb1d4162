"""Measures by how much the event loop of a process runs late."""

from __future__ import annotations

import trio

from sassafrashall import clock
from sassafrashall import logs
from sassafrashall import metrics
from sassafrashall import task

MEASURE_INTERVAL = 0.1  # seconds
LOGGED_DELAY = 0.5  # seconds of delay from which on a line is logged


class LoopMonitor(task.Controller):
    """Records the delay of a periodic timer in a histogram.

    The delay is the time that other tasks, or other processes, held the
    processor when the timer was due.
    """

    def __init__(self, *, counters: metrics.Metrics) -> None:
        super().__init__()
        self._delays = counters.bound_histogram("loop_delay_seconds")

    async def _setup(self) -> None:
        self._spawn(self._measure)

    async def _measure(self) -> None:
        while True:
            due = clock.monotonic() + MEASURE_INTERVAL
            await trio.sleep(MEASURE_INTERVAL)
            delay = max(0.0, clock.monotonic() - due)
            self._delays.observe(delay)
            if delay >= LOGGED_DELAY:
                logs.get().warning(
                    "event loop ran late",
                    extra={"delay_ms": round(1000 * delay)},
                )
