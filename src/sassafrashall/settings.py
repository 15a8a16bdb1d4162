"""Settings of the daemon and of the operators' tool, read from YAML."""

from __future__ import annotations

import dataclasses
import enum
import ipaddress
import pathlib
import re
from typing import Any
from typing import TypeVar

import cattrs
from cattrs import errors as cattrs_errors

from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall import settings_text
from sassafrashall.decisions import breaker as breaker_policies
from sassafrashall.decisions import entry_feedback as feedback_policies
from sassafrashall.decisions import limits
from sassafrashall.decisions import pipelining
from sassafrashall.decisions import queues
from sassafrashall.decisions import quota
from sassafrashall.decisions import retries as retry_policies
from sassafrashall.decisions import routing as routing_policies
from sassafrashall.decisions import shedding
from sassafrashall.decisions import tree_admission as tree_policies
from sassafrashall.decisions import voter_placement

MIN_SECRET_LENGTH = 16  # bytes
# Fraction of the tolerated overage that quota owners lend. The rest is left for
# requests that bunch up on their way from admission to the upstream.
OVERAGE_FRACTION = 0.8
# Fraction of the tolerated retry ratio that one hop may use. Since a retry of a
# request that may have run costs more, four hops together stay below the ratio.
HOP_RETRY_FRACTION = 0.4
MAX_SECRET_LENGTH = 64  # bytes; the longest key of BLAKE2b
MAX_DURATION = 1e9  # seconds
# A process needs about 40 MB at rest.
MIN_MEMORY_MB = 64
MAX_PORT_DIGITS = 5
MAX_COLD_BOUND = 1_000_000  # of `cold_overage` and `cold_slack`

_T = TypeVar("_T")


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
    """

    service: str = ""
    upstream: model.Address | None = None
    strict_withdrawal: bool = False
    withdrawal: Duration = Duration(seconds=5.0)
    grace: Duration = Duration(seconds=6.0)
    quota_overage: float = 0.0
    quota_slack: int = 0
    retry_ratio: float = 0.2
    cold_overage: float = 0.0
    cold_slack: int = 0
    evacuation: Duration = Duration(seconds=0.0)
    first_start: bool = True
    losses: voter_placement.Losses = voter_placement.Losses()
    regions: dict[str, str] = dataclasses.field(default_factory=dict)
    pipeline_depth: int = 1

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
                    policy, ratio=HOP_RETRY_FRACTION * self.retry_ratio
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
_POLICY_NAMES = {
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


def read(path: str, settings_type: type[_T]) -> _T:
    """Reads and validates a settings file.

    Raises:
      FindingsError: The file can't be read or has faults; there is a finding
        for each fault, with its line and key.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.FindingsError(
            (exceptions.Finding(source=path, text=str(error)),)
        ) from error
    return parse(text, path, settings_type)


def parse(text: str, source: str, settings_type: type[_T]) -> _T:
    """Parses and validates settings.

    Raises:
      FindingsError: See `read`; `source` names the text in the findings.
    """
    document = settings_text.load(text, source)
    try:
        settings = _converter().structure(document, settings_type)
    except (cattrs_errors.BaseValidationError, ValueError, TypeError) as error:
        raise exceptions.FindingsError(
            settings_text.findings_of(error, document, source)
        ) from error
    faults = _check(settings)
    if faults:
        raise exceptions.FindingsError(
            tuple(
                exceptions.Finding(
                    source=source,
                    line=settings_text.line_of(document, key),
                    key=key,
                    text=text,
                )
                for key, text in faults
            )
        )
    if isinstance(settings, Daemon) and settings.seeds:
        return dataclasses.replace(settings, controls=_from_seeds(settings))
    return settings


def _from_seeds(settings: Daemon) -> tuple[Control, ...]:
    """Returns the seeds as controls of unknown VM and data centre."""
    addresses = (
        model.Address(host=seed.host, port=settings.seed_port or seed.port)
        for seed in settings.seeds
    )
    return tuple(
        Control(vm=str(address), data_centre="", address=address)
        for address in addresses
    )


def _converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(
        model.Address, lambda value, _: parse_address(str(value))
    )
    converter.register_structure_hook(
        Duration, lambda value, _: parse_duration(str(value))
    )
    converter.register_structure_hook(str, _structure_str)
    converter.register_structure_hook(int, _structure_int)
    # Without hooks of their own, these subclasses of int and str would get the
    # hooks above.
    converter.register_structure_hook(bool, _structure_bool)
    converter.register_structure_hook(Role, lambda value, _: Role(value))
    return converter


