"""Clients that send very many small parts must not exhaust a process' memory.

A head of 16 KB may have 4,000 lines, each of which is several objects of 50
bytes and more. Hundreds of such heads, each within the limits of the
configuration, ended processes for lack of memory. Each test starts a control
and a node as processes and lets a crowd in.
"""

from __future__ import annotations

from bench import crowd_forms
from bench import crowds
import pytest

CALLERS = 150
MEMORY_MB = 64  # the bound of a process; about 39 MB are in use at rest
HOLD = 2.0  # seconds that the crowd stays; the peak comes within the first
DESCRIPTORS = 250  # bound; about 14 are in use at rest


@pytest.mark.parametrize("form", crowd_forms.FORMS)
async def test_a_crowd_leaves_the_process_within_its_memory(form):
    result = await crowds.measure(
        crowd_forms.FORMS[form], CALLERS, {"memory_mb": MEMORY_MB}, HOLD
    )
    _check(result)


# Guards against requests of one connection that run at once, or wait for each
# other, and are not counted.
@pytest.mark.parametrize("form", ["thirds", "two-heads", "pipelined"])
async def test_a_crowd_that_pipelines_leaves_the_process_within_its_memory(
    form,
):
    result = await crowds.measure(
        crowd_forms.FORMS[form],
        CALLERS,
        {"memory_mb": MEMORY_MB},
        HOLD,
        pipeline_depth=8,
    )
    _check(result)


def _check(result):
    assert result.alive
    assert result.peak_mb <= MEMORY_MB
    assert result.descriptors <= DESCRIPTORS
    assert result.status == 200
    assert result.ready
