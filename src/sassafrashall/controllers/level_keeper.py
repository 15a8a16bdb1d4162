"""Holds the level of the local upstream; owned by the admission controller."""

from __future__ import annotations

from sassafrashall import events
from sassafrashall import mailbox
from sassafrashall import metrics
from sassafrashall import model
from sassafrashall.decisions import shedding


class LevelKeeper:
    """The admission level, from what was granted and shed."""

    def __init__(
        self,
        *,
        policy: shedding.Policy,
        published: mailbox.Published[int],
        event_log: events.EventLog,
        counters: metrics.Metrics,
    ) -> None:
        """Sets up a level that admits everything.

        Args:
          policy: The policy in force.
          published: Where the level is published, in thousandths of a class.
          event_log: Records when the level leaves or reaches its maximum.
          counters: The metrics of this process.
        """
        self._policy = policy
        self._published = published
        self._events = event_log
        self._metrics = counters
        self._state = shedding.LevelState()

    @property
    def is_at_rest(self) -> bool:
        """Whether everything is admitted and nothing was shed lately."""
        is_open = self._state.level >= shedding.ADMIT_ALL_LEVEL
        return is_open and not any(self._state.shed)

    @property
    def wire_level(self) -> int:
        """The level as messages carry it, in thousandths of a class.

        It is -1 if the policy uses none.
        """
        if isinstance(self._policy, shedding.NoEarlyShed):
            return -1
        return int(self._state.level * shedding.LEVEL_SCALE)

    def on_granted(self, priority: model.Priority, wait: float) -> None:
        """Notes a request that got a slot after a wait, in seconds."""
        if not isinstance(self._policy, shedding.NoEarlyShed):
            self._state = shedding.on_dispatch(self._state, priority, wait)

    def on_shed(self, priority: model.Priority) -> None:
        """Notes a request that was shed."""
        self._state = shedding.on_shed(self._state, priority)

    def update(self, now: float) -> None:
        """Computes the level anew and publishes it."""
        previous_level = self._state.level
        self._state = shedding.update_level(self._state, now)
        was_open = previous_level >= shedding.ADMIT_ALL_LEVEL
        if was_open != (self._state.level >= shedding.ADMIT_ALL_LEVEL):
            kind = "admission.closing" if was_open else "admission.open"
            self._events.record(kind, detail=f"{self._state.level:.2f}")
        self._metrics.gauge("admission_level", self._state.level)
        self.publish()

    def publish(self) -> None:
        """Publishes the level."""
        self._published.publish(self.wire_level)
