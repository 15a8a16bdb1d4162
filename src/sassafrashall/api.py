"""Operators' client library; the command line is a thin wrapper around it."""

from __future__ import annotations

import base64
from collections.abc import Callable
import dataclasses
import hmac
from typing import Any
import urllib.parse

import trio

from sassafrashall import clock
from sassafrashall import events
from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall import protocol
from sassafrashall import settings as settings_module
from sassafrashall.decisions import fleet_commands
from sassafrashall.filters import identity
from sassafrashall.transport import codec
from sassafrashall.transport import http_client
from sassafrashall.transport import rpc

CATCH_UP_TIMEOUT = 2.0  # seconds to wait until a control has our last change
POLL_INTERVAL = 0.2  # seconds between two status queries
EVENTS_TIMEOUT = 3.0  # seconds per process
_KEY_DERIVATION_LABEL = b"sassafrashall key "


class UnreachableError(exceptions.SassafrashallError):
    """No control answered; a change may or may not have been made."""

    code = "unreachable"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rollout:
    """Progress of a revision towards being in force on every node.

    Attributes:
      missing: VMs of live nodes that do not have it yet.
      silent: VMs of nodes whose heartbeats have stopped, so that it is not
        known whether they have it.
    """

    revision: int
    missing: tuple[str, ...]
    silent: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Timeline:
    """The merged events of all processes.

    Attributes:
      events: In the order of their hybrid time.
      unreachable: VMs of the processes that did not answer.
    """

    events: tuple[events.Event, ...]
    unreachable: tuple[str, ...]


