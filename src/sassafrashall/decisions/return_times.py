"""When refused callers may return: load of clients that retry at once.

Callers that are refused together and told the same time come back together,
and are refused again. Each is told its own time, later the less of what is
asked for can be served.
"""

from __future__ import annotations

import xxhash

MIN_RETRY_AFTER = 0.5  # seconds
MAX_RETRY_AFTER = 4.0  # seconds


def retry_after(fraction: float, request_id: str) -> float:
    """Returns the seconds after which a refused request may come back.

    Requests that return within the longest time don't add up to more than
    there is room for. They are spread over the second half of it.

    Args:
      fraction: Part of what is asked for that is expected to be served.
      request_id: Decides on the time within the interval.
    """
    longest = min(
        MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, 1.0 / max(fraction, 1e-3))
    )
    # Admission refuses the requests whose hash of the bare id is large.
    position = xxhash.xxh32_intdigest(f"{request_id} return") / 2**32
    return longest * (0.5 + 0.5 * position)


def fraction_served(load: int, scale: int) -> float:
    """Returns the part of its requests that an upstream can serve at a load.

    Args:
      load: Requests that run or wait there, in units of `scale` for each slot;
        negative if it is not known.
      scale: Load of an upstream that has all of its slots in use.
    """
    return min(1.0, scale / load) if load > 0 else 1.0
