"""The faults that a soak injects."""

from __future__ import annotations

import dataclasses
from typing import TypeAlias


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pause:
    """SIGSTOP, and SIGCONT after `seconds`."""

    vm: str
    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class PauseAll:
    """A pause of many processes at once, as of a machine that is busy."""

    vms: tuple[str, ...]
    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stop:
    """SIGTERM, SIGKILL after the grace period, and a start after `down`."""

    vm: str
    down: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kill:
    """SIGKILL, and a start after `down` seconds."""

    vm: str
    down: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class KillAll:
    """A kill of many processes at the same moment, as by a loss of power."""

    vms: tuple[str, ...]
    down: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoseDisk:
    """SIGKILL, and a start with an empty data folder after `down` seconds.

    The VMs in `killed` are killed at the same moment and keep their folders;
    those in `also` lose theirs.
    """

    vm: str
    down: float
    killed: tuple[str, ...] = ()
    also: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class FillDisks:
    """The disks of controls are full by turns, each for some seconds."""

    vms: tuple[str, ...]
    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoseControl:
    """SIGKILL for good; an empty control starts after `down` seconds."""

    vm: str
    replacement: str
    down: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class CutControls:
    """A minority of the controls is cut off from the others for some seconds.

    Nodes and operators still reach all of them.

    Attributes:
      vms: The minority.
      sends: Whether what it sends is lost.
      receives: Whether what is sent to it is lost.
    """

    vms: tuple[str, ...]
    seconds: float
    sends: bool = True
    receives: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeRoutes:
    """Configurations at a fixed pace for some seconds."""

    seconds: float
    interval: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class RestartUpstream:
    """An upstream signs off, serves on, exits, and starts again under its id.

    Attributes:
      reports_draining: Whether it reports that it drains before it is gone.
      down: Seconds from its exit to its next start.
    """

    vm: str
    reports_draining: bool
    down: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class DelayHeartbeat:
    """One heartbeat of an upstream arrives some seconds late."""

    vm: str
    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeWeights:
    """A configuration with other weights of the two services of a route."""

    weights: tuple[int, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class RefuseWrites:
    """A process can't write to files for some seconds, as on a full disk."""

    vm: str
    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class HangUp:
    """SIGHUP."""

    vm: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeIdle:
    """A configuration with another idle timeout, in seconds."""

    idle: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplaceKey:
    """A configuration that withdraws the oldest key and adds one."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeStorm:
    """Configurations in quick succession, one for each idle timeout."""

    idles: tuple[float, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Delay:
    """Each piece of data is held for some seconds."""

    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reset:
    """Open connections are reset."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class CutOneWay:
    """Data in one direction is held until the fault ends."""

    to_target: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Silence:
    """Data in both directions is held until the fault ends."""


LinkFault: TypeAlias = Delay | Reset | CutOneWay | Silence


@dataclasses.dataclass(frozen=True, kw_only=True)
class DisturbLink:
    """A fault of the link to a control, or from a node to its upstream."""

    vm: str
    how: LinkFault
    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class SecondAnswer:
    """An answer comes again where the next one is due."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RepeatedRefusal:
    """A refusal comes again where the next answer is due."""

    with_id: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class CutAnswer:
    """The connection closes after a fraction of the answer.

    Attributes:
      in_head: Whether the fraction is of the head, else of the whole answer.
    """

    in_head: bool
    fraction: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResetAfterRun:
    """The request runs and its connection is reset without an answer."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShedHalf:
    """Half of the requests are refused and don't run, for lack of capacity."""


Spoiling: TypeAlias = (
    SecondAnswer | RepeatedRefusal | CutAnswer | ResetAfterRun | ShedHalf
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Spoil:
    """An upstream spoils a share of its answers for some seconds."""

    vm: str
    how: Spoiling
    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Evacuate:
    """A data centre is evacuated; some seconds after that is in force, it ends.

    The upstreams there are cold from just before the end.
    """

    data_centre: str
    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class TurnCold:
    """An upstream is cold for as long as after a start."""

    vm: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class OddHeads:
    """Callers of a node send odd heads and wait, beside ordinary callers.

    Attributes:
      form: What each of them sends, a name in `bench.crowd_forms`.
      count: Number of them.
    """

    vm: str
    form: str
    count: int
    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class FillDisk:
    """A control can't write for some seconds; the configuration changes."""

    vm: str
    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class CutDataCentre:
    """The nodes and controls of a data centre are cut off from all others."""

    data_centre: str
    seconds: float


Fault: TypeAlias = (
    Pause
    | PauseAll
    | Stop
    | Kill
    | KillAll
    | LoseDisk
    | RefuseWrites
    | FillDisks
    | LoseControl
    | CutControls
    | ChangeRoutes
    | RestartUpstream
    | DelayHeartbeat
    | ChangeWeights
    | HangUp
    | ChangeIdle
    | ReplaceKey
    | ChangeStorm
    | DisturbLink
    | Spoil
    | Evacuate
    | TurnCold
    | OddHeads
    | FillDisk
    | CutDataCentre
)
