"""Fleet-wide rate limits: escrowed token buckets and leases on their tokens.

Every control VM owns a share of an organisation's quota: a whole number of
tokens of its burst and the same fraction of its rate. A node borrows tokens
from the owners on short leases. Leased tokens count against the capacity of
the owner's bucket, so that `level + outstanding <= capacity` holds for every
owner at all times. Summed over the owners this bounds the requests admitted in
any window of T seconds: admitted <= burst + rate * T.
"""

from __future__ import annotations

import dataclasses
import math

import xxhash

LEASE_TTL = 2.0  # seconds at the node, counted from when it sent the request
LEASE_GRACE = 1.0  # seconds that the owner waits longer than the node
OWNER_LEASE_TTL = LEASE_TTL + LEASE_GRACE  # seconds at the owner
ROUNDING_TOLERANCE = 1e-9  # tokens
# Tokens of a share from which on part of it is kept from being lent. Of fewer,
# nodes would lack those that are kept.
MIN_CAPACITY_TO_SPLIT = 6
UNKNOWN_LEASES = ""  # the lease id that stands for those from before a restart


@dataclasses.dataclass(frozen=True, kw_only=True)
class Overage:
    """How much more than an organisation's quota the fleet may admit.

    It compensates for tokens that are leased to nodes but not used: without
    it, requests within the rate would be refused for lack of those tokens.

    Attributes:
      fraction: Fraction of rate and burst that is added to them.
      tokens: Tokens that are added to the burst.
    """

    fraction: float = 0.0
    tokens: int = 0

    def widen_quota(self, rate: float, burst: int) -> tuple[float, int]:
        """Returns the rate and burst that the owners share."""
        return rate * (1 + self.fraction), int(burst * (1 + self.fraction)) + (
            self.tokens
        )


NO_OVERAGE = Overage()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Lease:
    """A lease as its owner keeps it.

    Attributes:
      tokens: Whole tokens that the node still holds.
      expires_at: Monotonic seconds of the owner.
      sequence: Number of the last report applied.
    """

    lease_id: str
    tokens: int
    expires_at: float
    sequence: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """A node's report to an owner on a lease.

    Attributes:
      owner: Replica id of the owner.
      sequence: Number of this report; the reports on a lease count from 1.
      used: Tokens used since the last report.
      returned: Unused tokens that the node gives back.
    """

    owner: str
    organisation: str
    lease_id: str
    sequence: int
    used: int
    returned: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bucket:
    """An owner's share of an organisation's quota.

    Attributes:
      rate: Tokens added per second.
      capacity: Maximum number of tokens, in the bucket and on leases together.
      level: Tokens in the bucket.
      updated_at: Monotonic time of the last refill.
      refill_from: Monotonic time before which no tokens are added.
      leases: Leases that have not expired.
    """

    rate: float
    capacity: int
    level: float
    updated_at: float
    refill_from: float
    leases: tuple[Lease, ...] = ()

    @property
    def outstanding(self) -> int:
        """Tokens on leases."""
        return sum(lease.tokens for lease in self.leases)


def owner_share(
    organisation: str,
    rate: float,
    burst: int,
    owner: str,
    owners: tuple[str, ...],
    shares: int = 0,
) -> tuple[float, int]:
    """Returns an owner's share of rate and burst.

    The burst is dealt out one token at a time in round-robin order, beginning
    at an owner that depends on a hash of the organisation. The rate is divided
    in proportion to the tokens, and the shares add up to the whole quota. A
    replica that replaces another takes its position in `owners` and so its
    share; the shares of the other owners do not change.

    Args:
      organisation: Name of the organisation.
      rate: Tokens per second of the whole fleet.
      burst: Whole tokens of the whole fleet.
      owner: Replica id of the owner whose share is returned.
      owners: Replica ids of all owners, in an order common to all of them.
      shares: Number of owners that get a share; 0 means all.

    Returns:
      Tokens per second and whole tokens; zeros for an owner without a share.
    """
    if owner not in owners:
        return 0.0, 0
    sharing_owners = min(shares, len(owners)) or len(owners)
    first = xxhash.xxh32_intdigest(organisation) % len(owners)
    position = (owners.index(owner) - first) % len(owners)
    if position >= sharing_owners:
        return 0.0, 0
    tokens_each, leftover = divmod(burst, sharing_owners)
    tokens = tokens_each + (1 if position < leftover else 0)
    return rate * tokens / burst, tokens


def lease_limit(capacity: int, fraction: float) -> int:
    """Returns how many tokens of a share may be on leases at the same time.

    The rest can be lent right after a restart of the owner, which does not know
    the leases from before.

    Args:
      capacity: Whole tokens of the share.
      fraction: Fraction of them that may be lent.
    """
    if capacity < MIN_CAPACITY_TO_SPLIT:
        return capacity
    return min(capacity, math.ceil(fraction * capacity))


