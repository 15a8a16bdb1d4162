"""Learns a newer configuration from controls other than the one in use."""

from __future__ import annotations

from typing import Any

import trio

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import metrics
from sassafrashall import model
from sassafrashall import protocol
from sassafrashall import task
from sassafrashall.decisions import route_table

ASK_TIMEOUT = 0.5  # seconds for a control to tell its revision
READ_TIMEOUT = 1.0  # seconds for a control to send the configuration
# Seconds after which a second control is asked to send the configuration.
SECOND_READ_DELAY = 0.1
# Seconds between questions of a node that has just started and knows no
# configuration: it refuses all requests until it does. One control is asked at
# a time, so that a restart of a whole fleet asks each control no more often
# than later rounds of a majority do.
STARTUP_INTERVAL = 0.1
# Seconds after which such a node asks no more often than others. A fleet may
# have no configuration yet.
STARTUP_PERIOD = 5.0


class ConfigurationWatch(task.Controller):
    """Asks a majority of the controls, in turn, for their revision.

    A control that is cut off, slow or behind goes on answering heartbeats. The
    node does not have to find that out to learn of a change: any other control
    that has applied it tells it within two rounds. The questions are signs of
    life too, so that a cut makes no control take the node for gone.
    """

    def __init__(
        self,
        *,
        link: mailbox.Mailbox,
        membership: mailbox.Mailbox,
        view: mailbox.Published[model.NodeView],
        table: mailbox.Published[route_table.RouteTable | None],
        interval: float,
        counters: metrics.Metrics,
    ) -> None:
        """Sets up the controller.

        Args:
          link: Mailbox of the link to the controls.
          membership: Mailbox of the task that holds the configuration.
          view: The configuration that the node holds.
          table: The routes that the node holds.
          interval: Seconds between two rounds.
          counters: The metrics of this process.
        """
        super().__init__()
        self._link = link
        self._membership = membership
        self._view = view
        self._table = table
        self._interval = interval
        self._metrics = counters
        self._reads = 0  # in progress

    async def _setup(self) -> None:
        self._spawn(self._ask_after_start)
        self._spawn(self._ask_regularly)

    def _handle(self, message: Any, reply: mailbox.Reply) -> None:
        raise AssertionError(f"unexpected message {message}")

    async def _ask_after_start(self) -> None:
        """Asks until the first configuration is known."""
        end = clock.monotonic() + STARTUP_PERIOD
        while clock.monotonic() < end:
            await trio.sleep(STARTUP_INTERVAL)
            if self._table.value is not None:
                return
            for address in (await self._link.ask(messages.ChooseControls()))[
                :1
            ]:
                self._spawn(self._ask_control, address)

    async def _ask_regularly(self) -> None:
        while True:
            await trio.sleep(self._interval)
            for address in await self._link.ask(messages.ChooseControls()):
                # A control that does not answer holds up no other one.
                self._spawn(self._ask_control, address)

    async def _ask_control(self, address: str) -> None:
        sent_at = clock.monotonic()
        ping = await self._membership.ask(messages.ComposePing())
        pong = await self._call(address, ping, ASK_TIMEOUT)
        if not isinstance(pong, protocol.Pong):
            return
        if pong.revision > self._revision:
            await self._read(address, pong.revision)
        elif pong.revision == self._revision:
            self._membership.tell(
                messages.ConfigurationConfirmed(
                    revision=pong.revision, fresh_at=sent_at - pong.proof_age
                )
            )

    @property
    def _revision(self) -> int:
        """The fleet revision that the node holds."""
        return self._view.value.configuration.revision

    async def _read(self, address: str, revision: int) -> None:
        """Reads the configuration, unless another control sends it first."""
        if self._reads:
            await trio.sleep(SECOND_READ_DELAY)
            if self._revision >= revision:
                return
        table = self._table.value
        query = protocol.ConfigurationQuery(
            revision=self._revision,
            document_version=table.document.version if table else 0,
            withdrawn_count=len(self._view.value.configuration.withdrawn),
        )
        self._reads += 1
        sent_at = clock.monotonic()
        try:
            answer = await self._call(address, query, READ_TIMEOUT)
        finally:
            self._reads -= 1
        if isinstance(answer, protocol.ConfigurationReply):
            self._metrics.count("configurations_read")
            self._membership.tell(
                messages.ConfigurationRead(reply=answer, sent_at=sent_at)
            )

    async def _call(self, address: str, message: Any, timeout: float) -> Any:
        """Returns the answer of a control; None if there is none."""
        call = messages.CallOneControl(
            address=address, message=message, timeout=timeout
        )
        try:
            return await self._link.ask(call)
        except exceptions.RpcError:
            self._metrics.count("control_questions_failed")
            return None
