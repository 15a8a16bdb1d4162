"""Holds the bound of a cold upstream; owned by the admission controller."""

from __future__ import annotations

from sassafrashall import clock
from sassafrashall import configuration
from sassafrashall import logs
from sassafrashall import mailbox
from sassafrashall import metrics
from sassafrashall.decisions import cold_rate
from sassafrashall.decisions import route_table

# Heartbeats of the same run that are needed after its address refused a
# connection, or after the end of an evacuation. The first one may have been
# sent before that.
HEARTBEATS_AFTER_DOUBT = 2


class ColdGate:
    """The state of the bound, with what it is configured to be."""

    def __init__(
        self,
        *,
        service: str,
        overage: float,
        slack: int,
        table: mailbox.Published[route_table.RouteTable | None],
        heartbeat: mailbox.Published[cold_rate.Heartbeat | None],
        counters: metrics.Metrics,
    ) -> None:
        """Sets up the gate of an upstream of which nothing has been heard.

        Args:
          service: The service of the upstream.
          overage: See `cold_rate.bound_for`.
          slack: See `cold_rate.bound_for`.
          table: The fleet configuration; None before the first.
          heartbeat: The newest heartbeat of the upstream.
          counters: The metrics of this process.
        """
        self._service = service
        self._overage = overage
        self._slack = slack
        self._table = table
        self._heartbeat = heartbeat
        self._metrics = counters
        self._state = cold_rate.State()
        self._configured: route_table.RouteTable | None = None
        self._applied_heartbeat: cold_rate.Heartbeat | None = None
        self._was_cold = False
        self._configure(clock.monotonic())

    @property
    def heartbeat(self) -> mailbox.Published[cold_rate.Heartbeat | None]:
        """The newest heartbeat; `apply_heartbeat` has to follow its changes."""
        return self._heartbeat

    @property
    def is_bound(self) -> bool:
        """Whether the upstream has a bound."""
        return self._state.bound is not None

    def may_send(self, now: float) -> bool:
        """Returns whether one more request may be granted a slot."""
        if self._table.value is not self._configured:
            self._configure(now)
        # The upstream may be announced before the task that follows its
        # heartbeats has run.
        self.apply_heartbeat(now)
        if self._state.bound is None:
            return True
        if cold_rate.may_send(self._state, now):
            return True
        self._metrics.count("cold_refusals")
        return False

    def apply_heartbeat(self, now: float) -> None:
        """Applies the newest heartbeat, unless that was done before."""
        heartbeat = self._heartbeat.value
        if heartbeat is None or heartbeat is self._applied_heartbeat:
            return
        self._applied_heartbeat = heartbeat
        self.on_event(heartbeat, now)

    def on_granted(self, now: float) -> bool:
        """Counts a request that was granted a slot.

        Returns:
          Whether `Sent` or `Unsent` has to follow.
        """
        if self._state.bound is None:
            return False
        self.on_event(cold_rate.Granted(), now)
        return True

    def on_event(self, event: cold_rate.Event, now: float) -> None:
        """Applies an event; logs whether the upstream counts as cold now."""
        self._state = cold_rate.on_event(self._state, event, now)
        if isinstance(event, (cold_rate.Granted, cold_rate.Sent)):
            return
        self._note_cold(now)

    def is_cold(self, now: float) -> bool:
        """Returns whether the upstream counts as cold."""
        return cold_rate.is_cold(self._state, now)

    def used_fraction(self, now: float) -> float:
        """Returns the used fraction of the bound; 0 if it isn't in force."""
        return cold_rate.used_fraction(self._state, now)

    def usable_slots(self, slots: int, usual_time: float, now: float) -> int:
        """Returns how many of the slots requests can fill."""
        return cold_rate.usable_slots(self._state, slots, usual_time, now)

    def _configure(self, now: float) -> None:
        self._configured = self._table.value
        self.on_event(cold_rate.Configured(bound=self._current_bound()), now)

    def _current_bound(self) -> cold_rate.Bound | None:
        if self._configured is None:
            # Requests may come from nodes that know the configuration already.
            if not self._overage and not self._slack:
                return None
            return cold_rate.Bound(
                count=max(1, self._slack), rate=0.0, cold_start_s=0.0
            )
        service = next(
            (
                service
                for service in self._configured.document.services
                if service.name == self._service
            ),
            configuration.Service(name=self._service),
        )
        return cold_rate.bound_for(
            rate=service.cold_rate,
            cold_start_s=service.cold_start_s,
            overage=self._overage,
            slack=self._slack,
        )

    def _note_cold(self, now: float) -> None:
        is_bound = self._state.bound is not None
        is_cold = is_bound and cold_rate.is_cold(self._state, now)
        if is_cold == self._was_cold:
            return
        self._was_cold = is_cold
        self._metrics.gauge("upstream_cold", int(is_cold))
        bound = self._state.bound
        logs.get().info(
            "upstream is cold" if is_cold else "upstream is no longer cold",
            extra={
                "requests_per_second": bound.count if bound else 0,
                "told_seconds": round(
                    max(0.0, self._state.cold_until - now), 1
                ),
                "heartbeats_due": self._state.heartbeats_due,
            },
        )