def open_bucket(
    rate: float,
    capacity: int,
    now: float,
    *,
    is_new: bool,
    unknown: int | None = None,
) -> Bucket:
    """Returns a new bucket, full only if the organisation was just created.

    A restarted owner does not know the leases that it granted before, so its
    bucket starts empty, and as many tokens as may be on these leases are not
    refilled until they have all expired.

    Args:
      rate: Tokens per second of the share.
      capacity: Whole tokens of the share.
      now: Monotonic seconds.
      is_new: Whether no token of the share has ever been lent.
      unknown: Tokens that may be on unknown leases; None if that may be all.
    """
    bucket = Bucket(
        rate=rate,
        capacity=capacity,
        level=float(capacity) if is_new else 0.0,
        updated_at=now,
        refill_from=now,
    )
    if is_new:
        return bucket
    expires_at = now + OWNER_LEASE_TTL
    if unknown is None:
        return dataclasses.replace(bucket, refill_from=expires_at)
    lease = Lease(
        lease_id=UNKNOWN_LEASES, tokens=unknown, expires_at=expires_at
    )
    return dataclasses.replace(bucket, leases=(lease,))


def refill(bucket: Bucket, now: float) -> Bucket:
    """Adds the tokens of the time elapsed and removes expired leases.

    Leased tokens occupy capacity until their lease expires.
    """
    ordered = sorted(bucket.leases, key=lambda lease: lease.expires_at)
    expired = [lease for lease in ordered if lease.expires_at <= now]
    level, outstanding = bucket.level, bucket.outstanding
    start = max(bucket.updated_at, bucket.refill_from)
    for until, freed in [(e.expires_at, e.tokens) for e in expired] + [
        (now, 0)
    ]:
        free_capacity = bucket.capacity - outstanding
        added = max(0.0, until - start) * bucket.rate
        level = max(level, min(free_capacity, level + added))
        start = max(start, until)
        outstanding -= freed
    return dataclasses.replace(
        bucket,
        level=level,
        updated_at=max(now, bucket.updated_at),
        leases=tuple(ordered[len(expired) :]),
    )


def resize(bucket: Bucket, rate: float, capacity: int, now: float) -> Bucket:
    """Changes rate and capacity of a bucket.

    Added capacity starts empty; tokens above a smaller capacity are dropped.
    """
    bucket = refill(bucket, now)
    level = min(bucket.level, max(0.0, capacity - bucket.outstanding))
    return dataclasses.replace(
        bucket, rate=rate, capacity=capacity, level=level
    )


def grant_lease(
    bucket: Bucket,
    lease_id: str,
    wanted: int,
    now: float,
    limit: int | None = None,
) -> tuple[Bucket, int]:
    """Leases up to `wanted` whole tokens and returns how many.

    Args:
      bucket: The owner's share.
      lease_id: Of the new lease.
      wanted: Number of tokens.
      now: Monotonic seconds.
      limit: Tokens that may be on leases at the same time, apart from unknown
        leases; None if that may be all.
    """
    bucket = refill(bucket, now)
    if limit is not None:
        known = sum(
            lease.tokens
            for lease in bucket.leases
            if lease.lease_id != UNKNOWN_LEASES
        )
        wanted = min(wanted, limit - known)
    tokens = max(0, min(wanted, math.floor(bucket.level + ROUNDING_TOLERANCE)))
    if tokens == 0:
        return bucket, 0
    lease = Lease(
        lease_id=lease_id, tokens=tokens, expires_at=now + OWNER_LEASE_TTL
    )
    return (
        dataclasses.replace(
            bucket,
            level=max(0.0, bucket.level - tokens),
            leases=(*bucket.leases, lease),
        ),
        tokens,
    )


def apply_report(bucket: Bucket, report: Report, now: float) -> Bucket:
    """Applies a node's report to a bucket.

    A report on an expired lease, an outdated report and a duplicate change
    nothing, because they would free tokens that a node may still use.
    """
    bucket = refill(bucket, now)
    leases: list[Lease] = []
    level = bucket.level
    for lease in bucket.leases:
        if (
            lease.lease_id == report.lease_id
            and report.sequence > lease.sequence
        ):
            returned = min(report.returned, lease.tokens)
            used = min(report.used, lease.tokens - returned)
            level += returned
            lease = dataclasses.replace(
                lease,
                tokens=lease.tokens - returned - used,
                sequence=report.sequence,
            )
        if lease.tokens:
            leases.append(lease)
    level = min(level, float(bucket.capacity))
    return dataclasses.replace(bucket, level=level, leases=tuple(leases))


def wait_for_token(bucket: Bucket, now: float) -> float:
    """Returns the seconds until the bucket may have a whole token.

    Infinity if it never will.
    """
    if bucket.rate <= 0 or bucket.capacity < 1:
        return math.inf
    start = max(now, bucket.refill_from)
    return start - now + max(0.0, 1.0 - bucket.level) / bucket.rate
