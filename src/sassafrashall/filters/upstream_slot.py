"""The slot of the local upstream that a call holds, and its streamed answer."""

from __future__ import annotations

from collections.abc import Callable
import contextlib

import trio

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model
from sassafrashall.transport import http

# Statuses by which an upstream says that it, or a call that it made, failed.
ERROR_STATUSES = (500, 504)
SHED_STATUSES = (429, 503)  # by which an upstream refuses for lack of capacity


class Slot:
    """A slot of the upstream; only the first release has an effect."""

    def __init__(
        self,
        *,
        admission: mailbox.Mailbox,
        demand_monitor: mailbox.Mailbox,
        route: str,
        service: str,
        counted: bool,
        cold: bool,
        streams: bool,
        urgency: model.Priority,
        nested: bool,
    ) -> None:
        """Takes over a slot.

        Args:
          admission: Mailbox of the task that owns the upstream's slots.
          demand_monitor: Mailbox of the task that counts runs.
          route: Name of the request's route.
          service: Service of the upstream.
          counted: Whether sends have to be told to `admission`.
          cold: Whether the upstream was cold when the slot was granted.
          streams: Whether the request has a body that is sent in parts.
          urgency: Class of the root of the call tree.
          nested: Whether an upstream made the call.
        """
        self.counted = counted
        self.cold = cold
        self._streams = streams
        self._sent_count = 0
        self._sending = False
        self._refused = False
        self._admission = admission
        self._demand_monitor = demand_monitor
        self._route = route
        self._service = service
        self._started_at = clock.monotonic()
        self._urgency = urgency
        self._nested = nested
        demand_monitor.tell(
            messages.RunStarted(route=route, service=service, urgency=urgency)
        )
        self._latency = -1.0
        self._shed = False
        self._completed = False
        self._failed = False
        self._timed_out = False
        self._released = False
        # Status of the streamed answer; 0 while there is none.
        self._streamed_status = 0
        # Whether the slot is in use until the upstream has streamed its answer.
        self.held_by_answer = False

    def encode_and_record(
        self, encode: Callable[[float], http.RawRequest], now: float
    ) -> http.RawRequest:
        """Encodes the request, which is sent now."""
        self._sending = True
        if self.counted and not self._streams:
            self._tell_sent(now)
        return encode(now)

    @property
    def is_sending(self) -> bool:
        """Whether the request has been sent, or is about to be."""
        return self._sending

    def _tell_sent(self, now: float) -> None:
        message = messages.RequestSent(
            sent_at=now, is_repeated=self._sent_count > 0
        )
        self._sent_count += 1
        self.tell(message)

    def tell(self, message: messages.RequestSent | messages.ColdTold) -> None:
        """Tells the controller that owns the slots, unless it has ended."""
        with contextlib.suppress(exceptions.MailboxClosedError):
            self._admission.tell(message)

    def record_refused_connection(self) -> None:
        """Records that the upstream's address accepted no connection."""
        self._refused = True

    def record_status(self, status: int) -> float:
        """Records the status of the answer and returns its latency.

        The latency is in seconds; that of a request that the upstream shed
        is not reported on release.
        """
        latency = clock.monotonic() - self._started_at
        self._shed = status in SHED_STATUSES
        if not self._shed:
            self._latency = latency
            self._completed = True
        return latency

    def hold_for_answer(self, status: int) -> None:
        """Keeps the slot until the upstream has streamed its answer."""
        self.held_by_answer = True
        self._streamed_status = status

    def release_streamed(self, complete: bool) -> None:
        """Frees the slot at the end of a streamed answer.

        Its time depends on the caller as well, so that it is no latency.
        """
        self._completed = complete and self._streamed_status not in (
            *ERROR_STATUSES,
            *SHED_STATUSES,
        )
        self.release()

    def record_failure(self, *, timed_out: bool) -> None:
        """Records that the upstream failed the request by itself."""
        self._failed = True
        self._timed_out = timed_out

    def release(self) -> None:
        """Frees the slot and reports how the upstream answered."""
        if not self._released:
            self._released = True
            if self.counted and self._sending and not self._sent_count:
                # A body that is sent in parts may have arrived until now.
                self._tell_sent(clock.monotonic())
            run_time = clock.monotonic() - self._started_at
            message = messages.SlotReleased(
                latency=self._latency,
                shed=self._shed,
                failed=self._failed,
                timed_out=self._timed_out,
                run_time=run_time,
                unsent=self.counted and not self._sending,
                refused=self._refused,
            )
            try:
                self._admission.tell(message)
                self._demand_monitor.tell(
                    messages.RunEnded(
                        route=self._route,
                        service=self._service,
                        seconds=run_time,
                        urgency=self._urgency,
                        completed=self._nested
                        and self._completed
                        and not self._failed,
                        refused=self._shed
                        or (self._failed and not self._timed_out),
                    )
                )
            except exceptions.MailboxClosedError:
                # A slot may outlive the controller when the process stops.
                pass


class StreamedAnswer:
    """The rest of a streamed answer, up to the deadline."""

    def __init__(self, *, rest: model.BodyReader, deadline: float) -> None:
        self._rest = rest
        self._deadline = deadline
        self._ended = False

    async def read(self) -> bytes:
        """Returns the next bytes, or none at the end.

        Raises:
          ConnectionFailedError: The upstream broke off or the deadline passed.
        """
        if self._ended:
            return b""
        remaining = max(0.0, self._deadline - clock.monotonic())
        with trio.move_on_after(remaining):
            data = await self._rest.read()
            self._ended = not data
            return data
        raise exceptions.ConnectionFailedError(
            "the deadline passed in the middle of the answer",
            maybe_delivered=True,
        )

    async def close(self) -> None:
        """Discards the rest."""
        if not self._ended:
            self._ended = True
            await self._rest.close()
