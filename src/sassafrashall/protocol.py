"""Messages between the processes of the system."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses

from sassafrashall import configuration
from sassafrashall import events
from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall import organisation_model
from sassafrashall.decisions import demand as demand_decisions
from sassafrashall.decisions import fleet_commands
from sassafrashall.decisions import quota
from sassafrashall.decisions import replication
from sassafrashall.decisions import service_capacity
from sassafrashall.decisions import spillover
from sassafrashall.decisions import tree_admission
from sassafrashall.transport import codec


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ack:
    """Acknowledges a message."""


# --- node to control ---------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class DirectoryEntry:
    """Directory entry of one node.

    Attributes:
      age: Seconds since its last heartbeat.
      lapsed: Whether the entry has expired for want of heartbeats.
    """

    record: model.NodeRecord
    age: float = 0.0
    lapsed: bool = False
    load: model.NodeLoad | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """Reports that a node is alive, and which state it already holds.

    Attributes:
      directory_source: The control process whose directory the node follows.
      directory_version: Version of that directory that the node holds.
      withdrawn_count: Number of withdrawn keys that the node knows.
      document_version: Version of the fleet configuration that it holds.
      demand: What enters at the node and what its upstream runs; None from a
        build that doesn't measure it.
    """

    record: model.NodeRecord
    directory_source: str
    directory_version: int
    withdrawn_count: int
    load: model.NodeLoad | None = None
    document_version: int = 0
    demand: demand_decisions.Demand | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeartbeatReply:
    """What has changed since the node's last heartbeat.

    Attributes:
      complete: Whether `entries` is the whole directory.
      withdrawn: Digests of all withdrawn keys, if the node knows fewer.
      majority_age: Seconds since this control last had contact with a majority.
      proof_age: Seconds since `revision` was last proven to be the newest one.
      document: The fleet configuration, if the node holds an older one.
      controls: The members of the replicated log, which nodes may call.
      route_levels: The routes whose root requests are admitted in part.
      signed_off: The last run of the node's upstream that signed off, if the
        node didn't report one.
      was_in_use: Whether the process of the node before this one used this
        control until it ended, so that this control knows what it acknowledged.
      evacuated: The evacuated data centres at `revision`; None from a build
        that doesn't know them.
      evacuation_changes: Data centre and fleet revision of the last change of
        its evacuation, kept after the end of it; none from a build that
        doesn't tell it.
      rooms: Slots and loads of the services in each data centre.
      relative_times: By VM, `model.NodeLoad.relative_time` of some upstreams. A
        reply holds a bounded number of them, the next one others.
    """

    directory_source: str
    directory_version: int
    complete: bool
    entries: tuple[DirectoryEntry, ...]
    revision: int
    organisations: tuple[organisation_model.Organisation, ...]
    withdrawn: tuple[str, ...]
    majority_age: float
    proof_age: float = 1e6
    document: configuration.Configuration | None = None
    controls: tuple[replication.Member, ...] = ()
    route_levels: tuple[tree_admission.RouteLevel, ...] = ()
    signed_off: model.SignOff | None = None
    was_in_use: bool = False
    evacuated: tuple[str, ...] | None = None
    evacuation_changes: tuple[tuple[str, int], ...] = ()
    rooms: tuple[spillover.Room, ...] = ()
    relative_times: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Borrow:
    """Asks for quota tokens and reports the use of earlier ones.

    Attributes:
      wanted: Number of tokens asked for.
      forwarded: Whether another owner that was out of tokens forwarded it.
    """

    organisation: str
    wanted: int
    reports: tuple[quota.Report, ...] = ()
    forwarded: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseGrant:
    """A lease on tokens; the node itself measures the time to live."""

    owner: str
    lease_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class BorrowReply:
    """Answers Borrow.

    Attributes:
      wait: Seconds until a token may be available.
      unreachable: Whether no owner of a share of this quota could be reached.
    """

    grants: tuple[LeaseGrant, ...]
    wait: float
    unreachable: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class BorrowAhead:
    """Asks one owner for tokens of several organisations in advance."""

    borrows: tuple[Borrow, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class BorrowAheadReply:
    """Answers the requests of BorrowAhead, in their order.

    The owner lends from its own share only: it doesn't forward a request for
    which it has no tokens.
    """

    answers: tuple[BorrowReply, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settle:
    """Reports the use and the return of tokens.

    Attributes:
      forwarded: Whether another owner forwarded it.
    """

    reports: tuple[quota.Report, ...]
    forwarded: bool = False


# --- commands ----------------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class SignOffQuery:
    """Asks for the sign-offs of the upstream of a VM, when its node starts."""

    vm: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class SignOffReply:
    """All sign-offs that had been committed before the query.

    Attributes:
      sign_offs: The latest last.
    """

    sign_offs: tuple[model.SignOff, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class SubmitCommand:
    """Commits a command.

    Attributes:
      command: A command of `fleet_commands`, encoded by the codec.
      forwarded: Whether another control forwarded it.
    """

    command: bytes
    forwarded: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class CommandResult:
    """The result of a committed command, encoded by the codec."""

    result: bytes


# --- control to control ------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlRecord:
    """Status that a control reports about itself.

    Attributes:
      applied: Index of the last committed entry of the log.
      revision: Fleet revision of the state that it has applied.
      majority_age: Seconds since it last had contact with a majority.
      voter: Whether it votes in the replicated log.
      proof_age: Seconds since the control, as the leader, last proved that
        `revision` was the newest one; 1e6 if it has not.
    """

    vm: str
    data_centre: str
    replica_id: str
    rpc_address: str
    ops_address: str
    role: str
    term: int
    applied: int
    revision: int
    majority_age: float
    voter: bool
    proof_age: float = 1e6


@dataclasses.dataclass(frozen=True, kw_only=True)
class Alive:
    """Reports that a node is alive and that its record has not changed.

    Attributes:
      age: Seconds since its last heartbeat.
    """

    vm: str
    incarnation: int
    counter: int
    age: float
    load: model.NodeLoad | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Gossip:
    """Spreads the directory and withdrawn keys without the replicated log.

    Attributes:
      entries: Changed records of the nodes that send heartbeats to the sender.
      alive: All nodes that send heartbeats to the sender.
      withdrawn: Digests of all withdrawn keys, if their number has changed.
      demand: The demand at the nodes that send heartbeats to the sender.
    """

    control: ControlRecord
    entries: tuple[DirectoryEntry, ...]
    alive: tuple[Alive, ...]
    withdrawn: tuple[str, ...]
    demand: demand_decisions.Demand | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class GossipReply:
    """Answers Gossip.

    Attributes:
      source: Identifies the process, so that a restarted one is sent
        everything again.
    """

    source: str
    control: ControlRecord


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ping:
    """Asks a control for its contact with a majority and its revision.

    Attributes:
      vm: VM of a node that is alive; empty if another process asks.
      incarnation: Of the node's record.
      counter: Of the node's record.
    """

    vm: str = ""
    incarnation: int = 0
    counter: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pong:
    """Answers Ping.

    Attributes:
      majority_age: Seconds since the last contact with a majority.
      revision: Fleet revision of the state that it has applied; -1 if it
        doesn't tell.
      proof_age: Seconds since `revision` was last proven to be the newest one.
      steady_for: Seconds for which the process has run and been in contact with
        a majority. Controls of earlier builds don't tell.
    """

    majority_age: float
    revision: int = -1
    proof_age: float = 1e6
    steady_for: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigurationQuery:
    """Asks a control for a newer configuration than the node holds.

    Attributes:
      revision: Fleet revision that the node has applied.
      document_version: Version of the document that it holds.
      withdrawn_count: Number of withdrawn keys that it knows.
    """

    revision: int
    document_version: int
    withdrawn_count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigurationReply:
    """Answers ConfigurationQuery; the fields are those of HeartbeatReply."""

    revision: int
    organisations: tuple[organisation_model.Organisation, ...]
    withdrawn: tuple[str, ...]
    proof_age: float
    document: configuration.Configuration | None = None
    evacuated: tuple[str, ...] | None = None
    evacuation_changes: tuple[tuple[str, int], ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class RecordChanged:
    """Tells a control that gets no heartbeats of a node its record.

    Nodes that rely on that control learn of a sign-off while the controls are
    cut off from each other.
    """

    record: model.NodeRecord


@dataclasses.dataclass(frozen=True, kw_only=True)
class FoundingQuery:
    """Asks a control whether its replica has been founded."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class FoundingReply:
    """Answers FoundingQuery.

    Attributes:
      founded: Whether its data folder already holds a membership.
      membership: The membership that it knows; empty if not founded.
      majority_age: Seconds since it last had contact with a majority.
    """

    member: replication.Member
    founded: bool
    membership: replication.Membership
    majority_age: float = 1e6


