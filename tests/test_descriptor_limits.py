"""Callers that take all descriptors of a process must not end or block it.

Many clients connect to a process with a low limit on its open descriptors: more
clients than descriptors that stay, clients that open and close connections, and
clients that fill the queue of connections to be accepted. Each test starts a
control and a node as processes and lets a crowd in.
"""

from __future__ import annotations

from bench import crowd_forms
from bench import crowds
import pytest

LIMIT = 120  # RLIMIT_NOFILE of each process; about 14 are in use at rest
CALLERS = 400  # that stay; more than three times the limit
OPENERS = 100  # that open and close connections, each one after the other
QUEUED = 1500  # that connect while nothing is accepted; the queue takes 1,024
HOLD = 3.0  # seconds that a crowd stays
# Descriptors once the crowd is gone: those at rest, and connections to the
# upstream and between the processes that stay open.
AFTERWARDS = 40


# Guards against a process that ends, or never accepts again, once a connection
# could not be accepted or opened for lack of descriptors.
@pytest.mark.parametrize(
    "form", ["silent", "whole-heads", "announcements", "peers", "rpc"]
)
async def test_more_callers_than_descriptors_leave_the_process_alive(form):
    _check(await _measure(crowd_forms.FORMS[form], CALLERS))


# Guards against descriptors that stay open after connections that ended before
# they were accepted, or before their first byte.
async def test_connections_that_open_and_close_leave_the_process_alive():
    form = crowd_forms.CONNECTION_FORMS["open-and-close"]
    _check(await _measure(form, OPENERS))


# Guards against a process that is out of descriptors by the connections that
# waited for it, and turns to no other one.
async def test_a_full_accept_queue_leaves_the_process_alive():
    form = crowd_forms.CONNECTION_FORMS["accept-queue"]
    _check(await _measure(form, QUEUED))


async def _measure(form, count):
    return await crowds.measure(form, count, {}, HOLD, descriptors=LIMIT)


def _check(result):
    assert result.alive
    assert result.descriptors <= LIMIT
    assert result.descriptors_after <= AFTERWARDS
    assert result.status == 200
    assert result.ready
