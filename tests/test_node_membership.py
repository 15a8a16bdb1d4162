"""The announcements of the upstream beside an event loop that runs late."""

import dataclasses
import json
import time

import pytest
import trio
import trio.testing

from sassafrashall import clock
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model
from sassafrashall import protocol
from sassafrashall.controllers import followed_upstream
from sassafrashall.controllers import node_membership
from sassafrashall.decisions import known_nodes
from sassafrashall.decisions import node_directory
from sassafrashall.platform import names
from sassafrashall.platform import node_api
from tests import fakes
from tests import loopback

ANNOUNCEMENT_TTL = 60.0  # seconds
HEARTBEAT_INTERVAL = 0.05  # seconds
UPSTREAM = model.Address(host="127.0.0.1", port=1)


@pytest.fixture
def jump_clock(monkeypatch):
    """Returns a function that lets all announcements become too old."""

    def jump():
        monotonic = clock.monotonic
        monkeypatch.setattr(
            clock, "monotonic", lambda: monotonic() + ANNOUNCEMENT_TTL + 1.0
        )

    return jump


def _membership(event_log, answer=None):
    reply = fakes.heartbeat_reply()

    def answer_link(message):
        if answer is None or isinstance(
            message, (messages.AskControls, messages.SurveyControls)
        ):
            return fakes.answer_of_controls(message)
        return answer(message, reply)

    link = fakes.ScriptedController(answer_link)
    membership = node_membership.NodeMembership(
        record=fakes.node_record(vm="a"),
        link=link.mailbox,
        admission_level=mailbox.Published(initial=-1),
        event_log=event_log,
        counters=fakes.counters(),
        upstream=followed_upstream.FollowedUpstream(
            announcement_ttl=ANNOUNCEMENT_TTL
        ),
        heartbeat_interval=HEARTBEAT_INTERVAL,
    )
    return link, membership


