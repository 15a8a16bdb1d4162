"""Callers that don't take their answers, and what a node holds for them."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses

# Seconds without progress after which a caller may be cut.
MIN_STALL = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reader:
    """A connection whose caller has not taken all of its answer.

    Attributes:
      number: Identifies the connection.
      held: Bytes of the answer in memory.
      stalled: Seconds since the caller took a byte.
    """

    number: int
    held: int
    stalled: float


def choose_cut(readers: Iterable[Reader], limit: int) -> tuple[int, ...]:
    """Returns the connections to cut, so that at most `limit` bytes are held.

    Those that have stalled for longest go first. One that takes its answer,
    however slowly, is not cut.
    """
    readers = sorted(readers, key=lambda reader: -reader.stalled)
    held = sum(reader.held for reader in readers)
    cut: list[int] = []
    for reader in readers:
        if held <= limit or reader.stalled < MIN_STALL:
            break
        cut.append(reader.number)
        held -= reader.held
    return tuple(cut)
