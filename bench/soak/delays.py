"""Watches how late the event loop of the soak serves its sockets."""

from __future__ import annotations

from collections.abc import Callable
import time

import trio

from bench.soak import model

INTERVAL = 0.02  # seconds between two measurements
# Passes of the event loop until a stand-in has read what a node sent to it on a
# new connection through its proxy.
PASSES = 10
LIMIT = 0.04  # seconds that the passes of one measurement may take


async def watch(report: Callable[[model.RanLate], None]) -> None:
    """Reports times in which stand-ins may read requests late.

    Each pass may be short while all that a request needs take long. They fall
    into two measurements at most, so that twice the measured time is reported.

    Args:
      report: Called with each delay that is above `2 * LIMIT`.
    """
    while True:
        due = time.monotonic() + INTERVAL
        await trio.sleep(INTERVAL)
        for _ in range(PASSES):
            await trio.lowlevel.checkpoint()
        if (late := time.monotonic() - due) > LIMIT:
            report(model.RanLate(at=due, seconds=2 * late))
