"""Counters and gauges of one process, rendered for a scraper."""

from __future__ import annotations

from typing import Any
from typing import TypeAlias

import aioprometheus
from aioprometheus import renderer

_Key: TypeAlias = tuple[str, tuple[tuple[str, str], ...]]


class Count:
    """One counter with its labels, resolved once."""

    def __init__(self, *, totals: dict[_Key, float], key: _Key) -> None:
        self._totals = totals
        self._key = key

    def increment(self) -> None:
        """Adds one."""
        self._totals[self._key] = self._totals.get(self._key, 0) + 1


class Metrics:
    """The registry of one process."""

    def __init__(self, *, process: str, data_centre: str) -> None:
        self._registry = aioprometheus.Registry()
        self._labels = {"vm": process, "data_centre": data_centre}
        self._counters: dict[str, aioprometheus.Counter] = {}
        self._gauges: dict[str, aioprometheus.Gauge] = {}
        self._totals: dict[_Key, float] = {}

    def handle(self, name: str, **labels: str) -> Count:
        """Returns a counter for what is counted with every request."""
        return Count(
            totals=self._totals, key=(name, tuple(sorted(labels.items())))
        )

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds `amount` to the counter `name`."""
        key = (name, tuple(sorted(labels.items())))
        self._totals[key] = self._totals.get(key, 0) + amount

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Sets the gauge `name`."""
        if name not in self._gauges:
            self._gauges[name] = self._new(aioprometheus.Gauge, name)
        self._gauges[name].set(labels, value)

    def total(self, name: str) -> float:
        """Returns the sum of the counter `name` over its labels."""
        return sum(v for (key, _), v in self._totals.items() if key == name)

    def render(self) -> tuple[str, bytes]:
        """Returns the content type and the page for a scraper.

        The totals move into the library's counters here, so that counting
        on the request path costs one dictionary access.
        """
        for (name, labels), value in self._totals.items():
            if name not in self._counters:
                self._counters[name] = self._new(aioprometheus.Counter, name)
            self._counters[name].set(dict(labels), value)
        content, headers = renderer.render(self._registry, ["text/plain"])
        return headers["Content-Type"], content

    def _new(self, kind: Any, name: str) -> Any:
        doc = name.replace("_", " ")
        return kind(
            f"sassafrashall_{name}",
            doc,
            const_labels=self._labels,
            registry=self._registry,
        )
