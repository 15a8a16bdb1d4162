"""Tells when bytes arrived that wait unread in a socket.

The load: callers that send further requests on a connection before the first
one is answered (HTTP pipelining). What is read ahead is bounded, so that a
request may wait in the socket behind a request with a body or a long response.
Counted from the read, its timeout ended late by that wait.

Times are those of the checks that saw the bytes, thus never earlier than their
arrival and later by the interval of the checks at most.
"""

from __future__ import annotations

import dataclasses
from typing import TypeAlias

# Marks of one connection. A caller that sends a byte between any two checks
# would else add one with each check for as long as a response takes.
MAX_MARKS = 64


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Mark:
    """A number of bytes that had arrived at a time.

    Attributes:
      size: Bytes from the next one to be read on.
      at: Monotonic seconds.
    """

    size: int
    at: float


Marks: TypeAlias = tuple[Mark, ...]  # with rising sizes and times


def on_check(marks: Marks, unread: int, now: float) -> Marks:
    """Notes how many bytes wait to be read.

    Args:
      marks: The marks before.
      unread: Bytes that wait.
      now: Monotonic seconds.
    """
    if unread <= (marks[-1].size if marks else 0):
        return marks
    # Bytes of a mark that is left out count from a later time.
    kept = marks if len(marks) < MAX_MARKS else marks[:-1]
    return (*kept, Mark(size=unread, at=now))


def on_read(marks: Marks, size: int, now: float) -> tuple[Marks, float]:
    """Returns the marks after a read, and when its last byte had arrived.

    Args:
      marks: The marks before.
      size: Bytes that were read.
      now: Monotonic seconds of the read.
    """
    arrived_at = next((mark.at for mark in marks if mark.size >= size), now)
    return (
        tuple(
            Mark(size=mark.size - size, at=mark.at)
            for mark in marks
            if mark.size > size
        ),
        arrived_at,
    )
