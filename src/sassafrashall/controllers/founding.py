"""Makes a replica a member: founds the fleet, or asks to be a learner."""

from __future__ import annotations

from typing import Any

import trio

from sassafrashall import events
from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import protocol
from sassafrashall import task
from sassafrashall.decisions import founding
from sassafrashall.transport import rpc

FOUNDING_INTERVAL = 0.3  # seconds
JOIN_INTERVAL = 1.0  # seconds
CALL_TIMEOUT = 0.5  # seconds


class Founding(task.Controller):
    """Owns the calls to the founders until the replica is a member."""

    def __init__(
        self,
        *,
        address: str,
        founders: tuple[str, ...],
        secret: str,
        replica: mailbox.Mailbox,
        event_log: events.EventLog,
    ) -> None:
        super().__init__()
        self._founders = founders
        self._replica = replica
        self._others = tuple(f for f in founders if f != address)
        self._clients = rpc.ClientPool(
            secret=secret, hybrid_clock=event_log.clock
        )

    async def _setup(self) -> None:
        self._spawn(self._work)

    async def _teardown(self) -> None:
        self._clients.close()

    async def _work(self) -> None:
        while True:
            status = await self._replica.ask(messages.ReadReplica())
            known = {m.replica_id for m in status.membership.everyone()}
            if status.member.replica_id in known:
                return
            if status.founded:
                await self._ask_all(protocol.JoinRequest(member=status.member))
                await trio.sleep(JOIN_INTERVAL)
                continue
            answers = await self._ask_all(protocol.FoundingQuery())
            membership = founding.decide(
                status.member,
                self._founders,
                tuple(
                    founding.Answer(
                        member=answer.member,
                        founded=answer.founded,
                        membership=answer.membership,
                    )
                    for answer in answers
                ),
            )
            if membership is not None:
                self._replica.tell(messages.Found(membership=membership))
            await trio.sleep(FOUNDING_INTERVAL)

    async def _ask_all(self, message: Any) -> list[Any]:
        answers: list[Any] = []

        async def ask(client: rpc.RpcClient) -> None:
            try:
                answers.append(await client.call(message, CALL_TIMEOUT))
            except exceptions.RpcError:
                pass

        async with trio.open_nursery() as nursery:
            for address in self._others:
                nursery.start_soon(ask, self._clients.get(address))
        return answers
