"""Faults that are added to a plan, each kind by a draw of its own.

- evacuation: data centres are evacuated, one after the other.
- cold: upstreams become cold, some by a restart.
- odd-heads: callers send very many short lines, parts of heads, or several
  heads in one write.
- full-disk: a control can't write while the configuration changes.
- overload: a service has few slots, and its upstreams shed half of the calls.
- data-centre-cut: a data centre is cut off while calls leave it.
"""

from __future__ import annotations

from collections.abc import Iterator
import random

from bench import crowd_forms
from bench.soak import faults
from bench.soak import model

PARTS = (
    "evacuation",
    "cold",
    "odd-heads",
    "full-disk",
    "overload",
    "data-centre-cut",
)
EVACUATED_SECONDS = (1.0, 3.0)  # for which an evacuation is in force
BETWEEN_EVACUATIONS = (2.0, 5.0)  # seconds
COLD_PER_SECOND = 0.3
COLD_RESTARTS = 0.3  # share of the faults of `cold`
MAX_DOWN = 2.0  # seconds until an upstream starts again
ODD_PER_SECOND = 0.3
ODD_CALLERS = (20, 150)  # at a time
ODD_SECONDS = (0.5, 4.0)
SHED_PER_SECOND = 0.2
SHED_SECONDS = (1.0, 4.0)
FULL_SECONDS = 3.0  # for which a disk is full
CUT_SECONDS = (2.0, 6.0)


def draw(
    part: str,
    *,
    source: random.Random,
    latest: float,
    vms: tuple[str, ...],
    controls: tuple[str, ...],
) -> Iterator[tuple[float, faults.Fault]]:
    """Yields the faults of a part, each with its time up to `latest`."""
    data_centres = [f"dc-{number}" for number in range(model.DATA_CENTRES)]
    at = source.uniform(0.5, 2.0)
    match part:
        case "evacuation":
            while at < latest:
                seconds = source.uniform(*EVACUATED_SECONDS)
                yield (
                    at,
                    faults.Evacuate(
                        data_centre=source.choice(data_centres), seconds=seconds
                    ),
                )
                at += model.Bounds().evacuation + seconds
                at += source.uniform(*BETWEEN_EVACUATIONS)
        case "cold":
            for _ in range(round(COLD_PER_SECOND * latest)):
                vm, at = source.choice(vms), source.uniform(1.0, latest)
                restart = faults.RestartUpstream(
                    vm=vm,
                    reports_draining=source.random() < 0.5,
                    down=source.uniform(0.1, MAX_DOWN),
                )
                if source.random() < COLD_RESTARTS:
                    yield at, restart
                else:
                    yield at, faults.TurnCold(vm=vm)
        case "odd-heads":
            for _ in range(round(ODD_PER_SECOND * latest)):
                yield (
                    source.uniform(1.0, latest),
                    faults.OddHeads(
                        vm=source.choice(vms),
                        form=source.choice(crowd_forms.CALLERS_FORMS),
                        count=source.randint(*ODD_CALLERS),
                        seconds=source.uniform(*ODD_SECONDS),
                    ),
                )
        case "full-disk":
            fault = faults.FillDisk(
                vm=source.choice(controls), seconds=FULL_SECONDS
            )
            yield source.uniform(1.0, latest), fault
        case "overload":
            for _ in range(round(SHED_PER_SECOND * latest)):
                yield (
                    source.uniform(1.0, latest),
                    faults.Spoil(
                        vm=source.choice(vms[1::2]),  # of the narrow service
                        how=faults.ShedHalf(),
                        seconds=source.uniform(*SHED_SECONDS),
                    ),
                )
        case "data-centre-cut":
            yield (
                source.uniform(1.0, latest),
                faults.CutDataCentre(
                    data_centre=source.choice(data_centres),
                    seconds=source.uniform(*CUT_SECONDS),
                ),
            )
