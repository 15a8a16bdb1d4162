import dataclasses
import random

import hypothesis
from hypothesis import strategies as st

from sassafrashall import model
from sassafrashall.decisions import demand
from sassafrashall.decisions import queues

FAIR = queues.PriorityFair(length=8)


def _item(name, organisation="a", priority=model.Priority.NORMAL, deadline=9.0):
    return queues.QueuedRequest(
        item_id=name,
        organisation=organisation,
        priority=priority,
        arrived_at=0.0,
        deadline=deadline,
    )


def _fill(policy, items):
    queue, shed = queues.Queue(), []
    for item in items:
        queue, victims = queues.push(policy, queue, item)
        shed.extend(victims)
    return queue, shed


def _drain(policy, queue):
    order = []
    while True:
        queue, item = queues.pop(policy, queue)
        if item is None:
            return order
        order.append(item)


def test_critical_requests_go_first_and_are_shed_last():
    items = [_item(f"n{i}") for i in range(8)]
    items += [
        _item(f"c{i}", priority=model.Priority.CRITICAL) for i in range(3)
    ]
    queue, shed = _fill(FAIR, items)
    assert [item.item_id for item in shed] == ["n7", "n6", "n5"]
    assert [i.item_id for i in _drain(FAIR, queue)][:3] == ["c0", "c1", "c2"]


def test_the_organisation_with_most_waiting_requests_is_shed():
    items = [_item(f"a{i}", "a") for i in range(7)]
    items += [_item("b0", "b"), _item("c0", "c")]
    _, shed = _fill(FAIR, items)
    assert [item.item_id for item in shed] == ["a6"]


def test_organisations_take_turns():
    items = [_item(f"a{i}", "a") for i in range(4)]
    items += [_item(f"b{i}", "b") for i in range(2)]
    queue, _ = _fill(FAIR, items)
    order = [item.item_id for item in _drain(FAIR, queue)]
    assert order == ["a0", "b0", "a1", "b1", "a2", "a3"]


def test_baseline_serves_in_order_and_sheds_the_newest():
    policy = queues.FirstInFirstOut(length=2)
    queue, shed = _fill(policy, [_item(f"a{i}") for i in range(3)])
    assert [item.item_id for item in shed] == ["a2"]
    assert [i.item_id for i in _drain(policy, queue)] == ["a0", "a1"]


def test_the_queue_length_follows_from_the_maximum_wait():
    policy = queues.PriorityFair(length=64, max_wait=0.15)
    assert queues.fit_to_upstream(policy, 4, 0.05).length == 12
    assert (
        queues.fit_to_upstream(policy, 1, 0.5).length == queues.MIN_QUEUE_LENGTH
    )
    assert queues.fit_to_upstream(policy, 4, 5.0).max_wait == 10.0
    assert queues.fit_to_upstream(policy, 400, 0.01).length == 64
    assert queues.fit_to_upstream(policy, 4, 0.0) == policy


def test_requests_that_cannot_meet_their_deadline_are_removed():
    queue, _ = _fill(FAIR, [_item("a", deadline=1.0), _item("b", deadline=5.0)])
    queue, expired_items = queues.remove_expired(FAIR, queue, 0.9, 0.2)
    assert [item.item_id for item in expired_items] == ["a"]
    assert [item.item_id for item in queue.items] == ["b"]


def test_requests_that_waited_too_long_are_removed():
    policy = queues.PriorityFair(length=8, max_wait=0.25)
    queue, _ = _fill(policy, [_item("a")])
    assert queues.remove_expired(policy, queue, 0.2, 0.0) == (queue, ())
    assert queues.remove_expired(policy, queue, 0.3, 0.0)[1][0].item_id == "a"
    baseline = queues.FirstInFirstOut()
    assert queues.remove_expired(baseline, queue, 99.0, 0.0) == (queue, ())


@hypothesis.settings(derandomize=True)
@hypothesis.given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.sampled_from(model.Priority)),
        max_size=40,
    )
)
def test_every_request_is_served_or_shed_exactly_once(arrivals):
    items = [
        _item(f"i{n}", organisation, priority)
        for n, (organisation, priority) in enumerate(arrivals)
    ]
    queue, shed = _fill(FAIR, items)
    served = _drain(FAIR, queue)
    assert sorted(i.item_id for i in [*served, *shed]) == sorted(
        i.item_id for i in items
    )
    assert len(queue.items) <= FAIR.length
    priorities = [i.priority for i in served]
    assert priorities == sorted(priorities)


def test_nested_calls_go_before_roots_of_their_class_and_are_shed_after():
    """Guards against failing admitted requests at a full shared service.

    A service deep in the call graph takes root calls and nested calls. If it
    shed the nested calls, requests admitted at other services would fail.
    """
    policy = queues.CallsFirst(length=4)
    roots = [_item(f"r{i}", f"o{i}") for i in range(3)]
    calls = [
        dataclasses.replace(_item(f"n{i}", ""), nested=True) for i in range(3)
    ]
    urgent = _item("u", priority=model.Priority.CRITICAL)
    queue, shed = _fill(policy, [*roots, *calls, urgent])
    assert sorted(item.item_id for item in shed) == ["r0", "r1", "r2"]
    order = [item.item_id for item in _drain(policy, queue)]
    assert order == ["u", "n0", "n1", "n2"]
    # The baseline sheds the calls, which are all of one organisation.
    _, shed = _fill(queues.PriorityFair(length=4), [*roots, *calls, urgent])
    assert {item.item_id for item in shed} > {"n1", "n2"}


