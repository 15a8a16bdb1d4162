"""The replicated state machine: organisations, keys, claims and change ids.

`apply` is deterministic: all replicas that apply the same commands in the same
order have the same state and return the same results.
"""

from __future__ import annotations

import dataclasses
from typing import Any
from typing import TypeAlias

import immutables

from sassafrashall import configuration
from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall import organisation_model
from sassafrashall.decisions import document_checks
from sassafrashall.decisions import evacuation
from sassafrashall.decisions import fleet_commands
from sassafrashall.decisions import templates
from sassafrashall.decisions import upstream_runs

CHANGES_KEPT = 10_000  # change ids, or document digests, in one generation


@dataclasses.dataclass(frozen=True, kw_only=True)
class Claim:
    """A claim to the only execution of a request.

    Attributes:
      claim_id: Identifies the claimant.
      fingerprint: Digest of method, target and body of the request.
    """

    claim_id: str
    fingerprint: str


_Map: TypeAlias = Any  # immutables.Map


@dataclasses.dataclass(frozen=True, kw_only=True)
class Quota:
    """The rate limit of an organisation.

    Attributes:
      rate: Requests per second over the whole fleet.
      burst: Requests that may be admitted at once over the whole fleet.
      shares: Number of owners among which it is divided; 0 means all.
      created: Fleet revision at which the organisation was created.
    """

    rate: float
    burst: int
    shares: int
    created: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetState:
    """The replicated state as of one log index.

    Claims, change ids, the digests of accepted documents and sign-offs are kept
    in two generations each, so that old ones can be removed without a scan.

    Attributes:
      revision: The fleet revision, raised by each accepted change.
      organisations: `organisation_model.Organisation` by name.
      claims: `Claim` by organisation and idempotency key.
      old_claims: The previous generation of `claims`.
      changes: Result of each change by change id.
      old_changes: The previous generation of `changes`.
      accepted: The fleet configuration in force.
      documents: Result of each accepted document by its digest.
      old_documents: The previous generation of `documents`.
      quotas: `Quota` by name for the organisations of the configuration in
        force.
      evacuations: The data centres that are evacuated.
      sign_offs: By VM, a tuple of the sign-offs of its upstream, the latest
        last; see `sign_offs_of`.
      old_sign_offs: The previous generation of `sign_offs`.
    """

    revision: int = 0
    organisations: _Map = immutables.Map()
    claims: _Map = immutables.Map()
    old_claims: _Map = immutables.Map()
    changes: _Map = immutables.Map()
    old_changes: _Map = immutables.Map()
    accepted: configuration.Accepted | None = None
    documents: _Map = immutables.Map()
    old_documents: _Map = immutables.Map()
    quotas: _Map = immutables.Map()
    evacuations: evacuation.Evacuations = evacuation.Evacuations()
    sign_offs: _Map = immutables.Map()
    old_sign_offs: _Map = immutables.Map()

    def sign_offs_of(self, vm: str) -> tuple[model.SignOff, ...]:
        """Returns the sign-offs of the upstream of a VM, the latest last."""
        return self.sign_offs.get(vm) or self.old_sign_offs.get(vm, ())

    def quota(self, name: str) -> Quota | None:
        """Returns the quota of an organisation, or None if it has none.

        It is set by the fleet configuration or by the organisation's
        parameters.
        """
        document_quota = self.quotas.get(name)
        if document_quota is not None:
            return document_quota
        organisation = self.organisations.get(name)
        if organisation is None:
            return None
        return Quota(
            rate=organisation.parameters.rate,
            burst=organisation.parameters.burst,
            shares=organisation.parameters.quota_shares,
            created=organisation.created,
        )


