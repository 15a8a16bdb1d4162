import logging

from sassafrashall import connection_log
from sassafrashall import logs
from tests import fakes


def _lines(caplog):
    return [record.message for record in caplog.records]


def test_closures_are_counted_by_place_reason_and_outcome():
    counters = fakes.counters()
    log = connection_log.ConnectionLog(place="callers", counters=counters)
    log.write(connection_log.Closure(reason=connection_log.Reason.IDLE_TIMEOUT))
    log.write(
        connection_log.Closure(
            reason=connection_log.Reason.HANDLER_FAILED, unanswered=True
        )
    )
    text = counters.render()[1].decode()
    assert 'reason="idle_timeout",unanswered="false"' in text
    assert 'reason="handler_failed",unanswered="true"' in text
    assert counters.total("connections_closed") == 2


def test_unanswered_requests_are_logged_when_routine_closures_are_not(
    caplog, monkeypatch
):
    monkeypatch.setattr(logs.get(), "propagate", True)
    log = connection_log.ConnectionLog(place="callers")
    with caplog.at_level(logging.INFO, logger=logs.LOGGER_NAME):
        for _ in range(connection_log.MAX_ROUTINE_LINES + 5):
            log.write(
                connection_log.Closure(
                    reason=connection_log.Reason.IDLE_TIMEOUT
                )
            )
        log.write(
            connection_log.Closure(
                reason=connection_log.Reason.IDLE_TIMEOUT,
                unanswered=True,
                request_id="r1",
                idle_s=15.2,
                delay_s=0.4,
            )
        )
    unanswered = caplog.records[-1]
    assert unanswered.message == "connection closed with an unanswered request"
    assert (unanswered.request_id, unanswered.idle_ms, unanswered.delay_ms) == (
        "r1",
        15200.0,
        400.0,
    )
    # The run may cross the boundary of a second, which allows more lines.
    routine = _lines(caplog).count("connection closed")
    assert routine <= 2 * connection_log.MAX_ROUTINE_LINES
