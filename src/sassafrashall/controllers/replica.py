"""A replica of the log: performs the actions that `consensus` returns."""

from __future__ import annotations

import dataclasses
import random
from typing import Any

import trio

from sassafrashall import clock
from sassafrashall import events
from sassafrashall import exceptions
from sassafrashall import logs
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import metrics
from sassafrashall import protocol
from sassafrashall import task
from sassafrashall.controllers import pending_changes
from sassafrashall.decisions import applied_state
from sassafrashall.decisions import consensus
from sassafrashall.decisions import fleet_commands
from sassafrashall.decisions import leadership
from sassafrashall.decisions import replacements
from sassafrashall.decisions import replication
from sassafrashall.decisions import voter_placement
from sassafrashall.storage import log_store
from sassafrashall.transport import codec
from sassafrashall.transport import rpc
from sassafrashall.transport import snapshots

SUBMIT_TIMEOUT = 3.0  # seconds
JOIN_TIMEOUT = 0.5  # seconds to forward a join request to the leader
PLACEMENT_INTERVAL = 0.3  # seconds between checks of the voters
LEADER_POLL_INTERVAL = 0.1  # seconds between checks for a leader
COMPACT_AFTER = 2000  # applied entries
COMPACT_SIZE = 4 * 1024 * 1024  # bytes of applied commands
OPEN_ATTEMPTS = 10  # while the disk refuses writes at the start
OPEN_RETRY_DELAY = 0.5  # seconds
BATCH_LIMIT = 256  # messages whose writes share one sync to disk