def apply(
    state: FleetState, command: fleet_commands.Command
) -> tuple[FleetState, fleet_commands.Result]:
    """Applies a committed command and returns the new state and the result."""
    match command:
        case fleet_commands.NoOp():
            return state, fleet_commands.Accepted(revision=state.revision)
        case fleet_commands.ClaimRequest():
            return _grant_claim(state, command)
        case fleet_commands.ReleaseClaim():
            return _release_claim(state, command)
        case fleet_commands.RotateClaims():
            return (
                dataclasses.replace(
                    state,
                    claims=immutables.Map(),
                    old_claims=state.claims,
                    sign_offs=immutables.Map(),
                    old_sign_offs=state.sign_offs,
                ),
                fleet_commands.Accepted(revision=state.revision),
            )
        case fleet_commands.RecordSignOff(vm=vm, sign_off=sign_off):
            sign_offs = upstream_runs.merge_sign_off(
                state.sign_offs_of(vm), sign_off
            )
            return (
                dataclasses.replace(
                    state, sign_offs=state.sign_offs.set(vm, sign_offs)
                ),
                fleet_commands.Accepted(revision=state.revision),
            )
        case fleet_commands.ReplaceConfiguration():
            return _replace_document(state, command)
        case fleet_commands.ReadSignOffs(vms=vms):
            return state, fleet_commands.SignOffs(
                by_vm={vm: state.sign_offs_of(vm) for vm in vms}
            )
        case fleet_commands.ReadConfiguration():
            text = state.accepted.text if state.accepted else b""
            return state, fleet_commands.CurrentConfiguration(text=text)
        case fleet_commands.EvacuateDataCentre():
            return _change_evacuation(state, command, begins=True)
        case fleet_commands.EndEvacuation():
            return _change_evacuation(state, command, begins=False)
        case _:
            return _apply_change(state, command)


def _change_evacuation(
    state: FleetState,
    command: fleet_commands.EvacuateDataCentre | fleet_commands.EndEvacuation,
    *,
    begins: bool,
) -> tuple[FleetState, fleet_commands.Result]:
    evacuations, result = evacuation.change(
        state.evacuations,
        command.data_centre,
        begins=begins,
        known_revision=command.known_revision,
        revision=state.revision + 1,
    )
    match result:
        case evacuation.ChangeResult.CHANGED:
            state = dataclasses.replace(
                state, revision=state.revision + 1, evacuations=evacuations
            )
        case evacuation.ChangeResult.OUTDATED:
            return state, fleet_commands.Conflict(
                version=evacuations.changed[command.data_centre],
                detail="it was received before a later change was known",
            )
    return state, fleet_commands.Accepted(revision=state.revision)


def _replace_document(
    state: FleetState, command: fleet_commands.ReplaceConfiguration
) -> tuple[FleetState, fleet_commands.Result]:
    """Replaces the configuration.

    A document that was accepted before gets the same result again.
    """
    earlier_result = state.documents.get(
        command.digest
    ) or state.old_documents.get(command.digest)
    if earlier_result is not None:
        return state, earlier_result
    document = command.document
    current_version = (
        state.accepted.configuration.version if state.accepted else 0
    )
    findings = list(document_checks.check(document))
    if (
        command.expect_version == current_version
        and document.version <= current_version
    ):
        findings.append(
            exceptions.Finding(
                source="configuration",
                key="version",
                text=f"must be above {current_version}, the version in force",
            )
        )
    if findings:
        return state, fleet_commands.Rejected(findings=tuple(findings))
    if command.expect_version != current_version:
        return state, fleet_commands.Conflict(
            version=current_version,
            detail=f"builds on version {command.expect_version}",
        )
    revision = state.revision + 1
    result = fleet_commands.Accepted(
        revision=revision, version=document.version
    )
    documents, old_documents = state.documents, state.old_documents
    if len(documents) >= CHANGES_KEPT:
        documents, old_documents = immutables.Map(), documents
    return (
        dataclasses.replace(
            state,
            revision=revision,
            accepted=configuration.Accepted(
                configuration=document, text=command.text
            ),
            documents=documents.set(command.digest, result),
            old_documents=old_documents,
            quotas=_document_quotas(state, document, revision),
        ),
        result,
    )


def _document_quotas(
    state: FleetState, document: configuration.Configuration, revision: int
) -> _Map:
    """Returns the quotas of the organisations of a document.

    A quota that exists already keeps its `created`, because nodes may hold
    leases on its tokens.
    """
    quotas = {}
    for organisation in document.organisations:
        if organisation.rate > 0:
            current = state.quotas.get(organisation.name)
            quotas[organisation.name] = Quota(
                rate=organisation.rate,
                burst=max(1, organisation.burst),
                shares=0,
                created=current.created if current else revision,
            )
    return immutables.Map(quotas)


