"""The encoding of the replicated state in snapshots."""

from __future__ import annotations

import dataclasses

import immutables
import msgspec

from sassafrashall import configuration
from sassafrashall import model
from sassafrashall.decisions import fleet_commands
from sassafrashall.decisions import fleet_state
from sassafrashall.transport import codec

codec.register(
    fleet_commands.Accepted, fleet_commands.Conflict, fleet_commands.Rejected
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Body:
    revision: int
    organisations: tuple[model.Organisation, ...]
    claims: tuple[tuple[str, str, str, str], ...]
    old_claims: tuple[tuple[str, str, str, str], ...]
    changes: tuple[tuple[str, bytes], ...]
    old_changes: tuple[tuple[str, bytes], ...]
    accepted: configuration.Accepted | None = None
    documents: tuple[tuple[str, bytes], ...] = ()
    old_documents: tuple[tuple[str, bytes], ...] = ()
    quotas: tuple[tuple[str, fleet_state.Quota], ...] = ()


def encode(state: fleet_state.FleetState) -> bytes:
    """Encodes the state; it may run in a thread, since state is immutable."""
    return msgspec.msgpack.encode(
        _Body(
            revision=state.revision,
            organisations=tuple(state.organisations.values()),
            claims=_claims(state.claims),
            old_claims=_claims(state.old_claims),
            changes=_changes(state.changes),
            old_changes=_changes(state.old_changes),
            accepted=state.accepted,
            documents=_changes(state.documents),
            old_documents=_changes(state.old_documents),
            quotas=tuple(state.quotas.items()),
        )
    )


def decode(data: bytes) -> fleet_state.FleetState:
    """Decodes what `encode` returned."""
    body = msgspec.msgpack.decode(data, type=_Body)
    return fleet_state.FleetState(
        revision=body.revision,
        organisations=immutables.Map({o.name: o for o in body.organisations}),
        claims=_claim_map(body.claims),
        old_claims=_claim_map(body.old_claims),
        changes=_change_map(body.changes),
        old_changes=_change_map(body.old_changes),
        accepted=body.accepted,
        documents=_change_map(body.documents),
        old_documents=_change_map(body.old_documents),
        quotas=immutables.Map(dict(body.quotas)),
    )


def _claims(claims: immutables.Map) -> tuple[tuple[str, str, str, str], ...]:
    return tuple(
        (organisation, key, claim.claim_id, claim.fingerprint)
        for (organisation, key), claim in claims.items()
    )


def _claim_map(
    rows: tuple[tuple[str, str, str, str], ...],
) -> immutables.Map:
    return immutables.Map(
        {
            (organisation, key): fleet_state.Claim(
                claim_id=claim_id, fingerprint=fingerprint
            )
            for organisation, key, claim_id, fingerprint in rows
        }
    )


def _changes(changes: immutables.Map) -> tuple[tuple[str, bytes], ...]:
    return tuple(
        (change_id, codec.encode(result))
        for change_id, result in changes.items()
    )


def _change_map(rows: tuple[tuple[str, bytes], ...]) -> immutables.Map:
    return immutables.Map(
        {change_id: codec.decode(result) for change_id, result in rows}
    )
