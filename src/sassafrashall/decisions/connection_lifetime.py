"""Decides when an accepted connection is closed for lack of a request.

The load: callers that keep connections open without a request, or send one in
part only, each of which holds a descriptor and memory.

Such a decision takes effect only if no input waits: the bytes of a request may
have arrived, although the task that reads the connection has not run since.
"""

from __future__ import annotations

import dataclasses
from typing import TypeAlias

# Fraction of the idle timeout for which callers are told that they may reuse a
# connection. The rest covers the way of a request and a late check.
ANNOUNCED_FRACTION = 0.8


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Idle:
    """No request is in progress, and none has begun to arrive.

    Attributes:
      since: Monotonic seconds.
      timeout: Seconds without a request that were in force at that time, which
        the other side counts on.
    """

    since: float
    timeout: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReceivingHead:
    """The head of a request has begun to arrive.

    Attributes:
      since: Monotonic seconds.
    """

    since: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReceivingBody:
    """The body of a request is awaited; not while it runs or waits to run.

    Attributes:
      since: When the last part of it came, or the wait for it began, in
        monotonic seconds.
    """

    since: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Serving:
    """A request is in progress."""


Activity: TypeAlias = Idle | ReceivingHead | ReceivingBody | Serving


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Keep:
    """The connection stays open."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CloseAfterResponse:
    """The connection is closed after its next response."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CloseIdle:
    """The connection is closed, unless input waits.

    Attributes:
      idle: Seconds since the last activity.
    """

    idle: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CloseIncompleteHead:
    """The connection is closed, unless more input waits.

    Attributes:
      idle: Seconds since the head began to arrive.
    """

    idle: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndIncompleteBody:
    """The request ends, unless more input waits, and then the connection.

    Attributes:
      idle: Seconds since the last part of the body came.
    """

    idle: float


Action: TypeAlias = (
    Keep
    | CloseAfterResponse
    | CloseIdle
    | CloseIncompleteHead
    | EndIncompleteBody
)


def on_check(
    activity: Activity, now: float, idle_timeout: float, head_timeout: float
) -> Action:
    """Decides at a periodic check.

    A longer idle timeout applies at once, a shorter one from the next response
    on.

    A body may pause for the longer of both timeouts, so that a slow caller has
    at least the time that it has between requests. What has arrived of the body
    doesn't count: a caller that makes progress may take as long as it needs.

    Args:
      activity: What the connection does.
      now: Monotonic seconds.
      idle_timeout: Seconds without a request, as configured now.
      head_timeout: Seconds for the head of a request, as configured now.
    """
    match activity:
        case Idle(since=since, timeout=timeout) if now - since > max(
            timeout, idle_timeout
        ):
            return CloseIdle(idle=now - since)
        case ReceivingHead(since=since) if now - since > head_timeout:
            return CloseIncompleteHead(idle=now - since)
        case ReceivingBody(since=since) if now - since > max(
            idle_timeout, head_timeout
        ):
            return EndIncompleteBody(idle=now - since)
        case _:
            return Keep()


def on_stop(activity: Activity, now: float) -> Action:
    """Decides when the process stops serving, at `now` monotonic seconds."""
    match activity:
        case Idle(since=since):
            return CloseIdle(idle=now - since)
        case _:
            return CloseAfterResponse()


def announced_timeout(idle_timeout: float) -> int:
    """Returns for how long callers may leave a connection idle.

    Args:
      idle_timeout: Seconds after which this side closes the connection.

    Returns:
      Whole seconds; 0 if the timeout is too short to announce one.
    """
    return int(ANNOUNCED_FRACTION * idle_timeout)
