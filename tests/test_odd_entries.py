"""Heartbeats and configurations as another writer may leave them.

An entry that can't be true must name no upstream to use, and must change
nothing that is held. What is accepted must be fit to be sent to a control.
"""

from __future__ import annotations

import copy
import json
import struct
import time

from bench import routed
import hypothesis
from hypothesis import strategies
import msgspec
import pytest
import trio.testing

from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import model
from sassafrashall import protocol
from sassafrashall.controllers import node_membership
from sassafrashall.decisions import fleet_commands
from sassafrashall.platform import documents
from sassafrashall.platform import names
from sassafrashall.platform import node_api
from sassafrashall.transport import codec
from sassafrashall.transport import frames
from sassafrashall.transport import http
from sassafrashall.transport import sockets
from tests import fakes

RESPONSE_LIMIT = 64 * 1024  # bytes
ADDRESS = model.Address(host="127.0.0.1", port=1)


def _nested(depth):
    value = 1
    for _ in range(depth):
        value = [value]
    return value


ODD_VALUES = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(min_value=-(2**80), max_value=2**80),
    strategies.sampled_from(
        [
            10**400,
            -(2**63) - 1,
            2**63,
            2**64,
            1e308,
            float("inf"),
            float("nan"),
            "9" * 400 + "s",
            "1e400s",
            "-1s",
            "10.0.0.1:70000",
            "10.0.0.1:0",
            "10.0.0.1:-1",
            "10.0.0.1:" + "9" * 5000,
            "10.0.0.1:\u0663",
            "\ud800",
            "a\0b",
            "a\r\nb: c",
            "x" * 100_000,
            "r" + "9" * 5000,
            [],
            {},
        ]
    ),
    strategies.integers(min_value=1, max_value=950).map(_nested),
    strategies.text(max_size=8),
    strategies.dictionaries(
        strategies.text(max_size=3), strategies.integers(), max_size=2
    ),
)


def _heartbeat():
    return {
        "address": str(ADDRESS),
        "born": 1,
        "info": {"service": "s", "version": "v", "zone": "z", "slots": 4},
        "status": {"state": "ready", "sequence": 4, "cold_remaining": "0ms"},
    }


def _configuration():
    document = routed.document(keys={"org": "secret"})
    document["tenants"]["org"] |= {
        "rate_per_s": 1,
        "burst": 1,
        "priority": 1,
    }
    return document


def _paths(document, path=()):
    for key, value in document.items():
        yield (*path, key)
        if isinstance(value, dict):
            yield from _paths(value, (*path, key))


@strategies.composite
def _odd_documents(draw, make):
    document = copy.deepcopy(make())
    for _ in range(draw(strategies.integers(min_value=1, max_value=3))):
        path = draw(strategies.sampled_from(sorted(_paths(document))))
        parent = document
        for key in path[:-1]:
            parent = parent[key]
        action = draw(strategies.sampled_from(["set", "drop", "add", "rename"]))
        if action == "set":
            parent[path[-1]] = draw(ODD_VALUES)
        elif action == "drop":
            del parent[path[-1]]
        elif action == "rename":
            name = draw(strategies.sampled_from(["\ud800", "", "x" * 9000]))
            parent[name] = parent.pop(path[-1])
        else:
            parent["more"] = draw(ODD_VALUES)
        if not document:
            break
    return json.dumps(document).encode()


_FUZZ = hypothesis.settings(
    derandomize=True, max_examples=400, deadline=None, database=None
)


def _check_findings(error):
    response = node_api.findings_response(400, error.findings)
    assert len(response.body) <= RESPONSE_LIMIT


@_FUZZ
@hypothesis.given(_odd_documents(_heartbeat))
def test_an_odd_heartbeat_is_refused_or_fit_to_be_sent(body):
    try:
        message = node_api.decode(body, "i-1")
    except exceptions.FindingsError as error:
        _check_findings(error)
        return
    record = fakes.node_record(upstream=message.upstream)
    sent = protocol.Heartbeat(
        record=record,
        directory_source="",
        directory_version=0,
        withdrawn_count=0,
    )
    assert codec.decode(codec.encode(sent)) == sent
    codec.to_json([message.started_ms, message.sequence])
    # An upstream gets these in headers.
    message.upstream.service.encode("ascii")


