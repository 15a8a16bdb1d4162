"""Clients that make a process hold more memory than its VM has.

The load is many clients whose input is legal and small on the wire, but becomes
many objects: a head of 16 KB may have 4,000 lines. Costs are estimates of
resident memory. What a process holds for its clients has one bound, which is a
share of the memory of the VM; the rest is for the process at rest, for the
tasks and sockets of its connections, for answers on their way to callers and
for the fragmentation of the heap.
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses

MEGABYTE = 1024 * 1024
# Share of the memory of the VM that may be held for input. A node of 200 MB
# needs 40 MB at rest, 30 MB for 3,000 connections and 32 MB for answers.
HELD_SHARE = 0.2
# Share that may be held for answers that callers have not taken, above which
# callers that stall are cut. It is 32 MB of 200 MB.
ANSWER_SHARE = 0.16
# Share of the bound that is added for small inputs, so that ordinary requests
# are admitted while expensive ones are refused.
RESERVED_SHARE = 0.25
# Share of the bound up to which bytes are held that could be dropped.
RETAINED_SHARE = 0.75
# Share of the bound down to which clients are removed, so that the search for
# them runs once for many removals.
RELIEF_SHARE = 0.9
# Bytes of one header line: two strings of 49 bytes and more, a tuple of 72,
# and their places in the sequences of the request and of its copy.
LINE_COST = 192
PACKED_LINES = 64  # from which on the lines of an incomplete head are packed
PART_COST = 64  # bytes of one part of a body beyond its data
MESSAGE_COST = 1024  # bytes of the objects of a request without header lines
SMALL_COST = 16 * 1024  # bytes; an ordinary request costs 2 to 4 KB
# Seconds added to the age of what is held, so that the size decides among
# clients that arrived together.
MIN_AGE = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Holder:
    """A client for which memory is held.

    Attributes:
      number: Identifies the client.
      held: Estimated bytes.
      age: Seconds for which the client has been held without a whole request.
    """

    number: int
    held: int
    age: float


def held_limit(memory_mb: int) -> int:
    """Returns the bytes that may be held on a VM with `memory_mb` MB."""
    return int(HELD_SHARE * memory_mb * MEGABYTE)


def answer_limit(memory_mb: int) -> int:
    """Returns the bytes of answers that may wait for their callers."""
    return int(ANSWER_SHARE * memory_mb * MEGABYTE)


def head_cost(lines: int, size: int) -> int:
    """Returns the estimated bytes of a head.

    Args:
      lines: Number of header lines.
      size: Bytes on the wire.
    """
    return MESSAGE_COST + LINE_COST * lines + size


def admits(cost: int, held: int, limit: int) -> bool:
    """Returns whether there is room for `cost` more bytes beside `held`."""
    if cost <= SMALL_COST:
        limit = int(limit * (1 + RESERVED_SHARE))
    return held + cost <= limit


def may_retain(size: int, held: int, limit: int) -> bool:
    """Returns whether `size` bytes that could be dropped may be held."""
    return held + size <= limit * RETAINED_SHARE


def rank_removals(holders: Iterable[Holder]) -> tuple[int, ...]:
    """Returns the clients in the order in which they are removed.

    Those go first that hold most and make least progress, by the product of
    size and age.
    """
    ranked = sorted(
        holders, key=lambda holder: -holder.held * (holder.age + MIN_AGE)
    )
    return tuple(holder.number for holder in ranked if holder.held)


def is_relieved(held: int, limit: int) -> bool:
    """Returns whether enough clients have been removed."""
    return held <= limit * RELIEF_SHARE
