"""Messages between the tasks of one process."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import enum
from typing import Any

from sassafrashall import model
from sassafrashall import protocol
from sassafrashall.decisions import fleet_state
from sassafrashall.decisions import replication

# --- control link ------------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallControl:
    """Calls a control; answered with its reply, or fails with `RpcError`.

    Attributes:
      message: A message of `protocol`.
      timeout: Seconds.
    """

    message: Any
    timeout: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class SurveyControls:
    """Asks all controls for their contact with a majority.

    Answered with a tuple of `control_survey.Answer`, one for each member of the
    replicated log; empty while the members are not known.

    Attributes:
      record: The node's record, which each control stores before it tells;
        None if it need not.
    """

    record: model.NodeRecord | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallOneControl:
    """Calls a given control once; answered like CallControl.

    Attributes:
      address: RPC address of the control.
      message: A message of `protocol`.
      timeout: Seconds.
    """

    address: str
    message: Any
    timeout: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class AskControls:
    """Calls the control in use, and others as well if it is late.

    Answered like CallControl by the first that answers. The node stays with
    the control in use, whatever the outcome: for a commit, any control may
    have to wait for a leader.

    Attributes:
      message: A message of `protocol` that several controls may handle.
      timeout: Seconds for each control.
    """

    message: Any
    timeout: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChooseControls:
    """Asks for the addresses of the next controls to ask for their revision."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class TellOtherControls:
    """Sends a message once to each control but the one in use.

    Attributes:
      message: A message of `protocol`.
    """

    message: Any


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlIsStale:
    """Reports that the control in use may have lost its majority.

    The control link switches to a control that is known to be fresher. If it
    knows none and the control in use is stale, it looks for one. It answers
    whether another control is in use now.

    Attributes:
      majority_age: Seconds since the control last had contact with a majority.
    """

    majority_age: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlsKnown:
    """The controls that a node may call, as reported by its control."""

    members: tuple[replication.Member, ...]


# --- membership --------------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class ComposePing:
    """Asks for the ping to send to controls other than the one in use."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigurationRead:
    """A control other than the one in use told a newer configuration.

    Attributes:
      reply: What it told.
      sent_at: When it was asked, in monotonic seconds; the `proof_age` of the
        reply counts from then.
    """

    reply: protocol.ConfigurationReply
    sent_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigurationConfirmed:
    """A control confirmed that a revision was the newest at some time.

    Attributes:
      revision: The revision.
      fresh_at: That time, in monotonic seconds.
    """

    revision: int
    fresh_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Announce:
    """Announces the local upstream.

    Attributes:
      upstream: None once it has stopped.
      incarnation: Identifies the run of the upstream process; empty if the
        announcement named none.
      started_ms: Start time of that run in milliseconds, which orders the
        runs on one VM.
      sequence: Number of the announcement within the run; -1 if announcements
        are not numbered.
      cold_remaining_s: Seconds for which the upstream stays cold; None if the
        announcement does not tell.
      is_fresh: Whether it was sent to an address that only this process of the
        node has told, so that it was sent after the start of this process.
    """

    upstream: model.Upstream | None
    incarnation: str = ""
    started_ms: int = 0
    sequence: int = -1
    cold_remaining_s: float | None = None
    is_fresh: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Announced:
    """Answers Announce.

    Attributes:
      is_held_back: Whether it may have been sent before this process of the
        node started, and counts only if a fresh one follows.
    """

    is_held_back: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Leave:
    """The node is shutting down; answered once a control knows it."""


# --- demand ------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class RootArrived:
    """A root request within quota enters the fleet at this node.

    Attributes:
      weight: Number of root requests for which it stands, those that admission
        kept out among them.
    """

    route: str
    priority: model.Priority
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunStarted:
    """The local upstream is about to run a request of this route.

    Attributes:
      urgency: Class of the root of the call tree.
    """

    route: str
    service: str
    urgency: model.Priority = model.Priority.NORMAL


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunEnded:
    """A run for which `RunStarted` was sent has ended.

    Attributes:
      seconds: Time for which it held its slot.
      urgency: As in `RunStarted`.
      completed: Whether it was a nested call that the upstream answered.
      refused: Whether the upstream refused it, or failed it by itself before
        its deadline.
    """

    route: str
    service: str
    seconds: float
    urgency: model.Priority = model.Priority.NORMAL
    completed: bool = False
    refused: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallRejected:
    """A call of the local upstream was refused for lack of capacity."""

    service: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamCalled:
    """The local upstream makes a call on this route.

    Answered with the most urgent class among the roots of the runs that may
    have made it, or None if no such run is known.
    """

    route: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadDemand:
    """Asks for the demand observed at this node, a `demand.Demand`."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadRunTimes:
    """Asks a control for the mean run time of each service, in seconds."""


