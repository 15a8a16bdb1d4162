"""Follows the runs of the upstream; owned by the membership controller."""

from __future__ import annotations

from sassafrashall import clock
from sassafrashall import logs
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model
from sassafrashall.decisions import cold_rate
from sassafrashall.decisions import upstream_runs

ANNOUNCEMENT_TTL = 3.0  # seconds until a silent upstream counts as gone


class FollowedUpstream:
    """What the announcements of the upstream on this VM say about it."""

    def __init__(
        self,
        *,
        announcement_ttl: float = ANNOUNCEMENT_TTL,
        published: mailbox.Published[model.Upstream | None] | None = None,
        cold_heartbeat: mailbox.Published[cold_rate.Heartbeat | None]
        | None = None,
    ) -> None:
        """Follows an upstream of which nothing has been heard.

        Args:
          announcement_ttl: Seconds without an announcement after which the
            upstream counts as gone.
          published: Where the upstream is published by the membership.
          cold_heartbeat: Where its newest heartbeat is published, for the bound
            of a cold one; None if there is no bound.
        """
        self._announcement_ttl = announcement_ttl
        self._published = published or mailbox.Published[model.Upstream | None](
            initial=None
        )
        self._cold_heartbeat = cold_heartbeat
        self._runs = upstream_runs.State(
            sign_offs_known=False, process_started_ms=clock.wall_ms()
        )
        # The latest numbered one.
        self._announcement: messages.Announce | None = None

    @property
    def published(self) -> mailbox.Published[model.Upstream | None]:
        """The upstream as the node's record names it."""
        return self._published

    @property
    def upstream(self) -> model.Upstream | None:
        """The upstream as it announced itself; None if it is gone."""
        return self._runs.upstream

    @property
    def sign_off(self) -> model.SignOff | None:
        """The last run that signed off."""
        return self._runs.sign_off

    @property
    def sign_offs_known(self) -> bool:
        """Whether all sign-offs of before this process are known."""
        return self._runs.sign_offs_known

    @property
    def is_held_back(self) -> bool:
        """Whether a heartbeat waits until it is certain to be no late one."""
        return (
            not self._runs.sign_offs_known and self._runs.successor is not None
        )

    def holds(self, sign_off: model.SignOff) -> bool:
        """Returns whether no later sign-off has taken its place."""
        return sign_off in self._runs.ended

    def sign_off_in(self, message: messages.Announce) -> model.SignOff | None:
        """Returns the sign-off in an announcement that was taken in.

        It may be one that was known before. None if the announcement is none.
        """
        upstream = message.upstream
        if upstream is None:
            return upstream_runs.sign_off_of(self._runs, message.incarnation)
        if (
            message.sequence < 0
            or upstream.state is not model.UpstreamState.DRAINING
        ):
            return None
        run = upstream_runs.Run(
            incarnation=message.incarnation, started_ms=message.started_ms
        )
        return upstream_runs.find_sign_off(self._runs, run)

    def on_announcement(self, message: messages.Announce, now: float) -> None:
        """Takes in an announcement."""
        match message:
            case messages.Announce(upstream=None, incarnation=""):
                runs = upstream_runs.on_unnumbered(self._runs, None, now)
            case messages.Announce(upstream=None, incarnation=incarnation):
                runs = upstream_runs.on_sign_off(
                    self._runs, incarnation, clock.wall_ms()
                )
            case messages.Announce(upstream=upstream) if message.sequence < 0:
                runs = upstream_runs.on_unnumbered(self._runs, upstream, now)
            case messages.Announce(upstream=upstream):
                assert upstream is not None
                self._announcement = message
                heartbeat = upstream_runs.Heartbeat(
                    run=upstream_runs.Run(
                        incarnation=message.incarnation,
                        started_ms=message.started_ms,
                    ),
                    sequence=message.sequence,
                    upstream=upstream,
                    is_fresh=message.is_fresh,
                )
                runs = upstream_runs.on_heartbeat(self._runs, heartbeat, now)
                self._publish_cold(runs, message, now)
        self._replace_runs(runs)

    def expire(self, now: float) -> None:
        """Takes a silent upstream for gone."""
        self._replace_runs(
            upstream_runs.on_check(self._runs, self._announcement_ttl, now)
        )

    def restore_sign_off(self, sign_off: model.SignOff) -> None:
        """Takes in a sign-off that the process before this one reported."""
        self._replace_runs(
            upstream_runs.on_sign_off_restored(self._runs, sign_off)
        )

    def on_sign_offs_known(
        self,
        sign_offs: tuple[model.SignOff, ...],
        complete_since: float = float("-inf"),
    ) -> None:
        """Takes in all sign-offs that were acknowledged before this process.

        Args:
          sign_offs: The latest last.
          complete_since: Monotonic seconds since when all are among them.
        """
        held = self._runs.successor
        runs = upstream_runs.on_sign_offs_known(
            self._runs, sign_offs, complete_since
        )
        if held is not None and self._announcement is not None:
            self._publish_cold(runs, self._announcement, held.heard_at)
        self._replace_runs(runs)

    def _publish_cold(
        self, runs: upstream_runs.State, message: messages.Announce, now: float
    ) -> None:
        """Publishes a heartbeat, unless a newer one of its run was heard."""
        if self._cold_heartbeat is None or runs.run is None:
            return
        run = upstream_runs.Run(
            incarnation=message.incarnation, started_ms=message.started_ms
        )
        is_newest = run == runs.run and message.sequence == runs.sequence
        is_repeated = (
            run == self._runs.run and message.sequence == self._runs.sequence
        )
        # A run that is not believed yet may have taken the place of this one.
        is_doubtful = runs.successor is not None and run == runs.successor.run
        if is_doubtful or (is_newest and not is_repeated):
            self._cold_heartbeat.publish(
                cold_rate.Heartbeat(
                    run=(run.incarnation, run.started_ms),
                    sequence=message.sequence,
                    cold_remaining_s=message.cold_remaining_s,
                    heard_at=now,
                    is_doubtful=is_doubtful,
                )
            )

    def _replace_runs(self, runs: upstream_runs.State) -> None:
        """Logs what differs from the beliefs before."""
        before, self._runs = self._runs, runs
        if runs.run != before.run and runs.run is not None:
            logs.get().info(
                "upstream run followed",
                extra={
                    "id": runs.run.incarnation,
                    "started_ms": runs.run.started_ms,
                },
            )
        if runs.successor is not None and (
            before.successor is None
            or runs.successor.run != before.successor.run
        ):
            logs.get().info(
                "heartbeat of an earlier run, or of one that signed off"
                if runs.sign_offs_known
                else "heartbeat held back until sign-offs are known",
                extra={
                    "id": runs.successor.run.incarnation,
                    "started_ms": runs.successor.run.started_ms,
                    "sequence": runs.successor.sequence,
                },
            )
