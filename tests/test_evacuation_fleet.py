"""The evacuation of a data centre in a fleet, over real sockets."""

import contextlib
import json

from bench import routed
import pytest
import trio

from sassafrashall import clock
from sassafrashall import model

SERVICES = {"vm-a": "beta", "vm-b": "beta", "vm-c": "alpha"}
DATA_CENTRES = {"vm-a": "dc-a", "vm-b": "dc-b", "vm-c": "dc-a"}
IN_FORCE = 2.5  # seconds; half of the bound of 5 s


@contextlib.asynccontextmanager
async def _fleet(**fields):
    fields.setdefault("services", SERVICES)
    document = routed.document(services=("alpha", "beta"))
    async with routed.running(
        document, data_centres=DATA_CENTRES, evacuation=5.0, **fields
    ) as fleet:
        yield fleet


async def _reaches(fleet, target, *, within=IN_FORCE):
    """Sends requests from all nodes until only `target` gets them."""
    with trio.fail_after(within + 3):
        began = clock.monotonic()
        while True:
            before = {vm: len(u.requests) for vm, u in fleet.upstreams.items()}
            for vm in fleet.nodes:
                for _ in range(3):
                    assert (await fleet.get(vm=vm)).status == 200
            reached = {
                vm
                for vm, upstream in fleet.upstreams.items()
                if len(upstream.requests) > before[vm]
            }
            if reached == {target}:
                assert clock.monotonic() - began < within
                return
            await trio.sleep(0.05)


async def test_callers_are_served_elsewhere_until_the_evacuation_ends():
    async with _fleet() as fleet:
        for _ in range(2):  # A repeat changes nothing.
            assert (await fleet.evacuate("dc-a")).status == 200
        await _reaches(fleet, "vm-b")
        # No upstream of this service is left.
        refused = await fleet.get(host="alpha.example")
        assert refused.status == 503
        assert json.loads(refused.body)["run"] == "not-run"
        assert float(model.find_header(refused.headers, "retry-after")) > 0
        assert not fleet.upstreams["vm-c"].requests
        status = await fleet.controls[0].status()
        assert status.evacuated == ("dc-a",)
        for _ in range(2):
            assert (await fleet.evacuate("dc-a", method="DELETE")).status == 200
        with trio.fail_after(IN_FORCE):
            while (await fleet.get(host="alpha.example")).status != 200:
                await trio.sleep(0.05)


async def test_a_running_request_is_left_to_finish():
    async with _fleet() as fleet:
        upstream = fleet.upstreams["vm-c"]
        upstream.delay = 2.0
        responses = []

        async def call():
            responses.append(await fleet.get(vm="vm-b", host="alpha.example"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            while not upstream.requests:
                await trio.sleep(0.01)
            assert (await fleet.evacuate("dc-a")).status == 200
        assert [response.status for response in responses] == [200]


async def test_unknown_data_centres_and_methods_are_refused():
    async with _fleet() as fleet:
        unknown = await fleet.evacuate("dc-x")
        assert unknown.status == 404
        assert "dc-a, dc-b" in json.loads(unknown.body)["detail"]
        assert (await fleet.evacuate("dc-x", method="DELETE")).status == 404
        assert (await fleet.evacuate("dc-a", method="PUT")).status == 405


# Guards against a node that sends to its own upstream before it knows of an
# evacuation that began while the node was down.
async def test_a_node_that_starts_knows_of_the_evacuation():
    async with _fleet() as fleet:
        await fleet.nodes["vm-a"].close()
        assert (await fleet.evacuate("dc-a")).status == 200
        before = len(fleet.upstreams["vm-a"].requests)
        await fleet.new_node("vm-a").start(fleet.nursery)
        statuses = []
        with trio.move_on_after(IN_FORCE):
            while True:
                with contextlib.suppress(OSError):
                    statuses.append((await fleet.get()).status)
        assert 200 in statuses
        assert len(fleet.upstreams["vm-a"].requests) == before


# Guards against requests that a node sends after it was suspended, before it
# hears from a control.
async def test_a_node_that_was_suspended_sends_nothing_before_a_proof(
    monkeypatch,
):
    async with _fleet() as fleet:
        await trio.sleep(2)
        gate = fleet.nodes["vm-a"]._evacuation_gate
        assert gate.check_before_send() == ""
        now = clock.monotonic()
        monkeypatch.setattr(clock, "monotonic", lambda: now + 60)
        assert gate.check_before_send() != ""


async def test_any_control_accepts_it_and_a_wiped_one_learns_it():
    async with _fleet(controls=3) as fleet:
        for at, method in enumerate(["POST", "DELETE", "POST"]):
            with trio.fail_after(4):
                while (
                    await fleet.evacuate("dc-a", method=method, at=at)
                ).status != 200:
                    await trio.sleep(0.1)
        await fleet.wipe_control(0, fleet.nursery)
        with trio.fail_after(15):
            while (await fleet.controls[0].status()).evacuated != ("dc-a",):
                await trio.sleep(0.1)
        await _reaches(fleet, "vm-b")


async def test_without_a_majority_it_is_503_within_a_second():
    async with _fleet(controls=3) as fleet:
        for control in fleet.controls[1:]:
            await control.close()
        await trio.sleep(1)
        with trio.fail_after(1):
            assert (await fleet.evacuate("dc-a")).status == 503


# Guards against a cold upstream that gets requests at full speed at the end of
# an evacuation: it had none for a while, and its last heartbeat is from before.
# One that begins and ends between two questions of a node counts as well.
@pytest.mark.parametrize("lasts", [1.5, 0.0])
async def test_upstreams_count_as_cold_at_the_end_of_an_evacuation(lasts):
    document = routed.document(version="r2", services=("alpha", "beta"))
    document["services"]["alpha"] |= {"cold_start": "6s", "cold_per_s": 4.8}
    bounds = {"cold_overage": 1.5, "cold_slack": 8}
    async with _fleet(cold_bounds=bounds) as fleet:
        response = await fleet.put_configuration(document, match="r1")
        assert response.status == 200
        await trio.sleep(1.5)
        gate = fleet.nodes["vm-c"]._admission._cold_gate
        assert not gate.is_cold(clock.monotonic())
        assert (await fleet.evacuate("dc-a")).status == 200
        await trio.sleep(lasts)
        fleet.upstreams["vm-c"].announce_to = fleet.upstreams["vm-a"].address
        assert (await fleet.evacuate("dc-a", method="DELETE")).status == 200
        with trio.fail_after(IN_FORCE):
            while not gate.is_cold(clock.monotonic()):
                await trio.sleep(0.05)


@pytest.mark.parametrize("vm", ["vm-a", "vm-b"])
async def test_requests_that_wait_for_a_slot_are_refused(vm):
    async with _fleet(services={"vm-a": "beta", "vm-b": "alpha"}) as fleet:
        upstream = fleet.upstreams["vm-a"]
        upstream.slots = 1
        assert await upstream.announce() == 200
        upstream.delay = 3.0
        statuses = []

        async def call():
            statuses.append((await fleet.get(vm=vm)).status)

        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(call)
            while not upstream.requests:
                await trio.sleep(0.01)
            assert (await fleet.evacuate("dc-a")).status == 200
        assert sorted(statuses) == [200, 503, 503]
        assert len(upstream.requests) == 1