def _apply_change(
    state: FleetState, command: Any
) -> tuple[FleetState, fleet_commands.Result]:
    """Applies a change once per change id, and returns its first result."""
    earlier_result = state.changes.get(
        command.change_id
    ) or state.old_changes.get(command.change_id)
    if earlier_result is not None:
        return state, earlier_result
    match command:
        case fleet_commands.CreateOrganisation():
            outcome = _create_organisation(state, command)
        case fleet_commands.SetParameters():
            outcome = _set_parameters(state, command)
        case fleet_commands.IssueKey():
            outcome = _issue_key(state, command)
        case fleet_commands.WithdrawKey():
            outcome = _withdraw_key(state, command)
        case _:
            raise TypeError(f"unknown command {command!r}")
    result: fleet_commands.Result
    if isinstance(outcome, organisation_model.Organisation):
        revision = state.revision + 1
        organisation = dataclasses.replace(
            outcome, revision=revision, created=outcome.created or revision
        )
        state = dataclasses.replace(
            state,
            revision=revision,
            organisations=state.organisations.set(
                organisation.name, organisation
            ),
        )
        result = fleet_commands.Accepted(
            revision=revision, version=organisation.version
        )
    else:
        result = outcome
    return _record_result(state, command.change_id, result), result


def _record_result(
    state: FleetState, change_id: str, result: fleet_commands.Result
) -> FleetState:
    changes, old_changes = state.changes, state.old_changes
    if len(changes) >= CHANGES_KEPT:
        changes, old_changes = immutables.Map(), changes
    return dataclasses.replace(
        state, changes=changes.set(change_id, result), old_changes=old_changes
    )


def _create_organisation(
    state: FleetState, command: fleet_commands.CreateOrganisation
) -> (
    organisation_model.Organisation
    | fleet_commands.Conflict
    | fleet_commands.Rejected
):
    findings: list[exceptions.Finding] = []
    if not templates.is_valid_name(command.name):
        findings.append(
            _finding("name", f"{command.name!r} is not a valid name")
        )
    template = templates.TEMPLATES.get(command.template)
    if template is None:
        known = ", ".join(templates.TEMPLATES)
        findings.append(
            _finding(
                "template", f"{command.template!r} is unknown; known: {known}"
            )
        )
    defaults = (
        template.defaults
        if template
        else organisation_model.Parameters(rate=1.0, burst=1)
    )
    parameters, more_findings = templates.apply_assignments(
        defaults, command.assignments, "parameters"
    )
    findings.extend(more_findings)
    if findings:
        return fleet_commands.Rejected(findings=tuple(findings))
    existing = state.organisations.get(command.name)
    if existing is not None:
        return fleet_commands.Conflict(
            version=existing.version,
            detail=f"organisation {command.name} exists",
        )
    return organisation_model.Organisation(
        name=command.name, template=command.template, parameters=parameters
    )


def _set_parameters(
    state: FleetState, command: fleet_commands.SetParameters
) -> (
    organisation_model.Organisation
    | fleet_commands.Conflict
    | fleet_commands.Rejected
):
    organisation = state.organisations.get(command.name)
    if organisation is None:
        return _unknown_organisation(command.name)
    parameters, findings = templates.apply_assignments(
        organisation.parameters, command.assignments, "parameters"
    )
    if findings:
        return fleet_commands.Rejected(findings=findings)
    if command.expect_version not in (0, organisation.version):
        return fleet_commands.Conflict(
            version=organisation.version,
            detail=f"expected version {command.expect_version}",
        )
    return dataclasses.replace(
        organisation,
        parameters=parameters,
        version=organisation.version + 1,
    )


def _issue_key(
    state: FleetState, command: fleet_commands.IssueKey
) -> (
    organisation_model.Organisation
    | fleet_commands.Conflict
    | fleet_commands.Rejected
):
    organisation = state.organisations.get(command.organisation)
    if organisation is None:
        return _unknown_organisation(command.organisation)
    if any(key.key_id == command.key_id for key in organisation.keys):
        return fleet_commands.Conflict(
            version=organisation.version,
            detail=f"key {command.key_id} exists",
        )
    for other in state.organisations.values():
        if any(key.digest == command.digest for key in other.keys):
            return fleet_commands.Rejected(
                findings=(_finding("key", "this key was issued before"),)
            )
    key = organisation_model.Key(key_id=command.key_id, digest=command.digest)
    return dataclasses.replace(
        organisation,
        keys=(*organisation.keys, key),
        version=organisation.version + 1,
    )


