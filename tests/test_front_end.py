import dataclasses

import pytest

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall.platform import front_end as platform
from sassafrashall.platform import names
from sassafrashall.transport import codec
from sassafrashall.transport import front_end
from sassafrashall.transport import http
from tests import fakes
from tests import loopback

TICKET = fakes.ticket()


def _front_end():
    return front_end.FrontEnd(
        handler=None,
        secret=loopback.SECRET,
        hybrid_clock=clock.HybridClock(),
    )


def _raw_request(*headers, source=model.Source.CALLER, target="/a/b", body=b""):
    return http.RawRequest(
        method="GET",
        target=target,
        headers=(("host", "h"), *headers),
        body=body,
        source=source,
        received_at=0.0,
    )


def test_headers_that_contain_the_key_are_removed():
    request = _front_end().decode(
        _raw_request(
            ("authorization", "Bearer sesame"),
            ("cookie", "k=sesame"),
            ("x-other", "kept"),
        )
    )
    assert request.key == "sesame"
    assert request.headers == (("host", "h"), ("x-other", "kept"))


@pytest.mark.parametrize(
    "extra",
    [
        {"target": "/a?key=sesame"},
        {"target": "/a?key=%73esame"},
        {"body": b"key=sesame"},
    ],
)
def test_a_key_in_the_target_or_body_is_rejected(extra):
    with pytest.raises(exceptions.ProtocolError):
        _front_end().decode(
            _raw_request(("authorization", "Bearer sesame"), **extra)
        )


def test_internal_headers_of_a_caller_are_ignored():
    signed = codec.sign_ticket(TICKET, loopback.SECRET)
    raw = _raw_request(
        (codec.TICKET_HEADER, signed), ("sassafrashall-run", "x")
    )
    request = _front_end().decode(raw)
    assert request.ticket is None and not request.bad_ticket
    assert request.headers == (("host", "h"),)


def test_a_ticket_needs_a_valid_signature():
    signed = codec.sign_ticket(TICKET, loopback.SECRET)
    forged = codec.sign_ticket(TICKET, b"another")
    local = model.Source.LOCAL
    accepted = _front_end().decode(
        _raw_request((codec.TICKET_HEADER, signed), source=local)
    )
    rejected = _front_end().decode(
        _raw_request((codec.TICKET_HEADER, forged), source=local)
    )
    assert accepted.ticket == TICKET
    assert rejected.ticket is None and rejected.bad_ticket


@pytest.mark.parametrize("value", ["-1", "x", "1.5", "9" * 12])
def test_a_malformed_deadline_is_rejected(value):
    with pytest.raises(exceptions.ProtocolError):
        _front_end().decode(_raw_request(("x-deadline-ms", value)))


def test_a_refusal_is_encoded_as_a_problem_document():
    refusal = model.Refuse(
        code=exceptions.OVER_RATE, detail="d", retry_after_s=0.2
    )
    response = _front_end().encode(refusal, model.Source.CALLER, "r1")
    assert response.status == 429
    assert dict(response.headers)["retry-after"] == "1"
    assert dict(response.headers)["sassafrashall-request"] == "r1"
    assert dict(response.headers)["sassafrashall-run"] == "not-run"
    assert codec.decode_refusal(response) == dataclasses.replace(
        refusal, retry_after_s=0.0
    )


async def test_an_exception_of_the_handler_is_a_500_and_serving_continues():
    async def failing_handler(request):
        raise ZeroDivisionError

    async with loopback.serve_typed(failing_handler) as address:
        request = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
        first = await loopback.send_and_receive(address, request)
        second = await loopback.send_and_receive(address, request)
    assert first.startswith(b"HTTP/1.1 500")
    assert second.startswith(b"HTTP/1.1 500")


# Guards against a request whose connection is closed without a response: int
# refuses some digits that isdigit accepts.
@pytest.mark.parametrize("value", ["\xb2", "-1", "1.5", "9" * 10])
def test_invalid_deadline_is_a_protocol_error(value):
    platform_front_end = platform.FrontEnd(handler=None, service="alpha")
    for front, name in (
        (_front_end(), codec.DEADLINE_HEADER),
        (platform_front_end, names.DEADLINE),
    ):
        with pytest.raises(exceptions.ProtocolError):
            front.decode(_raw_request((name, value)))
