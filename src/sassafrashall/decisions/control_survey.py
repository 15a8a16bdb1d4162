"""What a majority of the controls tells of times without a leader.

The load is an upstream that signs off while no leader can commit it. If a
majority of the controls is without a leader, the sign-off may be acknowledged
before it is committed. The next process of the node learns of that time from
any majority, since the two have a control in common, and doubts until then what
it hears.
"""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses

# Seconds without contact to a majority from which on a control counts as being
# without a leader. In a calm fleet a control tells of 0.4 s at most.
LEADERLESS_AGE = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """What is known of one control.

    Attributes:
      is_down: Whether no process listens at its address.
      majority_age: Seconds since its last contact with a majority; None if it
        did not answer. One that answers has stored the node's record.
      steady_for: Seconds for which it has run and been in contact with a
        majority; 0 if it did not answer.
    """

    is_down: bool = False
    majority_age: float | None = None
    steady_for: float = 0.0

    @property
    def is_silent(self) -> bool:
        """Whether it may run, but did not answer."""
        return self.majority_age is None and not self.is_down

    @property
    def is_leaderless(self) -> bool:
        """Whether it certainly has no leader."""
        if self.majority_age is None:
            return self.is_down
        return self.majority_age >= LEADERLESS_AGE


def is_leaderless(answers: Sequence[Answer]) -> bool:
    """Returns whether a majority of the controls is without a leader.

    None of the others may be silent: the next process of the node may take its
    word for all sign-offs, if the process before has used it.

    Args:
      answers: One for each control.
    """
    if any(answer.is_silent for answer in answers):
        return False
    leaderless = sum(answer.is_leaderless for answer in answers)
    return leaderless > len(answers) / 2


def steady_time(answers: Sequence[Answer]) -> float:
    """Returns the seconds for which some majority has had a leader.

    Args:
      answers: One for each control.
    """
    if not answers:
        return 0.0
    times = sorted((answer.steady_for for answer in answers), reverse=True)
    return times[len(times) // 2]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Contact:
    """The contact of a control with a majority, as it knows itself.

    Attributes:
      steady_since: Monotonic seconds; negative infinity if there has been no
        earlier process whose acknowledgements may be unknown.
      had_majority: Whether it has ever been in contact with one.
    """

    steady_since: float
    had_majority: bool = False


def started(now: float) -> Contact:
    """Returns the contact of a control whose process starts."""
    return Contact(steady_since=now)


def on_age(
    contact: Contact, majority_age: float, *, founds: bool, now: float
) -> Contact:
    """Updates the contact; called before the age is told to others.

    Args:
      contact: The contact before.
      majority_age: Seconds since contact with a majority.
      founds: Whether the process has seen the first start of the fleet, or
        waits for it. Before a node has had contact with the controls, it
        acknowledges nothing that is not committed.
      now: Monotonic seconds.
    """
    if majority_age < LEADERLESS_AGE:
        return dataclasses.replace(contact, had_majority=True)
    if founds and not contact.had_majority:
        return dataclasses.replace(contact, steady_since=float("-inf"))
    return dataclasses.replace(contact, steady_since=now)


def steady_for(contact: Contact, now: float) -> float:
    """Returns the seconds for which a control has been in contact."""
    if not contact.had_majority:
        return 0.0
    return min(1e6, now - contact.steady_since)
