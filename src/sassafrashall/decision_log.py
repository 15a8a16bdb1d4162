"""Rate-limited log of how the requests at a process ended."""

from __future__ import annotations

import dataclasses
from typing import Any
from typing import TypeAlias

from sassafrashall import clock
from sassafrashall import logs
from sassafrashall import model

# Maximum log lines per second for each kind of outcome: the more serious the
# outcome, the more lines.
MAX_FAILED_LINES = 40
MAX_REFUSED_LINES = 20
MAX_CANCELLED_LINES = 10
MAX_LATE_LINES = 10
MAX_SERVED_LINES = 1
SERVED_MESSAGE = "request served"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Served:
    """A request got a response from an upstream.

    Attributes:
      step: Name of the filter chain that it passed: `entry` or `worker`.
      took_ms: Milliseconds since its arrival at this process.
      target_ms: Target latency of its route in milliseconds; 0 if there is
        none.
      upstream_load: Load of the upstream, as in `model.Answer.load`.
    """

    request_id: str
    step: str
    status: int
    took_ms: float
    target_ms: float
    upstream_load: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ended:
    """A request ended without a response from an upstream.

    Attributes:
      step: Name of the filter chain that it passed: `entry` or `worker`.
      code: A code from `exceptions`.
      detail: Reason for the decision, with the figures that it was based on.
      run: Value of `model.RunState`.
      took_ms: Milliseconds since its arrival at this process.
      configuration: Version of the fleet configuration in force at this
        process.
      peer_load: Load at the refusing node, as in `model.Refuse.load`.
    """

    request_id: str
    step: str
    code: str
    detail: str
    run: str
    took_ms: float
    configuration: int
    peer_load: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cancelled:
    """A request was cancelled, since nobody waits for its outcome any more.

    Attributes:
      step: Name of the filter chain that it passed: `entry` or `worker`.
      reason: Why; empty if the end of its connection tells.
      took_ms: Milliseconds since its arrival at this process.
    """

    request_id: str
    step: str
    reason: str
    took_ms: float


Record: TypeAlias = Served | Ended | Cancelled


class DecisionLog:
    """Writes records to the log, up to a limit per second for each kind."""

    def __init__(self) -> None:
        self._second = 0
        self._written: dict[str, int] = {}
        self._suppressed: dict[str, int] = {}

    def suppress_routine(
        self, status: int, took_ms: float, target_ms: float
    ) -> bool:
        """Returns whether a request was served well and needs no log line.

        Such a request is counted as suppressed, and the caller need not build
        its record, which saves that work for almost every request.
        """
        if status >= 500 or 0 < target_ms < took_ms:
            return False
        if int(clock.monotonic()) != self._second:
            return False
        if self._written.get(SERVED_MESSAGE, 0) < MAX_SERVED_LINES:
            return False
        self._suppressed[SERVED_MESSAGE] = (
            self._suppressed.get(SERVED_MESSAGE, 0) + 1
        )
        return True

    def write(self, record: Record) -> None:
        """Writes a record, or counts it as suppressed if over the limit."""
        message, limit = _message_and_limit(record)
        second = int(clock.monotonic())
        if second != self._second:
            self._second = second
            self._written.clear()
        written = self._written.get(message, 0)
        if written >= limit:
            self._suppressed[message] = self._suppressed.get(message, 0) + 1
            return
        self._written[message] = written + 1
        fields = _fields(record)
        if suppressed := self._suppressed.pop(message, 0):
            fields["suppressed"] = suppressed
        logs.get().info(message, extra=fields)


def _message_and_limit(record: Record) -> tuple[str, int]:
    """Returns a record's log message and its maximum lines per second."""
    match record:
        case Served(status=status):
            if status >= 500:
                return "request answered with an error", MAX_FAILED_LINES
            if 0 < record.target_ms < record.took_ms:
                return "request served late", MAX_LATE_LINES
            return SERVED_MESSAGE, MAX_SERVED_LINES
        case Cancelled():
            return "request cancelled", MAX_CANCELLED_LINES
        case Ended(run=model.RunState.NOT_RUN):
            return "request refused", MAX_REFUSED_LINES
        case Ended():
            return "request failed", MAX_FAILED_LINES


def _fields(record: Record) -> dict[str, Any]:
    fields = dataclasses.asdict(record)
    fields["took_ms"] = round(record.took_ms, 1)
    return fields