def test_calls_of_admitted_trees_go_before_roots_of_any_class():
    """Pattern: deep narrow service in a burst.

    A call has the class of its own route, not that of its root. Behind urgent
    roots it would wait while its root holds slots at other services.
    """
    policy = queues.TreesFirst(length=4)
    urgent = [
        _item(f"u{i}", f"o{i}", priority=model.Priority.CRITICAL)
        for i in range(3)
    ]
    calls = [
        dataclasses.replace(
            _item(f"n{i}", "", priority=model.Priority.BULK), nested=True
        )
        for i in range(2)
    ]
    important_call = dataclasses.replace(
        _item("m", "", priority=model.Priority.NORMAL), nested=True
    )
    queue, shed = _fill(policy, [*urgent, *calls, important_call])
    assert sorted(item.item_id for item in shed) == ["u1", "u2"]
    order = [item.item_id for item in _drain(policy, queue)]
    assert order == ["m", "n0", "n1", "u0"]
    # The baseline sheds the calls in favour of the urgent roots.
    baseline = queues.CallsFirst(length=4)
    _, shed = _fill(baseline, [*urgent, *calls, important_call])
    assert {item.item_id for item in shed} == {"n0", "n1"}


def _call(name, urgency, **fields):
    return dataclasses.replace(
        _item(name, "", **fields), nested=True, urgency=urgency
    )


def test_a_root_of_the_most_urgent_class_goes_before_calls_of_other_trees():
    """Pattern: narrow service below trees, with urgent roots of its own.

    Guards against urgent roots that wait, and are shed, behind the calls of
    less urgent trees, of which there are eight for each of these.
    """
    policy = queues.UrgencyFirst(length=6)
    calls = [
        _call(f"n{i}", model.Priority.NORMAL, priority=model.Priority.CRITICAL)
        for i in range(5)
    ]
    urgent = [
        _item(f"u{i}", f"o{i}", priority=model.Priority.CRITICAL)
        for i in range(3)
    ]
    queue, shed = _fill(policy, [*calls, *urgent])
    assert [item.item_id for item in shed] == ["n4", "n3"]
    order = [item.item_id for item in _drain(policy, queue)]
    assert order == ["u0", "u1", "u2", "n0", "n1", "n2"]
    # The baseline sheds the urgent roots.
    _, shed = _fill(queues.TreesFirst(length=6), [*calls, *urgent])
    assert {item.item_id for item in shed} == {"u2", "u1"}


def test_a_call_of_an_urgent_tree_goes_before_roots_of_its_class():
    """Guards against the loss of the work done for an urgent root so far."""
    policy = queues.UrgencyFirst(length=8)
    items = [
        _item("root", "a", priority=model.Priority.CRITICAL),
        _item("bulk-root", "a", priority=model.Priority.BULK),
        _call("unknown", None, priority=model.Priority.BULK),
        _call(
            "estimate", model.Priority.CRITICAL, priority=model.Priority.BULK
        ),
        _call(
            "call", model.Priority.CRITICAL, priority=model.Priority.CRITICAL
        ),
    ]
    queue, _ = _fill(policy, items)
    order = [item.item_id for item in _drain(policy, queue)]
    # A call that only an estimate puts into a class takes turns with its roots.
    assert order == ["call", "root", "estimate", "unknown", "bulk-root"]


def _estimated_urgencies(draw, levels, share):
    """Yields the classes that calls below `levels` of upstreams are given.

    At each upstream, 12 runs are in progress that make calls of one route.

    Args:
      draw: Random numbers.
      levels: Upstreams between the entry and the calls.
      share: Fraction of the trees whose root is of the most urgent class.
    """
    while True:
        runs = [
            model.Priority.CRITICAL
            if draw.random() < share
            else model.Priority.NORMAL
            for _ in range(12**levels)
        ]
        for _ in range(levels):
            runs = [
                demand.most_urgent([runs[start : start + 12]])
                for start in range(0, len(runs), 12)
            ]
        yield from runs


def _share_of_roots_served(policy):
    """Plays a narrow service with 2 slots a step for 3 calls and 0.3 roots."""
    draw = random.Random(1)
    urgencies = _estimated_urgencies(draw, 3, 0.05)
    queue, arrived, served = queues.Queue(), 0, 0
    for step in range(300):
        items = [
            _call(f"n{step}-{i}", next(urgencies), priority=model.Priority.BULK)
            for i in range(3)
        ]
        if draw.random() < 0.3:
            arrived += 1
            items.append(
                _item(
                    f"r{step}",
                    f"o{step % 5}",
                    priority=model.Priority.CRITICAL,
                )
            )
        for item in items:
            queue, _ = queues.push(policy, queue, item)
        for _ in range(2):
            queue, item = queues.pop(policy, queue)
            served += item is not None and not item.nested
    return served / arrived