def _announcement(sequence):
    body = json.dumps(
        {
            "address": str(UPSTREAM),
            "born": 1,
            "info": {"service": "a", "slots": 4},
            "status": {"state": "ready", "sequence": sequence},
        }
    ).encode()
    return (
        f"PUT {names.INSTANCES_PATH}i1 HTTP/1.1\r\nHost: h\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def _states(event_log):
    return [event.detail for event in event_log.read("upstream.state")]


# Guards against an upstream that counts as gone while its announcement waits to
# be read, since the event loop stood still for longer than announcements last.
@pytest.mark.parametrize("round_number", range(4))
async def test_an_announcement_that_has_arrived_keeps_the_upstream(
    round_number, jump_clock
):
    event_log = fakes.event_log()
    link, membership = _membership(event_log)
    handler = node_api.Announcements(
        membership=membership.mailbox, upstream=UPSTREAM, address=UPSTREAM
    )
    async with (
        fakes.started(link, membership),
        loopback.serve(handler.handle) as (address, _),
    ):
        with trio.fail_after(5):
            (client,) = await loopback.open_sockets(address, 1)
            with client:
                client.sendall(_announcement(1))
                await trio.to_thread.run_sync(client.recv, 4096)
                client.sendall(_announcement(2))
                # The next check is due when the announcement can be read.
                jump_clock()
                time.sleep(2 * HEARTBEAT_INTERVAL)
                await trio.to_thread.run_sync(client.recv, 4096)
    assert _states(event_log) == ["ready"]


async def test_an_upstream_without_announcements_counts_as_gone(
    jump_clock,
):
    event_log = fakes.event_log()
    link, membership = _membership(event_log)
    async with fakes.started(link, membership):
        with trio.fail_after(5):
            message = messages.Announce(
                upstream=model.Upstream(
                    service="a",
                    address=UPSTREAM,
                    slots=4,
                    connection_limit=0,
                    state=model.UpstreamState.READY,
                )
            )
            await membership.mailbox.ask(message)
            jump_clock()
            await membership.local_upstream.wait_changed()
    assert _states(event_log) == ["ready", "gone"]


# Guards against a node that takes its departure for announced: the heartbeat
# that was answered had been sent before.
async def test_a_departure_is_announced_once_a_control_has_heard_of_it():
    released = trio.Event()
    told = []

    async def answer(message, reply):
        await released.wait()
        if isinstance(message, messages.CallControl):
            told.append(message.message.record.leaving)
        return reply

    link, membership = _membership(fakes.event_log(), answer)
    async with fakes.started(link, membership):
        with trio.fail_after(5):
            await trio.testing.wait_all_tasks_blocked()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(membership.mailbox.ask, messages.Leave())
                await trio.testing.wait_all_tasks_blocked()
                released.set()
            assert told == [False, True]


def _entry(vm):
    return protocol.DirectoryEntry(record=fakes.node_record(vm=vm))


# Guards against requests refused for want of upstreams when the node turns to a
# control that has just started, and has not yet heard of the other nodes.
async def test_nodes_that_a_new_control_does_not_know_yet_stay_known(
    monkeypatch,
):
    shift = [0.0]
    monotonic = clock.monotonic
    monkeypatch.setattr(clock, "monotonic", lambda: monotonic() + shift[0])
    source = ["old"]
    entries = {"old": ("vm-1", "vm-2", "vm-3"), "new": ("vm-1",)}

    def answer(message, reply):
        held = message.message.directory_source == source[0]
        return dataclasses.replace(
            reply,
            directory_source=source[0],
            complete=not held,
            entries=()
            if held
            else tuple(_entry(vm) for vm in entries[source[0]]),
        )

    link, membership = _membership(fakes.event_log(), answer)

    async def known(vms):
        with trio.fail_after(5):
            while set(membership.view.value.records) != vms:
                await membership.view.wait_changed()

    async with fakes.started(link, membership):
        await known({"vm-1", "vm-2", "vm-3"})
        source[0] = "new"
        with trio.fail_after(5):
            for _ in range(5):
                await membership.view.wait_changed()
        await known({"vm-1", "vm-2", "vm-3"})
        shift[0] = known_nodes.UNLISTED_TTL + 0.1
        await known({"vm-1"})


# Guards against a node that controls ignore while they keep its former record:
# the clock of its VM was set back before it restarted.
async def test_a_node_that_starts_with_its_clock_set_back_is_heard():
    directory = node_directory.merge_record(
        node_directory.Directory(),
        fakes.node_record(vm="a", incarnation=9),
        0.0,
        clock.monotonic(),
    )

    def answer(message, reply):
        nonlocal directory
        directory = node_directory.merge_record(
            directory, message.message.record, 0.0, clock.monotonic()
        )
        entries = tuple(
            protocol.DirectoryEntry(record=entry.record)
            for entry in directory.entries.values()
        )
        return dataclasses.replace(
            reply, directory_source="c", complete=True, entries=entries
        )

    link, membership = _membership(fakes.event_log(), answer)
    async with fakes.started(link, membership):
        with trio.fail_after(5):
            while directory.entries["a"].record.incarnation <= 9:
                await membership.view.wait_changed()
            await membership.mailbox.ask(
                messages.Announce(
                    upstream=model.Upstream(
                        service="a",
                        address=UPSTREAM,
                        slots=4,
                        connection_limit=0,
                        state=model.UpstreamState.READY,
                    )
                )
            )
            while directory.entries["a"].record.upstream is None:
                await membership.view.wait_changed()


# Guards against an upstream that counts as slow for ever: the control that told
# so is gone, and the next one tells only of those that it told of itself.
async def test_relative_run_times_of_another_control_are_dropped():
    answers = {
        "complete": True,
        "entries": tuple(
            protocol.DirectoryEntry(record=fakes.node_record(vm=vm), age=0.0)
            for vm in ("a", "b")
        ),
    }
    link, membership = _membership(
        fakes.event_log(),
        lambda message, reply: (
            dataclasses.replace(reply, **answers)
            if isinstance(message, messages.CallControl)
            else None
        ),
    )
    async with fakes.started(link, membership):
        for source, told, expected in [
            ("control-1", {"a": 2.0}, {"a": 2.0}),
            ("control-1", {"b": 0.5}, {"a": 2.0, "b": 0.5}),
            ("control-2", {"b": 0.6}, {"b": 0.6}),
            ("control-3", {}, {}),
        ]:
            answers |= {"directory_source": source, "relative_times": told}
            with trio.fail_after(1):
                while membership.summary.value.relative_times != expected:
                    await membership.summary.wait_changed()


# Guards against work on all records at each heartbeat: the routing controller
# groups them anew if the dict is another one.
async def test_a_reply_that_changes_no_record_keeps_the_dict_of_records():
    told = [(), (_entry("b"),), (), (_entry("b"),), (), (_entry("c"),)]
    seen = []

    def answer(message, reply):
        if not isinstance(message.message, protocol.Heartbeat):
            return reply
        seen.append(membership.view.value.records)
        entries = told[min(len(seen), len(told) - 1)]
        return dataclasses.replace(reply, entries=entries, complete=False)

    link, membership = _membership(fakes.event_log(), answer)
    async with fakes.started(link, membership):
        with trio.fail_after(5):
            while len(seen) < len(told) + 1:
                await trio.sleep(0.01)
    # The second reply told of "b", the sixth of "c".
    assert [sorted(records) for records in seen[1:6]] == [["b"]] * 4 + [
        ["b", "c"]
    ]
    assert seen[1] is seen[2] is seen[3] is seen[4]
