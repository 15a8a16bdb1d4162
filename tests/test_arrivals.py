"""When bytes arrived that waited unread in a socket."""

import hypothesis
from hypothesis import strategies

from sassafrashall.decisions import arrivals

START = 100.0


# Pattern: pipelined requests that wait in the socket behind a long response.
def test_bytes_count_from_the_check_that_saw_them_first():
    marks = arrivals.on_check((), 100, START)
    marks = arrivals.on_check(marks, 100, START + 0.2)
    marks = arrivals.on_check(marks, 300, START + 0.4)
    marks, arrived_at = arrivals.on_read(marks, 50, START + 9)
    assert arrived_at == START
    marks, arrived_at = arrivals.on_read(marks, 50, START + 9)
    assert arrived_at == START
    marks, arrived_at = arrivals.on_read(marks, 150, START + 9)
    assert arrived_at == START + 0.4
    # Bytes that no check has seen came with this read at the latest.
    marks, arrived_at = arrivals.on_read(marks, 60, START + 9)
    assert (marks, arrived_at) == ((), START + 9)


def test_bytes_that_no_check_saw_count_from_the_read():
    assert arrivals.on_read((), 10, START) == ((), START)


# Guards against a caller that fills memory with marks, one byte for each check.
def test_marks_are_bounded():
    marks = ()
    for number in range(1000):
        marks = arrivals.on_check(marks, number + 1, START + number)
    assert len(marks) == arrivals.MAX_MARKS
    _, arrived_at = arrivals.on_read(marks, 1000, START + 2000)
    assert arrived_at == START + 999


_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["arrive", "check", "read"]),
        strategies.integers(min_value=1, max_value=50),
    ),
    max_size=300,
)


# Guards against a timeout that ends early: a request stamped before its bytes
# came.
@hypothesis.given(_STEPS)
def test_no_byte_counts_as_earlier_than_it_came(steps):
    marks, now = (), START
    unread = []  # times of arrival
    latest = 0.0
    for kind, size in steps:
        now += 0.01
        match kind:
            case "arrive":
                unread += [now] * size
            case "check":
                marks = arrivals.on_check(marks, len(unread), now)
            case "read" if unread:
                read, unread = unread[:size], unread[size:]
                marks, arrived_at = arrivals.on_read(marks, len(read), now)
                assert read[-1] <= arrived_at <= now
                assert arrived_at >= latest
                latest = arrived_at
