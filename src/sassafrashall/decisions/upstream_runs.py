"""What a node believes of the runs of the upstream on its VM.

A run is one life of the upstream's process, identified by its id and its
start. Its heartbeats are numbered; they and its sign-off may arrive late, out
of order, or after the next run has begun. An acknowledged sign-off is binding
for the run that it names.

A node that has just started does not know which runs have signed off. Until a
control has told it, a single heartbeat, which may be a late one, is held back.

Each event replaces the whole state. Nothing in it is believed for ever: an
upstream that is silent counts as gone, and a run that can't be ordered by its
start is believed once it has been heard for long enough.
"""

from __future__ import annotations

import dataclasses

from sassafrashall import model

# Numbers by which an upstream may advance from one heartbeat to the next. A
# larger step may be the mistake of another writer.
MAX_SEQUENCE_STEP = 16
# Up to this number, the first heartbeat that is heard of a run shows that the
# run has just begun.
MAX_FIRST_SEQUENCE = 3
# Seconds for which a run that isn't later by its start has to be heard, with
# rising numbers, until it is believed. Heartbeats arrive a few seconds late.
SUCCESSION_TIME = 5.0
# The same for one that may have been running before, or has signed off.
LONG_SUCCESSION_TIME = 30.0
# Seconds between two heartbeats of such a run, at most.
SUCCESSION_GAP = 5.0
MAX_ENDED = 8  # sign-offs that are kept


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """A run of the upstream.

    Attributes:
      incarnation: The id that the upstream gave itself.
      started_ms: Start in milliseconds of the VM's clock; 0 if not known.
    """

    incarnation: str
    started_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """A numbered heartbeat of a run.

    Attributes:
      sequence: Its number; numbers rise within a run.
      is_fresh: Whether it was certainly sent after this process started.
    """

    run: Run
    sequence: int
    upstream: model.Upstream
    is_fresh: bool = False

    @property
    def draining(self) -> bool:
        """Whether it announces that the run is leaving."""
        return self.upstream.state is model.UpstreamState.DRAINING


@dataclasses.dataclass(frozen=True, kw_only=True)
class Successor:
    """A run that is not believed yet, since nothing shows that it is later.

    Attributes:
      heartbeat: The latest heartbeat.
      first_sequence: Number of the first one.
      since: When the first arrived, in monotonic seconds.
      heard_at: When the latest arrived, in monotonic seconds.
    """

    heartbeat: Heartbeat
    first_sequence: int
    since: float
    heard_at: float

    @property
    def run(self) -> Run:
        """The run that may be the next."""
        return self.heartbeat.run

    @property
    def sequence(self) -> int:
        """Number of the latest heartbeat."""
        return self.heartbeat.sequence


@dataclasses.dataclass(frozen=True, kw_only=True)
class State:
    """What is believed of the upstream.

    Attributes:
      upstream: The upstream to use, or to let finish; None if there is none.
      run: The latest run that was believed; None before the first.
      sequence: Number of its latest heartbeat.
      sequence_before: The number before, if it differs by an unlikely step.
      heard_at: When the run was heard last, in monotonic seconds.
      is_silent: Whether the last check found that the upstream was silent.
      ended: The sign-offs of earlier runs and of this one, the latest last.
      sign_off: The one that controls are told.
      successor: A run that may be the next.
      sign_offs_known: Whether all sign-offs that were acknowledged before this
        process started are known.
      process_started_ms: Start of this process in milliseconds of the VM's
        clock.
    """

    upstream: model.Upstream | None = None
    run: Run | None = None
    sequence: int = -1
    sequence_before: int | None = None
    heard_at: float = float("-inf")
    is_silent: bool = False
    ended: tuple[model.SignOff, ...] = ()
    sign_off: model.SignOff | None = None
    successor: Successor | None = None
    sign_offs_known: bool = True
    process_started_ms: float = float("inf")


def on_unnumbered(
    state: State, upstream: model.Upstream | None, now: float
) -> State:
    """Applies an announcement that names no run; the latest one holds."""
    return dataclasses.replace(state, upstream=upstream, heard_at=now)