def _withdraw_key(
    state: FleetState, command: fleet_commands.WithdrawKey
) -> (
    organisation_model.Organisation
    | fleet_commands.Conflict
    | fleet_commands.Rejected
):
    organisation = state.organisations.get(command.organisation)
    if organisation is None:
        return _unknown_organisation(command.organisation)
    if all(key.key_id != command.key_id for key in organisation.keys):
        return fleet_commands.Rejected(
            findings=(_finding("key", f"unknown key {command.key_id!r}"),)
        )
    keys = tuple(
        dataclasses.replace(key, withdrawn=True)
        if key.key_id == command.key_id
        else key
        for key in organisation.keys
    )
    return dataclasses.replace(
        organisation, keys=keys, version=organisation.version + 1
    )


def _grant_claim(
    state: FleetState, command: fleet_commands.ClaimRequest
) -> tuple[FleetState, fleet_commands.Result]:
    key = (command.organisation, command.idempotency_key)
    existing = state.claims.get(key) or state.old_claims.get(key)
    if existing is not None:
        if existing.claim_id == command.claim_id:
            return state, fleet_commands.Granted()
        same_request = existing.fingerprint == command.fingerprint
        return state, fleet_commands.Taken(same_request=same_request)
    claim = Claim(claim_id=command.claim_id, fingerprint=command.fingerprint)
    claims = state.claims.set(key, claim)
    return dataclasses.replace(state, claims=claims), fleet_commands.Granted()


def _release_claim(
    state: FleetState, command: fleet_commands.ReleaseClaim
) -> tuple[FleetState, fleet_commands.Result]:
    key = (command.organisation, command.idempotency_key)
    result = fleet_commands.Accepted(revision=state.revision)
    for name in ("claims", "old_claims"):
        claims = getattr(state, name)
        claim = claims.get(key)
        if claim is not None and claim.claim_id == command.claim_id:
            changes = {name: claims.delete(key)}
            return dataclasses.replace(state, **changes), result
    return state, result


def _unknown_organisation(name: str) -> fleet_commands.Rejected:
    return fleet_commands.Rejected(
        findings=(_finding("name", f"unknown organisation {name!r}"),)
    )


def _finding(key: str, text: str) -> exceptions.Finding:
    return exceptions.Finding(source="command", key=key, text=text)


# --- views -------------------------------------------------------------------


def changed_since(
    state: FleetState, revision: int
) -> tuple[organisation_model.Organisation, ...]:
    """Returns the organisations that changed after a fleet revision."""
    return tuple(
        organisation
        for organisation in state.organisations.values()
        if organisation.revision > revision
    )


def merge_configuration(
    current: organisation_model.Configuration,
    revision: int,
    changed: tuple[organisation_model.Organisation, ...],
    withdrawn: frozenset[str],
) -> organisation_model.Configuration:
    """Merges changes into the configuration of a node.

    The revision never decreases, and a withdrawn key never becomes valid again.

    Args:
      current: The configuration before.
      revision: Fleet revision that `changed` brings the node to.
      changed: Organisations that have changed.
      withdrawn: Digests of withdrawn keys.
    """
    if revision < current.revision:
        changed = ()
    organisations = dict(current.organisations)
    for organisation in changed:
        organisations[organisation.name] = organisation
    withdrawn = current.withdrawn | withdrawn
    for organisation in organisations.values():
        withdrawn |= {k.digest for k in organisation.keys if k.withdrawn}
    keys = {
        key.digest: organisation.name
        for organisation in organisations.values()
        for key in organisation.keys
        if key.digest not in withdrawn
    }
    return organisation_model.Configuration(
        revision=max(revision, current.revision),
        organisations=organisations,
        keys=keys,
        withdrawn=withdrawn,
    )
