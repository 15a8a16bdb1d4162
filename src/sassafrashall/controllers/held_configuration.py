"""The replicated state as a node holds it; owned by its membership."""

from __future__ import annotations

import dataclasses

from sassafrashall import configuration
from sassafrashall import events
from sassafrashall import logs
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model
from sassafrashall import protocol
from sassafrashall.decisions import fleet_state
from sassafrashall.decisions import route_table


class HeldConfiguration:
    """The node's view of the fleet, and the routes of the configuration."""

    def __init__(self, *, event_log: events.EventLog) -> None:
        """Sets up an empty view.

        Args:
          event_log: Records a new fleet configuration.
        """
        self._events = event_log
        self._view = mailbox.Published[model.NodeView](initial=model.NodeView())
        self._table = mailbox.Published[route_table.RouteTable | None](
            initial=None
        )

    @property
    def view(self) -> mailbox.Published[model.NodeView]:
        """The fleet as this node sees it."""
        return self._view

    @property
    def table(self) -> mailbox.Published[route_table.RouteTable | None]:
        """The routes of the fleet configuration; None before the first."""
        return self._table

    @property
    def document_version(self) -> int:
        """Version of the fleet configuration; 0 before the first."""
        table = self._table.value
        return table.document.version if table else 0

    def merge(
        self,
        answer: protocol.HeartbeatReply | protocol.ConfigurationReply,
        sent_at: float,
    ) -> model.NodeView:
        """Returns the view with what is newer at a control; applies its routes.

        Args:
          answer: What the control told.
          sent_at: When it was asked, in monotonic seconds. Its age counts from
            then, since the answer may have been delayed.
        """
        view = self._view.value
        merged = fleet_state.merge_configuration(
            view.configuration,
            answer.revision,
            answer.organisations,
            frozenset(answer.withdrawn),
        )
        fresh_at = view.fresh_at
        if answer.revision >= view.configuration.revision:
            fresh_at = max(fresh_at, sent_at - answer.proof_age)
        self._apply_document(answer.document)
        return dataclasses.replace(
            view,
            configuration=merged,
            fresh_at=fresh_at,
            evacuated=self._newest_evacuated(view, answer),
            evacuation_changes=view.evacuation_changes
            if answer.revision < view.configuration.revision
            # An older build tells none.
            else view.evacuation_changes | dict(answer.evacuation_changes),
        )

    def confirm(self, message: messages.ConfigurationConfirmed) -> None:
        """Publishes a newer proof that the configuration is current."""
        view = self._view.value
        if (
            message.revision == view.configuration.revision
            and message.fresh_at > view.fresh_at
        ):
            self._view.publish(
                dataclasses.replace(view, fresh_at=message.fresh_at)
            )

    def _newest_evacuated(
        self,
        view: model.NodeView,
        answer: protocol.HeartbeatReply | protocol.ConfigurationReply,
    ) -> frozenset[str]:
        """Returns the evacuated data centres, unless the answer is older."""
        if (
            answer.evacuated is None
            or answer.revision < view.configuration.revision
        ):
            return view.evacuated
        evacuated = frozenset(answer.evacuated)
        if evacuated != view.evacuated:
            logs.get().info(
                "evacuated data centres changed",
                extra={
                    "evacuated": sorted(evacuated),
                    "revision": answer.revision,
                },
            )
        return evacuated

    def _apply_document(
        self, document: configuration.Configuration | None
    ) -> None:
        if document is None or document.version <= self.document_version:
            return
        self._table.publish(route_table.compile_table(document))
        self._events.record(
            "configuration.document", detail=str(document.version)
        )
        logs.get().info(
            "fleet configuration applied", extra={"version": document.version}
        )
