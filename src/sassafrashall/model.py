"""The frozen data classes that every part of the system shares."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum
from typing import Protocol
from typing import TypeAlias

from sassafrashall import organisation_model

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})


class Priority(enum.IntEnum):
    """Priority class of a request; a lower value is shed later."""

    CRITICAL = 0
    NORMAL = 1
    BULK = 2


class UpstreamState(enum.StrEnum):
    """State that an upstream reports in its announcements."""

    WARMING = "warming"
    READY = "ready"
    DRAINING = "draining"


class RunState(enum.StrEnum):
    """Whether an upstream may have executed a refused request.

    `NOT_RUN` is a guarantee that no upstream has received or will receive the
    request.
    """

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Address:
    """A TCP endpoint; `host` is an IP address."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


# --- membership --------------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class Upstream:
    """An upstream as it announced itself to the node on its VM.

    Attributes:
      slots: Requests that it can process concurrently.
      connection_limit: Connections that it accepts.
      incarnation: Identifies one run of the upstream process; empty if the
        announcement named none.
    """

    service: str
    address: Address
    slots: int
    connection_limit: int
    state: UpstreamState
    incarnation: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class SignOff:
    """A run of an upstream that has announced that it leaves or has left.

    Attributes:
      incarnation: Identifies the run.
      started_ms: Start of the run in milliseconds; 0 if not known.
      gone: Whether it has left.
      ended_ms: When it said so, in milliseconds of the VM's clock; 0 if not
        known. A run whose start is not known began before.
    """

    incarnation: str
    started_ms: int
    gone: bool
    ended_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class NodeRecord:
    """Membership record of one node and its upstream.

    Attributes:
      incarnation: Start time of the node process in nanoseconds, which grows
        with each restart.
      counter: Incremented by the node with each change to this record.
      configuration_revision: Revision in force on the node.
      leaving: Whether the node is shutting down.
      signed_off: The last run of its upstream that signed off. Controls keep
        it while the node restarts.
    """

    vm: str
    data_centre: str
    incarnation: int
    counter: int
    peer_address: Address
    ops_address: Address
    upstream: Upstream | None = None
    configuration_revision: int = 0
    leaving: bool = False
    signed_off: SignOff | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class NodeLoad:
    """Load shedding at a node, for operators; not part of its record.

    Attributes:
      level: Admission level of its upstream.
      shed_per_second: Rate of requests refused because of load, both those
        that entered the fleet here and those for its own upstream.
      load: Requests running or queued at its upstream, in thousandths of the
        concurrency limit, or -1 if unknown.
      relative_time: Run time there relative to the usual one of the fleet, by
        route, as the control computes it to which the node sends heartbeats.
    """

    level: float
    shed_per_second: float
    load: int = -1
    relative_time: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class NodeView:
    """A node's view of the fleet, as one snapshot.

    Attributes:
      records: Records of the live nodes by VM.
      services: Names of all services that the node has ever seen.
      fresh_at: Monotonic time, in seconds, at which the configuration was
        last proven to be the newest committed one; negative infinity if
        never.
      evacuated: The evacuated data centres, at the revision of the
        configuration.
      evacuation_changes: By data centre, the fleet revision at which its last
        evacuation began or ended; none for one that never was evacuated.
    """

    configuration: organisation_model.Configuration = (
        organisation_model.Configuration()
    )
    records: dict[str, NodeRecord] = dataclasses.field(default_factory=dict)
    services: frozenset[str] = frozenset()
    fresh_at: float = float("-inf")
    evacuated: frozenset[str] = frozenset()
    evacuation_changes: dict[str, int] = dataclasses.field(default_factory=dict)


# --- requests ----------------------------------------------------------------


class Source(enum.Enum):
    """The kind of listener on which a request arrived."""

    CALLER = "caller"
    LOCAL = "local"
    PEER = "peer"


Headers: TypeAlias = tuple[tuple[str, str], ...]
ConfirmCallback: TypeAlias = Callable[[], Awaitable[bool]]


