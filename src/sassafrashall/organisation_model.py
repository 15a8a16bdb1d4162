"""Organisations with their parameters and keys, as the fleet state has them."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouteRule:
    """Selects requests by method and path.

    Attributes:
      method: HTTP method; empty for any method.
      prefix: Path prefix, matched at segment boundaries only.
    """

    method: str = ""
    prefix: str

    def matches(self, method: str, path: str) -> bool:
        """Returns whether the rule selects a request."""
        if self.method and self.method != method:
            return False
        if not path.startswith(self.prefix):
            return False
        rest = path[len(self.prefix) :]
        return not rest or rest[0] in "/?" or self.prefix.endswith("/")

    def __str__(self) -> str:
        return f"{self.method} {self.prefix}".strip()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Parameters:
    """The parameters of one organisation.

    Attributes:
      rate: Requests per second over the whole fleet.
      burst: Requests that the whole fleet may admit at once.
      critical_routes: Routes shed last.
      bulk_routes: Routes shed first.
      never_repeated_routes: Routes treated as non-idempotent, whatever the
        method.
      open_routes: Routes that need no key; their requests draw on this
        organisation's quota.
      retry_bound: Maximum number of retries in a whole call tree.
      quota_shares: Number of controls among which the quota is split; 0 means
        all. A single share refuses the fewest requests within the rate; a
        share at every control also serves data centres that are cut off.
      freshness_bound_s: Maximum age, in seconds, of a node's proof that its
        configuration is current; with an older proof it refuses requests that
        carry a key. 0 means no limit.
    """

    rate: float
    burst: int
    critical_routes: tuple[RouteRule, ...] = ()
    bulk_routes: tuple[RouteRule, ...] = ()
    never_repeated_routes: tuple[RouteRule, ...] = ()
    open_routes: tuple[RouteRule, ...] = ()
    retry_bound: int = 2
    quota_shares: int = 0
    freshness_bound_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Template:
    """A built-in set of default parameters for new organisations."""

    name: str
    summary: str
    defaults: Parameters


@dataclasses.dataclass(frozen=True, kw_only=True)
class Key:
    """A caller's key, of which only the digest is stored.

    Attributes:
      digest: SHA-256 digest of the key, in hexadecimal.
      withdrawn: Whether the key has been revoked.
    """

    key_id: str
    digest: str
    withdrawn: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Organisation:
    """An organisation with its parameters and keys.

    Attributes:
      version: Incremented by each accepted change to this organisation.
      revision: Fleet revision at which it last changed.
      created: Fleet revision at which it was created.
    """

    name: str
    template: str
    parameters: Parameters
    keys: tuple[Key, ...] = ()
    version: int = 1
    revision: int = 0
    created: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """The part of the replicated state that nodes use, as a snapshot.

    Attributes:
      revision: Fleet revision of the snapshot.
      organisations: Organisations by name.
      keys: Organisation name by key digest, without withdrawn keys.
      withdrawn: Digests of withdrawn keys; none is ever removed.
    """

    revision: int = 0
    organisations: dict[str, Organisation] = dataclasses.field(
        default_factory=dict
    )
    keys: dict[str, str] = dataclasses.field(default_factory=dict)
    withdrawn: frozenset[str] = frozenset()
