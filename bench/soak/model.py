"""Data of the soak: its plan, its faults, and what was seen from outside."""

from __future__ import annotations

import dataclasses
from typing import TypeAlias

from bench.soak import faults as fault_kinds

DATA_CENTRES = 3  # of a fleet in several data centres
COLD_START = 3  # seconds
# Of a cold upstream, small enough for callers to exceed the bound many times.
COLD_PER_S = 2
COLD_OVERAGE = 1.5
COLD_SLACK = 3
REFUSALS = frozenset({408, 421, 429, 503})  # promise that nothing has run


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bounds:
    """Stated targets of the users' rules, all in seconds.

    Attributes:
      apply: From the acknowledgement of a configuration until it is in force.
      contact: Time without a fault after which a process is in touch.
      revoke: From the acknowledgement of a withdrawal until a key stops.
      rollback_slack: Time after which a version that was seen stays in force.
      grace: From SIGTERM to SIGKILL.
      grace_end: Part of the grace period at whose end requests may be cut.
      settle: Time for which the effects of a fault last at its own process.
      route_timeout: Timeout of every route.
      catch_up: Time after which a new replica stands in for a lost one.
      drain: From the acknowledgement of an upstream's sign-off until no
        request reaches it any more.
      recovery: Time from the last fault until every process works again.
      evacuation: From the acknowledgement of an evacuation until no request
        reaches an upstream in its data centre.
      ack: Until a change is acknowledged while one control can't write.
      skew: Added to `apply` while the controls have not been stable for the
        time of contact, but a majority of them is connected.
    """

    apply: float = 2.0
    contact: float = 3.0
    revoke: float = 5.0
    rollback_slack: float = 0.25
    grace: float = 6.0
    grace_end: float = 1.0
    settle: float = 1.0
    route_timeout: float = 4.0
    catch_up: float = 4.0
    drain: float = 2.0
    recovery: float = 15.0
    evacuation: float = 5.0
    ack: float = 4.0
    skew: float = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Timed:
    """A fault and when it begins, in seconds since the start of the plan."""

    at: float
    fault: fault_kinds.Fault


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """What one soak does; it follows from its seed.

    Attributes:
      idle: Idle timeout of the first configuration, in seconds.
      groups: Groups of connections at each node, each used in step.
      slow_groups: Further groups, which send and read in small pieces.
      connections: Connections of a group.
      final: A fault right after the last configuration was acknowledged.
      hosts: What callers ask for.
      vm_losses: Controls that may be lost at once.
      spares: Controls that replace others.
      check_interval: Seconds between two checks of a process.
      parts: What is added to the plan, see `parts.PARTS`.
      data_centres: Data centres over which the VMs are spread.
    """

    seed: int
    seconds: float
    nodes: tuple[str, ...]
    controls: tuple[str, ...]
    idle: float
    faults: tuple[Timed, ...]
    groups: int = 6
    slow_groups: int = 0
    connections: int = 10
    final: fault_kinds.Fault | None = None
    hosts: tuple[str, ...] = ("idem", "once", "keyed")
    vm_losses: int = 1
    spares: tuple[str, ...] = ()
    check_interval: float = 0.5
    parts: frozenset[str] = frozenset()
    data_centres: int = 1

    def data_centre_of(self, vm: str) -> str:
        """Returns the data centre of a VM."""
        return data_centre_of(vm, self.data_centres)


