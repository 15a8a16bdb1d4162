"""Mailboxes, through which tasks exchange messages."""

from __future__ import annotations

import collections
from collections.abc import Callable
import dataclasses
from typing import Any
from typing import Generic
from typing import TypeVar

import trio

from sassafrashall import exceptions
from sassafrashall import fiber

MAILBOX_SIZE = 100_000  # messages

_T = TypeVar("_T")


class Reply:
    """The pending answer to one message."""

    __slots__ = (
        "_done",
        "_error",
        "_event",
        "_failed",
        "_on_abandon",
        "_on_done",
        "_value",
        "abandoned",
    )

    def __init__(self) -> None:
        self._done = False
        self._event: trio.Event | None = None
        self._value: Any = None
        self._error: BaseException | None = None
        self._failed = False
        self._on_abandon: Callable[[], None] | None = None
        self._on_done: Callable[[], None] | None = None
        self.abandoned = False

    @property
    def succeeded(self) -> bool:
        """Whether an answer has been delivered, and not an error."""
        return self._done and not self._failed

    def take(self) -> Any:
        """Returns the answer and lets go of it; None before it is delivered.

        The sender's task may keep the reply for as long as the answer is used,
        which may be a long body.
        """
        value, self._value = self._value, None
        return value

    @property
    def done(self) -> bool:
        """Whether an answer or an error has been delivered."""
        return self._done

    def put(self, value: Any) -> None:
        """Delivers the answer; does nothing if the reply is done."""
        if not self._done:
            self._value = value
            self._finish()

    def fail(self, error: BaseException) -> None:
        """Delivers an error; does nothing if the reply is done."""
        if not self._done:
            self._error, self._failed = error, True
            self._finish()

    def _finish(self) -> None:
        self._done = True
        if self._event is not None:
            self._event.set()
        elif self._on_done is not None:
            self._on_done()

    def on_done(self, callback: Callable[[], None]) -> None:
        """Sets the callback for the delivery of the answer or error."""
        self._on_done = callback

    def on_abandon(self, callback: Callable[[], None] | None) -> None:
        """Sets the callback for when the sender stops waiting.

        It is called at once if the sender has already stopped.
        """
        self._on_abandon = callback
        if self.abandoned and callback:
            callback()

    async def wait(self) -> Any:
        """Returns the answer once it is delivered, or raises the error.

        It may be called once. If the wait is cancelled, the message is
        abandoned.
        """
        if not self._done:
            try:
                if fiber.is_current():
                    await fiber.suspend(self)
                else:
                    self._event = trio.Event()
                    await self._event.wait()
            except (trio.Cancelled, fiber.Cancelled):
                # A delivered answer may grant a slot or a token, which would
                # be lost if it were dropped. It is returned; the cancellation
                # is raised at the next wait.
                if not self._done:
                    self.abandoned = True
                    if self._on_abandon:
                        self._on_abandon()
                    raise
        if self._failed:
            # The error refers to the frames it is raised in, and these to the
            # reply: it would keep them and all that they hold.
            error, self._error = self._error, None
            try:
                assert error is not None
                raise error
            finally:
                del error
        return self.take()


class _NoReply(Reply):
    """The reply of a message that needs no answer."""

    def put(self, value: Any) -> None:
        """Discards the answer."""

    def fail(self, error: BaseException) -> None:
        """Discards the error."""


NO_REPLY = _NoReply()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Envelope:
    """A queued message with its reply."""

    message: Any
    reply: Reply


Receiver = Callable[[Any, Reply], None]


class Mailbox:
    """Queues the messages of one task.

    A task that handles each message without waiting may `serve` its mailbox
    with a callback. A message to an idle task is then handled at once, within
    the sender's turn. That saves two scheduler turns, each with a system call,
    for every message on the path of a request. Messages are still handled in
    order and one at a time.
    """

    def __init__(self) -> None:
        self._send_channel, self._receive_channel = trio.open_memory_channel[
            Envelope
        ](MAILBOX_SIZE)
        self._receiver: Receiver | None = None
        self._is_handling = False
        self._closed = False
        self._queue: collections.deque[Envelope] = collections.deque()

    @property
    def closed(self) -> bool:
        """Whether new messages are refused."""
        return self._closed

    def tell(self, message: Any) -> None:
        """Sends a message that needs no answer."""
        self._deliver(message, NO_REPLY)

    async def ask(self, message: Any) -> Any:
        """Sends a message and waits for its answer."""
        reply = Reply()
        self._deliver(message, reply)
        if reply.succeeded:
            return reply.take()
        return await reply.wait()

    def forward(self, message: Any, reply: Reply) -> None:
        """Sends a message whose answer goes to an existing reply."""
        self._deliver(message, reply)

    def _deliver(self, message: Any, reply: Reply) -> None:
        if self._closed:
            raise exceptions.MailboxClosedError("task has ended")
        if self._receiver is not None:
            if self._is_handling or self._queue:
                self._queue.append(Envelope(message=message, reply=reply))
                self._handle_queued()
                return
            self._is_handling = True
            try:
                self._receiver(message, reply)
            finally:
                self._is_handling = False
            if self._queue:
                self._handle_queued()
            return
        try:
            self._send_channel.send_nowait(
                Envelope(message=message, reply=reply)
            )
        except (trio.ClosedResourceError, trio.BrokenResourceError) as error:
            raise exceptions.MailboxClosedError("task has ended") from error

    def serve(self, receiver: Receiver) -> None:
        """Passes queued messages, and then each new one, to `receiver`."""
        while (envelope := self.receive_nowait()) is not None:
            self._queue.append(envelope)
        self._receiver = receiver
        self._handle_queued()

    def _handle_queued(self) -> None:
        """Handles the queued messages, unless one is being handled now."""
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._queue and self._receiver is not None:
                envelope = self._queue.popleft()
                self._receiver(envelope.message, envelope.reply)
        finally:
            self._is_handling = False

    async def receive(self) -> Envelope:
        """Waits for the next message."""
        return await self._receive_channel.receive()

    def receive_nowait(self) -> Envelope | None:
        """Returns the next message, or None if none is queued."""
        try:
            return self._receive_channel.receive_nowait()
        except (
            trio.WouldBlock,
            trio.EndOfChannel,
            # Closed since the task was woken with an earlier message.
            trio.ClosedResourceError,
        ):
            return None

    def close(self) -> None:
        """Refuses new messages and fails the queued ones.

        Senders get `MailboxClosedError`.
        """
        if self._closed:
            return
        self._closed = True
        self._receiver = None
        self._send_channel.close()
        unhandled = list(self._queue)
        self._queue.clear()
        while (envelope := self.receive_nowait()) is not None:
            unhandled.append(envelope)
        for envelope in unhandled:
            envelope.reply.fail(exceptions.MailboxClosedError("task has ended"))
        self._receive_channel.close()


class Published(Generic[_T]):
    """Holds the latest frozen snapshot that its owner published."""

    def __init__(self, *, initial: _T) -> None:
        self._value = initial
        self._changed: trio.Event | None = None

    @property
    def value(self) -> _T:
        """The latest snapshot."""
        return self._value

    def publish(self, value: _T) -> None:
        """Replaces the snapshot and wakes the tasks that wait for a change."""
        self._value = value
        changed, self._changed = self._changed, None
        if changed is not None:
            changed.set()

    async def wait_changed(self) -> _T:
        """Waits for the next snapshot and returns it."""
        if self._changed is None:
            self._changed = trio.Event()
        await self._changed.wait()
        return self._value
