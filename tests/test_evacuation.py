"""The evacuation of a data centre, without a network."""

import contextlib
import dataclasses

import msgspec
import pytest
import trio
import trio.testing

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model
from sassafrashall import organisation_model
from sassafrashall import protocol
from sassafrashall import settings
from sassafrashall.controllers import admission
from sassafrashall.controllers import evacuation_gate
from sassafrashall.controllers import node_membership
from sassafrashall.controllers import routing
from sassafrashall.decisions import evacuation
from sassafrashall.decisions import fleet_commands
from sassafrashall.decisions import fleet_state
from sassafrashall.decisions import routing as routing_decisions
from sassafrashall.transport import codec
from sassafrashall.transport import snapshots
from tests import fakes

BOUND = 5.0  # seconds
START = 100.0
UPSTREAM = model.Upstream(
    service="a",
    address=model.Address(host="127.0.0.1", port=1),
    slots=1,
    connection_limit=8,
    state=model.UpstreamState.READY,
)


def _apply(state, command_type, data_centre="dc-a", known=-1):
    return fleet_state.apply(
        state, command_type(data_centre=data_centre, known_revision=known)
    )


def _begin(state, **fields):
    return _apply(state, fleet_commands.EvacuateDataCentre, **fields)


def _end(state, **fields):
    return _apply(state, fleet_commands.EndEvacuation, **fields)


# --- the replicated set ------------------------------------------------------


def test_each_change_raises_the_revision_and_a_repeat_does_not():
    state = fleet_state.FleetState(revision=7)
    state, result = _begin(state)
    assert result == fleet_commands.Accepted(revision=8)
    state, result = _begin(state)
    assert result == fleet_commands.Accepted(revision=8)
    state, result = _begin(state, data_centre="dc-b")
    assert state.evacuations.evacuated == {"dc-a", "dc-b"}
    state, result = _end(state)
    assert result == fleet_commands.Accepted(revision=10)
    state, result = _end(state)
    assert result == fleet_commands.Accepted(revision=10)
    assert state.evacuations.evacuated == {"dc-b"}


# Guards against an evacuation that begins again after its end: a request that
# was held up between two controls arrives after the operator's next one.
def test_a_request_that_was_held_up_changes_nothing():
    state, _ = _begin(fleet_state.FleetState(revision=7), known=7)
    state, _ = _end(state, known=8)
    held_up, result = _begin(state, known=7)
    assert isinstance(result, fleet_commands.Conflict)
    assert held_up == state
    state, result = _begin(state, known=9)
    assert result == fleet_commands.Accepted(revision=10)


def test_snapshots_and_log_entries_hold_it():
    state, _ = _begin(fleet_state.FleetState())
    state, _ = _begin(state, data_centre="dc-b")
    state, _ = _end(state, data_centre="dc-b")
    assert snapshots.decode(snapshots.encode(state)) == state
    for command in (
        fleet_commands.EvacuateDataCentre(data_centre="dc-a"),
        fleet_commands.EndEvacuation(data_centre="dc-a", known_revision=3),
    ):
        assert codec.decode(codec.encode(command)) == command


def test_a_snapshot_of_an_older_build_has_no_evacuation():
    state, _ = _begin(fleet_state.FleetState())
    body = msgspec.msgpack.decode(snapshots.encode(state))
    del body["evacuated"], body["evacuation_changes"]
    older = snapshots.decode(msgspec.msgpack.encode(body))
    assert older.evacuations == evacuation.Evacuations()


# --- a node that may have missed one -----------------------------------------


def _block(state, now, *, evacuated=False, proven_at=float("-inf")):
    return evacuation.block(
        state, evacuated=evacuated, proven_at=proven_at, now=now
    )


def test_a_node_that_starts_waits_for_a_proof_but_not_for_ever():
    state = evacuation.start(BOUND, START)
    assert _block(state, START + 1) is evacuation.Block.UNPROVEN
    assert _block(state, START + 1, proven_at=START + 0.5) is None
    for step in range(30):
        state = evacuation.on_tick(state, START + step / 10)
    assert _block(state, START + 3.0) is None


