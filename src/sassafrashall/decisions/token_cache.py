"""The tokens that a node has borrowed: when it borrows, reports and returns.

The load: requests of an organisation that reach many nodes. A node borrows
ahead of its own demand, so that most requests need not wait for an owner.
"""

from __future__ import annotations

import dataclasses
import math

from sassafrashall.decisions import quota

DEMAND_SMOOTHING = 0.2  # weight of the latest interval in the demand


@dataclasses.dataclass(frozen=True, kw_only=True)
class BorrowingPolicy:
    """How many tokens a node borrows ahead of need, and how often it reports.

    Attributes:
      demand_window: Seconds of its own demand for which a node prefetches
        tokens.
      prefetch_min_demand: Requests per second from which a node prefetches.
      idle_return_after: Seconds without a request after which a node returns
        its unused tokens.
      report_interval: Seconds between two reports to the owners.
      low_watermark: Fraction of the prefetch target below which a node borrows
        again. At 1 it asks again after every token that it uses.
      batched: Whether a node asks for several organisations in one message.
      empty_backoff_factor: Factor by which the time until the next request
        grows with each consecutive answer without tokens. Without back-off,
        all nodes would ask again after the wait that the owner estimates, for
        the one token that is there by then.
    """

    demand_window: float = 0.05
    prefetch_min_demand: float = 20.0
    idle_return_after: float = 0.25
    report_interval: float = 0.05
    low_watermark: float = 1.0
    batched: bool = False
    empty_backoff_factor: float = 1.0


EAGER = BorrowingPolicy()
# Sends fewer messages; for fleets whose quotas are checked over seconds.
RELAXED = BorrowingPolicy(
    demand_window=0.6,
    prefetch_min_demand=2.0,
    idle_return_after=1.0,
    report_interval=0.5,
    low_watermark=0.5,
    batched=True,
    empty_backoff_factor=2.0,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeldLease:
    """A lease as the node keeps it.

    Attributes:
      owner: Replica id of the owner, to which reports are sent.
      tokens: Tokens left.
      expires_at: Monotonic seconds of the node; earlier than at the owner.
      used: Tokens used and not reported yet.
      sequence: Number of the last report sent.
    """

    owner: str
    lease_id: str
    tokens: int
    expires_at: float
    used: int = 0
    sequence: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class TokenCache:
    """The leased tokens of one organisation at one node.

    Attributes:
      leases: In the order in which they expire.
      demand: Smoothed requests per second.
      arrivals: Requests since `estimated_at`.
      estimated_at: Monotonic time of the last update of `demand`.
      last_arrival: Monotonic time of the last request.
    """

    leases: tuple[HeldLease, ...] = ()
    demand: float = 0.0
    arrivals: int = 0
    estimated_at: float = 0.0
    last_arrival: float = 0.0

    def available(self, now: float) -> int:
        """Returns the tokens that may be used now."""
        return sum(
            lease.tokens for lease in self.leases if lease.expires_at > now
        )


def record_arrival(cache: TokenCache, now: float) -> TokenCache:
    """Counts a request for the demand estimate."""
    return dataclasses.replace(
        cache, arrivals=cache.arrivals + 1, last_arrival=now
    )


def take_token(cache: TokenCache, now: float) -> tuple[TokenCache, bool]:
    """Takes a token from the lease that expires first, if there is one.

    Returns:
      The cache and whether a token was taken.
    """
    leases = list(cache.leases)
    for index, lease in enumerate(leases):
        if lease.tokens > 0 and lease.expires_at > now:
            leases[index] = dataclasses.replace(
                lease, tokens=lease.tokens - 1, used=lease.used + 1
            )
            return dataclasses.replace(cache, leases=tuple(leases)), True
    return cache, False


def add_leases(cache: TokenCache, leases: tuple[HeldLease, ...]) -> TokenCache:
    """Adds leases that owners granted."""
    ordered = sorted(
        (*cache.leases, *leases), key=lambda lease: lease.expires_at
    )
    return dataclasses.replace(cache, leases=tuple(ordered))


def update_demand(cache: TokenCache, now: float) -> TokenCache:
    """Updates the smoothed demand with the arrivals since the last update."""
    elapsed = now - cache.estimated_at
    if elapsed <= 0:
        return cache
    latest = cache.arrivals / elapsed
    demand = cache.demand + DEMAND_SMOOTHING * (latest - cache.demand)
    return dataclasses.replace(
        cache, demand=demand, arrivals=0, estimated_at=now
    )


def prefetch_count(
    cache: TokenCache, now: float, policy: BorrowingPolicy = EAGER
) -> int:
    """Returns how many tokens to borrow ahead of need.

    It is 0 while the demand is low or enough tokens are left.
    """
    demand = cache.demand
    if policy.batched:
        # The smoothed demand takes several updates to follow a sudden rise.
        demand = max(demand, cache.arrivals / policy.demand_window)
    if demand < policy.prefetch_min_demand:
        return 0
    target = math.ceil(demand * policy.demand_window) + 1
    available = cache.available(now)
    if available >= policy.low_watermark * target:
        return 0
    return target - available


def collect_reports(
    cache: TokenCache,
    organisation: str,
    now: float,
    policy: BorrowingPolicy = EAGER,
) -> tuple[TokenCache, tuple[quota.Report, ...]]:
    """Returns reports of the tokens used and of surplus ones to return."""
    is_idle = now - cache.last_arrival >= policy.idle_return_after
    kept: list[HeldLease] = []
    reports: list[quota.Report] = []
    keep_limit = 0
    if not is_idle:
        keep_limit = math.ceil(cache.demand * policy.demand_window * 2) + 1
    for lease in cache.leases:
        if lease.expires_at <= now and not lease.used:
            continue
        kept_tokens = (
            min(lease.tokens, keep_limit) if lease.expires_at > now else 0
        )
        keep_limit -= kept_tokens
        returned = lease.tokens - kept_tokens
        if lease.used or returned:
            reports.append(
                quota.Report(
                    owner=lease.owner,
                    organisation=organisation,
                    lease_id=lease.lease_id,
                    sequence=lease.sequence + 1,
                    used=lease.used,
                    returned=returned,
                )
            )
            lease = dataclasses.replace(
                lease, tokens=kept_tokens, used=0, sequence=lease.sequence + 1
            )
        if kept_tokens:
            kept.append(lease)
    return dataclasses.replace(cache, leases=tuple(kept)), tuple(reports)