# --- observations ------------------------------------------------------------
# Times are monotonic seconds.


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sent:
    """A caller began to send a request.

    Attributes:
      vm: VM of the node that it was sent to.
      use: Number of the request on its connection, from 1.
      rested: Seconds since the last answer on its connection; 0 if none.
      size: Bytes of the body of a right answer.
    """

    request_id: str
    at: float
    vm: str
    use: int
    rested: float
    target: str
    idempotent: bool
    body: bytes
    size: int
    key: str = ""
    host: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answered:
    """A caller got an answer that looks complete."""

    request_id: str
    at: float
    status: int
    answered_id: str
    signature: str
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Closed:
    """A node closed a connection on which an answer was due.

    Attributes:
      received: Bytes of the answer that had arrived.
    """

    request_id: str
    at: float
    received: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class GaveUp:
    """A caller got no answer in time and closed the connection."""

    request_id: str
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unasked:
    """Bytes arrived on a connection with no request waiting."""

    vm: str
    at: float
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ran:
    """An upstream began to run a request.

    Attributes:
      vm: VM of the upstream.
      sound: Whether the upstream gives a right answer.
    """

    request_id: str
    at: float
    vm: str
    target: str
    body: bytes
    sound: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class ColdArrival:
    """A request reached a cold upstream, which ran or refused it.

    Attributes:
      told_at: When its node was told that it is cold, or had to know.
      is_assumed: Whether the node was not told: an evacuation has ended.
    """

    vm: str
    at: float
    told_at: float
    is_assumed: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class RanLate:
    """The event loop of the soak was busy, so that arrivals bunched up.

    Attributes:
      seconds: How late requests may have been read.
    """

    at: float
    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Evacuated:
    """A control acknowledged the evacuation of a data centre.

    Attributes:
      vms: The nodes there.
    """

    data_centre: str
    at: float
    vms: frozenset[str]


@dataclasses.dataclass(frozen=True, kw_only=True)
class EvacuationEnds:
    """An operator requests the end of an evacuation for the first time."""

    data_centre: str
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class SignedOff:
    """A node acknowledged that its upstream leaves or is gone."""

    vm: str
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamStarted:
    """An upstream that had left runs again."""

    vm: str
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Proposed:
    """An operator sent a configuration for the first time.

    Attributes:
      keys: The keys that it holds.
    """

    version: int
    at: float
    keys: frozenset[str]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Acknowledged:
    """A control acknowledged a configuration."""

    version: int
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """A control refused a valid configuration."""

    version: int
    at: float
    status: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Probed:
    """A node was asked for the route that only one version has.

    Attributes:
      at: When the request was sent.
      answered_at: When the answer came.
      in_force: Whether the route was there.
    """

    vm: str
    at: float
    answered_at: float
    version: int
    in_force: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Read:
    """A control answered a read of the configuration with a version."""

    vm: str
    at: float
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class FaultBegan:
    """A fault acts on a VM from now on; `number` identifies it."""

    number: int
    at: float
    vm: str
    fault: fault_kinds.Fault


@dataclasses.dataclass(frozen=True, kw_only=True)
class FaultEnded:
    """A fault no longer acts."""

    number: int
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Started:
    """A process was started."""

    vm: str
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Exited:
    """A process ended.

    Attributes:
      status: Its exit status; negative for the number of a signal.
      told: Whether it had been sent SIGTERM or SIGKILL.
    """

    vm: str
    at: float
    status: int
    told: bool


Observation: TypeAlias = (
    Sent
    | Answered
    | Closed
    | GaveUp
    | Unasked
    | Ran
    | ColdArrival
    | RanLate
    | Evacuated
    | EvacuationEnds
    | SignedOff
    | UpstreamStarted
    | Proposed
    | Acknowledged
    | Refused
    | Probed
    | Read
    | FaultBegan
    | FaultEnded
    | Started
    | Exited
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Violation:
    """A promise that was broken.

    Attributes:
      rule: The promise, by the name of the users' rule. LOST_PAUSED is LOST
        at a node that was paused.
      node: VM at which it was seen; empty if there is none.
    """

    rule: str
    at: float
    request_id: str
    node: str
    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class Lateness:
    """How late a node applied a configuration.

    Attributes:
      seconds: From its acknowledgement until the node was first seen to apply
        it or a later one.
    """

    seconds: float
    vm: str
    version: int


def answer_body(request_id: str, size: int) -> bytes:
    """Returns the body of a right answer, which names its request all over."""
    unit = f"{request_id}.".encode()
    return (unit * (size // len(unit) + 1))[:size]


def signature(request_id: str, vm: str) -> str:
    """Returns the signature by which an upstream marks its answers."""
    return f"of-{request_id}-by-{vm}"


def data_centre_of(vm: str, data_centres: int) -> str:
    """Returns the data centre of a VM, by the number in its name."""
    if data_centres == 1:
        return "dc-a"
    return f"dc-{int(vm.rpartition('-')[2]) % data_centres}"
