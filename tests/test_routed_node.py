"""End-to-end tests of a routed fleet in one process, over real sockets."""

import collections
import contextlib
import json

from bench import routed
import pytest
import trio

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import logs
from sassafrashall import messages
from sassafrashall import model
from sassafrashall import routed_node
from sassafrashall import settings
from sassafrashall.controllers import peer_links
from sassafrashall.filters import slots
from sassafrashall.transport import frames
from sassafrashall.transport import http
from sassafrashall.transport import sockets
from tests import fakes
from tests import loopback

KEYS = {"org-a": "key-of-a", "org-b": "key-of-b"}


@contextlib.asynccontextmanager
async def _fleet(document=None, **fields):
    fields.setdefault("services", {"vm-a": "alpha", "vm-b": "beta"})
    document = document or routed.document(services=("alpha", "beta"))
    async with routed.running(document, **fields) as fleet:
        yield fleet


async def test_a_request_reaches_the_upstream_of_its_route():
    async with _fleet() as fleet:
        response = await fleet.get(path="/some/path?q=1")
        (seen,) = fleet.upstreams["vm-b"].requests
    assert (response.status, response.body) == (200, b"answer to ")
    assert model.find_header(response.headers, "response-signature") == "of-r1"
    assert seen.target == "/some/path?q=1"
    assert model.find_header(seen.headers, "host") == "beta.example"
    assert model.find_header(seen.headers, "caller-service") == "alpha"
    assert model.find_header(seen.headers, "target-instance") == (
        fleet.upstreams["vm-b"].incarnation
    )
    assert int(model.find_header(seen.headers, "request-deadline")) <= 5000


async def test_the_upstream_on_the_same_vm_is_reached():
    async with _fleet() as fleet:
        response = await fleet.get(host="alpha.example")
        assert response.status == 200
        assert len(fleet.upstreams["vm-a"].requests) == 1


async def test_an_unknown_host_or_path_is_404():
    document = routed.document(services=("beta",), path_prefix="/known/")
    async with _fleet(document) as fleet:
        assert (await fleet.get(host="other.example")).status == 404
        assert (await fleet.get(path="/unknown/")).status == 404
        assert (await fleet.get(path="/known/x")).status == 200


async def test_the_key_determines_the_organisation_and_is_not_passed_on():
    document = routed.document(services=("beta",), keys=KEYS)
    async with _fleet(document) as fleet:
        refused = await fleet.get()
        wrong = await fleet.get(("authorization", "Bearer nobody"))
        served = await fleet.get(
            ("authorization", "Bearer key-of-a"),
            ("tenant-id", "org-b"),
            ("caller-service", "forged"),
            ("target-instance", "forged"),
            ("x-copy", "the key-of-a again"),
        )
        (seen,) = fleet.upstreams["vm-b"].requests
    assert (refused.status, wrong.status, served.status) == (401, 401, 200)
    organisations = [v for name, v in seen.headers if name == "tenant-id"]
    assert organisations == ["org-a"]
    callers = [v for name, v in seen.headers if name == "caller-service"]
    assert callers == ["alpha"]
    assert not [v for _, v in seen.headers if "key-of-a" in v or v == "forged"]


async def test_keys_are_refused_on_stale_configuration_open_routes_are_not():
    document = routed.document(services=("alpha", "beta"), keys=KEYS)
    document["routes"]["r-alpha"]["public"] = True
    async with _fleet(document) as fleet:
        key = ("authorization", "Bearer key-of-a")
        assert (await fleet.get(key)).status == 200
        await fleet.controls[0].close()
        with trio.fail_after(8):
            while (await fleet.get(key)).status == 200:
                await trio.sleep(0.1)
        stale = await fleet.get(key)
        assert stale.status == 503
        assert json.loads(stale.body)["code"] == "stale_configuration"
        assert (await fleet.get(host="alpha.example")).status == 200


