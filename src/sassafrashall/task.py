"""The base class of tasks that own state and answer messages."""

from __future__ import annotations

from typing import Any

import trio

from sassafrashall import exceptions
from sassafrashall import mailbox as mailbox_module


class Controller:
    """A task with a mailbox that handles one message at a time.

    A subclass implements `_handle`, which must not block. Work that waits runs
    in a child task started by `_spawn`, which sends its result to the mailbox
    as a message.
    """

    def __init__(self) -> None:
        self._mailbox = mailbox_module.Mailbox()
        self._scope = trio.CancelScope()
        self._children: trio.Nursery | None = None
        self._ended = trio.Event()
        self._ended.set()

    @property
    def mailbox(self) -> mailbox_module.Mailbox:
        """The mailbox for messages to this task."""
        return self._mailbox

    async def start(self, nursery: trio.Nursery) -> None:
        """Starts the task in `nursery` and waits until it is set up."""
        self._ended = trio.Event()
        await nursery.start(self._run)

    async def close(self) -> None:
        """Refuses messages, cancels the task and its child tasks, and waits."""
        # A wait for the next message must end as cancelled.
        self._scope.cancel()
        self._mailbox.close()
        await self._ended.wait()

    async def _run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        try:
            with self._scope:
                async with trio.open_nursery() as self._children:
                    try:
                        await self._setup()
                        task_status.started()
                        await self._receive_messages()
                    finally:
                        # A message after the end of the child tasks could
                        # start no other one.
                        self._mailbox.close()
        finally:
            self._mailbox.close()
            with trio.CancelScope(shield=True):
                await self._teardown()
            self._ended.set()

    async def _receive_messages(self) -> None:
        self._mailbox.serve(self._on_message)
        await trio.sleep_forever()

    def _on_message(self, message: Any, reply: mailbox_module.Reply) -> None:
        if not reply.abandoned:
            self._handle(message, reply)

    def _spawn(self, function: Any, *args: Any) -> None:
        """Runs an asynchronous function in a child task."""
        assert self._children is not None
        self._children.start_soon(self._run_child, function, *args)

    async def _run_child(self, function: Any, *args: Any) -> None:
        try:
            await function(*args)
        except* exceptions.MailboxClosedError:
            # A child task may send its result while the task is ending.
            if not self._mailbox.closed:
                raise

    async def _setup(self) -> None:
        """Opens the resources of the task, before the first message."""

    async def _teardown(self) -> None:
        """Closes the resources of the task, when it ends."""

    def _handle(self, message: Any, reply: mailbox_module.Reply) -> None:
        """Handles one message and delivers its answer to `reply`."""
        raise NotImplementedError
