"""What the routing controller takes from attempts and views."""

import dataclasses

import pytest

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model
from sassafrashall import settings
from sassafrashall.controllers import routing
from sassafrashall.decisions import retries
from sassafrashall.decisions import routing as decisions
from sassafrashall.decisions import spillover
from tests import fakes

SERVICE = "s"


class _Reply:
    def __init__(self):
        self.value = None

    def put(self, value):
        self.value = value


class _Node:
    """A node in data centre "x", with a clock of its own.

    `upstreams` are data centres by VM.
    """

    def __init__(self, monkeypatch, upstreams, loads=None, retry_policy=None):
        self.now = 100.0
        monkeypatch.setattr(clock, "monotonic", lambda: self.now)
        self.view = mailbox.Published(
            initial=model.NodeView(
                records={
                    vm: fakes.node_record(
                        vm=vm,
                        data_centre=data_centre,
                        upstream=model.Upstream(
                            service=SERVICE,
                            address=model.Address(host="127.0.0.1", port=1),
                            slots=10,
                            connection_limit=100,
                            state=model.UpstreamState.READY,
                        ),
                    )
                    for vm, data_centre in upstreams.items()
                }
            )
        )
        self.summary = mailbox.Published(initial=spillover.Summary())
        if loads:
            self.tell_loads(loads)
        self.controller = routing.Routing(
            vm="caller",
            data_centre="x",
            view=self.view,
            policy=settings.Policy(routing="expected-completion"),
            event_log=fakes.event_log(),
            counters=fakes.counters(),
            seed=1,
            summary=self.summary,
            retry_policy=retry_policy,
        )

    def tell_loads(self, loads):
        rooms = [
            spillover.Room(
                service=SERVICE,
                data_centre=data_centre,
                slots=20,
                load=load,
                run_s=0.1,
            )
            for data_centre, load in loads.items()
        ]
        self.summary.publish(spillover.summarize(rooms, self.now))

    def choose(self, *avoid):
        reply = _Reply()
        self.controller._handle(
            messages.ChooseUpstream(service=SERVICE, avoid=frozenset(avoid)),
            reply,
        )
        return reply.value and reply.value.vm

    def end(self, vm, result=messages.AttemptResult.INCONCLUSIVE, **fields):
        self.controller._handle(
            messages.AttemptEnded(
                vm=vm, service=SERVICE, result=result, **fields
            ),
            _Reply(),
        )


# Guards against calls that leave a data centre with room, since one upstream
# there gets no requests and reports the load of a blocked one.
def test_a_blocked_upstream_is_no_demand(monkeypatch):
    node = _Node(
        monkeypatch,
        {"x1": "x", "x2": "x", "y1": "y"},
        {"x": 0.85, "y": 0.1},
    )
    chosen = set()
    for _ in range(8):
        node.end("x1", load=decisions.BLOCKED_LOAD)
        node.end("x2", load=500)
        for _ in range(20):
            vm = node.choose()
            chosen.add(vm)
            node.end(vm, messages.AttemptResult.ANSWERED, latency=0.1)
        node.now += 0.26
    assert "y1" not in chosen


def _use_up_near(node):
    """Lets the upstream here refuse, so that it counts as full."""
    node.end("x1", load=950)
    node.now += 0.3  # The comparison of the upstreams is made again.
    node.end("x1", load=950)


# Guards against calls that go on to fail at a data centre that can't be reached
# while another one can.
def test_after_all_upstreams_here_a_blocked_data_centre_is_avoided(monkeypatch):
    loads = {"x": 1.2, "y": 0.1, "z": 0.9}
    # One failure of each upstream ejects none of them.
    others = [f"y{number}" for number in range(spillover.FAILURES_TO_BLOCK)]
    node = _Node(
        monkeypatch, {"x1": "x", "z1": "z"} | dict.fromkeys(others, "y"), loads
    )
    _use_up_near(node)
    for vm in others:
        node.end(vm, load=0)
    node.end("z1", load=900)
    assert node.choose("x1") in others
    for vm in others:
        node.end(vm, messages.AttemptResult.CONNECTION_FAILED)
    assert node.choose("x1") == "z1"
    node.view.publish(
        model.NodeView(
            records={
                vm: record
                for vm, record in node.view.value.records.items()
                if vm != "z1"
            }
        )
    )
    assert node.choose("x1") in others


