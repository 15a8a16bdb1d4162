"""Queueing disciplines for requests that wait for a slot at an upstream.

A discipline decides which waiting request is served next and which ones are
shed when the queue is full or a request has waited too long.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TypeAlias

from sassafrashall import frozen
from sassafrashall import model

MIN_QUEUE_LENGTH = 2  # requests
# Seconds before its deadline at which a waiting request is refused at the
# latest. Its refusal, which says that it has not run, must reach the calling
# node before that node gives up on it: 20 ms until the queue is checked, 1.4 ms
# between data centres, and what the processes take.
REFUSAL_MARGIN = 0.03
MIN_WAIT_FACTOR = 2.0  # latencies of the upstream that `max_wait` always covers


@dataclasses.dataclass(frozen=True, kw_only=True)
class FirstInFirstOut:
    """Serves in order of arrival and, when full, sheds the arriving request.

    Attributes:
      length: Maximum number of waiting requests; 0 means no limit.
    """

    length: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class PriorityFair:
    """Serves by priority class, with max-min fair shares inside a class.

    A full queue sheds from the least important class: the newest request of
    the organisation that has the most requests waiting there.

    Attributes:
      length: Maximum number of waiting requests.
      max_wait: Maximum time in the queue in seconds. It also shortens the
        queue of a slow upstream, see `fit_to_upstream`. 0 means no limit.
    """

    length: int = 64
    max_wait: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallsFirst(PriorityFair):
    """Like `PriorityFair`, but nested calls go before root calls of a class.

    Shedding a nested call wastes the work already done for its root call and
    fails a request that was admitted.
    """


@dataclasses.dataclass(frozen=True, kw_only=True)
class TreesFirst(PriorityFair):
    """Like `PriorityFair`, but nested calls go before root calls of any class.

    Their roots have been admitted at the entry, by class, and hold slots
    elsewhere while they wait.
    """


@dataclasses.dataclass(frozen=True, kw_only=True)
class UrgencyFirst(PriorityFair):
    """Like `CallsFirst`, with the class of the root, and least slack first.

    A nested call counts with the class of the root for which it is made, so
    that it neither delays roots of a more urgent class nor waits behind those
    of a less urgent one. A call above the class of its own route, for which
    the class is an estimate, shares with the roots of the class instead of
    going before them. Of an organisation's requests in a class, the one
    whose response is due first is served first. Those that would be late go
    last, since serving them first would make the others late too.
    """


Policy: TypeAlias = (
    FirstInFirstOut | PriorityFair | CallsFirst | TreesFirst | UrgencyFirst
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueuedRequest:
    """A waiting request.

    Attributes:
      nested: Whether an upstream makes this call on behalf of a request that
        it is running.
      arrived_at: Monotonic seconds.
      deadline: Monotonic seconds.
      urgency: Class of the root for which the request is made; None if it is
        not known.
      due: Monotonic time at which its response is worth less; 0 if not known.
    """

    item_id: str
    organisation: str
    priority: model.Priority
    nested: bool = False
    arrived_at: float
    deadline: float
    urgency: model.Priority | None = None
    due: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Queue:
    """The waiting requests in order of arrival.

    Attributes:
      finish_times: Virtual finish time of the last request served, by rank
        and organisation (start-time fair queueing, Goyal et al., 1996).
      virtual_time: Virtual time by rank.
    """

    items: tuple[QueuedRequest, ...] = ()
    finish_times: tuple[tuple[tuple[int, str], float], ...] = ()
    virtual_time: tuple[tuple[int, float], ...] = ()


def fit_to_upstream(policy: Policy, limit: int, latency: float) -> Policy:
    """Returns the policy with wait and length adapted to the upstream.

    Args:
      policy: The configured policy.
      limit: Requests that the upstream may process at once.
      latency: Seconds that a request takes there; 0 if not known yet.
    """
    match policy:
        case PriorityFair(max_wait=max_wait) if max_wait and latency:
            # A wait of a few latencies is acceptable even at an upstream
            # whose requests take longer than `max_wait`.
            max_wait = max(max_wait, MIN_WAIT_FACTOR * latency)
            fitting_length = math.ceil(limit * max_wait / latency)
            length = max(MIN_QUEUE_LENGTH, min(policy.length, fitting_length))
            return frozen.replace(policy, length=length, max_wait=max_wait)
        case _:
            return policy


def min_time_left(policy: Policy, service_time: float) -> float:
    """Returns the seconds before its deadline at which a request must start.

    Args:
      policy: The policy in force.
      service_time: Minimum seconds that the upstream needs for a request.
    """
    match policy:
        case UrgencyFirst():
            return max(service_time, REFUSAL_MARGIN)
        case _:
            return service_time


def push(
    policy: Policy,
    queue: Queue,
    item: QueuedRequest,
    finish_at: float = float("-inf"),
) -> tuple[Queue, tuple[QueuedRequest, ...]]:
    """Adds an item and returns the items that are shed to make room.

    Args:
      policy: The policy in force.
      queue: The queue before.
      item: The item to add.
      finish_at: Earliest monotonic time at which a request that starts now is
        finished.
    """
    items = (*queue.items, item)
    match policy:
        case FirstInFirstOut(length=length):
            if length and len(items) > length:
                return queue, (item,)
            return frozen.replace(queue, items=items), ()
        case PriorityFair(length=length):
            if len(items) <= length:
                return frozen.replace(queue, items=items), ()
            victim = _choose_victim(policy, items, finish_at)
            return remove(frozen.replace(queue, items=items), victim), (victim,)


def pop(
    policy: Policy, queue: Queue, finish_at: float = float("-inf")
) -> tuple[Queue, QueuedRequest | None]:
    """Removes and returns the item to serve next, or None if empty.

    Args:
      policy: The policy in force.
      queue: The queue before.
      finish_at: Earliest monotonic time at which a request that starts now is
        finished.
    """
    if not queue.items:
        return queue, None
    match policy:
        case FirstInFirstOut():
            return frozen.replace(queue, items=queue.items[1:]), (
                queue.items[0]
            )
        case PriorityFair():
            return _pop_fairest(policy, queue, finish_at)


def can_finish(
    policy: Policy,
    queue: Queue,
    item: QueuedRequest,
    *,
    limit: int,
    latency: float,
    finish_at: float,
) -> bool:
    """Returns whether an item that has to wait may finish by its deadline.

    Args:
      policy: The policy in force.
      queue: The queue without the item.
      item: An item that finds no free slot.
      limit: Requests that the upstream may process at once.
      latency: Seconds that a request takes there.
      finish_at: Earliest monotonic time at which a request that starts now is
        finished.
    """
    match policy:
        case UrgencyFirst():
            rank = _rank(policy, item)
            ahead = sum(_rank(policy, other) < rank for other in queue.items)
            wait = latency * ahead / max(1, limit)
            return item.deadline >= finish_at + wait
        case _:
            return True


def remove_expired(
    policy: Policy, queue: Queue, now: float, service_time: float
) -> tuple[Queue, tuple[QueuedRequest, ...]]:
    """Removes items that waited too long or can't finish by their deadline.

    Shedding lowers the admission level, which makes entry nodes admit less.
    Without a maximum wait, a class that is never served would be shed only at
    its deadlines, long after the overload began.

    Args:
      policy: The policy in force.
      queue: The queue before.
      now: Monotonic seconds.
      service_time: Minimum seconds that the upstream needs for a request.
    """
    match policy:
        case FirstInFirstOut():
            return queue, ()
        case PriorityFair(max_wait=max_wait):
            pass
    expired_items = tuple(
        item
        for item in queue.items
        if item.deadline < now + service_time
        or (max_wait and now - item.arrived_at > max_wait)
    )
    if not expired_items:
        return queue, ()
    kept = tuple(item for item in queue.items if item not in expired_items)
    return frozen.replace(queue, items=kept), expired_items


def remove_past_deadline(
    queue: Queue, now: float
) -> tuple[Queue, tuple[QueuedRequest, ...]]:
    """Removes, under any policy, the items whose deadline has passed."""
    past_deadline = tuple(item for item in queue.items if item.deadline <= now)
    if not past_deadline:
        return queue, ()
    kept = tuple(item for item in queue.items if item.deadline > now)
    return frozen.replace(queue, items=kept), past_deadline


def remove(queue: Queue, item: QueuedRequest) -> Queue:
    """Removes one item."""
    return frozen.replace(
        queue, items=tuple(other for other in queue.items if other != item)
    )


def record_unqueued(policy: Policy, queue: Queue, item: QueuedRequest) -> Queue:
    """Charges a request that was served without queueing to its share."""
    match policy:
        case FirstInFirstOut():
            return queue
        case PriorityFair():
            return _charge_organisation(policy, queue, item)


def _rank(policy: Policy, item: QueuedRequest) -> int:
    """Returns the rank of an item's class; lower ranks are served first."""
    match policy:
        case CallsFirst():
            return 2 * item.priority + (not item.nested)
        case UrgencyFirst():
            urgency = item.priority if item.urgency is None else item.urgency
            # An estimate that raises a call above its route's class is often
            # wrong deep in a tree, where nearly all calls get the most urgent
            # class, so that such calls take turns with the roots of the class.
            is_estimated = item.nested and urgency < item.priority
            return 2 * urgency + (not item.nested or is_estimated)
        case TreesFirst():
            return int(item.priority) + len(model.Priority) * (not item.nested)
        case _:
            return int(item.priority)


