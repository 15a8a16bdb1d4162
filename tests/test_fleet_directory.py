"""What a control takes for gone when its own event loop was late."""

import contextlib
import dataclasses
import types

import pytest
import trio

from sassafrashall import clock
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model
from sassafrashall import protocol
from sassafrashall import settings
from sassafrashall.controllers import fleet_directory
from sassafrashall.decisions import demand
from sassafrashall.decisions import node_directory
from sassafrashall.decisions import replication
from sassafrashall.decisions import routing
from sassafrashall.decisions import spillover
from sassafrashall.transport import rpc
from tests import fakes
from tests import loopback

ADDRESS = model.Address(host="127.0.0.1", port=1)
SECRET = "a-secret-of-a-fleet"
CHECK_INTERVAL = fleet_directory.GOSSIP_INTERVAL / 2
MEMBER = replication.Member(
    replica_id="c", vm="vm-c", address=str(ADDRESS), data_centre="x"
)
STATUS = messages.ReplicaStatus(
    member=MEMBER,
    founded=True,
    membership=replication.Membership(),
    role="follower",
    term=1,
    commit=1,
    leader="",
    majority_age=0.0,
)


def _heartbeat(vm, reported=None):
    return protocol.Heartbeat(
        record=fakes.node_record(vm=vm),
        directory_source="",
        directory_version=0,
        withdrawn_count=0,
        demand=reported,
    )


class _Directory:
    """A directory whose time and regular checks the test controls."""

    def __init__(self, *, controller, now):
        self.controller = controller
        self._mailbox = controller.mailbox
        self._now = now

    def run_for(self, seconds):
        """Lets time pass, with all regular checks on time."""
        for _ in range(round(seconds / CHECK_INTERVAL)):
            self.pause_for(CHECK_INTERVAL)

    def pause_for(self, seconds):
        """Lets time pass without a check; the next one runs at its end."""
        self._now[0] += seconds
        self._mailbox.tell(STATUS)

    async def ping(self, **fields):
        return await self._mailbox.ask(protocol.Ping(**fields))

    async def tell_record(self, record):
        return await self._mailbox.ask(protocol.RecordChanged(record=record))

    async def send(self, heartbeat):
        return await self._mailbox.ask(heartbeat)

    async def records(self, vm):
        """Returns VM and counter of the records in the reply to a heartbeat."""
        reply = await self._mailbox.ask(_heartbeat(vm))
        return {(e.record.vm, e.record.counter) for e in reply.entries}

    async def heartbeat(self, vm):
        """Returns the VMs that the reply to a heartbeat lists as lapsed."""
        reply = await self._mailbox.ask(_heartbeat(vm))
        return {entry.record.vm for entry in reply.entries if entry.lapsed}


@pytest.fixture
def now(monkeypatch):
    """The time in seconds, in a list of one."""
    current = [1000.0]
    monkeypatch.setattr(clock, "monotonic", lambda: current[0])
    return current


@contextlib.asynccontextmanager
async def _directory(now, *, members=(), status=None, policy=None):
    async def answer(message):
        if status is None:
            await trio.sleep_forever()
        return status

    replica = fakes.ScriptedController(answer)
    directory = fleet_directory.FleetDirectory(
        settings=types.SimpleNamespace(
            vm="vm-c",
            data_centre="x",
            controls=(),
            fleet_secret=SECRET,
            listen=types.SimpleNamespace(rpc=ADDRESS, ops=ADDRESS),
            policy=policy or settings.Policy(),
        ),
        replica=replica.mailbox,
        view=mailbox.Published(initial=messages.FleetView(members=members)),
        event_log=fakes.event_log(),
        counters=fakes.counters(),
    )
    async with fakes.started(replica), fakes.started(directory):
        yield _Directory(controller=directory, now=now)