async def test_a_withdrawn_key_is_refused_once_the_change_is_in_force():
    document = routed.document(services=("beta",), keys=KEYS)
    async with _fleet(document) as fleet:
        key = ("authorization", "Bearer key-of-a")
        assert (await fleet.get(key)).status == 200
        changed = routed.document(
            version="r2", services=("beta",), keys={"org-b": "key-of-b"}
        )
        assert (
            await fleet.put_configuration(changed, match="r1")
        ).status == 200
        with trio.fail_after(2):
            while (await fleet.get(key)).status != 401:
                await trio.sleep(0.05)


async def test_long_bodies_are_streamed_in_both_directions():
    body = bytes(range(256)) * 8192

    def echo(raw):
        request_id = model.find_header(raw.headers, "request-id")
        return model.Response(
            status=200, headers=(("request-id", request_id),), body=raw.body
        )

    async with _fleet() as fleet:
        fleet.upstreams["vm-b"].answer = echo
        # The fake upstream accepts bodies of up to 1 MiB.
        sent = body[: 1 << 20]
        for vm in ("vm-a", "vm-b"):
            response = await routed.send(
                fleet.callers[vm],
                "POST",
                "/x",
                headers=(("request-id", "r1"),),
                body=sent,
                host="beta.example",
            )
            assert response.status == 200
            assert response.body == sent


async def test_a_caller_that_disconnects_cancels_its_request():
    async with _fleet() as fleet:
        upstream = fleet.upstreams["vm-b"]
        upstream.delay = 5.0
        with trio.move_on_after(0.5):
            await fleet.get()
        with trio.fail_after(0.5):
            while not upstream.cancelled:
                await trio.sleep(0.01)


async def test_the_timeout_of_the_route_ends_the_request():
    document = routed.document(services=("beta",), timeout="300ms")
    async with _fleet(document) as fleet:
        upstream = fleet.upstreams["vm-b"]
        upstream.delay = 5.0
        began = clock.monotonic()
        response = await fleet.get()
        assert response.status == 504
        assert 0.25 < clock.monotonic() - began < 0.8
        with trio.fail_after(0.5):
            while not upstream.cancelled:
                await trio.sleep(0.01)


async def test_a_request_that_expires_in_the_queue_has_not_run():
    document = routed.document(
        services=("beta",), route_type="non_idempotent", timeout="200ms"
    )
    async with _fleet(document) as fleet:
        upstream = fleet.upstreams["vm-b"]
        upstream.slots = 1
        assert await upstream.announce() == 200
        upstream.delay = 5.0
        results = []

        async def send_request(vm):
            response = await fleet.get(vm=vm)
            results.append((response.status, json.loads(response.body)["run"]))

        async with trio.open_nursery() as nursery:
            # One request comes from the VM of the upstream, one from another
            # VM: one of them runs and the other waits for the slot.
            for vm in ("vm-b", "vm-a"):
                nursery.start_soon(send_request, vm)
        assert sorted(results) == [(503, "not-run"), (504, "unknown")]
        assert len(upstream.requests) == 1
        results.clear()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_request, "vm-b")
            nursery.start_soon(send_request, "vm-b")
        assert sorted(results) == [(503, "not-run"), (504, "unknown")]


def _refuse(raw):
    request_id = model.find_header(raw.headers, "request-id")
    return model.Response(
        status=503,
        headers=(("not-executed", "1"), ("request-id", request_id)),
        body=b"",
    )


async def test_a_request_that_was_not_run_is_retried_on_another_upstream():
    services = {"vm-a": "alpha", "vm-b": "beta", "vm-c": "beta"}
    async with _fleet(services=services) as fleet:
        # Retry tokens are earned by requests; a new node has none.
        for _ in range(40):
            assert (await fleet.get()).status == 200
        fleet.upstreams["vm-b"].answer = _refuse
        refusing = fleet.upstreams["vm-b"].requests
        before = len(refusing)
        with trio.fail_after(5):
            while len(refusing) < before + 3:
                assert (await fleet.get()).status == 200


