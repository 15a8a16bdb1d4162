"""Claims the idempotency key of a non-idempotent request before dispatch."""

from __future__ import annotations

import dataclasses
import hashlib
import uuid

import trio

from sassafrashall import clock
from sassafrashall import events
from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model
from sassafrashall import protocol
from sassafrashall.decisions import fleet_commands
from sassafrashall.transport import codec

CLAIM_TIMEOUT = 3.0  # seconds
RELEASE_TIMEOUT = 1.0  # seconds


class ClaimFilter:
    """Lets a non-idempotent request run at most once per idempotency key.

    Before it passes a request on, it commits a write-once claim on the key to
    a majority of the controls; without a majority it refuses the request.
    Requests without an idempotency key are not deduplicated.
    """

    def __init__(
        self, *, link: mailbox.Mailbox, event_log: events.EventLog
    ) -> None:
        self._link = link
        self._events = event_log

    async def handle(self, call: model.Call) -> model.FilterResult:
        """Claims the idempotency key, or refuses a duplicate."""
        if call.idempotent or not call.request.idempotency_key:
            return model.Forward(call=call)
        claim = fleet_commands.ClaimRequest(
            claim_id=uuid.uuid4().hex,
            organisation=call.organisation,
            idempotency_key=call.request.idempotency_key,
            fingerprint=_fingerprint(call.request),
        )
        timeout = min(CLAIM_TIMEOUT, call.deadline - clock.monotonic())
        try:
            result = await self._submit(claim, timeout)
        except exceptions.SassafrashallError as error:
            # The claim may have been committed although its result is lost.
            # It is released, or a retry would be refused as a duplicate.
            await self._release(call, claim.claim_id)
            return model.Refuse(
                code=exceptions.NO_MAJORITY,
                detail=f"the request could not be claimed: {error}",
                retry_after_s=1.0,
                retries_left=call.retries,
            )
        except trio.Cancelled:
            with trio.CancelScope(shield=True):
                await self._release(call, claim.claim_id)
            raise
        return self._handle_claim_result(call, claim.claim_id, result)

    def _handle_claim_result(
        self, call: model.Call, claim_id: str, result: object
    ) -> model.FilterResult:
        match result:
            case fleet_commands.Granted():
                self._events.record("claim.granted", call.root_id, claim_id)
                return model.Forward(
                    call=dataclasses.replace(call, claim_id=claim_id),
                    closes=True,
                )
            case fleet_commands.Taken(same_request=True):
                self._events.record("claim.duplicate", call.root_id)
                return model.Refuse(
                    code=exceptions.DUPLICATE,
                    detail="a request with this idempotency key was accepted",
                    run=model.RunState.UNKNOWN,
                    retries_left=call.retries,
                )
            case fleet_commands.Taken():
                return model.Refuse(
                    code=exceptions.IDEMPOTENCY_KEY_REUSED,
                    detail="this idempotency key belongs to another request",
                    retries_left=call.retries,
                )
            case _:
                raise TypeError(f"unknown result {result!r}")

    async def finish(self, call: model.Call, outcome: model.Outcome) -> None:
        """Releases the claim if the request is known not to have run."""
        match outcome:
            case model.Refuse(run=model.RunState.NOT_RUN):
                await self._release(call, call.claim_id)

    async def _release(self, call: model.Call, claim_id: str) -> None:
        release = fleet_commands.ReleaseClaim(
            claim_id=claim_id,
            organisation=call.organisation,
            idempotency_key=call.request.idempotency_key,
        )
        self._events.record("claim.released", call.root_id, claim_id)
        try:
            await self._submit(release, RELEASE_TIMEOUT)
        except exceptions.SassafrashallError:
            # The claim stays; a later attempt is refused as a duplicate.
            self._events.record("claim.release_lost", call.root_id, claim_id)

    async def _submit(
        self, command: fleet_commands.Command, timeout: float
    ) -> object:
        answer = await self._link.ask(
            messages.CallControl(
                message=protocol.SubmitCommand(command=codec.encode(command)),
                timeout=timeout,
            )
        )
        return codec.decode(answer.result)


def _fingerprint(request: model.Request) -> str:
    hasher = hashlib.sha256(f"{request.method} {request.target}\n".encode())
    hasher.update(request.body)
    return hasher.hexdigest()
