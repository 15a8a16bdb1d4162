"""Which control a node calls, and which others it asks for what is new."""

from __future__ import annotations

from collections.abc import Mapping

MAX_MAJORITY_AGE = 1.2  # seconds; above this a control counts as stale
# Seconds from which a node leaves a control for one known to be fresher.
MIN_LEAVE_AGE = 0.8
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
    if current_age == float("-inf"):
        # Nodes would soon leave it again if it were about to get stale.
        fresh = [a for a in addresses if ages.get(a, 1e6) < MIN_LEAVE_AGE]
        return fresh[0] if fresh else current
    fresh = [a for a in addresses if a in ages and not is_stale(ages[a])]
    if current in fresh:
        return current  # It has had contact with a majority again.
    if fresh:
        return fresh[0]
    if ages:
        freshest = min(ages, key=lambda address: ages[address])
        if ages[freshest] + MIN_FRESHER < current_age:
            return freshest
    return current


def controls_to_ask(
    addresses: tuple[str, ...], current: str, start: int
) -> tuple[tuple[str, ...], int]:
    """Returns the controls to ask for their revision, and the next start.

    With the control in use they are a majority in each round, and all controls
    within two rounds. A revision that any reachable control has applied is thus
    found without a decision on which of them are cut off.

    Args:
      addresses: Of the members of the replicated log.
      current: Address of the control in use, which heartbeats ask.
      start: Index of the address to begin with.
    """
    start %= max(1, len(addresses))
    others = [
        address
        for address in (*addresses[start:], *addresses[:start])
        if address != current
    ]
    asked = tuple(others[: max(1, len(addresses) // 2)])
    if not asked:
        return (), 0
    return asked, addresses.index(asked[-1]) + 1


def find_fresher(
    current: str,
    current_age: float,
    addresses: tuple[str, ...],
    contacts: Mapping[str, float],
    now: float,
) -> str | None:
    """Returns a control that had contact with a majority later, or None.

    Args:
      current: Address of the control in use.
      current_age: Its majority age.
      addresses: Of all controls, the preferred first.
      contacts: When each other control last had that contact, as far as is
        known, by address, in monotonic seconds.
      now: Monotonic seconds.
    """
    if current_age < MIN_LEAVE_AGE:
        return None
    since = now - current_age + MIN_FRESHER
    newest = max(contacts.values(), default=float("-inf"))
    for address in addresses:
        contact = contacts.get(address, float("-inf"))
        if address != current and contact > max(since, newest - MIN_FRESHER):
            return address
    return None
