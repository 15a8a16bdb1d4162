import pytest
import trio
import trio.testing

from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import task
from tests import fakes


class _Counter(task.Controller):
    """Counts what it is told and answers with the count."""

    def __init__(self):
        super().__init__()
        self.seen = []

    def _handle(self, message, reply):
        self.seen.append(message)
        if message == "again":
            # A message to itself waits until this one is done.
            self.mailbox.tell("later")
            self.seen.append("done")
        reply.put(len(self.seen))


async def test_messages_are_handled_one_at_a_time_and_in_order():
    counter = _Counter()
    async with fakes.started(counter):
        await counter.mailbox.ask("again")
        assert counter.seen == ["again", "done", "later"]


async def test_an_answer_that_is_there_is_taken_in_spite_of_a_cancellation():
    """Else the slot that was granted would be lost for good."""
    reply = mailbox.Reply()
    taken = []

    async def ask():
        with trio.CancelScope() as scope:
            scopes.append(scope)
            taken.append(await reply.wait())
            await trio.sleep(1)
            taken.append("went on")

    scopes = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await trio.testing.wait_all_tasks_blocked()
        # The cancellation reaches the task only in its next turn.
        scopes[0].cancel()
        reply.put("slot")
    assert taken == ["slot"]


async def test_an_abandoned_question_is_said_so():
    reply = mailbox.Reply()
    called = []
    reply.on_abandon(lambda: called.append(True))
    with trio.move_on_after(0.01):
        await reply.wait()
    assert reply.abandoned and called


async def test_a_task_that_has_ended_takes_no_messages():
    counter = _Counter()
    async with fakes.started(counter):
        pass
    with pytest.raises(exceptions.MailboxClosedError):
        await counter.mailbox.ask("x")


async def test_messages_sent_before_the_start_are_handled():
    counter = _Counter()
    counter.mailbox.tell("early")
    async with fakes.started(counter):
        assert await counter.mailbox.ask("x") == 2


async def test_published_snapshots_wake_those_that_wait():
    published = mailbox.Published(initial=1)
    found = []

    async def follow():
        found.append(await published.wait_changed())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(follow)
        await trio.testing.wait_all_tasks_blocked()
        published.publish(2)
    assert found == [2] and published.value == 2
