"""What is known of an upstream that signed off, after its node restarts."""

import contextlib

import pytest
import trio
import trio.testing

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model
from sassafrashall import protocol
from sassafrashall.controllers import node_membership
from sassafrashall.decisions import control_survey
from sassafrashall.decisions import fleet_state
from sassafrashall.decisions import node_directory
from sassafrashall.decisions import upstream_runs
from sassafrashall.transport import codec
from tests import fakes

ADDRESS = model.Address(host="127.0.0.1", port=1)
DRAINING = model.UpstreamState.DRAINING
READY = model.UpstreamState.READY


def _announcement(state, sequence, started_ms=1, incarnation="i-1"):
    return messages.Announce(
        upstream=model.Upstream(
            service="s",
            address=ADDRESS,
            slots=4,
            connection_limit=0,
            state=state,
            incarnation=incarnation,
        ),
        incarnation=incarnation,
        started_ms=started_ms,
        sequence=sequence,
    )


GONE = messages.Announce(upstream=None, incarnation="i-1")


class _Control:
    """A control that outlives the node's process.

    Attributes:
      state: What it has applied of the log.
      answers: Whether it answers at all.
      tells: Whether it tells of its contact with the others.
      commits: Whether it commits commands.
      reads: Number of times that sign-offs were read.
      majority_age: Seconds since it had contact with a majority.
      steady_for: Seconds for which it had contact, if it has.
      is_down: Whether no process listens there.
    """

    def __init__(self):
        self.state = fleet_state.FleetState()
        self.answers = True
        self.tells = True
        self.commits = True
        self.reads = 0
        self.majority_age = 0.0
        self.steady_for = 1e6
        self.is_down = False
        self.forget_directory()

    def forget_directory(self):
        """Restarts its process, which keeps the log."""
        self._directory = node_directory.Directory()
        self._incarnations = set()

    def cut_off(self):
        """Takes away its contact with the other controls."""
        self.commits = False
        self.majority_age = 5.0

    def restart(self):
        """Restarts its process, which has a leader at once."""
        self.forget_directory()
        self.commits = True
        self.answers = True
        self.is_down = False
        self.steady_for = 0.0

    def _survey(self):
        if self.is_down:
            return control_survey.Answer(is_down=True)
        if not (self.answers and self.tells):
            return control_survey.Answer()
        return control_survey.Answer(
            majority_age=0.0 if self.commits else 1.0,
            steady_for=self.steady_for if self.commits else 0.0,
        )

    async def handle(self, message):
        match message:
            case messages.SurveyControls():
                return (self._survey(),)
            case _ if self.is_down:
                raise exceptions.RpcError("refused", refused=True)
            case _ if not self.answers:
                await trio.sleep_forever()
            case messages.AskControls() if not self.commits:
                raise exceptions.RpcError("there is no leader")
            case messages.AskControls(message=protocol.SignOffQuery(vm=vm)):
                self.reads += 1
                return protocol.SignOffReply(
                    sign_offs=self.state.sign_offs_of(vm)
                )
            case messages.AskControls(
                message=protocol.SubmitCommand(command=command)
            ):
                self.state, result = fleet_state.apply(
                    self.state, codec.decode(command)
                )
                return protocol.CommandResult(result=codec.encode(result))
            case messages.CallControl(
                message=protocol.Heartbeat(record=record)
            ):
                self._directory = node_directory.merge_record(
                    self._directory, record, 0.0, clock.monotonic()
                )
                held = self._directory.entries["vm"].record.signed_off
                self._incarnations.add(record.incarnation)
                return fakes.heartbeat_reply(
                    signed_off=None if record.signed_off else held,
                    majority_age=self.majority_age,
                    was_in_use=len(self._incarnations) > 1,
                )


def _node(link, incarnation):
    return node_membership.NodeMembership(
        record=fakes.node_record(incarnation=incarnation),
        link=link.mailbox,
        admission_level=mailbox.Published(initial=-1),
        event_log=fakes.event_log(),
        counters=fakes.counters(),
        heartbeat_interval=0.02,
    )


def _state(membership):
    upstream = membership.local_upstream.value
    return upstream.state if upstream else None