class FleetClient:
    """Calls the controls on behalf of an operator."""

    def __init__(self, *, settings: settings_module.Tool) -> None:
        self._settings = settings
        self._seen_revision = 0
        self._clients = tuple(
            rpc.RpcClient(
                address=control.address,
                secret=settings.operator_secret,
                hybrid_clock=clock.HybridClock(),
            )
            for control in settings.controls
        )

    def close(self) -> None:
        """Closes the connections."""
        for client in self._clients:
            client.close()

    async def _call(self, message: Any) -> Any:
        """Calls the controls in turn until one answers.

        The calls share the timeout of the settings.

        Raises:
          UnreachableError: No control answered in time.
        """
        deadline = trio.current_time() + self._settings.timeout_s
        failures = []
        for index, client in enumerate(self._clients):
            remaining = deadline - trio.current_time()
            timeout = remaining / (len(self._clients) - index)
            try:
                return await client.call(message, max(0.05, timeout))
            except exceptions.RpcError as error:
                failures.append(str(error))
        raise UnreachableError("; ".join(failures))

    async def submit(
        self, command: fleet_commands.Command
    ) -> fleet_commands.Result:
        """Commits a command; sending it again with its change id is safe.

        Raises:
          UnreachableError: No control answered; whether the change was made is
            not known.
        """
        message = protocol.SubmitCommand(command=codec.encode(command))
        answer = await self._call(message)
        result = codec.decode(answer.result)
        if isinstance(result, fleet_commands.Accepted):
            self._seen_revision = max(self._seen_revision, result.revision)
        return result

    async def status(self) -> protocol.StatusReply:
        """Returns the fleet as seen by the first control that answers.

        While that control has not applied this client's own last change, the
        query is repeated for up to `CATCH_UP_TIMEOUT`.

        Raises:
          UnreachableError: No control answered.
        """
        deadline = trio.current_time() + CATCH_UP_TIMEOUT
        while True:
            reply = await self._call(protocol.StatusQuery())
            is_behind = reply.revision < self._seen_revision
            if not is_behind or trio.current_time() >= deadline:
                return reply
            await trio.sleep(POLL_INTERVAL)

    async def capacity(self) -> protocol.CapacityReply:
        """Returns the capacity of services as known to the first control.

        Raises:
          UnreachableError: No control answered.
        """
        reply: protocol.CapacityReply = await self._call(
            protocol.CapacityQuery()
        )
        return reply

    async def replace_replica(
        self, old_id: str, new_id: str
    ) -> fleet_commands.Result:
        """Replaces a lost voter by a learner; sending it again is safe.

        Once it is accepted, the lost voter counts towards no majority.

        Raises:
          UnreachableError: No control answered; whether the voter was replaced
            is not known.
        """
        message = protocol.ReplaceReplica(old_id=old_id, new_id=new_id)
        answer = await self._call(message)
        return codec.decode(answer.result)

    def new_key(self, change_id: str) -> str:
        """Returns the key that is issued under a change id.

        It is derived from the change id, so that sending the change again
        after a lost answer shows the key that was issued the first time.
        """
        secret = self._settings.operator_secret.encode()
        tag = hmac.digest(
            secret, _KEY_DERIVATION_LABEL + change_id.encode(), "sha256"
        )
        return base64.urlsafe_b64encode(tag[:24]).decode()

    async def issue_key(
        self, organisation: str, key_id: str, change_id: str
    ) -> tuple[fleet_commands.Result, str]:
        """Issues a key and returns it; only its digest is sent to a control.

        Raises:
          UnreachableError: No control answered; whether the key was issued is
            not known.
        """
        key = self.new_key(change_id)
        result = await self.submit(
            fleet_commands.IssueKey(
                change_id=change_id,
                organisation=organisation,
                key_id=key_id,
                digest=identity.digest(key),
            )
        )
        return result, key

    async def wait_in_force(
        self,
        revision: int,
        timeout: float,
        on_progress: Callable[[Rollout], None] | None = None,
    ) -> Rollout:
        """Waits until every node has a revision in force, or for the timeout.

        Args:
          revision: Fleet revision to wait for.
          timeout: Seconds.
          on_progress: Called with each result of the polling.

        Raises:
          UnreachableError: No control answered.
        """
        deadline = trio.current_time() + timeout
        while True:
            rollout = rollout_of(await self.status(), revision)
            if on_progress:
                on_progress(rollout)
            is_complete = not rollout.missing and not rollout.silent
            if is_complete or trio.current_time() >= deadline:
                return rollout
            await trio.sleep(POLL_INTERVAL)

    async def timeline(
        self,
        *,
        kind: str = "",
        request: str = "",
        process: str = "",
        since_ms: int = 0,
    ) -> Timeline:
        """Collects the events of all processes, in order of time.

        Args:
          kind: Prefix of the kind; empty for any.
          request: Root id of a call tree; empty for any.
          process: VM of the only process to ask; empty for all.
          since_ms: Physical time, in milliseconds, of the oldest event.

        Raises:
          UnreachableError: No control answered.
        """
        status = await self.status()
        collected: list[events.Event] = []
        unreachable: list[str] = []
        query = urllib.parse.urlencode(
            {"kind": kind, "request": request, "since_ms": since_ms}
        )

        async def collect(vm: str, address: model.Address) -> None:
            try:
                with trio.fail_after(EVENTS_TIMEOUT):
                    collected.extend(await _read_events(address, query))
            except (exceptions.SassafrashallError, trio.TooSlowError):
                unreachable.append(vm)

        async with trio.open_nursery() as nursery:
            for vm, address in _ops_addresses(status):
                if process in ("", vm):
                    nursery.start_soon(collect, vm, address)
        collected.sort(key=lambda event: (event.time, event.process))
        return Timeline(
            events=tuple(collected), unreachable=tuple(sorted(unreachable))
        )


def rollout_of(status: protocol.StatusReply, revision: int) -> Rollout:
    """Returns where a revision is in force according to one control."""
    missing = []
    silent = []
    for entry in status.nodes:
        if entry.lapsed:
            silent.append(entry.record.vm)
        elif entry.record.configuration_revision < revision:
            missing.append(entry.record.vm)
    return Rollout(
        revision=revision, missing=tuple(missing), silent=tuple(silent)
    )


def _ops_addresses(
    status: protocol.StatusReply,
) -> list[tuple[str, model.Address]]:
    """Returns VM and operations address of all controls and live nodes."""
    controls = [
        (record.vm, settings_module.parse_address(record.ops_address))
        for record in status.controls
    ]
    nodes = [
        (entry.record.vm, entry.record.ops_address)
        for entry in status.nodes
        if not entry.lapsed
    ]
    return controls + nodes


async def _read_events(
    address: model.Address, query: str
) -> tuple[events.Event, ...]:
    response = await http_client.get(address, f"/v1/events?{query}")
    reply = codec.from_json(response.body, protocol.EventsReply)
    return reply.events
