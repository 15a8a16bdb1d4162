import contextlib
import dataclasses

import trio
import trio.testing

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model
from sassafrashall import settings
from sassafrashall.controllers import admission
from sassafrashall.decisions import retries
from tests import fakes

READY = model.Upstream(
    service="a",
    address=model.Address(host="127.0.0.1", port=1),
    slots=8,
    connection_limit=8,
    state=model.UpstreamState.READY,
)


@contextlib.asynccontextmanager
async def _admission(**policy):
    local = mailbox.Published(initial=None)
    controller = admission.Admission(
        local_upstream=local,
        admission_level=mailbox.Published(initial=-1),
        policy=settings.Policy(limit="fixed", **policy),
        event_log=fakes.event_log(),
        counters=fakes.counters(),
    )
    async with fakes.started(controller):
        await trio.testing.wait_all_tasks_blocked()
        local.publish(READY)
        await trio.testing.wait_all_tasks_blocked()
        yield controller, local


# Guards against an upstream that goes unnoticed until its state changes again:
# it was announced before the task that follows it had run.
async def test_an_announcement_at_the_start_is_not_missed():
    # The scheduler runs the two tasks in random order.
    for _ in range(16):
        local = mailbox.Published(initial=None)
        controller = admission.Admission(
            local_upstream=local,
            admission_level=mailbox.Published(initial=-1),
            policy=settings.Policy(limit="fixed"),
            event_log=fakes.event_log(),
            counters=fakes.counters(),
        )
        async with fakes.started(controller):
            local.publish(READY)
            await trio.testing.wait_all_tasks_blocked()
            answer = await controller.mailbox.ask(_admit("first"))
            assert isinstance(answer, messages.Admitted)


def _admit(call_id, priority=model.Priority.NORMAL, timeout=5.0):
    return messages.Admit(
        call_id=call_id,
        organisation="org",
        priority=priority,
        nested=False,
        root_id=call_id,
        deadline=clock.monotonic() + timeout,
    )


async def _fill_slots(controller, count=READY.slots):
    for number in range(count):
        answer = await controller.mailbox.ask(_admit(f"first-{number}"))
        assert isinstance(answer, messages.Admitted)


async def _ask_into(controller, message, answers):
    answers.append(await controller.mailbox.ask(message))


async def test_concurrency_is_limited_to_the_slots():
    async with _admission() as (controller, _), trio.open_nursery() as nursery:
        await _fill_slots(controller)
        answers = []
        nursery.start_soon(_ask_into, controller, _admit("next"), answers)
        await trio.testing.wait_all_tasks_blocked()
        assert not answers
        controller.mailbox.tell(messages.SlotReleased(latency=0.01))
        await trio.testing.wait_all_tasks_blocked()
        assert isinstance(answers[0], messages.Admitted)


async def test_abandoned_request_takes_no_slot():
    async with _admission() as (controller, _):
        await _fill_slots(controller)
        with trio.move_on_after(0.01):
            await controller.mailbox.ask(_admit("left"))
        controller.mailbox.tell(messages.SlotReleased(latency=0.01))
        with trio.fail_after(1):
            answer = await controller.mailbox.ask(_admit("next"))
        assert isinstance(answer, messages.Admitted)


async def test_request_waiting_over_the_maximum_is_shed():
    policy = {"longest_wait_ms": 40}
    async with _admission(**policy) as (controller, _):
        await _fill_slots(controller)
        controller.mailbox.tell(messages.SlotReleased(latency=0.001))
        await _fill_slots(controller, 1)
        with trio.fail_after(1):
            shed = await controller.mailbox.ask(_admit("late"))
        assert isinstance(shed, messages.Shed)
        assert shed.code == exceptions.SHED


async def test_critical_request_overtakes_a_waiting_normal_one():
    async with _admission() as (controller, _), trio.open_nursery() as nursery:
        await _fill_slots(controller)
        normal, critical = [], []
        nursery.start_soon(_ask_into, controller, _admit("n"), normal)
        await trio.testing.wait_all_tasks_blocked()
        urgent = _admit("c", model.Priority.CRITICAL)
        nursery.start_soon(_ask_into, controller, urgent, critical)
        await trio.testing.wait_all_tasks_blocked()
        controller.mailbox.tell(messages.SlotReleased(latency=0.01))
        await trio.testing.wait_all_tasks_blocked()
        assert critical and not normal
        controller.mailbox.tell(messages.SlotReleased(latency=0.01))


async def test_upstream_that_is_gone_gets_no_more_requests():
    async with _admission() as (controller, local):
        await _fill_slots(controller)
        answers = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_ask_into, controller, _admit("waits"), answers)
            await trio.testing.wait_all_tasks_blocked()
            local.publish(None)
        after = await controller.mailbox.ask(_admit("after"))
    assert answers[0].code == exceptions.STOPPING
    assert after.code == exceptions.NO_UPSTREAM


