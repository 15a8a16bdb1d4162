from sassafrashall.decisions import connection_lifetime

IDLE_TIMEOUT = 15.0
HEAD_TIMEOUT = 3.0


def _idle(timeout=IDLE_TIMEOUT):
    return connection_lifetime.Idle(since=10.0, timeout=timeout)


def _check(activity, now):
    return connection_lifetime.on_check(
        activity, now, IDLE_TIMEOUT, HEAD_TIMEOUT
    )


def test_an_idle_connection_is_closed_after_its_timeout_only():
    idle = _idle()
    assert _check(idle, 25.0) == connection_lifetime.Keep()
    assert _check(idle, 25.5) == connection_lifetime.CloseIdle(idle=15.5)


# Guards against a close of connections that callers may still use after the
# configured idle timeout has changed.
def test_the_longer_of_the_idle_timeouts_before_and_after_a_change_applies():
    for timeout in (IDLE_TIMEOUT / 3, 3 * IDLE_TIMEOUT):
        longer = max(timeout, IDLE_TIMEOUT)
        idle = _idle(timeout)
        assert _check(idle, 10.0 + longer) == connection_lifetime.Keep()
        assert _check(idle, 10.5 + longer) == connection_lifetime.CloseIdle(
            idle=longer + 0.5
        )


def test_an_incomplete_head_is_closed_after_the_shorter_timeout():
    receiving = connection_lifetime.ReceivingHead(since=10.0)
    assert _check(receiving, 13.0) == connection_lifetime.Keep()
    assert _check(receiving, 14.0) == connection_lifetime.CloseIncompleteHead(
        idle=4.0
    )


def test_a_connection_that_serves_a_request_is_never_closed_by_a_check():
    assert _check(connection_lifetime.Serving(), 1e9) == (
        connection_lifetime.Keep()
    )


def test_a_stop_closes_idle_connections_and_lets_the_others_respond():
    assert connection_lifetime.on_stop(
        _idle(), 12.0
    ) == connection_lifetime.CloseIdle(idle=2.0)
    for activity in (
        connection_lifetime.ReceivingHead(since=10.0),
        connection_lifetime.Serving(),
    ):
        assert connection_lifetime.on_stop(activity, 12.0) == (
            connection_lifetime.CloseAfterResponse()
        )


# Guards against requests that meet the close of a connection, since callers do
# not know for how long they may reuse it.
def test_callers_are_told_less_time_than_the_idle_timeout_in_whole_seconds():
    assert connection_lifetime.announced_timeout(15.0) == 12
    assert connection_lifetime.announced_timeout(3.0) == 2
    assert connection_lifetime.announced_timeout(1.0) == 0


# Guards against slow callers that are cut off, and against a connection that is
# held for ever: a body may pause for the longer timeout.
def test_a_body_that_pauses_ends_after_the_longer_timeout():
    receiving = connection_lifetime.ReceivingBody(since=10.0)
    assert _check(receiving, 25.0) == connection_lifetime.Keep()
    ended = connection_lifetime.EndIncompleteBody(idle=16.0)
    assert _check(receiving, 26.0) == ended
    action = connection_lifetime.on_check(receiving, 13.0, 1.0, HEAD_TIMEOUT)
    assert action == connection_lifetime.Keep()
    action = connection_lifetime.on_check(receiving, 13.5, 1.0, HEAD_TIMEOUT)
    assert action == connection_lifetime.EndIncompleteBody(idle=3.5)