def on_heartbeat(state: State, heartbeat: Heartbeat, now: float) -> State:
    """Applies a heartbeat.

    Args:
      state: The state before.
      heartbeat: May be late, or of an earlier run.
      now: Monotonic seconds.
    """
    sign_off = find_sign_off(state, heartbeat.run)
    if sign_off is not None:
        return _on_heartbeat_after_sign_off(state, heartbeat, sign_off, now)
    if heartbeat.run == state.run:
        return _on_next_heartbeat(state, heartbeat, now)
    # Leaving is believed at once: it lets no request in. A run that is younger
    # than this process, or goes on after its start, has not signed off before.
    is_sure = (
        state.sign_offs_known
        or heartbeat.draining
        or heartbeat.is_fresh
        or heartbeat.run.started_ms > state.process_started_ms
    )
    if is_sure and _is_later(state, heartbeat.run):
        return _begin_run(state, heartbeat, now)
    if heartbeat.draining:
        return _note_draining(state, heartbeat, is_told=False)
    return _on_unordered_run(state, heartbeat, now)


def on_sign_off(state: State, incarnation: str, now_ms: int) -> State:
    """Applies the sign-off of a run that leaves at once.

    It names no start. If the run that is held has another id, the sign-off is
    a late one of an earlier run.

    Args:
      state: The state before.
      incarnation: Id of the run.
      now_ms: Milliseconds of the VM's clock.
    """
    is_held = state.run is not None and state.run.incarnation == incarnation
    sign_off = model.SignOff(
        incarnation=incarnation,
        started_ms=_known_start(state, incarnation),
        gone=True,
        ended_ms=now_ms,
    )
    state = _add_sign_off(state, sign_off, is_told=is_held or state.run is None)
    if is_held or state.run is None:
        state = dataclasses.replace(state, upstream=None)
    return state


def sign_off_of(state: State, incarnation: str) -> model.SignOff | None:
    """Returns the sign-off that `on_sign_off` has applied or found."""
    wanted = (incarnation, _known_start(state, incarnation), True)
    for sign_off in reversed(state.ended):
        found = (sign_off.incarnation, sign_off.started_ms, sign_off.gone)
        if found == wanted:
            return sign_off
    return None


def on_sign_off_restored(state: State, sign_off: model.SignOff) -> State:
    """Applies a sign-off that this node had told before it restarted."""
    state = _add_sign_off(state, sign_off, is_told=state.sign_off is None)
    if state.run is None:
        return state
    if _covers(sign_off, state.run):
        exact = dataclasses.replace(sign_off, started_ms=state.run.started_ms)
        return dataclasses.replace(
            _add_sign_off(state, exact, is_told=True),
            upstream=_leaving(state.upstream, sign_off),
        )
    if sign_off.started_ms > state.run.started_ms:
        # The run that is held is an earlier one; its heartbeat was late.
        return dataclasses.replace(state, upstream=None, run=None)
    return state


def on_sign_offs_known(
    state: State,
    sign_offs: tuple[model.SignOff, ...],
    complete_since: float = float("-inf"),
) -> State:
    """Applies all sign-offs of before this process, and what they held back.

    Args:
      state: The state before.
      sign_offs: As a control told them, the latest last.
      complete_since: Monotonic seconds; each sign-off that was acknowledged
        after that is among them. A heartbeat that was heard up to
        `SUCCESSION_TIME` later may be one of before an earlier sign-off.
    """
    held = None if state.sign_offs_known else state.successor
    for sign_off in reversed(sign_offs):
        state = on_sign_off_restored(state, sign_off)
    state = dataclasses.replace(state, sign_offs_known=True)
    if held is None:
        return state
    state = dataclasses.replace(state, successor=None)
    if held.heard_at < complete_since + SUCCESSION_TIME:
        return state
    return on_heartbeat(state, held.heartbeat, held.heard_at)


