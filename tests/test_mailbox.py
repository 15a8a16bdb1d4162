import pytest
import trio
import trio.testing

from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import task
from tests import fakes


class _Counter(task.Controller):
    """Counts its messages and answers with the count."""

    def __init__(self):
        super().__init__()
        self.handled = []

    def _handle(self, message, reply):
        self.handled.append(message)
        if message == "again":
            # A message to itself is queued until this one has been handled.
            self.mailbox.tell("later")
            self.handled.append("done")
        reply.put(len(self.handled))


async def test_messages_are_handled_one_at_a_time_and_in_order():
    counter = _Counter()
    async with fakes.started(counter):
        await counter.mailbox.ask("again")
        assert counter.handled == ["again", "done", "later"]


async def test_a_delivered_answer_is_returned_in_spite_of_a_cancellation():
    """A slot that was granted to a cancelled caller would otherwise leak."""
    reply = mailbox.Reply()
    events = []

    async def ask():
        with trio.CancelScope() as scope:
            scopes.append(scope)
            events.append(await reply.wait())
            await trio.sleep(1)
            events.append("not cancelled")

    scopes = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await trio.testing.wait_all_tasks_blocked()
        # The task is cancelled only in its next turn, after the answer.
        scopes[0].cancel()
        reply.put("slot")
    assert events == ["slot"]


async def test_a_cancelled_wait_abandons_the_message():
    reply = mailbox.Reply()
    called = []
    reply.on_abandon(lambda: called.append(True))
    with trio.move_on_after(0.01):
        await reply.wait()
    assert reply.abandoned and called


async def test_an_ended_task_refuses_messages():
    counter = _Counter()
    async with fakes.started(counter):
        pass
    with pytest.raises(exceptions.MailboxClosedError):
        await counter.mailbox.ask("x")


class _Spawning(task.Controller):
    """Starts a child task for each message."""

    def _handle(self, message, reply):
        self._spawn(trio.sleep_forever)
        reply.put(None)


class _SendOnTaskExit(trio.abc.Instrument):
    """Sends a message whenever a task has ended; keeps the errors' types."""

    def __init__(self, target):
        self._target = target
        self.errors = []

    def task_exited(self, task):
        try:
            self._target.tell("late")
        except Exception as error:
            self.errors.append(type(error))


# Guards against a message between the end of the children and of the mailbox.
async def test_message_during_the_close_of_a_task_starts_no_child():
    spawning = _Spawning()
    async with fakes.started(spawning):
        await spawning.mailbox.ask("x")
        late = _SendOnTaskExit(spawning.mailbox)
        trio.lowlevel.add_instrument(late)
        await spawning.close()
        trio.lowlevel.remove_instrument(late)
    assert set(late.errors) == {exceptions.MailboxClosedError}


class _Reporting(task.Controller):
    """Has a child task that sends a message when it is cancelled."""

    async def _setup(self):
        self._spawn(self._report)

    async def _report(self):
        try:
            await trio.sleep_forever()
        finally:
            self.mailbox.tell("the end")


async def test_child_that_sends_to_its_ending_task_does_not_fail_the_close():
    reporting = _Reporting()
    async with fakes.started(reporting):
        await trio.testing.wait_all_tasks_blocked()
    assert reporting.mailbox.closed


async def test_messages_sent_before_the_start_are_handled():
    counter = _Counter()
    counter.mailbox.tell("early")
    async with fakes.started(counter):
        assert await counter.mailbox.ask("x") == 2


async def test_publishing_a_snapshot_wakes_waiting_tasks():
    published = mailbox.Published(initial=1)
    received = []

    async def follow():
        received.append(await published.wait_changed())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(follow)
        await trio.testing.wait_all_tasks_blocked()
        published.publish(2)
    assert received == [2] and published.value == 2