@dataclasses.dataclass(frozen=True, kw_only=True)
class JoinRequest:
    """A replica with a new data folder asks to be a learner."""

    member: replication.Member


# --- operators ---------------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class StatusQuery:
    """Asks a control for its view of the fleet."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class OrganisationQuota:
    """Use of an organisation's quota at one owner since the owner started.

    Attributes:
      lent: Number of tokens lent.
      dry: Number of requests for tokens when none was available.
    """

    organisation: str
    lent: int
    dry: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class StatusReply:
    """The fleet as seen by one control.

    Attributes:
      answered_by: VM of that control.
      majority_age: Seconds since it last had contact with a majority.
      leader: Replica id of the leader that it follows, or empty.
      claims: Number of claims on idempotency keys.
      evacuated: The evacuated data centres.
    """

    answered_by: str
    revision: int
    majority_age: float
    leader: str
    controls: tuple[ControlRecord, ...]
    membership: replication.Membership
    nodes: tuple[DirectoryEntry, ...]
    organisations: tuple[organisation_model.Organisation, ...]
    quotas: tuple[OrganisationQuota, ...]
    claims: int
    evacuated: tuple[str, ...] = ()

    def ready_upstreams(self) -> Iterator[model.Upstream]:
        """Yields the upstreams that get requests."""
        for entry in self.nodes:
            record = entry.record
            if (
                record.upstream is not None
                and record.upstream.state is model.UpstreamState.READY
                and not entry.lapsed
                and not record.leaving
                and record.data_centre not in self.evacuated
            ):
                yield record.upstream


@dataclasses.dataclass(frozen=True, kw_only=True)
class CapacityQuery:
    """Asks a control for the capacity of the fleet's services."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class CapacityReply:
    """Answers CapacityQuery.

    Attributes:
      document_digest: SHA-256 digest of the configuration in force, in
        hexadecimal; that of an empty text if there is none.
      services: At most `service_capacity.MAX_SERVICES`.
      is_complete: Whether no service is left out.
    """

    document_digest: str
    services: tuple[service_capacity.ServiceCapacity, ...]
    is_complete: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplaceReplica:
    """Replaces a voter by a learner; answered like SubmitCommand."""

    old_id: str
    new_id: str
    forwarded: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class EventsReply:
    """The events of one process."""

    events: tuple[events.Event, ...]