# Guards against a queued request staying without an answer when a node stops.
async def test_close_refuses_the_requests_in_the_queue():
    async with _admission() as (controller, _), trio.open_nursery() as nursery:
        await _fill_slots(controller)
        answers = []
        nursery.start_soon(_ask_into, controller, _admit("queued"), answers)
        await trio.testing.wait_all_tasks_blocked()
        await controller.close()
        nursery.cancel_scope.deadline = trio.current_time() + 1
    (answer,) = answers
    assert answer.code == exceptions.STOPPING


def _failing():
    return messages.SlotReleased(
        latency=0.7, failed=True, timed_out=True, run_time=0.7
    )


async def test_an_upstream_that_answers_nothing_is_not_sent_more():
    """Pattern: one upstream takes requests and answers none of them."""
    async with _admission(breaker="consecutive-failures") as (
        controller,
        local,
    ):
        for number in range(40):
            answer = await controller.mailbox.ask(_admit(f"c{number}"))
            if not isinstance(answer, messages.Admitted):
                break
            controller.mailbox.tell(_failing())
        assert number == 20
        assert answer.code == exceptions.NO_UPSTREAM
        # Its next run starts without that history.
        local.publish(dataclasses.replace(READY, incarnation="next"))
        await trio.testing.wait_all_tasks_blocked()
        answer = await controller.mailbox.ask(_admit("next"))
        assert isinstance(answer, messages.Admitted)


async def test_without_a_breaker_it_is_sent_all():
    async with _admission() as (controller, _):
        for number in range(40):
            answer = await controller.mailbox.ask(_admit(f"c{number}"))
            assert isinstance(answer, messages.Admitted)
            controller.mailbox.tell(_failing())


async def test_cancelled_requests_do_not_open_the_breaker():
    async with _admission(breaker="consecutive-failures") as (controller, _):
        for number in range(40):
            answer = await controller.mailbox.ask(_admit(f"c{number}"))
            assert isinstance(answer, messages.Admitted)
            controller.mailbox.tell(messages.SlotReleased(latency=-1.0))


async def test_a_call_that_may_not_wait_is_shed_at_once_without_a_free_slot():
    async with _admission() as (controller, _):
        for number in range(READY.slots):
            answer = await controller.mailbox.ask(_admit(f"c{number}"))
            assert isinstance(answer, messages.Admitted)
        moving = dataclasses.replace(_admit("moving"), may_wait=False)
        with trio.fail_after(1):
            answer = await controller.mailbox.ask(moving)
        assert answer.code == exceptions.SHED
        controller.mailbox.tell(messages.SlotReleased(latency=0.01))
        answer = await controller.mailbox.ask(moving)
        assert isinstance(answer, messages.Admitted)


async def test_requests_that_wait_move_on_when_the_upstream_fails():
    async with _admission(breaker="consecutive-failures") as (controller, _):
        answers = []

        async def wait_for_slot(number):
            answers.append(await controller.mailbox.ask(_admit(f"w{number}")))

        async with trio.open_nursery() as nursery:
            for number in range(READY.slots):
                await controller.mailbox.ask(_admit(f"c{number}"))
            for number in range(30):
                nursery.start_soon(wait_for_slot, number)
            await trio.testing.wait_all_tasks_blocked()
            for _ in range(20):
                controller.mailbox.tell(_failing())
            with trio.fail_after(1):
                await trio.testing.wait_all_tasks_blocked()
        refused = [a for a in answers if not isinstance(a, messages.Admitted)]
        assert {answer.code for answer in refused} == {exceptions.NO_UPSTREAM}


async def test_a_call_that_can_no_longer_finish_is_refused_at_once():
    """Guards against calls that are held although they can't be answered.

    The node that makes the call learns at once that it has not run, and sends
    it to another upstream, which may have a free slot.
    """
    async with _admission(queue="urgency-first") as (controller, _):
        await _fill_slots(controller)
        # From now on, the upstream is known to take at least 100 ms.
        controller.mailbox.tell(messages.SlotReleased(latency=0.1, shed=False))
        await _fill_slots(controller, 1)
        with trio.fail_after(0.04):
            answer = await controller.mailbox.ask(_admit("late", timeout=0.05))
        assert isinstance(answer, messages.Shed)
        assert answer.code == exceptions.SHED
        refusal = model.Refuse(code=answer.code, detail=answer.detail)
        assert retries.refused_before_upstream(refusal)


async def test_a_call_is_served_by_the_class_of_its_root():
    async with _admission(queue="urgency-first") as (controller, _):
        await _fill_slots(controller)
        order = []

        async def ask(message):
            await controller.mailbox.ask(message)
            order.append(message.call_id)

        async with trio.open_nursery() as nursery:
            for call_id, urgency in (
                ("normal", model.Priority.NORMAL),
                ("critical", model.Priority.CRITICAL),
            ):
                message = dataclasses.replace(
                    _admit(call_id), nested=True, urgency=urgency
                )
                nursery.start_soon(ask, message)
                await trio.testing.wait_all_tasks_blocked()
            for _ in range(2):
                controller.mailbox.tell(
                    messages.SlotReleased(latency=0.01, shed=False)
                )
                await trio.testing.wait_all_tasks_blocked()
        assert order == ["critical", "normal"]
