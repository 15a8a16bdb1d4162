"""The configuration of a routed fleet: one document, replaced as a whole."""

from __future__ import annotations

import dataclasses

from sassafrashall import model


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """A service with its share of a route's requests."""

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """Requests of one host whose path begins with a prefix.

    Attributes:
      targets: Services by share; a single one takes everything.
      timeout_s: Longest time that a request is kept waiting.
      target_latency_s: Time within which an answer is worth most; 0 if not
        told.
      attempts: Upstreams that one request may be sent to at most.
      open: Whether the route is served without a key.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    targets: tuple[Target, ...]
    timeout_s: float
    attempts: int
    target_latency_s: float = 0.0
    priority: model.Priority = model.Priority.NORMAL
    open: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """What is known of a service besides its upstreams.

    Attributes:
      connection_limit: Connections that one upstream accepts; 0 if not told.
    """

    name: str
    health_path: str = "/"
    connection_limit: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """What a caller may send and how long it may take.

    Attributes:
      head_bytes: Request line and headers.
      body_bytes: A request's body.
      head_timeout_s: From the first byte of a head to its last.
      idle_timeout_s: A kept connection without a request.
    """

    head_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Organisation:
    """An organisation of the document.

    Attributes:
      digests: SHA-256 digests of its keys.
      rate: Requests a second over the whole fleet; 0 means no limit.
      burst: Requests that may be admitted at once beyond the rate.
      priority: Goes before that of the route; None leaves the route's.
    """

    name: str
    digests: tuple[str, ...]
    rate: float = 0.0
    burst: int = 0
    priority: model.Priority | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """One version of the document.

    Attributes:
      keyed: Whether requests need a key, unless their route is open.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = Limits()
    organisations: tuple[Organisation, ...] = ()
    keyed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accepted:
    """A configuration together with the text that the operator sent."""

    configuration: Configuration
    text: bytes