async def test_a_refusal_by_every_upstream_has_a_retry_after_header():
    async with _fleet() as fleet:
        fleet.upstreams["vm-b"].answer = lambda raw: model.Response(
            status=503, headers=(("not-executed", "1"),), body=b""
        )
        response = await fleet.get()
        assert response.status == 503
        assert float(model.find_header(response.headers, "retry-after")) > 0
        assert json.loads(response.body)["run"] == "not-run"


async def test_a_request_that_may_have_run_is_not_sent_again():
    document = routed.document(
        services=("beta",), route_type="non_idempotent", max_attempts=3
    )
    services = {"vm-a": "alpha", "vm-b": "beta", "vm-c": "beta"}
    async with _fleet(document, services=services) as fleet:

        def broken(raw):
            # The server of the fake upstream closes the connection without
            # an answer.
            raise trio.BrokenResourceError

        for vm in ("vm-b", "vm-c"):
            fleet.upstreams[vm].answer = broken
        response = await fleet.get()
        seen = [len(fleet.upstreams[vm].requests) for vm in ("vm-b", "vm-c")]
        assert response.status == 502
        assert sum(seen) == 1


async def test_a_draining_upstream_gets_no_new_requests():
    services = {"vm-a": "alpha", "vm-b": "beta", "vm-c": "beta"}
    async with _fleet(services=services) as fleet:
        leaving = fleet.upstreams["vm-b"]
        leaving.state = "draining"
        assert await leaving.announce() == 200
        before = len(leaving.requests)
        statuses = [(await fleet.get()).status for _ in range(8)]
        assert set(statuses) == {200}
        assert len(leaving.requests) == before


async def test_late_and_invalid_heartbeats_are_ignored():
    async with _fleet() as fleet:
        upstream = fleet.upstreams["vm-b"]
        assert await upstream.announce(info="text") == 400
        assert await upstream.announce(address="10.0.0.1:1") == 400
        late = upstream.heartbeat()
        upstream.state = "draining"
        assert await upstream.announce() == 200
        await routed.send(
            upstream.announce_to,
            "PUT",
            f"/-/instances/{upstream.incarnation}",
            body=late,
        )
        response = await fleet.get()
        assert response.status == 503


async def test_a_late_heartbeat_does_not_restore_an_upstream_that_left():
    async with _fleet() as fleet:
        upstream = fleet.upstreams["vm-b"]
        late = upstream.heartbeat()
        await upstream.leave()
        await routed.send(
            upstream.announce_to,
            "PUT",
            f"/-/instances/{upstream.incarnation}",
            body=late,
        )
        assert (await fleet.get()).status == 503


async def test_a_stopping_node_finishes_requests_in_progress():
    async with _fleet() as fleet:
        fleet.upstreams["vm-b"].delay = 1.0
        statuses = []

        async def send_request(vm):
            statuses.append((await fleet.get(vm=vm)).status)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_request, "vm-a")
            nursery.start_soon(send_request, "vm-b")
            await trio.sleep(0.3)
            nursery.start_soon(fleet.nodes["vm-b"].close)
            await trio.sleep(0.3)
            ready = await routed.send(
                fleet.readiness["vm-b"], "GET", "/-/readiness"
            )
            assert ready.status == 503
        assert statuses == [200, 200]