@pytest.mark.parametrize("gone", [False, True])
async def test_a_sign_off_holds_after_the_node_is_killed_and_restarted(gone):
    control = _Control()
    link = fakes.ScriptedController(control.handle)
    async with fakes.started(link):
        with trio.fail_after(5):
            before = _node(link, 1)
            async with fakes.started(before):
                ask = before.mailbox.ask
                await ask(_announcement(READY, 4))
                await ask(_announcement(DRAINING, 5))
                if gone:
                    await ask(GONE)
                # It is killed as soon as this has been acknowledged.
            after = _node(link, 2)
            async with fakes.started(after):
                while not after.view.value.fresh_at > float("-inf"):
                    await after.view.wait_changed()
                # Announcements that were delayed on their way.
                for sequence in (3, 4, 9):
                    await after.mailbox.ask(_announcement(READY, sequence))
                assert _state(after) is not READY
                # The next run of the upstream is another matter.
                await after.mailbox.ask(_announcement(READY, 1, started_ms=2))
                while _state(after) is not READY:
                    await trio.sleep(0.01)


async def test_a_delayed_announcement_before_the_first_answer_is_held_back():
    """Guards against a node that believes it until a control answers."""
    control = _Control()
    link = fakes.ScriptedController(control.handle)
    async with fakes.started(link):
        with trio.fail_after(5):
            before = _node(link, 1)
            async with fakes.started(before):
                await before.mailbox.ask(_announcement(READY, 4))
                await before.mailbox.ask(_announcement(DRAINING, 5))
            control.answers = False
            after = _node(link, 2)
            async with fakes.started(after):
                await after.mailbox.ask(_announcement(READY, 4))
                assert _state(after) is None
                after.mailbox.tell(
                    node_membership._HeartbeatReplied(
                        reply=fakes.heartbeat_reply(
                            signed_off=model.SignOff(
                                incarnation="i-1", started_ms=1, gone=False
                            )
                        ),
                        sent_at=clock.monotonic(),
                        record=fakes.node_record(incarnation=2),
                    )
                )
                assert _state(after) is None
                with pytest.raises(exceptions.RpcError):
                    await after.mailbox.ask(_announcement(DRAINING, 6))
                assert _state(after) is DRAINING


async def _wait_until_answered(membership):
    while not membership.view.value.fresh_at > float("-inf"):
        await membership.view.wait_changed()


async def _wait_until_read(control, count):
    """Waits until so many nodes have read the sign-offs in the log."""
    while control.reads < count:
        await trio.sleep(0.01)
    await trio.testing.wait_all_tasks_blocked()


@pytest.mark.parametrize("gone", [False, True])
async def test_a_sign_off_holds_after_the_node_and_its_control_restart(gone):
    """Guards against sign-offs that live only in the memory of processes."""
    control = _Control()
    link = fakes.ScriptedController(control.handle)
    async with fakes.started(link):
        with trio.fail_after(5):
            before = _node(link, 1)
            async with fakes.started(before):
                ask = before.mailbox.ask
                await ask(_announcement(READY, 4))
                await ask(GONE if gone else _announcement(DRAINING, 5))
            control.forget_directory()
            control.commits = False
            after = _node(link, 2)
            async with fakes.started(after):
                await _wait_until_answered(after)
                await after.mailbox.ask(_announcement(READY, 9))
                assert _state(after) is None
                control.commits = True
                await _wait_until_read(control, 2)
                await after.mailbox.ask(_announcement(READY, 10))
                assert _state(after) is None


async def test_a_heartbeat_is_held_back_only_until_sign_offs_are_known():
    """Guards against an upstream that waits for a second heartbeat."""
    control = _Control()
    control.commits = False
    link = fakes.ScriptedController(control.handle)
    membership = _node(link, 1)
    async with fakes.started(link, membership):
        with trio.fail_after(5):
            await _wait_until_answered(membership)
            await membership.mailbox.ask(_announcement(READY, 4))
            assert _state(membership) is None
            control.commits = True
            while _state(membership) is not READY:
                await trio.sleep(0.01)