OPERATOR_MESSAGES = (StatusQuery, CapacityQuery, SubmitCommand, ReplaceReplica)

codec.register(
    Ack,
    Heartbeat,
    HeartbeatReply,
    Borrow,
    BorrowReply,
    BorrowAhead,
    BorrowAheadReply,
    Settle,
    SignOffQuery,
    SignOffReply,
    SubmitCommand,
    CommandResult,
    Gossip,
    GossipReply,
    Ping,
    Pong,
    ConfigurationQuery,
    ConfigurationReply,
    RecordChanged,
    FoundingQuery,
    FoundingReply,
    JoinRequest,
    StatusQuery,
    StatusReply,
    CapacityQuery,
    CapacityReply,
    ReplaceReplica,
    EventsReply,
    exceptions.Finding,
    replication.AppendEntries,
    replication.AppendReply,
    replication.InstallSnapshot,
    replication.RequestVote,
    replication.VoteReply,
    fleet_commands.CreateOrganisation,
    fleet_commands.SetParameters,
    fleet_commands.IssueKey,
    fleet_commands.WithdrawKey,
    fleet_commands.ClaimRequest,
    fleet_commands.ReleaseClaim,
    fleet_commands.RotateClaims,
    fleet_commands.RecordSignOff,
    fleet_commands.ReadSignOffs,
    fleet_commands.ReplaceConfiguration,
    fleet_commands.ReadConfiguration,
    fleet_commands.EvacuateDataCentre,
    fleet_commands.EndEvacuation,
    fleet_commands.CurrentConfiguration,
    fleet_commands.SignOffs,
    fleet_commands.NoOp,
    fleet_commands.Accepted,
    fleet_commands.Conflict,
    fleet_commands.Rejected,
    fleet_commands.Granted,
    fleet_commands.Taken,
)