def test_roots_of_a_class_do_not_wait_behind_calls_estimated_into_it():
    """Pattern: a deep narrow service below a mixed load, 5% of it urgent.

    Guards against urgent roots that are hardly served: the estimated class is
    that of the most urgent run beside the caller, which three levels down is
    the most urgent class for nearly all calls.
    """
    urgencies = _estimated_urgencies(random.Random(1), 3, 0.05)
    estimates = [next(urgencies) for _ in range(50)]
    assert estimates.count(model.Priority.CRITICAL) >= 49
    assert _share_of_roots_served(queues.UrgencyFirst(length=16)) > 0.95


def _due(name, due, deadline=9.0):
    return dataclasses.replace(_item(name, deadline=deadline), due=due)


def test_the_response_that_is_due_first_is_served_first():
    """Guards against responses that miss a target which others could spare."""
    policy = queues.UrgencyFirst(length=8)
    items = [
        _due("later", 3.0),
        _due("late", 1.0),
        _due("soon", 2.0),
        _due("by-deadline", 0.0, deadline=2.5),
    ]
    queue, _ = _fill(policy, items)
    order = []
    while queue.items:
        queue, item = queues.pop(policy, queue, 1.5)
        order.append(item.item_id)
    assert order == ["soon", "by-deadline", "later", "late"]


def test_what_would_be_served_last_is_shed_first():
    policy = queues.UrgencyFirst(length=2)
    queue, _ = _fill(policy, [_due("later", 3.0), _due("soon", 2.0)])
    queue, shed = queues.push(policy, queue, _due("middle", 2.5), 0.5)
    assert [item.item_id for item in shed] == ["later"]
    queue, shed = queues.push(policy, queue, _due("late", 0.4), 0.5)
    assert [item.item_id for item in shed] == ["late"]


def test_organisations_of_a_class_share_whatever_their_slack():
    """Pattern: one organisation sends many times its usual rate."""
    policy = queues.UrgencyFirst(length=16)
    items = [
        dataclasses.replace(_item(f"a{i}", "a"), due=1.0) for i in range(4)
    ]
    items += [
        dataclasses.replace(_item(f"b{i}", "b"), due=5.0) for i in range(2)
    ]
    queue, _ = _fill(policy, items)
    order = [item.item_id for item in _drain(policy, queue)]
    assert order == ["a0", "b0", "a1", "b1", "a2", "a3"]


def test_a_call_that_would_wait_past_its_deadline_is_recognised():
    policy = queues.UrgencyFirst(length=64)
    urgent = [
        _item(f"u{i}", priority=model.Priority.CRITICAL) for i in range(8)
    ]
    queue, _ = _fill(policy, urgent)

    def can_finish(deadline, **fields):
        return queues.can_finish(
            policy,
            queue,
            _item("n", deadline=deadline, **fields),
            limit=4,
            latency=0.1,
            finish_at=1.0,
        )

    assert not can_finish(1.1)
    assert can_finish(1.3)
    assert can_finish(1.1, priority=model.Priority.CRITICAL)
    assert not can_finish(0.9, priority=model.Priority.CRITICAL)


@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from(["a", "b", ""]),
            st.sampled_from(model.Priority),
            st.booleans(),
            st.sampled_from([None, *model.Priority]),
            st.floats(0.0, 4.0),
        ),
        max_size=30,
    )
)
def test_by_urgency_every_request_is_served_or_shed_exactly_once(arrivals):
    policy = queues.UrgencyFirst(length=8)
    items = [
        dataclasses.replace(
            _item(f"i{number}", organisation, priority),
            nested=nested,
            urgency=urgency,
            due=due,
        )
        for number, (organisation, priority, nested, urgency, due) in enumerate(
            arrivals
        )
    ]
    queue, shed = queues.Queue(), []
    for item in items:
        queue, victims = queues.push(policy, queue, item, 2.0)
        shed += victims
    served = []
    while queue.items:
        queue, item = queues.pop(policy, queue, 2.0)
        served.append(item)
    ids = [item.item_id for item in (*served, *shed)]
    assert sorted(ids) == sorted(item.item_id for item in items)
    urgencies = [
        item.priority if item.urgency is None else item.urgency
        for item in served
    ]
    assert urgencies == sorted(urgencies)


def test_a_refusal_leaves_in_time_to_reach_the_calling_node():
    """Guards against 504 for requests that have not run.

    A node that has no refusal by the deadline can't tell whether the request
    has run.
    """
    policy = queues.UrgencyFirst()
    assert queues.min_time_left(policy, 0.0) == queues.REFUSAL_MARGIN
    assert queues.min_time_left(policy, 0.2) == 0.2
    assert queues.min_time_left(FAIR, 0.0) == 0.0
