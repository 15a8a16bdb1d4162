"""Which requests of a connection run at once, for callers that pipeline."""

import pytest

from sassafrashall.decisions import pipelining


@pytest.mark.parametrize(
    ("method", "length", "expects", "expected"),
    [
        ("GET", 0, False, True),
        ("HEAD", 0, False, True),
        ("GET", 5, False, False),
        ("GET", None, False, False),
        ("GET", 0, True, False),
        ("POST", 0, False, False),
        ("PUT", 0, False, False),
        ("DELETE", 0, False, False),
        ("OPTIONS", 0, False, False),
    ],
)
def test_only_a_get_or_head_without_a_body_overlaps(
    method, length, expects, expected
):
    assert pipelining.may_overlap(method, length, expects=expects) is expected


def _may_start(
    running,
    *,
    overlaps=True,
    depth=8,
    overlapping=0,
    exclusive=False,
    streaming=False,
    closes=False,
):
    return pipelining.may_start(
        pipelining.Progress(
            running=running,
            exclusive=exclusive,
            streaming=streaming,
            closes=closes,
        ),
        overlaps=overlaps,
        depth=depth,
        overlapping=overlapping,
    )


# Guards against a short request that waits behind the longer ones that its
# caller sent before it.
def test_a_caller_that_pipelines_short_requests_runs_as_many_as_the_depth():
    assert [_may_start(running) for running in range(10)] == [
        *[True] * 8,
        *[False] * 2,
    ]


def test_a_depth_of_one_runs_the_requests_of_a_caller_one_by_one():
    assert _may_start(0, depth=1)
    assert not _may_start(1, depth=1)


# Guards against a request that must not be repeated and runs beside requests
# whose order matters to its caller.
def test_a_caller_that_pipelines_writes_between_reads_runs_them_alone():
    assert _may_start(0, overlaps=False)
    assert not _may_start(1, overlaps=False)
    assert not _may_start(1, exclusive=True)


# Guards against requests that run although their caller sends them again,
# since they were behind a response that closes the connection.
@pytest.mark.parametrize("running", [0, 1])
def test_nothing_starts_behind_the_end_of_a_connection(running):
    assert not _may_start(running, closes=True)


# Guards against requests that are cut off without a response when a download
# before them breaks off.
def test_nothing_starts_behind_a_download():
    assert not _may_start(1, streaming=True)


# Guards against a node that runs out of memory, since very many callers
# pipeline at once and each of them waits for one slow response.
def test_many_callers_that_pipeline_are_bounded_together():
    bound = pipelining.MAX_OVERLAPPING
    assert _may_start(1, overlapping=bound - 1)
    assert not _may_start(1, overlapping=bound)
    assert _may_start(0, overlapping=bound)
