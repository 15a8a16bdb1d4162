"""Reads sign-offs from the log for nodes that start, many with one entry."""

from __future__ import annotations

import dataclasses
from typing import Any

from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import protocol
from sassafrashall import task
from sassafrashall.decisions import fleet_commands


@dataclasses.dataclass(frozen=True, kw_only=True)
class _ReadEnded:
    """The entry in progress is committed or has failed."""


class SignOffReader(task.Controller):
    """Answers the queries of nodes by reads that the log orders.

    After a restart of the whole fleet all nodes ask at once. Queries that
    arrive while an entry is being committed share the next one.
    """

    def __init__(self, *, replica: mailbox.Mailbox) -> None:
        """Sets up the reader.

        Args:
          replica: Mailbox of the task that holds the replica.
        """
        super().__init__()
        self._replica = replica
        self._waiting: list[tuple[str, mailbox.Reply]] = []
        self._is_reading = False

    def _handle(self, message: Any, reply: mailbox.Reply) -> None:
        match message:
            case protocol.SignOffQuery(vm=vm):
                self._waiting.append((vm, reply))
            case _ReadEnded():
                self._is_reading = False
        if self._waiting and not self._is_reading:
            self._is_reading = True
            queries, self._waiting = self._waiting, []
            self._spawn(self._read, queries)

    async def _read(self, queries: list[tuple[str, mailbox.Reply]]) -> None:
        vms = sorted({vm for vm, _ in queries})
        command = fleet_commands.ReadSignOffs(vms=tuple(vms))
        try:
            result = await self._replica.ask(messages.Submit(command=command))
        except exceptions.SassafrashallError as error:
            for _, reply in queries:
                reply.fail(error)
        else:
            for vm, reply in queries:
                reply.put(protocol.SignOffReply(sign_offs=result.by_vm[vm]))
        self.mailbox.tell(_ReadEnded())