async def test_requests_at_the_end_of_the_grace_period_are_answered(
    monkeypatch,
):
    """The upstream is silent, so no request ends before the node must stop."""
    monkeypatch.setattr(routed_node, "LEAVE_DELAY", 0.3)
    document = routed.document(services=("beta",), timeout="30s")
    async with _fleet(document, grace=1.5) as fleet:
        upstream = fleet.upstreams["vm-b"]
        upstream.slots = 2
        assert await upstream.announce() == 200
        upstream.delay = 30.0
        responses = {}

        async def send_request(vm, request_id):
            responses[request_id] = await routed.send(
                fleet.callers[vm],
                "GET",
                "/x",
                headers=(("request-id", request_id),),
                host="beta.example",
            )

        async with trio.open_nursery() as nursery:
            # The third request waits for a slot of the upstream.
            for number, vm in enumerate(("vm-a", "vm-b", "vm-b")):
                nursery.start_soon(send_request, vm, f"r{number}")
                await trio.sleep(0.1)
            with trio.fail_after(fleet.grace):
                await fleet.nodes["vm-b"].close()
        ran = {
            model.find_header(raw.headers, "request-id")
            for raw in upstream.requests
        }
    assert ran == {"r0", "r1"}
    statuses = {name: r.status for name, r in responses.items()}
    assert statuses == {"r0": 502, "r1": 502, "r2": 503}


async def _read_response(stream, received=b""):
    """Returns the status and the whole response, of bytes that may be there."""
    while b"\r\n\r\n" not in received:
        data = await stream.receive_some(65536)
        assert data, received
        received += data
    head, _, body = received.partition(b"\r\n\r\n")
    headers = dict(
        line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:]
    )
    length = int(headers[b"content-length"])
    while len(body) < length:
        data = await stream.receive_some(65536)
        assert data, f"{len(body)} of {length} bytes of the body"
        body += data
    return int(head.split()[1]), body


# Guards against a stop that cuts answers which are being streamed.
@pytest.mark.parametrize("stopped", ["vm-a", "vm-b"])
async def test_a_stop_completes_a_streamed_answer(monkeypatch, stopped):
    """The caller reads the answer only after a while of the stop."""
    monkeypatch.setattr(routed_node, "LEAVE_DELAY", 0.2)
    size = 16 << 20
    async with _fleet(grace=5.0) as fleet:
        fleet.upstreams["vm-b"].answer = lambda raw: model.Response(
            status=200,
            headers=(
                ("request-id", "r1"),
                ("response-signature", "of-r1"),
            ),
            body=bytes(size),
        )
        address = fleet.callers["vm-a"]
        stream = await trio.open_tcp_stream(address.host, address.port)
        await stream.send_all(_head("GET"))
        received = await stream.receive_some(1024)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.nodes[stopped].close)
            await trio.sleep(0.8)
            status, body = await _read_response(stream, received)
        await stream.aclose()
    assert (status, len(body)) == (200, size)


# Guards against a stop that cuts requests which are still being received.
@pytest.mark.parametrize(
    ("size", "sent", "status"),
    [
        # A long body is passed on as it arrives, a short one once it is there.
        (200_000, 100_000, 200),
        (20_000, 10_000, 503),
        (20_000, -30, 503),
    ],
)
async def test_a_stop_answers_a_request_that_is_being_received(
    monkeypatch, size, sent, status
):
    monkeypatch.setattr(routed_node, "LEAVE_DELAY", 0.2)
    request = _head("POST", f"Content-Length: {size}\r\n") + bytes(size)
    position = len(request) - size + sent
    async with _fleet(grace=5.0) as fleet:
        address = fleet.callers["vm-a"]
        stream = await trio.open_tcp_stream(address.host, address.port)
        await stream.send_all(request[:position])
        await trio.sleep(0.1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.nodes["vm-a"].close)
            await trio.sleep(0.8)
            await stream.send_all(request[position:])
            response, body = await _read_response(stream)
        await stream.aclose()
        ran = len(fleet.upstreams["vm-b"].requests)
    assert response == status, body
    assert ran == (status == 200)


# Guards against a stop that drops the second of two pipelined requests.
async def test_a_stop_leaves_no_pipelined_request_half_done(monkeypatch):
    """The second one is not passed on, since the first response closes."""
    monkeypatch.setattr(routed_node, "LEAVE_DELAY", 0.2)
    async with _fleet(grace=5.0) as fleet:
        upstream = fleet.upstreams["vm-b"]
        upstream.delay = 0.8
        address = fleet.callers["vm-a"]
        stream = await trio.open_tcp_stream(address.host, address.port)
        await stream.send_all(_head("GET") + _head("GET"))
        await trio.sleep(0.1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.nodes["vm-a"].close)
            status, _ = await _read_response(stream)
        await stream.aclose()
    assert status == 200
    assert len(upstream.requests) == 1


