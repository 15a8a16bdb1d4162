"""The faults of a soak so far, and where they act."""

from __future__ import annotations

import math

from bench.soak import faults
from bench.soak import model


class History:
    """Knows when faults acted on each VM.

    Attributes:
      bounds: Stated targets.
      contact: Time without a fault after which a process is in touch.
    """

    def __init__(self, bounds: model.Bounds) -> None:
        self.bounds = bounds
        self.contact = bounds.contact
        self._faults: dict[int, model.FaultBegan] = {}
        self._ends: dict[int, float] = {}

    def begin(self, began: model.FaultBegan) -> None:
        """Takes in that a fault acts from now on."""
        self._faults[began.number] = began

    def end(self, number: int, at: float) -> None:
        """Takes in that a fault no longer acts."""
        self._ends[number] = at

    def has_fault(self, began: float, ended: float) -> bool:
        """Whether any fault acted in a span of time."""
        return any(
            fault.at <= ended and self._ends.get(number, math.inf) >= began
            for number, fault in self._faults.items()
        )

    def controls_with_faults(
        self, began: float, ended: float
    ) -> dict[str, list[faults.Fault]]:
        """Returns the faults by control that acted in a span of time."""
        acting: dict[str, list[faults.Fault]] = {}
        for number, fault in self._faults.items():
            if (
                fault.vm.startswith("control")
                and fault.at <= ended
                and self._ends.get(number, math.inf) >= began
            ):
                acting.setdefault(fault.vm, []).append(fault.fault)
        return acting

    def faults_at(
        self, vm: str, began: float, ended: float
    ) -> tuple[model.FaultBegan, ...]:
        """Returns the faults of a VM that acted in a span of time."""
        return tuple(
            fault
            for number, fault in self._faults.items()
            if fault.vm == vm
            and fault.at <= ended
            and self._ends.get(number, math.inf) >= began
        )

    def is_in_touch(self, vm: str, began: float, ended: float) -> bool:
        """Whether a node and all controls ran without a fault.

        A cut leaves a majority of the controls connected, and nodes reach all
        of them: only its begin and its end count. So it is with the cut of a
        data centre for the nodes elsewhere.
        """
        since = began - self.contact
        return not any(
            not self._is_cut_elsewhere(fault, vm)
            or fault.at >= since
            or since <= self._ends.get(number, math.inf) <= ended
            for number, fault in self._faults.items()
            if (fault.vm == vm or fault.vm.startswith("control"))
            and fault.at <= ended
            and self._ends.get(number, math.inf) >= since
        )

    def has_only_cuts(self, vm: str, began: float, ended: float) -> bool:
        """Whether a node and all controls had no fault other than cuts."""
        since = began - self.contact - self.bounds.apply - self.bounds.skew
        return not any(
            not isinstance(fault.fault, faults.CutControls)
            for name in {f.vm for f in self._faults.values()}
            if name == vm or name.startswith("control")
            for fault in self.faults_at(name, since, ended)
        )

    def _is_cut_elsewhere(self, fault: model.FaultBegan, vm: str) -> bool:
        match fault.fault:
            case faults.CutControls():
                return True
            case faults.CutDataCentre(data_centre=data_centre):
                return data_centre != model.data_centre_of(
                    vm, model.DATA_CENTRES
                )
            case _:
                return False
