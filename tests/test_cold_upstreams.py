"""The bound of a cold upstream in a fleet, over real sockets."""

import contextlib
import json

from bench import routed
import trio

from sassafrashall import model
from sassafrashall.decisions import cold_rate
from sassafrashall.transport import http_server

BOUNDS = {"cold_overage": 1.5, "cold_slack": 8}
COUNT = 15  # 4.8 x 1.5 + 8 = 15.2
SERVICES = {"vm-a": "alpha", "vm-b": "beta"}


def _document(version="r1"):
    document = routed.document(version=version, services=("alpha", "beta"))
    document["services"]["beta"] |= {"cold_start": "6s", "cold_per_s": 4.8}
    return document


@contextlib.asynccontextmanager
async def _fleet(services=None, cold=("vm-b",), document=None):
    """Runs a fleet in which the upstreams on the VMs `cold` are cold."""

    def prepare(fleet):
        for vm in cold:
            fleet.upstreams[vm].cold_remaining = "60s"

    async with routed.running(
        document or _document(),
        prepare=prepare,
        services=services or SERVICES,
        cold_bounds=BOUNDS,
    ) as fleet:
        # What the process before a node sent is not known for a while.
        await trio.sleep(cold_rate.WINDOW)
        yield fleet


async def _burst(fleet, seconds, *, callers=8):
    """Sends requests from every node at once; returns the responses."""
    responses = []

    async def call(vm):
        while True:
            responses.append(await fleet.get(vm=vm))

    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            for vm in fleet.nodes:
                for _ in range(callers):
                    nursery.start_soon(call, vm)
    return responses


def _most_in_a_second(times):
    return max(
        (sum(at <= other < at + 1.0 for other in times) for at in times),
        default=0,
    )


# Guards against a crash: 16 to 18 requests in a second reached an upstream that
# may get 15.
async def test_a_cold_upstream_gets_no_more_than_its_bound():
    async with _fleet() as fleet:
        responses = await _burst(fleet, 2.5)
        upstream = fleet.upstreams["vm-b"]
        assert _most_in_a_second(upstream.received_at) <= COUNT
        assert len(upstream.received_at) >= 2 * COUNT
        refused = [r for r in responses if r.status != 200]
        assert {r.status for r in refused} == {503}
        for response in refused:
            assert json.loads(response.body)["run"] == "not-run"
            assert model.find_header(response.headers, "retry-after")


async def test_requests_move_on_to_a_warm_upstream():
    services = SERVICES | {"vm-c": "beta"}
    async with _fleet(services=services) as fleet:
        responses = await _burst(fleet, 1.5, callers=2)
        cold, warm = fleet.upstreams["vm-b"], fleet.upstreams["vm-c"]
        assert {r.status for r in responses} == {200}
        assert _most_in_a_second(cold.received_at) <= COUNT
        assert len(warm.received_at) > len(cold.received_at)


async def test_a_warm_upstream_is_not_limited():
    async with _fleet(cold=()) as fleet:
        responses = await _burst(fleet, 1.0)
        assert {r.status for r in responses} == {200}
        upstream = fleet.upstreams["vm-b"]
        assert _most_in_a_second(upstream.received_at) > 2 * COUNT


async def test_without_a_rate_a_cold_upstream_is_not_limited():
    document = routed.document(services=("alpha", "beta"))
    async with _fleet(document=document) as fleet:
        responses = await _burst(fleet, 0.5)
        assert {r.status for r in responses} == {200}
        assert len(fleet.upstreams["vm-b"].received_at) > 2 * COUNT


# Guards against requests at full speed to an upstream that has started again
# and has not sent a heartbeat yet.
async def test_after_a_refused_connection_the_upstream_counts_as_cold():
    fleet = routed.Fleet(services=SERVICES, cold_bounds=BOUNDS)
    upstream = fleet.upstreams["vm-b"]
    try:
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery, upstreams=False)
            await nursery.start(fleet.upstreams["vm-a"].run)
            async with trio.open_nursery() as first_run:
                await first_run.start(upstream.run)
                await fleet.apply_configuration(_document())
                await trio.sleep(cold_rate.WINDOW)
                assert (await fleet.get()).status == 200
                first_run.cancel_scope.cancel()
            assert (await fleet.get()).status == 503
            server = http_server.Server(
                address=upstream.address,
                handler=upstream.handle,
                source=model.Source.CALLER,
            )
            await server.start(nursery)
            upstream.received_at.clear()
            await _burst(fleet, 1.5)
            nursery.cancel_scope.cancel()
    finally:
        fleet.close()
    assert 0 < _most_in_a_second(upstream.received_at) <= COUNT
