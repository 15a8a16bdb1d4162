"""Identifies the organisation of a request by key, ticket or open route."""

from __future__ import annotations

import hashlib

import xxhash

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import frozen
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model
from sassafrashall import organisation_model


def digest(key: str) -> str:
    """Returns the SHA-256 digest of a key, which the fleet stores for it."""
    return hashlib.sha256(key.encode()).hexdigest()


class IdentityFilter:
    """Sets the organisation of a request, or refuses the request."""

    def __init__(
        self,
        *,
        node: str,
        view: mailbox.Published[model.NodeView],
        running: mailbox.Mailbox,
    ) -> None:
        self._node = node
        self._view = view
        self._running = running

    async def handle(self, call: model.Call) -> model.FilterResult:
        """Authenticates every request, also later ones on a connection."""
        request = call.request
        if request.bad_ticket:
            return model.Refuse(
                code=exceptions.INVALID_TICKET,
                detail="the ticket is not signed by this fleet",
            )
        if request.ticket is not None:
            return await self._identify_nested(call, request.ticket)
        if request.key:
            return self._identify_by_key(call)
        return self._identify_by_open_route(call)

    async def finish(self, call: model.Call, outcome: model.Outcome) -> None:
        """Returns the unused retry tokens of a nested call to its parent."""
        succeeded = (
            isinstance(outcome, model.Answer) and outcome.response.status < 500
        )
        self._running.tell(
            messages.EndNested(
                parent_id=call.parent_id,
                fingerprint=_fingerprint(call.request),
                retries=outcome.retries_left,
                succeeded=succeeded,
            )
        )

    def _identify_by_key(self, call: model.Call) -> model.FilterResult:
        view = self._view.value
        name = view.configuration.keys.get(digest(call.request.key))
        if name is None:
            return model.Refuse(
                code=exceptions.UNKNOWN_KEY,
                detail="the key is unknown or withdrawn",
            )
        organisation = view.configuration.organisations[name]
        freshness_bound = organisation.parameters.freshness_bound_s
        if (
            freshness_bound
            and clock.monotonic() - view.fresh_at > freshness_bound
        ):
            return model.Refuse(
                code=exceptions.STALE_CONFIGURATION,
                detail=(
                    "whether the key is still valid can't be confirmed: "
                    f"no news of the majority for {freshness_bound:g} s"
                ),
            )
        return model.Forward(call=_with_organisation(call, organisation))

    def _identify_by_open_route(self, call: model.Call) -> model.FilterResult:
        request = call.request
        organisations = self._view.value.configuration.organisations
        # The first match in order of names wins, so that all nodes agree.
        for name in sorted(organisations):
            parameters = organisations[name].parameters
            for rule in parameters.open_routes:
                if rule.matches(request.method, request.path):
                    return model.Forward(
                        call=_with_organisation(call, organisations[name])
                    )
        return model.Refuse(
            code=exceptions.UNKNOWN_KEY,
            detail="a key is needed: Authorization: Bearer KEY",
        )

    async def _identify_nested(
        self, call: model.Call, ticket: model.Ticket
    ) -> model.FilterResult:
        if ticket.node != self._node:
            return model.Refuse(
                code=exceptions.INVALID_TICKET,
                detail="the ticket was issued by another node",
            )
        organisation = self._view.value.configuration.organisations.get(
            ticket.organisation
        )
        if organisation is None:
            return model.Refuse(
                code=exceptions.INVALID_TICKET,
                detail="the ticket's organisation is unknown",
            )
        begun = await self._running.ask(
            messages.BeginNested(
                parent_id=ticket.call_id,
                fingerprint=_fingerprint(call.request),
            )
        )
        if isinstance(begun, model.Refuse):
            return begun
        call = _with_route_rules(call, organisation.parameters)
        return model.Forward(
            call=frozen.replace(
                call,
                organisation=ticket.organisation,
                root_id=ticket.root_id,
                parent_id=ticket.call_id,
                # A nested call is as important as the request it serves.
                priority=ticket.priority,
                depth=ticket.depth + 1,
                retries=begun.retries,
                deadline=begun.deadline,
            ),
            closes=True,
        )


def _with_organisation(
    call: model.Call, organisation: organisation_model.Organisation
) -> model.Call:
    call = _with_route_rules(call, organisation.parameters)
    return frozen.replace(
        call,
        organisation=organisation.name,
        retries=organisation.parameters.retry_bound,
    )


def _with_route_rules(
    call: model.Call, parameters: organisation_model.Parameters
) -> model.Call:
    """Sets priority and idempotency by the organisation's route rules."""
    method, path = call.request.method, call.request.path

    def matches_any(rules: tuple[organisation_model.RouteRule, ...]) -> bool:
        return any(rule.matches(method, path) for rule in rules)

    priority = model.Priority.NORMAL
    if matches_any(parameters.critical_routes):
        priority = model.Priority.CRITICAL
    elif matches_any(parameters.bulk_routes):
        priority = model.Priority.BULK
    idempotent = method in model.IDEMPOTENT_METHODS and not matches_any(
        parameters.never_repeated_routes
    )
    return frozen.replace(call, priority=priority, idempotent=idempotent)


def _fingerprint(request: model.Request) -> str:
    hasher = xxhash.xxh64(f"{request.method} {request.target}\n".encode())
    hasher.update(request.body)
    return hasher.hexdigest()
