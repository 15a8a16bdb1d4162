"""The node's token caches: borrows tokens from owners and returns them."""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import Any

import trio

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import metrics
from sassafrashall import protocol
from sassafrashall import task
from sassafrashall.decisions import quota
from sassafrashall.decisions import token_cache

TICK_INTERVAL = 0.05  # seconds between checks of the caches
BORROW_TIMEOUT = 1.0  # seconds
TOKEN_WAIT = 0.15  # seconds that a request waits if owners have none
PREFETCH_RETRY_PAUSE = 0.3  # seconds after a prefetch without tokens
MIN_RETRY_PAUSE = 0.01  # seconds, at least, after an answer without tokens
ACCOUNT_TTL = 1.0  # seconds without a request until an account is removed
MAX_EMPTY_ANSWERS = 8  # in a row; more do not lengthen the pause
# Requests that wait for a token of an organisation without any; others are
# refused at once. A few must wait, so that the node goes on asking.
MIN_WAITING = 2
LENT_RATE_WINDOW = 1.0  # seconds over which the rate of lent tokens is smoothed
MAX_OVER_RATE_WAIT = 2.0  # seconds told to a request over the rate


@dataclasses.dataclass(frozen=True, kw_only=True)
class _BorrowAnswered:
    """A request to borrow has ended.

    Attributes:
      answer: None if no control answered.
      requested_at: When it was sent, in monotonic seconds.
      prefetched: Whether it was sent ahead of need.
    """

    organisation: str
    answer: protocol.BorrowReply | None
    requested_at: float
    prefetched: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Tick:
    """Triggers the periodic check of the caches."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Waiter:
    """A request that waits for a token.

    Attributes:
      refuse_at: When it is refused if owners have answered without tokens, in
        monotonic seconds.
      deadline: When it is refused while their answer is outstanding.
    """

    refuse_at: float
    deadline: float
    reply: mailbox.Reply


class _Account:
    """The token cache of one organisation and the requests that wait for it."""

    def __init__(self, *, now: float) -> None:
        self.cache = token_cache.TokenCache(estimated_at=now)
        self.waiting: collections.deque[_Waiter] = collections.deque()
        self.borrow_in_progress = False
        self.borrow_again_at = 0.0
        self.empty_answers = 0  # answers without tokens, in a row
        self.last_request_at = now
        self.wait = 0.0  # seconds until a token is expected
        self.unreachable = False
        self.reported_at = now
        self.prefetch_again_at = 0.0
        self.last_lent = 0  # tokens of the last answer that had any
        self.lent_rate = 0.0  # smoothed, in tokens per second
        self._answered_at = now

    @property
    def idle(self) -> bool:
        """Whether nothing is left to do for this organisation."""
        return not (
            self.cache.leases or self.waiting or self.borrow_in_progress
        )

    @property
    def is_over_rate(self) -> bool:
        """Whether a further request would wait for nothing."""
        return self.empty_answers > 0 and len(self.waiting) >= max(
            MIN_WAITING, self.last_lent
        )

    def record_lent(self, tokens: int, now: float) -> None:
        """Records the number of tokens in an answer of an owner."""
        elapsed = max(now - self._answered_at, 1e-3)
        self._answered_at = now
        weight = 1 - math.exp(-elapsed / LENT_RATE_WINDOW)
        self.lent_rate += weight * (tokens / elapsed - self.lent_rate)
        if tokens:
            self.last_lent = tokens

    def refusal(self) -> messages.TokenRefused:
        """Returns the refusal of a request without a token.

        The wait is the time in which the owners lend what was asked for beyond
        the rate in the last second.
        """
        wait = self.wait
        if self.lent_rate > 0:
            excess = max(0.0, self.cache.demand / self.lent_rate - 1)
            wait = max(wait, min(MAX_OVER_RATE_WAIT, excess))
        return messages.TokenRefused(wait=wait, unreachable=self.unreachable)


class NodeQuota(task.Controller):
    """Owns the tokens that this node has borrowed.

    Each request takes one token. A node that expects demand prefetches tokens,
    so that most requests need not wait for an owner.
    """

    def __init__(
        self,
        *,
        link: mailbox.Mailbox,
        counters: metrics.Metrics,
        borrowing_policy: token_cache.BorrowingPolicy = token_cache.EAGER,
    ) -> None:
        super().__init__()
        self._borrowing_policy = borrowing_policy
        self._link = link
        self._metrics = counters
        self._accounts: dict[str, _Account] = {}
        self._ticks_needed = trio.Event()

    async def _setup(self) -> None:
        self._spawn(self._tick_regularly)

    def _handle(self, message: Any, reply: mailbox.Reply) -> None:
        now = clock.monotonic()
        match message:
            case messages.TakeToken():
                self._take_token(message, reply, now)
            case _BorrowAnswered():
                self._on_borrow_answered(message, now)
            case _Tick():
                self._on_tick(now)

    def _take_token(
        self, message: messages.TakeToken, reply: mailbox.Reply, now: float
    ) -> None:
        account = self._accounts.get(message.organisation)
        if account is None:
            account = _Account(now=now)
            self._accounts[message.organisation] = account
        self._ticks_needed.set()
        account.last_request_at = now
        account.cache = token_cache.record_arrival(account.cache, now)
        if not account.waiting:
            account.cache, granted = token_cache.take_token(account.cache, now)
            if granted:
                reply.put(messages.TokenGranted())
                return
        if account.is_over_rate:
            reply.put(account.refusal())
            return
        refuse_at = min(message.deadline, now + TOKEN_WAIT)
        account.waiting.append(
            _Waiter(refuse_at=refuse_at, deadline=message.deadline, reply=reply)
        )
        self._borrow(message.organisation, account, now)

    def _prefetch(self, now: float) -> None:
        """Prefetches, in one message, for all organisations that run low."""
        requests = []
        for name, account in self._accounts.items():
            if account.borrow_in_progress or now < account.prefetch_again_at:
                continue
            wanted = token_cache.prefetch_count(
                account.cache, now, self._borrowing_policy
            )
            if wanted:
                requests.append(self._make_borrow(name, account, wanted, now))
        if requests:
            self._spawn(self._send_prefetch, tuple(requests))

    def _make_borrow(
        self, name: str, account: _Account, wanted: int, now: float
    ) -> protocol.Borrow:
        account.cache, reports = token_cache.collect_reports(
            account.cache, name, now, self._borrowing_policy
        )
        account.reported_at = now
        account.borrow_in_progress = True
        self._metrics.count("quota_borrows")
        return protocol.Borrow(
            organisation=name, wanted=wanted, reports=reports
        )

    async def _send_prefetch(
        self, requests: tuple[protocol.Borrow, ...]
    ) -> None:
        requested_at = clock.monotonic()
        call = messages.CallControl(
            message=protocol.BorrowAhead(borrows=requests),
            timeout=BORROW_TIMEOUT,
        )
        answers: tuple[protocol.BorrowReply | None, ...]
        try:
            answers = (await self._link.ask(call)).answers
        except exceptions.SassafrashallError:
            self._metrics.count("quota_borrows_failed")
            answers = (None,) * len(requests)
        for request, answer in zip(requests, answers, strict=True):
            self.mailbox.tell(
                _BorrowAnswered(
                    organisation=request.organisation,
                    answer=answer,
                    requested_at=requested_at,
                    prefetched=True,
                )
            )

    def _borrow(self, name: str, account: _Account, now: float) -> None:
        if account.borrow_in_progress or now < account.borrow_again_at:
            return
        waiting = len(account.waiting)
        wanted = waiting + token_cache.prefetch_count(
            account.cache, now, self._borrowing_policy
        )
        if wanted == 0:
            return
        self._spawn(
            self._send_borrow, self._make_borrow(name, account, wanted, now)
        )

    async def _send_borrow(self, request: protocol.Borrow) -> None:
        requested_at = clock.monotonic()
        call = messages.CallControl(message=request, timeout=BORROW_TIMEOUT)
        answer = None
        try:
            answer = await self._link.ask(call)
        except exceptions.SassafrashallError:
            self._metrics.count("quota_borrows_failed")
        self.mailbox.tell(
            _BorrowAnswered(
                organisation=request.organisation,
                answer=answer,
                requested_at=requested_at,
            )
        )

    def _on_borrow_answered(self, message: _BorrowAnswered, now: float) -> None:
        account = self._accounts[message.organisation]
        account.borrow_in_progress = False
        account.unreachable = message.answer is None
        if message.answer is None:
            account.borrow_again_at = now + MIN_RETRY_PAUSE
            account.prefetch_again_at = now + PREFETCH_RETRY_PAUSE
        else:
            account.wait = message.answer.wait
            account.record_lent(
                sum(grant.tokens for grant in message.answer.grants), now
            )
            account.unreachable = message.answer.unreachable
            grants = message.answer.grants
            if not grants and message.prefetched:
                # A prefetch asks one owner only. Requests still borrow at
                # once, since that also asks the other owners.
                account.prefetch_again_at = now + PREFETCH_RETRY_PAUSE
            elif not grants:
                backoff = (
                    self._borrowing_policy.empty_backoff_factor
                    ** account.empty_answers
                )
                pause = max(account.wait, MIN_RETRY_PAUSE) * backoff
                account.borrow_again_at = now + min(pause, TOKEN_WAIT)
                account.empty_answers = min(
                    account.empty_answers + 1, MAX_EMPTY_ANSWERS
                )
            if grants:
                account.empty_answers = 0
            account.cache = token_cache.add_leases(
                account.cache,
                tuple(
                    token_cache.HeldLease(
                        owner=grant.owner,
                        lease_id=grant.lease_id,
                        tokens=grant.tokens,
                        # Counts from before the request was sent, so that the
                        # lease expires here earlier than at the owner.
                        expires_at=message.requested_at + quota.LEASE_TTL,
                    )
                    for grant in grants
                ),
            )
        self._serve_waiting(message.organisation, account, now)

    def _serve_waiting(self, name: str, account: _Account, now: float) -> None:
        while account.waiting:
            waiter = account.waiting[0]
            if waiter.reply.abandoned:
                account.waiting.popleft()
                continue
            account.cache, granted = token_cache.take_token(account.cache, now)
            if granted:
                account.waiting.popleft().reply.put(messages.TokenGranted())
                continue
            # A slow control must not cause refusals within the rate.
            refuse_at = (
                waiter.deadline
                if account.borrow_in_progress
                else waiter.refuse_at
            )
            if refuse_at > now and not account.unreachable:
                break
            account.waiting.popleft().reply.put(account.refusal())
        if account.waiting:
            self._borrow(name, account, now)

    def _on_tick(self, now: float) -> None:
        reports: list[quota.Report] = []
        for name, account in list(self._accounts.items()):
            if (
                now - account.cache.estimated_at
                >= self._borrowing_policy.demand_window
            ):
                account.cache = token_cache.update_demand(account.cache, now)
            self._serve_waiting(name, account, now)
            if not self._borrowing_policy.batched:
                self._borrow(name, account, now)
            report_due_at = (
                account.reported_at + self._borrowing_policy.report_interval
            )
            if not account.borrow_in_progress and now >= report_due_at:
                account.reported_at = now
                account.cache, account_reports = token_cache.collect_reports(
                    account.cache, name, now, self._borrowing_policy
                )
                reports.extend(account_reports)
            if (
                account.idle
                and account.cache.demand < 0.01
                and now - account.last_request_at > ACCOUNT_TTL
            ):
                del self._accounts[name]
        if self._borrowing_policy.batched:
            self._prefetch(now)
        if reports:
            self._metrics.count("quota_reports")
            self._spawn(self._send_reports, tuple(reports))

    async def _send_reports(self, reports: tuple[quota.Report, ...]) -> None:
        call = messages.CallControl(
            message=protocol.Settle(reports=reports), timeout=0.5
        )
        try:
            await self._link.ask(call)
        except exceptions.SassafrashallError:
            self._metrics.count("quota_reports_lost")

    async def _tick_regularly(self) -> None:
        while True:
            if not self._accounts:
                self._ticks_needed = trio.Event()
                await self._ticks_needed.wait()
            await trio.sleep(TICK_INTERVAL)
            self.mailbox.tell(_Tick())
