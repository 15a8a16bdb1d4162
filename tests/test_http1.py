from hypothesis import given
from hypothesis import strategies
import pytest

from sassafrashall import exceptions
from sassafrashall.transport import http1

LIMIT = 4096


def _parse_requests(data, split_points=()):
    parser = http1.RequestParser(head_limit=LIMIT)
    return _feed_split(parser, data, split_points)


def _parse_responses(data, split_points=(), closed=False, without_body=False):
    parser = http1.ResponseParser(head_limit=LIMIT)
    parser.without_body = without_body
    events = _feed_split(parser, data, split_points)
    if closed:
        parser.feed_eof()
        while (event := parser.next_event()) is not None:
            events.append(event)
    return events


def _feed_split(parser, data, split_points):
    events = []
    boundaries = [0, *sorted(split_points), len(data)]
    for start, end in zip(boundaries, boundaries[1:], strict=False):
        parser.feed(data[start:end])
        while (event := parser.next_event()) is not None:
            events.append(event)
    return events


def _merge(events):
    """Merges events into messages: head, whole body and whether it ended."""
    messages = []
    for event in events:
        match event:
            case http1.RequestHead() | http1.ResponseHead():
                messages.append([event, b"", False])
            case http1.BodyPart(data=data):
                messages[-1][1] += data
            case http1.MessageEnd():
                messages[-1][2] = True
    return messages


TWO_REQUESTS = (
    b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
    b"POST /b HTTP/1.1\r\nhost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nde\r\n1;x=y\r\nf\r\n0\r\n\r\n"
)


@given(strategies.lists(strategies.integers(0, len(TWO_REQUESTS)), max_size=12))
def test_requests_parse_the_same_for_any_split_of_the_bytes(split_points):
    first, second = _merge(_parse_requests(TWO_REQUESTS, split_points))
    assert (first[0].target, first[1], first[2]) == ("/a", b"abc", True)
    assert (second[0].target, second[1], second[2]) == ("/b", b"def", True)
    assert first[0].length == 3
    assert second[0].length is None
    assert second[0].headers[0] == ("host", "h")


@given(strategies.binary(max_size=300))
def test_random_bytes_raise_only_protocol_errors(data):
    try:
        events = _parse_requests(data)
    except exceptions.ProtocolError:
        return
    for head, _, _ in _merge(events):
        # An accepted request line has a known method and a target.
        assert head.method.isupper() and head.target


@pytest.mark.parametrize(
    "data",
    [
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
        b"Content-Length: 4\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"zz\r\n",
        b"GET / HTTP/1.1\r\nHost : h\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: h\r\n folded\r\n\r\n",
        b"GET / HTTP/1.1\nHost\x00: h\n\n",
    ],
)
def test_input_that_allows_request_smuggling_is_rejected(data):
    with pytest.raises(exceptions.ProtocolError):
        _parse_requests(data)


UPGRADE = b"Connection: Upgrade\r\nUpgrade: h2c\r\n"


# Guards against an unhandled error, which ended the whole process.
@given(strategies.integers(0, 90))
def test_request_to_upgrade_the_protocol_is_parsed_as_any_other(split_point):
    data = (
        b"GET /a HTTP/1.1\r\nHost: h\r\n" + UPGRADE + b"\r\n"
        b"GET /b HTTP/1.1\r\nHost: h\r\n\r\n"
    )
    first, second = _merge(_parse_requests(data, (split_point,)))
    assert (first[0].target, first[1:]) == ("/a", [b"", True])
    assert (second[0].target, second[1:]) == ("/b", [b"", True])


# Guards against an unhandled error, and against a body taken for a request.
@pytest.mark.parametrize(
    "data",
    [
        b"CONNECT a.example:1 HTTP/1.1\r\nHost: a\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: h\r\n" + UPGRADE + b"Content-Length: 27\r\n"
        b"\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: h\r\n"
        + UPGRADE
        + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ],
)
def test_upgrade_of_a_request_with_a_body_is_rejected(data):
    with pytest.raises(exceptions.ProtocolError):
        _parse_requests(data)


# Guards against an unhandled error, which ended the whole process.
def test_response_that_switches_the_protocol_is_rejected():
    with pytest.raises(exceptions.ProtocolError):
        _parse_responses(
            b"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n"
            b"Upgrade: h2c\r\n\r\nbytes"
        )


