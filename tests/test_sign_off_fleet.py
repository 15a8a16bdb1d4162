"""Sign-offs of an upstream beside restarts of its node and of controls."""

import contextlib
import json
import urllib.parse

from bench import routed
import pytest
import trio

from sassafrashall import messages
from sassafrashall import model
from sassafrashall import protocol
from sassafrashall.decisions import upstream_runs
from sassafrashall.platform import names
from sassafrashall.platform import node_api
from sassafrashall.transport import http
from tests import fakes
from tests import loopback

READY_TIMEOUT = 10.0  # seconds
HEARTBEAT_INTERVAL = 0.5  # seconds
PLATFORM_INTERVAL = 1.5  # seconds between heartbeats there
WATCHED = 2.0  # seconds in which no request may reach the upstream


@contextlib.asynccontextmanager
async def _running():
    services = {"vm-a": "alpha", "vm-b": "alpha", "vm-c": "beta"}
    async with routed.running(
        routed.document(services=("alpha", "beta")),
        services=services,
        controls=3,
    ) as fleet:
        yield fleet


async def _no_heartbeat():
    pass


async def _announce(upstream, body, address=None):
    """Sends a heartbeat and returns the address that the response names."""
    response = await routed.send(
        address or upstream.announce_to,
        "PUT",
        f"/-/instances/{upstream.incarnation}",
        body=body,
    )
    if response.status == 307:
        location = model.find_header(response.headers, "location")
        return urllib.parse.urlsplit(location).netloc
    assert response.status == 200
    return json.loads(response.body).get(names.HEARTBEAT_ADDRESS)


async def _wait_until_steady(fleet):
    """Waits until a majority has had a leader for long enough.

    On a busy machine the controls may be without contact for a moment.
    """
    with trio.fail_after(3 * READY_TIMEOUT):
        while True:
            pongs = [
                await control._fleet_directory.mailbox.ask(protocol.Ping())
                for control in fleet.controls
            ]
            steady = sorted(pong.steady_for for pong in pongs)
            if steady[1] > upstream_runs.SUCCESSION_TIME:
                return
            await trio.sleep(0.1)


async def _restart(fleet, controls, *, is_steady=False):
    """Stops controls and the node of vm-a, and starts them again."""
    for index in controls:
        await fleet.controls[index].close()
    await fleet.nodes["vm-a"].close()
    for index in controls:
        await fleet.start_control(index, fleet.nursery)
    with trio.fail_after(READY_TIMEOUT):
        for index in controls:
            while (await fleet.controls[index].status()).majority_age > 0.5:
                await trio.sleep(0.02)
    if is_steady:
        await _wait_until_steady(fleet)
    await fleet.new_node("vm-a").start(fleet.nursery)


async def _find_follower(fleet):
    """Returns the index of a control that does not lead."""
    for index, control in enumerate(fleet.controls):
        status = await control.status()
        for record in status.controls:
            if record.vm == status.answered_by and record.role == "follower":
                return index
    raise AssertionError("all controls lead")


def _is_followed(fleet):
    return fleet.nodes["vm-a"].membership.local_upstream.value is not None


async def _wait_until_followed(fleet):
    with trio.fail_after(READY_TIMEOUT):
        while not _is_followed(fleet):
            await trio.sleep(0.02)


async def _announce_until_followed(fleet, upstream):
    with trio.fail_after(READY_TIMEOUT):
        while not _is_followed(fleet):
            await _announce(upstream, upstream.heartbeat())
            with trio.move_on_after(HEARTBEAT_INTERVAL):
                await _wait_until_followed(fleet)


@pytest.mark.parametrize("controls", [(0,), (0, 1, 2)])
async def test_a_late_heartbeat_brings_no_upstream_back_that_signed_off(
    controls,
):
    """Guards against requests to an upstream that has signed off.

    Its node and controls restart; then a heartbeat arrives that it had sent
    before it signed off.
    """
    async with _running() as fleet:
        upstream = fleet.upstreams["vm-a"]
        upstream.announce = _no_heartbeat
        late_heartbeat = upstream.heartbeat()
        assert (await upstream.leave()).status == 200
        await _restart(fleet, controls)
        await _announce(upstream, late_heartbeat)
        upstream.requests.clear()
        with trio.move_on_after(WATCHED):
            while True:
                response = await fleet.get(vm="vm-c", host="alpha.example")
                assert response.status == 200
                assert not _is_followed(fleet)
                await trio.sleep(0.02)
        assert not upstream.requests
        # The next run of it is followed.
        upstream.born += 1
        await _announce_until_followed(fleet, upstream)
        with trio.fail_after(READY_TIMEOUT):
            while not upstream.requests:
                await fleet.get(vm="vm-c", host="alpha.example")