# Guards against two full data centres that swap load.
def test_after_all_upstreams_here_none_with_a_higher_load_is_chosen(
    monkeypatch,
):
    for load_here, load_there, vm in (
        (0.95, 1.0, "x1"),
        (0.95, 0.9, "y1"),
        # A burst that no summary shows yet.
        (0.0, 0.0, "y1"),
    ):
        loads = {"x": load_here, "y": load_there}
        node = _Node(monkeypatch, {"x1": "x", "y1": "y"}, loads)
        _use_up_near(node)
        assert node.choose("x1") == vm


def _is_blocked(node, data_centre):
    return node.controller._reach_of(data_centre).blocked_until > node.now


# Guards against calls to a data centre that can't be reached, since those that
# end at their deadline there count as a success.
def test_an_attempt_that_hears_nothing_is_no_success(monkeypatch):
    node = _Node(monkeypatch, {"x1": "x", "y1": "y"})
    for _ in range(spillover.FAILURES_TO_BLOCK):
        assert not _is_blocked(node, "y")
        node.end("y1", messages.AttemptResult.CONNECTION_FAILED)
        node.end("y1")
    assert _is_blocked(node, "y")


@pytest.mark.parametrize(
    ("result", "fields"),
    [
        (messages.AttemptResult.INCONCLUSIVE, {"load": 1000}),
        (messages.AttemptResult.INCONCLUSIVE, {"round_trip": 0.002}),
        (messages.AttemptResult.ANSWERED, {"latency": 0.1}),
        (messages.AttemptResult.ERROR, {}),
        # Guards against the block of a data centre because one upstream there
        # is leaving or fails.
        (messages.AttemptResult.CONNECTION_FAILED, {"load": 0}),
    ],
)
def test_whatever_is_heard_is_a_success(monkeypatch, result, fields):
    node = _Node(monkeypatch, {"x1": "x", "y1": "y"})
    for _ in range(spillover.FAILURES_TO_BLOCK):
        node.end("y1", messages.AttemptResult.CONNECTION_FAILED)
        node.end("y1", result, **fields)
    assert not _is_blocked(node, "y")


# Guards against processor time that grows with the fleet for each proof that
# the view is the newest.
def test_records_are_indexed_again_only_if_they_changed(monkeypatch):
    node = _Node(monkeypatch, {"x1": "x", "y1": "y"})
    node.choose()
    indexed = node.controller._by_service
    view = dataclasses.replace(node.view.value, fresh_at=node.now)
    node.view.publish(view)
    node.choose()
    assert node.controller._by_service is indexed
    evacuated = dataclasses.replace(view, evacuated=frozenset({"x"}))
    node.view.publish(evacuated)
    assert node.choose() == "y1"
    node.view.publish(dataclasses.replace(evacuated, evacuated=frozenset()))
    assert node.choose() == "x1"
    records = {"y1": view.records["y1"]}
    node.view.publish(dataclasses.replace(view, records=records))
    assert node.choose() == "y1"


def _may_retry(node, urgency):
    reply = _Reply()
    refusal = model.Refuse(code=exceptions.UPSTREAM_REFUSED, detail="")
    call = fakes.call(service=SERVICE, retries=2, urgency=urgency)
    node.controller._handle(
        messages.MayRetry(call=call, refusal=refusal, attempts=1), reply
    )
    return reply.value


@pytest.mark.parametrize(
    ("policy", "allowed"),
    [
        (retries.UrgentRetries(ratio=0.1), [False, True, False]),
        (retries.ArrivalRetries(ratio=0.1), [True, False, False]),
    ],
)
def test_scarce_retries_of_a_node_go_to_urgent_calls(
    monkeypatch, policy, allowed
):
    """Pattern: a service that sheds, with one retry left for three calls."""
    node = _Node(monkeypatch, {"x1": "x"}, retry_policy=policy)
    for _ in range(15):
        node.controller._handle(
            messages.FirstAttempt(service=SERVICE), _Reply()
        )
    normal, critical = model.Priority.NORMAL, model.Priority.CRITICAL
    assert [
        _may_retry(node, urgency) for urgency in (normal, critical, normal)
    ] == allowed


# Guards against choices by slots that an upstream no longer has: what the
# directory says of it is kept from one choice to the next.
def test_slots_that_change_count_from_the_next_choice_on(monkeypatch):
    node = _Node(monkeypatch, {"x1": "x", "x2": "x"})
    before = [node.choose() for _ in range(8)]
    assert {"x1", "x2"} == set(before)
    records = dict(node.view.value.records)
    records["x1"] = dataclasses.replace(
        records["x1"],
        upstream=dataclasses.replace(records["x1"].upstream, slots=1),
    )
    node.view.publish(model.NodeView(records=records))
    assert [node.choose() for _ in range(4)] == ["x2"] * 4
