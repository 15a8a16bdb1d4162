"""Decides which requests of one connection run at the same time.

The load: callers that send further requests on a connection before the first
one is answered (HTTP pipelining). Run one by one, a request that takes 164 ms
was answered after more than 800 ms, since it waited behind longer ones.
"""

from __future__ import annotations

import dataclasses

OVERLAPPING_METHODS = frozenset({"GET", "HEAD"})
MAX_DEPTH = 64  # requests of one connection that run at the same time
# Requests of all connections that run behind another one of their connection.
# Each response may wait there with up to 192 KB: a body up to the limit of
# buffered ones, one read beyond it, and the window of a stream. That is 24 MB.
MAX_OVERLAPPING = 128


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Progress:
    """The requests of a connection whose responses have not been sent.

    Attributes:
      running: Their number.
      exclusive: Whether one of them must run alone.
      streaming: Whether the response to one of them is streamed. If that
        breaks off, the connection closes, and requests behind it that were
        forwarded would get no response.
      closes: Whether the connection closes after the last of them.
    """

    running: int
    exclusive: bool
    streaming: bool
    closes: bool


def may_overlap(method: str, length: int | None, *, expects: bool) -> bool:
    """Returns whether a request may run beside others of its connection.

    Args:
      method: Its method.
      length: Bytes of its body; None if it is chunked.
      expects: Whether it has an Expect header, which is answered before the
        request runs and thus out of order.
    """
    return method in OVERLAPPING_METHODS and length == 0 and not expects


def may_start(
    progress: Progress, *, overlaps: bool, depth: int, overlapping: int
) -> bool:
    """Returns whether the next request of a connection may start now.

    Args:
      progress: What runs on the connection.
      overlaps: Whether the request may run beside others.
      depth: Requests of the connection that may run at the same time.
      overlapping: Requests of all connections that run behind another one.
    """
    if progress.closes:
        return False
    if not progress.running:
        return True
    return (
        overlaps
        and not progress.exclusive
        and not progress.streaming
        and progress.running < depth
        and overlapping < MAX_OVERLAPPING
    )