CHUNKED = b"Host: h\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS_FRAMING = [
    # The beginning, and what follows without end.
    (b"2\r\nok\r\n0\r\n", b"x: a\r\n"),
    (b"2\r\nok\r\n0\r\nx: ", b"aaaa"),
    (b"2;", b"aaaa"),
    (b"", b"1;" + b"a" * 100 + b"\r\nx\r\n"),
]


# Guards against memory and processor time spent without bound.
@pytest.mark.parametrize("beginning, more", ENDLESS_FRAMING)
@pytest.mark.parametrize(
    "parser, line",
    [
        (http1.RequestParser, b"POST / HTTP/1.1\r\n"),
        (http1.ResponseParser, b"HTTP/1.1 200 OK\r\n"),
    ],
)
def test_trailers_and_chunk_extensions_without_end_are_rejected(
    parser, line, beginning, more
):
    parser = parser(head_limit=LIMIT)
    parser.feed(line + CHUNKED + beginning)
    with pytest.raises(exceptions.ProtocolError) as error:
        for _ in range(2 * LIMIT):
            parser.feed(more)
    assert error.value.code == exceptions.HEAD_TOO_LARGE


@pytest.mark.parametrize("feed_size", [1, 7, 1000, 100_000])
def test_long_body_in_chunks_of_one_byte_is_accepted(feed_size):
    count = 4 * LIMIT
    data = CHUNKED + b"1\r\nx\r\n" * count + b"0\r\nTrailer: a\r\n\r\n"
    data = b"HTTP/1.1 200 OK\r\n" + data
    (message,) = _merge(
        _parse_responses(data, range(feed_size, len(data), feed_size))
    )
    assert (len(message[1]), message[2]) == (count, True)
    assert "trailer" not in dict(message[0].headers)


# Guards against a system call, or a frame to another node, for every byte.
def test_parts_of_a_body_that_arrive_together_are_joined():
    data = CHUNKED + b"1\r\nx\r\n" * 1000
    for end, count in ((b"", 2), (b"0\r\n\r\n", 3)):
        response = b"HTTP/1.1 200 OK\r\n" + data + end
        assert len(_parse_responses(response)) == count
        request = b"POST / HTTP/1.1\r\n" + data + end
        assert len(_parse_requests(request)) == count


def test_a_long_head_is_rejected_before_it_is_complete():
    with pytest.raises(exceptions.ProtocolError) as error:
        _parse_requests(
            b"GET / HTTP/1.1\r\nX: " + b"y" * 2 * LIMIT, split_points=(LIMIT,)
        )
    assert error.value.code == exceptions.HEAD_TOO_LARGE


def test_a_response_without_length_ends_with_an_orderly_close():
    data = b"HTTP/1.1 200 OK\r\n\r\nabc"
    assert [m[2] for m in _merge(_parse_responses(data))] == [False]
    assert [m[1:] for m in _merge(_parse_responses(data, closed=True))] == [
        [b"abc", True]
    ]


# Guards against a body that is cut and taken for one that lasts until a close.
@pytest.mark.parametrize("length", [b"5 ", b"5\t", b"5 \t ", b" \t5"])
def test_a_length_with_spaces_around_it_is_a_length(length):
    data = b"HTTP/1.1 200 OK\r\nContent-Length: %b\r\n\r\n" % length
    for body, ended in ((b"abc", False), (b"abcde", True)):
        (message,) = _merge(_parse_responses(data + body, closed=True))
        assert (message[0].length, message[2]) == (5, ended)
        assert not message[0].ends_with_connection


TRANSFER_CODINGS = [
    b"Transfer-Encoding: gzip\r\n",
    b"Transfer-Encoding: gzip, chunked\r\n",
    b"Transfer-Encoding: chunked, gzip\r\n",
    b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
    b"Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n",
]


# Guards against an encoded or framed body that is passed on as a plain one.
@pytest.mark.parametrize("coding", TRANSFER_CODINGS)
def test_a_transfer_coding_other_than_chunked_is_rejected(coding):
    body = b"\r\n3\r\nabc\r\n0\r\n\r\n"
    with pytest.raises(exceptions.ProtocolError):
        _parse_responses(b"HTTP/1.1 200 OK\r\n" + coding + body)
    with pytest.raises(exceptions.ProtocolError):
        _parse_requests(b"POST / HTTP/1.1\r\nHost: h\r\n" + coding + body)


# Guards against bytes before an answer that become part of its body.
@pytest.mark.parametrize("status", [b"000", b"099"])
@pytest.mark.parametrize("framing", [b"", b"Content-Length: 5\r\n"])
def test_a_status_below_100_is_rejected(status, framing):
    data = b"HTTP/1.1 %b None\r\n%b\r\nabcde" % (status, framing)
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    with pytest.raises(exceptions.ProtocolError):
        _parse_responses(data + answer)


