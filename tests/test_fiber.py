import gc
import weakref

import trio
import trio.testing

from sassafrashall import fiber
from sassafrashall import mailbox


def _fiber(coroutine, ends=None):
    return fiber.Fiber(
        coroutine=coroutine,
        on_end=None if ends is None else lambda: ends.append(True),
    )


async def test_a_fiber_goes_on_in_the_turn_of_whoever_replies():
    reply, seen, ends = mailbox.Reply(), [], []

    async def work():
        seen.append(await reply.wait())

    waiting = _fiber(work(), ends)
    waiting.start()
    assert (seen, ends, waiting.done) == ([], [], False)
    reply.put("answer")
    assert (seen, ends, waiting.done) == (["answer"], [True], True)


async def test_a_cancelled_fiber_abandons_its_question_and_cleans_up():
    reply, seen = mailbox.Reply(), []
    reply.on_abandon(lambda: seen.append("abandoned"))

    async def work():
        try:
            await reply.wait()
        finally:
            seen.append("cleaned up")

    waiting = _fiber(work())
    waiting.start()
    waiting.cancel()
    assert seen == ["abandoned", "cleaned up"]
    assert waiting.done and reply.abandoned
    reply.put("too late")


async def test_a_fiber_cancelled_in_its_own_turn_ends_at_its_next_wait():
    first, second, seen = mailbox.Reply(), mailbox.Reply(), []

    async def work():
        await first.wait()
        waiting.cancel()
        seen.append("still here")
        await second.wait()
        seen.append("not reached")

    waiting = _fiber(work())
    waiting.start()
    first.put(None)
    assert seen == ["still here"]
    assert waiting.done and second.abandoned


async def test_a_fault_in_a_fiber_does_not_reach_whoever_replies(caplog):
    reply, ends = mailbox.Reply(), []

    async def work():
        await reply.wait()
        raise ValueError("a fault of the test")

    _fiber(work(), ends).start()
    reply.put(None)
    assert ends == [True]
    assert "fault in a fiber" in caplog.text


async def test_an_error_is_raised_where_the_fiber_waits():
    reply, seen = mailbox.Reply(), []

    async def work():
        try:
            await reply.wait()
        except ValueError as error:
            seen.append(str(error))

    _fiber(work()).start()
    reply.fail(ValueError("no"))
    assert seen == ["no"]


async def test_a_task_that_is_no_fiber_waits_as_ever():
    reply, seen = mailbox.Reply(), []

    async def work():
        seen.append(await reply.wait())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(work)
        await trio.testing.wait_all_tasks_blocked()
        assert not fiber.is_current()
        reply.put("answer")
    assert seen == ["answer"]


async def test_a_fiber_that_ended_is_freed_without_the_collector():
    reply = mailbox.Reply()

    class Owner:
        def __init__(self):
            self.fiber = fiber.Fiber(coroutine=self.work(), on_end=self.end)

        async def work(self):
            await reply.wait()

        def end(self):
            pass

    owner = Owner()
    owner.fiber.start()
    reply.put(None)
    freed = weakref.ref(owner)
    gc.disable()
    try:
        del owner
        assert freed() is None
    finally:
        gc.enable()