@_FUZZ
@hypothesis.given(_odd_documents(_configuration))
def test_an_odd_configuration_is_refused_or_fit_to_be_stored(body):
    try:
        document = documents.decode(body)
    except exceptions.FindingsError as error:
        _check_findings(error)
        return
    command = fleet_commands.ReplaceConfiguration(
        expect_version=0, document=document, digest="", text=body
    )
    assert codec.decode(codec.encode(command)) == command


@pytest.mark.parametrize(
    "body",
    [
        b"\xff\xfe\x00",
        b"",
        b"[]",
        b'{"a":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
        b'{"born":' + b"9" * 5000 + b"}",
        b'{"born":1e400}',
        b'{"born":NaN}',
        b'{"a":"\\ud800"}',
        b'{"\\ud800":1}',
    ],
)
def test_bytes_that_are_no_document_are_refused(body):
    for decode in (documents.decode, lambda b: node_api.decode(b, "i-1")):
        with pytest.raises(exceptions.FindingsError) as caught:
            decode(body)
        _check_findings(caught.value)


class _Announcer:
    """An upstream, and another writer, that announce to one node."""

    def __init__(self, membership):
        self._membership = membership
        self._handler = node_api.Announcements(
            membership=membership.mailbox, upstream=ADDRESS, address=ADDRESS
        )

    async def announce(self, state, sequence, *, name="i-1", **fields):
        document = _heartbeat() | fields
        document["status"] |= {"state": state, "sequence": sequence}
        return await self._send("PUT", name, json.dumps(document).encode())

    async def sign_off(self, name="i-1"):
        return await self._send("DELETE", name, b"")

    async def send(self, body):
        return await self._send("PUT", "i-1", body)

    async def _send(self, method, name, body):
        response = await self._handler.handle(
            http.RawRequest(
                method=method,
                target=names.INSTANCES_PATH + name,
                headers=(),
                body=body,
                source=model.Source.CALLER,
                received_at=0.0,
            )
        )
        return response.status

    @property
    def state(self):
        upstream = self._membership.local_upstream.value
        return upstream.state if upstream else None


@pytest.fixture
async def announcer():
    link = fakes.ScriptedController(fakes.answer_of_controls)
    membership = node_membership.NodeMembership(
        record=fakes.node_record(),
        link=link.mailbox,
        admission_level=mailbox.Published(initial=-1),
        event_log=fakes.event_log(),
        counters=fakes.counters(),
    )
    async with fakes.started(link, membership):
        # Until the sign-offs are read, heartbeats are held back.
        await trio.testing.wait_all_tasks_blocked()
        yield _Announcer(membership)


ODD_SEQUENCES = [10**23, 2**64, 2**63, 2**53, 10_000, 12]


@pytest.mark.parametrize("sequence", ODD_SEQUENCES)
async def test_a_sign_off_is_followed_after_one_odd_sequence_number(
    announcer, sequence
):
    assert await announcer.announce("ready", 4) == 200
    await announcer.announce("ready", sequence)
    assert await announcer.announce("draining", 5) == 200
    assert announcer.state is model.UpstreamState.DRAINING


@pytest.mark.parametrize("sequence", ODD_SEQUENCES)
async def test_an_upstream_that_drains_is_not_ready_again(announcer, sequence):
    """Its sign-off was acknowledged, so that no other entry may undo it."""
    await announcer.announce("ready", 4)
    await announcer.announce("draining", 5)
    await announcer.announce("ready", sequence)
    assert announcer.state is model.UpstreamState.DRAINING
    # Its next start is another matter.
    assert await announcer.announce("ready", 1, born=2) == 200
    assert announcer.state is model.UpstreamState.READY


async def test_a_start_in_the_future_is_refused(announcer):
    """Later announcements of a true start would count as out of date."""
    now_ms = int(time.time() * 1000)
    assert await announcer.announce("ready", 4, born=now_ms) == 200
    for born in (now_ms + 86_400_000, 2**53, 2**63, 10**30):
        assert await announcer.announce("ready", 5, born=born) == 400
    # Clocks may step.
    assert await announcer.announce("draining", 5, born=now_ms) == 200
    assert announcer.state is model.UpstreamState.DRAINING
    assert await announcer.announce("ready", 1, born=now_ms + 8000) == 200


