"""Error classes, codes, and the HTTP status of each code for callers."""

from __future__ import annotations

import dataclasses

BAD_REQUEST = "bad_request"
UNKNOWN_KEY = "unknown_key"
INVALID_TICKET = "invalid_ticket"
UNKNOWN_ROUTE = "unknown_route"
DUPLICATE = "duplicate"
IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
BODY_TOO_LARGE = "body_too_large"
HEAD_TOO_LARGE = "head_too_large"
BODY_STALLED = "body_stalled"
OVER_RATE = "over_rate"
SHED = "shed"
MEMORY_SHORT = "memory_short"
NO_UPSTREAM = "no_upstream"
NO_MAJORITY = "no_majority"
NO_QUOTA_OWNER = "no_quota_owner"
RETRIES_EXHAUSTED = "retries_exhausted"
STALE_CONFIGURATION = "stale_configuration"
STOPPING = "stopping"
DEADLINE_EXCEEDED = "deadline_exceeded"
UPSTREAM_FAILED = "upstream_failed"
UPSTREAM_SILENT = "upstream_silent"
ANSWER_TOO_LARGE = "answer_too_large"
PEER_UNREACHABLE = "peer_unreachable"
UPSTREAM_REFUSED = "upstream_refused"
NO_CONFIGURATION = "no_configuration"
INTERNAL = "internal_error"

STATUS_BY_CODE = {
    BAD_REQUEST: 400,
    UNKNOWN_KEY: 401,
    INVALID_TICKET: 401,
    UNKNOWN_ROUTE: 404,
    DUPLICATE: 409,
    IDEMPOTENCY_KEY_REUSED: 422,
    BODY_TOO_LARGE: 413,
    HEAD_TOO_LARGE: 431,
    BODY_STALLED: 408,
    OVER_RATE: 429,
    SHED: 503,
    MEMORY_SHORT: 503,
    NO_UPSTREAM: 503,
    NO_MAJORITY: 503,
    NO_QUOTA_OWNER: 503,
    RETRIES_EXHAUSTED: 503,
    STALE_CONFIGURATION: 503,
    STOPPING: 503,
    DEADLINE_EXCEEDED: 504,
    UPSTREAM_FAILED: 502,
    UPSTREAM_SILENT: 504,
    ANSWER_TOO_LARGE: 502,
    PEER_UNREACHABLE: 503,
    UPSTREAM_REFUSED: 503,
    NO_CONFIGURATION: 503,
    INTERNAL: 500,
}


class SassafrashallError(Exception):
    """Base class of the errors of this system.

    Attributes:
      code: Identifies the kind of error for programs.
    """

    code = INTERNAL


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finding:
    """One fault in an input, with its location.

    Attributes:
      source: File name or command that the input came from.
      line: Line number, counted from 1; 0 if the input has no lines.
      key: Dotted path of the value.
      text: Description of the fault.
    """

    source: str
    line: int = 0
    key: str = ""
    text: str

    def __str__(self) -> str:
        location = f"{self.source}:{self.line}" if self.line else self.source
        key = f" {self.key}:" if self.key else ""
        return f"{location}:{key} {self.text}"


class FindingsError(SassafrashallError):
    """An input is not valid; all of its faults are reported together."""

    code = "invalid_input"

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


class ProtocolError(SassafrashallError):
    """A peer violated the protocol."""

    code = BAD_REQUEST

    def __init__(self, code: str, detail: str) -> None:
        super().__init__(detail)
        self.code = code


class ConnectionFailedError(SassafrashallError):
    """An exchange with a peer failed.

    Attributes:
      maybe_delivered: Whether the peer may have received the whole request.
      unresponsive: Whether the peer did not react in time.
      expired: Whether it failed because the request's deadline passed.
      by_caller: Whether it failed because the caller sent no whole request.
      refused: Whether no process listens at the address.
    """

    code = UPSTREAM_FAILED

    def __init__(
        self,
        detail: str,
        *,
        maybe_delivered: bool,
        unresponsive: bool = False,
        expired: bool = False,
        by_caller: bool = False,
        refused: bool = False,
    ) -> None:
        super().__init__(detail)
        self.maybe_delivered = maybe_delivered
        self.unresponsive = unresponsive
        self.expired = expired
        self.by_caller = by_caller
        self.refused = refused


class SendRefusedError(ConnectionFailedError):
    """A request must not be sent; raised where it would be sent next.

    `maybe_delivered` tells whether it was sent before.
    """

    code = NO_UPSTREAM


class RpcError(SassafrashallError):
    """A remote procedure call failed or timed out.

    Attributes:
      refused: Whether no process listens at the address.
    """

    code = "rpc_failed"

    def __init__(self, detail: str, *, refused: bool = False) -> None:
        super().__init__(detail)
        self.refused = refused


class MailboxClosedError(SassafrashallError):
    """The task that owns the mailbox has ended."""

    code = STOPPING
