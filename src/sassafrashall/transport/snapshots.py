"""Encodes the replicated state for snapshots, and decodes it."""

from __future__ import annotations

import dataclasses

import immutables
import msgspec

from sassafrashall import configuration
from sassafrashall import model
from sassafrashall import organisation_model
from sassafrashall.decisions import applied_state
from sassafrashall.decisions import evacuation
from sassafrashall.decisions import fleet_commands
from sassafrashall.decisions import fleet_state
from sassafrashall.decisions import replication
from sassafrashall.transport import codec

codec.register(
    fleet_commands.Accepted, fleet_commands.Conflict, fleet_commands.Rejected
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Body:
    """The stored form of a snapshot, with the state's maps as rows.

    Attributes:
      claims: Organisation, idempotency key, claim ID and fingerprint.
      changes: Change ID and encoded result.
      documents: Digest of an accepted document and encoded result.
      quotas: Organisation and its quota.
      evacuated: Data centres that are evacuated.
      evacuation_changes: Data centre and fleet revision of its last change.
      sign_offs: VM and the sign-offs of its upstream.
      old_claims, old_changes, old_documents, old_sign_offs: The previous
        generation of each.
    """

    revision: int
    organisations: tuple[organisation_model.Organisation, ...]
    claims: tuple[tuple[str, str, str, str], ...]
    old_claims: tuple[tuple[str, str, str, str], ...]
    changes: tuple[tuple[str, bytes], ...]
    old_changes: tuple[tuple[str, bytes], ...]
    accepted: configuration.Accepted | None = None
    documents: tuple[tuple[str, bytes], ...] = ()
    old_documents: tuple[tuple[str, bytes], ...] = ()
    quotas: tuple[tuple[str, fleet_state.Quota], ...] = ()
    evacuated: tuple[str, ...] = ()
    evacuation_changes: tuple[tuple[str, int], ...] = ()
    sign_offs: tuple[tuple[str, tuple[model.SignOff, ...]], ...] = ()
    old_sign_offs: tuple[tuple[str, tuple[model.SignOff, ...]], ...] = ()


def take(applied: applied_state.AppliedState) -> replication.Snapshot:
    """Returns a snapshot; thread-safe, since the state is immutable."""
    return replication.Snapshot(
        index=applied.index,
        term=applied.term,
        membership=applied.membership,
        state=encode(applied.fleet),
    )


def restore(snapshot: replication.Snapshot) -> applied_state.AppliedState:
    """Returns the state of which `take` made a snapshot."""
    return applied_state.AppliedState(
        index=snapshot.index,
        term=snapshot.term,
        membership=snapshot.membership,
        # The snapshot that founds a log has no state.
        fleet=decode(snapshot.state)
        if snapshot.state
        else fleet_state.FleetState(),
    )


def encode(state: fleet_state.FleetState) -> bytes:
    """Encodes the state; thread-safe, since the state is immutable."""
    return msgspec.msgpack.encode(
        _Body(
            revision=state.revision,
            organisations=tuple(state.organisations.values()),
            claims=_encode_claims(state.claims),
            old_claims=_encode_claims(state.old_claims),
            changes=_encode_results(state.changes),
            old_changes=_encode_results(state.old_changes),
            accepted=state.accepted,
            documents=_encode_results(state.documents),
            old_documents=_encode_results(state.old_documents),
            quotas=tuple(state.quotas.items()),
            evacuated=tuple(sorted(state.evacuations.evacuated)),
            evacuation_changes=tuple(state.evacuations.changed.items()),
            sign_offs=tuple(state.sign_offs.items()),
            old_sign_offs=tuple(state.old_sign_offs.items()),
        )
    )


def decode(data: bytes) -> fleet_state.FleetState:
    """Decodes what `encode` returned."""
    body = msgspec.msgpack.decode(data, type=_Body)
    return fleet_state.FleetState(
        revision=body.revision,
        organisations=immutables.Map({o.name: o for o in body.organisations}),
        claims=_decode_claims(body.claims),
        old_claims=_decode_claims(body.old_claims),
        changes=_decode_results(body.changes),
        old_changes=_decode_results(body.old_changes),
        accepted=body.accepted,
        documents=_decode_results(body.documents),
        old_documents=_decode_results(body.old_documents),
        quotas=immutables.Map(dict(body.quotas)),
        evacuations=evacuation.Evacuations(
            evacuated=frozenset(body.evacuated),
            changed=immutables.Map(dict(body.evacuation_changes)),
        ),
        sign_offs=immutables.Map(dict(body.sign_offs)),
        old_sign_offs=immutables.Map(dict(body.old_sign_offs)),
    )


def _encode_claims(
    claims: immutables.Map,
) -> tuple[tuple[str, str, str, str], ...]:
    return tuple(
        (organisation, key, claim.claim_id, claim.fingerprint)
        for (organisation, key), claim in claims.items()
    )


def _decode_claims(
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


def _encode_results(changes: immutables.Map) -> tuple[tuple[str, bytes], ...]:
    return tuple((key, codec.encode(result)) for key, result in changes.items())


def _decode_results(rows: tuple[tuple[str, bytes], ...]) -> immutables.Map:
    return immutables.Map({key: codec.decode(result) for key, result in rows})
