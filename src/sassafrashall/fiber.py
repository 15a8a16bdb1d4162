"""Coroutines that replies resume directly, without the Trio scheduler.

A request waits only for replies to messages. Running it in a task of its own
would cost two scheduler turns and a cancel scope at every node. A fiber
resumes within the call that delivers the reply it waits for.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Generator
import types
from typing import Any
from typing import Protocol

from sassafrashall import logs


class Cancelled(BaseException):
    """Raised in a cancelled fiber, at the reply that it waits for.

    Its text is the reason.
    """


class Suspension(Protocol):
    """What a fiber waits for."""

    def on_done(self, callback: Callable[[], None]) -> None:
        """Sets the callback that resumes the fiber; it is called once."""
        ...


_running_fibers: list[Fiber] = []


def is_current() -> bool:
    """Returns whether the calling code runs in a fiber."""
    return bool(_running_fibers)


@types.coroutine
def suspend(
    suspension: Suspension,
) -> Generator[Suspension, None, None]:
    """Suspends the current fiber until `suspension` resumes it.

    Raises:
      Cancelled: The fiber was cancelled.
    """
    yield suspension


class Fiber:
    """Runs a coroutine until it waits, and resumes it after each reply.

    The coroutine may wait only for replies of mailboxes.
    """

    def __init__(
        self,
        *,
        coroutine: Coroutine[Any, Any, None],
        on_end: Callable[[], None] | None = None,
    ) -> None:
        self._coroutine: Coroutine[Any, Any, None] | None = coroutine
        self._on_end = on_end
        self._is_running = False
        self._cancelled = False
        self._cancel_reason = ""
        self._done = False

    @property
    def done(self) -> bool:
        """Whether the coroutine has ended."""
        return self._done

    def start(self) -> None:
        """Runs the coroutine until its first wait."""
        self._step()

    def cancel(self, reason: str = "") -> None:
        """Cancels the coroutine at its current or else its next wait."""
        if self._done or self._cancelled:
            return
        self._cancelled = True
        self._cancel_reason = reason
        if not self._is_running:
            self._step()

    def _resume(self) -> None:
        # The reply may still arrive after the fiber was cancelled.
        if not self._done and not self._cancelled:
            self._step()

    def _step(self) -> None:
        coroutine = self._coroutine
        assert coroutine is not None
        self._is_running = True
        _running_fibers.append(self)
        suspension: Suspension | None = None
        try:
            suspension = coroutine.send(None) if not self._cancelled else None
            while self._cancelled:
                suspension = coroutine.throw(Cancelled(self._cancel_reason))
        except (StopIteration, Cancelled):
            self._done = True
        except Exception:
            # The error must not reach the code that delivered the reply.
            self._done = True
            logs.get().exception("unhandled exception in a fiber")
        finally:
            _running_fibers.pop()
            self._is_running = False
        if suspension is not None and not self._done:
            suspension.on_done(self._resume)
        else:
            self._end()

    def _end(self) -> None:
        # Breaks the reference cycle with the owner of the fiber, so that a
        # call is freed without the garbage collector.
        on_end, self._on_end, self._coroutine = self._on_end, None, None
        if on_end is not None:
            on_end()
