"""Gets a replica into the membership of the replicated log.

It either bootstraps the log, which the code calls founding the fleet, or asks
an existing membership to add the replica as a learner.
"""

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
from sassafrashall.decisions import replication
from sassafrashall.transport import rpc

BOOTSTRAP_INTERVAL = 0.3  # seconds between attempts to bootstrap the log
JOIN_INTERVAL = 1.0  # seconds between checks of the membership
MAX_MAJORITY_AGE = 2.0  # seconds since contact with a majority
CALL_TIMEOUT = 0.5  # seconds


class Founding(task.Controller):
    """Owns the calls to other controls while the replica is not a member.

    The founders are the controls that the settings name.
    """

    def __init__(
        self,
        *,
        address: str,
        founders: tuple[str, ...],
        may_found: bool,
        secret: str,
        replica: mailbox.Mailbox,
        event_log: events.EventLog,
    ) -> None:
        """Sets up the calls.

        Args:
          address: RPC address of this control.
          founders: RPC addresses of all founders.
          may_found: Whether this control may bootstrap a new log; if not, its
            empty data folder means that the folder was lost.
          secret: The fleet's secret.
          replica: Mailbox of the local replica.
          event_log: Provides the clock of the RPC clients.
        """
        super().__init__()
        self._founders = founders
        self._may_found = may_found
        self._replica = replica
        self._address = address
        self._clients = rpc.ClientPool(
            secret=secret, hybrid_clock=event_log.clock
        )

    async def _setup(self) -> None:
        self._spawn(self._ensure_membership)

    async def _teardown(self) -> None:
        self._clients.close()

    async def _ensure_membership(self) -> None:
        while True:
            status = await self._replica.ask(messages.ReadReplica())
            if not status.founded:
                await self._try_to_bootstrap(status)
                await trio.sleep(BOOTSTRAP_INTERVAL)
                continue
            if await self._is_not_member(status):
                await self._call_all_others(
                    protocol.JoinRequest(member=status.member),
                    status.membership.all_members(),
                )
            await trio.sleep(JOIN_INTERVAL)

    async def _try_to_bootstrap(self, status: messages.ReplicaStatus) -> None:
        answers = await self._call_all_others(protocol.FoundingQuery())
        membership = founding.initial_membership(
            status.member,
            self._founders,
            tuple(
                founding.FounderState(
                    member=answer.member,
                    founded=answer.founded,
                    membership=answer.membership,
                )
                for answer in answers
            ),
            may_found=self._may_found,
        )
        if membership is not None:
            self._replica.tell(messages.BootstrapReplica(membership=membership))

    async def _is_not_member(self, status: messages.ReplicaStatus) -> bool:
        """Returns whether this replica is not, or no longer, a member.

        A replica that was replaced while it was partitioned is not informed
        of it, so it asks the others once it has lost contact with a majority.
        """
        own_id = status.member.replica_id
        members = status.membership.all_members()
        if own_id not in {member.replica_id for member in members}:
            return True
        if status.majority_age < MAX_MAJORITY_AGE:
            return False
        answers = await self._call_all_others(
            protocol.FoundingQuery(), status.membership.all_members()
        )
        return any(
            answer.majority_age < MAX_MAJORITY_AGE
            and answer.membership.voters
            and own_id
            not in {m.replica_id for m in answer.membership.all_members()}
            for answer in answers
        )

    async def _call_all_others(
        self,
        message: Any,
        members: tuple[replication.Member, ...] = (),
    ) -> list[Any]:
        """Returns the answers of the other controls that can be reached.

        Args:
          message: The request.
          members: Asked beside the founders, all of which may have been
            replaced.
        """
        answers: list[Any] = []
        member_addresses = {member.address for member in members}
        addresses = {*self._founders, *member_addresses} - {self._address}

        async def ask(client: rpc.RpcClient) -> None:
            try:
                answers.append(await client.call(message, CALL_TIMEOUT))
            except exceptions.RpcError:
                pass

        async with trio.open_nursery() as nursery:
            for address in sorted(addresses):
                nursery.start_soon(ask, self._clients.get(address))
        return answers