def _service_order(
    policy: Policy, item: QueuedRequest, finish_at: float
) -> tuple[bool, float]:
    """Returns the key of the order inside a rank and an organisation.

    Items with equal keys are served in order of arrival.
    """
    match policy:
        case UrgencyFirst():
            due = item.deadline
            if item.due:
                due = min(due, item.due)
            return due < finish_at, due
        case _:
            return False, 0.0


def _choose_victim(
    policy: Policy, items: tuple[QueuedRequest, ...], finish_at: float
) -> QueuedRequest:
    last_rank = max(_rank(policy, item) for item in items)
    candidates = [item for item in items if _rank(policy, item) == last_rank]
    waiting_counts: dict[str, int] = {}
    for item in candidates:
        waiting_counts[item.organisation] = (
            waiting_counts.get(item.organisation, 0) + 1
        )
    most_waiting = max(waiting_counts.values())
    # Of equal items, `max` returns the first one, which is the newest here.
    return max(
        (
            item
            for item in reversed(candidates)
            if waiting_counts[item.organisation] == most_waiting
        ),
        key=lambda item: _service_order(policy, item, finish_at),
    )


def _pop_fairest(
    policy: Policy, queue: Queue, finish_at: float
) -> tuple[Queue, QueuedRequest]:
    first_rank = min(_rank(policy, item) for item in queue.items)
    finish_times = dict(queue.finish_times)
    heads: dict[str, QueuedRequest] = {}
    for item in queue.items:
        if _rank(policy, item) != first_rank:
            continue
        head = heads.setdefault(item.organisation, item)
        if _service_order(policy, item, finish_at) < _service_order(
            policy, head, finish_at
        ):
            heads[item.organisation] = item
    item = min(
        heads.values(),
        key=lambda head: finish_times.get((first_rank, head.organisation), 0.0),
    )
    return _charge_organisation(policy, remove(queue, item), item), item


def _charge_organisation(
    policy: Policy, queue: Queue, item: QueuedRequest
) -> Queue:
    key = (_rank(policy, item), item.organisation)
    finish_times = dict(queue.finish_times)
    virtual_times = dict(queue.virtual_time)
    start = max(finish_times.get(key, 0.0), virtual_times.get(key[0], 0.0))
    finish_times[key] = start + 1.0
    virtual_times[key[0]] = start
    # A finish time at or before the virtual time has no effect on the next
    # start time, so it is dropped.
    kept = {
        k: v
        for k, v in finish_times.items()
        if v > virtual_times.get(k[0], 0.0)
    }
    return frozen.replace(
        queue,
        finish_times=tuple(kept.items()),
        virtual_time=tuple(virtual_times.items()),
    )