def test_a_node_that_resumes_needs_a_proof_of_the_time_since():
    state = evacuation.on_tick(evacuation.start(BOUND, START), START + 1)
    proven_at = START + 0.5
    assert _block(state, START + 2.9, proven_at=proven_at) is None
    # The first request may come before the first tick.
    resumed = START + 9
    assert _block(state, resumed, proven_at=proven_at) is not None
    state = evacuation.on_tick(state, resumed)
    assert _block(state, resumed + 0.5, proven_at=proven_at) is not None
    assert _block(state, resumed + 0.5, proven_at=resumed + 0.1) is None


# Guards against a node that stops serving while it is cut off.
def test_a_node_that_is_cut_off_goes_on_with_what_it_knows():
    state = evacuation.start(BOUND, START)
    for step in range(600):
        now = START + step / 10
        state = evacuation.on_tick(state, now)
        if step > 30:
            assert _block(state, now, proven_at=START + 1) is None
            assert (
                _block(state, now, evacuated=True, proven_at=START + 1)
                is evacuation.Block.EVACUATED
            )


def test_without_a_bound_a_node_waits_for_nothing():
    state = evacuation.start(0.0, START)
    assert _block(state, START) is None
    assert _block(state, START + 60) is None
    assert _block(state, START, evacuated=True) is evacuation.Block.EVACUATED


# --- the node's view ---------------------------------------------------------


@contextlib.asynccontextmanager
async def _membership():
    """Yields the controller, and what its control answers."""
    answers = {"revision": 0, "evacuated": ()}
    link = fakes.ScriptedController(
        lambda message: (
            fakes.heartbeat_reply(**answers)
            if isinstance(message, messages.CallControl)
            else None
        )
    )
    controller = node_membership.NodeMembership(
        record=fakes.node_record(),
        link=link.mailbox,
        admission_level=mailbox.Published(initial=-1),
        event_log=fakes.event_log(),
        counters=fakes.counters(),
        heartbeat_interval=0.02,
    )
    async with fakes.started(link, controller):
        yield controller, answers


def _read(revision, evacuated, changes=()):
    return messages.ConfigurationRead(
        reply=protocol.ConfigurationReply(
            revision=revision,
            organisations=(),
            withdrawn=(),
            proof_age=0.0,
            evacuated=evacuated,
            evacuation_changes=changes,
        ),
        sent_at=clock.monotonic(),
    )


# Guards against a control that is behind, whose answer would end an evacuation
# at the node, and against one of an older build, which doesn't tell it.
async def test_an_older_answer_never_replaces_a_newer_one():
    async with _membership() as (controller, answers):
        for revision, evacuated, expected in [
            (5, ("dc-a",), {"dc-a"}),
            (4, (), {"dc-a"}),
            (5, None, {"dc-a"}),
            (6, ("dc-a", "dc-b"), {"dc-a", "dc-b"}),
            (7, (), set()),
        ]:
            controller.mailbox.tell(_read(revision, evacuated))
            await trio.sleep(0.05)
            assert controller.view.value.evacuated == expected
        # The heartbeats were answered at revision 0 all the time.
        answers.update(revision=8, evacuated=("dc-a",))
        with trio.fail_after(1):
            while controller.view.value.evacuated != {"dc-a"}:
                await trio.sleep(0.01)


# Guards against an evacuation that leaves no trace at a node, and against an
# answer of an older control or build that takes the trace away.
async def test_the_revisions_of_the_last_changes_are_kept():
    async with _membership() as (controller, _):
        for revision, changes, expected in [
            (5, (("dc-a", 5),), {"dc-a": 5}),
            (4, (("dc-a", 3),), {"dc-a": 5}),
            (5, (), {"dc-a": 5}),
            (7, (("dc-a", 7), ("dc-b", 6)), {"dc-a": 7, "dc-b": 6}),
        ]:
            controller.mailbox.tell(_read(revision, (), changes))
            await trio.sleep(0.05)
            assert controller.view.value.evacuation_changes == expected


