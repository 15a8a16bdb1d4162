"""A control's share of every organisation's quota, lent to nodes on leases."""

from __future__ import annotations

import collections
from typing import Any
import uuid

import trio

from sassafrashall import clock
from sassafrashall import events
from sassafrashall import exceptions
from sassafrashall import logs
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import metrics
from sassafrashall import protocol
from sassafrashall import settings as settings_module
from sassafrashall import task
from sassafrashall.decisions import quota
from sassafrashall.storage import lease_limit
from sassafrashall.transport import rpc

FORWARD_TIMEOUT = 0.25  # seconds
OWNER_RETRY_PAUSE = 1.0  # seconds until an owner that failed is asked again
MAX_WAIT = 60.0  # seconds; the longest wait reported to a node
# Seconds since the contact with a majority within which a replica that has
# restarted is still a member: one that was replaced meanwhile gets no contact.
MAX_MAJORITY_AGE = 1.0
RESTART_CHECK_INTERVAL = 0.05  # seconds
LIMIT_WRITE_PAUSE = 5.0  # seconds after a write that failed


class QuotaOwner(task.Controller):
    """Owns the token buckets of this control's shares.

    An owner without a token forwards the request to the other owners, which
    lend from their own shares. Tokens never move between owners.

    With a limit on what may be lent at the same time, a restarted owner lends
    the rest of its shares as soon as it is known to be a member still, and all
    of them once the leases from before have expired. Until then it may have
    lent all of a share, so that the file holds no limit: an owner that restarts
    twice in a row lends nothing for that time.
    """

    def __init__(
        self,
        *,
        settings: settings_module.Daemon,
        replica: mailbox.Mailbox,
        view: mailbox.Published[messages.FleetView],
        event_log: events.EventLog,
        counters: metrics.Metrics,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._overage = quota.NO_OVERAGE
        self._fraction = lease_limit.ALL  # of a share that may be lent
        if settings.routed is not None:
            self._overage = settings.routed.allowed_overage()
            self._fraction = settings.routed.quota_lease_fraction
        self._limit_file = lease_limit.LeaseLimitFile(
            folder=settings.data_folder
        )
        # The fraction that may be on leases from before the restart; None while
        # that is not known.
        self._unknown_fraction: float | None = None
        self._preparing_restart = False
        self._replica = replica
        self._view = view
        self._events = event_log
        self._metrics = counters
        self._replica_id = ""
        self._buckets: dict[str, quota.Bucket] = {}
        # When this replica became an owner, and the revision at that time, or
        # None while it is not an owner. For an organisation created earlier,
        # there may be leases on its share that this process does not know.
        self._share_held_since = 0.0
        self._share_revision: int | None = None
        self._clients = rpc.ClientPool(
            secret=settings.fleet_secret, hybrid_clock=event_log.clock
        )
        self._avoid_until: dict[str, float] = {}
        self._lent: collections.Counter[str] = collections.Counter()
        self._empty_answers: collections.Counter[str] = collections.Counter()

    async def _setup(self) -> None:
        status = await self._replica.ask(messages.ReadReplica())
        self._replica_id = status.member.replica_id
        self._track_share(self._view.value, clock.monotonic())
        before = await trio.to_thread.run_sync(self._limit_file.read)
        if before < lease_limit.ALL:
            # Not exceeded until the file tells so.
            self._fraction, wanted = min(before, self._fraction), self._fraction
            self._preparing_restart = self._share_revision is not None
            self._spawn(self._prepare_restart, before, wanted)
        elif self._fraction < lease_limit.ALL:
            self._spawn(self._record_limit, self._fraction)
        self._spawn(self._follow_view)

    async def _teardown(self) -> None:
        self._clients.close()

    async def _prepare_restart(self, before: float, wanted: float) -> None:
        """Lends the rest of the shares as soon as that is safe.

        Args:
          before: The fraction of a share that may be on unknown leases.
          wanted: The fraction that may be lent from now on.
        """
        end = clock.monotonic() + quota.OWNER_LEASE_TTL
        try:
            if await self._write_limit(lease_limit.ALL):
                self._fraction = wanted
                while clock.monotonic() < end:
                    status = await self._replica.ask(messages.ReadReplica())
                    if not self._preparing_restart:
                        break
                    if status.majority_age < MAX_MAJORITY_AGE:
                        self._unknown_fraction = before
                        break
                    await trio.sleep(RESTART_CHECK_INTERVAL)
        finally:
            self._preparing_restart = False
        if wanted < lease_limit.ALL:
            await self._record_limit(wanted)

    def _is_preparing_restart(self, now: float) -> bool:
        """Returns whether it is not known yet what may be lent at once.

        A slow disk does not hold up an owner once old leases have expired.
        """
        return (
            self._preparing_restart
            and now < self._share_held_since + quota.OWNER_LEASE_TTL
        )

    async def _record_limit(self, fraction: float) -> None:
        """Writes the limit once all leases beyond it have expired."""
        await trio.sleep(quota.OWNER_LEASE_TTL)
        while not await self._write_limit(fraction):
            await trio.sleep(LIMIT_WRITE_PAUSE)

    async def _write_limit(self, fraction: float) -> bool:
        try:
            await trio.to_thread.run_sync(self._limit_file.write, fraction)
        except OSError as error:
            self._metrics.count("lease_limit_writes_failed")
            logs.get().warning(
                "limit of quota leases not written",
                extra={"fraction": fraction, "reason": str(error)},
            )
            return False
        return True

    async def _follow_view(self) -> None:
        # It may have changed since the setup.
        self.mailbox.tell(self._view.value)
        while True:
            self.mailbox.tell(await self._view.wait_changed())

    def _handle(self, message: Any, reply: mailbox.Reply) -> None:
        now = clock.monotonic()
        match message:
            case messages.FleetView():
                self._track_share(message, now)
                self._resize_buckets(message, now)
            case protocol.Borrow():
                self._on_borrow(message, reply, now)
            case protocol.BorrowAhead(borrows=borrows):
                answers = tuple(
                    self._lend_from_own_share(b, now) for b in borrows
                )
                reply.put(protocol.BorrowAheadReply(answers=answers))
            case protocol.Settle():
                self._on_settle(message, now)
                reply.put(protocol.Ack())
            case protocol.StatusQuery():
                reply.put(self._quota_counts())

    def _track_share(self, view: messages.FleetView, now: float) -> None:
        if self._replica_id not in view.owners:
            self._share_revision = None
            # Another owner has lent from a share that this one gets later.
            self._preparing_restart = False
            self._unknown_fraction = None
        elif self._share_revision is None:
            self._share_revision = view.state.revision
            self._share_held_since = now

    def _resize_buckets(self, view: messages.FleetView, now: float) -> None:
        for name, bucket in list(self._buckets.items()):
            if view.state.quota(name) is None:
                continue
            rate, capacity = self._share_of(name, view)
            if (rate, capacity) != (bucket.rate, bucket.capacity):
                self._buckets[name] = quota.resize(bucket, rate, capacity, now)

    def _share_of(
        self, name: str, view: messages.FleetView, owner: str = ""
    ) -> tuple[float, int]:
        """Returns rate and burst of our share, or of another owner's share.

        Args:
          name: Of the organisation.
          view: The applied state.
          owner: Replica ID of the owner; empty for ours.
        """
        organisation_quota = view.state.quota(name)
        if organisation_quota is None:
            return 0.0, 0
        rate, burst = self._overage.widen_quota(
            organisation_quota.rate, organisation_quota.burst
        )
        return quota.owner_share(
            name,
            rate,
            burst,
            owner or self._replica_id,
            view.owners,
            organisation_quota.shares,
        )

    def _get_bucket(self, name: str, now: float) -> quota.Bucket | None:
        bucket = self._buckets.get(name)
        if bucket is not None:
            return bucket
        view = self._view.value
        organisation_quota = view.state.quota(name)
        if organisation_quota is None or self._share_revision is None:
            return None
        if self._is_preparing_restart(now):
            return None
        rate, capacity = self._share_of(name, view)
        # If the organisation was created while this process was running and
        # an owner, no node can hold tokens of the share yet.
        known_before = max(view.replayed_revision, self._share_revision)
        if organisation_quota.created > known_before:
            return quota.open_bucket(rate, capacity, now, is_new=True)
        unknown = None
        if self._unknown_fraction is not None:
            unknown = quota.lease_limit(capacity, self._unknown_fraction)
        return quota.open_bucket(
            rate,
            capacity,
            self._share_held_since,
            is_new=False,
            unknown=unknown,
        )

    def _on_borrow(
        self, message: protocol.Borrow, reply: mailbox.Reply, now: float
    ) -> None:
        own_reply = self._lend_from_own_share(message, now)
        if own_reply.grants or message.forwarded:
            reply.put(own_reply)
            return
        self._spawn(self._forward_borrow, message, own_reply.wait, reply)

    def _lend_from_own_share(
        self, message: protocol.Borrow, now: float
    ) -> protocol.BorrowReply:
        """Applies the reports, then lends from our own share only."""
        self._forward_reports(self._apply_reports(message.reports, now))
        grants, wait = self._lend(message.organisation, message.wanted, now)
        return protocol.BorrowReply(grants=grants, wait=wait)

    def _lend(
        self, name: str, wanted: int, now: float
    ) -> tuple[tuple[protocol.LeaseGrant, ...], float]:
        bucket = self._get_bucket(name, now)
        if bucket is None:
            if self._is_preparing_restart(now):
                return (), RESTART_CHECK_INTERVAL
            return (), MAX_WAIT
        lease_id = uuid.uuid4().hex[:12]
        limit = quota.lease_limit(bucket.capacity, self._fraction)
        bucket, tokens = quota.grant_lease(bucket, lease_id, wanted, now, limit)
        self._buckets[name] = bucket
        if tokens == 0:
            self._empty_answers[name] += 1
            wait = quota.wait_for_token(bucket, now)
            return (), min(wait, MAX_WAIT)
        self._lent[name] += tokens
        grant = protocol.LeaseGrant(
            owner=self._replica_id, lease_id=lease_id, tokens=tokens
        )
        return (grant,), 0.0

    async def _forward_borrow(
        self, message: protocol.Borrow, wait: float, reply: mailbox.Reply
    ) -> None:
        """Asks the other owners in turn until one lends."""
        request = protocol.Borrow(
            organisation=message.organisation,
            wanted=message.wanted,
            forwarded=True,
        )
        # Until another owner answers, the quota is reachable only if we have
        # a share of it ourselves.
        unreachable = wait >= MAX_WAIT
        for replica_id, address in self._other_owners(message.organisation):
            try:
                answer = await self._clients.get(address).call(
                    request, FORWARD_TIMEOUT
                )
            except exceptions.RpcError:
                self._avoid_until[replica_id] = (
                    clock.monotonic() + OWNER_RETRY_PAUSE
                )
                continue
            if answer.grants:
                reply.put(answer)
                return
            unreachable = False
            wait = min(wait, answer.wait)
        reply.put(
            protocol.BorrowReply(grants=(), wait=wait, unreachable=unreachable)
        )

    def _other_owners(self, name: str) -> list[tuple[str, str]]:
        """Returns replica ID and address of the other owners with a share.

        Owners that failed recently are left out.
        """
        now = clock.monotonic()
        view = self._view.value
        others = [
            (member.replica_id, member.address)
            for member in view.members
            if member.replica_id != self._replica_id
            and self._share_of(name, view, member.replica_id)[1]
            and self._avoid_until.get(member.replica_id, 0.0) <= now
        ]
        if others:
            # Rotates the order, so that each owner is asked first in turn.
            first = self._empty_answers[name] % len(others)
            others = others[first:] + others[:first]
        return others

    def _on_settle(self, message: protocol.Settle, now: float) -> None:
        by_owner = self._apply_reports(message.reports, now)
        if not message.forwarded:
            self._forward_reports(by_owner)

    def _apply_reports(
        self, reports: tuple[quota.Report, ...], now: float
    ) -> dict[str, list[quota.Report]]:
        """Applies reports on our leases; returns the others by their owner."""
        by_owner: dict[str, list[quota.Report]] = {}
        for report in reports:
            if report.owner != self._replica_id:
                by_owner.setdefault(report.owner, []).append(report)
                continue
            bucket = self._buckets.get(report.organisation)
            if bucket is not None:
                self._buckets[report.organisation] = quota.apply_report(
                    bucket, report, now
                )
        return by_owner

    def _forward_reports(self, by_owner: dict[str, list[quota.Report]]) -> None:
        for owner, reports in by_owner.items():
            self._spawn(self._send_reports, owner, tuple(reports))

    async def _send_reports(
        self, owner: str, reports: tuple[quota.Report, ...]
    ) -> None:
        for member in self._view.value.members:
            if member.replica_id == owner:
                settle = protocol.Settle(reports=reports, forwarded=True)
                try:
                    await self._clients.get(member.address).call(
                        settle, FORWARD_TIMEOUT
                    )
                except exceptions.RpcError:
                    self._metrics.count("quota_reports_lost")

    def _quota_counts(self) -> tuple[protocol.OrganisationQuota, ...]:
        return tuple(
            protocol.OrganisationQuota(
                organisation=name,
                lent=self._lent[name],
                dry=self._empty_answers[name],
            )
            for name in sorted(self._buckets)
        )
