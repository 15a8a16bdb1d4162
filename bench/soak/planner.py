"""Generates the plan of a soak from its seed."""

from __future__ import annotations

from collections.abc import Collection
import random

from bench.soak import faults
from bench.soak import model
from bench.soak import parts as soak_parts

HOSTS = ("idem", "once", "keyed")
IDLE_TIMEOUTS = (0.5, 0.8, 1.2, 2.0, 3.0)  # seconds
FAULTS_PER_SECOND = 1.0
SERIES_LENGTH = 4  # maximum number of faults in a series
SERIES_GAP = 1.2  # maximum seconds between the faults of a series
QUIET_END = 2.0  # seconds without new faults at the end of a plan
STORAGE_FAULTS_PER_SECOND = 0.1
UPSTREAM_FAULTS_PER_SECOND = 0.5
MAX_HEARTBEAT_DELAY = 3.0  # seconds
WIDE_CONTROLS = 5
MAX_DOWN = 2.0  # maximum seconds from a kill to the next start
REPLACED_AFTER = 8.0  # seconds until a control that is gone has been replaced
CUT_SECONDS = (3.5, 6.0)  # least and most, longer than the time of contact
CUT_GAP = (3.2, 4.5)  # seconds between two cuts, least and most
CHANGE_INTERVAL = 0.33  # seconds between two configurations during cuts
CUT_CHECK_INTERVAL = 0.1  # seconds between two checks of a process


def make_plan(
    *,
    seed: int,
    nodes: int,
    seconds: float,
    connections: int = 10,
    basic: bool = False,
    wide: bool = False,
    parts: Collection[str] = (),
    calm: bool = False,
) -> model.Plan:
    """Returns the plan of a seed.

    A basic plan has no storage faults or slow callers. In a wide one, five
    controls bear the loss of two disks at once, upstreams leave and start
    again, and weights change. `parts` are added, see `parts.PARTS`; a calm
    plan has only those.
    """
    source = random.Random(seed)
    vms = tuple(f"node-{index}" for index in range(nodes))
    controls = tuple(
        f"control-{index}" for index in range(WIDE_CONTROLS if wide else 3)
    )
    planned: list[model.Timed] = []
    while len(planned) < FAULTS_PER_SECOND * seconds:
        at = source.uniform(1.0, max(1.5, seconds - QUIET_END))
        for _ in range(source.randint(1, SERIES_LENGTH)):
            fault = _draw_fault(source, vms, controls)
            planned.append(model.Timed(at=at, fault=fault))
            at += source.uniform(0.0, SERIES_GAP)
    idle = source.choice(IDLE_TIMEOUTS)
    final: faults.Fault | None = None
    if not basic:
        source = random.Random(f"{seed} storage")
        for _ in range(round(STORAGE_FAULTS_PER_SECOND * seconds)):
            at = source.uniform(1.0, max(1.5, seconds - QUIET_END))
            fault = _draw_storage_fault(source, vms, controls)
            planned.append(model.Timed(at=at, fault=fault))
        final = _draw_storage_fault(source, vms, controls)
    if wide:
        source = random.Random(f"{seed} wide")
        for _ in range(round(UPSTREAM_FAULTS_PER_SECOND * seconds)):
            at = source.uniform(1.0, max(1.5, seconds - QUIET_END))
            fault = _draw_upstream_fault(source, vms)
            planned.append(model.Timed(at=at, fault=fault))
        for _ in range(max(1, round(STORAGE_FAULTS_PER_SECOND * seconds))):
            at = source.uniform(1.0, max(1.5, seconds - QUIET_END))
            fault = _draw_wide_storage_fault(source, vms, controls)
            planned.append(model.Timed(at=at, fault=fault))
        final = _draw_wide_storage_fault(source, vms, controls)
    if calm:
        planned, final = [], None
    for part in parts:
        for at, fault in soak_parts.draw(
            part,
            source=random.Random(f"{seed} {part}"),
            latest=max(1.5, seconds - QUIET_END),
            vms=vms,
            controls=controls,
        ):
            planned.append(model.Timed(at=at, fault=fault))
    return model.Plan(
        seed=seed,
        seconds=seconds,
        nodes=vms,
        controls=controls,
        idle=idle,
        faults=tuple(sorted(planned, key=lambda timed: timed.at)),
        slow_groups=0 if basic else 1,
        connections=connections,
        final=final,
        hosts=("idem", "once", "keyed", "split") if wide else HOSTS,
        vm_losses=2 if wide else 1,
        parts=frozenset(parts),
        data_centres=model.DATA_CENTRES if parts else 1,
    )


