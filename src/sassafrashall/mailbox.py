"""Mailboxes: how tasks talk to each other by messages."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
from typing import Any
from typing import Generic
from typing import TypeVar

import trio

from sassafrashall import exceptions

MAILBOX_SIZE = 100_000  # messages

_T = TypeVar("_T")


class Reply:
    """The place where the answer to one message is put."""

    def __init__(self) -> None:
        self._event = trio.Event()
        self._value: Any = None
        self._error: BaseException | None = None
        self._on_abandon: Callable[[], None] | None = None
        self.abandoned = False

    def put(self, value: Any) -> None:
        """Delivers the answer; only the first one counts."""
        if not self._event.is_set():
            self._value = value
            self._event.set()

    def fail(self, error: BaseException) -> None:
        """Delivers an error in place of an answer."""
        if not self._event.is_set():
            self._error = error
            self._event.set()

    def on_abandon(self, callback: Callable[[], None] | None) -> None:
        """Sets what to call when the asker no longer waits."""
        self._on_abandon = callback
        if self.abandoned and callback:
            callback()

    async def wait(self) -> Any:
        """Waits for the answer; a cancelled wait abandons the message."""
        try:
            await self._event.wait()
        except trio.Cancelled:
            self.abandoned = True
            if self._on_abandon:
                self._on_abandon()
            raise
        if self._error is not None:
            raise self._error
        return self._value


@dataclasses.dataclass(frozen=True, kw_only=True)
class Envelope:
    """A message with the place for its answer, if one is wanted."""

    message: Any
    reply: Reply | None = None


class Mailbox:
    """The sending and the receiving end of one task's messages."""

    def __init__(self) -> None:
        self._send, self._receive = trio.open_memory_channel[Envelope](
            MAILBOX_SIZE
        )

    def tell(self, message: Any) -> None:
        """Sends a message that needs no answer."""
        self._put(Envelope(message=message))

    async def ask(self, message: Any) -> Any:
        """Sends a message and waits for its answer."""
        reply = Reply()
        self._put(Envelope(message=message, reply=reply))
        return await reply.wait()

    def forward(self, message: Any, reply: Reply) -> None:
        """Sends a message on whose answer somebody else waits for."""
        self._put(Envelope(message=message, reply=reply))

    def _put(self, envelope: Envelope) -> None:
        try:
            self._send.send_nowait(envelope)
        except (trio.ClosedResourceError, trio.BrokenResourceError) as error:
            raise exceptions.MailboxClosedError("task has ended") from error

    async def receive(self) -> Envelope:
        """Waits for the next message."""
        return await self._receive.receive()

    def receive_nowait(self) -> Envelope | None:
        """Returns the next message if one waits."""
        try:
            return self._receive.receive_nowait()
        except (trio.WouldBlock, trio.EndOfChannel):
            return None

    def close(self) -> None:
        """Refuses new messages and fails those that wait."""
        self._send.close()
        while (envelope := self.receive_nowait()) is not None:
            if envelope.reply:
                envelope.reply.fail(
                    exceptions.MailboxClosedError("task has ended")
                )
        self._receive.close()


class Published(Generic[_T]):
    """The latest frozen snapshot that its owner published."""

    def __init__(self, *, initial: _T) -> None:
        self._value = initial
        self._changed = trio.Event()

    @property
    def value(self) -> _T:
        """The latest snapshot."""
        return self._value

    def publish(self, value: _T) -> None:
        """Replaces the snapshot and wakes those that wait for a change."""
        self._value = value
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    async def wait_changed(self) -> _T:
        """Waits for the next snapshot."""
        await self._changed.wait()
        return self._value