@pytest.mark.parametrize("signs_off", [False, True])
async def test_without_a_leader_the_control_in_use_before_is_believed(
    signs_off,
):
    """Guards against a data centre that is cut off and doesn't go on serving.

    A node restarts there, beside a control that does not.
    """
    control = _Control()
    link = fakes.ScriptedController(control.handle)
    async with fakes.started(link):
        with trio.fail_after(3):
            before = _node(link, 1)
            async with fakes.started(before):
                await _wait_until_answered(before)
                await before.mailbox.ask(_announcement(READY, 4))
                if signs_off:
                    await before.mailbox.ask(GONE)
            control.cut_off()
            after = _node(link, 2)
            async with fakes.started(after):
                await _wait_until_answered(after)
                await after.mailbox.ask(_announcement(READY, 5))
                assert _state(after) is (None if signs_off else READY)


@pytest.mark.parametrize("restarts", ["control", "contact"])
async def test_without_a_leader_no_other_control_is_believed(restarts):
    """Guards against a control that has restarted, or is not cut off."""
    control = _Control()
    link = fakes.ScriptedController(control.handle)
    async with fakes.started(link):
        with trio.fail_after(3):
            before = _node(link, 1)
            async with fakes.started(before):
                await _wait_until_answered(before)
                await before.mailbox.ask(_announcement(READY, 4))
            control.cut_off()
            if restarts == "control":
                control.forget_directory()
            else:
                control.majority_age = 0.0
            after = _node(link, 2)
            async with fakes.started(after):
                await _wait_until_answered(after)
                await after.mailbox.ask(_announcement(READY, 5))
                assert _state(after) is None


async def test_a_sign_off_that_was_acknowledged_is_committed_later():
    """Guards against a sign-off that is lost if no leader answers at once."""
    control = _Control()
    link = fakes.ScriptedController(control.handle)
    membership = _node(link, 1)
    async with fakes.started(link, membership):
        with trio.fail_after(5):
            await _wait_until_read(control, 1)
            await membership.mailbox.ask(_announcement(READY, 4))
            control.commits = False
            await membership.mailbox.ask(GONE)
            assert not control.state.sign_offs_of("vm")
            control.commits = True
            while not control.state.sign_offs_of("vm"):
                await trio.sleep(0.01)
    (sign_off,) = control.state.sign_offs_of("vm")
    assert (sign_off.incarnation, sign_off.gone) == ("i-1", True)


# Guards against a release that keeps the ids: the first heartbeat of the next
# run was followed, and none after it, neither `ready` nor `draining`.
async def test_the_next_run_under_an_id_is_followed_after_a_sign_off():
    control = _Control()
    link = fakes.ScriptedController(control.handle)
    membership = _node(link, 1)
    async with fakes.started(link, membership):
        with trio.fail_after(5):
            ask = membership.mailbox.ask
            await ask(_announcement(READY, 4))
            await ask(_announcement(DRAINING, 5))
            await ask(GONE)
            for sequence in (1, 2, 3):
                await ask(_announcement(READY, sequence, started_ms=2))
            assert _state(membership) is READY
            await ask(_announcement(DRAINING, 4, started_ms=2))
            assert _state(membership) is DRAINING


# Guards against a sign-off that the first heartbeat undoes, since the node has
# just started and knows no start of the run.
async def test_a_late_heartbeat_does_not_undo_the_first_sign_off():
    control = _Control()
    link = fakes.ScriptedController(control.handle)
    membership = _node(link, 1)
    async with fakes.started(link, membership):
        with trio.fail_after(5):
            await membership.mailbox.ask(GONE)
            await membership.mailbox.ask(_announcement(READY, 9))
            assert _state(membership) is None


async def test_a_sign_off_that_no_control_answers_is_refused_in_time():
    """Guards against an acknowledgement that a kill of the node undoes.

    The upstream gives up after a second. It gets no requests all the same.
    """
    control = _Control()
    control.answers = False
    link = fakes.ScriptedController(control.handle)
    membership = _node(link, 1)
    async with fakes.started(link, membership):
        with trio.fail_after(1.0), pytest.raises(exceptions.RpcError):
            await membership.mailbox.ask(_announcement(DRAINING, 5))
        assert _state(membership) is DRAINING


def _sign_offs(gone):
    """Returns what an upstream announces when it leaves."""
    return GONE if gone else _announcement(DRAINING, 5)