def _head(method, headers=""):
    return (
        f"{method} /x HTTP/1.1\r\nHost: beta.example\r\n"
        f"Request-Id: r1\r\n{headers}\r\n"
    ).encode()


# Guards against calls that end without a line in any node's log.
@pytest.mark.parametrize(
    ("ends", "reason"),
    [
        ("caller", "the calling node cancelled the call"),
        ("link", "the connection to the calling node has ended"),
    ],
)
async def test_a_cancelled_call_is_logged_with_its_reason(caplog, ends, reason):
    caplog.set_level("INFO", logger=logs.LOGGER_NAME)
    async with _fleet() as fleet:
        fleet.upstreams["vm-b"].delay = 30.0
        record = fleet.nodes["vm-a"].membership.view.value.records["vm-b"]
        stream = await sockets.connect(record.peer_address)
        proof = peer_links.hello_proof("vm-x", routed.SECRET.encode())
        hello = frames.Hello(vm="vm-x", proof=proof)
        call = fakes.open_call(
            service="beta",
            root_id="r1",
            headers=(("host", "beta.example"),),
            confirm=False,
        )
        stream.send_nowait(frames.encode(hello) + frames.encode(call))
        with trio.fail_after(2):
            while not fleet.upstreams["vm-b"].requests:
                await trio.sleep(0.02)
        match ends:
            case "caller":
                cancel = frames.CancelCall(call=call.call)
                stream.send_nowait(frames.encode(cancel))
            case "link":
                stream.close()
        lines = []
        with trio.move_on_after(2):
            while not lines:
                await trio.sleep(0.02)
                lines = [
                    line
                    for line in caplog.records
                    if line.message == "request cancelled"
                ]
        stream.close()
    (line,) = lines
    assert (line.step, line.request_id) == ("worker", "r1")
    assert line.reason == reason


# Guards against passing a request on that the stop has to break off.
async def test_a_stopping_node_passes_on_only_what_ends_in_time(monkeypatch):
    monkeypatch.setattr(routed_node, "LEAVE_DELAY", 0.3)
    async with _fleet(grace=3.0) as fleet:
        upstream = fleet.upstreams["vm-b"]
        upstream.delay = 1.5
        record = fleet.nodes["vm-b"].membership.view.value.records["vm-a"]
        links = peer_links.PeerLinks(
            vm="vm-x",
            secret=routed.SECRET.encode(),
            counters=fakes.counters(),
        )
        await links.start(fleet.nursery)
        async with trio.open_nursery() as nursery:
            # This request keeps the node from stopping at once.
            nursery.start_soon(fleet.get)
            await trio.sleep(0.1)
            nursery.start_soon(fleet.nodes["vm-a"].close)
            await trio.sleep(0.8)
            upstream.delay = 0.0
            served = await fleet.get(("request-deadline", "500"))
            refused = await fleet.get()
            call = messages.Exchange(
                address=record.peer_address,
                request=fakes.request(),
                ticket=fakes.ticket(service="alpha", remaining_ms=5000),
                deadline=clock.monotonic() + 5.0,
                to_upstream=False,
                confirm=False,
            )
            refused_call = await links.mailbox.ask(call)
        await links.close()
    assert served.status == 200
    assert refused.status == 503
    body = json.loads(refused.body)
    assert (body["code"], body["run"]) == ("stopping", "not-run")
    assert model.find_header(refused.headers, "connection") == "close"
    assert refused_call.code == exceptions.STOPPING
    assert refused_call.run is model.RunState.NOT_RUN
    assert len(upstream.requests) == 2
    assert not fleet.upstreams["vm-a"].requests


