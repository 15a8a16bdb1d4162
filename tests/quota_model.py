"""A simulation of the owners and nodes that share an organisation's quota."""

from __future__ import annotations

import dataclasses
import random

from sassafrashall.decisions import quota
from sassafrashall.decisions import token_cache

NAME = "org"


@dataclasses.dataclass
class ReferenceBucket:
    """One token bucket for the whole fleet, to which the fleet is compared."""

    rate: float
    burst: float
    level: float
    at: float

    def admit(self, now: float) -> bool:
        self.level = min(
            self.burst, self.level + self.rate * max(0.0, now - self.at)
        )
        self.at = max(self.at, now)
        if self.level < 1.0 - 1e-6:
            return False
        self.level -= 1.0
        return True


def check_bound(admitted: list[float], rate: float, burst: int) -> None:
    """Checks that every window of T seconds admits at most burst + rate * T."""
    if not admitted:
        return
    oracle = ReferenceBucket(
        rate=rate, burst=burst, level=burst, at=admitted[0]
    )
    for moment in sorted(admitted):
        assert oracle.admit(moment), f"over burst + rate*T at {moment:.4f}"


class Model:
    """Owners, nodes and a network that loses, delays and duplicates messages.

    Attributes:
      isolated_nodes: Nodes that reach only their home owner.
      delayed_reports: Reports in transit with their time of arrival.
      limit_known_from: When the file of each owner holds its limit again.
    """

    def __init__(
        self,
        seed: int,
        *,
        rate: float,
        burst: int,
        owners: int = 3,
        nodes: int = 6,
        loss: float = 0.0,
        fraction: float = 1.0,
    ):
        self.random = random.Random(seed)
        self.now = 0.0
        self.rate, self.burst, self.loss = rate, burst, loss
        self.fraction = fraction
        self.names = tuple(f"o{i}" for i in range(owners))
        self.buckets: dict[str, quota.Bucket] = {}
        self.limit_known_from = dict.fromkeys(self.names, 0.0)
        for name in self.names:
            self.open_bucket(name, is_new=True)
        self.caches = [token_cache.TokenCache() for _ in range(nodes)]
        self.isolated_nodes: set[int] = set()
        self.admitted: list[float] = []
        self.refused = 0
        self.lease_count = 0
        self.delayed_reports: list[tuple[float, quota.Report]] = []

    def open_bucket(self, name: str, *, is_new: bool) -> None:
        rate, capacity = quota.owner_share(
            NAME, self.rate, self.burst, name, self.names
        )
        unknown = None
        if self.fraction < 1 and self.now >= self.limit_known_from[name]:
            unknown = quota.lease_limit(capacity, self.fraction)
        self.buckets[name] = quota.open_bucket(
            rate, capacity, self.now, is_new=is_new, unknown=unknown
        )

    def restart_owner(self, name: str) -> None:
        """Replaces the owner's bucket by that of a restarted owner."""
        self.open_bucket(name, is_new=False)
        self.limit_known_from[name] = self.now + quota.OWNER_LEASE_TTL

    def change_rate(self, rate: float, burst: int) -> None:
        self.rate, self.burst = rate, burst
        for name in self.names:
            part, capacity = quota.owner_share(
                NAME, rate, burst, name, self.names
            )
            self.buckets[name] = quota.resize(
                self.buckets[name], part, capacity, self.now
            )

    def home_owner(self, node: int) -> str:
        return self.names[node % len(self.names)]

    def request(self, node: int) -> bool:
        """Handles a request at a node, which borrows if it has no token."""
        cache = token_cache.record_arrival(self.caches[node], self.now)
        cache, granted = token_cache.take_token(cache, self.now)
        self.caches[node] = cache
        if not granted:
            self.borrow(node)
            self.caches[node], granted = token_cache.take_token(
                self.caches[node], self.now
            )
        if granted:
            self.admitted.append(self.now)
        else:
            self.refused += 1
        return granted

    def borrow(self, node: int, extra: int = 0) -> None:
        asked_at = self.now
        self.send_reports(node)
        wanted = (
            1 + token_cache.prefetch_count(self.caches[node], self.now) + extra
        )
        order = [self.home_owner(node)]
        if node not in self.isolated_nodes:
            order += [n for n in self.names if n != order[0]]
        for name in order:
            self.lease_count += 1
            lease_id = f"l{self.lease_count}"
            self.buckets[name], tokens = quota.grant_lease(
                self.buckets[name],
                lease_id,
                wanted,
                self.now,
                quota.lease_limit(self.buckets[name].capacity, self.fraction),
            )
            if self.random.random() < self.loss:
                return  # The answer with its tokens is lost.
            if tokens:
                held = token_cache.HeldLease(
                    owner=name,
                    lease_id=lease_id,
                    tokens=tokens,
                    expires_at=asked_at + quota.LEASE_TTL,
                )
                self.caches[node] = token_cache.add_leases(
                    self.caches[node], (held,)
                )
                return

    def send_reports(self, node: int) -> None:
        self.caches[node], reports = token_cache.collect_reports(
            self.caches[node], NAME, self.now
        )
        for report in reports:
            if self.random.random() < self.loss:
                if self.random.random() < 0.5:
                    # The report is not lost but arrives late.
                    later = self.now + self.random.random() * 4
                    self.delayed_reports.append((later, report))
                    continue
                continue
            if node in self.isolated_nodes and report.owner != self.home_owner(
                node
            ):
                continue
            self.apply_report(report)
            if self.loss and self.random.random() < 0.2:
                self.delayed_reports.append(
                    (self.now + self.random.random(), report)
                )

    def apply_report(self, report: quota.Report) -> None:
        self.buckets[report.owner] = quota.apply_report(
            self.buckets[report.owner], report, self.now
        )

    def tick(self) -> None:
        """Delivers delayed reports and runs the nodes' periodic work."""
        due = [report for at, report in self.delayed_reports if at <= self.now]
        self.delayed_reports = [
            item for item in self.delayed_reports if item[0] > self.now
        ]
        for report in due:
            self.apply_report(report)
        for node in range(len(self.caches)):
            cache = token_cache.update_demand(self.caches[node], self.now)
            self.caches[node] = cache
            if token_cache.prefetch_count(cache, self.now):
                self.borrow(node)
            self.send_reports(node)

    def escrowed(self) -> float:
        """Returns the tokens in buckets and on leases, as the owners count."""
        return sum(b.level + b.outstanding for b in self.buckets.values())