@contextlib.asynccontextmanager
async def _followed(control):
    """Runs a node that follows its upstream and knows its sign-offs."""
    link = fakes.ScriptedController(control.handle)
    membership = _node(link, 1)
    async with fakes.started(link, membership):
        with trio.fail_after(10):
            await _wait_until_answered(membership)
            await _wait_until_read(control, 1)
            await membership.mailbox.ask(_announcement(READY, 4))
            assert _state(membership) is READY
            yield membership, link


# Guards against requests to an upstream whose sign-off was acknowledged while
# all controls were down: the node is killed, too, before they are back.
@pytest.mark.parametrize("gone", [False, True])
async def test_a_sign_off_without_controls_holds_after_a_kill_of_all(
    gone, monkeypatch
):
    monkeypatch.setattr(upstream_runs, "SUCCESSION_TIME", 0.5)
    control = _Control()
    async with _followed(control) as (before, link):
        control.is_down = True
        for _ in range(3):
            await before.mailbox.ask(_sign_offs(gone))
        assert not control.state.sign_offs_of("vm")
        await before.close()
        control.restart()
        after = _node(link, 2)
        async with fakes.started(after):
            await _wait_until_read(control, 2)
            # As late as may be.
            await trio.sleep(0.4)
            await after.mailbox.ask(_announcement(READY, 4))
            await trio.sleep(0.4)
            assert _state(after) is None
            # An upstream that goes on is followed.
            await after.mailbox.ask(_announcement(READY, 5))
            assert _state(after) is READY


async def test_a_run_that_begins_after_its_node_is_followed_at_once():
    """Guards against healthy upstreams that wait after a cold start."""
    control = _Control()
    control.restart()
    link = fakes.ScriptedController(control.handle)
    started_ms = clock.wall_ms() + 1000
    membership = _node(link, 1)
    async with fakes.started(link, membership):
        with trio.fail_after(5):
            await membership.mailbox.ask(
                _announcement(READY, 1, started_ms=started_ms)
            )
            assert _state(membership) is READY


# Guards against a 200 for a sign-off that is in the memory of one process.
@pytest.mark.parametrize("gone", [False, True])
@pytest.mark.parametrize("incarnation", ["i-1", "i-0"])
async def test_a_repeated_sign_off_waits_for_the_commit_like_the_first(
    gone, incarnation
):
    control = _Control()
    message = (
        messages.Announce(upstream=None, incarnation=incarnation)
        if gone
        else _announcement(DRAINING, 5, incarnation=incarnation, started_ms=1)
    )
    async with _followed(control) as (membership, _):
        control.commits = control.tells = False
        for _ in range(2):
            with pytest.raises(exceptions.RpcError):
                await membership.mailbox.ask(message)
        control.commits = True
        await membership.mailbox.ask(message)
        (sign_off,) = control.state.sign_offs_of("vm")
        assert (sign_off.incarnation, sign_off.gone) == (incarnation, gone)


async def test_a_data_centre_that_is_cut_off_acknowledges_no_sign_off():
    """Guards against one that is lost with its node once the cut ends.

    The other controls may have a leader, which could not be told.
    """
    control = _Control()
    control.cut_off()

    async def handle(message):
        if isinstance(message, messages.SurveyControls):
            return (
                control_survey.Answer(majority_age=5.0),
                control_survey.Answer(),
                control_survey.Answer(),
            )
        return await control.handle(message)

    link = fakes.ScriptedController(control.handle)
    membership = _node(link, 1)
    async with fakes.started(link, membership):
        with trio.fail_after(5):
            control.commits = True
            await _wait_until_read(control, 1)
            control.cut_off()
            link.function = handle
            with pytest.raises(exceptions.RpcError):
                await membership.mailbox.ask(GONE)
            assert _state(membership) is None


def test_a_control_keeps_the_sign_off_of_a_node_that_restarts():
    sign_off = model.SignOff(incarnation="i-1", started_ms=1, gone=True)
    directory = node_directory.merge_record(
        node_directory.Directory(),
        fakes.node_record(signed_off=sign_off),
        0.0,
        1.0,
    )
    for incarnation in (2, 3):
        directory = node_directory.merge_record(
            directory, fakes.node_record(incarnation=incarnation), 0.0, 1.0
        )
    assert directory.entries["vm"].record.signed_off == sign_off
