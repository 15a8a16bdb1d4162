"""The order of claim and dispatch under kills, on one schedule.

ADR-021 records a message after its handlers have succeeded, which suits
delivery at least once. A request that may run at most once needs the reverse.
Every submission may be killed between any two of its steps, and the caller
sends it again under the same idempotency key, perhaps while the first one
still runs. Fixed seeds, no sockets.
"""

from __future__ import annotations

import dataclasses
import random
import sys
from typing import TypeAlias

from sassafrashall import reports
from sassafrashall.decisions import fleet_commands
from sassafrashall.decisions import fleet_state

KEYS = 10_000
RESENDS = 2
KILL = 0.1  # chance of a kill before each step
SEEDS = (1, 2, 3)


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoClaim:
    """Dispatches every submission."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClaimAfter:
    """Looks first, dispatches, and records once the upstream has answered."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClaimBefore:
    """Commits the claim, then dispatches."""


Order: TypeAlias = NoClaim | ClaimAfter | ClaimBefore


def steps(order: Order) -> tuple[str, ...]:
    """Returns the steps of a submission."""
    match order:
        case NoClaim():
            return ("run",)
        case ClaimAfter():
            return ("look", "run", "claim")
        case ClaimBefore():
            return ("claim", "run")


class Schedule:
    """The submissions of one key, interleaved and killed at random."""

    def __init__(self, *, order: Order, draws: random.Random) -> None:
        self._order = order
        self._draws = draws
        self._state = fleet_state.FleetState()
        self.runs = 0

    def play(self) -> int:
        """Returns how often the upstream ran the request."""
        left = [list(steps(self._order)) for _ in range(1 + RESENDS)]
        while any(left):
            number = self._draws.choice([n for n, s in enumerate(left) if s])
            if self._draws.random() < KILL or not self._step(
                left[number].pop(0), number
            ):
                left[number] = []
        return self.runs

    def _step(self, step: str, number: int) -> bool:
        """Takes a step and returns whether the submission goes on."""
        match step:
            case "run":
                self.runs += 1
                return True
            case "look":
                return not self._state.claims
            case _:
                claim = fleet_commands.ClaimRequest(
                    claim_id=str(number),
                    organisation="x",
                    idempotency_key="k",
                    fingerprint="f",
                )
                self._state, result = fleet_state.apply(self._state, claim)
                return isinstance(result, fleet_commands.Granted)


def main() -> int:
    """Prints a row for each order."""
    rows = []
    for order in (NoClaim(), ClaimAfter(), ClaimBefore()):
        twice = never = 0
        for seed in SEEDS:
            draws = random.Random(seed)
            for _ in range(KEYS):
                runs = Schedule(order=order, draws=draws).play()
                twice += runs > 1
                never += runs == 0
        total = KEYS * len(SEEDS)
        rows.append(
            (
                type(order).__name__,
                total,
                f"{twice} ({twice / total:.2%})",
                f"{never} ({never / total:.2%})",
            )
        )
    header = ("ORDER", "KEYS", "RAN MORE THAN ONCE", "NEVER RAN")
    print(reports.table(header, rows))
    return 0


if __name__ == "__main__":
    sys.exit(main())