# Guards against heartbeats that are read after their controller has ended.
async def test_a_stopped_node_takes_no_heartbeats(monkeypatch):
    monkeypatch.setattr(routed_node, "LEAVE_DELAY", 0.1)
    async with _fleet() as fleet:
        await fleet.nodes["vm-b"].close()
        with pytest.raises(exceptions.ConnectionFailedError) as caught:
            await fleet.upstreams["vm-b"].announce()
    assert not caught.value.maybe_delivered


# Guards against losing requests on connections that callers keep using.
async def test_a_stop_loses_no_request_on_kept_connections(monkeypatch):
    monkeypatch.setattr(routed_node, "LEAVE_DELAY", 0.3)
    async with _fleet(grace=2.0) as fleet:
        upstream = fleet.upstreams["vm-b"]
        upstream.delay = 0.02
        address = fleet.callers["vm-a"]
        stopped = trio.Event()
        lost, statuses = [], collections.Counter()

        async def use_kept_connections(number):
            for count in range(10_000):
                try:
                    connection = await loopback.connect(address)
                except exceptions.ConnectionFailedError:
                    if stopped.is_set():
                        return
                    await trio.sleep(0.01)
                    continue
                request_id = f"{number}-{count}"
                await send_until_closed(connection, request_id)
                await connection.close()

        async def send_until_closed(connection, name):
            for count in range(10_000):
                request_id = f"{name}-{count}"
                try:
                    response = await connection.exchange(
                        _raw_request(request_id)
                    )
                except exceptions.ConnectionFailedError:
                    lost.append(request_id)
                    return
                statuses[response.status] += 1
                if model.find_header(response.headers, "connection") == "close":
                    return

        async with trio.open_nursery() as nursery:
            for number in range(20):
                nursery.start_soon(use_kept_connections, number)
            await trio.sleep(0.3)
            served_before = statuses[200]
            with trio.fail_after(fleet.grace):
                await fleet.nodes["vm-a"].close()
            stopped.set()
    ran = {
        model.find_header(raw.headers, "request-id")
        for raw in upstream.requests
    }
    assert not ran & set(lost)
    assert set(statuses) <= {200, 503}, statuses
    # Requests were served before the stop, and passed on during it.
    assert 0 < served_before < statuses[200]


def _raw_request(request_id):
    return http.RawRequest(
        method="GET",
        target="/x",
        headers=(("host", "beta.example"), ("request-id", request_id)),
        body=b"",
        source=model.Source.CALLER,
        received_at=0.0,
    )


@pytest.mark.parametrize(
    "head",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        b"GET http://beta.example/ HTTP/1.1\r\nHost: beta.example\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: beta.example\r\nContent-Length: 1\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: beta.example\r\nRequest-Deadline: x\r\n\r\n",
        b"\x16\x03\x01\x02\x00 not http at all\r\n\r\n",
    ],
)
async def test_bad_input_is_400_and_reaches_no_upstream(head):
    async with _fleet() as fleet:
        answer = await loopback.send_and_receive(fleet.callers["vm-a"], head)
        assert answer.startswith(b"HTTP/1.1 400 ")
        assert not fleet.upstreams["vm-b"].requests


async def test_a_head_over_the_limit_is_431():
    document = routed.document(services=("beta",))
    document["limits"]["max_header_bytes"] = 1000
    async with _fleet(document) as fleet:
        head = b"GET / HTTP/1.1\r\nHost: beta.example\r\nX: %b\r\n\r\n"
        answer = await loopback.send_and_receive(
            fleet.callers["vm-a"], head % (b"y" * 2000)
        )
        assert answer.startswith(b"HTTP/1.1 431 ")