async def test_no_upstream_of_an_evacuated_data_centre_is_chosen():
    records = {
        vm: fakes.node_record(vm=vm, data_centre=data_centre, upstream=UPSTREAM)
        for vm, data_centre in (("vm-a", "dc-a"), ("vm-b", "dc-b"))
    }
    view = mailbox.Published(initial=model.NodeView(records=records))
    controller = routing.Routing(
        vm="vm-a",
        data_centre="dc-a",
        view=view,
        policy=settings.Policy(routing="first-free"),
        event_log=fakes.event_log(),
        counters=fakes.counters(),
        seed=1,
    )
    choose = messages.ChooseUpstream(service="a", avoid=frozenset())
    async with fakes.started(controller):
        assert (await controller.mailbox.ask(choose)).vm == "vm-a"
        for evacuated, vm in [
            ({"dc-a"}, "vm-b"),
            ({"dc-a", "dc-b"}, None),
            (set(), "vm-a"),
        ]:
            view.publish(
                dataclasses.replace(view.value, evacuated=frozenset(evacuated))
            )
            choice = await controller.mailbox.ask(choose)
            assert (choice and choice.vm) == vm


# --- the upstream's door -----------------------------------------------------


@contextlib.asynccontextmanager
async def _admission(bound=0.0, cold_gate=None):
    view = mailbox.Published(initial=model.NodeView())
    load = mailbox.Published(initial=0)
    controller = admission.Admission(
        local_upstream=mailbox.Published(initial=UPSTREAM),
        admission_level=mailbox.Published(initial=-1),
        policy=settings.Policy(limit="fixed", longest_wait_ms=5000),
        event_log=fakes.event_log(),
        counters=fakes.counters(),
        upstream_load=load,
        cold_gate=cold_gate,
        evacuation_gate=evacuation_gate.EvacuationGate(
            data_centre="dc-a",
            bound=bound,
            view=view,
            counters=fakes.counters(),
        ),
    )
    async with fakes.started(controller):
        await trio.testing.wait_all_tasks_blocked()
        yield controller, view, load


async def _wait_for_check(controller, *, evacuated):
    """Waits until a check of the gate has seen whether it is evacuated."""
    with trio.fail_after(4 * evacuation_gate.TICK_INTERVAL):
        while controller._evacuation_gate._seen.evacuated is not evacuated:
            await trio.sleep(0.01)


def _admit(call_id):
    return messages.Admit(
        call_id=call_id,
        organisation="org",
        priority=model.Priority.NORMAL,
        nested=False,
        root_id=call_id,
        deadline=clock.monotonic() + 5.0,
    )


async def test_waiting_and_new_requests_are_refused_and_running_ones_go_on():
    async with _admission() as (controller, view, load):
        running = await controller.mailbox.ask(_admit("running"))
        assert isinstance(running, messages.Admitted)
        refused = []

        async def wait():
            refused.append(await controller.mailbox.ask(_admit("waiting")))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait)
            await trio.testing.wait_all_tasks_blocked()
            view.publish(model.NodeView(evacuated=frozenset({"dc-a"})))
            with trio.fail_after(1):
                while not refused:
                    await trio.sleep(0.01)
        refused.append(await controller.mailbox.ask(_admit("new")))
        assert [r.code for r in refused] == [exceptions.NO_UPSTREAM] * 2
        assert load.value == routing_decisions.BLOCKED_LOAD
        controller.mailbox.tell(messages.SlotReleased(latency=0.1))
        view.publish(model.NodeView(evacuated=frozenset({"dc-b"})))
        # The end counts from the next tick on if a tick saw the evacuation.
        await _wait_for_check(controller, evacuated=False)
        again = await controller.mailbox.ask(_admit("again"))
        assert isinstance(again, messages.Admitted)


# Guards against requests to an upstream that may be cold, between the view
# without the evacuation and the tick that takes the upstream for cold.
def test_the_end_of_an_evacuation_counts_from_the_next_tick():
    view = mailbox.Published(
        initial=model.NodeView(evacuated=frozenset({"dc-a"}))
    )
    gate = evacuation_gate.EvacuationGate(
        data_centre="dc-a", bound=0.0, view=view, counters=fakes.counters()
    )
    assert not gate.on_tick(START)
    view.publish(model.NodeView())
    assert gate.find_block(START + 0.1) is evacuation.Block.EVACUATED
    assert gate.check_before_send()
    assert gate.on_tick(START + 0.5)
    assert gate.find_block(START + 0.5) is None
    assert not gate.on_tick(START + 1.0)