async def test_one_heartbeat_suffices_for_an_upstream_that_goes_on():
    """Guards against restarts of a node that leave its upstream unused."""
    async with _running() as fleet:
        upstream = fleet.upstreams["vm-a"]
        upstream.announce = _no_heartbeat
        follower = await _find_follower(fleet)
        await _restart(fleet, (follower,), is_steady=True)
        await _announce(upstream, upstream.heartbeat())
        await _wait_until_followed(fleet)


async def test_an_upstream_that_goes_on_is_followed_after_a_restart_of_all():
    """Guards against a node that goes on doubting its upstream."""
    async with _running() as fleet:
        upstream = fleet.upstreams["vm-a"]
        upstream.announce = _no_heartbeat
        await _restart(fleet, (0, 1, 2))
        with trio.fail_after(upstream_runs.SUCCESSION_TIME + PLATFORM_INTERVAL):
            await _announce_until_followed(fleet, upstream)


@pytest.mark.parametrize("follows", [True, False])
async def test_an_upstream_that_sends_where_it_is_asked_to_is_followed_soon(
    follows,
):
    """Guards against upstreams that wait for 5 s after a restart of all.

    A heartbeat of before the restart can't arrive at an address that only the
    new process tells. It is told by a redirect, and to an upstream that follows
    none in the response to its next heartbeat.
    """
    async with _running() as fleet:
        upstream = fleet.upstreams["vm-a"]
        upstream.announce = _no_heartbeat
        fresh = loopback.free_address()
        fleet.set_heartbeat_ports("vm-a", (fresh.port - 1, fresh.port + 1))
        await _restart(fleet, (0, 1, 2))
        await trio.sleep(node_api.HEARTBEAT_TIMEOUT)
        first = upstream.heartbeat()
        assert await _announce(upstream, first) == str(fresh)
        if not follows:
            first = upstream.heartbeat()
            assert await _announce(upstream, first) == str(fresh)
        assert not _is_followed(fleet)
        told = await _announce(upstream, first, fresh)
        assert _is_followed(fleet)
        assert told == str(upstream.announce_to)
        assert await _announce(upstream, upstream.heartbeat()) is None


# Guards against a heartbeat of before the restart of a node that is redirected
# and taken for one of after it: its sender may wait for up to a second.
async def test_a_redirected_heartbeat_counts_once_those_before_are_given_up():
    fresh = []

    def answer(message):
        fresh.append(message.is_fresh)
        return messages.Announced(is_held_back=True)

    membership = fakes.ScriptedController(answer)
    address = loopback.free_address()
    upstream = routed.Upstream(
        service="s", address=address, announce_to=address
    )
    handler = node_api.Announcements(
        membership=membership.mailbox, upstream=address, address=address
    )
    raw = http.RawRequest(
        method="PUT",
        target=f"{names.INSTANCES_PATH}i-1",
        headers=(),
        body=upstream.heartbeat(),
        source=model.Source.CALLER,
        received_at=0.0,
    )
    async with fakes.started(membership):
        handler.tell_fresh_address(loopback.free_address())
        early = await handler.handle(raw)
        await handler.handle_fresh(raw)
        await trio.sleep(node_api.HEARTBEAT_TIMEOUT)
        late = await handler.handle(raw)
        await handler.handle_fresh(raw)
    assert (early.status, late.status) == (200, 307)
    assert fresh == [False, False, False, True]


# Guards against requests to an upstream whose sign-off was acknowledged while
# no control could commit it: its node is gone, too, before one can.
@pytest.mark.parametrize("repeats", [1, 3])
async def test_a_sign_off_while_all_controls_are_down_holds(repeats):
    async with _running() as fleet:
        upstream = fleet.upstreams["vm-a"]
        upstream.announce = _no_heartbeat
        late_heartbeat = upstream.heartbeat()
        for control in fleet.controls:
            await control.close()
        for _ in range(repeats):
            assert (await upstream.leave()).status == 200
        await _restart(fleet, (0, 1, 2))
        await _announce(upstream, late_heartbeat)
        with trio.move_on_after(WATCHED):
            while not _is_followed(fleet):
                await trio.sleep(0.02)
        assert not _is_followed(fleet)
        upstream.born += 1
        await _announce_until_followed(fleet, upstream)