async def test_a_body_over_the_limit_is_413():
    document = routed.document(services=("beta",))
    document["limits"]["max_body_bytes"] = 1000
    async with _fleet(document) as fleet:
        answer = await loopback.send_and_receive(
            fleet.callers["vm-a"],
            b"POST / HTTP/1.1\r\nHost: beta.example\r\n"
            b"Content-Length: 1001\r\n\r\n",
        )
        assert answer.startswith(b"HTTP/1.1 413 ")


# Guards against shares that are never computed, since the loads of the data
# centres don't reach the nodes.
async def test_nodes_learn_the_load_of_each_service():
    policy = settings.Policy(
        limit="fixed",
        routing="expected-completion",
        retries="arrivals",
        early_shed="none",
    )
    async with _fleet(policy=policy) as fleet:
        summary = fleet.nodes["vm-a"].membership.summary
        with trio.fail_after(5):
            while True:
                assert (await fleet.get()).status == 200
                rooms = {r.service: r for r in summary.value.rooms.values()}
                if "beta" in rooms and rooms["beta"].run_s > 0:
                    break
                await trio.sleep(0.05)
    assert rooms["beta"].slots > 0
    assert 0 <= rooms["beta"].load <= 1


# Guards against 504, after which a client can't repeat the request, for
# requests that have only waited, and against requests that are held past the
# timeout of their route.
@pytest.mark.parametrize("route_type", ["idempotent", "non_idempotent"])
async def test_what_has_only_waited_is_refused_as_not_run_at_the_timeout(
    route_type,
):
    document = routed.document(
        services=("beta",), route_type=route_type, timeout="200ms"
    )
    policy = settings.Policy(
        limit="fixed",
        queue="urgency-first",
        routing="least-loaded",
        retries="arrivals",
        early_shed="none",
    )
    async with _fleet(document, policy=policy) as fleet:
        upstream = fleet.upstreams["vm-b"]
        upstream.slots = 1
        assert await upstream.announce() == 200
        upstream.delay = 5.0
        responses = []
        took = []

        async def send_request(vm, number):
            began = clock.monotonic()
            response = await fleet.get(path=f"/{number}", vm=vm)
            took.append(clock.monotonic() - began)
            responses.append(response)

        async with trio.open_nursery() as nursery:
            for number in range(4):
                for vm in ("vm-a", "vm-b"):
                    nursery.start_soon(send_request, vm, number)
        assert len(upstream.requests) == 1
    statuses = sorted(response.status for response in responses)
    assert statuses == [503] * 7 + [504]
    waits = {
        model.find_header(response.headers, "retry-after")
        for response in responses
        if response.status == 503
    }
    assert None not in waits
    # The bound is that of the whole client call on a machine with other load.
    assert max(took) < 0.5


# Guards against a class that is lost, or that reaches the upstream, on the way
# between nodes, and against one that a caller sets by itself.
async def test_the_class_of_a_root_reaches_the_queue_and_not_the_upstream(
    monkeypatch,
):
    document = routed.document(services=("beta",), keys=KEYS)
    policy = settings.Policy(
        limit="fixed",
        queue="urgency-first",
        routing="least-loaded",
        retries="arrivals",
        early_shed="none",
    )
    admitted = []

    async def record(mailbox, call):
        admitted.append((call.urgency, call.due - clock.monotonic()))
        return await admit(mailbox, call)

    admit = slots.admit
    monkeypatch.setattr(slots, "admit", record)
    async with _fleet(document, policy=policy) as fleet:
        for vm in ("vm-a", "vm-b"):
            response = await fleet.get(
                ("authorization", "Bearer key-of-a"),
                (frames.URGENCY_HEADER, "0 1"),
                vm=vm,
            )
            assert response.status == 200
        seen = fleet.upstreams["vm-b"].requests
    assert len(seen) == 2
    assert not [
        name
        for request in seen
        for name, _ in request.headers
        if name.startswith("sassafrashall")
    ]
    # The target latency of the route is one second.
    for urgency, due_in in admitted:
        assert urgency is model.Priority.NORMAL
        assert 0.2 < due_in < 1.0
    assert len(admitted) == 2