@pytest.mark.parametrize(
    "name", ["a%0d%0ab:%20c", "%00", "%ff", "a%20b", "x" * 5000, "%F0%9F%98%80"]
)
async def test_an_id_that_fits_no_header_is_refused(announcer, name):
    """It would be sent to the upstream in a header of each request."""
    assert await announcer.announce("ready", 4, name=name) == 400
    assert await announcer.sign_off(name) == 400
    assert announcer.state is None


async def test_an_odd_entry_changes_nothing_that_is_held(announcer):
    await announcer.announce("ready", 4)
    for field, value in [
        ("address", "127.0.0.1:70000"),
        ("address", "127.0.0.1:2"),
        ("born", 2**64),
        ("info", _nested(900)),
        ("status", {"state": _nested(900)}),
        ("status", _nested(900)),
    ]:
        odd = _heartbeat() | {field: value}
        assert await announcer.send(json.dumps(odd).encode()) == 400
    assert await announcer.announce("ready", 10**400) == 400
    assert announcer.state is model.UpstreamState.READY
    assert await announcer.announce("draining", 5) == 200
    assert announcer.state is model.UpstreamState.DRAINING


async def test_an_address_out_of_range_is_a_failed_connection():
    """The record of a node of another build must not end the process."""
    for port in (-1, 70_000, 10**30):
        with pytest.raises(exceptions.ConnectionFailedError) as caught:
            await sockets.connect(model.Address(host="127.0.0.1", port=port))
        assert not caught.value.maybe_delivered
    with pytest.raises(exceptions.ConnectionFailedError):
        await sockets.connect(model.Address(host="no\0host", port=1))


DEEP = b"\x91" * 200_000 + b"\x01"  # arrays within arrays, as MessagePack


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"Ping",
        b"Ping\0",
        b"Ping\0\xc1",
        b"Ping\0" + DEEP,
        b"Ping\0\x81\xa1x" + DEEP,
        b"Heartbeat\0\x81\xa1x" + DEEP,
        b"\xff\xfe\0\x80",
        b"Pong\0\x81\xacmajority_age\xcf" + b"\xff" * 8,
    ],
)
def test_a_message_that_cannot_be_read_is_a_protocol_error(data):
    """It must not end the task of the connection by another exception."""
    try:
        codec.decode(data)
    except exceptions.ProtocolError:
        pass


def test_json_that_is_nested_too_deep_is_a_protocol_error():
    deep = b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
    with pytest.raises(exceptions.ProtocolError):
        codec.from_json(deep, protocol.Ping)


def _frame_bytes(number, body):
    return struct.pack("!IB", len(body), number) + body


@_FUZZ
@hypothesis.given(
    strategies.integers(min_value=0, max_value=20),
    strategies.recursive(
        strategies.one_of(
            strategies.none(),
            strategies.booleans(),
            strategies.integers(min_value=-(2**63), max_value=2**64 - 1),
            strategies.floats(),
            strategies.binary(max_size=8),
            strategies.text(max_size=8),
        ),
        lambda inner: strategies.lists(inner, max_size=18),
        max_leaves=40,
    ),
)
def test_an_odd_frame_is_a_protocol_error(number, value):
    data = _frame_bytes(number, msgspec.msgpack.encode(value))
    try:
        frames.FrameBuffer().feed(data)
    except exceptions.ProtocolError:
        pass


@_FUZZ
@hypothesis.given(strategies.binary(max_size=64))
def test_random_bytes_are_frames_or_a_protocol_error(data):
    try:
        frames.FrameBuffer(limit=64).feed(data)
    except exceptions.ProtocolError:
        pass


# Guards against an upstream that is lost for a value that was ignored before
# there was a bound for cold upstreams.
@pytest.mark.parametrize(
    ("value", "seconds"),
    [
        ("2500ms", 2.5),
        ("0ms", 0.0),
        (0, 0.0),
        (None, None),
        ("soon", None),
        (-1, None),
        ([], None),
    ],
)
def test_the_cold_time_of_a_heartbeat(value, seconds):
    body = _heartbeat()
    body["status"]["cold_remaining"] = value
    message = node_api.decode(json.dumps(body).encode(), "i-1")
    assert message.cold_remaining_s == seconds