# Guards against an upstream that is not taken for cold, since its node never
# saw the evacuation: it began and ended between two checks or two questions.
def test_an_evacuation_that_no_check_has_seen_ends_as_well():
    view = mailbox.Published(initial=model.NodeView())
    gate = evacuation_gate.EvacuationGate(
        data_centre="dc-a", bound=0.0, view=view, counters=fakes.counters()
    )

    def publish(revision, **changes):
        view.publish(
            model.NodeView(
                configuration=organisation_model.Configuration(
                    revision=revision
                ),
                evacuation_changes={
                    name.replace("_", "-"): at for name, at in changes.items()
                },
            )
        )

    assert not gate.on_tick(START)
    # What was before the start of the node is not known to it.
    publish(9, dc_a=7)
    assert gate.find_block(START) is None
    assert not gate.on_tick(START + 0.5)
    publish(11, dc_a=7, dc_b=11)
    assert not gate.on_tick(START + 1.0)
    publish(13, dc_a=13, dc_b=11)
    assert gate.find_block(START + 1.1) is evacuation.Block.EVACUATED
    assert gate.on_tick(START + 1.5)
    assert gate.find_block(START + 1.5) is None
    assert not gate.on_tick(START + 2.0)


# Guards against a second doubt for an evacuation whose end was seen.
def test_an_evacuation_that_was_seen_ends_once():
    seen = evacuation.Seen(changed=3)
    for evacuated, changed, has_ended in [
        (True, 5, False),
        (True, 5, False),
        (False, 6, True),
        (False, 6, False),
    ]:
        assert has_ended is evacuation.has_ended(
            seen, evacuated=evacuated, changed=changed
        )
        seen = evacuation.Seen(evacuated=evacuated, changed=changed)


# Guards against a burst at an upstream that became cold during an evacuation: a
# heartbeat sent before the end arrives after it.
async def test_one_late_heartbeat_does_not_end_the_doubt_of_an_evacuation():
    heartbeat = mailbox.Published(initial=fakes.cold_heartbeat(1))
    gate = fakes.cold_gate(heartbeat)
    async with _admission(cold_gate=gate) as (controller, view, _):
        assert not gate.is_cold(clock.monotonic())
        view.publish(model.NodeView(evacuated=frozenset({"dc-a"})))
        await _wait_for_check(controller, evacuated=True)
        view.publish(model.NodeView())
        await _wait_for_check(controller, evacuated=False)
        for sequence, is_cold in ((2, True), (3, False)):
            heartbeat.publish(fakes.cold_heartbeat(sequence))
            await trio.testing.wait_all_tasks_blocked()
            assert gate.is_cold(clock.monotonic()) == is_cold


# Guards against a long queue that is left out of the demand, since its load is
# that of an upstream that gets no requests.
async def test_a_queue_is_not_reported_as_a_blocked_upstream():
    async with (
        _admission() as (controller, _, load),
        trio.open_nursery() as nursery,
    ):
        for number in range(4):
            nursery.start_soon(controller.mailbox.ask, _admit(f"call-{number}"))
        await trio.testing.wait_all_tasks_blocked()
        assert load.value == routing_decisions.BLOCKED_LOAD - 1
        nursery.cancel_scope.cancel()


async def test_a_node_that_starts_sends_nothing_until_its_state_is_proven():
    async with _admission(bound=BOUND) as (controller, view, _):
        refused = await controller.mailbox.ask(_admit("early"))
        assert refused.code == exceptions.NO_UPSTREAM
        view.publish(model.NodeView(fresh_at=clock.monotonic()))
        admitted = await controller.mailbox.ask(_admit("proven"))
        assert isinstance(admitted, messages.Admitted)


@pytest.mark.parametrize("method", ["heartbeat", "configuration"])
def test_an_answer_of_an_older_build_tells_nothing(method):
    fields = {"revision": 1, "organisations": (), "withdrawn": ()}
    if method == "heartbeat":
        answer = fakes.heartbeat_reply(**fields)
    else:
        answer = protocol.ConfigurationReply(**fields, proof_age=0.0)
    body = msgspec.to_builtins(answer)
    del body["evacuated"], body["evacuation_changes"]
    decoded = msgspec.convert(body, type(answer))
    assert decoded.evacuated is None
    assert decoded.evacuation_changes == ()
