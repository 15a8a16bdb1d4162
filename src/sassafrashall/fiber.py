"""Coroutines that are resumed by replies, without turns of the scheduler.

A request waits only for replies to messages. A task for each of them would
cost two turns of the scheduler and a cancel scope at every node; a fiber runs
on in the turn of whoever delivers the reply that it waits for.
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
    """Raised inside of a fiber at the reply that it waits for."""


class Suspension(Protocol):
    """What a fiber waits for."""

    def on_done(self, callback: Callable[[], None]) -> None:
        """Sets what to call, once, when there is something to go on with."""
        ...


_running: list[Fiber] = []


def is_current() -> bool:
    """Returns whether the code that runs now belongs to a fiber."""
    return bool(_running)


@types.coroutine
def suspend(
    suspension: Suspension,
) -> Generator[Suspension, None, None]:
    """Waits inside of a fiber; raises `Cancelled` if it is cancelled."""
    yield suspension


class Fiber:
    """Runs a coroutine until it waits, and again after each reply.

    The coroutine may wait for replies of mailboxes and for nothing else.
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
        self._done = False

    @property
    def done(self) -> bool:
        """Whether the coroutine has ended."""
        return self._done

    def start(self) -> None:
        """Runs the coroutine up to its first wait."""
        self._step()

    def cancel(self) -> None:
        """Ends the coroutine at its next wait, or now if it waits."""
        if self._done or self._cancelled:
            return
        self._cancelled = True
        if not self._is_running:
            self._step()

    def _resume(self) -> None:
        # A cancelled fiber has left the reply that it waited for.
        if not self._done and not self._cancelled:
            self._step()

    def _step(self) -> None:
        coroutine = self._coroutine
        assert coroutine is not None
        self._is_running = True
        _running.append(self)
        suspension: Suspension | None = None
        try:
            suspension = coroutine.send(None) if not self._cancelled else None
            while self._cancelled:
                suspension = coroutine.throw(Cancelled())
        except (StopIteration, Cancelled):
            self._done = True
        except Exception:
            # Whoever delivered the reply has nothing to do with the fault.
            self._done = True
            logs.get().exception("fault in a fiber")
        finally:
            _running.pop()
            self._is_running = False
        if suspension is not None and not self._done:
            suspension.on_done(self._resume)
        else:
            self._end()

    def _end(self) -> None:
        # A cycle of references would leave each call to the collector.
        on_end, self._on_end, self._coroutine = self._on_end, None, None
        if on_end is not None:
            on_end()
