"""Rate-limited log and counter of why a process closed its connections."""

from __future__ import annotations

import dataclasses
import enum

from sassafrashall import clock
from sassafrashall import logs
from sassafrashall import metrics

# Maximum log lines per second of each kind.
MAX_UNANSWERED_LINES = 40
MAX_ROUTINE_LINES = 2


class Reason(enum.StrEnum):
    """Why a connection was closed.

    Attributes:
      IDLE_TIMEOUT: No request arrived for too long.
      HEAD_TIMEOUT: The head of a request took too long to arrive.
      BODY_TIMEOUT: The body of a request stopped arriving.
      STOP: The process stops, and the connection was idle.
      ANNOUNCED: The last response announced it.
      DISCONNECT: The other side closed or reset it.
      BAD_INPUT: The other side sent invalid bytes.
      HANDLER_FAILED: The handler ended without a response.
      INCOMPLETE: A response could not be sent to its end.
      PROCESS_END: The process ended.
      DEADLINE: The deadline of a request passed without a response.
      ABANDONED: Nobody waits for the response any more.
      RETIRED: A response on it could be taken for that to another request.
      STALLED: The caller took no byte of its answer while memory was short.
      MEMORY: Memory for the input of clients was short.
      FULL: Other connections arrived at a full listener, and no request had
        come on this one.
    """

    IDLE_TIMEOUT = "idle_timeout"
    HEAD_TIMEOUT = "head_timeout"
    BODY_TIMEOUT = "body_timeout"
    STOP = "stop"
    ANNOUNCED = "announced"
    DISCONNECT = "disconnect"
    BAD_INPUT = "bad_input"
    HANDLER_FAILED = "handler_failed"
    INCOMPLETE = "incomplete"
    PROCESS_END = "process_end"
    DEADLINE = "deadline"
    ABANDONED = "abandoned"
    RETIRED = "retired"
    STALLED = "stalled"
    MEMORY = "memory"
    FULL = "full"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Closure:
    """The end of a connection.

    Attributes:
      unanswered: Whether a request on it got no complete response.
      request_id: The ID of that request, if it is known.
      idle_s: Seconds since the last request ended or input began.
      delay_s: Seconds by which the check that closed it ran late.
    """

    reason: Reason
    unanswered: bool = False
    request_id: str = ""
    idle_s: float = 0.0
    delay_s: float = 0.0


class ConnectionLog:
    """Counts the closures at one place, and logs up to a limit per second."""

    def __init__(
        self, *, place: str, counters: metrics.Metrics | None = None
    ) -> None:
        """Creates the log.

        Args:
          place: Where the connections end, such as `callers` or `upstream`.
          counters: Where closures are counted; None counts nowhere.
        """
        self._place = place
        self._metrics = counters
        self._second = 0
        self._written: dict[bool, int] = {}
        self._suppressed: dict[bool, int] = {}

    def write(self, closure: Closure) -> None:
        """Counts a closure, and writes a line if the limit allows one."""
        if self._metrics is not None:
            self._metrics.count(
                "connections_closed",
                place=self._place,
                reason=closure.reason,
                unanswered=str(closure.unanswered).lower(),
            )
        second = int(clock.monotonic())
        if second != self._second:
            self._second = second
            self._written.clear()
        unanswered = closure.unanswered
        written = self._written.get(unanswered, 0)
        if written >= (
            MAX_UNANSWERED_LINES if unanswered else MAX_ROUTINE_LINES
        ):
            self._suppressed[unanswered] = (
                self._suppressed.get(unanswered, 0) + 1
            )
            return
        self._written[unanswered] = written + 1
        fields: dict[str, str | float] = {
            "place": self._place,
            "reason": closure.reason,
            "request_id": closure.request_id,
            "idle_ms": round(1000 * closure.idle_s, 1),
            "delay_ms": round(1000 * closure.delay_s, 1),
        }
        if suppressed := self._suppressed.pop(unanswered, 0):
            fields["suppressed"] = suppressed
        message = "connection closed"
        if unanswered:
            message = "connection closed with an unanswered request"
        logs.get().info(message, extra=fields)