def find_header(headers: Headers, name: str) -> str | None:
    """Returns the first value of the header `name` in lower case, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


class BodyReader(Protocol):
    """Reads the part of a body that has not been received yet."""

    async def read(self) -> bytes:
        """Returns the next bytes, or `b""` at the end of the body.

        Raises:
          ConnectionFailedError: The sender closed before the end of the body.
        """
        ...

    async def close(self) -> None:
        """Discards the unread part; does nothing after the end of the body."""
        ...


class ResponseMatcher(Protocol):
    """Tells the response to one request from others on its connection."""

    @property
    def request_id(self) -> str | None:
        """The ID of the request; None if it has none."""
        ...

    def __call__(self, status: int, headers: Headers) -> bool:
        """Returns whether a response may be the one to the request."""
        ...

    def is_identified(self, headers: Headers) -> bool:
        """Returns whether a response bears the ID of the request."""
        ...


@dataclasses.dataclass(frozen=True, kw_only=True)
class Response:
    """A response from an upstream or a peer.

    Attributes:
      body: The whole body, or its beginning if `rest` is set.
      rest: Reader for the part of a streamed body that follows `body`.
    """

    status: int
    headers: Headers
    body: bytes
    rest: BodyReader | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ticket:
    """Context that is passed with a call between nodes and to an upstream.

    Attributes:
      root_id: Identifies the whole call tree.
      call_id: Identifies this attempt of this call.
      node: VM of the node that issued the ticket, or that is to receive it.
      remaining_ms: Milliseconds left until the deadline when it was issued.
      retries: Retry tokens transferred with it.
      depth: Number of calls above this one in the call tree.
      urgency: Class of the root of the call tree; None if it is not known.
      due_ms: Milliseconds left until the response is worth less when it was
        issued, at least 1; 0 if not known.
    """

    organisation: str
    root_id: str
    call_id: str
    node: str
    service: str
    priority: Priority
    remaining_ms: int
    retries: int
    depth: int
    idempotent: bool
    urgency: Priority | None = None
    due_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """A request as it arrived, decoded by a front end.

    Attributes:
      headers: Lower-case names with their values, in order, without those of
        this system and those that hold the caller's key.
      received_at: Monotonic seconds.
      request_id: Identifies the request in responses and events; the root id
        of its call tree if it comes from a caller.
      key: The caller's key, or empty.
      ticket: The verified ticket, if the request carried one.
      bad_ticket: Whether the request carried an invalid ticket.
      timeout_ms: Milliseconds left until the caller's deadline, if it sent
        one.
      host: Host that the caller addressed, in lower case without a port.
      caller: Service on the VM where the request originated.
      rest: Reader for the part that follows `body`, if the body is too long
        to be buffered.
      confirm: Asks the calling node whether it still wants the request, just
        before the request is sent to an upstream.
      may_wait: Whether it may wait for a slot of the upstream.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    source: Source
    received_at: float
    request_id: str = ""
    key: str = ""
    ticket: Ticket | None = None
    bad_ticket: bool = False
    timeout_ms: int | None = None
    idempotency_key: str = ""
    host: str = ""
    caller: str = ""
    rest: BodyReader | None = None
    confirm: ConfirmCallback | None = None
    may_wait: bool = True

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """A request in the filter chain, with the fields that filters set.

    Attributes:
      deadline: Monotonic seconds.
      retries: Retry tokens that this call may spend or pass on.
      depth: Number of calls above this one in the call tree.
      parent_id: Id of the running call on this node that made this one; empty
        unless nested.
      claim_id: Id of the claim granted for the idempotency key, or empty.
      attempts: Maximum number of attempts that its route allows.
      metered: Whether it draws on its organisation's quota.
      route: Name of its route in the fleet configuration, or empty.
      urgency: Class of the root of the call tree; None if it is not known.
      due: Monotonic time at which the response is worth less; 0 if not known.
    """

    request: Request
    root_id: str
    call_id: str = ""
    service: str = ""
    organisation: str = ""
    priority: Priority = Priority.NORMAL
    idempotent: bool = False
    deadline: float = 0.0
    retries: int = 0
    depth: int = 0
    parent_id: str = ""
    claim_id: str = ""
    attempts: int = 0
    metered: bool = True
    route: str = ""
    urgency: Priority | None = None
    due: float = 0.0

    def issue_ticket(
        self, *, node: str, call_id: str, retries: int, now: float
    ) -> Ticket:
        """Returns the ticket for an attempt of this call.

        Args:
          node: VM of the node that issues it, or that is to receive it.
          call_id: Identifies the attempt.
          retries: Retry tokens to transfer.
          now: Monotonic seconds.
        """
        return Ticket(
            organisation=self.organisation,
            root_id=self.root_id,
            call_id=call_id,
            node=node,
            service=self.service,
            priority=self.priority,
            remaining_ms=max(0, int((self.deadline - now) * 1000)),
            retries=retries,
            depth=self.depth,
            idempotent=self.idempotent,
            urgency=self.urgency,
            # The target latency of a nested call is not that of its root.
            due_ms=max(1, int((self.due - now) * 1000))
            if self.due and not self.depth
            else 0,
        )


# --- results of filters ------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class Forward:
    """The filter passes the call on, possibly with more fields set.

    Attributes:
      closes: Whether the filter's `finish` has to run when the call ends.
    """

    call: Call
    closes: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refuse:
    """The call ends without a response from an upstream.

    Attributes:
      code: A code from `exceptions`.
      retry_after_s: Seconds until a new attempt may succeed; 0 if unknown.
      retries_left: Unused retry tokens returned with it.
      level: Admission level of the service at the refusing node, in
        thousandths, or -1 if unknown.
      load: Requests running or queued at its upstream, in thousandths of the
        concurrency limit, or -1 if unknown.
    """

    code: str
    detail: str
    run: RunState = RunState.NOT_RUN
    retry_after_s: float = 0.0
    retries_left: int = 0
    level: int = -1
    load: int = -1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """The call ends with a response.

    Attributes:
      retries_left: Unused retry tokens returned with the response.
      level: Admission level of the service at the responding node, in
        thousandths, or -1 if unknown.
      load: Requests running or queued at its upstream, in thousandths of the
        concurrency limit, or -1 if unknown.
    """

    response: Response
    retries_left: int = 0
    level: int = -1
    load: int = -1


FilterResult: TypeAlias = Forward | Refuse | Answer
Outcome: TypeAlias = Refuse | Answer