_PERSISTENT_ACTIONS = (
    replication.SaveVote,
    replication.Append,
    replication.SaveSnapshot,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _PeerReply:
    """The reply of another replica.

    Attributes:
      message: The reply.
      sent_at: When the message that it answers was sent, in monotonic seconds.
    """

    message: replication.Message
    sent_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _SnapshotEncoded:
    """A snapshot of the applied state has been encoded."""

    snapshot: replication.Snapshot


class Replica(task.Controller):
    """Owns the log store, the consensus state and the applied state.

    Other controllers read the applied state as published snapshots.
    """

    def __init__(
        self,
        *,
        vm: str,
        data_centre: str,
        address: str,
        folder: str,
        secret: str,
        claim_retention: float,
        placement: voter_placement.Requirements | None,
        event_log: events.EventLog,
        counters: metrics.Metrics,
    ) -> None:
        """Sets up the replica; `start` opens its data folder.

        Args:
          vm: The VM of this control.
          data_centre: Of that VM.
          address: RPC address of this control.
          folder: The data folder.
          secret: The fleet's secret.
          claim_retention: Seconds between rotations of the claims. A rotation
            drops the claims that were made before the previous one.
          placement: The losses that the voters tolerate. As leader, it replaces
            lost voters and adds further ones without an operator; None leaves
            all changes to operators.
          event_log: Records changes of role and membership.
          counters: The metrics of this process.
        """
        super().__init__()
        self._vm = vm
        self._data_centre = data_centre
        self._address = address
        self._claim_retention = claim_retention
        self._placement = placement
        self._next_placement_check_at = 0.0
        self._leader_since = 0.0
        self._events = event_log
        self._metrics = counters
        self._store = log_store.LogStore(folder=folder)
        self._random = random.SystemRandom()
        self._clients = rpc.ClientPool(
            secret=secret, hybrid_clock=event_log.clock
        )
        self._pending = pending_changes.PendingChanges()
        self._state = replication.State(replica_id="")
        # The state as of the last batch whose actions have been performed: all
        # of it is on disk, and its committed entries are applied.
        self._durable_state = self._state
        self._writes_fail = False
        # The role as of the performed actions; `_state` may be further on.
        self._role = replication.Role.FOLLOWER
        self._applied = applied_state.AppliedState()
        # Whether the log has been bootstrapped.
        self._founded = False
        # Last entry in the log when this process started.
        self._replay_index = 0
        self._replayed_revision = 0
        self._snapshot_in_progress = False
        self._applied_bytes = 0
        self._view = mailbox.Published[messages.FleetView](
            initial=messages.FleetView()
        )

    @property
    def view(self) -> mailbox.Published[messages.FleetView]:
        """The applied state and the membership, as snapshots."""
        return self._view

    async def _setup(self) -> None:
        contents = await self._open_store()
        self._founded = contents.founded
        self._state = consensus.initial_state(
            contents.replica_id,
            contents.term,
            contents.voted_for,
            contents.snapshot,
            contents.entries,
            clock.monotonic(),
            self._random.random(),
        )
        self._durable_state = self._state
        self._replay_index = self._state.last_index
        self._load_snapshot(contents.snapshot)
        self._publish_view()
        self._spawn(self._rotate_claims)

    async def _open_store(self) -> log_store.Contents:
        """Opens the store, once the disk has room."""
        for _ in range(OPEN_ATTEMPTS):
            try:
                return await trio.to_thread.run_sync(self._store.open)
            except log_store.WriteError as error:
                self._note_write_failed(error)
            await trio.sleep(OPEN_RETRY_DELAY)
        return await trio.to_thread.run_sync(self._store.open)

    async def _rotate_claims(self) -> None:
        """Proposes, as leader, to drop old claims and sign-offs.

        It does so once per retention period.
        """
        while True:
            await trio.sleep(self._claim_retention)
            if self._state.role is replication.Role.LEADER:
                self.mailbox.tell(
                    messages.Submit(command=fleet_commands.RotateClaims())
                )

    async def _teardown(self) -> None:
        self._clients.close()
        self._pending.fail("the control is stopping")
        await trio.to_thread.run_sync(self._store.close)

    # --- messages ------------------------------------------------------------

    async def _receive_messages(self) -> None:
        """Handles all queued messages as a batch, with one sync to disk.

        A batch without a message is handled when the next election or
        heartbeat is due.
        """
        while True:
            batch: list[mailbox.Envelope] = []
            wait = max(0.0, self._state.deadline - clock.monotonic())
            with trio.move_on_after(wait):
                batch.append(await self._mailbox.receive())
            while len(batch) < BATCH_LIMIT:
                envelope = self._mailbox.receive_nowait()
                if envelope is None:
                    break
                batch.append(envelope)
            await self._handle_batch(batch)

    async def _handle_batch(self, batch: list[mailbox.Envelope]) -> None:
        actions: list[replication.Action] = []
        replies: dict[str, mailbox.Reply] = {}
        proposals: list[tuple[bytes, mailbox.Reply]] = []
        for envelope in batch:
            event = self._to_event(
                envelope.message, envelope.reply, proposals, replies
            )
            if event is not None:
                actions.extend(self._step_consensus(event))
                if replies:
                    # Replies are kept by sender, so another message from the
                    # same replica would overwrite this one.
                    await self._perform_actions(actions, replies)
                    actions, replies = [], {}
        actions.extend(self._propose(proposals))
        actions.extend(
            self._step_consensus(replication.Tick(jitter=self._random.random()))
        )
        actions.extend(self._place_voters())
        await self._perform_actions(actions, replies)
        ready = self._pending.answer_replacements(
            self._state, self._applied.fleet.revision, clock.monotonic()
        )
        if ready is not None:
            await self._perform_actions(
                list(self._propose_voters(ready.membership)), {}
            )

    def _place_voters(self) -> tuple[replication.Action, ...]:
        """Proposes other voters, if some are lost or more are needed."""
        now = clock.monotonic()
        if (
            self._placement is None
            or self._state.role is not replication.Role.LEADER
            or now < self._next_placement_check_at
        ):
            return ()
        self._next_placement_check_at = now + PLACEMENT_INTERVAL
        membership = replacements.next_membership(
            self._state, self._placement, self._leader_since, now
        )
        if membership is None:
            return ()
        return self._propose_voters(membership)

    def _propose_voters(
        self, membership: replication.Membership
    ) -> tuple[replication.Action, ...]:
        old, new = _changed_voters(membership.outgoing, membership.voters)
        self._events.record("replica.replacing", detail=f"{old} {new}")
        logs.get().info(
            "changing the voters",
            extra={"old": old, "new": new, "voters": len(membership.voters)},
        )
        return self._step_consensus(
            replication.ProposeMembership(membership=membership)
        )

    def _to_event(
        self,
        message: Any,
        reply: mailbox.Reply,
        proposals: list[tuple[bytes, mailbox.Reply]],
        replies: dict[str, mailbox.Reply],
    ) -> replication.Event | None:
        """Returns the consensus event of a message, or None.

        Commands are added to `proposals` instead. The reply to a message of
        another replica is added to `replies`, by its sender.
        """
        jitter = self._random.random()
        match message:
            case messages.Submit(command=command):
                if self._state.role is replication.Role.LEADER:
                    proposals.append((codec.encode(command), reply))
                else:
                    self._spawn(self._forward_command, message, reply)
                return None
            case messages.ReplicaMessage(message=replica_message):
                if not self._founded:
                    reply.fail(exceptions.RpcError("not founded"))
                    return None
                replies[replica_message.sender] = reply
                return replication.Received(
                    message=replica_message, jitter=jitter
                )
            case _PeerReply(message=replica_message, sent_at=sent_at):
                return replication.Received(
                    message=replica_message, jitter=jitter, sent_at=sent_at
                )
            case messages.ReplaceVoter():
                if self._state.role is replication.Role.LEADER:
                    self._pending.add_replacement(
                        message, reply, clock.monotonic()
                    )
                else:
                    self._spawn(self._forward_command, message, reply)
                return None
            case protocol.JoinRequest(member=member):
                reply.put(protocol.Ack())
                if self._state.role is not replication.Role.LEADER:
                    self._spawn(self._forward_join, message)
                    return None
                return self._add_learner(member)
            case messages.ReadReplica():
                reply.put(self._status())
                return None
            case messages.BootstrapReplica(membership=membership):
                self._bootstrap(membership)
                return None
            case _SnapshotEncoded(snapshot=snapshot):
                self._snapshot_in_progress = False
                return replication.Compact(snapshot=snapshot)
        return None

    def _step_consensus(
        self, event: replication.Event
    ) -> tuple[replication.Action, ...]:
        self._state, actions = consensus.step(
            self._state, event, clock.monotonic()
        )
        return actions

    def _propose(
        self, proposals: list[tuple[bytes, mailbox.Reply]]
    ) -> tuple[replication.Action, ...]:
        if not proposals:
            return ()
        if self._state.role is not replication.Role.LEADER:
            for _, reply in proposals:
                reply.fail(exceptions.RpcError("the leader has changed"))
            return ()
        self._pending.add_proposals(
            self._state.last_index + 1,
            self._state.term,
            [reply for _, reply in proposals],
        )
        commands = tuple(command for command, _ in proposals)
        return self._step_consensus(replication.Propose(commands=commands))

    async def _perform_actions(
        self,
        actions: list[replication.Action],
        replies: dict[str, mailbox.Reply],
    ) -> None:
        """Persists all that has to be, with one sync, then does the rest.

        If the disk refuses it, none of the actions is performed.
        """
        persisted = tuple(
            a for a in actions if isinstance(a, _PERSISTENT_ACTIONS)
        )
        if persisted:
            try:
                await trio.to_thread.run_sync(self._store.persist, persisted)
            except log_store.WriteError as error:
                self._undo_unsaved(error, replies)
                return
            self._note_write_succeeded()
        self._durable_state = self._state
        for action in actions:
            match action:
                case replication.Send(message=message):
                    reply = replies.pop(message.receiver, None)
                    if reply is not None and _is_reply(message):
                        reply.put(message)
                    else:
                        self._send_message(message)
                case replication.Apply(entries=entries):
                    self._apply_entries(entries)
                case replication.SaveSnapshot(snapshot=snapshot, reset=True):
                    self._load_snapshot(snapshot)
                    self._publish_view()
                case replication.RoleChanged(role=role, term=term):
                    self._on_role_changed(role, term)
        for reply in replies.values():
            reply.fail(exceptions.RpcError("nothing to answer"))

    def _undo_unsaved(
        self, error: log_store.WriteError, replies: dict[str, mailbox.Reply]
    ) -> None:
        """Returns to the last state that is on disk.

        Nothing of the later ones has left this process. Other replicas don't
        wait for one that does not answer; but a leader that can't append
        would hold up all changes, so that it makes room for another one.
        """
        self._note_write_failed(error)
        for reply in replies.values():
            reply.fail(exceptions.RpcError("the disk refuses writes"))
        self._pending.fail("the disk refuses writes; send it again")
        now, jitter = clock.monotonic(), self._random.random()
        state = self._durable_state
        if state.role is replication.Role.LEADER:
            state, _ = leadership.become_follower(
                state, state.term, "", jitter, now
            )
            self._on_role_changed(state.role, state.term)
        self._state = self._durable_state = leadership.reset_election_timer(
            state, jitter, now
        )

    def _note_write_failed(self, error: log_store.WriteError) -> None:
        self._metrics.count("storage_writes_failed")
        if not self._writes_fail:
            logs.get().warning(
                "the disk refuses writes", extra={"reason": str(error)}
            )
        self._writes_fail = True

    def _note_write_succeeded(self) -> None:
        if self._writes_fail:
            logs.get().info("the disk takes writes again")
        self._writes_fail = False

    # --- sending -------------------------------------------------------------

    def _send_message(self, message: replication.Message) -> None:
        for member in self._state.membership.all_members():
            if member.replica_id == message.receiver:
                self._spawn(self._exchange, member, message)

    async def _exchange(
        self, member: replication.Member, message: replication.Message
    ) -> None:
        sent_at = clock.monotonic()
        try:
            reply = await self._clients.get(member.address).call(
                message, leadership.message_timeout(message)
            )
        except exceptions.RpcError:
            self._metrics.count("replica_messages_failed")
            return
        self.mailbox.tell(_PeerReply(message=reply, sent_at=sent_at))

    async def _forward_command(
        self,
        message: messages.Submit | messages.ReplaceVoter,
        reply: mailbox.Reply,
    ) -> None:
        """Forwards a command to the leader; waits if there is none yet."""
        deadline = clock.monotonic() + SUBMIT_TIMEOUT
        if message.forwarded:
            reply.fail(exceptions.RpcError("not the leader"))
            return
        request = _forwarded_request(message)
        detail = "there is no leader"
        while (time_left := deadline - clock.monotonic()) > 0:
            if self._state.role is replication.Role.LEADER:
                self.mailbox.forward(message, reply)
                return
            leader = self._find_leader()
            if leader is not None:
                try:
                    result = await self._clients.get(leader.address).call(
                        request, time_left
                    )
                    reply.put(codec.decode(result.result))
                    return
                except exceptions.RpcError as error:
                    detail = str(error)
            await trio.sleep(LEADER_POLL_INTERVAL)
        reply.fail(exceptions.RpcError(detail))

    def _find_leader(self) -> replication.Member | None:
        for member in self._state.membership.all_members():
            if member.replica_id == self._state.leader:
                return member
        return None

    # --- applying ------------------------------------------------------------

    def _apply_entries(self, entries: tuple[replication.Entry, ...]) -> None:
        for entry in entries:
            self._applied_bytes += len(entry.command)
            command = (
                codec.decode(entry.command)
                if entry.command
                else fleet_commands.NoOp()
            )
            membership_before = self._applied.membership
            self._applied, result = applied_state.apply_entry(
                self._applied, entry, command
            )
            self._pending.answer_proposal(entry, result)
            if self._role is replication.Role.LEADER:
                self._record_replacement(entry, membership_before)
            if entry.index <= self._replay_index:
                self._replayed_revision = self._applied.fleet.revision
        self._publish_view()
        uncompacted = self._applied.index - self._state.snapshot.index
        compaction_due = (
            uncompacted >= COMPACT_AFTER or self._applied_bytes >= COMPACT_SIZE
        )
        if compaction_due and not self._snapshot_in_progress:
            self._snapshot_in_progress = True
            self._applied_bytes = 0
            self._spawn(self._take_snapshot, self._applied)

    async def _take_snapshot(self, applied: applied_state.AppliedState) -> None:
        snapshot = await trio.to_thread.run_sync(snapshots.take, applied)
        self.mailbox.tell(_SnapshotEncoded(snapshot=snapshot))

    def _load_snapshot(self, snapshot: replication.Snapshot) -> None:
        self._applied = snapshots.restore(snapshot)
        self._replayed_revision = self._applied.fleet.revision

    def _publish_view(self) -> None:
        membership = self._state.membership
        owners = membership.outgoing or membership.voters
        self._view.publish(
            messages.FleetView(
                state=self._applied.fleet,
                owners=tuple(member.replica_id for member in owners),
                members=membership.all_members(),
                replayed_revision=self._replayed_revision,
            )
        )

    def _on_role_changed(self, role: replication.Role, term: int) -> None:
        self._role = role
        self._events.record(f"replica.{role}", detail=f"term {term}")
        logs.get().info(
            "replica role changed", extra={"role": role, "term": term}
        )
        if role is replication.Role.LEADER:
            self._leader_since = clock.monotonic()
        else:
            self._pending.fail("lost the lead; send it again")

    # --- membership ----------------------------------------------------------

    def _record_replacement(
        self, entry: replication.Entry, before: replication.Membership
    ) -> None:
        """Records the change of voters that an applied entry finishes.

        Args:
          entry: The entry.
          before: The membership before it.
        """
        if entry.membership is None or not before.outgoing:
            return
        old, new = _changed_voters(before.outgoing, before.voters)
        self._events.record("replica.replaced", detail=f"{old} {new}")
        logs.get().info(
            "changed the voters",
            extra={"old": old, "new": new, "voters": len(before.voters)},
        )

    def _add_learner(
        self, member: replication.Member
    ) -> replication.Event | None:
        membership = self._state.membership
        member_ids = {m.replica_id for m in membership.all_members()}
        if member.replica_id in member_ids:
            return None
        new_membership = replication.add_learner(membership, member)
        return replication.ProposeMembership(membership=new_membership)

    async def _forward_join(self, message: protocol.JoinRequest) -> None:
        leader = self._find_leader()
        if leader is None or leader.replica_id == self._state.replica_id:
            return
        try:
            await self._clients.get(leader.address).call(message, JOIN_TIMEOUT)
        except exceptions.RpcError as error:
            logs.get().info(
                "could not forward a join request", extra={"reason": str(error)}
            )

    def _bootstrap(self, membership: replication.Membership) -> None:
        """Starts the log with its first membership, unless it has started."""
        if self._founded:
            return
        snapshot = replication.Snapshot(membership=membership)
        try:
            self._store.persist(
                (replication.SaveSnapshot(snapshot=snapshot, reset=True),)
            )
        except log_store.WriteError as error:
            # It is asked for again.
            self._note_write_failed(error)
            return
        self._founded = True
        self._state = consensus.initial_state(
            self._state.replica_id,
            0,
            "",
            snapshot,
            (),
            clock.monotonic(),
            self._random.random(),
        )
        self._durable_state = self._state
        self._load_snapshot(snapshot)
        self._events.record("replica.founded", detail=self._state.replica_id)
        self._publish_view()

    def _own_member(self) -> replication.Member:
        return replication.Member(
            replica_id=self._state.replica_id,
            vm=self._vm,
            data_centre=self._data_centre,
            address=self._address,
        )

    def _status(self) -> messages.ReplicaStatus:
        """Returns the status as of the entries that have been applied.

        A proof of freshness holds for the applied state only, and `_state` may
        be further on.
        """
        state = self._durable_state
        return messages.ReplicaStatus(
            member=self._own_member(),
            founded=self._founded,
            membership=state.membership,
            role=state.role if self._founded else "joining",
            term=state.term,
            commit=state.commit,
            leader=state.leader,
            majority_age=min(
                1e6, consensus.majority_age(state, clock.monotonic())
            ),
            leadership_confirmed_at=consensus.leadership_confirmed_at(
                state, clock.monotonic()
            ),
        )


def _changed_voters(
    before: tuple[replication.Member, ...],
    after: tuple[replication.Member, ...],
) -> tuple[str, str]:
    """Returns the replica ids that were dropped and those that were added."""
    old_ids = {member.replica_id for member in before}
    new_ids = {member.replica_id for member in after}
    return (
        " ".join(sorted(old_ids - new_ids)),
        " ".join(sorted(new_ids - old_ids)),
    )


def _is_reply(message: replication.Message) -> bool:
    return isinstance(message, (replication.AppendReply, replication.VoteReply))


def _forwarded_request(
    message: messages.Submit | messages.ReplaceVoter,
) -> protocol.SubmitCommand | protocol.ReplaceReplica:
    match message:
        case messages.Submit(command=command):
            return protocol.SubmitCommand(
                command=codec.encode(command), forwarded=True
            )
        case messages.ReplaceVoter(old_id=old_id, new_id=new_id):
            return protocol.ReplaceReplica(
                old_id=old_id, new_id=new_id, forwarded=True
            )
