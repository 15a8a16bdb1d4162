"""Settings of the daemon and of the operators' tool."""

from __future__ import annotations

import dataclasses
import enum
import ipaddress
import re

from sassafrashall import model
from sassafrashall.decisions import breaker as breaker_policies
from sassafrashall.decisions import entry_feedback as feedback_policies
from sassafrashall.decisions import limits
from sassafrashall.decisions import queues
from sassafrashall.decisions import quota
from sassafrashall.decisions import retries as retry_policies
from sassafrashall.decisions import routing as routing_policies
from sassafrashall.decisions import shedding
from sassafrashall.decisions import tree_admission as tree_policies
from sassafrashall.decisions import voter_placement

# Fraction of the tolerated overage that quota owners lend. The rest is left for
# requests that bunch up on their way from admission to the upstream.
OVERAGE_FRACTION = 0.8
# Fraction of the tolerated retry ratio that one hop may use. Since a retry of a
# request that may have run costs more, four hops together stay below the ratio.
HOP_RETRY_FRACTION = 0.4
MAX_DURATION = 1e9  # seconds
MAX_PORT_DIGITS = 5


class Role(enum.StrEnum):
    """Role of a daemon."""

    NODE = "node"
    CONTROL = "control"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Control:
    """Identity and address of a control.

    Attributes:
      address: Address of its remote procedure calls.
    """

    vm: str
    data_centre: str
    address: model.Address