# Guards against a control that was paused taking all nodes for gone, whose
# heartbeats it has not read yet, and telling so to the first that it answers.
async def test_a_paused_control_waits_for_heartbeats_before_nodes_lapse(now):
    async with _directory(now) as directory:
        for vm in ("vm-a", "vm-b"):
            await directory.heartbeat(vm)
        directory.run_for(0.5)
        directory.pause_for(node_directory.RECORD_TTL + 2)
        assert await directory.heartbeat("vm-a") == set()
        directory.run_for(0.5)
        assert await directory.heartbeat("vm-b") == set()
        directory.run_for(1.0)
        assert await directory.heartbeat("vm-a") == set()


async def test_a_node_that_stays_silent_lapses_also_after_a_pause(now):
    async with _directory(now) as directory:
        for vm in ("vm-a", "vm-b"):
            await directory.heartbeat(vm)
        directory.run_for(0.5)
        directory.pause_for(node_directory.RECORD_TTL + 2)
        for _ in range(4):
            await directory.heartbeat("vm-a")
            directory.run_for(0.5)
        assert await directory.heartbeat("vm-a") == {"vm-b"}


async def test_a_silent_node_lapses_in_time(now):
    async with _directory(now) as directory:
        for vm in ("vm-a", "vm-b"):
            await directory.heartbeat(vm)
        for _ in range(round(2 * node_directory.RECORD_TTL)):
            directory.run_for(0.5)
            await directory.heartbeat("vm-a")
        assert await directory.heartbeat("vm-a") == {"vm-b"}


# Guards against a data centre whose control is no seed. Its nodes would know no
# upstreams but those of their own data centre.
async def test_a_control_tells_its_nodes_to_members_that_are_no_seeds():
    received = []

    async def receive(message, caller):
        received.append(message)
        return protocol.GossipReply(source="d", control=message.control)

    address = loopback.free_address()
    server = rpc.RpcServer(
        address=address,
        handler=receive,
        secrets={SECRET: rpc.Caller.PROCESS},
        hybrid_clock=clock.HybridClock(),
    )
    member = replication.Member(
        replica_id="d",
        vm="vm-d",
        address=str(address),
        data_centre="y",
    )
    async with trio.open_nursery() as nursery:
        await server.start(nursery)
        async with _directory([0.0], members=(MEMBER, member), status=STATUS):
            with trio.fail_after(5):
                while not received:
                    await trio.sleep(0.01)
        await server.close()
        nursery.cancel_scope.cancel()
    assert received[0].control.vm == "vm-c"


async def test_a_control_tells_whether_the_process_before_used_it(now):
    """Guards against a control that missed what that process acknowledged."""
    async with _directory(now) as directory:

        async def was_in_use(incarnation):
            reply = await directory.controller.mailbox.ask(
                protocol.Heartbeat(
                    record=fakes.node_record(
                        vm="vm-a", incarnation=incarnation
                    ),
                    directory_source="",
                    directory_version=0,
                    withdrawn_count=0,
                )
            )
            return reply.was_in_use

        assert not await was_in_use(5)
        assert not await was_in_use(5)
        directory.run_for(fleet_directory.RESTART_TIME / 2)
        assert await was_in_use(6)
        assert await was_in_use(6)
        assert not await was_in_use(4)
        directory.run_for(fleet_directory.RESTART_TIME + 1)
        assert not await was_in_use(7)


# Guards against a control that looks fresh while its replica waits for the
# disk: the age that it told was that of the last status.
async def test_the_majority_age_grows_without_a_status(now):
    async with _directory(now) as directory:
        directory.run_for(0.5)
        now[0] += 2.0
        pong = await directory.ping()
        assert pong.majority_age == pytest.approx(2.0)
        directory.run_for(0.25)
        pong = await directory.ping()
        assert pong.majority_age == pytest.approx(0.0)


async def test_a_record_that_its_node_tells_spreads_with_heartbeats(now):
    async with _directory(now) as directory:
        told = fakes.node_record(vm="vm-b", counter=7)
        reply = await directory.tell_record(told)
        assert reply == protocol.Ack()
        assert await directory.records("vm-a") >= {("vm-b", 7)}


