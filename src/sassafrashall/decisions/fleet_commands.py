"""The commands that change the replicated state, and their results."""

from __future__ import annotations

import dataclasses
from typing import TypeAlias

from sassafrashall import configuration
from sassafrashall import exceptions
from sassafrashall import model

# --- commands ----------------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class CreateOrganisation:
    """Creates an organisation from a template.

    Attributes:
      change_id: Identifies the change, so that it is applied only once.
      assignments: Pairs of parameter name and value that replace defaults.
    """

    change_id: str
    name: str
    template: str
    assignments: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class SetParameters:
    """Changes parameters of an organisation.

    Attributes:
      change_id: Identifies the change, so that it is applied only once.
      assignments: Pairs of parameter name and value.
      expect_version: Version of the organisation that is to be changed; 0
        accepts any version.
    """

    change_id: str
    name: str
    assignments: tuple[tuple[str, str], ...]
    expect_version: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class IssueKey:
    """Adds an API key, of which the fleet stores only the digest."""

    change_id: str
    organisation: str
    key_id: str
    digest: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class WithdrawKey:
    """Withdraws an API key permanently."""

    change_id: str
    organisation: str
    key_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClaimRequest:
    """Claims the only execution of a non-idempotent request.

    Attributes:
      claim_id: Identifies the claimant; the same when it is sent again.
      fingerprint: Digest of method, target and body.
    """

    claim_id: str
    organisation: str
    idempotency_key: str
    fingerprint: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReleaseClaim:
    """Releases a claim; only valid if the request was not dispatched."""

    claim_id: str
    organisation: str
    idempotency_key: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class RotateClaims:
    """Removes the old generation of claims and begins a new one.

    Sent once in each retention period, it keeps a claim for at least one. The
    sign-offs of upstreams are kept likewise.
    """


@dataclasses.dataclass(frozen=True, kw_only=True)
class RecordSignOff:
    """Records that a run of the upstream of a VM leaves or has left.

    Sent again, or after a later one, it changes nothing.
    """

    vm: str
    sign_off: model.SignOff


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadSignOffs:
    """Reads the sign-offs of VMs, ordered by the log like a change."""

    vms: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplaceConfiguration:
    """Replaces the fleet configuration if its version is the expected one.

    Attributes:
      expect_version: The version to be replaced; 0 if there is none.
      digest: Digest of the text, which identifies a document sent again.
      text: The document as the operator sent it, which reads return.
    """

    expect_version: int
    document: configuration.Configuration
    digest: str
    text: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadConfiguration:
    """Reads the fleet configuration, ordered by the log like a change."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class EvacuateDataCentre:
    """Begins the evacuation of a data centre; nothing is sent there any more.

    Attributes:
      known_revision: Fleet revision that the control which received the request
        had applied; -1 if not known. See `evacuation.change`.
    """

    data_centre: str
    known_revision: int = -1


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndEvacuation:
    """Ends the evacuation of a data centre; see EvacuateDataCentre."""

    data_centre: str
    known_revision: int = -1


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoOp:
    """Changes nothing."""


Command: TypeAlias = (
    CreateOrganisation
    | SetParameters
    | IssueKey
    | WithdrawKey
    | ClaimRequest
    | ReleaseClaim
    | RotateClaims
    | RecordSignOff
    | ReadSignOffs
    | ReplaceConfiguration
    | ReadConfiguration
    | EvacuateDataCentre
    | EndEvacuation
    | NoOp
)

# --- results -----------------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accepted:
    """The change is committed.

    Attributes:
      revision: Fleet revision of the change.
      version: Version of the organisation after the change.
    """

    revision: int = 0
    version: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conflict:
    """The change conflicts with an earlier one; nothing was changed."""

    version: int
    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rejected:
    """The command is not valid; nothing was changed."""

    findings: tuple[exceptions.Finding, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Granted:
    """The claimant may dispatch the request."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Taken:
    """The claim belongs to another submission.

    Attributes:
      same_request: Whether the fingerprints are equal.
    """

    same_request: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class CurrentConfiguration:
    """The text of the configuration in force; empty if there is none."""

    text: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class SignOffs:
    """The sign-offs of the upstreams of VMs.

    Attributes:
      by_vm: For each VM that was asked for, the latest last.
    """

    by_vm: dict[str, tuple[model.SignOff, ...]]


Result: TypeAlias = (
    Accepted
    | Conflict
    | Rejected
    | Granted
    | Taken
    | CurrentConfiguration
    | SignOffs
)
