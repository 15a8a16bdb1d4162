"""Measures the load that a node reports; owned by its membership."""

from __future__ import annotations

from sassafrashall import clock
from sassafrashall import mailbox
from sassafrashall import metrics
from sassafrashall import model
from sassafrashall.decisions import shedding

MIN_INTERVAL = 0.1  # seconds over which a rate is computed at least


class LoadMeter:
    """Reads the load of the local upstream and the rate of shed requests."""

    def __init__(
        self,
        *,
        admission_level: mailbox.Published[int],
        upstream_load: mailbox.Published[int] | None,
        counters: metrics.Metrics,
    ) -> None:
        """Begins to measure.

        Args:
          admission_level: The level of the local upstream, in thousandths; -1
            if there is none.
          upstream_load: The load of the local upstream, in thousandths of its
            slots; None if it isn't measured.
          counters: The metrics of this process.
        """
        self._admission_level = admission_level
        self._upstream_load = upstream_load
        self._metrics = counters
        self._reported_shed = 0.0
        self._measured_at = clock.monotonic()

    def measure(self) -> model.NodeLoad:
        """Returns the admission level and the shed rate since the last call."""
        now = clock.monotonic()
        shed = self._metrics.total("shed") + self._metrics.total("shed_early")
        rate = (shed - self._reported_shed) / max(
            MIN_INTERVAL, now - self._measured_at
        )
        self._reported_shed, self._measured_at = shed, now
        level = self._admission_level.value
        return model.NodeLoad(
            level=shedding.ADMIT_ALL_LEVEL
            if level < 0
            else level / shedding.LEVEL_SCALE,
            shed_per_second=round(rate, 1),
            load=self._upstream_load.value if self._upstream_load else -1,
        )
