"""The commands that change the replicated state, and their results."""

from __future__ import annotations

import dataclasses
from typing import TypeAlias

from sassafrashall import configuration
from sassafrashall import exceptions

# --- commands ----------------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class CreateOrganisation:
    """Creates an organisation from a template."""

    change_id: str
    name: str
    template: str
    assignments: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class SetParameters:
    """Changes parameters; `expect_version` 0 accepts any version."""

    change_id: str
    name: str
    assignments: tuple[tuple[str, str], ...]
    expect_version: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class IssueKey:
    """Adds a key, known to the fleet only by its digest."""

    change_id: str
    organisation: str
    key_id: str
    digest: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class WithdrawKey:
    """Withdraws a key for good."""

    change_id: str
    organisation: str
    key_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClaimRequest:
    """Claims the only execution of a non-idempotent request.

    Attributes:
      claim_id: Names the claimant; a resend carries the same one.
      fingerprint: Digest of method, target and body.
    """

    claim_id: str
    organisation: str
    idempotency_key: str
    fingerprint: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReleaseClaim:
    """Gives a claim up; only valid if the request was not dispatched."""

    claim_id: str
    organisation: str
    idempotency_key: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class RotateClaims:
    """Drops the claims that are older than one retention period."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplaceConfiguration:
    """Replaces the fleet configuration if its version is the expected one.

    Attributes:
      expect_version: The version that this one builds on; 0 for the first.
      digest: Identifies the text, so that a resend is recognised.
      text: As the operator sent it; reads return it.
    """

    expect_version: int
    document: configuration.Configuration
    digest: str
    text: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadConfiguration:
    """Reads the fleet configuration at its place in the log."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoOp:
    """Commits the entries of earlier terms when a leader takes over."""


Command: TypeAlias = (
    CreateOrganisation
    | SetParameters
    | IssueKey
    | WithdrawKey
    | ClaimRequest
    | ReleaseClaim
    | RotateClaims
    | ReplaceConfiguration
    | ReadConfiguration
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
    """Another change came first; nothing was changed."""

    version: int
    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rejected:
    """The change is not valid; nothing was changed."""

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
    """The text of the newest configuration; empty before the first."""

    text: bytes


Result: TypeAlias = (
    Accepted | Conflict | Rejected | Granted | Taken | CurrentConfiguration
)
