"""Holds the breaker of the upstream; owned by the admission controller."""

from __future__ import annotations

from sassafrashall import events
from sassafrashall import logs
from sassafrashall import messages
from sassafrashall import metrics
from sassafrashall.decisions import breaker


class BreakerGate:
    """Whether the upstream gets requests, by how those before ended."""

    def __init__(
        self,
        *,
        policy: breaker.Policy,
        event_log: events.EventLog,
        counters: metrics.Metrics,
    ) -> None:
        """Sets up a closed breaker.

        Args:
          policy: The policy in force.
          event_log: Records when the breaker opens or closes.
          counters: The metrics of this process.
        """
        self._policy = policy
        self._events = event_log
        self._metrics = counters
        self._state = breaker.CLOSED

    @property
    def is_closed(self) -> bool:
        """Whether all requests may be sent."""
        return self._state.is_closed

    def may_send(self, now: float) -> bool:
        """Returns whether the upstream may be sent a request."""
        return breaker.may_send(self._state, now)

    def reset(self) -> None:
        """Closes the breaker, since another run of the upstream began."""
        self._state = breaker.CLOSED

    def on_granted(self) -> None:
        """Notes that a request is sent."""
        self._state = breaker.on_sent(self._state)

    def on_released(
        self, message: messages.SlotReleased, usual_time: float, now: float
    ) -> bool:
        """Takes in how a request ended.

        Args:
          message: Tells how it ended.
          usual_time: Seconds that requests take; 0 if not known.
          now: Monotonic seconds.

        Returns:
          Whether the breaker has opened.
        """
        previous = self._state
        failed = message.failed and breaker.is_failure(
            self._policy,
            timed_out=message.timed_out,
            run_time=message.run_time,
            usual_time=usual_time,
        )
        if failed or (message.latency >= 0 and not message.failed):
            self._state = breaker.on_result(
                self._policy, previous, failed=failed, now=now
            )
        else:
            self._state = breaker.on_no_result(previous)
        if self._state.openings > previous.openings:
            self._events.record("upstream.failing")
            self._metrics.count("breaker_openings")
            logs.get().warning(
                "upstream fails its requests",
                extra={"openings": self._state.openings},
            )
            return True
        if self._state.is_closed and not previous.is_closed:
            self._events.record("upstream.recovered")
            logs.get().info("upstream no longer fails its requests")
        return False