@pytest.mark.parametrize("status", [b"600", b"999", b"0200", b"1000"])
def test_a_status_above_599_is_rejected(status):
    data = b"HTTP/1.1 %b None\r\nContent-Length: 2\r\n\r\nok" % status
    with pytest.raises(exceptions.ProtocolError):
        _parse_responses(data)


@pytest.mark.parametrize("status", [b"200", b"599"])
def test_the_first_and_the_last_final_status_are_parsed(status):
    data = b"HTTP/1.1 %b X\r\nContent-Length: 2\r\n\r\nok" % status
    head, *_ = _parse_responses(data)
    assert head.status == int(status)


# Guards against a response whose fate depends on how its bytes are split.
@pytest.mark.parametrize("rest", [b"\0", b"more", b"HTTP/1.1 099 A\r\n\r\n"])
@pytest.mark.parametrize(
    "headers",
    [b"", b"Connection: close\r\n", CHUNKED.replace(b"Host: h\r\n", b"")],
)
def test_a_complete_response_before_invalid_bytes_is_parsed(headers, rest):
    if headers.startswith(b"Transfer"):
        whole = b"HTTP/1.1 200 OK\r\n" + headers + b"2\r\nok\r\n0\r\n\r\n"
    else:
        whole = (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + headers + b"\r\nok"
        )
    parser = http1.ResponseParser(head_limit=LIMIT)
    parser.feed(whole + rest)
    events = [parser.next_event() for _ in range(3)]
    ((_, body, ended),) = _merge(events)
    assert (body, ended) == (b"ok", True)
    assert not parser.at_boundary
    with pytest.raises(exceptions.ProtocolError):
        parser.next_event()


CONFLICTING_FRAMINGS = [
    b"Content-Length: 2\r\nContent-Length: 5\r\n",
    b"Content-Length: 2, 5\r\n",
    b"Content-Length: +2\r\n",
    b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
]


@pytest.mark.parametrize("framing", CONFLICTING_FRAMINGS)
def test_a_response_with_conflicting_framing_is_rejected(framing):
    data = b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n2\r\nok\r\n0\r\n\r\n"
    with pytest.raises(exceptions.ProtocolError):
        _parse_responses(data)


BODIES = [
    (b"", b"abcde"),
    (b"Content-Length: 5\r\n", b"abcde"),
    (b"Transfer-Encoding: chunked\r\n", b"5\r\nabcde\r\n0\r\n\r\n"),
]


@pytest.mark.parametrize("status", [b"204", b"304"])
@pytest.mark.parametrize("framing, body", BODIES)
def test_a_body_of_a_response_that_has_none_is_no_part_of_it(
    framing, body, status
):
    parser = http1.ResponseParser(head_limit=LIMIT)
    parser.feed(b"HTTP/1.1 %b X\r\n%b\r\n%b" % (status, framing, body))
    events = [parser.next_event(), parser.next_event()]
    assert [message[1:] for message in _merge(events)] == [[b"", True]]
    assert not parser.at_boundary
    with pytest.raises(exceptions.ProtocolError):
        parser.next_event()


@pytest.mark.parametrize("framing, body", BODIES)
def test_a_body_of_an_interim_response_is_rejected(framing, body):
    data = b"HTTP/1.1 102 Processing\r\n%b\r\n%b" % (framing, body)
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    with pytest.raises(exceptions.ProtocolError):
        _parse_responses(data + answer)


def test_a_body_shorter_than_its_length_does_not_end():
    data = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc"
    assert [m[2] for m in _merge(_parse_responses(data, closed=True))] == [
        False
    ]


def test_interim_responses_are_skipped():
    data = (
        b"HTTP/1.1 102 Processing\r\n\r\n"
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    )
    (message,) = _merge(_parse_responses(data))
    assert message[0].status == 200 and message[2]


def test_bytes_after_a_response_are_detected():
    parser = http1.ResponseParser(head_limit=LIMIT)
    whole = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"
    _feed_split(parser, whole, ())
    assert parser.at_boundary
    _feed_split(parser, b"HTTP/1.1 2", ())
    assert not parser.at_boundary


def test_a_response_to_head_has_a_length_and_no_body():
    data = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
    (message,) = _merge(_parse_responses(data, without_body=True))
    assert message[0].length == 5 and message[2]
