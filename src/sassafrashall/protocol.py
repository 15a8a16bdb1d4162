"""Messages between the processes of the system."""

from __future__ import annotations

import dataclasses

from sassafrashall import configuration
from sassafrashall import events
from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall.decisions import fleet_commands
from sassafrashall.decisions import quota
from sassafrashall.decisions import replication
from sassafrashall.transport import codec


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ack:
    """Says that a message was taken."""


# --- node to control ---------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class DirectoryEntry:
    """One node as the directory sees it.

    Attributes:
      age: Seconds since its last sign of life.
    """

    record: model.NodeRecord
    age: float = 0.0
    lapsed: bool = False
    load: model.NodeLoad | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """A node's sign of life.

    Attributes:
      directory_source: The control process whose directory the node follows.
      directory_version: What it holds of it.
      document_version: Version of the fleet configuration that it holds.
    """

    record: model.NodeRecord
    directory_source: str
    directory_version: int
    withdrawn_count: int
    load: model.NodeLoad | None = None
    document_version: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeartbeatReply:
    """What has changed since the node's last heartbeat.

    Attributes:
      complete: Whether `entries` is the whole directory.
      majority_age: Seconds since this control was in touch with a majority.
      withdrawn: Digests of all withdrawn keys, if the node holds fewer.
      proof_age: Seconds since `revision` was certainly the newest one.
      document: The fleet configuration, if the node holds an older one.
      controls: The members of the replicated log, where nodes may turn to.
    """

    directory_source: str
    directory_version: int
    complete: bool
    entries: tuple[DirectoryEntry, ...]
    revision: int
    organisations: tuple[model.Organisation, ...]
    withdrawn: tuple[str, ...]
    majority_age: float
    proof_age: float = 1e6
    document: configuration.Configuration | None = None
    controls: tuple[replication.Member, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Borrow:
    """Asks for tokens and reports the use of earlier ones.

    Attributes:
      forwarded: Whether another owner, out of tokens, sent it on.
    """

    organisation: str
    wanted: int
    reports: tuple[quota.Report, ...] = ()
    forwarded: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseGrant:
    """A lease as the owner grants it; the node counts the time to live."""

    owner: str
    lease_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class BorrowReply:
    """Answers Borrow.

    Attributes:
      wait: Seconds until a token may be there.
      unreachable: Whether no owner with a part of this quota could be asked.
    """

    grants: tuple[LeaseGrant, ...]
    wait: float
    unreachable: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class BorrowAhead:
    """Asks one owner for tokens of several organisations, ahead of need."""

    borrows: tuple[Borrow, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class BorrowAheadReply:
    """Answers BorrowAhead in its order; an owner without tokens says so."""

    answers: tuple[BorrowReply, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settle:
    """Reports use and return of tokens."""

    reports: tuple[quota.Report, ...]
    forwarded: bool = False


# --- commands ----------------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class SubmitCommand:
    """Commits a command, encoded by the codec."""

    command: bytes
    forwarded: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class CommandResult:
    """The result of a committed command, encoded by the codec."""

    result: bytes


# --- control to control ------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlRecord:
    """What a control says of itself.

    Attributes:
      majority_age: Seconds since it was in touch with a majority.
      proof_age: Seconds since `revision` was certainly the newest one, as far
        as the control knows of itself; only a leader knows.
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
    """A sign of life of a node whose record has not changed."""

    vm: str
    incarnation: int
    counter: int
    age: float
    load: model.NodeLoad | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Gossip:
    """Spreads the directory and withdrawn keys without the log.

    Attributes:
      entries: Changed records of the nodes that the sender hears itself.
      alive: Signs of life of all nodes that the sender hears itself.
      withdrawn: Digests of all withdrawn keys, if their number has changed.
    """

    control: ControlRecord
    entries: tuple[DirectoryEntry, ...]
    alive: tuple[Alive, ...]
    withdrawn: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class GossipReply:
    """Answers Gossip.

    Attributes:
      source: Names the process, so that a restarted one is sent everything.
    """

    source: str
    control: ControlRecord


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ping:
    """Asks a control how fresh it is."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pong:
    """Answers Ping."""

    majority_age: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class FoundingQuery:
    """Asks a founder whether its data folder is empty."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class FoundingReply:
    """Answers FoundingQuery.

    Attributes:
      membership: The membership it knows; empty if it was never founded.
      majority_age: Seconds since it was in touch with a majority.
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
    """Asks a control for the view that `status` and `--wait` need."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class OrganisationQuota:
    """What one owner sees of an organisation's quota, since it started."""

    organisation: str
    lent: int
    dry: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class StatusReply:
    """The fleet as one control sees it."""

    answered_by: str
    revision: int
    majority_age: float
    leader: str
    controls: tuple[ControlRecord, ...]
    membership: replication.Membership
    nodes: tuple[DirectoryEntry, ...]
    organisations: tuple[model.Organisation, ...]
    quotas: tuple[OrganisationQuota, ...]
    claims: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplaceReplica:
    """Puts a learner in a voter's place."""

    old_id: str
    new_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class EventsReply:
    """The events of one process."""

    events: tuple[events.Event, ...]


OPERATOR_MESSAGES = (StatusQuery, SubmitCommand, ReplaceReplica)

codec.register(
    Ack,
    Heartbeat,
    HeartbeatReply,
    Borrow,
    BorrowReply,
    BorrowAhead,
    BorrowAheadReply,
    Settle,
    SubmitCommand,
    CommandResult,
    Gossip,
    GossipReply,
    Ping,
    Pong,
    FoundingQuery,
    FoundingReply,
    JoinRequest,
    StatusQuery,
    StatusReply,
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
    fleet_commands.ReplaceConfiguration,
    fleet_commands.ReadConfiguration,
    fleet_commands.CurrentConfiguration,
    fleet_commands.NoOp,
    fleet_commands.Accepted,
    fleet_commands.Conflict,
    fleet_commands.Rejected,
    fleet_commands.Granted,
    fleet_commands.Taken,
)
