"""Which control a node calls, by their contact with a majority."""

from __future__ import annotations

from collections.abc import Mapping

MAX_MAJORITY_AGE = 1.2  # seconds; above this a control counts as stale
# Seconds by which another stale control must be fresher to be preferred. While
# a leader is elected all of them are about as stale.
MIN_FRESHER = 0.5


def is_stale(majority_age: float) -> bool:
    """Returns whether a control has been without a majority for too long.

    Args:
      majority_age: Seconds since its last contact with a majority.
    """
    return majority_age >= MAX_MAJORITY_AGE


def choose_control(
    current: str,
    current_age: float,
    addresses: tuple[str, ...],
    ages: Mapping[str, float],
) -> str:
    """Returns the address of the control to call.

    Args:
      current: Address of the control in use.
      current_age: Its majority age when it was found stale; negative infinity
        if only a fresh control may replace it.
      addresses: Of all controls, the preferred first.
      ages: Majority ages of the controls that answered since, by address.
    """
    fresh = [a for a in addresses if a in ages and not is_stale(ages[a])]
    if current in fresh and current_age != float("-inf"):
        return current  # It has had contact with a majority again.
    if fresh:
        return fresh[0]
    if ages:
        freshest = min(ages, key=lambda address: ages[address])
        if ages[freshest] + MIN_FRESHER < current_age:
            return freshest
    return current
