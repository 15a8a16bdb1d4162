"""The changes that a leader has accepted for the log and not answered yet."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
from typing import Any

from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall.decisions import consensus
from sassafrashall.decisions import fleet_commands
from sassafrashall.decisions import replacements
from sassafrashall.decisions import replication

REPLACEMENT_TIMEOUT = 3.0  # seconds until an operator is asked to try again


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Proposal:
    """A proposal whose entry has not been applied yet.

    Attributes:
      term: Of the entry; an entry of another term at its index replaced it.
      reply: Receives the result of the command.
    """

    term: int
    reply: mailbox.Reply


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Replacement:
    """A replacement of a voter that an operator asked for.

    Attributes:
      message: The voter and the learner.
      reply: Receives the result.
      received_at: Monotonic seconds.
    """

    message: messages.ReplaceVoter
    reply: mailbox.Reply
    received_at: float


class PendingChanges:
    """Owned by the replica; empty while it is not the leader."""

    def __init__(self) -> None:
        self._proposals: dict[int, _Proposal] = {}
        self._replacements: list[_Replacement] = []

    def add_proposals(
        self, first_index: int, term: int, replies: Sequence[mailbox.Reply]
    ) -> None:
        """Adds proposals whose entries are appended one after the other."""
        for index, reply in enumerate(replies, first_index):
            self._proposals[index] = _Proposal(term=term, reply=reply)

    def answer_proposal(self, entry: replication.Entry, result: Any) -> None:
        """Delivers the result of an applied entry, if it is waited for."""
        proposal = self._proposals.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term == entry.term:
            proposal.reply.put(result)
        else:
            proposal.reply.fail(exceptions.RpcError("superseded"))

    def add_replacement(
        self, message: messages.ReplaceVoter, reply: mailbox.Reply, now: float
    ) -> None:
        """Adds a replacement, which `answer_replacements` continues."""
        self._replacements.append(
            _Replacement(message=message, reply=reply, received_at=now)
        )

    def answer_replacements(
        self, state: replication.State, revision: int, now: float
    ) -> replacements.Ready | None:
        """Answers the replacements that are decided; returns one to begin.

        Args:
          state: State of the leader; all of it is on disk.
          revision: Fleet revision applied so far.
          now: Monotonic seconds.
        """
        ready: replacements.Ready | None = None
        for replacement in self._replacements:
            reply = replacement.reply
            match replacements.progress(
                state, replacement.message.old_id, replacement.message.new_id
            ):
                case replacements.Finished():
                    reply.put(fleet_commands.Accepted(revision=revision))
                case replacements.Impossible(reason=reason) if (
                    # A leader without contact may not know of later changes.
                    consensus.leadership_confirmed_at(state, now)
                    >= replacement.received_at
                ):
                    reply.put(_rejection(reason))
                case replacements.Ready() as found:
                    ready = ready or found
            if now - replacement.received_at > REPLACEMENT_TIMEOUT:
                reply.fail(
                    exceptions.RpcError("not committed in time; send it again")
                )
        self._replacements = [
            replacement
            for replacement in self._replacements
            if not replacement.reply.done and not replacement.reply.abandoned
        ]
        return ready

    def fail(self, reason: str) -> None:
        """Fails all changes; each may have been made or be made later."""
        replies = [proposal.reply for proposal in self._proposals.values()]
        replies += [replacement.reply for replacement in self._replacements]
        for reply in replies:
            reply.fail(exceptions.RpcError(reason))
        self._proposals.clear()
        self._replacements.clear()


def _rejection(reason: str) -> fleet_commands.Rejected:
    finding = exceptions.Finding(source="command", key="replica", text=reason)
    return fleet_commands.Rejected(findings=(finding,))