@dataclasses.dataclass(frozen=True, kw_only=True)
class Listen:
    """Addresses on which the daemon listens.

    A control uses only `rpc`, `ops` and `operators`; a node uses the others and
    `ops`.

    Attributes:
      ops: Metrics, events and status.
      callers: Requests from callers.
      local: Calls from the upstream on this VM; a loopback address.
      peers: Requests from other nodes.
      rpc: Remote procedure calls.
      readiness: Readiness probes of the platform.
      announcements: Announcements of the upstream on this VM.
      operators: The operators' HTTP interface to the fleet configuration.
    """

    ops: model.Address
    callers: model.Address | None = None
    local: model.Address | None = None
    peers: model.Address | None = None
    rpc: model.Address | None = None
    readiness: model.Address | None = None
    announcements: model.Address | None = None
    operators: model.Address | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Duration:
    """A duration, written as a number with a unit, `ms` or `s`."""

    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Routed:
    """Settings of a fleet that is routed by one configuration document.

    Attributes:
      service: Service of the upstream on this VM; empty on a control.
      upstream: Address of that upstream.
      strict_withdrawal: Whether a request with a key is admitted only with a
        proof that no newer configuration has withdrawn the key.
      withdrawal: Time within which a withdrawn key stops working everywhere.
      grace: Time from SIGTERM to SIGKILL.
      quota_overage: Fraction of its quota by which an organisation may exceed
        it.
      quota_slack: Requests by which it may exceed it further, within a few
        seconds.
      quota_lease_fraction: Fraction of a control's share of a quota that may be
        lent to nodes at the same time. What is left is lent right after the
        control has restarted, when it does not know its leases from before;
        with 1 it lends nothing for 3 s then.
      retry_ratio: Maximum number of retries that reach an upstream per request
        to a service, over the whole fleet.
      cold_overage: Multiple of the configured rate of requests that a cold
        upstream may get; 0 counts as 1.
      cold_slack: Requests in a second that it may get on top of that.
      evacuation: Time within which the evacuation of a data centre is in force
        everywhere; 0 if a node that starts or resumes doesn't wait for a proof
        that it knows of the newest one.
      first_start: Whether this is the first start of the fleet; only then does
        a control with an empty data folder found it.
      losses: What may be lost at once while the configuration can be changed;
        decides how many controls vote, and which.
      regions: Region by data centre.
      pipeline_depth: Idempotent requests of one caller's connection that run at
        the same time.
      heartbeat_ports: A node that has just started picks a port of this VM
        between the two, where only it asks its upstream to send heartbeats;
        none if they are the same.
    """

    service: str = ""
    upstream: model.Address | None = None
    strict_withdrawal: bool = False
    withdrawal: Duration = Duration(seconds=5.0)
    grace: Duration = Duration(seconds=6.0)
    quota_overage: float = 0.0
    quota_slack: int = 0
    quota_lease_fraction: float = 1.0
    retry_ratio: float = 0.2
    cold_overage: float = 0.0
    cold_slack: int = 0
    evacuation: Duration = Duration(seconds=0.0)
    first_start: bool = True
    losses: voter_placement.Losses = voter_placement.Losses()
    regions: dict[str, str] = dataclasses.field(default_factory=dict)
    pipeline_depth: int = 1
    heartbeat_ports: tuple[int, int] = (0, 0)

    def voter_requirements(self) -> voter_placement.Requirements:
        """Returns the losses that the controls have to tolerate."""
        return voter_placement.Requirements(
            losses=self.losses,
            region_by_data_centre=tuple(sorted(self.regions.items())),
        )

    def with_retry_ratio(
        self, policy: retry_policies.Policy
    ) -> retry_policies.Policy:
        """Returns the policy with the retry ratio that this fleet allows."""
        match policy:
            case retry_policies.ArrivalRetries():
                return dataclasses.replace(
                    policy,
                    ratio=HOP_RETRY_FRACTION * self.retry_ratio,
                    tolerated_ratio=self.retry_ratio,
                )
            case _:
                return policy

    def allowed_overage(self) -> quota.Overage:
        """Returns by how much quota owners may exceed the quotas."""
        return quota.Overage(
            fraction=OVERAGE_FRACTION * self.quota_overage,
            tokens=int(OVERAGE_FRACTION * self.quota_slack),
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Policy:
    """Names of the policies in use, and the limits of the queue.

    The simplest policies, such as `none`, `fifo` and `random`, are baselines
    for comparison.

    Attributes:
      crossing_cost_ms: Milliseconds of a caller's time that leaving the data
        centre must save, besides the round trip. Twice a round trip between
        data centres, so that a call that crosses clearly gains by it.
    """

    limit: str = "shed"
    queue: str = "priority-fair"
    queue_length: int = 64
    longest_wait_ms: int = 250
    early_shed: str = "fair-level"
    routing: str = "two-choices"
    retries: str = "budget"
    tree_admission: str = "none"
    breaker: str = "none"
    crossing_cost_ms: int = 5
    entry_feedback: str = "none"

    def limit_policy(self) -> limits.Policy:
        """Returns the concurrency limit policy."""
        return LIMIT_POLICIES[self.limit]

    def queue_policy(self) -> queues.Policy:
        """Returns the queue policy with its length and maximum wait."""
        if self.queue == "fifo":
            return queues.FirstInFirstOut(length=self.queue_length)
        return FAIR_QUEUES[self.queue](
            length=self.queue_length, max_wait=self.longest_wait_ms / 1000
        )

    def shed_policy(self) -> shedding.Policy:
        """Returns the early shedding policy."""
        return SHED_POLICIES[self.early_shed]

    def tree_admission_policy(self) -> tree_policies.Policy:
        """Returns the policy that admits roots by what their trees cost."""
        return TREE_ADMISSION_POLICIES[self.tree_admission]

    def feedback_policy(self) -> feedback_policies.Policy:
        """Returns the policy that refuses roots by how others end."""
        return FEEDBACK_POLICIES[self.entry_feedback]

    def breaker_policy(self) -> breaker_policies.Policy:
        """Returns the policy for an upstream that fails its requests."""
        return BREAKER_POLICIES[self.breaker]

    def routing_policy(self) -> routing_policies.Policy:
        """Returns the routing policy."""
        match ROUTING_POLICIES[self.routing]:
            case routing_policies.ExpectedCompletion() as policy:
                return dataclasses.replace(
                    policy, crossing_cost_s=self.crossing_cost_ms / 1000
                )
            case policy:
                return policy

    def retry_policy(self) -> retry_policies.Policy:
        """Returns the retry policy."""
        return RETRY_POLICIES[self.retries]


LIMIT_POLICIES: dict[str, limits.Policy] = {
    "none": limits.NoLimit(),
    "fixed": limits.FixedLimit(),
    "shed": limits.ShedLimit(),
    "latency": limits.LatencyLimit(),
}
FAIR_QUEUES: dict[str, type[queues.PriorityFair]] = {
    "priority-fair": queues.PriorityFair,
    "calls-first": queues.CallsFirst,
    "trees-first": queues.TreesFirst,
    "urgency-first": queues.UrgencyFirst,
}
TREE_ADMISSION_POLICIES: dict[str, tree_policies.Policy] = {
    "none": tree_policies.AdmitAll(),
    "narrowest-service": tree_policies.NarrowestService(),
    "measured-capacity": tree_policies.MeasuredCapacity(),
}
BREAKER_POLICIES: dict[str, breaker_policies.Policy] = {
    "none": breaker_policies.NoBreaker(),
    "consecutive-failures": breaker_policies.ConsecutiveFailures(),
}
FEEDBACK_POLICIES: dict[str, feedback_policies.Policy] = {
    "none": feedback_policies.NoFeedback(),
    "outcomes": feedback_policies.OutcomeFeedback(),
}
SHED_POLICIES: dict[str, shedding.Policy] = {
    "none": shedding.NoEarlyShed(),
    "level": shedding.LevelShed(),
    "fair-level": shedding.FairLevelShed(),
}
ROUTING_POLICIES: dict[str, routing_policies.Policy] = {
    "random": routing_policies.RandomChoice(),
    "two-choices": routing_policies.TwoChoices(),
    "least-loaded": routing_policies.LeastLoaded(),
    "first-free": routing_policies.LeastLoaded(moves=2),
    "expected-completion": routing_policies.ExpectedCompletion(),
}
RETRY_POLICIES: dict[str, retry_policies.Policy] = {
    "none": retry_policies.NoRetries(),
    "fixed": retry_policies.FixedRetries(),
    "budget": retry_policies.BudgetRetries(),
    "arrivals": retry_policies.ArrivalRetries(),
    "urgent-arrivals": retry_policies.UrgentRetries(),
}
POLICY_NAMES = {
    "limit": tuple(LIMIT_POLICIES),
    "queue": ("fifo", *FAIR_QUEUES),
    "early_shed": tuple(SHED_POLICIES),
    "routing": tuple(ROUTING_POLICIES),
    "retries": tuple(RETRY_POLICIES),
    "tree_admission": tuple(TREE_ADMISSION_POLICIES),
    "breaker": tuple(BREAKER_POLICIES),
    "entry_feedback": tuple(FEEDBACK_POLICIES),
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Daemon:
    """Settings of `sassafrashalld`.

    Attributes:
      fleet_secret: Secret shared by all processes of the fleet.
      controls: The controls of the fleet.
      seeds: Addresses of the controls, as an alternative to `controls`.
      seed_port: Port of the controls' remote procedure calls, if it is not the
        one in `seeds`.
      operator_secret: Secret that operators' tools present to a control.
      data_folder: Folder for the persistent state of a control.
      default_timeout_ms: Timeout of requests that state no deadline.
      memory_mb: Memory of the VM in MB, of which a share is the bound on what
        the process holds for its clients.
      claim_retention_s: Seconds between two rotations of the claims; a claim is
        dropped by the second rotation after it was granted.
      routed: Set for a fleet that is routed by one configuration document.
    """

    role: Role
    vm: str
    data_centre: str
    listen: Listen
    fleet_secret: str
    controls: tuple[Control, ...] = ()
    seeds: tuple[model.Address, ...] = ()
    seed_port: int = 0
    operator_secret: str = ""
    data_folder: str = ""
    default_timeout_ms: int = 10_000
    claim_retention_s: int = 86_400
    memory_mb: int = 200
    log_level: str = "INFO"
    policy: Policy = Policy()
    routed: Routed | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Tool:
    """Settings of `sassafrashallctl`."""

    controls: tuple[Control, ...]
    operator_secret: str
    timeout_s: float = 5.0


def parse_address(text: str) -> model.Address:
    """Parses an address written as `IP:PORT`.

    Raises:
      ValueError: The text is not valid; the message says why.
    """
    host, separator, port = text.rpartition(":")
    if not separator or re.fullmatch("[0-9]+", port) is None:
        raise ValueError(f"{text!r} is not IP:PORT")
    if len(port) > MAX_PORT_DIGITS or not 0 < int(port) < 65536:
        raise ValueError(f"port {port} is not within 1 to 65535")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError(f"{host!r} is not an IP number") from None
    return model.Address(host=host.strip("[]"), port=int(port))


def parse_duration(text: str) -> Duration:
    """Parses a duration such as `1500ms` or `2.5s`.

    Raises:
      ValueError: The text is not valid; the message says why.
    """
    match = re.fullmatch(r"([0-9]+(?:\.[0-9]+)?)(ms|s)", text)
    if match is None:
        raise ValueError(f"{text!r} is not a number with its unit, ms or s")
    seconds = float(match[1]) / (1000 if match[2] == "ms" else 1)
    if seconds > MAX_DURATION:
        raise ValueError(f"{text[:20]!r} is longer than {MAX_DURATION:.0f} s")
    return Duration(seconds=seconds)
