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
        self._seen = evacuation.Seen()
        self._logged_block: evacuation.Block | None = None

    def find_block(self, now: float) -> evacuation.Block | None:
        """Returns why the upstream gets no request; None if it may get one.

        The end of an evacuation counts from the next tick on, which also tells
        the caller that the upstream may be cold.
        """
        view = self._view.value
        is_evacuated = self._is_evacuated(view) or self._has_ended(view)
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
        view = self._view.value
        is_evacuated = self._is_evacuated(view)
        has_ended = self._has_ended(view)
        if has_ended and not self._seen.evacuated:
            logs.get().info(
                "an evacuation ended that this node did not see",
                extra={"revision": self._last_change(view)},
            )
        if is_evacuated != self._seen.evacuated:
            self._metrics.gauge("evacuated", int(is_evacuated))
        knows_state = view.configuration.revision > 0
        self._seen = evacuation.Seen(
            evacuated=is_evacuated,
            changed=self._last_change(view) if knows_state else None,
        )
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

    def _is_evacuated(self, view: model.NodeView) -> bool:
        return self._data_centre in view.evacuated

    def _last_change(self, view: model.NodeView) -> int:
        """Returns the revision of the last change of the data centre."""
        return view.evacuation_changes.get(self._data_centre, 0)

    def _has_ended(self, view: model.NodeView) -> bool:
        """Returns whether an evacuation has ended since the last tick."""
        return evacuation.has_ended(
            self._seen,
            evacuated=self._is_evacuated(view),
            changed=self._last_change(view),
        )
