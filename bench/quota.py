"""Compares refusals by quota leases with those by one central token bucket.

Simulates owners and nodes under Poisson arrivals at 90% of an organisation's
rate, which either spread evenly over all nodes or go mostly to one. Seeds are
fixed and time is simulated, so the figures are the same on any machine.
"""

from __future__ import annotations

import dataclasses
import random
import sys

from sassafrashall import reports
from sassafrashall.decisions import quota
from sassafrashall.decisions import token_cache

SECONDS = 60.0  # simulated time of a run
POLL_INTERVAL = 0.05  # seconds between a node's checks of its token caches
BORROW_TIME = 0.004  # seconds for a round trip to an owner
MAX_WAIT = 0.06  # seconds that a request may wait for a token
SEEDS = (1, 2, 3)
OWNERS = ("o0", "o1", "o2")
NODES = 12


@dataclasses.dataclass(frozen=True, kw_only=True)
class Case:
    """An organisation's quota and the distribution of its requests.

    Attributes:
      rate: Tokens a second.
      burst: Capacity of the bucket in tokens.
      hot: Fraction of the requests that go to one node; the others go to random
        nodes.
      shares: Number of owners among which the quota is divided.
    """

    rate: float
    burst: int
    hot: float
    shares: int


CASES = tuple(
    Case(rate=rate, burst=burst, hot=hot, shares=shares)
    for rate, burst in ((500.0, 200), (50.0, 20), (5.0, 5))
    for hot in (0.0, 0.7)
    for shares in (3, 1)
)


class Fleet:
    """Owners and nodes of one organisation, without a network.

    Attributes:
      borrows: Number of times that a node borrowed tokens.
    """

    def __init__(self, *, case: Case, waits: bool) -> None:
        self._waits = waits
        self._buckets = {}
        for owner in OWNERS:
            rate, capacity = quota.owner_share(
                "x", case.rate, case.burst, owner, OWNERS, case.shares
            )
            self._buckets[owner] = quota.open_bucket(
                rate, capacity, 0.0, is_new=True
            )
        self._caches = [token_cache.TokenCache() for _ in range(NODES)]
        self._leases = 0
        self.borrows = 0

    def admit(self, node: int, now: float) -> bool:
        """Returns whether a request is admitted, at once or after a wait."""
        cache = token_cache.record_arrival(self._caches[node], now)
        self._caches[node], granted = token_cache.take_token(cache, now)
        deadline = now + (MAX_WAIT if self._waits else BORROW_TIME)
        while not granted and now < deadline:
            now += BORROW_TIME
            self._borrow(node, now)
            self._caches[node], granted = token_cache.take_token(
                self._caches[node], now
            )
            now += 0.01
        return granted

    def poll(self, now: float) -> None:
        """Updates demand, prefetches tokens and reports usage on every node."""
        for node in range(NODES):
            self._caches[node] = token_cache.update_demand(
                self._caches[node], now
            )
            if token_cache.prefetch_count(self._caches[node], now):
                self._borrow(node, now)
            self._send_reports(node, now)

    def _borrow(self, node: int, now: float) -> None:
        self.borrows += 1
        self._send_reports(node, now)
        wanted = 1 + token_cache.prefetch_count(self._caches[node], now)
        first_owner = node % len(OWNERS)
        for owner in (*OWNERS[first_owner:], *OWNERS[:first_owner]):
            self._leases += 1
            lease_id = str(self._leases)
            self._buckets[owner], tokens = quota.grant_lease(
                self._buckets[owner], lease_id, wanted, now
            )
            if tokens:
                lease = token_cache.HeldLease(
                    owner=owner,
                    lease_id=lease_id,
                    tokens=tokens,
                    expires_at=now + quota.LEASE_TTL,
                )
                self._caches[node] = token_cache.add_leases(
                    self._caches[node], (lease,)
                )
                return

    def _send_reports(self, node: int, now: float) -> None:
        self._caches[node], lease_reports = token_cache.collect_reports(
            self._caches[node], "x", now
        )
        for report in lease_reports:
            self._buckets[report.owner] = quota.apply_report(
                self._buckets[report.owner], report, now
            )


def run(case: Case, seed: int) -> dict[str, float]:
    """Returns the results of one run by name.

    These are the fraction of requests that each method refuses, and the number
    of borrows a request with waiting.
    """
    rng = random.Random(seed)
    fleets = {
        "leases": Fleet(case=case, waits=False),
        "leases, waiting": Fleet(case=case, waits=True),
    }
    level, updated_at, now, next_poll = float(case.burst), 0.0, 0.0, 0.0
    refused = dict.fromkeys(("perfect bucket", *fleets), 0)
    total = 0
    while now < SECONDS:
        now += rng.expovariate(0.9 * case.rate)
        while next_poll <= now:
            for fleet in fleets.values():
                fleet.poll(next_poll)
            next_poll += POLL_INTERVAL
        total += 1
        level = min(case.burst, level + case.rate * (now - updated_at))
        updated_at = now
        if level >= 1.0:
            level -= 1.0
        else:
            refused["perfect bucket"] += 1
        node = 0 if rng.random() < case.hot else rng.randrange(NODES)
        for name, fleet in fleets.items():
            refused[name] += not fleet.admit(node, now)
    results = {name: count / total for name, count in refused.items()}
    results["borrows a request"] = fleets["leases, waiting"].borrows / total
    return results


def main() -> int:
    """Prints a row for each case with the medians over the seeds."""
    rows = []
    for case in CASES:
        runs = [run(case, seed) for seed in SEEDS]
        spread = "70% at one" if case.hot else "spread"
        row = [f"{case.rate:g}", case.burst, spread, case.shares]
        for name in runs[0]:
            median = sorted(r[name] for r in runs)[len(runs) // 2]
            is_ratio = name == "borrows a request"
            row.append(f"{median:.2f}" if is_ratio else f"{median * 100:.2f}%")
        rows.append(tuple(row))
    header = (
        "RATE",
        "BURST",
        "ARRIVALS",
        "SHARES",
        *(n.upper() for n in runs[0]),
    )
    print(reports.table(header, rows))
    return 0


if __name__ == "__main__":
    sys.exit(main())
