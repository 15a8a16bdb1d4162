"""Event log of one process, a part of the time line over all processes."""

from __future__ import annotations

import collections
import dataclasses

from sassafrashall import clock

MAX_EVENTS = 20_000
# Characters of an id or a detail; callers choose the ids of their requests,
# which may be as long as a head.
MAX_TEXT = 256


@dataclasses.dataclass(frozen=True, kw_only=True)
class Event:
    """One change of state, or one irreversible step of a request.

    Attributes:
      kind: Dotted name such as `claim.granted`.
      request: Root id of the call tree, if the event belongs to one.
    """

    time: clock.HybridTime
    process: str
    kind: str
    request: str = ""
    detail: str = ""


class EventLog:
    """Keeps the latest events of this process in memory."""

    def __init__(self, *, process: str, clock: clock.HybridClock) -> None:
        self._process = process
        self._clock = clock
        self._events: collections.deque[Event] = collections.deque(
            maxlen=MAX_EVENTS
        )

    @property
    def clock(self) -> clock.HybridClock:
        """The clock that stamps the events."""
        return self._clock

    def record(self, kind: str, request: str = "", detail: str = "") -> None:
        """Adds an event with the current time."""
        self._events.append(
            Event(
                time=self._clock.now(),
                process=self._process,
                kind=kind,
                request=request[:MAX_TEXT],
                detail=detail[:MAX_TEXT],
            )
        )

    def read(
        self, kind: str = "", request: str = "", since_ms: int = 0
    ) -> tuple[Event, ...]:
        """Returns the events that match all filters.

        Args:
          kind: Prefix of the kind; empty for any.
          request: Root id of the call tree; empty for any.
          since_ms: Physical time, in milliseconds, of the oldest event.
        """
        return tuple(
            event
            for event in self._events
            if event.kind.startswith(kind)
            and (not request or event.request == request[:MAX_TEXT])
            and event.time.physical_ms >= since_ms
        )