def make_cut_plan(
    *, seed: int, nodes: int, cuts: int, controls: int = 3
) -> model.Plan:
    """Returns a plan that cuts controls off from the others.

    One control is gone for good before, and the configuration changes all the
    while. With five controls, one or two of them are cut off. During each cut
    an upstream signs off and a key is withdrawn.
    """
    source = random.Random(f"{seed} cuts")
    others = random.Random(f"{seed} beside cuts")
    vms = tuple(f"node-{index}" for index in range(nodes))
    names = tuple(f"control-{index}" for index in range(controls))
    spare = f"control-{controls}"
    lost = source.choice(names[1:])
    live = (*(name for name in names if name != lost), spare)
    planned = [
        model.Timed(
            at=1.0,
            fault=faults.LoseControl(vm=lost, replacement=spare, down=1.0),
        )
    ]
    at = 1.0 + REPLACED_AFTER
    changes_at = at
    for _ in range(cuts):
        sends, receives = source.choice(
            ((True, True), (True, True), (True, False), (False, True))
        )
        seconds = source.uniform(*CUT_SECONDS)
        count = source.randint(1, (controls - 1) // 2)
        fault = faults.CutControls(
            vms=tuple(source.sample(live, count)),
            seconds=seconds,
            sends=sends,
            receives=receives,
        )
        planned += [
            model.Timed(at=at, fault=fault),
            model.Timed(
                at=at + others.uniform(0.0, 2.0),
                fault=faults.RestartUpstream(
                    vm=others.choice(vms),
                    reports_draining=others.random() < 0.5,
                    down=others.uniform(0.1, MAX_DOWN),
                ),
            ),
            model.Timed(
                at=at + others.uniform(0.0, 2.0), fault=faults.ReplaceKey()
            ),
        ]
        at += seconds + source.uniform(*CUT_GAP)
    changes = faults.ChangeRoutes(
        seconds=at - changes_at, interval=CHANGE_INTERVAL
    )
    planned.append(model.Timed(at=changes_at, fault=changes))
    return model.Plan(
        seed=seed,
        seconds=at,
        nodes=vms,
        controls=names,
        idle=IDLE_TIMEOUTS[-1],
        faults=tuple(sorted(planned, key=lambda timed: timed.at)),
        groups=2,
        connections=4,
        vm_losses=(controls - 1) // 2,
        spares=(spare,),
        data_centres=model.DATA_CENTRES,
        check_interval=CUT_CHECK_INTERVAL,
    )


def _draw_fault(
    source: random.Random, vms: tuple[str, ...], controls: tuple[str, ...]
) -> faults.Fault:
    node = source.choice(vms)
    anywhere = source.choice((*vms, source.choice(controls)))
    down = source.uniform(0.1, MAX_DOWN)
    match _draw_kind(source):
        case faults.Pause:
            return faults.Pause(vm=anywhere, seconds=_draw_pause(source))
        case faults.PauseAll:
            return faults.PauseAll(vms=vms, seconds=_draw_pause(source))
        case faults.Stop:
            return faults.Stop(vm=anywhere, down=down)
        case faults.Kill:
            return faults.Kill(vm=anywhere, down=down)
        case faults.HangUp:
            return faults.HangUp(vm=anywhere)
        case faults.ChangeIdle:
            return faults.ChangeIdle(idle=source.choice(IDLE_TIMEOUTS))
        case faults.ReplaceKey:
            return faults.ReplaceKey()
        case faults.ChangeStorm:
            idles = source.choices(IDLE_TIMEOUTS, k=source.randint(3, 8))
            return faults.ChangeStorm(idles=tuple(idles))
        case faults.DisturbLink:
            return faults.DisturbLink(
                vm=anywhere,
                how=_draw_link_fault(source),
                seconds=source.uniform(0.2, 3.0),
            )
        case _:
            return faults.Spoil(
                vm=node,
                how=_draw_spoiling(source),
                seconds=source.uniform(0.5, 3.0),
            )


def _draw_storage_fault(
    source: random.Random, vms: tuple[str, ...], controls: tuple[str, ...]
) -> faults.Fault:
    vm, seconds = source.choice(controls), source.uniform(0.1, MAX_DOWN)
    others = tuple(name for name in (*controls, *vms) if name != vm)
    return source.choice(
        (
            faults.KillAll(vms=controls, down=seconds),
            faults.KillAll(vms=(*controls, *vms), down=seconds),
            faults.LoseDisk(vm=vm, down=seconds),
            faults.LoseDisk(vm=vm, down=seconds, killed=others),
            faults.RefuseWrites(vm=vm, seconds=seconds),
        )
    )


def _draw_wide_storage_fault(
    source: random.Random, vms: tuple[str, ...], controls: tuple[str, ...]
) -> faults.Fault:
    vm, other = source.sample(controls, k=2)
    seconds = source.uniform(0.1, MAX_DOWN)
    rest = tuple(name for name in (*controls, *vms) if name not in (vm, other))
    return source.choice(
        (
            faults.LoseDisk(vm=vm, down=seconds, also=(other,)),
            faults.LoseDisk(vm=vm, down=seconds, also=(other,), killed=rest),
            faults.FillDisks(
                vms=tuple(source.sample(controls, k=3)), seconds=1
            ),
        )
    )


def _draw_upstream_fault(
    source: random.Random, vms: tuple[str, ...]
) -> faults.Fault:
    vm = source.choice(vms)
    return source.choice(
        (
            faults.RestartUpstream(
                vm=vm,
                reports_draining=source.random() < 0.5,
                down=source.uniform(0.1, MAX_DOWN),
            ),
            faults.DelayHeartbeat(
                vm=vm, seconds=source.uniform(0.5, MAX_HEARTBEAT_DELAY)
            ),
            faults.ChangeWeights(
                weights=(source.randint(0, 9), source.randint(1, 9))
            ),
        )
    )


def _draw_kind(source: random.Random) -> type[faults.Fault]:
    weights: dict[type[faults.Fault], int] = {
        faults.Pause: 7,
        faults.PauseAll: 4,
        faults.Stop: 3,
        faults.Kill: 2,
        faults.HangUp: 1,
        faults.ChangeIdle: 4,
        faults.ReplaceKey: 1,
        faults.ChangeStorm: 1,
        faults.DisturbLink: 3,
        faults.Spoil: 3,
    }
    return source.choices(list(weights), list(weights.values()))[0]


def _draw_pause(source: random.Random) -> float:
    """Returns a moment, or a time about as long as the idle timeouts."""
    if source.random() < 0.3:
        return source.uniform(0.02, 0.3)
    return source.choice(IDLE_TIMEOUTS) * source.uniform(0.4, 1.3)


def _draw_link_fault(source: random.Random) -> faults.LinkFault:
    return source.choice(
        (
            faults.Delay(seconds=source.uniform(0.01, 0.5)),
            faults.Reset(),
            faults.CutOneWay(to_target=source.random() < 0.5),
            faults.Silence(),
        )
    )


def _draw_spoiling(source: random.Random) -> faults.Spoiling:
    return source.choice(
        (
            faults.SecondAnswer(),
            faults.RepeatedRefusal(with_id=source.random() < 0.5),
            faults.CutAnswer(in_head=True, fraction=source.random()),
            faults.CutAnswer(in_head=False, fraction=source.random()),
            faults.ResetAfterRun(),
        )
    )