# --- quota -------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class TakeToken:
    """Asks for one quota token; answered with TokenGranted or TokenRefused."""

    organisation: str
    deadline: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class TokenGranted:
    """The request is within its organisation's quota."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class TokenRefused:
    """No token is available.

    Attributes:
      wait: Seconds until one may be available.
      unreachable: Whether no quota owner could be reached.
    """

    wait: float
    unreachable: bool = False


# --- admission ---------------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admit:
    """Asks for a slot of the local upstream; answered with Admitted or Shed.

    Attributes:
      nested: Whether an upstream made the call while it ran another one.
      may_wait: Whether it may wait for a slot; else it is shed at once without
        one.
      urgency: Class of the root of the call tree; None if it is not known.
      due: Monotonic time at which the response is worth less; 0 if not known.
    """

    call_id: str
    organisation: str
    priority: model.Priority
    nested: bool
    root_id: str
    deadline: float
    may_wait: bool = True
    urgency: model.Priority | None = None
    due: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admitted:
    """The request may be dispatched to this upstream.

    Attributes:
      counted: Whether `RequestSent` has to be told when the request is sent.
      cold: Whether the upstream is cold.
    """

    upstream: model.Upstream
    counted: bool = False
    cold: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestSent:
    """A counted request is sent to the upstream.

    Attributes:
      sent_at: Monotonic seconds.
      is_repeated: Whether it is told again, since the connection was closed.
    """

    sent_at: float
    is_repeated: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class ColdTold:
    """A response of the upstream told for how many seconds it stays cold."""

    remaining_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shed:
    """The request is refused.

    Attributes:
      level: Current admission level, in thousandths.
    """

    code: str
    detail: str
    level: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class SlotReleased:
    """Releases the slot of a request that has ended.

    Attributes:
      latency: Seconds until the response; negative without one.
      shed: Whether the upstream itself refused the request.
      failed: Whether the upstream failed by itself, and not for a call that it
        made.
      timed_out: Whether it failed by answering nothing until the deadline.
      run_time: Seconds for which the slot was held.
      unsent: Whether the request was counted and has not been sent.
      refused: Whether the upstream's address accepted no connection.
    """

    latency: float
    shed: bool = False
    failed: bool = False
    timed_out: bool = False
    run_time: float = 0.0
    unsent: bool = False
    refused: bool = False


# --- running calls -----------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class BeginCall:
    """A call is about to be dispatched to the local upstream."""

    ticket: model.Ticket
    deadline: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndCall:
    """The call has ended; answered with its unused retry tokens."""

    call_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class BeginNested:
    """The local upstream makes a nested call.

    Answered with NestedBegun or `model.Refuse`.

    Attributes:
      fingerprint: Equal for repeats of the same nested call.
    """

    parent_id: str
    fingerprint: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class NestedBegun:
    """The nested call may start, since its parent runs on this node.

    Attributes:
      ticket: The parent's ticket.
      deadline: The parent's deadline.
      retries: Retry tokens for the nested call.
    """

    ticket: model.Ticket
    deadline: float
    retries: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndNested:
    """The nested call has ended.

    Attributes:
      retries: Unused retry tokens, returned to the parent.
    """

    parent_id: str
    fingerprint: str
    retries: int
    succeeded: bool


# --- routing -----------------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChooseUpstream:
    """Asks for an upstream; answered with UpstreamChoice or None.

    Attributes:
      avoid: VMs that were already tried for this call.
      route: Name of its route, or empty.
      size: Bytes of the request's body, as far as it has been received.
    """

    service: str
    avoid: frozenset[str]
    route: str = ""
    size: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamChoice:
    """The node to which an attempt is sent.

    Attributes:
      may_wait: Whether the call may wait for a slot there. If not, another
        upstream may have one free.
    """

    vm: str
    address: model.Address
    may_wait: bool = True


class AttemptResult(enum.Enum):
    """What an attempt says about the health of its upstream.

    Attributes:
      ANSWERED: The upstream responded.
      ERROR: It responded with 502, 503 or 504, or refused the request.
      CONNECTION_FAILED: It or its node failed, was stopping or could not be
        reached.
      INCONCLUSIVE: The attempt ended otherwise and says nothing about it.
    """

    ANSWERED = "answered"
    ERROR = "error"
    CONNECTION_FAILED = "broken"
    INCONCLUSIVE = "none"


@dataclasses.dataclass(frozen=True, kw_only=True)
class AttemptEnded:
    """An attempt has ended.

    Attributes:
      result: What it says about the upstream's health.
      level: Admission level of the service there, in thousandths, or -1 if
        unknown.
      load: Requests running or queued there, in thousandths of the concurrency
        limit, or -1 if unknown.
      latency: Seconds until the response; negative without one.
      route: Name of the call's route, or empty.
      run_time: Seconds for which the call ran there, at least; negative if
        the attempt says nothing about it.
      failed: Whether the upstream failed the call, perhaps for a service
        further down; None if the attempt doesn't tell.
      round_trip: Seconds until a refusal that no wait for a slot delayed;
        negative without one.
      size: Bytes of the response's body, as far as it has been received.
    """

    vm: str
    service: str
    result: AttemptResult
    level: int = -1
    load: int = -1
    latency: float = -1.0
    route: str = ""
    run_time: float = -1.0
    failed: bool | None = None
    round_trip: float = -1.0
    size: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class MayRetry:
    """Asks whether to retry after a refusal; answered with a bool.

    Attributes:
      attempts: Number of attempts made so far at this hop.
    """

    call: model.Call
    refusal: model.Refuse
    attempts: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallArrived:
    """A call entered the fleet at this node, whether or not it is admitted.

    Attributes:
      nested: Whether the local upstream made it.
    """

    service: str
    nested: bool
    organisation: str
    priority: model.Priority


@dataclasses.dataclass(frozen=True, kw_only=True)
class FirstAttempt:
    """A call makes its first attempt."""

    service: str = ""


# --- connections -------------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class Exchange:
    """Sends a call to a peer or an upstream; answered with `model.Outcome`.

    Attributes:
      ticket: Signed and sent with the request.
      to_upstream: Whether the receiver is an upstream, not a node.
      confirm: Whether the receiver must show that it is alive before it may
        get the whole request.
    """

    address: model.Address
    request: model.Request
    ticket: model.Ticket
    deadline: float
    to_upstream: bool
    confirm: bool


NO_IDLE_LIMIT = 1e6  # seconds; only the connection's own expiry applies


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamExchange:
    """Sends a request to an upstream; answered with its `model.Response`.

    It fails with `ConnectionFailedError`. Abandoning the message closes the
    connection, which cancels the request at the upstream.

    Attributes:
      encode: Returns the `http.RawRequest` to send at a monotonic time, in
        seconds. It is called once there is a connection, so that the wait for
        one is not counted in the remaining time that the request states. It
        raises `SendRefusedError` if the request must not be sent any more.
      is_answer: Tells the response to this request from others.
      max_idle: Maximum seconds since the last use of a connection.
      deadline: Monotonic seconds.
      on_streamed: Called when the upstream's part in a streamed response is
        over: at its end, when it is abandoned, or at the deadline. The argument
        tells whether the response is complete.
    """

    address: model.Address
    encode: Callable[[float], Any]
    is_answer: model.ResponseMatcher
    max_idle: float
    deadline: float
    on_streamed: Callable[[bool], None] | None = None


# --- replica -----------------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class Submit:
    """Commits a command; answered with its `fleet_commands.Result`.

    Attributes:
      command: A command of `fleet_commands`.
      forwarded: Whether another control forwarded it.
    """

    command: Any
    forwarded: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplicaMessage:
    """A Raft message from another replica; answered with the reply to it."""

    message: Any


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplaceVoter:
    """Replaces a voter by a learner; answered with Accepted or Rejected.

    Accepted once the final membership is committed. The message may be sent
    again: a finished replacement is accepted, and not made a second time.

    Attributes:
      forwarded: Whether another control forwarded it.
    """

    old_id: str
    new_id: str
    forwarded: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class BootstrapReplica:
    """Bootstraps a replica with an empty data folder."""

    membership: replication.Membership


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadReplica:
    """Asks for the status of the replica; answered with ReplicaStatus."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplicaStatus:
    """Status of a replica.

    Attributes:
      member: Its identity.
      founded: Whether it has a membership to begin with.
      commit: Index of the last committed entry.
      leader: Replica id of the leader that it follows, or empty.
      majority_age: Seconds since it last had contact with a majority.
      leadership_confirmed_at: Monotonic time, in seconds, at which it was
        last certain, as the leader, to have applied all committed entries;
        negative infinity if never.
    """

    member: replication.Member
    founded: bool
    membership: replication.Membership
    role: str
    term: int
    commit: int
    leader: str
    majority_age: float
    leadership_confirmed_at: float = float("-inf")


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetView:
    """The state that a control has applied, as one snapshot.

    Attributes:
      owners: Replica ids of the quota owners, in the order of their shares.
      replayed_revision: Highest revision whose change may have been applied
        before this process started.
    """

    state: fleet_state.FleetState = fleet_state.FleetState()
    owners: tuple[str, ...] = ()
    members: tuple[replication.Member, ...] = ()
    replayed_revision: int = 0