def merge_sign_off(
    sign_offs: tuple[model.SignOff, ...], sign_off: model.SignOff
) -> tuple[model.SignOff, ...]:
    """Adds a sign-off to those of a VM, in whatever order they come.

    Returns:
      The same sign-offs if this one or a stronger one is among them; at most
      MAX_ENDED, without the earliest ones.
    """
    known = [
        s
        for s in sign_offs
        if (s.incarnation, s.started_ms)
        == (sign_off.incarnation, sign_off.started_ms)
    ]
    for other in known:
        # Later runs under an id may sign off with no start known, too.
        is_later = not sign_off.started_ms and (
            sign_off.ended_ms > other.ended_ms
        )
        if (other.gone or not sign_off.gone) and not is_later:
            return sign_offs
    return (*(s for s in sign_offs if s not in known), sign_off)[-MAX_ENDED:]


def on_check(state: State, ttl: float, now: float) -> State:
    """Removes an upstream that two checks in a row found silent.

    At the first one after a delay of the event loop, its heartbeats may wait
    to be read.

    Args:
      state: The state before.
      ttl: Seconds of silence after which it counts as gone.
      now: Monotonic seconds.
    """
    is_silent = now - state.heard_at > ttl
    is_gone = is_silent and state.is_silent
    return dataclasses.replace(
        state,
        upstream=None if is_gone else state.upstream,
        is_silent=is_silent,
    )


def _begin_run(state: State, heartbeat: Heartbeat, now: float) -> State:
    """Believes the first heartbeat that counts of a run."""
    state = dataclasses.replace(
        state,
        upstream=heartbeat.upstream,
        run=heartbeat.run,
        sequence=heartbeat.sequence,
        sequence_before=None,
        heard_at=now,
        successor=None,
    )
    return _note_draining(state, heartbeat)


def _on_next_heartbeat(state: State, heartbeat: Heartbeat, now: float) -> State:
    """Applies a heartbeat of the run that is held, unless it is out of date.

    Leaving is final, so it is followed whatever its number.
    """
    # Also an outdated heartbeat shows that the run goes on.
    state = dataclasses.replace(state, heard_at=now, successor=None)
    step = heartbeat.sequence - state.sequence
    sequence_before = None
    if step > MAX_SEQUENCE_STEP and state.sequence >= 0:
        sequence_before = state.sequence
    elif step <= 0 and not heartbeat.draining:
        before = state.sequence_before
        if before is None or heartbeat.sequence <= before:
            return state
    state = dataclasses.replace(
        state,
        upstream=heartbeat.upstream,
        sequence=heartbeat.sequence,
        sequence_before=sequence_before,
    )
    return _note_draining(state, heartbeat)


def _note_draining(
    state: State, heartbeat: Heartbeat, *, is_told: bool = True
) -> State:
    if not heartbeat.draining:
        return state
    sign_off = model.SignOff(
        incarnation=heartbeat.run.incarnation,
        started_ms=heartbeat.run.started_ms,
        gone=False,
    )
    return _add_sign_off(state, sign_off, is_told=is_told)


def _on_heartbeat_after_sign_off(
    state: State, heartbeat: Heartbeat, sign_off: model.SignOff, now: float
) -> State:
    if not sign_off.gone:
        if heartbeat.run == state.run:
            state = dataclasses.replace(state, heard_at=now)
        if not heartbeat.draining:
            return state
        # It serves on for a while: its answers are still to come.
        if heartbeat.run == state.run or state.run is None:
            return dataclasses.replace(
                state,
                run=heartbeat.run,
                upstream=heartbeat.upstream,
                sequence=heartbeat.sequence,
                heard_at=now,
            )
        return state
    if heartbeat.draining:
        return state
    return _on_unordered_run(state, heartbeat, now)