# Guards against nodes that a control takes for gone, since the control to which
# they send heartbeats is cut off from it.
@pytest.mark.parametrize(("counter", "lapsed"), [(1, set()), (9, {"vm-b"})])
async def test_a_node_that_asks_for_the_revision_does_not_lapse(
    now, counter, lapsed
):
    async with _directory(now) as directory:
        for vm in ("vm-a", "vm-b"):
            await directory.heartbeat(vm)
        for _ in range(round(2 * node_directory.RECORD_TTL)):
            directory.run_for(0.5)
            await directory.heartbeat("vm-a")
            await directory.ping(vm="vm-b", incarnation=1, counter=counter)
        assert await directory.heartbeat("vm-a") == lapsed


def _loaded(vm, data_centre, load, state=model.UpstreamState.READY, run_s=0.1):
    upstream = model.Upstream(
        service="s",
        address=ADDRESS,
        slots=10,
        connection_limit=0,
        state=state,
    )
    return protocol.Heartbeat(
        record=fakes.node_record(
            vm=vm, data_centre=data_centre, upstream=upstream
        ),
        directory_source="",
        directory_version=0,
        withdrawn_count=0,
        load=model.NodeLoad(level=3.0, shed_per_second=0.0, load=load),
        demand=demand.Demand(
            routes=(
                demand.RouteDemand(
                    route="r", service="s", ended=20.0, busy_s=20.0 * run_s
                ),
            )
        ),
    )


# Guards against nodes that know nothing of the load of other data centres, or
# take an upstream for room that is drained, blocked or doesn't tell its load.
async def test_heartbeats_are_told_the_load_of_each_data_centre(now):
    async with _directory(now) as directory:
        for heartbeat in (
            _loaded("vm-a", "x", 500),
            _loaded("vm-b", "x", 1500),
            _loaded("vm-c", "y", 250),
            _loaded("vm-d", "y", 0, model.UpstreamState.DRAINING),
            _loaded("vm-e", "y", -1),
            _loaded("vm-f", "y", routing.BLOCKED_LOAD),
        ):
            await directory.send(heartbeat)
        now[0] += 0.3
        reply = await directory.send(_loaded("vm-a", "x", 500))
    assert set(reply.rooms) == {
        spillover.Room(
            service="s", data_centre="x", slots=20, load=1.0, run_s=0.1
        ),
        spillover.Room(
            service="s", data_centre="y", slots=10, load=0.25, run_s=0.1
        ),
    }


# Guards against replies that grow with the fleet, and against a slow moment
# that nodes don't learn to be over.
async def test_relative_run_times_are_told_in_turn_and_taken_back(now):
    count = fleet_directory.MAX_RELATIVE_TIMES + 10
    nodes = [
        (f"vm-{index}", 0.05 if index % 2 else 0.2) for index in range(count)
    ]

    async def tell(directory, run_s=None):
        """Returns what the replies to two rounds of heartbeats tell."""
        told = {}
        for _ in range(2):
            for vm, usual in nodes:
                reply = await directory.send(
                    _loaded(vm, "x", 0, run_s=run_s or usual)
                )
                sizes.add(len(reply.relative_times))
                told.update(reply.relative_times)
            now[0] += 0.3
        return told

    sizes = set()
    async with _directory(now) as directory:
        await tell(directory)
        told = await tell(directory)
        assert told["vm-0"] > 1.2 and told["vm-1"] < 0.8
        assert len(told) == count
        assert max(sizes) == fleet_directory.MAX_RELATIVE_TIMES
        for _ in range(2):
            told = await tell(directory, run_s=0.1)
        assert told["vm-0"] == told["vm-1"] == 1.0


# Guards against taking a service for slow that shares a route by weight with a
# faster one.
async def test_run_times_of_services_that_share_a_route_are_kept_apart(now):
    def heartbeat(vm, service, run_s):
        loaded = _loaded(vm, "x", 0, run_s=run_s)
        route = dataclasses.replace(loaded.demand.routes[0], service=service)
        return dataclasses.replace(
            loaded, demand=dataclasses.replace(loaded.demand, routes=(route,))
        )

    async with _directory(now) as directory:
        for _ in range(3):
            for vm, service, run_s in (("a", "s", 0.1), ("b", "t", 0.4)):
                reply = await directory.send(heartbeat(vm, service, run_s))
            now[0] += 0.3
    assert reply.relative_times == {}


