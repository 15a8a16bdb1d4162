from __future__ import annotations

import pytest

from sassafrashall.decisions import return_times

IDS = [f"request-{number}" for number in range(1000)]


@pytest.mark.parametrize("fraction", [1.0, 0.5, 0.3, 0.01, 0.0])
def test_callers_refused_together_do_not_return_together(fraction):
    """Pattern: a burst is refused within a moment, and every caller retries.

    Guards against the same burst once more. No tenth of the interval gets much
    more than a tenth of the callers.
    """
    waits = [return_times.retry_after(fraction, name) for name in IDS]
    longest = max(waits)
    assert longest <= return_times.MAX_RETRY_AFTER
    assert min(waits) >= return_times.MIN_RETRY_AFTER * 0.5
    counts = [0] * 10
    for wait in waits:
        counts[min(9, int((wait / longest - 0.5) * 20))] += 1
    assert max(counts) < 0.14 * len(IDS)


def test_callers_return_later_the_less_is_served():
    waits = [
        return_times.retry_after(fraction, "r") for fraction in (1.0, 0.5, 0.3)
    ]
    assert waits == sorted(waits)
    assert len(set(waits)) == 3


def test_the_load_of_an_upstream_says_what_part_it_serves():
    assert return_times.fraction_served(-1, 1000) == 1.0
    assert return_times.fraction_served(500, 1000) == 1.0
    assert return_times.fraction_served(4000, 1000) == 0.25