def _structure_str(value: Any, _: Any) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not text")
    return str(value)


def _structure_bool(value: Any, _: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"{value!r} is not true or false")
    return value


def _structure_int(value: Any, _: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{value!r} is not a whole number")
    return int(value)


def _check(settings: Any) -> list[tuple[str, str]]:
    match settings:
        case Daemon():
            return _check_daemon(settings)
        case Tool():
            return _check_tool(settings)
        case _:
            return []


def _check_daemon(settings: Daemon) -> list[tuple[str, str]]:
    faults: list[tuple[str, str]] = []
    listen = settings.listen
    required: tuple[str, ...]
    if settings.role is Role.NODE and settings.routed:
        required = ("callers", "readiness", "announcements", "peers")
    elif settings.role is Role.NODE:
        required = ("callers", "local", "peers")
    else:
        required = ("rpc",)
        if not settings.data_folder:
            faults.append(("data_folder", "a control needs a data folder"))
        if not settings.operator_secret:
            faults.append(
                ("operator_secret", "a control needs an operator secret")
            )
        control_vms = {control.vm for control in settings.controls}
        if not settings.seeds and settings.vm not in control_vms:
            faults.append(("controls", f"{settings.vm!r} is missing"))
    for name in required:
        if getattr(listen, name) is None:
            faults.append(("listen", f"a {settings.role} needs {name!r}"))
    if listen.local and not ipaddress.ip_address(listen.local.host).is_loopback:
        faults.append(("listen.local", "must be a loopback address"))
    if (
        not MIN_SECRET_LENGTH
        <= len(settings.fleet_secret.encode())
        <= MAX_SECRET_LENGTH
    ):
        faults.append(
            (
                "fleet_secret",
                f"must have {MIN_SECRET_LENGTH} to {MAX_SECRET_LENGTH} bytes",
            )
        )
    if settings.memory_mb < MIN_MEMORY_MB:
        faults.append(("memory_mb", f"must be at least {MIN_MEMORY_MB}"))
    if settings.default_timeout_ms < 1:
        faults.append(("default_timeout_ms", "must be positive"))
    faults.extend(_check_policy(settings.policy))
    if settings.routed is not None:
        faults.extend(_check_losses(settings.routed.losses))
        faults.extend(_check_cold_bounds(settings.routed))
        if not 1 <= settings.routed.pipeline_depth <= pipelining.MAX_DEPTH:
            faults.append(
                (
                    "routed.pipeline_depth",
                    f"must be within 1 to {pipelining.MAX_DEPTH}",
                )
            )
    if not settings.seeds:
        faults.extend(_check_controls(settings.controls))
    elif settings.controls:
        faults.append(("seeds", "can't be combined with 'controls'"))
    return faults


def _check_policy(policy: Policy) -> list[tuple[str, str]]:
    faults = []
    for name, known in _POLICY_NAMES.items():
        value = getattr(policy, name)
        if value not in known:
            faults.append(
                (
                    f"policy.{name}",
                    f"unknown policy {value!r}; known: {', '.join(known)}",
                )
            )
    for name in ("queue_length", "longest_wait_ms", "crossing_cost_ms"):
        if getattr(policy, name) < 0:
            faults.append((f"policy.{name}", "must not be negative"))
    return faults


def _check_losses(losses: voter_placement.Losses) -> list[tuple[str, str]]:
    return [
        (f"routed.losses.{name}", "must not be negative")
        for name, count in dataclasses.asdict(losses).items()
        if count < 0
    ]


def _check_cold_bounds(routed: Routed) -> list[tuple[str, str]]:
    faults = []
    # Not a number is not below 0 either.
    if not 0.0 <= routed.cold_overage <= MAX_COLD_BOUND:
        faults.append(
            ("routed.cold_overage", f"not within 0 to {MAX_COLD_BOUND}")
        )
    if not 0 <= routed.cold_slack <= MAX_COLD_BOUND:
        faults.append(
            ("routed.cold_slack", f"not within 0 to {MAX_COLD_BOUND}")
        )
    return faults


def _check_controls(controls: tuple[Control, ...]) -> list[tuple[str, str]]:
    if not controls:
        return [("controls", "at least one control is needed")]
    names = [control.vm for control in controls]
    return [
        (f"controls.{index}.vm", f"{name!r} is listed twice")
        for index, name in enumerate(names)
        if name in names[:index]
    ]


def _check_tool(settings: Tool) -> list[tuple[str, str]]:
    faults = _check_controls(settings.controls)
    if settings.timeout_s <= 0:
        faults.append(("timeout_s", "must be positive"))
    return faults