def _on_unordered_run(state: State, heartbeat: Heartbeat, now: float) -> State:
    """Believes a run that is not later by its start once it has gone on.

    The clock may have been set back before it started, a late sign-off may
    have ended it by mistake, or it may have signed off before this process
    started.
    """
    successor = state.successor
    if successor is not None and now - successor.heard_at > SUCCESSION_GAP:
        successor = None
    if successor is None or successor.run != heartbeat.run:
        if successor is not None and _precedes_held(state, heartbeat.run):
            return state
        successor = Successor(
            heartbeat=heartbeat,
            first_sequence=heartbeat.sequence,
            since=now,
            heard_at=now,
        )
        return dataclasses.replace(state, successor=successor)
    if heartbeat.sequence <= successor.sequence:
        return state
    successor = dataclasses.replace(
        successor, heartbeat=heartbeat, heard_at=now
    )
    has_signed_off = find_sign_off(state, heartbeat.run) is not None
    is_new = successor.first_sequence <= MAX_FIRST_SEQUENCE
    is_orderly = is_new or _is_later(state, heartbeat.run)
    required = (
        SUCCESSION_TIME
        if is_orderly and not has_signed_off
        else LONG_SUCCESSION_TIME
    )
    if now - successor.since < required:
        return dataclasses.replace(state, successor=successor)
    run = heartbeat.run
    # One whose start is not known goes on to cover other runs.
    kept = tuple(
        s
        for s in state.ended
        if not (s.started_ms == run.started_ms and _covers(s, run))
    )
    return _begin_run(dataclasses.replace(state, ended=kept), heartbeat, now)


def _precedes_held(state: State, run: Run) -> bool:
    """Returns whether a run started before the one that is held back.

    Its heartbeat is a late one, and must not replace that of the later run.
    """
    successor = state.successor
    return (
        successor is not None
        and not state.sign_offs_known
        and run.started_ms < successor.run.started_ms
    )


def _is_later(state: State, run: Run) -> bool:
    """Returns whether a run started after the latest that is known."""
    if state.run is not None:
        return run.started_ms > state.run.started_ms
    # Before the first heartbeat only sign-offs are known.
    return all(run.started_ms > s.started_ms for s in state.ended)


def _known_start(state: State, incarnation: str) -> int:
    """Returns the start of the run that is held, 0 if that has another id."""
    if state.run is None or state.run.incarnation != incarnation:
        return 0
    return state.run.started_ms


def is_covered(sign_off: model.SignOff, by: model.SignOff) -> bool:
    """Returns whether another sign-off says as much about the same run."""
    return (
        (sign_off.incarnation, sign_off.started_ms)
        == (by.incarnation, by.started_ms)
        and (by.gone or not sign_off.gone)
        and (bool(sign_off.started_ms) or by.ended_ms >= sign_off.ended_ms)
    )


def find_sign_off(state: State, run: Run) -> model.SignOff | None:
    """Returns the sign-off of a run; that it is gone before that it leaves.

    The run that is held has been heard after each sign-off of unknown start.
    """
    found = [
        sign_off
        for sign_off in state.ended
        if _covers(sign_off, run)
        and (run != state.run or sign_off.started_ms == run.started_ms)
    ]
    return max(found, key=lambda sign_off: sign_off.gone, default=None)


def _covers(sign_off: model.SignOff, run: Run) -> bool:
    """Returns whether a sign-off is that of a run.

    If its start is not known, it is that of each run under the id which
    started before it.
    """
    if sign_off.incarnation != run.incarnation:
        return False
    if sign_off.started_ms or not run.started_ms:
        return sign_off.started_ms == run.started_ms
    return not sign_off.ended_ms or run.started_ms <= sign_off.ended_ms


def _add_sign_off(
    state: State, sign_off: model.SignOff, is_told: bool
) -> State:
    """Adds a sign-off, unless the same or a stronger one is known."""
    ended = merge_sign_off(state.ended, sign_off)
    if ended == state.ended:
        return state
    successor = state.successor
    if (
        successor is None
        or state.sign_offs_known
        or _covers(sign_off, successor.run)
    ):
        successor = None
    return dataclasses.replace(
        state,
        ended=ended,
        sign_off=sign_off if is_told else state.sign_off,
        successor=successor,
    )


def _leaving(
    upstream: model.Upstream | None, sign_off: model.SignOff
) -> model.Upstream | None:
    if upstream is None or sign_off.gone:
        return None
    return dataclasses.replace(upstream, state=model.UpstreamState.DRAINING)