def _shedding(served):
    """Returns the heartbeat of a node that reports a whole small fleet.

    Each of 40 roots a second of class 1 makes eight calls, of which a fraction
    is served.
    """

    def run(route, service, count, refused=0.0, calls=()):
        return demand.RouteDemand(
            route=route,
            service=service,
            started=count,
            ended=count,
            refused=refused,
            busy_s=0.04 * (count - refused),
            calls=tuple(demand.Calls(route=r, count=n) for r, n in calls),
        )

    return dataclasses.replace(
        _heartbeat("vm-a"),
        demand=demand.Demand(
            routes=(
                demand.RouteDemand(route="view", roots=(0.0, 40.0, 0.0)),
                run("view", "wide", 100.0, calls=[("feed", 800.0)]),
                run("feed", "narrow", 800.0, 800.0 * (1.0 - served)),
            ),
            services=(
                demand.ServiceSlots(service="wide", slots=1000, busy=10),
                demand.ServiceSlots(
                    service="narrow",
                    slots=100,
                    busy=10,
                    completions=320.0 * served,
                ),
            ),
            sheds=(
                demand.Sheds(
                    service="narrow", per_second=320.0 * (1.0 - served)
                ),
            ),
        ),
    )


@pytest.mark.parametrize(
    ("policy", "is_limited"),
    [("measured-capacity", True), ("narrowest-service", False)],
)
async def test_trees_are_refused_while_the_narrow_service_sheds(
    now, policy, is_limited
):
    """Pattern: upstreams shed half of their calls for 20 s.

    Guards against levels that follow neither the beginning nor the end.
    """
    policy = settings.Policy(tree_admission=policy)
    async with _directory(now, policy=policy) as directory:

        async def report(served, seconds):
            for _ in range(int(seconds / 0.25)):
                now[0] += 0.25
                reply = await directory.send(_shedding(served))
            return {v.route: v.level for v in reply.route_levels}

        assert not await report(1.0, 2.0)
        for seconds in (1.0, 20.0):
            levels = await report(0.5, seconds)
            assert set(levels) == ({"view"} if is_limited else set())
            assert not levels or levels["view"] < 1.05
        assert not await report(1.0, 3.0)


def _alpha_runs(ended, busy_s):
    route = demand.RouteDemand(
        route="r", service="alpha", ended=ended, busy_s=busy_s
    )
    return demand.Demand(routes=(route,))


def _gossip(address, reported):
    record = protocol.ControlRecord(
        vm=address,
        data_centre="x",
        replica_id=address,
        rpc_address=address,
        ops_address=address,
        role="follower",
        term=1,
        applied=1,
        revision=1,
        majority_age=0.0,
        voter=True,
    )
    return protocol.Gossip(
        control=record, entries=(), alive=(), withdrawn=(), demand=reported
    )


async def test_run_times_of_this_and_other_controls_count_once(now):
    """Guards against run times of the nodes of one control only."""
    async with _directory(now) as directory:
        for _ in range(2):
            await directory.send(_heartbeat("vm-a", _alpha_runs(20.0, 2.0)))
            await directory.send(_heartbeat("vm-b", None))
            await directory.send(_gossip("control-b", _alpha_runs(20.0, 6.0)))
        times = await directory.send(messages.ReadRunTimes())
    assert times == {"alpha": pytest.approx(0.2)}


async def test_run_times_of_nodes_that_are_gone_are_dropped(now):
    """Guards against the times of a load that ended, and against a leak."""
    async with _directory(now) as directory:
        await directory.send(_heartbeat("vm-a", _alpha_runs(20.0, 2.0)))
        await directory.send(_gossip("control-b", _alpha_runs(20.0, 6.0)))
        now[0] += demand.CONTROL_TTL
        await directory.send(_heartbeat("vm-b", None))
        assert directory.controller._demand == demand.FleetDemand()
        assert await directory.send(messages.ReadRunTimes()) == {}
