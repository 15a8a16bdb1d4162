"""Counters, gauges and histograms of one process, in Prometheus format."""

from __future__ import annotations

import bisect
from typing import Any
from typing import TypeAlias

import aioprometheus
from aioprometheus import histogram
from aioprometheus import renderer

# Upper bounds of the histogram buckets in seconds. They cover the latency that
# two nodes add, the wait for a slot, and the target latencies and timeouts of
# the routes.
BUCKET_BOUNDS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)

_SeriesKey: TypeAlias = tuple[str, tuple[tuple[str, str], ...]]


class BoundCounter:
    """A counter whose labels were resolved in advance."""

    def __init__(
        self, *, totals: dict[_SeriesKey, float], key: _SeriesKey
    ) -> None:
        self._totals = totals
        self._key = key

    def increment(self) -> None:
        """Adds one."""
        self._totals[self._key] = self._totals.get(self._key, 0) + 1


class BoundHistogram:
    """A histogram of seconds whose labels were resolved in advance."""

    def __init__(self) -> None:
        self._counts = [0] * (len(BUCKET_BOUNDS) + 1)
        self._sum = 0.0

    def observe(self, seconds: float) -> None:
        """Counts one observation."""
        self._counts[bisect.bisect_left(BUCKET_BOUNDS, seconds)] += 1
        self._sum += seconds

    def to_cumulative(self) -> histogram.Histogram:
        """Returns the library's histogram, whose buckets are cumulative."""
        cumulative = histogram.Histogram(*BUCKET_BOUNDS)
        total = 0
        for bound, count in zip(cumulative.buckets, self._counts, strict=True):
            total += count
            cumulative.buckets[bound] = total
        cumulative.observations = total
        cumulative.sum = self._sum
        return cumulative


class Metrics:
    """Metrics registry of one process."""

    def __init__(self, *, process: str, data_centre: str) -> None:
        self._registry = aioprometheus.Registry()
        self._labels = {"vm": process, "data_centre": data_centre}
        self._counters: dict[str, aioprometheus.Counter] = {}
        self._gauges: dict[str, aioprometheus.Gauge] = {}
        self._totals: dict[_SeriesKey, float] = {}
        self._histograms: dict[str, aioprometheus.Histogram] = {}
        self._bound_histograms: dict[_SeriesKey, BoundHistogram] = {}

    def bound_counter(self, name: str, **labels: str) -> BoundCounter:
        """Returns a counter to increment on the request path."""
        return BoundCounter(
            totals=self._totals, key=(name, tuple(sorted(labels.items())))
        )

    def bound_histogram(self, name: str, **labels: str) -> BoundHistogram:
        """Returns a histogram of seconds to update on the request path."""
        key = (name, tuple(sorted(labels.items())))
        return self._bound_histograms.setdefault(key, BoundHistogram())

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Adds `amount` to the counter `name`."""
        key = (name, tuple(sorted(labels.items())))
        self._totals[key] = self._totals.get(key, 0) + amount

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Sets the gauge `name`."""
        if name not in self._gauges:
            self._gauges[name] = self._register(aioprometheus.Gauge, name)
        self._gauges[name].set(labels, value)

    def total(self, name: str) -> float:
        """Returns the sum of the counter `name` over its labels."""
        return sum(v for (key, _), v in self._totals.items() if key == name)

    def render(self) -> tuple[str, bytes]:
        """Returns the content type and the body for a scraper.

        The totals are copied to the library's counters only here, so that
        counting on the request path costs one dictionary access.
        """
        for (name, labels), value in self._totals.items():
            if name not in self._counters:
                self._counters[name] = self._register(
                    aioprometheus.Counter, name
                )
            self._counters[name].set(dict(labels), value)
        for (name, labels), series in self._bound_histograms.items():
            if name not in self._histograms:
                self._histograms[name] = self._register(
                    aioprometheus.Histogram, name
                )
            self._histograms[name].set_value(
                dict(labels), series.to_cumulative()
            )
        content, headers = renderer.render(self._registry, ["text/plain"])
        return headers["Content-Type"], content

    def _register(self, kind: Any, name: str) -> Any:
        doc = name.replace("_", " ")
        return kind(
            f"sassafrashall_{name}",
            doc,
            const_labels=self._labels,
            registry=self._registry,
        )
