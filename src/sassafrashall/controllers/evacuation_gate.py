"""Keeps requests from the upstream of an evacuated data centre.

It is owned by the admission controller.
"""

from __future__ import annotations

from sassafrashall import clock
from sassafrashall import logs
from sassafrashall import mailbox
from sassafrashall import metrics
from sassafrashall import model
from sassafrashall.decisions import evacuation

# Seconds between two checks. Waiting requests are checked more often, by the
# ticks of their queue.
TICK_INTERVAL = 0.5


class EvacuationGate:
    """What the node knows of the evacuation of its own data centre."""

    def __init__(
        self,
        *,
        data_centre: str,
        bound: float,
        view: mailbox.Published[model.NodeView],
        counters: metrics.Metrics,
    ) -> None:
        """Sets up the gate of a node that starts.

        Args:
          data_centre: The data centre of this node.
          bound: Seconds within which an evacuation has to be in force; 0 if a
            node that starts or resumes doesn't wait for a proof of its state.
          view: What the node knows of the fleet.
          counters: The metrics of this process.
        """
        self._data_centre = data_centre
        self._view = view
        self._metrics = counters
        self._contact = evacuation.start(bound, clock.monotonic())
        self._was_evacuated = False
        self._logged_block: evacuation.Block | None = None

    def find_block(self, now: float) -> evacuation.Block | None:
        """Returns why the upstream gets no request; None if it may get one.

        The end of an evacuation counts from the next tick on, which also tells
        the caller that the upstream may be cold.
        """
        view = self._view.value
        is_evacuated = self._was_evacuated or self._is_evacuated()
        if not is_evacuated and not self._contact.bound_s:
            return None
        return evacuation.block(
            self._contact,
            evacuated=is_evacuated,
            proven_at=view.fresh_at,
            now=now,
        )

    def check_before_send(self) -> str:
        """Returns why a request with a slot must not be sent; empty if it may.

        A request may wait for the confirmation of its node, or the process may
        stand still, after the grant.
        """
        block = self.find_block(clock.monotonic())
        return block.value if block else ""

    def on_tick(self, now: float) -> bool:
        """Notes that the process runs, and logs changes.

        Returns:
          Whether an evacuation of the data centre has ended.
        """
        self._contact = evacuation.on_tick(self._contact, now)
        is_evacuated = self._is_evacuated()
        has_ended = self._was_evacuated and not is_evacuated
        if is_evacuated != self._was_evacuated:
            self._metrics.gauge("evacuated", int(is_evacuated))
        self._was_evacuated = is_evacuated
        block = self.find_block(now)
        if block is not self._logged_block:
            logs.get().info(
                "upstream gets no requests"
                if block
                else "upstream gets requests again",
                extra={"reason": block.value if block else ""},
            )
            self._logged_block = block
        return has_ended

    def _is_evacuated(self) -> bool:
        return self._data_centre in self._view.value.evacuated
