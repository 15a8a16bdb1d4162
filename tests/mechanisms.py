"""Disables single mechanisms, to see that the tests of a guarantee fail.

`pytest --without NAME` runs the tests with one mechanism disabled; CI runs them
with all mechanisms.
"""

import dataclasses

import trio

from sassafrashall import mailbox
from sassafrashall.decisions import control_choice
from sassafrashall.decisions import fleet_commands
from sassafrashall.decisions import fleet_state
from sassafrashall.decisions import leadership
from sassafrashall.decisions import quota
from sassafrashall.decisions import replication
from sassafrashall.decisions import retries
from sassafrashall.filters import dispatch
from sassafrashall.transport import codec
from sassafrashall.transport import stream_server
from tests import raft_simulation


def _vote_sync(patch):
    """A replica forgets its term and vote when it restarts."""
    perform = raft_simulation.Cluster.perform

    def skip_votes(self, replica, action):
        if not isinstance(action, replication.SaveVote):
            perform(self, replica, action)

    patch.setattr(raft_simulation.Cluster, "perform", skip_votes)


def _joint_quorum(patch):
    """A majority of the new voters alone is a quorum."""

    def is_majority_of_voters(self, replica_ids):
        count = sum(m.replica_id in replica_ids for m in self.voters)
        return 2 * count > len(self.voters)

    patch.setattr(replication.Membership, "has_quorum", is_majority_of_voters)


def _majority_commit(patch):
    """A leader commits its entries without waiting for other replicas."""
    advance = leadership._advance_leader_commit

    def commit_at_once(state, now):
        state, actions = leadership.advance_commit(state, state.last_index)
        state, more = advance(state, now)
        return state, (*actions, *more)

    patch.setattr(leadership, "_advance_leader_commit", commit_at_once)


def _new_identity(patch):
    """A replica that lost its disk returns under its old name."""

    def add_under_old_name(self, name):
        # Of the crashed replicas, it is the one with the most entries.
        lost = max(
            (r for r in self.replicas.values() if r.state is None),
            key=lambda r: (len(r.disk.entries), r.name),
        ).name
        disk = raft_simulation.Disk(snapshot=self.founding)
        self.replicas[lost] = raft_simulation.Replica(lost, disk, self.now)

    patch.setattr(raft_simulation.Cluster, "add", add_under_old_name)


def _step_down(patch):
    """A leader without a majority stays the leader."""
    patch.setattr(leadership, "ELECTION_TIMEOUT", 1e9)


def _escrow(patch):
    """Tokens out on leases do not count against the owner's capacity."""
    patch.setattr(quota.Bucket, "outstanding", property(lambda self: 0))


def _owner_grace(patch):
    """A lease lapses at its owner before it lapses at the node."""
    patch.setattr(quota, "OWNER_LEASE_TTL", 0.5 * quota.LEASE_TTL)


def _mint_pause(patch):
    """A restarted owner lends at once, although leases may be out."""
    open_bucket = quota.open_bucket

    def open_full_bucket(rate, capacity, now, *, is_new, unknown=None):
        return open_bucket(rate, capacity, now, is_new=True)

    patch.setattr(quota, "open_bucket", open_full_bucket)


def _report_sequence(patch):
    """An owner applies old reports and second copies of reports."""
    apply_report = quota.apply_report

    def apply_in_any_order(bucket, report, now):
        return apply_report(
            bucket, dataclasses.replace(report, sequence=1_000_000), now
        )

    def apply_and_forget(bucket, report, now):
        bucket = apply_in_any_order(bucket, report, now)
        leases = tuple(
            dataclasses.replace(lease, sequence=0) for lease in bucket.leases
        )
        return dataclasses.replace(bucket, leases=leases)

    patch.setattr(quota, "apply_report", apply_and_forget)


def _change_ids(patch):
    """A change that is sent again is made again."""
    patch.setattr(
        fleet_state, "_record_result", lambda state, change_id, result: state
    )


def _claims(patch):
    """Every claim on an idempotency key is granted."""

    def grant(state, command):
        return state, fleet_commands.Granted()

    patch.setattr(fleet_state, "_grant_claim", grant)


def _monotone_revision(patch):
    """A node applies an older configuration too, and no withdrawals."""

    def overwrite(held, revision, changed, withdrawn):
        organisations = {o.name: o for o in changed} or held.organisations
        return dataclasses.replace(
            held, revision=revision, organisations=organisations
        )

    patch.setattr(fleet_state, "merge_configuration", overwrite)


def _truth(patch):
    """A refusal says "not run" although an earlier attempt may have run."""
    patch.setattr(
        dispatch, "reconcile_run_state", lambda outcome, may_have_run: outcome
    )


def _budget(patch):
    """Each hop makes up to three retries, whatever the budgets."""
    patch.setattr(
        retries,
        "should_retry",
        lambda policy, call, refusal, attempts, ratio, now: (
            retries.is_retryable(call, refusal) and attempts <= 3
        ),
    )


def _signature(patch):
    """A ticket is accepted with any signature."""
    verify = codec.verify_ticket

    def accept_any_signature(value, secret):
        body = codec.base64.urlsafe_b64decode(value.encode())
        signature = codec._signature(body[codec._SIGNATURE_BYTES :], secret)
        signed = signature + body[codec._SIGNATURE_BYTES :]
        return verify(codec.base64.urlsafe_b64encode(signed).decode(), secret)

    patch.setattr(codec, "verify_ticket", accept_any_signature)


def _taken_answers(patch):
    """A cancellation loses an answer that has arrived."""

    async def wait(self):
        if not self._done:
            self._event = trio.Event()
            await self._event.wait()
        return self._value

    patch.setattr(mailbox.Reply, "wait", wait)


def _input_before_close(patch):
    """An idle connection is closed although the bytes of a request wait."""

    def close(self, reason, idle, delay):
        self._close(reason)

    patch.setattr(stream_server.Connection, "_close_unless_input", close)


def _other_controls(patch):
    """Nodes learn of changes only from the control in use."""
    patch.setattr(
        control_choice,
        "controls_to_ask",
        lambda addresses, current, start: ((), start),
    )


DISABLE_BY_NAME = {
    "other-controls": _other_controls,
    "taken-answers": _taken_answers,
    "vote-sync": _vote_sync,
    "joint-quorum": _joint_quorum,
    "majority-commit": _majority_commit,
    "new-identity": _new_identity,
    "step-down": _step_down,
    "escrow": _escrow,
    "owner-grace": _owner_grace,
    "mint-pause": _mint_pause,
    "report-sequence": _report_sequence,
    "change-ids": _change_ids,
    "claims": _claims,
    "monotone-revision": _monotone_revision,
    "truthful-not-run": _truth,
    "retry-budget": _budget,
    "ticket-signature": _signature,
    "input-before-close": _input_before_close,
}
